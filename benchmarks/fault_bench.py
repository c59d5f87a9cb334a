"""A small deployment with its faults, and the load that is at work meanwhile.

`Bench` starts real processes, orders faults from them and records each fault, so
that the history checker knows what was done. `Work` is one set of requests, keyed
bookings and a Lot, recorded submission by submission.
"""

import random
import threading
import time
from collections.abc import Callable, Iterator
from concurrent.futures import Future, ThreadPoolExecutor
from contextlib import suppress
from dataclasses import dataclass, replace
from itertools import count
from pathlib import Path
from types import TracebackType
from typing import Any

import msgspec
from tests import histories

from quickstart.cluster import KEY_VALUE, WEIGHT_STORE, Cluster, Options
from quickstart.processes import HOST, ClusterError
from standins.deployment import Deployment, Service
from standins.history import History, digest
from standins.recording import record_call, record_lot, record_lot_post, record_post
from standins.relay import Relay
from wigeonfront.catalogue import CatalogueEntry
from wigeonfront.client import (
    Lot,
    LotAnswered,
    LotOutcome,
    Request,
    RequestClient,
    Sample,
    TrainerClient,
)
from wigeonfront.coordination import slots
from wigeonfront.http import parse_address
from wigeonfront.outcomes import Outcome

ENTRY, OTHER = "entry-1", "entry-2"
ENGINE, PLAIN = "judge-llm", "order-desk"
TRAINER = "trainer"
CALLER = "caller"
ROLLOUTS, BOOKINGS, PAGES = "rollouts", "bookings", "pages"
CAPACITY = 4
STOP_BOUND = 20.0
READY_SECONDS = 30.0
POLL_SECONDS = 0.02
POST_SECONDS = 5.0
LOT_SECONDS = 30.0
LOT_PATIENCE = 1.0
ANNOUNCE_SECONDS = 3.0
KILLED = -9
# Its first choice of two is the first.
FIRST_ENTRY_SEED = 1


def small(engines: int = 2, plain: int = 2) -> Deployment:
    """Return a deployment of two entries with few targets."""
    engine_flags = {"step-seconds": 0.01, "queue-limit": 64}
    services = [
        Service(
            name=ENGINE,
            kind="engine",
            workers=engines,
            capacity=CAPACITY,
            flags=engine_flags,
        ),
        Service(name=PLAIN, kind="plain", workers=plain, capacity=CAPACITY),
    ]
    rows = {ROLLOUTS: "rollout", BOOKINGS: "booking", PAGES: "interactive"}
    return Deployment(
        name="small",
        owner="tests",
        failure_domains=["a", "b"],
        latency_between_domains=0.0,
        latency_to_clients=0.0,
        entries=2,
        services=services,
        trainers=[],
        calls=[],
        catalogue={name: _row(work_class) for name, work_class in rows.items()},
    )


def _row(work_class: str) -> CatalogueEntry:
    services = [ENGINE] if work_class == "rollout" else [PLAIN]
    return CatalogueEntry(
        owner="tests", work_class=work_class, services=services, wave=0.5
    )


