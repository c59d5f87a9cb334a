"""Items that wait at a side, in order of their latest start."""

import heapq
import itertools
from dataclasses import dataclass
from typing import Any

from wigeonfront.messages import WorkClass


@dataclass(slots=True, eq=False)
class AdmissionItem:
    """One attempt at a side.

    Attributes
    ----------
    id : str
        The attempt.
    work_class : str
        Class of work.
    deadline : float
        On this process's monotonic clock.
    tokens : float
        Predicted tokens, 1 for a call of a plain service.
    trainer : str
        Account for fair shares; empty for other callers.
    idempotent : bool
        Whether it may be stopped and run again.
    payload : Any
        The caller's own handle; the queue doesn't look at it.
    started : float or None
        When `take` returned it.
    """

    id: str
    work_class: WorkClass
    deadline: float
    tokens: float = 1.0
    trainer: str = ""
    idempotent: bool = True
    payload: Any = None
    started: float | None = None
    preempting: bool = False


class ClassQueue:
    """Items by latest start; not thread-safe, its owner holds a lock.

    Attributes
    ----------
    tokens : float
        Predicted tokens of all items.
    """

    def __init__(self) -> None:
        self._heap: list[tuple[float, int, AdmissionItem]] = []
        self._order = itertools.count()
        self._live: set[AdmissionItem] = set()
        self.tokens = 0.0

    def __len__(self) -> int:
        return len(self._live)

    def push(self, item: AdmissionItem, latest_start: float) -> None:
        """Add `item`, which should start by `latest_start`."""
        heapq.heappush(self._heap, (latest_start, next(self._order), item))
        self._live.add(item)
        self.tokens += item.tokens

    def head(self) -> float:
        """Return the latest start of the first item; the queue is not empty."""
        while self._heap[0][2] not in self._live:
            heapq.heappop(self._heap)
        return self._heap[0][0]

    def pop(self) -> AdmissionItem:
        """Take the first item; the queue is not empty."""
        self.head()
        item = heapq.heappop(self._heap)[2]
        self.forget(item)
        return item

    def forget(self, item: AdmissionItem) -> None:
        """Take `item` out, wherever it stands."""
        self._live.remove(item)
        self.tokens -= item.tokens if self._live else self.tokens
