"""Looks for a plain target that nothing listens for.

While the target is unreachable the side says on its streams that it isn't serving,
so that entries place nothing on it. When that lasts, the side gives its slots to
other sides, with their records: keyed work then goes on elsewhere, still at most
once, because the side itself has sealed them.
"""

import logging
import threading
from collections.abc import Callable

from wigeonfront.clock import Clock
from wigeonfront.http import NotSent, Pool
from wigeonfront.logs import event
from wigeonfront.side.execution import Execution, TargetCondition
from wigeonfront.side.target import UNREACHABLE

logger = logging.getLogger(__name__)

WAIT_SECONDS = 0.5
PROBE_SECONDS = 0.25
HAND_OVER_AFTER = 2.0


class TargetProbe:
    """Watches one plain target (one task of the side).

    Parameters
    ----------
    url : str
        Base URL of the target.
    execution : Execution
        Says when a run found the target unreachable; told of its condition.
    give_up : callable
        Gives the side's slots away.
    clock : Clock
    """

    def __init__(
        self, url: str, execution: Execution, give_up: Callable[[], bool], clock: Clock
    ) -> None:
        self._url = url
        self._execution = execution
        self._give_up = give_up
        self._clock = clock

    def run(self, stop: threading.Event) -> None:
        """Probe whenever a run found the target unreachable, until `stop`."""
        while not stop.is_set():
            if self._execution.unreachable.wait(WAIT_SECONDS):
                self._until_reachable(stop)
                self._execution.unreachable.clear()

    def _until_reachable(self, stop: threading.Event) -> None:
        since = self._clock.monotonic()
        given_up = False
        self._set_serving(False)
        self._execution.hold(UNREACHABLE)
        while not stop.is_set() and not self._answers():
            if not given_up and self._clock.monotonic() - since > HAND_OVER_AFTER:
                given_up = self._give_up()
            stop.wait(PROBE_SECONDS)
        self._execution.release()
        self._set_serving(True)

    def _answers(self) -> bool:
        pool = Pool(self._url)
        answer = pool.call("GET", "/health")
        pool.close()
        return not isinstance(answer, NotSent)

    def _set_serving(self, serving: bool) -> None:
        self._execution.condition = TargetCondition(-1, serving)
        event(logger, "target", serving=serving, reason="probe")
