"""Operators' edits of catalogue entries.

An edit is checked, written by compare-and-swap on the revision that it was made
from, put in force here, and then confirmed by every other member. Each write bears
a mark of its own, so that one whose answer was lost can be told from another
operator's.
"""

import logging
import re
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from wigeonfront import catalogue
from wigeonfront.catalogue import BadRow, plain
from wigeonfront.clock import Clock
from wigeonfront.coordination.settled import new_writer, settled_put, writer_of
from wigeonfront.differences import FieldChange, changes
from wigeonfront.entry.configuration import Catalogue
from wigeonfront.entry.confirmation import Confirmation, Everywhere
from wigeonfront.entry.history import History
from wigeonfront.entry.membership import Standing
from wigeonfront.logs import event
from wigeonfront.platform import (
    Conflict,
    KeyValue,
    Row,
    Unavailable,
    Uncertain,
)
from wigeonfront.platform import Stored as StoredRow

logger = logging.getLogger(__name__)

WRITE_ATTEMPTS = 6
RETRY_SECONDS = 0.5
_NAME = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,199}")


@dataclass(frozen=True, slots=True)
class Accepted:
    """Written, and in force everywhere; the members in `fenced` have stopped."""

    revision: int
    seconds: float
    fenced: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class Stored:
    """Written, not yet in force; `waiting` says why, by name."""

    revision: int
    waiting: dict[str, str]


@dataclass(frozen=True, slots=True)
class EditConflict:
    """Somebody else changed the row first; nothing was written.

    Attributes
    ----------
    revision : int
        Of their row; 0 where there is none.
    row : Any
        Their row.
    differences : tuple of FieldChange
        From their row to the one that was to be written.
    """

    revision: int
    row: Any
    differences: tuple[FieldChange, ...] = ()


@dataclass(frozen=True, slots=True)
class EditRejected:
    """The row can't be put in force; nothing was written."""

    reason: str


@dataclass(frozen=True, slots=True)
class EditRefused:
    """The entry can't write now; nothing was written."""

    reason: str
    detail: str = ""


@dataclass(frozen=True, slots=True)
class EditUnknown:
    """The write may have taken effect; the key-value service doesn't say."""

    reason: str


EditOutcome = (
    Accepted | Stored | EditConflict | EditRejected | EditRefused | EditUnknown
)


