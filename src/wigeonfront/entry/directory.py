"""The sides that this entry knows: the VM list turned into peers.

The VM list lags and errs, so it only adds peers and marks the end of those whose
session is lost as well: a side that still sends heartbeats stays, listed or not.
"""

import logging
import random
import threading
from collections.abc import Callable, Iterable

from wigeonfront.clock import Clock
from wigeonfront.entry.peers import Identity, Peer, PeerState
from wigeonfront.logs import event
from wigeonfront.messages import Beat, ServicePolicy
from wigeonfront.outcomes import NotRun, Outcome
from wigeonfront.platform import Unavailable, Vm, VmList
from wigeonfront.policy.circuit import CircuitChange, Circuits
from wigeonfront.policy.placement import SideView
from wigeonfront.policy.retries import MOVED
from wigeonfront.supervisor import Supervisor

logger = logging.getLogger(__name__)

POLL_SECONDS = 2.0
GONE_SECONDS = 10.0
VISIT_SECONDS = 60.0
LATENCY_SMOOTHING = 0.1


class Announcements:
    """The newest weight version announced for each service."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._versions: dict[str, int] = {}

    def announce(self, service: str, version: int) -> None:
        """Note `version`; a lower one than known is ignored."""
        with self._lock:
            if version > self._versions.get(service, -1):
                self._versions[service] = version

    def newest(self) -> dict[str, int]:
        """Return the newest version of each service."""
        with self._lock:
            return dict(self._versions)


class Directory:
    """Peers by service, with their circuits.

    Parameters
    ----------
    supervisor : Supervisor
        Runs one task for each peer.
    identity : Identity
        Of this entry.
    clock : Clock
    beat_seconds : float
        Interval of heartbeats.
    announcements : Announcements
    select : callable
        Chooses this entry's subset among the sides of a service.
    policy : callable
        Returns what the sides of a service follow of the catalogue.
    """

    def __init__(
        self,
        supervisor: Supervisor,
        identity: Identity,
        clock: Clock,
        beat_seconds: float,
        announcements: Announcements,
        select: Callable[[str, list[Vm]], list[Vm]] = lambda service, vms: vms,
        policy: Callable[[str], ServicePolicy | None] = lambda service: None,
    ) -> None:
        self._supervisor = supervisor
        self._identity = identity
        self._clock = clock
        self._beat_seconds = beat_seconds
        self._announcements = announcements
        self._select = select
        self._policy = policy
        self._lock = threading.Lock()
        self._peers: dict[str, Peer] = {}
        self._by_service: dict[str, list[Peer]] = {}
        self._circuits: dict[str, Circuits] = {}
        self._vms: dict[str, Vm] = {}
        self._visits: dict[str, float] = {}
        self._unknown_since: dict[str, float] = {}
        self._latencies: dict[str, float] = {}

    @property
    def services(self) -> set[str]:
        """Services with at least one side."""
        with self._lock:
            return {service for service, peers in self._by_service.items() if peers}

    @property
    def vms(self) -> tuple[Vm, ...]:
        """The VMs of the last good listing."""
        with self._lock:
            return tuple(self._vms.values())

    def peer(self, name: str) -> Peer | None:
        """Return the peer of the side `name`."""
        with self._lock:
            return self._peers.get(name)

    def reach(self, name: str) -> Peer | None:
        """Return the peer of any listed side, also one outside the subset.

        Owners of slots may stand outside it. The session opened for one is kept
        while it is used and for `VISIT_SECONDS` after.
        """
        with self._lock:
            peer = self._peers.get(name)
            vm = self._vms.get(name)
            self._visits[name] = self._clock.monotonic()
        if peer is None and vm is not None and vm.role == "side":
            self._add(vm)
            peer = self.peer(name)
        return peer

    def peers(self, service: str) -> list[Peer]:
        """Return the peers of a service."""
        with self._lock:
            return list(self._by_service.get(service, ()))

    def behind(self) -> list[str]:
        """Return the sides with a session that lack the present policy."""
        with self._lock:
            peers = list(self._peers.values())
        return [peer.vm.name for peer in peers if peer.behind]

    def silent_seconds(self, name: str) -> float:
        """Return for how long no session with the side `name` was open.

        A side without a peer counts from the time at which this was first asked.
        """
        now = self._clock.monotonic()
        peer = self.peer(name)
        with self._lock:
            if peer is None:
                return now - self._unknown_since.setdefault(name, now)
            self._unknown_since.pop(name, None)
        since = peer.state.disconnected_since
        return 0.0 if since is None else now - since

    def views(self, service: str) -> list[SideView]:
        """Return what placement needs to know of a service's sides."""
        now = self._clock.monotonic()
        circuits = self._circuits_of(service)
        return [
            _view(
                peer.state,
                now,
                circuits.is_open(peer.vm.name),
                self._latencies.get(peer.vm.name, 0.0),
            )
            for peer in self.peers(service)
        ]

    def record(self, service: str, side: str, outcome: Outcome) -> None:
        """Tell the side's circuit how an attempt ended."""
        if isinstance(outcome, NotRun) and outcome.reason in MOVED:
            peer = self.peer(side)
            if peer is not None:
                peer.note_not_serving()
        change = self._circuits_of(service).record(side, outcome)
        if isinstance(change, CircuitChange):
            event(
                logger,
                "circuit",
                side=side,
                state=change.state,
                reason=change.reason,
                rate=change.rate,
                pause=change.pause,
            )

    def measure(self, side: str, seconds: float, tokens: int) -> None:
        """Note that an attempt of `tokens` took `seconds` at `side`."""
        figure = seconds / max(1, tokens)
        with self._lock:
            known = self._latencies.get(side, figure)
            self._latencies[side] = known + LATENCY_SMOOTHING * (figure - known)

    def expected_seconds(self, service: str, max_tokens: int) -> float:
        """Return the usual time of a request at the service; 0 if unknown."""
        views = self.views(service)
        known = sorted(view.latency for view in views if view.latency > 0)
        if not known:
            return 0.0
        generates = any(view.version >= 0 for view in views)
        return known[len(known) // 2] * (max_tokens if generates else 1)

    def update(self, listed: Iterable[Vm]) -> None:
        """Start peers of newly listed sides; end those gone and silent."""
        vms = {vm.name: vm for vm in listed}
        wanted = self._wanted(vms)
        with self._lock:
            self._vms = vms
            known = dict(self._peers)
        for name, vm in wanted.items():
            peer = known.get(name)
            if peer is not None and peer.vm.address != vm.address:
                self._remove(peer)
                peer = None
            if peer is None:
                self._add(vm)
        for name, peer in known.items():
            if name not in wanted and (
                self._silent(peer) or (name in vms and peer.idle)
            ):
                self._remove(peer)

    def watch(self, vm_list: VmList, stop: threading.Event) -> None:
        """Poll the VM list until `stop` (a supervisor's task)."""
        reachable = True
        while not stop.is_set():
            answer = vm_list.vms()
            if isinstance(answer, Unavailable):
                if reachable:
                    event(logger, "vm_list_unavailable", reason=answer.reason)
                reachable = False
            else:
                reachable = True
                self.update(answer)
            stop.wait(random.uniform(0.75, 1.25) * POLL_SECONDS)

    def _wanted(self, vms: dict[str, Vm]) -> dict[str, Vm]:
        by_service: dict[str, list[Vm]] = {}
        for vm in vms.values():
            if vm.role == "side":
                by_service.setdefault(vm.service, []).append(vm)
        wanted = {
            vm.name: vm
            for service, members in by_service.items()
            for vm in self._select(service, members)
        }
        return wanted | self._visited(vms)

    def _visited(self, vms: dict[str, Vm]) -> dict[str, Vm]:
        """Return the sides outside the subset that were called lately."""
        horizon = self._clock.monotonic() - VISIT_SECONDS
        with self._lock:
            for name in [n for n, at in self._visits.items() if at < horizon]:
                del self._visits[name]
            return {name: vms[name] for name in self._visits if name in vms}

    def _add(self, vm: Vm) -> None:
        peer = Peer(
            vm,
            self._identity,
            self._clock,
            self._beat_seconds,
            self._announcements.newest,
            lambda: self._policy(vm.service),
        )
        with self._lock:
            if vm.name in self._peers:
                return
            self._peers[vm.name] = peer
            self._by_service.setdefault(vm.service, []).append(peer)
            # A task has its side's name, so no other may come in between.
            self._supervisor.start(vm.name, peer.run)
        event(logger, "peer_added", side=vm.name, address=vm.address)

    def _remove(self, peer: Peer) -> None:
        name = peer.vm.name
        with self._lock:
            if self._peers.get(name) is not peer:
                return
            del self._peers[name]
            self._by_service[peer.vm.service].remove(peer)
            self._supervisor.stop_task(name)
        event(logger, "peer_removed", side=name)
        peer.gone()

    def _silent(self, peer: Peer) -> bool:
        since = peer.state.disconnected_since
        return since is not None and self._clock.monotonic() - since > GONE_SECONDS

    def _circuits_of(self, service: str) -> Circuits:
        with self._lock:
            circuits = self._circuits.get(service)
            if circuits is None:
                circuits = Circuits(self._clock, random.Random())
                self._circuits[service] = circuits
            return circuits


def _view(state: PeerState, now: float, circuit_open: bool, latency: float) -> SideView:
    beat = state.beat or Beat(incarnation="", session=0)
    return SideView(
        name=state.vm.name,
        failure_domain=state.vm.failure_domain,
        connected=state.connected and state.beat is not None,
        serving=beat.serving,
        leaving=beat.leaving or state.vm.leaving,
        version=beat.version,
        capacity=beat.capacity,
        running=beat.running,
        queued=beat.queued,
        queued_tokens=beat.queued_tokens,
        sent_tokens=state.sent_tokens,
        age=now - state.beat_time,
        circuit_open=circuit_open,
        latency=latency,
    )
