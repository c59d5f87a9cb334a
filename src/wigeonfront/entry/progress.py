"""Which calls are in progress at this entry, and which it has answered lately.

A caller whose connection may have gone silent asks here on a new one. The calls in
progress are as many as there are callers; of the answered ones a bounded number is
kept, the latest.
"""

import threading
from collections import OrderedDict
from collections.abc import Hashable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass

from wigeonfront.clock import Clock
from wigeonfront.messages import ProgressReply

ANSWERED_KEPT = 2048


@dataclass(slots=True, eq=False)
class CallProgress:
    """One call.

    Attributes
    ----------
    since : float
        Monotonic time of its begin or, once answered, of its answer.
    finished, missing : int
        Samples of a Lot.
    """

    since: float
    finished: int = 0
    missing: int = 0

    def tell(self, missing: int) -> None:
        """Note that so many samples are missing."""
        self.finished += self.missing - missing
        self.missing = missing


class ProgressTable:
    """The calls of one entry; may be used from any thread.

    Parameters
    ----------
    entry : str
        Name of the entry.
    clock : Clock
    kept : int
        Most answered calls kept.

    Examples
    --------
    >>> from wigeonfront.clock import ManualClock
    >>> table = ProgressTable("entry-1", ManualClock())
    >>> with table.call("request-7"):
    ...     print(table.reply("request-7").status)
    in_progress
    >>> table.reply("request-7").status, table.reply("request-8").status
    ('answered', 'unknown')
    """

    def __init__(self, entry: str, clock: Clock, kept: int = ANSWERED_KEPT) -> None:
        self._entry = entry
        self._clock = clock
        self._kept = kept
        self._lock = threading.Lock()
        self._open: dict[Hashable, CallProgress] = {}
        self._answered: OrderedDict[Hashable, CallProgress] = OrderedDict()

    @contextmanager
    def call(self, key: Hashable, missing: int = 0) -> Iterator[CallProgress]:
        """Keep a call as in progress, and as answered from the end of the block.

        A call with the key of an earlier one takes that one's place.
        """
        call = CallProgress(self._clock.monotonic(), missing=missing)
        with self._lock:
            self._open[key] = call
        try:
            yield call
        finally:
            with self._lock:
                self._end(key, call)

    def _end(self, key: Hashable, call: CallProgress) -> None:
        if self._open.get(key) is not call:
            return
        del self._open[key]
        call.since = self._clock.monotonic()
        self._answered[key] = call
        self._answered.move_to_end(key)
        if len(self._answered) > self._kept:
            self._answered.popitem(last=False)

    def reply(self, key: Hashable) -> ProgressReply:
        """Return how a call stands."""
        with self._lock:
            call = self._open.get(key)
            status = "in_progress" if call else "answered"
            call = call or self._answered.get(key)
            if call is None:
                return ProgressReply(status="unknown", entry=self._entry)
            return ProgressReply(
                status=status,
                entry=self._entry,
                finished=call.finished,
                missing=call.missing,
                seconds=round(self._clock.monotonic() - call.since, 3),
            )
