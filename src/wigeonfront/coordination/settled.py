"""Writes whose outcome is known, also when an answer is lost.

Every document carries the unique identifier of its write. When the answer to a
write is lost, that identifier is looked for in the key's history; the outcome is
never assumed.

Examples
--------
>>> from wigeonfront.platform.memory import MemoryKeyValue
>>> key_value = MemoryKeyValue()
>>> key_value.lose_answers = 1
>>> settled_put(key_value, "catalogue/judge", {"limit": 5}, expected=0)
Stored(revision=1)
>>> settled_put(key_value, "catalogue/judge", {"limit": 6}, expected=0)
Conflict(revision=1)
"""

import secrets
from typing import Any

import msgspec

from wigeonfront.platform import (
    Conflict,
    KeyValue,
    Row,
    Stored,
    Unavailable,
    Uncertain,
)

WRITER = "writer"
SETTLE_TRIES = 3
WRITER_BYTES = 12


class _Written(msgspec.Struct):
    """The one field of a document that this module reads."""

    writer: str = ""


def new_writer() -> str:
    """Return an identifier for one write that no other write has."""
    return secrets.token_hex(WRITER_BYTES)


def settled_put(
    key_value: KeyValue,
    key: str,
    document: dict[str, Any],
    expected: int,
    lease: int = 0,
    since: int = 0,
    writer: str = "",
    resume: bool = False,
) -> Stored | Conflict | Unavailable | Uncertain:
    """Write `document` by compare-and-swap and settle a lost answer.

    Parameters
    ----------
    key_value : KeyValue
    key : str
    document : dict
        JSON data; a field ``writer`` is added.
    expected : int
        Revision of the key now, 0 for absent.
    lease : int
        Lease to which the row is bound, or 0.
    since : int
        For a key expected absent: any revision of the service read before the
        call, from which its history is searched.
    writer : str
        Identifier of the write; a new one where it is empty.
    resume : bool
        The same write, with its `writer`, was tried before and is `Uncertain`.

    Returns
    -------
    Stored
        The write took effect at this revision. A later write may have followed.
    Conflict
        It did not and will not take effect.
    Unavailable
        Nothing was sent.
    Uncertain
        It could not be settled now; call again with `resume`.
    """
    write = _Write(
        key_value, key, document | {WRITER: writer or new_writer()}, expected, lease
    )
    baseline = expected or since
    reply = Uncertain("resumed") if resume else write.put()
    for _ in range(SETTLE_TRIES):
        if not isinstance(reply, Uncertain):
            return reply
        reply = write.settle(baseline)
    return reply


class _Write:
    """One write, which may be sent several times and takes effect at most once."""

    def __init__(
        self,
        key_value: KeyValue,
        key: str,
        document: dict[str, Any],
        expected: int,
        lease: int,
    ) -> None:
        self._key_value = key_value
        self._key = key
        self._value = msgspec.json.encode(document)
        self._writer = document[WRITER]
        self._expected = expected
        self._lease = lease

    def put(self) -> Stored | Conflict | Unavailable | Uncertain:
        return self._key_value.put(self._key, self._value, self._expected, self._lease)

    def settle(self, baseline: int) -> Stored | Conflict | Uncertain:
        """Look for the write, and send it again while it can still take effect."""
        row = self._key_value.get(self._key)
        if isinstance(row, Unavailable):
            return Uncertain(row.reason)
        if isinstance(row, Row) and writer_of(row.value) == self._writer:
            return Stored(row.revision)
        present = row.revision if isinstance(row, Row) else 0
        found = self._in_history(baseline)
        if found is not None:
            return found
        if present != self._expected:
            return Conflict(present)
        return self._send_again()

    def _in_history(self, baseline: int) -> Stored | Uncertain | None:
        """Return the write if it took effect and was overwritten since."""
        changes = self._key_value.watch(self._key, baseline, 0.0)
        if isinstance(changes, Unavailable):
            return Uncertain(changes.reason)
        for change in changes.changes:
            written = change.value is not None and change.key == self._key
            if written and writer_of(change.value) == self._writer:
                return Stored(change.revision)
        return Uncertain("history compacted") if changes.compacted else None

    def _send_again(self) -> Stored | Uncertain:
        """Send again; whichever copy comes first makes the other a conflict."""
        reply = self.put()
        return reply if isinstance(reply, Stored) else Uncertain("not settled yet")


def writer_of(value: bytes) -> str:
    """Return the identifier of the write that left `value`, or an empty string."""
    try:
        return msgspec.json.decode(value, type=_Written).writer
    except msgspec.DecodeError:
        return ""
