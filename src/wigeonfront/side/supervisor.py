"""The side process: builds its parts and supervises their tasks.

The tree::

    side
    ├── server        peer sessions and control, one pool thread for each call
    ├── expiry        deadlines and retention of the ledger
    ├── executor-N    one for each attempt that the target runs at once
    ├── fencing       takes the fencing number (model engines)
    ├── weights       swaps (model engines)
    ├── probe         looks for an unreachable target (plain services)
    └── slots         ownership of idempotency keys and Lots
"""

import logging
import threading
import uuid

from wigeonfront import logs
from wigeonfront.clock import Clock, SystemClock
from wigeonfront.coordination import slots
from wigeonfront.coordination.delivery import DeliveryRights
from wigeonfront.coordination.keyed_work import KeyedWork
from wigeonfront.coordination.ledger import AttemptLedger
from wigeonfront.http import Server
from wigeonfront.metrics import Registry
from wigeonfront.platform.key_value import HttpKeyValue
from wigeonfront.platform.vm_list import HttpVmList
from wigeonfront.platform.weight_store import HttpWeightStore
from wigeonfront.policy.admission import AdmissionQueue, ClassLimit
from wigeonfront.settings import SideSettings
from wigeonfront.side.execution import Execution, TargetCondition
from wigeonfront.side.fencing import FencingKeeper
from wigeonfront.side.learning import FollowedPolicy, Learning
from wigeonfront.side.probe import TargetProbe
from wigeonfront.side.server import SideParts, SideServer
from wigeonfront.side.slots import SlotKeeper
from wigeonfront.side.target import EngineTarget, PlainTarget
from wigeonfront.side.weights import WeightsKeeper
from wigeonfront.stopping import StopSignal, wait_until
from wigeonfront.supervisor import Supervisor

logger = logging.getLogger(__name__)

EXPIRY_SECONDS = 0.25
# A side that leaves goes on with its queue for so long; what still waits then has
# not run and goes elsewhere.
HAND_BACK_SECONDS = 2.0
ACKNOWLEDGE_SECONDS = 5.0
# Dispatches and control calls, beside one thread for each session's stream.
CALL_THREADS = 16
EXIT_FAILED = 1


