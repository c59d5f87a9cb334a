"""``wigeonfront explain``: the events of a request, a Lot or a sample.

These are its log lines in time order, from the entries' memory or from log files. They
show where it was sent, and why.
"""

import argparse
from collections.abc import Iterator
from dataclasses import dataclass

from wigeonfront.api.operations import EXPLAIN_PATH
from wigeonfront.commands import exit_codes
from wigeonfront.commands.calls import Response, call_entry, quoted_path
from wigeonfront.commands.output import print_error, print_json, print_table
from wigeonfront.observability.explain import Pairs, find_events, time_of
from wigeonfront.settings import OperatorSettings

_COLUMN_FIELDS = ("time", "process", "event")
_OMITTED_FIELDS = frozenset({*_COLUMN_FIELDS, "level"})


@dataclass(frozen=True, slots=True)
class BadLog:
    """A log file that can't be read; `reason` says why."""

    reason: str


def explain(settings: OperatorSettings, arguments: argparse.Namespace) -> int:
    """Print the events of a request in time order."""
    if arguments.log:
        found = search_logs(arguments.request, arguments.log)
        if isinstance(found, BadLog):
            print_error(found.reason)
            return exit_codes.USAGE
    else:
        reached, found = _ask_entries(settings, arguments.request)
        if not reached:
            print_error("no entry could be reached")
            return exit_codes.UNREACHABLE
    if arguments.json:
        print_json(found)
    elif found:
        _print_events(found)
    if not found:
        print_error(f"no events of {arguments.request} were found")
    return exit_codes.OK if found else exit_codes.FAILED


def _ask_entries(settings: OperatorSettings, request: str) -> tuple[bool, list[Pairs]]:
    path = quoted_path(EXPLAIN_PATH.rstrip("/"), request)
    reached = False
    events: list[Pairs] = []
    for address in settings.entry:
        answer = call_entry(str(address), settings.timeout_seconds, "GET", path)
        if not isinstance(answer, Response):
            print_error(f"{address}: {answer.reason}")
            continue
        reached = True
        if answer.successful:
            events += answer.data["events"]
    return reached, sorted(events, key=time_of)


def search_logs(request: str, paths: list[str]) -> list[Pairs] | BadLog:
    """Return the events of a request from log files; each file is read twice.

    Parameters
    ----------
    request : str
        Id of a request, a Lot or a sample, or an idempotency key.
    paths : list of str
        Paths of the log files.
    """

    def lines() -> Iterator[str]:
        for path in paths:
            with open(path, encoding="utf-8", errors="replace") as file:
                yield from file

    try:
        return find_events(request, lines)
    except OSError as error:
        return BadLog(f"{error.filename}: {error.strerror}")


def _print_events(events: list[Pairs]) -> None:
    start = time_of(events[0])
    rows = []
    for event in events:
        details = [
            f"{name}={value}"
            for name, value in event.items()
            if name not in _OMITTED_FIELDS
        ]
        offset = f"+{time_of(event) - start:.3f}s"
        rows.append(
            [offset, event.get("process"), event.get("event"), " ".join(details)]
        )
    print_table(["time", "process", "event", "details"], rows)
