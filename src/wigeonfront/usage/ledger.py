"""Fixes the counts of windows in the store before any of them is sent.

One row says up to which window the counts are fixed, and holds the counts that may not
have been sent yet. It is written by compare-and-swap, so that each window is counted
once, whichever process holds the duty. Every send of a window repeats the counts of the
row.
"""

import logging
from collections.abc import Mapping
from dataclasses import dataclass, field

import msgspec

from wigeonfront.coordination.rows import (
    Absent,
    Expect,
    Mismatch,
    Put,
    Row,
    RowStore,
    Stored,
    Unavailable,
)
from wigeonfront.observability.logs import event

logger = logging.getLogger(__name__)

LEDGER_KEY = "usage/ledger"

Counts = Mapping[str, int]
"""Number of requests by the name of the client account."""


@dataclass(frozen=True, slots=True)
class Fixed:
    """The content of the ledger's row: the fixed windows.

    Attributes
    ----------
    through : int
        The last window that is fixed; -1 before the first.
    unsent : mapping of int to Counts
        Counts of the windows that the platform may not have accepted yet.
    revision : int
        Revision of the row; 0 while the row doesn't exist.
    """

    through: int = -1
    unsent: Mapping[int, Counts] = field(default_factory=dict)
    revision: int = 0


@dataclass(frozen=True, slots=True)
class NotFixed:
    """The content of the row is unknown, so it must be read again.

    Attributes
    ----------
    reason : str
    """

    reason: str


class _LedgerRow(msgspec.Struct, frozen=True):
    through: int
    unsent: dict[int, dict[str, int]] = {}


class UsageLedger:
    """Reads and writes the row with the fixed counts.

    Parameters
    ----------
    store : RowStore
    """

    def __init__(self, store: RowStore) -> None:
        self._store = store

    def read(self) -> Fixed | NotFixed:
        """Return the fixed windows, or why they could not be read."""
        row = self._store.get(LEDGER_KEY)
        if isinstance(row, Absent):
            return Fixed()
        if isinstance(row, Unavailable):
            return NotFixed(row.reason)
        return _decode(row)

    def fix(
        self, known: Fixed, counts: Mapping[int, Counts], sent: frozenset[int]
    ) -> Fixed | NotFixed:
        """Fix the counts of further windows.

        Parameters
        ----------
        known : Fixed
            The content that this process has read or written last.
        counts : mapping of int to Counts
            Counts of each window to fix.
        sent : frozenset of int
            Windows that the platform has accepted; the row drops their counts.

        Returns
        -------
        Fixed or NotFixed
            `NotFixed` also if the outcome of the write is unknown.
        """
        unsent = {
            window: window_counts
            for window, window_counts in known.unsent.items()
            if window not in sent
        }
        unsent |= counts
        through = max((known.through, *counts))
        row = _LedgerRow(through, {window: dict(of) for window, of in unsent.items()})
        outcome = self._store.write(
            (Expect(LEDGER_KEY, known.revision),),
            (Put(LEDGER_KEY, msgspec.json.encode(row)),),
        )
        if isinstance(outcome, Stored):
            return Fixed(through, unsent, outcome.revision)
        if isinstance(outcome, Mismatch):
            return NotFixed("written by another process")
        return NotFixed(getattr(outcome, "reason", type(outcome).__name__))


def _decode(row: Row) -> Fixed | NotFixed:
    try:
        wire = msgspec.json.decode(row.value, type=_LedgerRow)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
        event(logger, "bad_usage_ledger", level=logging.ERROR, reason=str(error)[:200])
        return NotFixed("malformed row")
    return Fixed(wire.through, wire.unsent, row.revision)
