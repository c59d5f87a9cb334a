"""The entry process: takes callers' requests and runs Lots.

Its supervisor starts three mirrors of the store (operator, targets, live processes),
the registration, the tasks that send samples, store results and take over Lots, and the
servers for callers, readiness and metrics.
"""

import logging
import random
import threading
from collections.abc import Callable

from wigeonfront.accounts import AdmissionBounds
from wigeonfront.accounts.gate import AccountGate
from wigeonfront.api.operations import VersionServer
from wigeonfront.capacity import DemandBook
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
from wigeonfront.forwarding.hedging_state import HedgingState
from wigeonfront.forwarding.report_exchange import (
    COUNTER_HELP,
    COUNTER_NAME,
    ReportSender,
    ReportServer,
)
from wigeonfront.forwarding.streams import StreamForwarder
from wigeonfront.http.budget import fit_budgets
from wigeonfront.http.raw import ConnectionLimits, RawCall, RawServer, close_all
from wigeonfront.node.assigning import EntryAssignment
from wigeonfront.node.caller_metrics import CallerMetrics
from wigeonfront.node.duties import make_duties
from wigeonfront.node.engine_orders import make_fleet
from wigeonfront.node.following import ConfigurationFollower, TargetFollower
from wigeonfront.node.interface import InterfaceParts, make_api
from wigeonfront.node.metrics_page import METRICS_PORT, MetricsPage
from wigeonfront.node.peer_calls import PeerCalls
from wigeonfront.node.process import run_node, stop_this_process
from wigeonfront.node.settings import NodeSettings
from wigeonfront.node.stop_budget import MIN_STOP_SECONDS, stop_budget
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
from wigeonfront.rollout.lot_admission import LotAdmission
from wigeonfront.rollout.lots import Lots
from wigeonfront.rollout.owner_calls import EndServer, ResultServer, SubmissionServer
from wigeonfront.rollout.pending import PendingLots
from wigeonfront.rollout.repository import LotRepository
from wigeonfront.rollout.reward_call import RewardCaller
from wigeonfront.rollout.runner import LotRunner
from wigeonfront.rollout.sample_run import SampleRunner
from wigeonfront.rollout.spooling import LotSpools
from wigeonfront.rollout.submissions import SubmissionStore
from wigeonfront.spool import SpoolClient
from wigeonfront.spool.relay import SpoolRelayServer
from wigeonfront.supervisor import Supervisor
from wigeonfront.targets.table import TargetTable
from wigeonfront.usage.starts import StartLog
from wigeonfront.weights.plan import NamedVersion

logger = logging.getLogger(__name__)

CALL_THREADS = 200
"""Maximum of concurrent calls of callers; a read of results holds a thread for up to
1 s."""

READY_THREADS = 4
PEER_THREADS = 250
"""Maximum of concurrent calls of other processes: each follower of the feed has up to
three waiting calls."""

PEER_CONNECTIONS = 1_000
"""Maximum of idle connections of other processes that are kept open."""

UPKEEP_INTERVAL_SECONDS = 0.25
"""Interval between two checks for idle connections and lapsed registrations. A lapsed
registration is used for up to this time longer."""

CALLER_SERVERS = ("front", "api")

STOP_POLL_SECONDS = 0.1
"""Pause between two checks whether a part of a stop has ended."""


