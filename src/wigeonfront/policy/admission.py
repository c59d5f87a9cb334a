"""Admission at a side: what waits, in which order, and what is refused early.

`AdmissionQueue` is thread-safe. Worker tasks call `take` and `finished`; sessions
call `offer` and `cancel`; the side's supervisor calls `sweep` a few times a second
so that expired work is answered at once.

Order: interactive, then booking, then rollouts; among rollouts a weighted fair
share over trainers, and within a trainer the least slack, which among samples of
one deadline is the longest predicted sample.
"""

import heapq
import itertools
import threading
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from typing import Any, Literal

from wigeonfront.clock import Clock
from wigeonfront.messages import WorkClass
from wigeonfront.outcomes import Expired, NotRun
from wigeonfront.policy.estimate import ServiceEstimate
from wigeonfront.policy.fairness import FairShare
from wigeonfront.policy.waiting import AdmissionItem, ClassQueue

CLASSES: tuple[WorkClass, ...] = ("interactive", "booking", "rollout")
"""Classes by falling urgency."""

PREEMPTIBLE: WorkClass = "rollout"
"""The class that yields running work."""

MIN_RETRY_AFTER = 0.1
MAX_RETRY_AFTER = 60.0

Withdrawn = Literal["queued", "running", "absent"]


@dataclass(frozen=True, slots=True)
class ClassLimit:
    """Bounds of one class at one side.

    Attributes
    ----------
    queue : int
        Most items waiting.
    concurrency : int or None
        Most items running; ``None`` for the capacity.
    """

    queue: int = 256
    concurrency: int | None = None


@dataclass(frozen=True, slots=True)
class Accepted:
    """The item waits or may start.

    Attributes
    ----------
    preempt : tuple of AdmissionItem
        Running rollouts to cancel so that this item starts at once. They are
        marked, so that no second item asks for them.
    """

    expected_wait: float
    reason: str
    figures: Mapping[str, Any] = field(default_factory=dict)
    preempt: tuple[AdmissionItem, ...] = ()


@dataclass(frozen=True, slots=True)
class QueueLoad:
    """Load of a side, for beats and logs.

    Attributes
    ----------
    running, queued : mapping of str to int
        Items by class.
    queued_tokens : float
        Predicted tokens of the items waiting.
    running_tokens : float
        Predicted tokens of the items running, less what the clock says is done.
    token_seconds : float
        Smoothed seconds per token of one slot; 0 before the first sample.
    """

    running: Mapping[WorkClass, int]
    queued: Mapping[WorkClass, int]
    queued_tokens: float
    running_tokens: float
    token_seconds: float