class Side:
    """One side process.

    Parameters
    ----------
    settings : SideSettings
    clock : Clock
    """

    def __init__(self, settings: SideSettings, clock: Clock | None = None) -> None:
        self._settings = settings
        self._clock = clock or SystemClock()
        self._incarnation = uuid.uuid4().hex[:12]
        self._supervisor = Supervisor("side", self._clock)
        self._vm_list = HttpVmList(settings.vm_list)
        self._key_value = HttpKeyValue(settings.key_value)
        self._fencing = FencingKeeper(settings.name, self._key_value)
        self._weights: WeightsKeeper | None = None
        self._probe: TargetProbe | None = None
        self._generates = settings.target_kind == "engine"
        self._queue = self._build_queue()
        self._execution = Execution(
            self._queue, self._build_target(), self._clock, self._generates
        )
        self._rights = DeliveryRights(
            self._clock,
            lambda key: self._slots.slot_of(key),
            settings.retention_seconds,
        )
        self._slots = SlotKeeper(
            settings.name,
            settings.service,
            self._incarnation,
            self._key_value,
            self._vm_list,
            self._rights,
            settings.retention_seconds,
            self._clock,
        )
        self._ledger = self._build_ledger()
        self._execution.connect(self._ledger)
        self._slots.connect(self._ledger)
        if self._generates:
            self._execution.condition = TargetCondition(-1, False)
            self._weights = self._build_weights()
        else:
            self._probe = TargetProbe(
                settings.target,
                self._execution,
                lambda: self._slots.hand_over("target_unreachable"),
                self._clock,
            )
        self._server = SideServer(self._build_parts())
        self._http = Server(
            str(settings.listen),
            self._server.application(),
            settings.max_peers + settings.control_threads + CALL_THREADS,
        )

    def run(self, stop: StopSignal) -> int:
        """Serve until `stop`; return the exit code."""
        self._http.bind()
        start = self._supervisor.start
        start("server", self._http.run)
        start("expiry", self._expire)
        start("slots", self._slots.run)
        for number in range(self._settings.capacity):
            start(f"executor-{number}", self._execution.run)
        if self._weights is not None:
            start("fencing", self._fencing.run)
            start("weights", self._weights.run)
        if self._probe is not None:
            start("probe", self._probe.run)
        logs.event(
            logger,
            "started",
            role="side",
            incarnation=self._incarnation,
            address=self._settings.listen,
            service=self._settings.service,
        )
        while not stop.wait(0.2) and not self._server.leaving:
            if self._supervisor.failed:
                return EXIT_FAILED
        self._drain()
        return 0

    def _drain(self) -> None:
        """End what is in flight, let its results be read, then stop."""
        self._server.leave()
        wait_until(
            lambda: self._execution.in_flight == 0,
            self._settings.drain_seconds,
            self._clock,
            "in_flight",
        )
        wait_until(
            lambda: self._ledger.unacknowledged == 0,
            ACKNOWLEDGE_SECONDS,
            self._clock,
            "acknowledged",
        )
        self._slots.leave()
        self._server.end_streams()
        self._http.close()
        self._supervisor.stop()
        logs.event(logger, "stopped", role="side")

    def _expire(self, stop: threading.Event) -> None:
        while not stop.wait(EXPIRY_SECONDS):
            self._slots.note_awake()
            if self._server.leaving_for > HAND_BACK_SECONDS:
                self._execution.hand_back("leaving")
            self._queue.sweep()
            self._execution.stop_runs(self._ledger.expire(), "expired")

    def _build_ledger(self) -> AttemptLedger:
        keys = KeyedWork(
            self._settings.retention_seconds,
            slot_of=self._slots.slot_of,
            minted_epoch=slots.minted_epoch,
        )
        return AttemptLedger(
            self._incarnation, self._clock, admission=self._execution.admit, keys=keys
        )

    def _build_queue(self) -> AdmissionQueue:
        settings = self._settings
        reserved = int(settings.headroom * settings.capacity)
        limit = ClassLimit(queue=settings.queue_limit)
        self._headroom = {"interactive": reserved}
        self._limits = dict.fromkeys(("interactive", "booking", "rollout"), limit)
        return AdmissionQueue(
            settings.capacity,
            self._headroom,
            self._limits,
            self._clock,
            on_expired=lambda item, outcome: self._execution.expired(item, outcome),
        )

    def _build_target(self) -> EngineTarget | PlainTarget:
        settings = self._settings
        if self._generates:
            self._engine = EngineTarget(
                settings.target, settings.name, self._clock, settings.capacity
            )
            return self._engine
        return PlainTarget(settings.target, settings.name, self._clock)

    def _build_weights(self) -> WeightsKeeper:
        settings = self._settings
        store = (
            HttpWeightStore(settings.weight_store) if settings.weight_store else None
        )
        return WeightsKeeper(
            settings.name,
            settings.service,
            self._engine,
            self._execution,
            store,
            self._vm_list,
            lambda: self._fencing.number,
            self._clock,
        )

    def _build_parts(self) -> SideParts:
        settings = self._settings
        weights = self._weights
        learning = Learning(
            settings.service,
            on_version=weights.learned if weights else lambda version: None,
            on_policy=self._follow,
        )
        return SideParts(
            name=settings.name,
            service=settings.service,
            incarnation=self._incarnation,
            capacity=settings.capacity,
            beat_seconds=settings.beat_seconds,
            clock=self._clock,
            ledger=self._ledger,
            queue=self._queue,
            execution=self._execution,
            learning=learning,
            slots=self._slots,
            rights=self._rights,
            metrics=Registry(),
        )

    def _follow(self, policy: FollowedPolicy) -> None:
        """Put a newer catalogue policy in force."""
        if self._weights is not None:
            self._weights.configure(policy.wave)
        self._queue.configure(
            self._settings.capacity, self._headroom, self._limits, policy.weights
        )
        logs.event(
            logger,
            "policy_applied",
            revision=policy.revision,
            wave=policy.wave,
            catalogue_entries=len(policy.rows),
        )


def run(settings: SideSettings) -> int:
    """Run a side until it is told to stop; return the exit code."""
    logs.configure(settings.name, settings.log_level, settings.log_file)
    stop = StopSignal()
    stop.install()
    return Side(settings).run(stop)
