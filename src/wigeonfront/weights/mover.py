"""Sends the orders to load new weights to one engine."""

import logging
import threading
from collections.abc import Callable
from typing import Protocol

from wigeonfront.clock import Clock
from wigeonfront.coordination.rows import Unavailable
from wigeonfront.observability.logs import event
from wigeonfront.observability.metrics import Counter, Registry
from wigeonfront.weights.plan import (
    ORDER_SECONDS,
    EngineReport,
    MoveOrder,
    NamedVersion,
    Place,
    next_due,
    next_move,
)

logger = logging.getLogger(__name__)

ACCEPTED = "accepted"
"""Answer of an engine that executes an order."""

HELD = "held"
"""Answer of an engine that already has the version of an order."""

BUSY_PAUSE_SECONDS = 0.1
"""Pause until the report of an engine that loads, or did not answer, is read again: a
ninth of the duration of a load."""

IDLE_PAUSE_SECONDS = 2.0
"""Longest pause while no order is due; a newly named version ends the pause."""

RIGHT_PAUSE_SECONDS = 0.25
"""Pause until the next check whether this machine may give an order that is due."""

RECHECK_SECONDS = 4.0
"""Time after which the report of an engine that has the named versions is read again,
which is about the time of a step. The engine may have restarted, or may have executed
an earlier order late."""


class Engine(Protocol):
    """An engine; the platform's adapter implements it."""

    def report(self) -> EngineReport | Unavailable:
        """Return the state that the engine reports."""

    def move(self, order: MoveOrder, fence: int, expected: int) -> str:
        """Send an order; return the answer of the engine, which is also logged.

        Parameters
        ----------
        order : MoveOrder
        fence : int
            Fencing token.
        expected : int
            Number of orders that the engine must have accepted before this one.
        """


def order_counter(metrics: Registry) -> Counter:
    """Return the counter of the orders of a process."""
    return metrics.counter(
        "weight_orders_total", "Orders to engines by answer.", ("answer",)
    )


class WeightMover:
    """Keeps one engine at the named versions.

    Parameters
    ----------
    name : str
        Name of the engine for the log.
    engine : Engine
    named : callable
        Returns the newest named versions.
    fence : callable
        Returns the fencing token for an order that is sent at once, or ``None`` while
        this machine has no right to give orders.
    place : callable
        Returns the place of the engine among those of its service.
    keep_runs : callable
        Returns whether runs in progress may continue under new weights.
    clock : Clock
    orders : wigeonfront.observability.metrics.Counter
        Counter of orders by answer; see `order_counter`.
    """

    def __init__(
        self,
        name: str,
        engine: Engine,
        named: Callable[[], list[NamedVersion]],
        fence: Callable[[], int | None],
        place: Callable[[], Place],
        keep_runs: Callable[[], bool],
        clock: Clock,
        orders: Counter,
    ) -> None:
        self._name = name
        self._engine = engine
        self._named = named
        self._fence = fence
        self._place = place
        self._keep_runs = keep_runs
        self._clock = clock
        self._wake = threading.Event()
        self._versions: dict[str, int] = {}
        self._read_at = -RECHECK_SECONDS
        self._orders = orders

    def wake(self) -> None:
        """Have the mover check at once whether an order is due."""
        self._wake.set()

    def run(self, stop: threading.Event) -> None:
        """Give the engine orders when they are due (a supervisor's task)."""
        while not stop.is_set():
            pause = self._step()
            self._wake.wait(pause)
            self._wake.clear()

    def _has_named_versions(self, named: list[NamedVersion]) -> bool:
        place = self._place()
        return all(
            self._versions.get(newest.model) == newest.version
            for newest in named
            if place.serves(newest.model)
        )

    def _step(self) -> float:
        """Read the report of the engine and give an order if one is due.

        Returns
        -------
        float
            Pause until the next step, in seconds.
        """
        named = self._named()
        if not named:
            return IDLE_PAUSE_SECONDS
        now = self._clock.monotonic()
        recently_read = now - self._read_at < RECHECK_SECONDS
        if recently_read and self._has_named_versions(named):
            return IDLE_PAUSE_SECONDS
        report = self._engine.report()
        if isinstance(report, Unavailable):
            return BUSY_PAUSE_SECONDS
        self._read_at = now
        self._versions = dict(report.versions)
        place = self._place()
        order = next_move(report, named, now, place, self._keep_runs())
        if order is None:
            due_at = next_due(report, named, place)
            return max(BUSY_PAUSE_SECONDS, min(due_at - now, IDLE_PAUSE_SECONDS))
        fence = self._fence()
        if fence is None:
            return RIGHT_PAUSE_SECONDS
        self._send_order(order, fence, report)
        return ORDER_SECONDS

    def _send_order(self, order: MoveOrder, fence: int, report: EngineReport) -> None:
        answer = self._engine.move(order, fence, report.orders)
        self._orders.increment(answer=answer)
        event(
            logger,
            "weights_moved",
            engine=self._name,
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
