"""Recent decisions of this entry, by request.

`DecisionLog` is a `logging` handler that keeps the newest lines that name a request,
a Lot, a key or an attempt, within a bound of memory. Lines are kept as text and
parsed when an operator asks.
"""

import logging
import threading
from collections import deque
from dataclasses import dataclass

from wigeonfront.commands.explain import REQUEST_FIELDS, parse_line

MAX_BYTES = 1_000_000
"""Characters kept, which are bytes for almost all lines."""

_ATTEMPT_FIELD = "attempt"
_MARKS = tuple(f" {name}=" for name in (*REQUEST_FIELDS, _ATTEMPT_FIELD))


@dataclass(frozen=True, slots=True)
class _Line:
    created: float
    text: str


class DecisionLog(logging.Handler):
    """The newest lines of the log that belong to requests.

    Parameters
    ----------
    process : str
        Name of this process, given with each event.
    max_bytes : int
        Bound of the text kept.
    """

    def __init__(self, process: str, max_bytes: int = MAX_BYTES) -> None:
        super().__init__()
        self._process = process
        self._max_bytes = max_bytes
        self._bytes = 0
        self._lines: deque[_Line] = deque()
        self._kept = threading.Lock()

    def emit(self, record: logging.LogRecord) -> None:
        """Keep the line if it belongs to a request."""
        text = record.getMessage()
        if not any(mark in text for mark in _MARKS):
            return
        with self._kept:
            self._lines.append(_Line(record.created, text))
            self._bytes += len(text)
            while self._bytes > self._max_bytes:
                self._bytes -= len(self._lines.popleft().text)

    def find(self, request: str) -> list[dict[str, str]]:
        """Return the events of `request` and of its attempts, oldest first."""
        with self._kept:
            lines = list(self._lines)
        events = [self._event(line) for line in lines if request in line.text]
        own = [each for each in events if request in _named(each)]
        attempts = {each[_ATTEMPT_FIELD] for each in own if _ATTEMPT_FIELD in each}
        if not attempts:
            return own
        # Lines such as the end of an attempt name only the attempt.
        parsed = [self._event(line) for line in lines if _ATTEMPT_FIELD in line.text]
        others = [each for each in parsed if _of_attempt(each, attempts)]
        return sorted(own + others, key=lambda each: float(each["time"]))

    def _event(self, line: _Line) -> dict[str, str]:
        leading = {"time": f"{line.created:.3f}", "process": self._process}
        return {**leading, **parse_line(line.text)}


def _named(event: dict[str, str]) -> set[str]:
    return {event[name] for name in REQUEST_FIELDS if name in event}


def _of_attempt(event: dict[str, str], attempts: set[str]) -> bool:
    """Tell whether a line names one of `attempts` and no request."""
    return not _named(event) and event.get(_ATTEMPT_FIELD) in attempts