class EntryNode:
    """One entry process.

    Parameters
    ----------
    settings : NodeSettings
    clock : Clock
    drain : callable
        Starts a planned stop, as a stop signal does.
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
            self._connections,
            PlatformTargets(),
            clock,
            self._guard,
            self._table.accepts_work,
        )
        self._starts = StartLog(clock)
        self._forwarder = self._make_forwarder()
        self._streams = self._make_streams()
        self._repository = LotRepository(self._store, settings.store_value_bytes)
        self._spool = SpoolClient(clock, lambda: self._view.relays())
        self._demands = DemandBook(clock)
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
        self._assignment = EntryAssignment(
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
            self._assignment.holder,
            clock,
            self._metrics,
        )
        self._admission = self._make_admission() if settings.lot_admission else None
        self._lots = self._make_lots()
        self._loads = LoadFollower(
            self._table,
            self._lots.recent_owners,
            self._runner.has_open_lots,
            self._demands,
            clock,
            settings.peer_address,
        )
        self._report_counter = self._metrics.counter(
            COUNTER_NAME, COUNTER_HELP, ("effect",)
        )
        self._reports = ReportSender(
            self._table,
            lambda: self._registration.member,
            self._view.members,
            clock,
            self._random,
            self._report_counter,
        )
        self._table.set_finding_listener(self._reports.finding)
        self._gate = self._make_gate()
        self._servers = self._make_servers()
        self._metrics_page = MetricsPage(settings.host, METRICS_PORT, self._metrics)

    # --- parts ---------------------------------------------------------------

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
            busy=lambda: self._runner.has_open_lots() or self._assignment.holds,
        )

    def _make_forwarder(self) -> Forwarder:
        sends = self._metrics.counter(
            "sends_total", "Sends to targets.", ("service", "outcome")
        )
        seconds = self._metrics.histogram(
            "send_seconds", "Time of a send.", ("service",)
        )
        hedges = self._metrics.counter(
            "hedges_total", "Second sends of requests.", ("service", "outcome")
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
            HedgingState(self._clock),
            hedges,
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
            self._demands,
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
                self._view.disk_registrations,
                self._settings.tolerated_losses + 1,
                self._clock,
            ),
            SubmissionStore(self._spool),
            PendingLots(self._spool, self._view.disk_registrations, self._clock),
            lambda: self._loads.lot_started(),
            self._clock,
            self._admission,
        )

    def _make_admission(self) -> LotAdmission:
        return LotAdmission(
            self._demands,
            self._table,
            self._runner.work,
            lambda: self._configuration.current,
            lambda: self._view.targets.ready and not self._view.targets.failing,
            self._clock,
            self._metrics,
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
        """Return the servers by the names of their tasks."""
        settings = self._settings
        refusals_of = CallerMetrics(self._metrics).refusals_of
        servers = {
            "ready": RawServer(
                settings.ready_address,
                self._answer_ready,
                READY_THREADS,
                on_refusal=refusals_of("ready"),
            ),
            "peer": RawServer(
                settings.peer_address,
                self._make_peer_calls().answer,
                PEER_THREADS,
                PEER_CONNECTIONS,
                refusals_of("peer"),
            ),
        }
        if settings.front_address:
            servers["front"] = RawServer(
                settings.front_address,
                self._make_front().handle,
                CALL_THREADS,
                on_refusal=refusals_of("front"),
            )
        if settings.api_address:
            servers["api"] = RawServer(
                settings.api_address,
                make_api(self._interface_parts()).handle,
                CALL_THREADS,
                on_refusal=refusals_of("api"),
            )
        return servers

    def _make_peer_calls(self) -> PeerCalls:
        return PeerCalls(
            RelayServer(self._store),
            FeedServer(lambda: self._view.mirrors),
            ResultServer(self._lots.read_locally),
            SubmissionServer(self._lots.submit_locally),
            EndServer(self._lots.end_locally),
            LoadServer(self._table, self._demands),
            ReportServer(self._table, self._clock, self._report_counter),
            VersionServer(lambda: self._configuration.version),
            SpoolRelayServer(self._spool),
            {
                path: answer
                for duty in self._duties
                for path, answer in duty.answers.items()
            },
        )

    def _interface_parts(self) -> InterfaceParts:
        return InterfaceParts(
            name=self._settings.name,
            own_member=lambda: self._registration.member,
            ready=lambda: self.ready,
            drain=self._drain,
            store=self._store,
            view=self._view,
            configuration=self._configuration,
            assignment=self._assignment,
            duties=self._duties,
            table=self._table,
            forwarder=self._forwarder,
            streams=self._streams,
            lots=self._lots,
            engine_shares=self._runner.engine_shares,
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

    # --- operation -----------------------------------------------------------

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
        """Whether a task has failed for good."""
        return self._supervisor.failed

    def start(self) -> None:
        """Bind all servers and start all tasks."""
        if self._settings.bounds.stop_seconds < MIN_STOP_SECONDS:
            event(
                logger,
                "stop_time_short",
                level=logging.WARNING,
                seconds=self._settings.bounds.stop_seconds,
                needed=MIN_STOP_SECONDS,
            )
        for server in self._servers.values():
            server.bind()
        start = self._supervisor.start
        self._view.start(self._supervisor)
        start("registration", self._registration.run)
        start("send", self._runner.send_loop)
        start("keep", self._runner.result_writer.run)
        start("spool", self._runner.spooler.run)
        start("score", self._runner.scoring.run)
        start("loads", self._loads.run)
        start("reports", self._reports.run)
        start("own", self._lots.takeover_loop)
        start("settle", self._lots.deferred_head_loop)
        if self._admission is not None:
            start("admission", self._admission.run)
        start("crashes", self._crash_writer.run)
        self._assignment.start(self._supervisor)
        for duty in self._duties:
            duty.start(self._supervisor)
        start("upkeep", self._upkeep)
        start("call-log", self._meter.log_loop)
        for name, server in self._servers.items():
            start(name, server.run)
        start("metrics", self._metrics_page.run)

    def stop(self) -> None:
        """Finish open calls and Lots, hand over the Lots that are left, and close."""
        began = self._clock.monotonic()
        self._stopping = True
        self._lots.leave()
        self._registration.leave()
        for server in self._caller_servers():
            server.close_kept_alive()
        event(logger, "stopping", lots=len(self._runner.owned_ids()))
        budget = stop_budget(self._settings.bounds.stop_seconds)
        self._clock.sleep(budget.unready)
        for server in self._caller_servers():
            server.start_close(budget.calls_end - budget.unready)
        self._wait(lambda: not self._runner.has_open_lots(), began + budget.hand_over)
        self._lots.hand_over(began + budget.hand_over_end)
        self._wait(self._calls_ended, began + budget.calls_end)
        for duty in self._duties:
            duty.leave()
        cut_off = sum(server.open_calls for server in self._caller_servers())
        self.close()
        seconds = self._clock.monotonic() - began
        event(logger, "drained", seconds=seconds, cut_off=cut_off)

    def _wait(self, ended: Callable[[], bool], until: float) -> None:
        """Wait until `ended` returns ``True``, or until a monotonic time."""
        while not ended() and self._clock.monotonic() < until:
            self._clock.sleep(STOP_POLL_SECONDS)

    def _calls_ended(self) -> bool:
        return not any(
            server.listening or server.open_calls for server in self._caller_servers()
        )

    def close(self) -> None:
        """Close all servers without a grace time, and end all tasks."""
        servers = (*self._servers.values(), self._metrics_page.server)
        closing = threading.Thread(target=close_all, args=(servers, 0.0))
        closing.start()
        self._supervisor.stop()
        closing.join()

    def _caller_servers(self) -> list[RawServer]:
        return [
            server for name, server in self._servers.items() if name in CALLER_SERVERS
        ]

    def _on_configuration(self, new: Configuration) -> None:
        limits = ConnectionLimits(
            idle_seconds=new.limits.idle_seconds,
            head_seconds=new.limits.header_seconds,
            head_bytes=new.limits.header_bytes,
            body_bytes=new.limits.body_bytes,
        )
        for server in self._caller_servers():
            server.set_limits(limits)
        self._table.set_plain_services(new.plain_services)
        self._runner.wake()
        self._fleet.update()

    def _on_version(self, named: NamedVersion) -> None:
        """Expect a load at each engine that loads this version.

        A loading engine refuses samples that do not fit, so it is sent only few.
        """
        self._fleet.version_named()
        loading = self._fleet.places.loading(named)
        for target in self._table.all_targets():
            if target.address in loading:
                self._table.expect_load(target.id, named.model, named.version)

    def _on_assignment(self, assignment: Assignment) -> None:
        self._fleet.update_assignment(assignment)
        for duty in self._duties:
            duty.update_assignment(assignment)

    def _on_target_replaced(self, id: str) -> None:
        self._guard.target_replaced(id)
        self._connections.abort_calls(id)

    def _is_first_member(self) -> bool:
        """Return whether this entry does the work that one entry does for all."""
        names = [member.name for member in self._view.members() if not member.leaving]
        return min(names, default="") == self._settings.name

    def _on_targets(self) -> None:
        self._runner.wake()
        self._fleet.update()

    def _on_live(self, mirror: Mirror) -> None:
        state = mirror.state()
        self._ledger.update(state.rows, state.revision)
        self._assignment.on_live()
        self._table.set_entries(len(self._view.members()))
        self._view.restore_registration()
        self._lots.owners_changed()

    def _upkeep(self, stop: threading.Event) -> None:
        """Close idle connections and drop expired registrations."""
        while not stop.wait(UPKEEP_INTERVAL_SECONDS):
            self._connections.close_idle()
            self._targets.expire(self._view.targets)

    def _answer_ready(self, call: RawCall) -> None:
        call.reply(200 if self.ready else 503)


def run(settings: NodeSettings) -> int:
    """Run an entry until it gets a stop signal; return the exit code."""
    fit_budgets(settings.memory_bytes)
    return run_node(EntryNode(settings, SystemClock()), "entry", settings.name)