class Bench:
    """A deployment on this machine, whose faults are ordered here.

    Parameters
    ----------
    deployment : Deployment
    folder : Path
    side_flags, entry_flags : tuple of str
    relayed_callers : bool
        Callers reach the entries through relays. These take connections for an
        entry that has stopped, which then count as lost.

    Attributes
    ----------
    entry : str
        The entry that faults meet.
    victims : (str, str)
        The engine's side and the plain service's side that faults meet.
    """

    def __init__(
        self,
        deployment: Deployment,
        folder: Path,
        entry_flags: tuple[str, ...] = (),
        side_flags: tuple[str, ...] = (),
        relayed_callers: bool = True,
    ) -> None:
        self.deployment = deployment
        self.sides = [worker.name for _, worker in deployment.workers()]
        pairs = {(entry, side) for entry in (ENTRY, OTHER) for side in self.sides}
        pairs |= {(side, f"target-{side}") for side in self.sides}
        options = Options(
            relays=frozenset(pairs), entry_flags=entry_flags, side_flags=side_flags
        )
        self.cluster = Cluster(deployment, folder, options)
        self.histories = folder / "history"
        self.recorder = self.history("injector")
        self.version = 1
        self.entry = ENTRY
        self.victims: tuple[str, str] = (f"{ENGINE}-1", f"{PLAIN}-1")
        self._relayed_callers = relayed_callers
        self._callers: dict[str, Relay] = {}
        self._stopped: set[str] = set()
        self._known: set[histories.Violation] = set()

    def __enter__(self) -> "Bench":
        self.cluster.start()
        for entry in self.cluster.entries if self._relayed_callers else ():
            target = parse_address(self.cluster.address(entry))
            self._callers[entry] = Relay((HOST, 0), target)
        self.settle()
        self.warm_up()
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        for relay in self._callers.values():
            relay.close()
        self.cluster.stop()

    def history(self, name: str) -> History:
        """Return a history for the records of `name`."""
        return History(str(self.histories / f"{name}.jsonl"), name)

    def address(self, entry: str) -> str:
        """Return where callers reach an entry."""
        if entry not in self._callers:
            return self.cluster.address(entry)
        return f"{HOST}:{self._callers[entry].address[1]}"

    @property
    def addresses(self) -> list[str]:
        """Where callers reach the entries."""
        return [self.address(entry) for entry in self.cluster.entries]

    def aim(self, work: str) -> None:
        """Make the owners of a `Work`'s Lot and first booking the victims."""
        keys = {ENGINE: f"{TRAINER}/{work}", PLAIN: f"{BOOKINGS}/{work}-0"}
        self.wait(lambda: all(self.owner(*each) for each in keys.items()), "owners")
        lot_owner, booking_owner = (self.owner(*each) for each in keys.items())
        self.victims = lot_owner, booking_owner

    def owner(self, service: str, key: str) -> str:
        """Return the side that owns a key and may begin, or an empty string."""
        table = self._table(service)
        if table is None:
            return ""
        slot = table.slots[table.slot_of(key)]
        return "" if slot.moving else slot.owner

    def _table(self, service: str) -> slots.SlotTable | None:
        path = f"/kv?key={slots.PREFIX}{service}"
        row = self.cluster.request(KEY_VALUE, "GET", path)
        if row.status != 200:
            return None
        return slots.decode(msgspec.json.encode(row.body["value"]))

    def list_vms(self, hidden: str = "") -> None:
        """Show all VMs in every VM list but one."""
        for viewer in ("", ENTRY, OTHER):
            shown = [vm for vm in self.cluster.vms(viewer) if vm.name != hidden]
            self.cluster.post_vms(shown, viewer)

    @property
    def targets(self) -> tuple[str, str]:
        """The targets beside the victims."""
        return tuple(f"target-{side}" for side in self.victims)

    # --- faults of processes --------------------------------------------------

    def kill(self, *names: str) -> None:
        """Kill processes."""
        for name in names:
            self._began(name, "kill")
            self.cluster.kill(name)

    def freeze(self, *names: str) -> None:
        """Pause processes."""
        for name in names:
            self._began(name, "freeze")
            self.cluster.freeze(name)

    def wake(self, *names: str) -> None:
        """Let frozen processes go on."""
        for name in names:
            self.cluster.wake(name)
            self._healed(name)

    def restart(self, *names: str) -> None:
        """Start processes anew."""
        for name in names:
            self.cluster.restart(name, wait=False)
        self.cluster.wait_until(names)
        for name in names:
            self._healed(name)
            self._stopped.discard(name)

    def stop(self, *names: str) -> None:
        """Begin a planned stop."""
        for name in names:
            self._began(name, histories.PLANNED)
            self.cluster.terminate(name)
            self._stopped.add(name)
            if name in self.sides:
                self.recorder_of(name).write("leave", target=f"target-{name}")

    def await_exits(self) -> list[int]:
        """Wait for planned stops to end; return the codes of those not killed."""
        codes = []
        for name in sorted(self._stopped):
            code = self.cluster.wait_end(name, STOP_BOUND)
            if code != KILLED:
                codes.append(code)
                target = f"target-{name}"
                self.recorder_of(name).write("exited", code=code, target=target)
        return codes

    # --- faults between processes ---------------------------------------------

    def caller_relay(self, entry: str) -> Relay:
        """Return the relay from callers to `entry`."""
        return self._callers[entry]

    def relays(self, *sides: str) -> list[Relay]:
        """Return the relays from the entry under test to `sides`."""
        return [self.cluster.relays[self.entry, side] for side in sides]

    def target_relays(self, *sides: str) -> list[Relay]:
        """Return the relays from `sides` to their targets."""
        return [self.cluster.relays[side, f"target-{side}"] for side in sides]

    def partition(self, relays: list[Relay]) -> None:
        """Silence all connections, and new ones, until `heal`."""
        self._began("network", "partition")
        for relay in relays:
            relay.partition()

    def cut(self, relays: list[Relay]) -> None:
        """Reset all connections, and new ones, until `heal`."""
        self._began("network", "cut")
        for relay in relays:
            relay.cut()

    def silence(self, relays: list[Relay], to_client: bool) -> None:
        """Silence one way of the open connections for good; new ones work."""
        self._began("network", "silence")
        for relay in relays:
            relay.silence(to_target=not to_client, to_client=to_client)

    def delay(self, relays: list[Relay], seconds: float) -> None:
        """Delay each piece of data one way."""
        self._began("network", "slow")
        for relay in relays:
            relay.delay = seconds

    def order(self, name: str, **fault: Any) -> None:
        """Order a fault from a stand-in."""
        self._began(name, fault["kind"])
        self.cluster.fault(name, **fault)

    def heal(self) -> None:
        """End all faults of the network and the stand-ins, and wake the frozen."""
        for relay in [*self.cluster.relays.values(), *self._callers.values()]:
            relay.heal()
            relay.delay = 0.0
        for name, member in self.cluster.members.items():
            if member.frozen:
                self.wake(name)
            if member.standin and member.alive and member.port:
                with suppress(ClusterError):
                    self.cluster.fault(name, kind="none")

    def settle(self, idle: bool = True) -> None:
        """Heal, start what has ended, and wait until all sides serve (and are idle)."""
        self.heal()
        members = self.cluster.members.values()
        ended = [one.name for one in members if one.port and not one.alive]
        self.restart(*ended)
        self.wait(self._serving, "all sides serving", READY_SECONDS)
        if idle:
            self.wait(self._idle, "all sides idle", READY_SECONDS)
        self._healed("network")
        for name in self.cluster.names:
            self._healed(name)

    def _serving(self) -> bool:
        for entry in self.cluster.entries:
            with suppress(ClusterError):
                answer = self.cluster.request(entry, "GET", "/v1/status", timeout=1.0)
                views = answer.body["sides"] if answer.status == 200 else []
                if {view["name"] for view in views if _serves(view)} < set(self.sides):
                    return False
                continue
            return False
        return True

    def warm_up(self) -> None:
        """Send work until every slot is claimed and both entries know the tables."""
        for number in count():
            for entry in self.cluster.entries:
                name = f"warm-up-{entry}-{number}"
                self.book_through(entry, name)
                self.announce(entry, name)
            if all(self._claimed(service) for service in (ENGINE, PLAIN)):
                return

    def book_through(self, entry: str, name: str) -> Outcome | str:
        """Send a booking that its name makes unique through one entry."""
        request = Request(PLAIN, BOOKINGS, {"work": name}, idempotent=False, key=name)
        callers, address = self.history(CALLER), self.address(entry)
        return record_post(callers, address, request, POST_SECONDS, 1, entry)

    def _claimed(self, service: str) -> bool:
        table = self._table(service)
        return table is not None and all(slot.incarnation for slot in table.slots)

    def _idle(self) -> bool:
        return not any(
            sum(self.load(service.name).values())
            for service in self.deployment.services
        )

    # --- what happened --------------------------------------------------------

    def wait(
        self, done: Callable[[], bool], what: str, seconds: float = READY_SECONDS
    ) -> None:
        """Poll `done`.

        Raises
        ------
        TimeoutError
            If it isn't within `seconds`.
        """
        deadline = time.monotonic() + seconds
        while not done():
            if time.monotonic() > deadline:
                raise TimeoutError(what)
            time.sleep(POLL_SECONDS)

    def recorded(self, event: str, pattern: str = "target-*") -> Iterator[dict]:
        """Return the events of one kind in the histories of some processes."""
        mark = f'"{event}"'.encode()
        for path in self.histories.glob(f"{pattern}.jsonl"):
            for line in path.read_bytes().splitlines():
                if mark in line:
                    yield msgspec.json.decode(line)

    def ran(self, digests: set[str], event: str = "execute_start") -> int:
        """Return how many of the requests have come so far at a target."""
        found = {each["digest"] for each in self.recorded(event)}
        return len(found & digests)

    def load(self, sides: str) -> dict[str, int]:
        """Return what runs and waits at the sides whose names begin so."""
        load = {"running": 0, "queued": 0}
        for side in self.sides:
            if side.startswith(sides):
                status = self.cluster.request(side, "GET", "/status").body
                for kind in load:
                    load[kind] += sum(status[kind].values())
        return load

    def in_flight(self, entry: str) -> int:
        """Return how many callers an entry is serving."""
        return self.cluster.request(entry, "GET", "/v1/status").body["in_flight"]

    def violations(self) -> list[histories.Violation]:
        """Return the violations that are new since the last call."""
        found = histories.check(histories.read(self.histories))
        new = [violation for violation in found if violation not in self._known]
        self._known.update(new)
        return new

    def recorder_of(self, name: str) -> History:
        """Return the injector's history for records about a process."""
        return History(str(self.histories / "injector.jsonl"), name)

    def _began(self, name: str, kind: str) -> None:
        self.recorder_of(name).write("fault", kind=kind)

    def _healed(self, name: str) -> None:
        self.recorder_of(name).write("healed")

    # --- weights --------------------------------------------------------------

    def publish(self) -> int:
        """Publish the next version of the engines' model."""
        self.version += 1
        body = {"version": self.version}
        self.cluster.request(WEIGHT_STORE, "POST", f"/models/{ENGINE}", body)
        return self.version

    def announce(self, entry: str, name: str) -> None:
        """Tell an entry of the newest version, by a Lot of one sample."""
        lot = make_lot(name, self.version, 1, 1)
        trainer = self.history(TRAINER)
        record_lot_post(
            trainer, self.address(entry), TRAINER, lot, ANNOUNCE_SECONDS, entry
        )


