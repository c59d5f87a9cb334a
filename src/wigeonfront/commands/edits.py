"""``wigeonfront catalogue apply`` and ``delete``: change catalogue entries.

A change is a compare-and-swap on the entry's revision, so that two operators who
edit at once can't undo each other's edit: the later one gets a conflict and sees
what the other has written.
"""

import argparse
import sys
from dataclasses import asdict, dataclass, replace
from typing import Any

from wigeonfront.clock import Clock, SystemClock
from wigeonfront.commands import exit_codes
from wigeonfront.commands.api import (
    CATALOGUE_PATH,
    AnswerLost,
    Response,
    Unreachable,
    call,
    path_of,
)
from wigeonfront.commands.catalogue import present_row
from wigeonfront.commands.output import print_error, print_json, print_table
from wigeonfront.commands.rows import BadFile, FileRow, read_file
from wigeonfront.differences import FieldChange, changes
from wigeonfront.settings import OperatorSettings

IN_FORCE_PATH = "in-force"
POLL_SECONDS = 0.5
# Of the time for one call, what the entry may wait for the other members.
WAIT_SHARE = 0.8
MAX_WAIT_SECONDS = 60.0

_CONFLICT = 409
# The entry, or what stands before it, can't tell whether the row was written.
_UNCERTAIN = frozenset({500, 502, 504})
_WORDS = {
    "accepted": "accepted, in force everywhere",
    "stored": "stored, not yet in force everywhere",
    "conflict": "conflict, nothing written: somebody else changed it",
    "rejected": "rejected, nothing written",
    "unknown": "unknown, the write may still take effect: look with get",
    "unreachable": "no entry could be reached, nothing written",
}
_EXIT_CODES = {
    "accepted": exit_codes.OK,
    "stored": exit_codes.NOT_IN_FORCE,
    "conflict": exit_codes.CONFLICT,
    "rejected": exit_codes.FAILED,
    "unknown": exit_codes.UNREACHABLE,
    "unreachable": exit_codes.UNREACHABLE,
}
# The worst of several results decides the exit code.
_SEVERITY = ("accepted", "stored", "rejected", "conflict", "unreachable", "unknown")


@dataclass(frozen=True, slots=True)
class Edit:
    """A change to make; a `row` of ``None`` deletes the entry."""

    entry: str
    row: dict[str, Any] | None
    expected: int


@dataclass(frozen=True, slots=True)
class EditResult:
    """How an edit ended.

    Attributes
    ----------
    entry : str
    status : str
        A key of the exit codes above.
    revision : int or None
        Of the row as it is now, where that is known.
    reason : str
    waiting : dict of str to str
        Who doesn't have the change yet, and why.
    differences : tuple of FieldChange
        From the other operator's row to this one, after a conflict.
    """

    entry: str
    status: str
    revision: int | None = None
    reason: str = ""
    waiting: dict[str, str] | None = None
    differences: tuple[FieldChange, ...] = ()


def apply(settings: OperatorSettings, arguments: argparse.Namespace) -> int:
    """Write the rows of a file, one after the other."""
    wanted = read_file(arguments.file)
    if isinstance(wanted, BadFile):
        print_error(wanted.reason)
        return exit_codes.USAGE
    if arguments.expected is not None and len(wanted) > 1:
        print_error("--expected goes with a file of one row")
        return exit_codes.USAGE
    results = []
    for number, row in enumerate(wanted, 1):
        _progress(f"{number} of {len(wanted)}: {row.entry}")
        results.append(_edit(settings, row, row.row, arguments))
    return _report(results, arguments.json)


def delete(settings: OperatorSettings, arguments: argparse.Namespace) -> int:
    """Delete one entry of the catalogue."""
    row = FileRow(arguments.catalogue_entry, {}, None)
    return _report([_edit(settings, row, None, arguments)], arguments.json)


def _edit(
    settings: OperatorSettings,
    file_row: FileRow,
    row: dict[str, Any] | None,
    arguments: argparse.Namespace,
) -> EditResult:
    expected = arguments.expected
    if expected is None:
        expected = file_row.revision
    if expected is None:
        present = present_row(settings, file_row.entry)
        if not isinstance(present, FileRow):
            return _failure(file_row.entry, present)
        expected = present.revision or 0
    edit = Edit(file_row.entry, row, expected)
    result = _send(settings, edit)
    if result.status == "stored":
        return _wait_until_in_force(settings, result, arguments.wait)
    return result


