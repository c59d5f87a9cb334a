"""``wigeonfront catalogue get``, ``diff``, ``apply`` and ``history``.

A change is a compare-and-swap on the document's revision, so that two operators who
edit at once can't undo each other's change: the later one gets a conflict and sees
what the other has written.
"""

import argparse
import json
import sys
from dataclasses import asdict
from typing import Any

from wigeonfront.api.operations import CATALOGUE_PATH, HISTORY_PATH, IN_FORCE_PATH
from wigeonfront.clock import Clock, SystemClock
from wigeonfront.commands import exit_codes
from wigeonfront.commands.calls import AnswerLost, Response, Unreachable, call
from wigeonfront.commands.differences import FieldChange, changes
from wigeonfront.commands.documents import BadFile, read_document
from wigeonfront.commands.output import (
    print_error,
    print_json,
    print_table,
    report_failure,
)
from wigeonfront.platform.catalogue import PlatformCatalogue
from wigeonfront.settings import OperatorSettings

POLL_SECONDS = 0.5

CONFLICT = 409
NOT_FOUND = 404

Answer = Response | Unreachable | AnswerLost


def get(settings: OperatorSettings, arguments: argparse.Namespace) -> int:
    """Print the document as it is now."""
    answer = call(settings, "GET", CATALOGUE_PATH)
    if not isinstance(answer, Response) or not answer.successful:
        return report_failure(answer)
    if arguments.json:
        print_json(answer.data)
    else:
        print_json(answer.data["document"])
    return exit_codes.OK


def diff(settings: OperatorSettings, arguments: argparse.Namespace) -> int:
    """Show what ``apply`` would change; exits 1 when there is a difference."""
    wanted = _wanted(arguments.file)
    if wanted is None:
        return exit_codes.USAGE
    present = _present(settings)
    if isinstance(present, Response | Unreachable | AnswerLost):
        return report_failure(present)
    found = changes(present[0], _redacted(wanted))
    if arguments.json:
        print_json([asdict(change) for change in found])
    elif found:
        _print_changes(found, ["field", "now", "in file"])
    return exit_codes.FAILED if found else exit_codes.OK


def history(settings: OperatorSettings, arguments: argparse.Namespace) -> int:
    """List the versions that were applied with what each changed."""
    answer = call(settings, "GET", HISTORY_PATH)
    if not isinstance(answer, Response) or not answer.successful:
        return report_failure(answer)
    if arguments.json:
        print_json(answer.data)
        return exit_codes.OK
    rows: list[list[Any]] = []
    before: dict[str, Any] = {}
    for version in answer.data:
        document = version["document"]
        for change in changes(before, document):
            cells = [change.field, change.before, change.after]
            rows.append([version["version"], *cells])
        before = document
    print_table(["version", "field", "before", "after"], rows)
    return exit_codes.OK


def apply(settings: OperatorSettings, arguments: argparse.Namespace) -> int:
    """Write the document of a file, and wait until it is in force everywhere."""
    wanted = _wanted(arguments.file)
    if wanted is None:
        return exit_codes.USAGE
    expected = arguments.expected
    if expected is None:
        present = _present(settings)
        if isinstance(present, Response | Unreachable | AnswerLost):
            return report_failure(present)
        expected = present[1]
    body = {"expected": expected, "document": wanted}
    answer = call(settings, "PUT", CATALOGUE_PATH, body)
    if isinstance(answer, Response) and answer.status == CONFLICT:
        return _conflict(settings, wanted)
    if not isinstance(answer, Response) or not answer.successful:
        return report_failure(answer)
    version = answer.data["version"]
    print(f"stored: version {version}", file=sys.stderr)
    waiting = wait_until_in_force(settings, version, arguments.wait)
    if arguments.json:
        print_json(answer.data | {"in_force": not waiting, "waiting": waiting})
    if waiting:
        print_error(f"not yet in force at {', '.join(waiting)}")
        return exit_codes.NOT_IN_FORCE
    print("accepted: in force everywhere", file=sys.stderr)
    return exit_codes.OK


def wait_until_in_force(
    settings: OperatorSettings,
    version: int,
    seconds: float,
    clock: Clock | None = None,
) -> list[str]:
    """Ask until every entry uses a version; return those that don't after `seconds`."""
    clock = clock or SystemClock()
    end = clock.monotonic() + seconds
    while True:
        path = f"{IN_FORCE_PATH}?version={version}"
        answer = call(settings, "GET", path)
        behind = ["entries that were not reached"]
        if isinstance(answer, Response) and answer.successful:
            behind = answer.data["behind"]
        if not behind or clock.monotonic() + POLL_SECONDS >= end:
            return behind
        clock.sleep(POLL_SECONDS)


def _wanted(path: str) -> dict[str, Any] | None:
    document = read_document(path)
    if isinstance(document, BadFile):
        print_error(document.reason)
        return None
    return json.loads(document)


def _present(settings: OperatorSettings) -> tuple[dict[str, Any], int] | Answer:
    """Return the document as it is now, and its revision; 0 where there is none."""
    answer = call(settings, "GET", CATALOGUE_PATH)
    if isinstance(answer, Response) and answer.status == NOT_FOUND:
        return {}, 0
    if isinstance(answer, Response) and answer.successful:
        return answer.data["document"], answer.data["revision"]
    return answer


def _conflict(settings: OperatorSettings, wanted: dict[str, Any]) -> int:
    """Show what somebody else has written meanwhile."""
    print_error("conflict, nothing written: somebody else changed it")
    present = _present(settings)
    if isinstance(present, tuple):
        found = changes(present[0], _redacted(wanted))
        _print_changes(found, ["field", "theirs", "in file"])
    return exit_codes.CONFLICT


def _redacted(document: dict[str, Any]) -> dict[str, Any]:
    """Return a document with its keys as entries show them."""
    data = PlatformCatalogue().redact_keys(json.dumps(document).encode())
    return json.loads(data)


def _print_changes(found: list[FieldChange], columns: list[str]) -> None:
    rows = [[change.field, change.before, change.after] for change in found]
    print_table(columns, rows)
