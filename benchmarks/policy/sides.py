"""Side processes: the product's admission and swap policies on fake targets."""

from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random

from benchmarks.policy.engine import Engine, Job, WeightStore
from benchmarks.policy.loop import EventLoop
from benchmarks.policy.measures import Measures
from benchmarks.policy.variants import FifoQueue, Variant
from wigeonfront.outcomes import (
    Completed,
    Expired,
    Failed,
    NotRun,
    Outcome,
    VersionSpan,
)
from wigeonfront.policy.admission import AdmissionItem, AdmissionQueue, ClassLimit
from wigeonfront.policy.waves import (
    Peers,
    Swap,
    SwapSchedule,
    WaveSettings,
    drained,
)

VERSION_RETRY_AFTER = 0.25
DOWN_RETRY_AFTER = 0.5
DRAIN_CHECK = 0.1
LIMITS = {
    "interactive": ClassLimit(queue=256),
    "booking": ClassLimit(queue=256),
    "rollout": ClassLimit(queue=1024),
}


@dataclass(slots=True, eq=False)
class Task:
    """A request as an entry sees it."""

    id: str
    service: str
    work_class: str
    tokens: float
    deadline: float
    done: Callable[["Task", Outcome], None]
    prompt: float = 0.0
    prefix: str = ""
    idempotent: bool = True
    min_version: int = -1
    trainer: str = ""
    predicted: float = 0.0
    started: float = 0.0
    attempts: int = 0
    hedges: int = 0
    prior: float = 0.0
    tried: set[str] = field(default_factory=set)
    active: dict[str, "Attempt"] = field(default_factory=dict)
    finished: bool = False


@dataclass(slots=True, eq=False)
class Attempt:
    """One try of a task at one side."""

    id: str
    task: Task
    side: "Side"
    sent_at: float
    prior: float = 0.0
    generated: float = 0.0
    received_at: float = 0.0
    queue_delay: float = 0.0
    item: AdmissionItem | None = None
    job: Job | None = None
    reply: Callable[["Attempt", Outcome], None] = lambda attempt, outcome: None


@dataclass(frozen=True, slots=True)
class Report:
    """A load report, as of `composed`."""

    composed: float
    running: int
    queued: int
    queued_tokens: float
    version: int
    serving: bool


