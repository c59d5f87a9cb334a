"""Finds the log lines of a request, a Lot or a sample, in files or in memory.

A line belongs to an id when one of its fields is the id. The lines of a sample also
include those about its whole Lot, such as a change of the Lot's owner.
"""

import json
import logging
import re
from collections import deque
from collections.abc import Callable, Iterable, Iterator

from wigeonfront.rollout.scope import unscoped_name

NAMING_FIELDS = ("request", "lot", "sample", "key")

RECENT_LINES = 2_000
"""Log lines that an entry keeps in memory: 0.6 MB at 300 bytes each."""

_PAIR = re.compile(r'(\w+)=("(?:[^"\\]|\\.)*"|\S*)')

Pairs = dict[str, str]


def parse_line(line: str) -> Pairs:
    """Return the key=value pairs of a log line.

    Examples
    --------
    >>> parse_line('time=1.5 event=placed reason="least queued"')
    {'time': '1.5', 'event': 'placed', 'reason': 'least queued'}
    """
    return {name: _unquoted(value) for name, value in _PAIR.findall(line)}


def _unquoted(value: str) -> str:
    if not value.startswith('"'):
        return value
    try:
        return json.loads(value)
    except ValueError:
        return value.strip('"')


def find_events(id: str, read: Callable[[], Iterable[str]]) -> list[Pairs]:
    """Return the events that belong to `id`, in time order.

    Parameters
    ----------
    id : str
        Id of a request, a Lot or a sample, or an idempotency key.
    read : callable
        Returns the log lines. It is called twice, so that the lines need not be kept in
        memory.
    """
    lots = {
        event["lot"]
        for event in _events(read())
        if event.get("sample") == id and "lot" in event
    }
    found = [
        event
        for event in _events(read())
        if any(_field_matches(event, field, id) for field in NAMING_FIELDS)
        or (event.get("lot") in lots and "sample" not in event)
    ]
    return sorted(found, key=time_of)


def _field_matches(event: Pairs, field: str, id: str) -> bool:
    """Return whether a field is `id`, or is the Lot that `id` names for an account."""
    value = event.get(field)
    if value is None or field != "lot":
        return value == id
    return id in (value, unscoped_name(value))


def _events(lines: Iterable[str]) -> Iterator[Pairs]:
    return (parse_line(line) for line in lines if "event=" in line)


def time_of(event: Pairs) -> float:
    """Return the Unix time of an event; 0 where the event has none."""
    try:
        return float(event.get("time", ""))
    except ValueError:
        return 0.0


class RecentEvents(logging.Handler):
    """A log handler that keeps the newest log lines of this process in memory.

    Parameters
    ----------
    process : str
        Name of the process, which is added to each line.
    """

    def __init__(self, process: str) -> None:
        super().__init__()
        self._process = process
        self._lines: deque[str] = deque(maxlen=RECENT_LINES)

    def emit(self, record: logging.LogRecord) -> None:
        """Keep one line; the oldest is dropped when there are `RECENT_LINES`."""
        start = f"time={record.created:.3f} process={self._process} "
        self._lines.append(start + record.getMessage())

    def find(self, id: str) -> list[Pairs]:
        """Return the kept events that belong to `id`, in time order."""
        return find_events(id, lambda: list(self._lines))
