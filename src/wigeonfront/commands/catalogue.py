"""``wigeonfront catalogue``: read, compare and change catalogue entries.

A change is a compare-and-swap on the entry's revision, so that two operators who
edit at once can't undo each other's edit: the later one gets a conflict and sees
what the other has written.
"""

import argparse
from dataclasses import asdict
from typing import Any

from wigeonfront.commands import exit_codes
from wigeonfront.commands.api import (
    CATALOGUE_PATH,
    AnswerLost,
    Response,
    Unreachable,
    call,
    path_of,
)
from wigeonfront.commands.output import (
    print_error,
    print_json,
    print_table,
    report_failure,
)
from wigeonfront.commands.rows import BadFile, FileRow, read_file
from wigeonfront.differences import FieldChange, changes, flatten
from wigeonfront.settings import OperatorSettings

_NOT_FOUND = 404
_CONFLICT = 409
# The entry, or what stands before it, can't tell whether the row was written.
_UNCERTAIN = frozenset({500, 502, 504})
_NEW = FileRow("", {}, 0)
# The worst of several results decides the exit code.
_SEVERITY = (
    exit_codes.OK,
    exit_codes.NOT_IN_FORCE,
    exit_codes.FAILED,
    exit_codes.CONFLICT,
    exit_codes.UNREACHABLE,
)


def get(settings: OperatorSettings, arguments: argparse.Namespace) -> int:
    """Print one entry of the catalogue or all."""
    parts = [arguments.catalogue_entry] if arguments.catalogue_entry else []
    answer = call(settings, "GET", path_of(CATALOGUE_PATH, *parts))
    if not isinstance(answer, Response) or not answer.successful:
        return report_failure(answer)
    if arguments.json:
        print_json(answer.data)
    elif parts:
        _print_entry(answer.data)
    else:
        _print_entries(answer.data["entries"])
    return exit_codes.OK


def _print_entry(entry: dict[str, Any]) -> None:
    print(f"entry: {entry['entry']}\nrevision: {entry['revision']}\n")
    print_table(["field", "value"], sorted(flatten(entry["row"]).items()))


def _print_entries(entries: list[dict[str, Any]]) -> None:
    flat = [flatten(entry["row"]) for entry in entries]
    fields = list(dict.fromkeys(name for row in flat for name in row))
    rows = [
        [entry["entry"], entry["revision"], *(row.get(name) for name in fields)]
        for entry, row in zip(entries, flat, strict=True)
    ]
    print_table(["entry", "revision", *fields], rows)


def history(settings: OperatorSettings, arguments: argparse.Namespace) -> int:
    """List the revisions of an entry with what each changed."""
    path = path_of(CATALOGUE_PATH, arguments.catalogue_entry, "history")
    answer = call(settings, "GET", path)
    if not isinstance(answer, Response) or not answer.successful:
        return report_failure(answer)
    if arguments.json:
        print_json(answer.data)
        return exit_codes.OK
    before: dict[str, Any] = {}
    rows = []
    for version in sorted(answer.data["history"], key=lambda each: each["revision"]):
        row = version["row"] or {}
        for change in changes(before, row):
            rows.append(
                [version["revision"], change.field, change.before, change.after]
            )
        before = row
    print_table(["revision", "field", "before", "after"], rows)
    return exit_codes.OK


def diff(settings: OperatorSettings, arguments: argparse.Namespace) -> int:
    """Show what ``apply`` would change; exits 1 when there is a difference."""
    wanted = read_file(arguments.file)
    if isinstance(wanted, BadFile):
        print_error(wanted.reason)
        return exit_codes.USAGE
    found: list[tuple[str, FieldChange]] = []
    for row in wanted:
        present = _present(settings, row.entry)
        if not isinstance(present, FileRow):
            return report_failure(present)
        found += [(row.entry, change) for change in changes(present.row, row.row)]
    if arguments.json:
        print_json([{"entry": entry, **asdict(change)} for entry, change in found])
    elif found:
        rows = [[entry, each.field, each.before, each.after] for entry, each in found]
        print_table(["entry", "field", "in force", "in file"], rows)
    return exit_codes.FAILED if found else exit_codes.OK


def _present(
    settings: OperatorSettings, entry: str
) -> FileRow | Response | Unreachable | AnswerLost:
    """Return the row as it is now; revision 0 where there is none."""
    answer = call(settings, "GET", path_of(CATALOGUE_PATH, entry))
    if isinstance(answer, Response) and answer.status == _NOT_FOUND:
        return _NEW
    if isinstance(answer, Response) and answer.successful:
        return FileRow(entry, answer.data["row"], answer.data["revision"])
    return answer


