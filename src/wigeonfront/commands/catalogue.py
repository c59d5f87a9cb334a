"""``wigeonfront catalogue get``, ``diff`` and ``history``: read and compare rows."""

import argparse
from collections.abc import Iterator
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
    print_document,
    print_error,
    print_json,
    print_objects,
    print_table,
    report_failure,
)
from wigeonfront.commands.rows import BadFile, FileRow, read_file
from wigeonfront.differences import FieldChange, changes, flatten
from wigeonfront.settings import OperatorSettings

_NOT_FOUND = 404
_NEW = FileRow("", {}, 0)


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
    described = {name: value for name, value in entry.items() if name != "row"}
    print_document(described)
    print()
    print_table(["field", "value"], sorted(flatten(entry["row"] or {}).items()))


def _print_entries(entries: list[dict[str, Any]]) -> None:
    columns = ("entry", "revision", "state")
    print_objects(
        [
            {name: entry.get(name) for name in columns} | flatten(entry["row"] or {})
            for entry in entries
        ]
    )


def history(settings: OperatorSettings, arguments: argparse.Namespace) -> int:
    """List the revisions of an entry with what each changed."""
    path = path_of(CATALOGUE_PATH, arguments.catalogue_entry, "history")
    answer = call(settings, "GET", path)
    if not isinstance(answer, Response) or not answer.successful:
        return report_failure(answer)
    if arguments.json:
        print_json(answer.data)
        return exit_codes.OK
    print_table(
        ["revision", "operator", "field", "before", "after"],
        [
            [version["revision"], version.get("operator"), *_cells(change)]
            for version, change in _changes_of_versions(answer.data["history"])
        ],
    )
    return exit_codes.OK


def _changes_of_versions(
    versions: list[dict[str, Any]],
) -> Iterator[tuple[dict[str, Any], FieldChange]]:
    """Yield each version, oldest first, with each field that it changed."""
    before: dict[str, Any] = {}
    for version in sorted(versions, key=lambda each: each["revision"]):
        # A deletion has no row.
        row = version.get("row") or {}
        for change in changes(before, row):
            yield version, change
        before = row


def _cells(change: FieldChange) -> list[Any]:
    return [change.field, change.before, change.after]


def diff(settings: OperatorSettings, arguments: argparse.Namespace) -> int:
    """Show what ``apply`` would change; exits 1 when there is a difference."""
    wanted = read_file(arguments.file)
    if isinstance(wanted, BadFile):
        print_error(wanted.reason)
        return exit_codes.USAGE
    found: list[tuple[str, FieldChange]] = []
    for row in wanted:
        present = present_row(settings, row.entry)
        if not isinstance(present, FileRow):
            return report_failure(present)
        found += [(row.entry, change) for change in changes(present.row, row.row)]
    if arguments.json:
        print_json([{"entry": entry, **asdict(change)} for entry, change in found])
    elif found:
        rows = [[entry, *_cells(change)] for entry, change in found]
        print_table(["entry", "field", "in force", "in file"], rows)
    return exit_codes.FAILED if found else exit_codes.OK


def present_row(
    settings: OperatorSettings, entry: str
) -> FileRow | Response | Unreachable | AnswerLost:
    """Return the row as it is now; revision 0 where there is none."""
    answer = call(settings, "GET", path_of(CATALOGUE_PATH, entry))
    if isinstance(answer, Response) and answer.status == _NOT_FOUND:
        return _NEW
    if isinstance(answer, Response) and answer.successful:
        return FileRow(entry, answer.data["row"], answer.data["revision"])
    return answer
