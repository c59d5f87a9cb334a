"""One run: a scenario under a variant of the policy."""

from functools import partial
from random import Random

from benchmarks.policy import predictors
from benchmarks.policy.engine import Engine, EngineProfile, WeightStore
from benchmarks.policy.entries import Entry
from benchmarks.policy.loop import EventLoop
from benchmarks.policy.measures import Measures, TrainerMeasures
from benchmarks.policy.sides import Side, SwapTask, Task
from benchmarks.policy.traces import (
    PLAIN_SLOTS,
    PLAIN_STEP,
    Call,
    Fault,
    Scenario,
    TrainerTrace,
)
from benchmarks.policy.variants import CacheDirectory, Variant
from wigeonfront.outcomes import Completed, Expired, NotRun, Outcome
from wigeonfront.policy.waves import WaveSettings

NAIVE_CLIENT_DELAY = 0.1


def run(scenario: Scenario, variant: Variant) -> Measures:
    """Run `scenario` under `variant` and return what was measured."""
    world = World(scenario, variant)
    world.loop.run(scenario.seconds)
    world.collect()
    return world.measures


class World:
    """Everything that takes part in a run."""

    def __init__(self, scenario: Scenario, variant: Variant) -> None:
        self.scenario = scenario
        self.variant = variant
        self.loop = EventLoop()
        self.measures = Measures()
        self.newest = 0
        self._random = Random(f"{scenario.seed}/run")
        self._weights = {t.name: t.weight for t in scenario.deployment.trainers}
        self._build_sides()
        self._build_entries()
        self._build_swaps()
        self.trainers = [Trainer(self, t) for t in scenario.deployment.trainers]
        callers = Callers(self)
        for call in scenario.calls():
            self.loop.after(call.time, callers.call, call)
        for fault in scenario.faults:
            self.loop.after(fault.time, self._bring_about, fault)

    def _build_sides(self) -> None:
        deployment = self.scenario.deployment
        plain = EngineProfile(
            slots=PLAIN_SLOTS, step=PLAIN_STEP, step_per_sequence=0.0, prefill=0.0
        )
        self.services = {
            "model": self._sides(deployment.model, deployment.workers, None),
            "plain": self._sides(
                deployment.callers.service, deployment.plain_workers, plain
            ),
        }

    def _sides(
        self, service: str, count: int, plain: EngineProfile | None
    ) -> list[Side]:
        deployment = self.scenario.deployment
        domains = deployment.failure_domains
        return [
            Side(
                self.loop,
                Engine(self.loop, f"{service}-{i}", plain or deployment.engine),
                domains[i % len(domains)],
                self.variant,
                self._weights,
                self.measures,
                deployment.latency,
                plain=plain is not None,
            )
            for i in range(count)
        ]

    def _build_entries(self) -> None:
        deployment = self.scenario.deployment
        predictor = predictors.make(self.variant.prediction)
        self.entries = [
            Entry(
                self.loop,
                f"entry-{i}",
                deployment.failure_domains[i % len(deployment.failure_domains)],
                self.services,
                self.variant,
                predictor,
                deployment.latency,
                Random(f"{self.scenario.seed}/entry-{i}"),
                self.measures,
            )
            for i in range(deployment.entries)
        ]
        for sides in self.services.values():
            for side in sides:
                first = self._random.uniform(0.0, deployment.beat)
                self.loop.every(deployment.beat, partial(self._beat, side), first)
        self._connect_cache_events()

    def _beat(self, side: Side) -> None:
        delay = self.scenario.deployment.report_lag + self.scenario.deployment.latency
        report = side.report()
        for entry in self.entries:
            self.loop.after(delay, entry.take_report, side.name, report)
        side.pump()

    def _connect_cache_events(self) -> None:
        directories = [
            entry.strategy
            for entry in self.entries
            if isinstance(entry.strategy, CacheDirectory)
        ]
        if not directories:
            return
        for side in self.services["model"]:
            side.engine.on_cached = partial(self._cached, directories, side.name)

    def _cached(
        self, directories: list[CacheDirectory], side: str, prefix: str, stored: bool
    ) -> None:
        deployment = self.scenario.deployment
        if self._random.random() < deployment.cache_event_loss:
            return
        for directory in directories:
            self.loop.after(
                deployment.cache_event_lag, directory.on_event, side, prefix, stored
            )

    def _build_swaps(self) -> None:
        deployment = self.scenario.deployment
        store = WeightStore(self.loop, deployment.store_rate, deployment.store_burst)
        settings = WaveSettings(
            width=self.variant.width,
            swap_seconds=deployment.swap_seconds,
            store_rate=deployment.store_rate if self.variant.width < 1 else 0.0,
            drain_seconds=self.variant.drain,
        )
        names = tuple(side.name for side in self.services["model"])
        self.swaps = [
            SwapTask(
                self.loop,
                side,
                deployment.model,
                names,
                settings,
                store,
                deployment.load_failure,
                Random(f"{self.scenario.seed}/{side.name}"),
                self.measures,
            )
            for side in self.services["model"]
        ]

    def publish(self) -> None:
        """Announce the next weight version; each side hears within a beat."""
        self.newest += 1
        for swap in self.swaps:
            delay = self._random.uniform(0.0, self.scenario.deployment.beat)
            self.loop.after(delay, swap.learn, self.newest)

    def _bring_about(self, fault: Fault) -> None:
        side = self.services[fault.service][fault.index]
        if fault.kind == "crash":
            side.engine.crash(fault.seconds)
        elif fault.kind == "failing":
            side.engine.failing = True
            self.loop.after(fault.seconds, setattr, side.engine, "failing", False)
        else:
            side.engine.set_slow(fault.factor)
            self.loop.after(fault.seconds, side.engine.set_slow, 1.0)

    def collect(self) -> None:
        """Read the engines' counters and close open intervals."""
        for side in self.services["model"]:
            self.measures.prefix_lookups += side.engine.prefix_lookups
            self.measures.prefix_hits += side.engine.prefix_hits
        for trainer in self.trainers:
            trainer.close()


