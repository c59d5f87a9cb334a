"""An engine on another machine, as a `weights.mover.Engine`.

Its registration tells its weights, late but for nothing; its report, a call, is
read only for the number of orders that it has accepted.
"""

from collections.abc import Callable
from dataclasses import dataclass, replace

from wigeonfront.clock import Clock
from wigeonfront.coordination.rows import Unavailable
from wigeonfront.targets.target import Target
from wigeonfront.weights.mover import ACCEPTED, HELD, Engine
from wigeonfront.weights.plan import EngineReport, MoveOrder

ASSUMED_SECONDS = 5.0
"""How long an engine is taken to have the version that it was ordered to, until its
registration shows it: a load and the way of a registration to this process."""

LOAD_SECONDS = 0.9
"""How long an engine is taken to load; it refuses another order meanwhile."""

BUSY_SECONDS = 0.3
"""Pause until an engine that said that it loads is asked again: a third of a load."""


@dataclass(frozen=True, slots=True)
class _Assumed:
    version: int
    until: float


class RemoteEngine:
    """The engine that is registered as a target.

    Parameters
    ----------
    engine : Engine
        Reads it and gives orders over the network.
    target : callable
        Returns its registration, or ``None`` once it is gone.
    clock : Clock
    """

    def __init__(
        self, engine: Engine, target: Callable[[], Target | None], clock: Clock
    ) -> None:
        self._engine = engine
        self._target = target
        self._clock = clock
        # Orders that it has accepted; None while unknown.
        self._orders: int | None = None
        self._assumed: dict[str, _Assumed] = {}
        self._loading_until = 0.0

    def report(self) -> EngineReport | Unavailable:
        """Return what is known of the engine; ask it only where that is too little."""
        target = self._target()
        if target is None:
            return Unavailable("not registered")
        now = self._clock.monotonic()
        if self._orders is None or self._unconfirmed(target, now):
            return self._read(target)
        return EngineReport(
            versions=dict(target.versions)
            | {model: one.version for model, one in self._assumed.items()},
            loading=now < self._loading_until,
            orders=self._orders,
            draining=target.draining,
        )

    def move(self, order: MoveOrder, fence: int, expected: int) -> str:
        """Give an order; return how the engine answered."""
        answer = self._engine.move(order, fence, expected)
        now = self._clock.monotonic()
        if answer == ACCEPTED:
            self._orders = expected + 1
            self._loading_until = now + LOAD_SECONDS
        if answer in (ACCEPTED, HELD):
            until = now + ASSUMED_SECONDS
            self._assumed[order.model] = _Assumed(order.version, until)
        else:
            self._orders = None
        return answer

    def _unconfirmed(self, target: Target, now: float) -> bool:
        """Tell whether an ordered version should be there by now, and is not.

        What the registration confirms is assumed no longer.
        """
        late = False
        for model, one in list(self._assumed.items()):
            if target.versions.get(model, 0) >= one.version:
                del self._assumed[model]
            elif now >= one.until:
                late = True
        return late

    def _read(self, target: Target) -> EngineReport | Unavailable:
        report = self._engine.report()
        if isinstance(report, Unavailable):
            return report
        now = self._clock.monotonic()
        until = now + ASSUMED_SECONDS
        self._orders = report.orders
        if report.loading:
            self._loading_until = now + BUSY_SECONDS
        self._assumed = {
            model: _Assumed(version, until)
            for model, version in report.versions.items()
        }
        return replace(report, draining=report.draining or target.draining)
