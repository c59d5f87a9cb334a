"""Reads catalogue documents from files."""

import json
import sys
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class BadFile:
    """A file that contains no document; `reason` says why."""

    reason: str


def read_document(path: str) -> bytes | BadFile:
    """Return the JSON object in a file, as it is written there.

    Parameters
    ----------
    path : str
        Path of the file; ``-`` for standard input.
    """
    try:
        text = _read_text(path)
        document = json.loads(text)
    except OSError as error:
        return BadFile(f"{path}: {error.strerror}")
    except ValueError as error:
        return BadFile(f"{path}: not JSON: {error}")
    if not isinstance(document, dict):
        return BadFile(f"{path}: an object is expected")
    return text.encode()


def _read_text(path: str) -> str:
    if path == "-":
        return sys.stdin.read()
    with open(path, encoding="utf-8") as file:
        return file.read()