class Trainer:
    """A trainer: sends Lots, trains on whole ones, publishes weights."""

    def __init__(self, world: World, trace: TrainerTrace) -> None:
        self._world = world
        self._loop = world.loop
        self._trace = trace
        self._measures = TrainerMeasures()
        world.measures.trainers[trace.name] = self._measures
        self._ready: list[list[int]] = []
        self._idle_since: float | None = 0.0
        self._sent = 0
        for _ in range(trace.ahead):
            self._send()

    def _send(self) -> None:
        step = self._sent
        self._sent += 1
        _Lot(self._world, self._trace, step, self._whole)

    def _whole(self, lot: "_Lot") -> None:
        seconds = self._loop.monotonic() - lot.sent_at
        self._measures.lots += 1
        self._measures.on_time += seconds <= self._trace.timeout
        self._measures.lot_seconds.append(seconds)
        self._ready.append(lot.versions)
        if self._idle_since is not None:
            self._train()

    def _train(self) -> None:
        now = self._loop.monotonic()
        self._measures.idle += now - (self._idle_since or 0.0)
        self._idle_since = None
        versions = self._ready.pop(0)
        newest = self._world.newest
        self._measures.staleness.append(
            sum(newest - version for version in versions) / len(versions)
        )
        self._loop.after(self._trace.train_seconds, self._trained)

    def _trained(self) -> None:
        self._measures.steps += 1
        every = self._trace.publishes_every
        if every and self._measures.steps % every == 0:
            self._world.publish()
        self._idle_since = self._loop.monotonic()
        self._send()
        if self._ready:
            self._train()

    def close(self) -> None:
        """Count the idle time up to the end of the run."""
        if self._idle_since is not None:
            self._measures.idle += self._loop.monotonic() - self._idle_since


