"""Gives the engine beside this process its orders."""

import logging
import threading
from collections.abc import Callable
from typing import Protocol

from wigeonfront.clock import Clock
from wigeonfront.logs import event
from wigeonfront.metrics import Registry
from wigeonfront.rows import Unavailable
from wigeonfront.weights.plan import (
    ORDER_SECONDS,
    EngineReport,
    MoveOrder,
    NamedVersion,
    Place,
    next_move,
)

logger = logging.getLogger(__name__)

BUSY_PAUSE_SECONDS = 0.1
"""Pause between readings of the engine while a move is due: a ninth of a load."""

IDLE_PAUSE_SECONDS = 1.0
"""Pause while nothing is to be moved."""

RECHECK_SECONDS = 4.0
"""Time, about that of a step, after which an engine that has moved is read again: it
may have started anew, or carried out an earlier order late. A reading is a call on the
same machine."""


class Engine(Protocol):
    """The engine beside this process; the platform's adapter gives it."""

    def report(self) -> EngineReport | Unavailable:
        """Return what the engine says of itself."""

    def move(self, order: MoveOrder, fence: int, expected: int) -> str:
        """Give an order; return how the engine answered, for the log."""


class WeightMover:
    """Keeps one engine at the named versions.

    Parameters
    ----------
    engine : Engine
    named : callable
        Returns the newest named versions and the fencing token that orders bear.
    place : callable
        Returns where the engine stands among those of its service.
    keep_runs : callable
        Tells whether runs in progress may go on under new weights.
    clock : Clock
    metrics : wigeonfront.metrics.Registry
    """

    def __init__(
        self,
        engine: Engine,
        named: Callable[[], tuple[list[NamedVersion], int]],
        place: Callable[[], Place],
        keep_runs: Callable[[], bool],
        clock: Clock,
        metrics: Registry,
    ) -> None:
        self._engine = engine
        self._named = named
        self._place = place
        self._keep_runs = keep_runs
        self._clock = clock
        self._wake = threading.Event()
        self._versions: dict[str, int] = {}
        self._read_at = -RECHECK_SECONDS
        self._orders = metrics.counter(
            "weight_orders_total", "Orders to the engine by answer.", ("answer",)
        )

    def wake(self) -> None:
        """Look at once whether something is to be moved."""
        self._wake.set()

    def run(self, stop: threading.Event) -> None:
        """Move the engine when it is due (a supervisor's task)."""
        while not stop.is_set():
            pause = self._step()
            self._wake.wait(pause)
            self._wake.clear()

    def _has_moved(self, named: list[NamedVersion]) -> bool:
        place = self._place()
        return all(
            self._versions.get(one.model) == one.version
            for one in named
            if place.serves(one.model)
        )

    def _step(self) -> float:
        """Read the engine and give an order if one is due; return the pause."""
        named, fence = self._named()
        if not named:
            return IDLE_PAUSE_SECONDS
        now = self._clock.monotonic()
        fresh = now - self._read_at < RECHECK_SECONDS
        if fresh and self._has_moved(named):
            return IDLE_PAUSE_SECONDS
        report = self._engine.report()
        if isinstance(report, Unavailable):
            return BUSY_PAUSE_SECONDS
        self._read_at = now
        self._versions = dict(report.versions)
        order = next_move(report, named, now, self._place(), self._keep_runs())
        if order is None:
            return BUSY_PAUSE_SECONDS
        answer = self._engine.move(order, fence, report.orders)
        self._orders.increment(answer=answer)
        event(
            logger,
            "weights_moved",
            model=order.model,
            previous=report.versions.get(order.model, 0),
            version=order.version,
            reason=order.reason,
            keep_runs=order.keep_runs,
            fence=fence,
            expected=report.orders,
            running=report.running,
            waiting=report.waiting,
            answer=answer,
        )
        return ORDER_SECONDS
