"""The entry process on the platform: takes callers' requests and runs Lots.

Its supervisor starts three mirrors of the store (operator, targets, live processes),
the registration, the sending and the keeping of Lots, the taking over of Lots, and the
servers for callers, readiness and metrics.
"""

import logging
import random
import threading
from collections.abc import Callable

from wigeonfront.accounts import AdmissionBounds
from wigeonfront.accounts.gate import AccountGate
from wigeonfront.api.operations import VersionServer
from wigeonfront.clock import Clock, SystemClock
from wigeonfront.configuration import Configuration
from wigeonfront.coordination.assignment import Assignment
from wigeonfront.coordination.feed import FeedServer
from wigeonfront.coordination.membership import Registration
from wigeonfront.coordination.meter import MeteredStore
from wigeonfront.coordination.mirror import Mirror
from wigeonfront.coordination.relay import RelayServer, RoutedStore
from wigeonfront.forwarding import Connections, Exchange
from wigeonfront.forwarding.forwarder import Forwarder
from wigeonfront.forwarding.streams import StreamForwarder
from wigeonfront.http.raw import RawCall, RawServer, close_all
from wigeonfront.node.assigning import EntryAssignment
from wigeonfront.node.duties import make_duties
from wigeonfront.node.engine_orders import make_fleet
from wigeonfront.node.following import ConfigurationFollower, TargetFollower
from wigeonfront.node.interface import InterfaceParts, make_api
from wigeonfront.node.metrics_page import METRICS_PORT, MetricsPage
from wigeonfront.node.peer_calls import PeerCalls
from wigeonfront.node.process import run_node, stop_this_process
from wigeonfront.node.settings import NodeSettings
from wigeonfront.node.store_view import StoreView
from wigeonfront.observability.logs import event
from wigeonfront.observability.metrics import Registry
from wigeonfront.platform.front import Front, FrontMetrics
from wigeonfront.platform.lot_calls import PlatformSamples
from wigeonfront.platform.lot_front import LotFront
from wigeonfront.platform.metadata_store import MetadataStore
from wigeonfront.platform.target_calls import PlatformTargets
from wigeonfront.quarantine import CrashGuard, CrashLedger, CrashWriter
from wigeonfront.rollout.engine_loads import LoadFollower, LoadServer
from wigeonfront.rollout.lots import Lots
from wigeonfront.rollout.owner_calls import EndServer, OwnerServer, SubmissionServer
from wigeonfront.rollout.pending import PendingLots
from wigeonfront.rollout.repository import LotRepository
from wigeonfront.rollout.reward_call import RewardCaller
from wigeonfront.rollout.runner import LotRunner
from wigeonfront.rollout.sample_run import SampleRunner
from wigeonfront.rollout.spooling import LotSpools
from wigeonfront.rollout.submissions import SubmissionStore
from wigeonfront.spool import SpoolClient
from wigeonfront.supervisor import Supervisor
from wigeonfront.targets.table import TargetTable
from wigeonfront.usage.starts import StartLog
from wigeonfront.weights.plan import NamedVersion

logger = logging.getLogger(__name__)

CALL_THREADS = 200
"""Most calls served at once; a reading of results holds a thread for up to 1 s."""

READY_THREADS = 4
PEER_THREADS = 250
"""Most calls of other processes at once: each follower waits here with up to three."""

PEER_CONNECTIONS = 1_000
"""Idle connections of other processes that are kept open."""

UPKEEP_SECONDS = 0.5

UNREADY_SECONDS = 2.3
"""Time from the stop signal until no more connections come: the platform asks for
readiness once a second and takes an entry out after two misses."""

STOP_RESERVE_SECONDS = 3.0
"""Time kept from the allowed stop for handing over Lots and closing: a store that is
silent takes a second of it."""

HAND_OVER_SECONDS = 1.5
"""Part of that time in which a store that is away is asked again."""

