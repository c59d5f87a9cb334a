"""Fixes the counts of windows in the store, before anything of them is sent.

One row says up to which window counts are fixed, and holds those that may not have been
sent. It is written by compare-and-swap, so that a window is counted once, by whoever
holds the duty; every send of a window repeats what the row says.
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
"""Requests by the name of the client account."""


@dataclass(frozen=True, slots=True)
class Fixed:
    """What is fixed.

    Attributes
    ----------
    through : int
        The last window that is fixed; -1 before the first.
    unsent : mapping of int to Counts
        Windows that may not have been taken by the platform.
    revision : int
        Of the row; 0 while there is none.
    """

    through: int = -1
    unsent: Mapping[int, Counts] = field(default_factory=dict)
    revision: int = 0


@dataclass(frozen=True, slots=True)
class NotFixed:
    """Nothing is known to be fixed; what is must be read again.

    Attributes
    ----------
    reason : str
    """

    reason: str


class _LedgerRow(msgspec.Struct, frozen=True):
    through: int
    unsent: dict[int, dict[str, int]] = {}


class UsageLedger:
    """The row.

    Parameters
    ----------
    store : RowStore
    """

    def __init__(self, store: RowStore) -> None:
        self._store = store

    def read(self) -> Fixed | NotFixed:
        """Return what is fixed."""
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
            What this process has read or written last.
        counts : mapping of int to Counts
            By the window.
        sent : frozenset of int
            Windows that the platform has taken.
        """
        unsent = {one: of for one, of in known.unsent.items() if one not in sent}
        unsent |= counts
        through = max((known.through, *counts))
        row = _LedgerRow(through, {one: dict(of) for one, of in unsent.items()})
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
