"""Fake targets: a model engine with continuous batching, and a plain service.

All sequences of a batch advance together, one token a step; a step takes longer
the larger the batch. Progress is therefore one number per engine, and the next
sequence to finish is the one with the least end point.
"""

import heapq
import itertools
from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass, field

from benchmarks.policy.loop import EventLoop, Timer


@dataclass(frozen=True)
class EngineProfile:
    """Speed and memory of an engine.

    Attributes
    ----------
    slots : int
        Sequences run at once.
    step, step_per_sequence : float
        Seconds of one step: a constant and a part for each sequence.
    prefill : float
        Steps that one prompt token without a cached prefix costs.
    cached_prefixes : int
        Prefixes that fit into the cache.
    """

    slots: int = 16
    step: float = 0.020
    step_per_sequence: float = 0.0005
    prefill: float = 0.05
    cached_prefixes: int = 24


@dataclass(slots=True, eq=False)
class Job:
    """One sequence at an engine."""

    id: str
    tokens: float
    prompt: float
    prefix: str
    ended: Callable[["Job", bool], None]
    versions: list[int] = field(default_factory=list)
    start: float = 0.0
    prefill: float = 0.0
    cached: bool = False


class Engine:
    """A fake engine; `ended` of each job is called once unless it is cancelled.

    Parameters
    ----------
    loop : EventLoop
        Virtual time.
    name : str
        Name of its side.
    profile : EngineProfile
        Speed and memory.
    """

    def __init__(self, loop: EventLoop, name: str, profile: EngineProfile) -> None:
        self._loop = loop
        self.name = name
        self.profile = profile
        self.version = 0
        self.slow = 1.0
        self.up = True
        self.failing = False
        self.loading = False
        self.prefix_lookups = 0
        self.prefix_hits = 0
        self.on_cached: Callable[[str, bool], None] = lambda prefix, stored: None
        self._progress = 0.0
        self._updated = 0.0
        self._running: dict[str, Job] = {}
        self._ends: list[tuple[float, int, Job]] = []
        self._order = itertools.count()
        self._next: Timer | None = None
        self._cache: OrderedDict[str, None] = OrderedDict()

    @property
    def serving(self) -> bool:
        """Whether new work may start."""
        return self.up and not self.loading and self.version >= 0

    @property
    def running(self) -> int:
        """Sequences in the batch."""
        return len(self._running)

    def start(self, job: Job) -> None:
        """Add a sequence to the batch."""
        self._advance()
        if self.failing or not self.up:
            self._loop.after(0.002, job.ended, job, False)
            return
        job.cached = self._look_up(job.prefix)
        job.prefill = 0.0 if job.cached else job.prompt * self.profile.prefill
        job.start = self._progress
        job.versions.append(self.version)
        self._running[job.id] = job
        end = job.start + job.prefill + job.tokens
        heapq.heappush(self._ends, (end, next(self._order), job))
        self._schedule()

    def generated(self, job: Job) -> float:
        """Return the tokens that `job` has so far."""
        self._advance()
        done = self._progress - job.start - job.prefill
        return min(job.tokens, max(0.0, done))

    def cancel(self, job: Job) -> float:
        """Take a sequence out; return the tokens that it had produced."""
        generated = self.generated(job)
        if self._running.pop(job.id, None) is not None:
            self._schedule()
        return generated

    def load(self, version: int, seconds: float, loaded: Callable[[], None]) -> None:
        """Stall the batch for `seconds`, then go on with `version`."""
        self._advance()
        self.loading = True
        self._schedule()
        self._loop.after(seconds, self._loaded, version, loaded)

    def _loaded(self, version: int, loaded: Callable[[], None]) -> None:
        self._advance()
        self.loading = False
        self.version = version
        self._cache.clear()
        if version < 0:
            self._cut_all()
        for job in self._running.values():
            job.versions.append(version)
        self._schedule()
        loaded()

    def crash(self, seconds: float) -> None:
        """End every sequence as failed and stay down for `seconds`."""
        self._advance()
        self.up = False
        self._cache.clear()
        self._cut_all()
        self._schedule()
        self._loop.after(seconds, self._recover)

    def _cut_all(self) -> None:
        cut = list(self._running.values())
        self._running.clear()
        for job in cut:
            job.ended(job, False)

    def _recover(self) -> None:
        self._advance()
        self.up = True
        self._schedule()

    def set_slow(self, factor: float) -> None:
        """Multiply the time of each step."""
        self._advance()
        self.slow = factor
        self._schedule()

    def _step(self) -> float:
        batch = len(self._running)
        return self.slow * (self.profile.step + self.profile.step_per_sequence * batch)

    def _advance(self) -> None:
        now = self._loop.monotonic()
        if self._running and not self.loading and self.up:
            self._progress += (now - self._updated) / self._step()
        self._updated = now

    def _schedule(self) -> None:
        if self._next is not None:
            self._next.cancel()
            self._next = None
        while (
            self._ends
            and self._running.get(self._ends[0][2].id) is not (self._ends[0][2])
        ):
            heapq.heappop(self._ends)
        if self._ends and not self.loading and self.up:
            left = (self._ends[0][0] - self._progress) * self._step()
            self._next = self._loop.after(left, self._finish)

    def _finish(self) -> None:
        self._advance()
        # The timer was set for this job; rounding may leave a sliver of a token.
        _, _, job = heapq.heappop(self._ends)
        del self._running[job.id]
        self._schedule()
        job.ended(job, True)

    def _look_up(self, prefix: str) -> bool:
        if not prefix:
            return False
        self.prefix_lookups += 1
        hit = prefix in self._cache
        self.prefix_hits += hit
        self._cache[prefix] = None
        self._cache.move_to_end(prefix)
        if not hit:
            self.on_cached(prefix, True)
        if len(self._cache) > self.profile.cached_prefixes:
            evicted, _ = self._cache.popitem(last=False)
            self.on_cached(evicted, False)
        return hit


class WeightStore:
    """A weight store that refuses loads above its rate.

    Parameters
    ----------
    loop : EventLoop
        Virtual time.
    rate : float
        Loads a second.
    burst : float
        Loads at once.
    """

    def __init__(self, loop: EventLoop, rate: float, burst: float) -> None:
        self._loop = loop
        self._rate = rate
        self._burst = burst
        self._tokens = burst
        self._updated = 0.0
        self.refused = 0

    def fetch(self) -> float:
        """Return 0 when the load is granted, else seconds to come back after."""
        now = self._loop.monotonic()
        earned = (now - self._updated) * self._rate
        self._tokens = min(self._burst, self._tokens + earned)
        self._updated = now
        if self._tokens >= 1.0:
            self._tokens -= 1.0
            return 0.0
        self.refused += 1
        return (1.0 - self._tokens) / self._rate