def _serves(view: dict[str, Any]) -> bool:
    return view["connected"] and view["serving"] and not view["leaving"]


@dataclass(frozen=True, slots=True)
class Ends:
    """How the parts of a `Work` ended: bookings by submission."""

    bookings: list[list[Outcome | str]]
    others: list[Outcome | str]
    lot: LotOutcome | None


class Work:
    """Keyed bookings, an unkeyed one, a page and a Lot, sent through `ENTRY`.

    Parameters
    ----------
    bench : Bench
    name : str
        Unique in the bench; keys and payloads are made from it.
    seconds : float
        Time of each call at its target.
    samples, tokens : int
        Size of the Lot; no samples for none.
    """

    def __init__(
        self,
        bench: Bench,
        name: str,
        seconds: float = 0.05,
        samples: int = 8,
        tokens: int = 16,
    ) -> None:
        self._bench = bench
        self._callers = bench.history(CALLER)
        self._trainer = bench.history(TRAINER)
        payloads = [
            {"work": name, "number": number, "seconds": seconds} for number in range(5)
        ]
        self.bookings = [
            Request(PLAIN, BOOKINGS, payload, idempotent=False, key=f"{name}-{number}")
            for number, payload in enumerate(payloads[:3])
        ]
        self.others = [
            Request(PLAIN, BOOKINGS, payloads[3], idempotent=False),
            Request(PLAIN, PAGES, payloads[4]),
        ]
        self.lot = make_lot(name, bench.version, samples, tokens)
        self.also: list[Work] = []
        self.answered = threading.Event()
        self.may_acknowledge = threading.Event()
        self.may_acknowledge.set()
        self._executor = ThreadPoolExecutor(32)
        self._sent: list[list[Future]] = [[] for _ in self.bookings]
        self._others: list[Future] = []
        self._lot: Future | None = None

    @property
    def request_digests(self) -> set[str]:
        """Digests of the requests' payloads."""
        return {digest(one.payload) for one in [*self.bookings, *self.others]}

    @property
    def sample_digests(self) -> set[str]:
        """Digests of the samples' payloads."""
        return {digest(sample.payload) for sample in self.lot.samples}

    def send(self) -> None:
        """Send everything through `ENTRY`; the trainer may go on to the other."""
        self.book(ENTRY, 1)
        self._others = [self._post(ENTRY, one, 1) for one in self.others]
        if self.lot.samples:
            self._lot = self._executor.submit(self._draw)

    def book(self, entry: str, submission: int) -> None:
        """Send the keyed bookings (again)."""
        for sent, request in zip(self._sent, self.bookings, strict=True):
            sent.append(self._post(entry, request, submission))

    def post_lot_again(self, entry: str, submission: int) -> None:
        """Post the Lot once more, after its trainer has ended."""
        if self._lot and isinstance(self._lot.result(), LotAnswered):
            again = replace(self.lot, first_submission=submission)
            address = self._bench.address(entry)
            record_lot_post(self._trainer, address, TRAINER, again, POST_SECONDS, entry)

    @property
    def requests_ended(self) -> bool:
        """Whether every request sent so far has ended."""
        return all(each.done() for sent in [*self._sent, self._others] for each in sent)

    def join(self) -> Ends:
        """Wait for every end; the entries' and the client's own bounds apply."""
        for each in self.also:
            each.join()
        ends = Ends(
            [[each.result() for each in sent] for sent in self._sent],
            [each.result() for each in self._others],
            self._lot.result() if self._lot else None,
        )
        self._executor.shutdown()
        return ends

    def _post(self, entry: str, request: Request, submission: int) -> Future:
        return self._executor.submit(
            record_post,
            self._callers,
            self._bench.address(entry),
            request,
            POST_SECONDS,
            submission,
            entry,
        )

    def _draw(self) -> LotOutcome:
        client = TrainerClient(
            self._bench.addresses, TRAINER, generator=random.Random(FIRST_ENTRY_SEED)
        )
        outcome = record_lot(self._trainer, client, self.lot, LOT_SECONDS, LOT_PATIENCE)
        if isinstance(outcome, LotAnswered):
            self.answered.set()
            self.may_acknowledge.wait(LOT_SECONDS)
            client.acknowledge(self.lot)
        client.close()
        return outcome


def page(bench: Bench, name: str, seconds: float = LOT_SECONDS) -> Outcome:
    """Ask for a status page through the client, which may try both entries."""
    client = RequestClient(bench.addresses, generator=random.Random(FIRST_ENTRY_SEED))
    request = Request(PLAIN, PAGES, {"page": name})
    try:
        return record_call(bench.history(CALLER), client, request, seconds)
    finally:
        client.close()


def make_lot(name: str, version: int, samples: int, tokens: int) -> Lot:
    """Return a Lot in groups of four whose samples may be one version older."""
    made = tuple(_sample(name, number, tokens) for number in range(samples))
    return Lot(name, ENGINE, ROLLOUTS, version, made, bound=1)


def _sample(lot: str, number: int, tokens: int) -> Sample:
    payload = {"lot": lot, "sample": number}
    return Sample(f"s{number}", payload, f"{lot}-g{number // 4}", tokens)
