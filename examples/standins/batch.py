"""The continuous batch of the stand-in engine.

A thread takes a step every ``step_seconds`` and gives each running request one
token. Requests wait in the order of their priority; one of a more urgent priority
takes the slot of the least urgent one, which waits again and later pays its
prefill anew. Shared prefixes are kept in a limited cache.
"""

import heapq
import math
import queue
import random
import threading
import time
from collections import OrderedDict, deque
from collections.abc import Iterator
from dataclasses import dataclass, field
from typing import Any

import msgspec

from standins.history import History, token

KEPT_EVENTS = 5000
IDLE_SECONDS = 0.5


@dataclass(frozen=True, slots=True)
class BatchSettings:
    """How the batch behaves; times in seconds.

    Attributes
    ----------
    slots, queue_limit : int
        Requests that run at once, and that may wait.
    step_seconds : float
        Time of a step, which gives each running request one token.
    chunk_tokens : int
        Tokens on one line of the stream.
    prompt_tokens, prefill_tokens : int
        Length of each prompt, and prompt tokens that one step works off.
    cache_prefixes : int
        Prefixes that the cache holds.
    report_lag : float
        How late load and cache events are seen.
    event_loss : float
        Share of the cache events that are never seen.
    seed : int
        Seed of the lost events.
    """

    slots: int = 8
    queue_limit: int = 64
    step_seconds: float = 0.01
    chunk_tokens: int = 4
    prompt_tokens: int = 200
    prefill_tokens: int = 100
    cache_prefixes: int = 32
    report_lag: float = 0.3
    event_loss: float = 0.1
    seed: int = 1


@dataclass(slots=True, eq=False)
class Job:
    """A request at the engine, from its arrival to its last line."""

    id: str
    digest: str
    prefix: str
    priority: int
    max_tokens: int
    position: int
    lines: queue.SimpleQueue = field(default_factory=queue.SimpleQueue)
    pending: list[str] = field(default_factory=list)
    spans: list[dict[str, int]] = field(default_factory=list)
    prefill_left: int = 0
    cached_tokens: int = 0
    started: bool = False
    ended: bool = False

    def tell(self, line: dict[str, Any]) -> None:
        """Put `line` on the request's stream."""
        self.lines.put(msgspec.json.encode(line) + b"\n")