CALLER_SERVERS = ("front", "api")

CLOSE_SECONDS = 0.5
"""Time that calls get to end after the listener is closed."""


class EntryNode:
    """One entry process.

    Parameters
    ----------
    settings : NodeSettings
    clock : Clock
    drain : callable
        Begins a planned stop, as a stop signal does.
    """

    def __init__(
        self,
        settings: NodeSettings,
        clock: Clock,
        drain: Callable[[], None] = stop_this_process,
    ) -> None:
        self._settings = settings
        self._clock = clock
        self._drain = drain
        self._stopping = False
        self._random = random.Random()
        self._metrics = Registry()
        self._supervisor = Supervisor("entry", clock)
        self._configuration = ConfigurationFollower(
            clock, self._on_configuration, self._on_version
        )
        self._table = TargetTable(clock, self._random, settings.name)
        self._meter = MeteredStore(MetadataStore(settings.store_address), self._metrics)
        self._store = RoutedStore(
            self._meter, lambda: self._view.relays(), clock, self._random
        )
        self._registration = self._make_registration()
        self._connections = Connections(clock)
        self._ledger = CrashLedger()
        self._guard = CrashGuard(self._ledger, self._table, clock, self._metrics)
        self._crash_writer = CrashWriter(
            self._ledger, self._store, self._is_first_member, clock
        )
        self._exchange = Exchange(
            self._connections, PlatformTargets(), clock, self._guard
        )
        self._starts = StartLog(clock)
        self._forwarder = self._make_forwarder()
        self._streams = self._make_streams()
        self._repository = LotRepository(self._store, settings.store_value_bytes)
        self._spool = SpoolClient(clock)
        self._runner = self._make_runner()
        self._targets = TargetFollower(
            self._table, clock, self._on_targets, self._on_target_replaced
        )
        self._view = StoreView(
            settings,
            self._store,
            self._registration,
            clock,
            self._configuration.update,
            self._targets.update,
            self._on_live,
        )
        self._fleet = make_fleet(
            settings,
            self._store,
            self._table,
            self._configuration,
            self._supervisor,
            clock,
            self._metrics,
        )
        self._assigning = EntryAssignment(
            settings,
            self._store,
            self._view.live,
            self._table,
            self._configuration,
            clock,
            self._on_assignment,
        )
        self._duties = make_duties(
            settings,
            self._store,
            self._starts,
            lambda: self._registration.member,
            self._view.members,
            self._assigning.holder,
            clock,
            self._metrics,
        )
        self._lots = self._make_lots()
        self._loads = LoadFollower(
            self._table, self._lots.recent_owners, self._runner.has_open_lots
        )
        self._gate = self._make_gate()
        self._servers = self._make_servers()
        self._metrics_page = MetricsPage(settings.host, METRICS_PORT, self._metrics)

    # --- its parts -----------------------------------------------------------

    def _make_registration(self) -> Registration:
        settings = self._settings
        return Registration(
            self._store,
            settings.name,
            settings.peer_address,
            settings.bounds.lease_seconds,
            self._clock,
            lambda: self._lots.owners_changed(),
            failure_domain=settings.failure_domain,
            cores=settings.cores,
            busy=lambda: self._runner.has_open_lots() or self._assigning.holds,
        )

    def _make_forwarder(self) -> Forwarder:
        sends = self._metrics.counter(
            "sends_total", "Sends to targets.", ("service", "outcome")
        )
        seconds = self._metrics.histogram(
            "send_seconds", "Time of a send.", ("service",)
        )
        return Forwarder(
            self._table,
            self._exchange,
            self._clock,
            self._random,
            self._settings.failure_domain,
            sends,
            seconds,
            self._starts,
            self._guard,
        )

    def _make_streams(self) -> StreamForwarder:
        return StreamForwarder(
            self._table,
            self._exchange,
            PlatformTargets(),
            self._clock,
            self._random,
            self._settings.failure_domain,
            self._starts,
            self._guard,
        )

    def _make_runner(self) -> LotRunner:
        samples = PlatformSamples()
        return LotRunner(
            self._repository,
            self._table,
            SampleRunner(self._exchange, samples, self._clock, self._guard),
            RewardCaller(self._forwarder, samples, self._guard),
            self._spool,
            lambda: self._configuration.current,
            self._settings.failure_domain,
            self._random,
            self._clock,
            self._metrics,
            lambda: self._registration.presence,
        )

    def _make_lots(self) -> Lots:
        return Lots(
            self._repository,
            self._runner,
            self._view.live,
            lambda: self._registration.member,
            lambda: self._registration.presence,
            self._view.members,
            LotSpools(
                self._spool,
                self._view.disks,
                self._settings.tolerated_losses + 1,
                self._clock,
            ),
            SubmissionStore(self._spool),
            PendingLots(self._spool, self._view.disk_registrations, self._clock),
            lambda: self._loads.lot_started(),
            self._clock,
        )

    def _make_gate(self) -> AccountGate:
        bounds = self._settings.bounds
        return AccountGate(
            lambda: self._view.operator.age,
            AdmissionBounds(
                bounds.configuration_seconds,
                bounds.strict_revoke,
                bounds.revoke_seconds,
            ),
            self._clock,
            self._metrics,
        )

    def _make_servers(self) -> dict[str, RawServer]:
        """Return the servers by their task's name."""
        settings = self._settings
        servers = {
            "ready": RawServer(
                settings.ready_address, self._answer_ready, READY_THREADS
            ),
            "peer": RawServer(
                settings.peer_address,
                self._make_peer_calls().answer,
                PEER_THREADS,
                PEER_CONNECTIONS,
            ),
        }
        if settings.front_address:
            answer = self._make_front().handle
            servers["front"] = RawServer(settings.front_address, answer, CALL_THREADS)
        if settings.api_address:
            answer = make_api(self._interface_parts()).handle
            servers["api"] = RawServer(settings.api_address, answer, CALL_THREADS)
        return servers

    def _make_peer_calls(self) -> PeerCalls:
        return PeerCalls(
            RelayServer(self._meter),
            FeedServer(lambda: self._view.mirrors),
            OwnerServer(self._lots.read_here),
            SubmissionServer(self._lots.submit_here),
            EndServer(self._lots.end_here),
            LoadServer(self._table),
            VersionServer(lambda: self._configuration.version),
            {
                path: answer
                for duty in self._duties
                for path, answer in duty.answers.items()
            },
        )

    def _interface_parts(self) -> InterfaceParts:
        return InterfaceParts(
            name=self._settings.name,
            me=lambda: self._registration.member,
            ready=lambda: self.ready,
            drain=self._drain,
            store=self._store,
            view=self._view,
            configuration=self._configuration,
            assigning=self._assigning,
            duties=self._duties,
            table=self._table,
            forwarder=self._forwarder,
            streams=self._streams,
            lots=self._lots,
            ledger=self._ledger,
            gate=self._gate,
            clock=self._clock,
        )

    def _make_front(self) -> Front:
        metrics = FrontMetrics(
            self._metrics.counter("answers_total", "Answers.", ("kind", "status")),
            self._metrics.histogram("answer_seconds", "Time to the answer.", ("kind",)),
        )
        return Front(
            lambda: self._configuration.current,
            self._forwarder,
            self._streams,
            LotFront(self._lots, self._clock),
            self._gate,
            self._clock,
            metrics,
        )

    # --- what it does --------------------------------------------------------

    @property
    def ready(self) -> bool:
        """Whether callers may be sent here."""
        return (
            not self._stopping
            and self._configuration.current is not None
            and self._view.targets.ready
        )

    @property
    def failed(self) -> bool:
        """Whether its tasks can't go on."""
        return self._supervisor.failed

    def start(self) -> None:
        """Listen and start all tasks."""
        for server in self._servers.values():
            server.bind()
        start = self._supervisor.start
        self._view.start(self._supervisor)
        start("registration", self._registration.run)
        start("send", self._runner.send_loop)
        start("keep", self._runner.keeper.run)
        start("spool", self._runner.spooler.run)
        start("score", self._runner.scoring.run)
        start("loads", self._loads.run)
        start("own", self._lots.own_loop)
        start("settle", self._lots.settle_loop)
        start("crashes", self._crash_writer.run)
        self._assigning.start(self._supervisor)
        for duty in self._duties:
            duty.start(self._supervisor)
        start("upkeep", self._upkeep)
        start("call-log", self._meter.log_loop)
        for name, server in self._servers.items():
            start(name, server.run)
        start("metrics", self._metrics_page.run)

    def stop(self) -> None:
        """Finish what callers wait for, hand over the Lots, and end."""
        began = self._clock.monotonic()
        self._stopping = True
        self._lots.leave()
        self._registration.leave()
        for server in self._caller_servers():
            server.close_kept_alive()
        event(logger, "stopping", lots=len(self._runner.owned_ids()))
        last = began + self._settings.bounds.stop_seconds - STOP_RESERVE_SECONDS
        self._clock.sleep(UNREADY_SECONDS)
        while self._runner.has_open_lots() and self._clock.monotonic() < last:
            self._clock.sleep(0.1)
        self._lots.hand_over(last + HAND_OVER_SECONDS)
        close_all(self._caller_servers(), CLOSE_SECONDS)
        for duty in self._duties:
            duty.leave()
        self.close()
        event(logger, "drained", seconds=self._clock.monotonic() - began)

    def close(self) -> None:
        """Close all servers at once, and end all tasks."""
        close_all((*self._servers.values(), self._metrics_page.server), 0.0)
        self._supervisor.stop()

    def _caller_servers(self) -> list[RawServer]:
        return [
            server for name, server in self._servers.items() if name in CALLER_SERVERS
        ]

    def _on_configuration(self, new: Configuration) -> None:
        limits = new.limits
        for server in self._caller_servers():
            server.set_limits(limits.idle_seconds, limits.header_bytes)
        self._runner.wake()
        self._fleet.update()

    def _on_version(self, named: NamedVersion) -> None:
        """Send few samples to engines that load: those that don't fit are refused."""
        self._fleet.version_named()
        loading = self._fleet.places.loading(named)
        for target in self._table.all_targets():
            if target.address in loading:
                self._table.expect_load(target.id, named.model, named.version)

    def _on_assignment(self, assignment: Assignment) -> None:
        self._fleet.take(assignment)
        for duty in self._duties:
            duty.update_assignment(assignment)

    def _on_target_replaced(self, id: str) -> None:
        self._guard.replaced(id)
        self._connections.cut(id)

    def _is_first_member(self) -> bool:
        """Return whether this entry does what one entry should do for all."""
        names = [one.name for one in self._view.members() if not one.leaving]
        return min(names, default="") == self._settings.name

    def _on_targets(self) -> None:
        self._runner.wake()
        self._fleet.update()

    def _on_live(self, mirror: Mirror) -> None:
        state = mirror.state()
        self._ledger.take(state.rows, state.revision)
        self._assigning.on_live()
        self._view.restore_registration()
        self._lots.owners_changed()

    def _upkeep(self, stop: threading.Event) -> None:
        """Close idle connections and drop lapsed registrations."""
        while not stop.wait(UPKEEP_SECONDS):
            self._connections.close_idle()
            self._targets.expire(self._view.targets)

    def _answer_ready(self, call: RawCall) -> None:
        call.reply(200 if self.ready else 503)


def run(settings: NodeSettings) -> int:
    """Run an entry until it is told to stop; return the exit code."""
    return run_node(EntryNode(settings, SystemClock()), "entry", settings.name)