def _send(settings: OperatorSettings, edit: Edit) -> EditResult:
    wait = min(MAX_WAIT_SECONDS, WAIT_SHARE * settings.timeout_seconds)
    body: dict[str, Any] = {"expected": edit.expected, "wait": wait}
    if settings.operator:
        body["operator"] = settings.operator
    method = "DELETE" if edit.row is None else "PUT"
    if edit.row is not None:
        body["row"] = edit.row
    answer = call(settings, method, path_of(CATALOGUE_PATH, edit.entry), body)
    if isinstance(answer, Response) and answer.status in _UNCERTAIN:
        answer = AnswerLost(answer.words)
    if isinstance(answer, AnswerLost):
        return _read_back(settings, edit, answer)
    if not isinstance(answer, Response) or not isinstance(answer.data, dict):
        return _failure(edit.entry, answer)
    if answer.status == _CONFLICT:
        theirs, revision = answer.data.get("row"), answer.data["revision"]
        return _conflict(edit, theirs, revision)
    return _answered(edit.entry, answer)


def _answered(entry: str, answer: Response) -> EditResult:
    status = answer.data.get("status")
    if not answer.successful or status not in ("accepted", "stored"):
        return _failure(entry, answer)
    waiting = answer.data.get("reasons")
    return EditResult(entry, status, answer.data.get("revision"), "", waiting)


def _conflict(
    edit: Edit, theirs: dict[str, Any] | None, revision: int | None
) -> EditResult:
    differences = tuple(changes(theirs or {}, edit.row or {}))
    return EditResult(edit.entry, "conflict", revision, differences=differences)


def _read_back(settings: OperatorSettings, edit: Edit, lost: AnswerLost) -> EditResult:
    """Tell whether a write whose answer was lost has taken effect."""
    present = present_row(settings, edit.entry)
    if not isinstance(present, FileRow) or present.revision == edit.expected:
        return _failure(edit.entry, lost)
    if present.row != (edit.row or {}):
        return _conflict(edit, present.row, present.revision)
    reason = "the answer was lost; the row was read back"
    return EditResult(edit.entry, "stored", present.revision, reason)


def _failure(entry: str, answer: Response | Unreachable | AnswerLost) -> EditResult:
    if isinstance(answer, Response):
        return EditResult(entry, "rejected", reason=answer.words)
    if isinstance(answer, AnswerLost):
        return EditResult(entry, "unknown", reason=answer.reason)
    return EditResult(entry, "unreachable", reason=answer.reason)


def _wait_until_in_force(
    settings: OperatorSettings,
    result: EditResult,
    seconds: float,
    clock: Clock | None = None,
) -> EditResult:
    """Ask again until a stored change is in force, for at most `seconds`."""
    clock = clock or SystemClock()
    end = clock.monotonic() + seconds
    path = path_of(CATALOGUE_PATH, result.entry, IN_FORCE_PATH)
    while result.status == "stored" and clock.monotonic() < end:
        waiting = ", ".join(result.waiting or ()) or "the members"
        _progress(f"{result.entry}: stored, waiting for {waiting}")
        clock.sleep(POLL_SECONDS)
        answer = call(settings, "GET", path)
        if isinstance(answer, Response) and isinstance(answer.data, dict):
            asked = _answered(result.entry, answer)
            if asked.status in ("accepted", "stored"):
                result = replace(asked, reason=result.reason)
    return result


# --- output ------------------------------------------------------------------


def _progress(words: str) -> None:
    print(words, file=sys.stderr, flush=True)


def _report(results: list[EditResult], as_json: bool) -> int:
    if as_json:
        print_json([_json_fields(result) for result in results])
    else:
        for result in results:
            _print_result(result)
    worst = max(results, key=lambda result: _SEVERITY.index(result.status))
    return _EXIT_CODES[worst.status]


def _json_fields(result: EditResult) -> dict[str, Any]:
    fields = {name: value for name, value in asdict(result).items() if value}
    return fields | {"exit_code": _EXIT_CODES[result.status]}


def _print_result(result: EditResult) -> None:
    revision = f" (revision {result.revision})" if result.revision else ""
    print(f"{result.entry}: {_WORDS[result.status]}{revision}")
    if result.reason:
        print(f"  {result.reason}")
    for name, reason in (result.waiting or {}).items():
        print(f"  waiting for {name}: {reason}")
    if result.differences:
        rows = [[each.field, each.before, each.after] for each in result.differences]
        print_table(["field", "theirs", "yours"], rows)
    elif result.status == "conflict":
        print("  their row is the same as yours")