class Batch:
    """Requests of one engine, running and waiting."""

    def __init__(self, settings: BatchSettings, version: int, history: History) -> None:
        self._settings = settings
        self._version = version
        self._history = history
        self._jobs: dict[str, Job] = {}
        self._running: list[Job] = []
        self._queue: list[tuple[int, int, Job]] = []
        self._arrivals = 0
        self._paused_until = 0.0
        self._cache: OrderedDict[str, None] = OrderedDict()
        self._events: deque[tuple[float, dict[str, Any], bool]] = deque(
            maxlen=KEPT_EVENTS
        )
        self._sequence = 0
        self._random = random.Random(settings.seed)
        kept = int(settings.report_lag / settings.step_seconds) + 100
        self._reports: deque[tuple[float, dict[str, Any]]] = deque(maxlen=kept)
        self._changed = threading.Condition(threading.RLock())
        self._report()

    @property
    def version(self) -> int:
        """The weight version in use; -1 where there is none."""
        return self._version

    def submit(self, job: Job) -> str:
        """Queue `job`, or return why it is refused and will not run."""
        with self._changed:
            if self._version < 0:
                return "no_weights"
            if len(self._queue) >= self._settings.queue_limit:
                return "queue_full"
            if job.id in self._jobs:
                return "duplicate_id"
            self._jobs[job.id] = job
            self._push(job)
            self._changed.notify_all()
            return ""

    def cancel(self, job_id: str, reason: str = "cancelled") -> bool:
        """End a request, running or waiting; `False` where there is none."""
        with self._changed:
            job = self._jobs.get(job_id)
            if job is None:
                return False
            self._flush(job)
            self._end(job, "execute_cut", {"error": reason})
            return True

    def abandon(self, job: Job) -> None:
        """End `job` when its reader has gone."""
        with self._changed:
            if not job.ended:
                self.cancel(job.id, "reader_gone")

    def swap(self, version: int, pause: float = 0.0) -> None:
        """Go on with weights `version` after `pause`; -1 ends all requests."""
        with self._changed:
            for job in self._running:
                self._flush(job)
            self._version = version
            self._paused_until = time.monotonic() + pause
            if version < 0:
                for job_id in list(self._jobs):
                    self.cancel(job_id, "no_weights")

    def load(self) -> dict[str, Any]:
        """Return the load as it was `report_lag` seconds ago."""
        seen_until = time.monotonic() - self._settings.report_lag
        with self._changed:
            seen = [report for at, report in self._reports if at <= seen_until]
            return (seen or [self._reports[0][1]])[-1]

    def cache_events(self, after: int) -> dict[str, Any]:
        """Return the cache events seen by now, later than sequence `after`."""
        seen_until = time.monotonic() - self._settings.report_lag
        with self._changed:
            seen = [entry for entry in self._events if entry[0] <= seen_until]
        newest = seen[-1][1]["sequence"] if seen else 0
        events = [
            event for _, event, lost in seen if not lost and event["sequence"] > after
        ]
        return {"events": events, "newest": newest}

    def run(self) -> None:
        """Take steps for ever."""
        due = time.monotonic()
        while True:
            with self._changed:
                if not self._jobs:
                    self._changed.wait(IDLE_SECONDS)
            due = max(due + self._settings.step_seconds, time.monotonic())
            time.sleep(max(0.0, due - time.monotonic()))
            self.step()

    def step(self) -> None:
        """Fill the slots and give each running request its token."""
        with self._changed:
            if time.monotonic() < self._paused_until:
                return
            self._fill_slots()
            for job in list(self._running):
                self._advance(job)
            self._report()

    def _push(self, job: Job) -> None:
        self._arrivals += 1
        heapq.heappush(self._queue, (job.priority, self._arrivals, job))

    def _fill_slots(self) -> None:
        while self._queue:
            full = len(self._running) >= self._settings.slots
            if full and not self._preempt_for(self._queue[0][2]):
                return
            self._start(heapq.heappop(self._queue)[2])

    def _preempt_for(self, waiting: Job) -> bool:
        victim = max(self._running, key=lambda job: job.priority)
        if victim.priority <= waiting.priority:
            return False
        self._running.remove(victim)
        self._flush(victim)
        self._push(victim)
        return True

    def _start(self, job: Job) -> None:
        if not job.started:
            job.started = True
            self._history.write("execute_start", id=job.id, digest=job.digest)
        self._running.append(job)
        cached = self._look_up(job.prefix)
        job.cached_tokens = max(job.cached_tokens, cached)
        tokens = self._settings.prompt_tokens - cached + job.position
        job.prefill_left = math.ceil(tokens / self._settings.prefill_tokens)

    def _look_up(self, prefix: str) -> int:
        if not prefix:
            return 0
        if prefix in self._cache:
            self._cache.move_to_end(prefix)
            return self._settings.prompt_tokens
        self._cache[prefix] = None
        self._add_event("stored", prefix)
        if len(self._cache) > self._settings.cache_prefixes:
            evicted, _ = self._cache.popitem(last=False)
            self._add_event("evicted", evicted)
        return 0

    def _add_event(self, kind: str, prefix: str) -> None:
        self._sequence += 1
        event = {"sequence": self._sequence, "prefix": prefix, "kind": kind}
        lost = self._random.random() < self._settings.event_loss
        self._events.append((time.monotonic(), event, lost))

    def _advance(self, job: Job) -> None:
        if job.prefill_left > 0:
            job.prefill_left -= 1
            return
        if job.position < job.max_tokens:
            self._generate(job)
        if len(job.pending) >= self._settings.chunk_tokens:
            self._flush(job)
        if job.position >= job.max_tokens:
            self._flush(job)
            last = {"done": True, "cached_tokens": job.cached_tokens}
            self._end(job, "execute_end", last)

    def _generate(self, job: Job) -> None:
        job.pending.append(token(job.digest, job.position))
        if not job.spans or job.spans[-1]["version"] != self._version:
            span = {"version": self._version, "start": job.position}
            job.spans.append(span)
        job.position += 1
        job.spans[-1]["end"] = job.position

    def _flush(self, job: Job) -> None:
        """Put the tokens generated since the last line on record and on the stream."""
        if not job.pending:
            return
        start = job.position - len(job.pending)
        fields = {"version": self._version, "start": start, "end": job.position}
        # Recorded first, so that a killed engine has recorded all that it sent.
        self._history.write("execute_tokens", id=job.id, digest=job.digest, **fields)
        job.tell({"tokens": job.pending, "version": self._version})
        job.pending = []

    def _end(self, job: Job, event: str, last: dict[str, Any]) -> None:
        job.ended = True
        job.tell(last)
        job.lines.put(None)
        del self._jobs[job.id]
        if job in self._running:
            self._running.remove(job)
        else:
            self._queue = [entry for entry in self._queue if entry[2] is not job]
            heapq.heapify(self._queue)
        if job.started:
            versions = sorted({span["version"] for span in job.spans})
            self._history.write(
                event,
                id=job.id,
                digest=job.digest,
                versions=versions,
                spans=job.spans,
                reason=last.get("error", ""),
            )

    def _report(self) -> None:
        report = {
            "running": len(self._running),
            "queued": len(self._queue),
            "capacity": self._settings.slots,
            "kv_used": len(self._cache) / self._settings.cache_prefixes,
        }
        self._reports.append((time.monotonic(), report))


class TokenStream:
    """The stream of one request; its end without a reader ends the request."""

    def __init__(self, batch: Batch, job: Job) -> None:
        self._batch = batch
        self._job = job

    def __iter__(self) -> Iterator[bytes]:
        yield from iter(self._job.lines.get, None)

    def close(self) -> None:
        """End the request unless it has ended."""
        self._batch.abandon(self._job)