class AdmissionQueue:
    """What waits at one side, and who may start.

    Parameters
    ----------
    capacity : int
        Items that the target runs at once.
    headroom : mapping of str to int
        Slots kept free for a class, which no other class can take.
    limits : mapping of str to ClassLimit
        Bounds for each class.
    clock : Clock
        Source of monotonic time.
    weights : mapping of str to float
        Trainers' weights.
    on_expired : callable
        Called, outside the lock, with each item dropped at its deadline and its
        outcome.

    Notes
    -----
    An item's id must not be used again while it is queued or running.
    """

    def __init__(
        self,
        capacity: int,
        headroom: Mapping[WorkClass, int],
        limits: Mapping[WorkClass, ClassLimit],
        clock: Clock,
        weights: Mapping[str, float] | None = None,
        on_expired: Callable[[AdmissionItem, Expired], None] | None = None,
    ) -> None:
        self._clock = clock
        self._on_expired = on_expired or (lambda item, outcome: None)
        self._changed = threading.Condition()
        self._closed = False
        self._holding = ""
        self._items: dict[str, AdmissionItem] = {}
        self._running: dict[str, AdmissionItem] = {}
        self._deadlines: list[tuple[float, int, AdmissionItem]] = []
        self._offers = itertools.count()
        self._running_by_class = dict.fromkeys(CLASSES, 0)
        self._queues = {c: ClassQueue() for c in CLASSES if c != PREEMPTIBLE}
        self._trainer_queues: dict[str, ClassQueue] = {}
        self._fair = FairShare(weights=weights)
        self._estimate = ServiceEstimate()
        self.configure(capacity, headroom, limits, weights or {})

    def configure(
        self,
        capacity: int,
        headroom: Mapping[WorkClass, int],
        limits: Mapping[WorkClass, ClassLimit],
        weights: Mapping[str, float],
    ) -> None:
        """Replace capacity and limits; running work is left alone."""
        with self._changed:
            self._capacity = max(1, capacity)
            self._headroom = _fitting_headroom(headroom, self._capacity)
            self._limits = {c: limits.get(c, ClassLimit()) for c in CLASSES}
            self._fair.set_weights(weights)
            self._changed.notify_all()

    # --- sessions ------------------------------------------------------------

    def offer(self, item: AdmissionItem) -> Accepted | NotRun:
        """Queue `item`, or refuse it at once.

        Returns
        -------
        Accepted
            With the rollouts to preempt, if it can't start otherwise.
        NotRun
            Reason ``leaving``, ``swapping``, ``queue_full`` or ``expected_wait``,
            and when to come back.
        """
        with self._changed:
            now = self._clock.monotonic()
            wait = self._expected_wait(item)
            refusal = self._refusal(item, wait, now)
            if refusal is not None:
                return refusal
            self._push(item)
            preempt = self._preempt_for(item)
            self._changed.notify()
            reason = self._reason(wait, preempt)
            return Accepted(wait, reason, self._figures(item), preempt)

    def cancel(self, item_id: str) -> Withdrawn:
        """Withdraw an item that waits; tell where it was.

        A running item is left: its worker cancels it at the target and calls
        `finished`.
        """
        with self._changed:
            if item_id in self._running:
                return "running"
            item = self._items.get(item_id)
            if item is None:
                return "absent"
            self._forget(item)
            return "queued"

    def close(self) -> list[AdmissionItem]:
        """Admit nothing more; return what waited, which certainly has not run."""
        with self._changed:
            self._closed = True
            waiting = [i for i in self._items.values() if i.id not in self._running]
            for item in waiting:
                self._forget(item)
            self._changed.notify_all()
            return waiting

    def hold_urgent(self, reason: str = "swapping") -> list[AdmissionItem]:
        """Refuse all classes but rollouts, as the target is about to stop.

        Parameters
        ----------
        reason : str
            Given with each refusal.

        Returns
        -------
        list of AdmissionItem
            What waited of these classes: it has not run and can go elsewhere,
            whereas here it would wait until the engine serves again.
        """
        with self._changed:
            self._holding = reason
            waiting = [
                item
                for item in self._items.values()
                if item.work_class != PREEMPTIBLE and item.id not in self._running
            ]
            for item in waiting:
                self._forget(item)
            return waiting

    def release_urgent(self) -> None:
        """Admit all classes again."""
        with self._changed:
            self._holding = ""

    @property
    def urgent_running(self) -> int:
        """Items running of all classes but rollouts."""
        with self._changed:
            return len(self._running) - self._running_by_class[PREEMPTIBLE]

    # --- workers -------------------------------------------------------------

    def take(self, timeout: float | None = None) -> AdmissionItem | None:
        """Return the next item that may start.

        Parameters
        ----------
        timeout : float or None
            Seconds to wait; 0 to return at once, ``None`` for no bound.

        Returns
        -------
        AdmissionItem or None
            ``None`` after the timeout or when the queue is closed.
        """
        dropped: list[AdmissionItem] = []
        try:
            with self._changed:
                self._changed.wait_for(lambda: self._ready(dropped), timeout)
                return self._start_next()
        finally:
            self._report(dropped)

    def finished(
        self, item: AdmissionItem, tokens: float | None = None
    ) -> float | None:
        """Note that `item` runs no more.

        Parameters
        ----------
        item : AdmissionItem
            As returned by `take`.
        tokens : float or None
            Tokens that it produced, where known; they correct the trainer's
            account. ``None`` also keeps it out of the measured rate (a failure).

        Returns
        -------
        float or None
            Seconds that it ran, or ``None`` if it was not running.
        """
        with self._changed:
            if self._running.pop(item.id, None) is None:
                return None
            del self._items[item.id]
            self._running_by_class[item.work_class] -= 1
            seconds = self._clock.monotonic() - (item.started or 0.0)
            if tokens is None:
                self._refund(item)
            else:
                self._measure(item, tokens, seconds)
            self._changed.notify_all()
            return seconds

    def sweep(self) -> None:
        """Drop what has expired while waiting."""
        dropped: list[AdmissionItem] = []
        with self._changed:
            self._drop_expired(dropped)
        self._report(dropped)

    # --- figures -------------------------------------------------------------

    @property
    def load(self) -> QueueLoad:
        """The load now."""
        with self._changed:
            now = self._clock.monotonic()
            return QueueLoad(
                running=dict(self._running_by_class),
                queued={c: self._queued(c) for c in CLASSES},
                queued_tokens=sum(self._queued_tokens(c) for c in CLASSES),
                running_tokens=sum(
                    self._estimate.tokens_left(item, now)
                    for item in self._running.values()
                ),
                token_seconds=self._estimate.token_seconds,
            )

    # --- under the lock ------------------------------------------------------

    def _refusal(self, item: AdmissionItem, wait: float, now: float) -> NotRun | None:
        if self._closed:
            return NotRun("leaving", MIN_RETRY_AFTER)
        if item.id in self._items:
            return NotRun("duplicate_attempt", MIN_RETRY_AFTER)
        if self._holding and item.work_class != PREEMPTIBLE:
            return NotRun(self._holding, MIN_RETRY_AFTER)
        if self._queued(item.work_class) >= self._limits[item.work_class].queue:
            return NotRun("queue_full", _clamped(wait))
        late = wait + self._estimate.seconds(item) - (item.deadline - now)
        if late > 0 and wait > 0:
            return NotRun("expected_wait", _clamped(late))
        return None

    def _expected_wait(self, item: AdmissionItem) -> float:
        """Return seconds until `item` would start, at the measured rate."""
        if self._may_start(item.work_class) and not self._queued(item.work_class):
            return 0.0
        if not self._estimate.token_seconds:
            return 0.0
        slots = self._capacity / self._estimate.token_seconds
        if item.work_class != PREEMPTIBLE:
            rank = CLASSES.index(item.work_class)
            ahead = sum(self._expected_tokens(c) for c in CLASSES[: rank + 1])
            return ahead / slots
        share = self._share_of(item.trainer)
        urgent = sum(self._expected_tokens(c) for c in CLASSES[:-1])
        queue = self._trainer_queues.get(item.trainer)
        own = queue.tokens * self._estimate.ratio(PREEMPTIBLE) if queue else 0.0
        return (urgent + own / share) / slots

    def _share_of(self, trainer: str) -> float:
        active = {t for t, queue in self._trainer_queues.items() if queue}
        total = sum(self._fair.weight(t) for t in active | {trainer})
        return self._fair.weight(trainer) / total

    def _push(self, item: AdmissionItem) -> None:
        self._items[item.id] = item
        heapq.heappush(self._deadlines, (item.deadline, next(self._offers), item))
        latest_start = self._estimate.latest_start(item)
        if item.work_class != PREEMPTIBLE:
            self._queues[item.work_class].push(item, latest_start)
            return
        queue = self._trainer_queues.setdefault(item.trainer, ClassQueue())
        if not queue:
            self._fair.activate(item.trainer)
        queue.push(item, latest_start)

    def _queue_of(self, item: AdmissionItem) -> ClassQueue:
        if item.work_class == PREEMPTIBLE:
            return self._trainer_queues[item.trainer]
        return self._queues[item.work_class]

    def _forget(self, item: AdmissionItem) -> None:
        self._queue_of(item).forget(item)
        del self._items[item.id]

    def _queued(self, work_class: WorkClass) -> int:
        if work_class == PREEMPTIBLE:
            return sum(len(queue) for queue in self._trainer_queues.values())
        return len(self._queues[work_class])

    def _queued_tokens(self, work_class: WorkClass) -> float:
        if work_class == PREEMPTIBLE:
            return sum(queue.tokens for queue in self._trainer_queues.values())
        return self._queues[work_class].tokens

    def _expected_tokens(self, work_class: WorkClass) -> float:
        return self._queued_tokens(work_class) * self._estimate.ratio(work_class)

    def _may_start(self, work_class: WorkClass) -> bool:
        """Tell whether a slot is free that no other class keeps for itself."""
        limit = self._limits[work_class].concurrency
        running = self._running_by_class
        if limit is not None and running[work_class] >= limit:
            return False
        kept = sum(
            max(0, self._headroom[c] - running[c]) for c in CLASSES if c != work_class
        )
        return self._capacity - len(self._running) - kept > 0

    def _next_class(self) -> WorkClass | None:
        for work_class in CLASSES:
            if self._queued(work_class) and self._may_start(work_class):
                return work_class
        return None

    def _ready(self, dropped: list[AdmissionItem]) -> bool:
        self._drop_expired(dropped)
        return self._closed or self._next_class() is not None

    def _start_next(self) -> AdmissionItem | None:
        work_class = None if self._closed else self._next_class()
        if work_class is None:
            return None
        item = self._pop(work_class)
        item.started = self._clock.monotonic()
        self._running[item.id] = item
        self._running_by_class[work_class] += 1
        return item

    def _pop(self, work_class: WorkClass) -> AdmissionItem:
        if work_class != PREEMPTIBLE:
            return self._queues[work_class].pop()
        heads = {t: q.head() for t, q in self._trainer_queues.items() if q}
        trainer = self._fair.pick(heads)
        item = self._trainer_queues[trainer].pop()
        self._fair.charge(trainer, item.tokens)
        return item

    def _drop_expired(self, dropped: list[AdmissionItem]) -> None:
        now = self._clock.monotonic()
        while self._deadlines and self._deadlines[0][0] <= now:
            item = heapq.heappop(self._deadlines)[2]
            if item.started is None and self._items.get(item.id) is item:
                self._forget(item)
                dropped.append(item)

    def _report(self, dropped: list[AdmissionItem]) -> None:
        for item in dropped:
            self._on_expired(item, Expired(started=False))

    def _refund(self, item: AdmissionItem) -> None:
        """Give the trainer back what a stopped item has not used."""
        if item.work_class == PREEMPTIBLE:
            left = self._estimate.tokens_left(item, self._clock.monotonic())
            self._fair.charge(item.trainer, -left)

    def _measure(self, item: AdmissionItem, tokens: float, seconds: float) -> None:
        if item.work_class == PREEMPTIBLE:
            self._fair.charge(item.trainer, tokens - item.tokens)
        self._estimate.measure(item, tokens, seconds)

    def _preempt_for(self, item: AdmissionItem) -> tuple[AdmissionItem, ...]:
        """Mark one running rollout to yield, if `item` can't start without."""
        if item.work_class == PREEMPTIBLE or self._may_start(item.work_class):
            return ()
        yielding = sum(i.preempting for i in self._running.values())
        waiting = sum(self._queued(c) for c in CLASSES[:-1])
        chosen = self._preemptible()[: max(0, min(1, waiting - yielding))]
        for running in chosen:
            running.preempting = True
        return tuple(chosen)

    def _preemptible(self) -> list[AdmissionItem]:
        candidates = [
            item
            for item in self._running.values()
            if item.work_class == PREEMPTIBLE
            and item.idempotent
            and not item.preempting
        ]
        now = self._clock.monotonic()
        candidates.sort(key=lambda item: self._estimate.slack(item, now), reverse=True)
        return candidates

    def _reason(self, wait: float, preempt: tuple[AdmissionItem, ...]) -> str:
        if preempt:
            return "preempting"
        return "queued" if wait > 0 else "admitted"

    def _figures(self, item: AdmissionItem) -> dict[str, Any]:
        return {
            "work_class": item.work_class,
            "running": len(self._running),
            "capacity": self._capacity,
            "queued": self._queued(item.work_class),
            "token_seconds": self._estimate.token_seconds,
        }


def _fitting_headroom(
    headroom: Mapping[WorkClass, int], capacity: int
) -> dict[WorkClass, int]:
    """Cut `headroom` so that one slot is left for every other class."""
    left = capacity - 1
    fitting: dict[WorkClass, int] = dict.fromkeys(CLASSES, 0)
    for work_class in CLASSES:
        fitting[work_class] = min(left, max(0, headroom.get(work_class, 0)))
        left -= fitting[work_class]
    return fitting


def _clamped(seconds: float) -> float:
    return min(MAX_RETRY_AFTER, max(MIN_RETRY_AFTER, seconds))
