"""The history of what a stand-in did, for the history checker."""

import hashlib
import os
import time
from typing import Any

import msgspec

DIGEST_DIGITS = 16
TOKEN_DIGITS = 8


def digest(payload: Any) -> str:
    """Return a hash of JSON data that doesn't depend on the order of its keys.

    Parameters
    ----------
    payload : Any
        JSON data, or data that encodes to it.

    Returns
    -------
    str
        The first 16 hexadecimal digits of the SHA-256 of the encoded data.

    Examples
    --------
    >>> digest({"a": 1, "b": 2}) == digest({"b": 2, "a": 1})
    True
    """
    encoded = msgspec.json.encode(payload, order="sorted")
    return hashlib.sha256(encoded).hexdigest()[:DIGEST_DIGITS]


def token(payload_digest: str, position: int) -> str:
    """Return the token that every engine generates at `position`.

    Parameters
    ----------
    payload_digest : str
        `digest` of the request's payload.
    position : int
        Position in the answer, from 0; tokens of a ``prior`` answer count.
    """
    text = f"{payload_digest}:{position}"
    return hashlib.sha256(text.encode()).hexdigest()[:TOKEN_DIGITS]


class History:
    """Appends events to a file, one JSON object a line.

    Each event is one write to a file opened for appending, so that a killed
    process leaves whole lines and processes may share a file.

    Parameters
    ----------
    path : str
        The file; empty to keep no history.
    process : str
        Name written with each event.
    """

    def __init__(self, path: str, process: str) -> None:
        self._process = process
        flags = os.O_WRONLY | os.O_CREAT | os.O_APPEND
        self._file = os.open(path, flags, 0o644) if path else None

    def write(self, event: str, **fields: Any) -> None:
        """Append `event` with its time and `fields`."""
        if self._file is None:
            return
        entry = {"time": time.time(), "process": self._process, "event": event}
        os.write(self._file, msgspec.json.encode(entry | fields) + b"\n")