class Editor:
    """Takes operators' edits at one entry; may be used by many threads.

    Parameters
    ----------
    catalogue : Catalogue
    key_value : KeyValue
    confirmation : Confirmation
    history : History
    standing : callable
        Returns the standing of this entry.
    clock : Clock
    """

    def __init__(
        self,
        catalogue: Catalogue,
        key_value: KeyValue,
        confirmation: Confirmation,
        history: History,
        standing: Callable[[], Standing],
        clock: Clock,
    ) -> None:
        self._catalogue = catalogue
        self._key_value = key_value
        self._confirmation = confirmation
        self._history = history
        self._standing = standing
        self._clock = clock

    def put(
        self, name: str, row: bytes, expected: int, operator: str, wait: float
    ) -> EditOutcome:
        """Write a row that was edited from revision `expected`, 0 for a new one.

        Parameters
        ----------
        wait : float
            Seconds to wait until the row is in force everywhere.
        """
        if not _NAME.fullmatch(name):
            return EditRejected("a name has letters, digits, '.', '_' or '-'")
        checked = catalogue.check(row)
        if isinstance(checked, BadRow):
            return EditRejected(checked.reason)
        refused = self._refused()
        if refused is not None:
            return refused
        written = self._put(name, row, expected)
        return self._finish(name, row, written, operator, wait)

    def delete(
        self, name: str, expected: int, operator: str, wait: float
    ) -> EditOutcome:
        """Delete a row that is at revision `expected`."""
        if expected == 0:
            return EditRejected("a deletion names the revision of the row")
        refused = self._refused()
        if refused is not None:
            return refused
        written = self._delete(name, expected)
        return self._finish(name, None, written, operator, wait)

    def confirm(self, name: str, wait: float = 0.0) -> EditOutcome:
        """Ask anew whether the present row is in force everywhere."""
        known = self._catalogue.known(name)
        if known is None:
            return EditRejected("no such catalogue entry")
        return self._confirmed(name, known.revision, wait)

    def _refused(self) -> EditRefused | None:
        standing = self._standing()
        if standing.name == "member":
            return None
        return EditRefused("not_a_member", standing.reason)

    def _finish(
        self,
        name: str,
        row: bytes | None,
        written: StoredRow | Conflict | Unavailable | Uncertain,
        operator: str,
        wait: float,
    ) -> EditOutcome:
        _log(name, row, written, operator)
        if isinstance(written, Unavailable):
            return EditRefused("key_value_unavailable", written.reason)
        if isinstance(written, Uncertain):
            return EditUnknown(written.reason)
        if isinstance(written, Conflict):
            return self._conflict(name, row)
        before = self._catalogue.known(name)
        self._catalogue.write(name, row, written.revision)
        if before is not None and before.value and not writer_of(before.value):
            # It was written past the entries, so that no one has recorded it.
            self._history.record(name, before.value, before.revision, "")
        self._history.record(name, row, written.revision, operator)
        return self._confirmed(name, written.revision, wait)

    def _confirmed(self, name: str, revision: int, wait: float) -> EditOutcome:
        answer = self._confirmation.wait(name, revision, wait)
        if isinstance(answer, Everywhere):
            return Accepted(revision, answer.seconds, answer.fenced)
        return Stored(revision, answer.waiting)

    def _conflict(self, name: str, row: bytes | None) -> EditOutcome:
        present = self._key_value.get(catalogue.PREFIX + name)
        if isinstance(present, Unavailable):
            return EditRefused("conflict", f"their row is unknown: {present.reason}")
        theirs = plain(present.value) if isinstance(present, Row) else None
        revision = present.revision if isinstance(present, Row) else 0
        ours = plain(row)
        return EditConflict(revision, theirs, tuple(changes(theirs or {}, ours or {})))

    # --- writes whose answers may be lost ------------------------------------

    def _put(
        self, name: str, row: bytes, expected: int
    ) -> StoredRow | Conflict | Unavailable | Uncertain:
        key = catalogue.PREFIX + name
        writer = new_writer()
        written = Uncertain("")
        for attempt in range(WRITE_ATTEMPTS):
            written = settled_put(
                self._key_value,
                key,
                plain(row),
                expected,
                since=self._catalogue.revision,
                writer=writer,
                resume=attempt > 0,
            )
            if not isinstance(written, Uncertain):
                break
            self._clock.sleep(RETRY_SECONDS)
        return written

    def _delete(
        self, name: str, expected: int
    ) -> StoredRow | Conflict | Unavailable | Uncertain:
        """Delete until it is known how that ended; it can't take effect twice."""
        key = catalogue.PREFIX + name
        written = self._key_value.delete(key, expected)
        for _ in range(WRITE_ATTEMPTS):
            if not isinstance(written, Uncertain):
                break
            self._clock.sleep(RETRY_SECONDS)
            written = self._settled_deletion(key, expected)
        return written

    def _settled_deletion(
        self, key: str, expected: int
    ) -> StoredRow | Conflict | Uncertain:
        """Look for the write that followed `expected`, and delete if there is none.

        Deletions by two operators can't be told apart, and need not be.
        """
        found = self._key_value.watch(key, expected, 0.0)
        if isinstance(found, Unavailable) or found.compacted:
            return Uncertain("the history of the row can't be read")
        later = [change for change in found.changes if change.key == key]
        if later and later[0].value is None:
            return StoredRow(later[0].revision)
        if later:
            return Conflict(later[-1].revision)
        again = self._key_value.delete(key, expected)
        return Uncertain(again.reason) if isinstance(again, Unavailable) else again


def _log(name: str, row: bytes | None, written: object, operator: str) -> None:
    event(
        logger,
        "catalogue_edit",
        catalogue_entry=name,
        operator=operator or "-",
        deletes=row is None,
        result=type(written).__name__,
        revision=getattr(written, "revision", 0),
    )
