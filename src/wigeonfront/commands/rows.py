"""Catalogue rows in files."""

import json
import sys
from dataclasses import dataclass
from typing import Any


@dataclass(frozen=True, slots=True)
class FileRow:
    """One row of a catalogue file.

    Attributes
    ----------
    entry : str
        Name of the catalogue entry.
    row : dict
        Its fields.
    revision : int or None
        The revision that the row was edited from, if the file says so.
    """

    entry: str
    row: dict[str, Any]
    revision: int | None


@dataclass(frozen=True, slots=True)
class BadFile:
    """A file that is not a catalogue file, and why."""

    reason: str


def read_file(path: str) -> list[FileRow] | BadFile:
    """Read a catalogue file: what ``catalogue get --json`` prints.

    Parameters
    ----------
    path : str
        ``-`` for standard input.

    Returns
    -------
    list of FileRow or BadFile
    """
    try:
        data = json.loads(_read_text(path))
    except OSError as error:
        return BadFile(f"{path}: {error.strerror}")
    except ValueError as error:
        return BadFile(f"{path}: not JSON: {error}")
    return parse_rows(data, path)


def _read_text(path: str) -> str:
    if path == "-":
        return sys.stdin.read()
    with open(path, encoding="utf-8") as file:
        return file.read()


def parse_rows(data: Any, path: str) -> list[FileRow] | BadFile:
    """Return the rows of a decoded catalogue file."""
    if isinstance(data, dict) and "entries" in data:
        data = data["entries"]
    objects = data if isinstance(data, list) else [data]
    rows: list[FileRow] = []
    for number, each in enumerate(objects, 1):
        row = _parse_row(each)
        if isinstance(row, BadFile):
            return BadFile(f"{path}: row {number}: {row.reason}")
        rows.append(row)
    names = [row.entry for row in rows]
    twice = sorted({name for name in names if names.count(name) > 1})
    if twice:
        return BadFile(f"{path}: entries given twice: {', '.join(twice)}")
    return rows if rows else BadFile(f"{path}: no row")


def _parse_row(data: Any) -> FileRow | BadFile:
    if not isinstance(data, dict):
        return BadFile("an object is expected")
    entry, row, revision = data.get("entry"), data.get("row"), data.get("revision")
    if not isinstance(entry, str) or not entry:
        return BadFile("'entry' must be the name of the catalogue entry")
    if not isinstance(row, dict):
        return BadFile("'row' must be an object")
    if revision is not None and (type(revision) is not int or revision < 0):
        return BadFile("'revision' must be a whole number, 0 for a new entry")
    return FileRow(entry, row, revision)
