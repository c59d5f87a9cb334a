"""The interface of a store of rows, in which each outcome of a call is a value.

An outage is such an outcome as well and raises no exception. The core requires a
`RowStore`; the platform's adapter and the fakes of the tests implement it.

Examples
--------
A write takes effect only if the expected rows still have the given revisions:

>>> from platform_standins.rows import MemoryRows
>>> rows = MemoryRows()
>>> rows.write((Expect("lots/1", 0),), (Put("lots/1", b"a"),))
Stored(revision=1)
>>> rows.write((Expect("lots/1", 0),), (Put("lots/1", b"b"),))
Mismatch(rows={'lots/1': 1})
"""

from dataclasses import dataclass
from typing import Protocol


@dataclass(frozen=True, slots=True)
class Row:
    """The value of a key with the revision of its last write."""

    key: str
    value: bytes
    revision: int


@dataclass(frozen=True, slots=True)
class Absent:
    """The key has no value; `revision` is the newest revision of the store."""

    revision: int = 0


@dataclass(frozen=True, slots=True)
class Stored:
    """The write took effect at `revision`."""

    revision: int


@dataclass(frozen=True, slots=True)
class Unavailable:
    """The store was not reached; nothing was written."""

    reason: str


@dataclass(frozen=True, slots=True)
class Uncertain:
    """The call was sent and its answer was lost; the write may have taken effect."""

    reason: str


@dataclass(frozen=True, slots=True)
class Listing:
    """All rows below a prefix, at one revision of the store."""

    rows: tuple[Row, ...]
    revision: int


@dataclass(frozen=True, slots=True)
class Change:
    """One write seen by a watch; `value` is ``None`` for a deletion."""

    key: str
    value: bytes | None
    revision: int


@dataclass(frozen=True, slots=True)
class Changes:
    """Writes after the requested revision, the oldest first.

    `compacted` states that the store no longer has all of them, so that a listing is
    needed.
    """

    changes: tuple[Change, ...]
    revision: int
    compacted: bool = False


@dataclass(frozen=True, slots=True)
class Lease:
    """A lease of the store; the rows bound to it are deleted when it lapses."""

    lease: int
    ttl: float


@dataclass(frozen=True, slots=True)
class LeaseLost:
    """The lease has lapsed or was revoked."""

    lease: int


@dataclass(frozen=True, slots=True)
class Expect:
    """A condition of a transaction: `key` is at `revision`, where 0 means absent."""

    key: str
    revision: int


@dataclass(frozen=True, slots=True)
class Put:
    """A write of a transaction; the row is deleted when `lease` ends, 0 means never."""

    key: str
    value: bytes
    lease: int = 0


@dataclass(frozen=True, slots=True)
class Mismatch:
    """The conditions of a transaction did not hold; nothing was written.

    Attributes
    ----------
    rows : dict of str to int
        Revision of each expected key at that moment, where 0 means absent.
    """

    rows: dict[str, int]


TransactionOutcome = Stored | Mismatch | LeaseLost | Unavailable | Uncertain


class RowStore(Protocol):
    """A linearizable store of rows with transactions, leases and watches."""

    def get(self, key: str) -> Row | Absent | Unavailable:
        """Read one key."""

    def list(
        self, prefix: str, after: str = "", stale: bool = False
    ) -> Listing | Unavailable:
        """Read all keys below `prefix` that sort after `after`.

        The result of a `stale` read may be out of date by seconds, and such a read
        costs a tenth of another one.
        """

    def watch(self, prefix: str, after: int, timeout: float) -> Changes | Unavailable:
        """Wait up to `timeout` seconds for writes below `prefix` after a revision."""

    def write(
        self,
        expected: tuple[Expect, ...],
        puts: tuple[Put, ...] = (),
        deletes: tuple[str, ...] = (),
    ) -> TransactionOutcome:
        """Apply all writes and deletes if every condition holds, otherwise none."""

    def grant_lease(self, ttl: float) -> Lease | Unavailable | Uncertain:
        """Request a lease of `ttl` seconds."""

    def renew_lease(self, lease: int) -> Lease | LeaseLost | Unavailable:
        """Renew a lease for its full term."""

    def revoke_lease(self, lease: int) -> Stored | LeaseLost | Unavailable | Uncertain:
        """End a lease at once."""


class RowSource(Protocol):
    """The source of the rows of a mirror: the store, or a feed."""

    def list(self, prefix: str) -> Listing | Unavailable:
        """Read all rows below `prefix`."""

    def watch(self, prefix: str, after: int, timeout: float) -> Changes | Unavailable:
        """Wait up to `timeout` seconds for changes after a revision."""

    @property
    def age(self) -> float:
        """Time by which the last answer was behind the store, in seconds."""

    def followed_elsewhere(self, prefix: str, after: int) -> float:
        """Return for how many seconds other processes have followed the rows.

        An outage of the store has ended before that time; 0 if nothing is known.
        """