class Side:
    """A side process beside one target."""

    def __init__(
        self,
        loop: EventLoop,
        engine: Engine,
        failure_domain: str,
        variant: Variant,
        weights: dict[str, float],
        measures: Measures,
        latency: float,
        *,
        plain: bool,
    ) -> None:
        self._loop = loop
        self._variant = variant
        self._measures = measures
        self._latency = latency
        self._plain = plain
        self.engine = engine
        self.name = engine.name
        self.failure_domain = failure_domain
        self.capacity = engine.profile.slots
        self.queue = self._make_queue(weights)
        self._attempts: dict[str, Attempt] = {}
        if variant.admission:
            loop.every(0.1, self.queue.sweep, 0.1)

    def _make_queue(self, weights: dict[str, float]) -> AdmissionQueue | FifoQueue:
        variant = self._variant
        if not variant.admission:
            return FifoQueue(self.capacity, self._loop, self._expired)
        headroom = {
            "interactive": variant.headroom_interactive,
            "booking": variant.headroom_booking,
        }
        return AdmissionQueue(
            self.capacity,
            {} if self._plain else headroom,
            LIMITS,
            self._loop,
            weights,
            self._expired,
        )

    def report(self) -> Report:
        """Return the load now."""
        load = self.queue.load
        return Report(
            composed=self._loop.monotonic(),
            running=sum(load.running.values()),
            queued=sum(load.queued.values()),
            queued_tokens=load.queued_tokens + load.running_tokens,
            version=self.engine.version,
            serving=self.engine.serving,
        )

    def receive(self, attempt: Attempt) -> None:
        """Take a dispatch from an entry."""
        attempt.received_at = self._loop.monotonic()
        task = attempt.task
        if not self.engine.up or self.engine.version < 0:
            self._reply(attempt, NotRun("target_down", DOWN_RETRY_AFTER))
        elif not self._plain and self.engine.version < task.min_version:
            self._reply(attempt, NotRun("versions_behind", VERSION_RETRY_AFTER))
        else:
            self._offer(attempt)

    def _offer(self, attempt: Attempt) -> None:
        task = attempt.task
        attempt.item = AdmissionItem(
            id=attempt.id,
            work_class=task.work_class,  # type: ignore[arg-type]
            deadline=task.deadline,
            tokens=max(1.0, task.predicted - attempt.prior),
            trainer=task.trainer if self._variant.fair else "",
            idempotent=task.idempotent,
            payload=attempt,
        )
        answer = self.queue.offer(attempt.item)
        if isinstance(answer, NotRun):
            self._measures.decisions[f"admission:{answer.reason}"] += 1
            self._reply(attempt, answer)
            return
        self._measures.decisions[f"admission:{answer.reason}"] += 1
        self._attempts[attempt.id] = attempt
        if self._variant.preempt:
            for item in answer.preempt:
                self._preempt(item.payload)
        self.pump()

    def cancel(self, attempt_id: str) -> None:
        """Stop an attempt whose result nobody wants."""
        attempt = self._attempts.pop(attempt_id, None)
        if attempt is None or attempt.item is None:
            return
        if self.queue.cancel(attempt_id) == "running":
            self._stop(attempt)
            self.queue.finished(attempt.item, None)
            self.pump()

    def hold_urgent(self) -> None:
        """Send urgent work elsewhere, as a swap is about to begin."""
        if self._variant.hand_back and isinstance(self.queue, AdmissionQueue):
            for item in self.queue.hold_urgent():
                self._attempts.pop(item.id, None)
                self._reply(item.payload, NotRun("swapping"))

    def release_urgent(self) -> None:
        """Take urgent work again."""
        if isinstance(self.queue, AdmissionQueue):
            self.queue.release_urgent()
        self.pump()

    @property
    def urgent_running(self) -> int:
        """Interactive and booking work at the engine."""
        if isinstance(self.queue, AdmissionQueue):
            return self.queue.urgent_running
        return 0

    def pump(self) -> None:
        """Start what may start."""
        while self.engine.serving and (item := self.queue.take(0)):
            self._start(item.payload)

    def _start(self, attempt: Attempt) -> None:
        task = attempt.task
        if not self._plain and self.engine.version < task.min_version:
            self.queue.finished(attempt.item, None)
            self._attempts.pop(attempt.id)
            self._reply(attempt, NotRun("versions_behind", VERSION_RETRY_AFTER))
            return
        attempt.queue_delay = self._loop.monotonic() - attempt.received_at
        attempt.job = Job(
            attempt.id,
            tokens=max(1.0, task.tokens - attempt.prior),
            prompt=task.prompt + attempt.prior,
            prefix=task.prefix,
            ended=lambda job, ok: self._ended(attempt, ok),
        )
        self.engine.start(attempt.job)

    def _stop(self, attempt: Attempt) -> None:
        if attempt.job is not None:
            generated = self.engine.cancel(attempt.job)
            attempt.prior += generated
            self._measures.generated += generated
            attempt.job = None

    def _preempt(self, attempt: Attempt) -> None:
        self._measures.preemptions += 1
        self._stop(attempt)
        self.queue.finished(attempt.item, None)
        self._attempts.pop(attempt.id, None)
        self._loop.after(0.0, self._offer, attempt)

    def _ended(self, attempt: Attempt, ok: bool) -> None:
        job = attempt.job
        if job is None or self._attempts.pop(attempt.id, None) is None:
            return
        generated = job.tokens if ok else self.engine.generated(job)
        self._measures.generated += generated
        self.queue.finished(attempt.item, generated if ok else None)
        attempt.generated = generated
        if not ok:
            attempt.prior += generated
            self._reply(attempt, Failed("engine_failed"))
        else:
            self._check_versions(attempt.task, job)
            spans = tuple(VersionSpan(v, 0, 0) for v in job.versions)
            self._reply(attempt, Completed(None, spans, self.name))
        self.pump()

    def _check_versions(self, task: Task, job: Job) -> None:
        if not self._plain and min(job.versions) < task.min_version:
            self._measures.violations += 1

    def _expired(self, item: AdmissionItem, outcome: Expired) -> None:
        attempt = item.payload
        self._attempts.pop(attempt.id, None)
        self._reply(attempt, outcome)

    def _reply(self, attempt: Attempt, outcome: Outcome) -> None:
        self._loop.after(self._latency, attempt.reply, attempt, outcome)


class SwapTask:
    """The task of a side that brings its engine to the newest weights."""

    def __init__(
        self,
        loop: EventLoop,
        side: Side,
        model: str,
        names: tuple[str, ...],
        settings: WaveSettings,
        store: WeightStore,
        load_failure: float,
        random: Random,
        measures: Measures,
    ) -> None:
        self._loop = loop
        self._side = side
        self._peers = Peers(names)
        self._settings = settings
        self._store = store
        self._load_failure = load_failure
        self._random = random
        self._measures = measures
        self._schedule = SwapSchedule(side.name, model, settings, loop, random)
        self._busy = False
        self._learned = 0.0

    def learn(self, version: int) -> None:
        """Hear of a version from an entry."""
        if self._schedule.learned(version):
            self._learned = self._loop.monotonic()
            if not self._busy:
                self._step()

    def _step(self) -> None:
        self._busy = True
        decision = self._schedule.decide(self._side.engine.version, self._peers)
        if decision is None:
            self._busy = False
        elif isinstance(decision, Swap):
            self._order(decision.version)
        else:
            self._loop.after(min(1.0, decision.seconds + 0.001), self._step)

    def _order(self, version: int) -> None:
        retry_after = self._store.fetch()
        if retry_after > 0:
            self._schedule.failed(retry_after)
            self._step()
            return
        self._side.hold_urgent()
        self._drain(version, self._loop.monotonic())

    def _drain(self, version: int, since: float) -> None:
        waited = self._loop.monotonic() - since
        if not drained(self._side.urgent_running, waited, self._settings):
            self._loop.after(DRAIN_CHECK, self._drain, version, since)
            return
        failed = self._random.random() < self._load_failure
        self._side.engine.load(
            -1 if failed else version, self._settings.swap_seconds, self._loaded
        )

    def _loaded(self) -> None:
        if self._side.engine.version < 0:
            self._schedule.failed()
        else:
            self._measures.swaps.append(self._loop.monotonic() - self._learned)
            self._side.release_urgent()
        self._step()
