"""``wigeonfront catalogue get``, ``diff``, ``apply`` and ``history``.

A change is a compare-and-swap on the document's revision, so that two operators who
edit at the same time can't undo each other's change: the later one gets a conflict and
the differences from what the other one has written.
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
from wigeonfront.commands.differences import FieldChange, find_changes
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
    """Print the current document."""
    answer = call(settings, "GET", CATALOGUE_PATH)
    if not isinstance(answer, Response) or not answer.successful:
        return report_failure(answer)
    if arguments.json:
        print_json(answer.data)
    else:
        print_json(answer.data["document"])
    return exit_codes.OK


def diff(settings: OperatorSettings, arguments: argparse.Namespace) -> int:
    """Print the changes that ``apply`` would make; fail if there are any."""
    wanted = _read_wanted(arguments.file)
    if wanted is None:
        return exit_codes.USAGE
    current = _fetch_current(settings)
    if isinstance(current, Response | Unreachable | AnswerLost):
        return report_failure(current)
    found = find_changes(current[0], _with_redacted_keys(wanted))
    if arguments.json:
        print_json([asdict(change) for change in found])
    elif found:
        _print_changes(found, ["field", "now", "in file"])
    return exit_codes.FAILED if found else exit_codes.OK


def history(settings: OperatorSettings, arguments: argparse.Namespace) -> int:
    """Print the versions that were applied and what each of them changed."""
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
        for change in find_changes(before, document):
            cells = [change.field, change.before, change.after]
            rows.append([version["version"], *cells])
        before = document
    print_table(["version", "field", "before", "after"], rows)
    return exit_codes.OK


def apply(settings: OperatorSettings, arguments: argparse.Namespace) -> int:
    """Write the document of a file and wait until it is in force everywhere."""
    wanted = _read_wanted(arguments.file)
    if wanted is None:
        return exit_codes.USAGE
    expected = arguments.expected
    if expected is None:
        current = _fetch_current(settings)
        if isinstance(current, Response | Unreachable | AnswerLost):
            return report_failure(current)
        expected = current[1]
    body = {"expected": expected, "document": wanted}
    answer = call(settings, "PUT", CATALOGUE_PATH, body)
    if isinstance(answer, Response) and answer.status == CONFLICT:
        return _report_conflict(settings, wanted)
    if not isinstance(answer, Response) or not answer.successful:
        return report_failure(answer)
    version = answer.data["version"]
    print(f"stored: version {version}", file=sys.stderr)
    behind = wait_until_in_force(settings, version, arguments.wait)
    if arguments.json:
        print_json(answer.data | {"in_force": not behind, "waiting": behind})
    if behind:
        print_error(f"not yet in force at {', '.join(behind)}")
        return exit_codes.NOT_IN_FORCE
    print("accepted: in force everywhere", file=sys.stderr)
    return exit_codes.OK


def wait_until_in_force(
    settings: OperatorSettings,
    version: int,
    seconds: float,
    clock: Clock | None = None,
) -> list[str]:
    """Wait up to `seconds` for all entries to use `version`; return the ones behind."""
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


def _read_wanted(path: str) -> dict[str, Any] | None:
    document = read_document(path)
    if isinstance(document, BadFile):
        print_error(document.reason)
        return None
    return json.loads(document)


def _fetch_current(settings: OperatorSettings) -> tuple[dict[str, Any], int] | Answer:
    """Return the current document and its revision; empty and 0 if there is none."""
    answer = call(settings, "GET", CATALOGUE_PATH)
    if isinstance(answer, Response) and answer.status == NOT_FOUND:
        return {}, 0
    if isinstance(answer, Response) and answer.successful:
        return answer.data["document"], answer.data["revision"]
    return answer


def _report_conflict(settings: OperatorSettings, wanted: dict[str, Any]) -> int:
    """Print how the file differs from the document that someone else has written."""
    print_error("conflict, nothing was written: somebody else has changed the document")
    current = _fetch_current(settings)
    if isinstance(current, tuple):
        found = find_changes(current[0], _with_redacted_keys(wanted))
        _print_changes(found, ["field", "theirs", "in file"])
    return exit_codes.CONFLICT


def _with_redacted_keys(document: dict[str, Any]) -> dict[str, Any]:
    """Return a document with its API keys replaced by fingerprints, as entries do."""
    data = PlatformCatalogue().redact_keys(json.dumps(document).encode())
    return json.loads(data)


def _print_changes(found: list[FieldChange], columns: list[str]) -> None:
    rows = [[change.field, change.before, change.after] for change in found]
    print_table(columns, rows)
