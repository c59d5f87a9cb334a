"""Metrics of what callers make a process hold, and of the requests that it refuses."""

from collections.abc import Callable
from functools import partial

from wigeonfront.http.budget import REQUEST_BUDGET
from wigeonfront.http.waiting import PROCESS_WAITS
from wigeonfront.observability.metrics import Registry


class CallerMetrics:
    """Metrics of the servers of a process.

    Parameters
    ----------
    registry : Registry
    """

    def __init__(self, registry: Registry) -> None:
        self._refused = registry.counter(
            "bodies_refused_total",
            "Requests whose bodies were not read.",
            ("server", "reason"),
        )
        registry.gauge(
            "request_bytes",
            "Bytes of request bodies and of their copies.",
            lambda: REQUEST_BUDGET.taken,
        )
        registry.gauge(
            "waiting_calls",
            "Calls that wait for bytes of their callers.",
            lambda: PROCESS_WAITS.count,
        )

    def refusals_of(self, server: str) -> Callable[[str], None]:
        """Return a function that counts a refusal by a server for a reason."""
        return partial(self._count, server)

    def _count(self, server: str, reason: str) -> None:
        self._refused.increment(server=server, reason=reason)
