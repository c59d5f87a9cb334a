"""An engine on another machine, as a `weights.mover.Engine`.

The registration of the engine shows the versions of its weights. It is late, but it
costs no call. The report of the engine costs a call and is read only for the number of
orders that the engine has accepted.
"""

from collections.abc import Callable
from dataclasses import dataclass, replace

from wigeonfront.clock import Clock
from wigeonfront.coordination.rows import Unavailable
from wigeonfront.targets.target import Target
from wigeonfront.weights.mover import ACCEPTED, HELD, Engine
from wigeonfront.weights.plan import EngineReport, MoveOrder

ASSUMED_SECONDS = 5.0
"""Time for which an engine is assumed to have the version of its last order before its
registration shows that version: the duration of a load, and the delay until this
process learns of the registration."""

LOAD_SECONDS = 0.9
"""Time for which an engine is assumed to load after an order; it refuses other orders
in this time."""

BUSY_SECONDS = 0.3
"""Time for which an engine that reported a load is assumed to load: a third of the
duration of a load."""


@dataclass(frozen=True, slots=True)
class _AssumedVersion:
    version: int
    until: float


class RemoteEngine:
    """An engine that is registered as a target.

    Parameters
    ----------
    engine : Engine
        Reads the engine's report and sends it orders over the network.
    target : callable
        Returns the registration of the engine, or ``None`` once it is gone.
    clock : Clock
    """

    def __init__(
        self, engine: Engine, target: Callable[[], Target | None], clock: Clock
    ) -> None:
        self._engine = engine
        self._target = target
        self._clock = clock
        # Number of orders that the engine has accepted; None while unknown.
        self._orders: int | None = None
        self._assumed: dict[str, _AssumedVersion] = {}
        self._loading_until = 0.0

    def report(self) -> EngineReport | Unavailable:
        """Return the state of the engine; call the engine only where it is unknown."""
        target = self._target()
        if target is None:
            return Unavailable("not registered")
        now = self._clock.monotonic()
        if self._orders is None or self._has_overdue_version(target, now):
            return self._read(target)
        return EngineReport(
            versions=dict(target.versions)
            | {model: assumed.version for model, assumed in self._assumed.items()},
            loading=now < self._loading_until,
            orders=self._orders,
            draining=target.draining,
        )

    def move(self, order: MoveOrder, fence: int, expected: int) -> str:
        """Send an order; return the answer of the engine."""
        answer = self._engine.move(order, fence, expected)
        now = self._clock.monotonic()
        if answer == ACCEPTED:
            self._orders = expected + 1
            self._loading_until = now + LOAD_SECONDS
        if answer in (ACCEPTED, HELD):
            until = now + ASSUMED_SECONDS
            self._assumed[order.model] = _AssumedVersion(order.version, until)
        else:
            self._orders = None
        return answer

    def _has_overdue_version(self, target: Target, now: float) -> bool:
        """Return whether the registration lacks a version that it should show by now.

        Versions that the registration shows are no longer assumed.
        """
        overdue = False
        for model, assumed in list(self._assumed.items()):
            if target.versions.get(model, 0) >= assumed.version:
                del self._assumed[model]
            elif now >= assumed.until:
                overdue = True
        return overdue

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
            model: _AssumedVersion(version, until)
            for model, version in report.versions.items()
        }
        return replace(report, draining=report.draining or target.draining)