# --- apply -------------------------------------------------------------------


def apply(settings: OperatorSettings, arguments: argparse.Namespace) -> int:
    """Write the rows of a file, one after the other."""
    wanted = read_file(arguments.file)
    if isinstance(wanted, BadFile):
        print_error(wanted.reason)
        return exit_codes.USAGE
    if arguments.expected is not None and len(wanted) > 1:
        print_error("--expected goes with a file of one row")
        return exit_codes.USAGE
    results = [_apply_one(settings, row, arguments.expected) for row in wanted]
    if arguments.json:
        print_json(results)
    else:
        for result in results:
            _print_result(result)
    codes = [result["exit_code"] for result in results]
    return max(codes, key=_SEVERITY.index)


def _apply_one(
    settings: OperatorSettings, row: FileRow, expected: int | None
) -> dict[str, Any]:
    if expected is None:
        expected = row.revision
    if expected is None:
        present = _present(settings, row.entry)
        if not isinstance(present, FileRow):
            return _failure(row, present)
        expected = present.revision
    body = {"row": row.row, "expected": expected}
    answer = call(settings, "PUT", path_of(CATALOGUE_PATH, row.entry), body)
    if isinstance(answer, Response) and answer.status in _UNCERTAIN:
        answer = AnswerLost(answer.words)
    if isinstance(answer, AnswerLost):
        return _settle(settings, row, expected, answer)
    if not isinstance(answer, Response) or not isinstance(answer.data, dict):
        return _failure(row, answer)
    return _result(row, answer)


def _result(row: FileRow, answer: Response) -> dict[str, Any]:
    status = answer.data.get("status")
    if answer.successful and status in ("accepted", "stored"):
        code = exit_codes.OK if status == "accepted" else exit_codes.NOT_IN_FORCE
        return {"entry": row.entry, "exit_code": code, **answer.data}
    if answer.status == _CONFLICT:
        return _conflict(row, answer.data.get("row") or {}, answer.data["revision"])
    return _failure(row, answer)


def _conflict(row: FileRow, theirs: dict[str, Any], revision: int) -> dict[str, Any]:
    return {
        "entry": row.entry,
        "exit_code": exit_codes.CONFLICT,
        "status": "conflict",
        "revision": revision,
        "differences": [asdict(change) for change in changes(theirs, row.row)],
    }


def _settle(
    settings: OperatorSettings, row: FileRow, expected: int | None, lost: AnswerLost
) -> dict[str, Any]:
    """Read back whether a write whose answer was lost has taken effect."""
    present = _present(settings, row.entry)
    if not isinstance(present, FileRow) or present.revision == expected:
        return _failure(row, lost)
    if present.row != row.row:
        return _conflict(row, present.row, present.revision or 0)
    return {
        "entry": row.entry,
        "exit_code": exit_codes.NOT_IN_FORCE,
        "status": "stored",
        "revision": present.revision,
        "reason": "the answer was lost; the row was read back",
    }


def _failure(
    row: FileRow, answer: Response | Unreachable | AnswerLost
) -> dict[str, Any]:
    if isinstance(answer, Response):
        status, reason, code = "rejected", answer.words, exit_codes.FAILED
    elif isinstance(answer, AnswerLost):
        status, reason, code = "unknown", answer.reason, exit_codes.UNREACHABLE
    else:
        status, reason, code = "unreachable", answer.reason, exit_codes.UNREACHABLE
    return {
        "entry": row.entry,
        "exit_code": code,
        "status": status,
        "reason": reason,
    }


def _print_result(result: dict[str, Any]) -> None:
    words = {
        "accepted": "accepted, in force everywhere",
        "stored": "stored, not yet in force everywhere",
        "conflict": "conflict, nothing written: somebody else changed it",
        "rejected": "rejected, nothing written",
        "unknown": "unknown, the write may still take effect: look with get",
        "unreachable": "no entry could be reached, nothing written",
    }[result["status"]]
    revision = f" (revision {result['revision']})" if "revision" in result else ""
    print(f"{result['entry']}: {words}{revision}")
    if result.get("waiting"):
        print(f"  waiting for: {', '.join(result['waiting'])}")
    if result.get("reason"):
        print(f"  {result['reason']}")
    if result.get("differences"):
        rows = [
            [each["field"], each["before"], each["after"]]
            for each in result["differences"]
        ]
        print_table(
            ["  field", "theirs", "yours"], [["  " + r[0], *r[1:]] for r in rows]
        )