class _Lot:
    """A Lot in flight; a sample that expires is sent again, as the trainer would."""

    def __init__(self, world: World, trace: TrainerTrace, step: int, whole) -> None:
        self._world = world
        self._trace = trace
        self._step = step
        self._whole = whole
        self.sent_at = world.loop.monotonic()
        self.versions: list[int] = []
        self._min_version = max(0, world.newest - trace.bound)
        samples = world.scenario.lot(trace, step)
        self._left = len(samples)
        self._entry = world.entries[step % len(world.entries)]
        delay = world.scenario.deployment.client_latency
        tasks = [self._task(s.name, s.group, s.tokens) for s in samples]
        world.loop.after(delay, self._entry.submit_lot, tasks)

    def _task(self, name: str, group: str, tokens: float) -> Task:
        return Task(
            id=f"{self._trace.name}/{self._step}/{name}",
            service="model",
            work_class="rollout",
            tokens=tokens,
            deadline=self._world.loop.monotonic() + self._trace.timeout,
            done=self._done,
            prompt=self._world.scenario.sample_prompt,
            prefix=group,
            min_version=self._min_version,
            trainer=self._trace.name,
        )

    def _done(self, task: Task, outcome: Outcome) -> None:
        if isinstance(outcome, Completed):
            self.versions.append(min(span.version for span in outcome.versions))
            self._left -= 1
            if self._left == 0:
                self._whole(self)
            return
        repeated = self._task(task.id, task.prefix, task.tokens)
        self._world.loop.after(1.0, self._entry.submit_lot, [repeated])


class Callers:
    """Ordinary users: a plain call, and for some a completion after it."""

    def __init__(self, world: World) -> None:
        self._world = world
        self._loop = world.loop
        self._trace = world.scenario.deployment.callers
        self._random = Random(f"{world.scenario.seed}/balancer")

    def call(self, call: Call) -> None:
        """Start one call."""
        measures = self._world.measures
        measures.calls += 1
        measures.offered[int(call.time)] += 1
        self._attempt(call, "plain", 1, self._loop.monotonic())

    def _attempt(self, call: Call, service: str, attempt: int, first: float) -> None:
        trace = self._trace
        plain = service == "plain"
        task = Task(
            id=f"call/{call.number}/{service}/{attempt}",
            service=service,
            work_class=trace.work_class if plain else "interactive",
            tokens=call.milliseconds if plain else call.tokens,
            deadline=self._loop.monotonic() + trace.timeout,
            done=lambda task, outcome: self._loop.after(
                self._latency, self._done, call, service, attempt, first, outcome
            ),
            prompt=0.0 if plain else trace.prompt,
            prefix="" if plain else call.prefix,
            idempotent=trace.idempotent or not plain,
        )
        entry = self._random.choice(self._world.entries)
        self._loop.after(self._latency, entry.submit, task)

    @property
    def _latency(self) -> float:
        return self._world.scenario.deployment.client_latency

    def _done(
        self, call: Call, service: str, attempt: int, first: float, outcome: Outcome
    ) -> None:
        if isinstance(outcome, Completed):
            if service == "plain" and call.model:
                self._attempt(call, "model", 1, first)
            else:
                self._succeeded(call, first)
            return
        plain_booking = service == "plain" and not self._trace.idempotent
        certain = isinstance(outcome, NotRun) or (
            isinstance(outcome, Expired) and not outcome.started
        )
        if plain_booking and not certain:
            self._world.measures.calls_unknown += 1
            return
        if attempt < self._trace.attempts:
            delay = self._retry_delay(outcome)
            self._loop.after(delay, self._attempt, call, service, attempt + 1, first)

    def _retry_delay(self, outcome: Outcome) -> float:
        if isinstance(outcome, (NotRun, Expired)) and self._world.variant.overload:
            return outcome.retry_after * self._random.uniform(1.0, 1.5)
        return NAIVE_CLIENT_DELAY

    def _succeeded(self, call: Call, first: float) -> None:
        measures = self._world.measures
        seconds = self._loop.monotonic() - first
        measures.call_seconds.append(seconds)
        if call.model:
            measures.model_seconds.append(seconds)
        if seconds <= self._trace.timeout:
            measures.calls_ok += 1
            measures.goodput[int(call.time)] += 1
