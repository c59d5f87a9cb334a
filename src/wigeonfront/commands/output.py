"""Output of the operators' commands: tables for people and JSON for programs."""

import json
import sys
from collections.abc import Sequence
from typing import Any

from wigeonfront.commands import exit_codes
from wigeonfront.commands.calls import AnswerLost, Response, Unreachable
from wigeonfront.commands.differences import flatten

_GAP = "  "


def print_json(data: Any) -> None:
    """Print `data` as indented JSON."""
    print(json.dumps(data, indent=2, ensure_ascii=False))


def print_table(columns: Sequence[str], rows: Sequence[Sequence[Any]]) -> None:
    """Print `rows` as aligned columns below the column names."""
    texts = [[cell_text(cell) for cell in row] for row in rows]
    table = [[name.upper() for name in columns], *texts]
    widths = [max(map(len, column)) for column in zip(*table, strict=True)]
    for row in table:
        cells = (cell.ljust(width) for cell, width in zip(row, widths, strict=True))
        print(_GAP.join(cells).rstrip())


def print_objects(objects: Sequence[dict[str, Any]]) -> None:
    """Print objects as a table with a column for each field of any object."""
    flat_objects = [flatten(item) for item in objects]
    columns = list(dict.fromkeys(name for fields in flat_objects for name in fields))
    print_table(
        columns, [[fields.get(name) for name in columns] for fields in flat_objects]
    )


def print_document(document: dict[str, Any]) -> None:
    """Print simple fields as lines, then each list of objects as a titled table."""
    fields = flatten(document)
    for name, value in fields.items():
        if not _is_table(value):
            print(f"{name}: {cell_text(value)}")
    for name, value in fields.items():
        if _is_table(value):
            print(f"\n{name}:")
            print_objects(value)


def _is_table(value: Any) -> bool:
    return (
        isinstance(value, list)
        and bool(value)
        and all(isinstance(item, dict) for item in value)
    )


def cell_text(value: Any) -> str:
    """Return the text of `value` in a table."""
    if value is None or value == "":
        return "-"
    if isinstance(value, bool):
        return "yes" if value else "no"
    if isinstance(value, float):
        return f"{value:.6g}"
    if isinstance(value, dict | list):
        return json.dumps(value, ensure_ascii=False) if value else "-"
    return str(value)


def print_error(message: str) -> None:
    """Print a message as one line to standard error."""
    print(f"wigeonfront: {message}", file=sys.stderr)


def report_failure(answer: Response | Unreachable | AnswerLost) -> int:
    """Print why a call failed and return the exit code for it."""
    if isinstance(answer, Unreachable):
        print_error(f"no entry could be reached: {answer.reason}")
        return exit_codes.UNREACHABLE
    if isinstance(answer, AnswerLost):
        print_error(f"no answer, the call may have taken effect: {answer.reason}")
        return exit_codes.UNREACHABLE
    print_error(f"{answer.entry} refused: {answer.explanation}")
    return exit_codes.FAILED
