"""Stores Lots as rows of the platform's store, where they outlive every process.

A Lot has one *head* row, which names its owner and says whether the Lot was ended, rows
with its samples, and one row for each batch of results. Every write is a
compare-and-swap: it expects the head row at the revision that the writer knows, so that
an owner that was replaced, or that resumes after a pause, can't write any more. The key
of a batch of results holds the position of the first result, and the write expects that
the key is absent, so that the positions of results never change.
"""

from collections.abc import Iterator, Mapping, Sequence
from dataclasses import dataclass, replace
from hashlib import blake2b
from types import MappingProxyType

import msgspec

from wigeonfront.coordination.rows import (
    Absent,
    Expect,
    Mismatch,
    Put,
    Row,
    RowStore,
    Stored,
    TransactionOutcome,
    Unavailable,
)
from wigeonfront.rollout.events import Text
from wigeonfront.rollout.head import (
    Head,
    LotState,
    decode_head,
    encode_head,
    head_key,
)
from wigeonfront.rollout.lot import Lot, SampleResult
from wigeonfront.spool import SpoolMember

DATA_PREFIX = "lot-data/"
RESULT_PREFIX = "lot-results/"
TEXT_PREFIX = "lot-texts/"

PART_SHARE = 0.6
"""Size of one row of samples as a share of the largest value. Values are sent as base64
text in a body whose limit may be the same."""

WRITE_BYTES = 2 * 1024 * 1024
"""Bytes of samples that are written at once. A larger Lot is written in several calls:
the store, and the copies that a call needs, have limits."""

DIGEST_BYTES = 16

TEXT_BYTES = 250_000
"""Limit of the unfinished texts that are written with a batch of results: enough for
some hundred long samples."""

WRITE_ATTEMPTS = 3
"""Sends of one write whose answers are lost, before its effect is left in doubt."""

_encode = msgspec.msgpack.encode


@dataclass(frozen=True, slots=True)
class Kept:
    """The write took effect; the head row is at `revision`."""

    revision: int


@dataclass(frozen=True, slots=True)
class AlreadyKept:
    """The store has the Lot from an earlier submission."""


@dataclass(frozen=True, slots=True)
class OwnerReplaced:
    """The head row has changed: the Lot has another owner or was ended."""


@dataclass(frozen=True, slots=True)
class NotKept:
    """The write took no effect, or the read failed, because of `reason`."""

    reason: str


@dataclass(frozen=True, slots=True)
class InDoubt:
    """It is unknown whether the write took effect, because of `reason`."""

    reason: str


@dataclass(frozen=True, slots=True)
class NoLot:
    """The store has no such Lot."""


class StoredSamples:
    """The samples of a Lot as the rows that hold them.

    The rows of a large Lot are written before its head row, and have a digest of their
    content in their keys.

    Parameters
    ----------
    data : bytes
        The encoded Lot.
    part_bytes : int
        Largest value of a row.

    Attributes
    ----------
    parts : int
        Number of rows.
    digest : str
        Digest of the content of a large Lot; empty for others.
    """

    def __init__(self, data: bytes, part_bytes: int) -> None:
        self._data = data
        self._part_bytes = part_bytes
        self.parts = -(-len(data) // part_bytes)
        self.digest = ""
        if len(data) > WRITE_BYTES:
            self.digest = blake2b(data, digest_size=DIGEST_BYTES).hexdigest()

    def rows(self, lot_id: str, first: int, end: int) -> Iterator[Put]:
        """Yield the rows with the numbers from `first` on, and before `end`."""
        for number in range(first, min(end, self.parts)):
            start = number * self._part_bytes
            part = self._data[start : start + self._part_bytes]
            yield Put(_part_key(lot_id, number, self.digest), part)


class LotRepository:
    """Reads and writes Lots as rows of a `RowStore`.

    Parameters
    ----------
    store : RowStore
    value_bytes : int
        Largest value of a row, in bytes.
    """

    def __init__(self, store: RowStore, value_bytes: int) -> None:
        self._store = store
        self._part_bytes = int(value_bytes * PART_SHARE)

    def accept(
        self, lot: Lot, owner: str, spools: tuple[SpoolMember, ...] = ()
    ) -> Kept | AlreadyKept | NotKept | InDoubt:
        """Write a new Lot.

        Parameters
        ----------
        lot : Lot
        owner : str
            Incarnation of the owner, or `NO_OWNER`.
        spools : tuple of SpoolMember
            Disks for results that the store does not accept.
        """
        stored = self._stored(lot)
        head = Head(
            owner,
            LotState.OPEN,
            len(lot.samples),
            stored.parts,
            lot.submitted_at,
            spools=spools,
            digest=stored.digest,
        )
        puts = [Put(head_key(lot.id), encode_head(head))]
        if stored.digest:
            failure = self._write_parts(lot.id, stored)
            if failure is not None:
                return failure
        else:
            puts.extend(stored.rows(lot.id, 0, stored.parts))
        expected = (Expect(head_key(lot.id), 0),)
        doubt = ""
        for _ in range(WRITE_ATTEMPTS):
            outcome = self._store.write(expected, tuple(puts))
            if isinstance(outcome, Stored):
                return Kept(outcome.revision)
            if isinstance(outcome, Mismatch):
                return self._resolve_accept(lot.id, owner, bool(doubt))
            if isinstance(outcome, Unavailable) and not doubt:
                return NotKept(outcome.reason)
            doubt = getattr(outcome, "reason", "lease")
        return InDoubt(doubt)

    def _write_parts(self, lot_id: str, stored: "StoredSamples") -> NotKept | None:
        """Write the samples of a large Lot before its head row.

        Without the head row they belong to no Lot, and other writers of the same
        samples write the same rows. So a write whose answer is lost may be repeated.

        Returns
        -------
        NotKept or None
            ``None`` if all are written.
        """
        at_once = max(1, WRITE_BYTES // self._part_bytes)
        for first in range(0, stored.parts, at_once):
            puts = tuple(stored.rows(lot_id, first, first + at_once))
            for _ in range(WRITE_ATTEMPTS):
                outcome = self._store.write((), puts)
                if isinstance(outcome, Stored | Unavailable):
                    break
            if not isinstance(outcome, Stored):
                return NotKept(getattr(outcome, "reason", type(outcome).__name__))
        return None

    def largest_size(self, parts: int) -> int:
        """Return the largest size of an encoded Lot in that many rows, in bytes."""
        return parts * self._part_bytes

    def stored_form(self, lot: Lot) -> tuple[int, str]:
        """Return the number of rows that hold a Lot's samples, and their digest."""
        stored = self._stored(lot)
        return stored.parts, stored.digest

    def _stored(self, lot: Lot) -> "StoredSamples":
        return StoredSamples(_encode(lot), self._part_bytes)

    def _resolve_accept(
        self, lot_id: str, owner: str, sent_before: bool
    ) -> Kept | AlreadyKept | InDoubt:
        """Return the outcome of a write that found a head row of the Lot.

        An earlier send of the same write may have written that row.
        """
        if not sent_before:
            return AlreadyKept()
        head = self.head(lot_id)
        if not isinstance(head, Head):
            return InDoubt("head unreadable")
        return Kept(head.revision) if head.owner == owner else AlreadyKept()

    def head(self, lot_id: str) -> Head | NoLot | NotKept:
        """Read the head row of a Lot."""
        row = self._store.get(head_key(lot_id))
        if isinstance(row, Unavailable):
            return NotKept(row.reason)
        if isinstance(row, Absent):
            return NoLot()
        return decode_head(row) or NotKept("malformed head")

    def load(self, lot_id: str, parts: int, digest: str = "") -> Lot | NoLot | NotKept:
        """Read a Lot with its samples."""
        data = bytearray()
        for number in range(parts):
            row = self._store.get(_part_key(lot_id, number, digest))
            if isinstance(row, Unavailable):
                return NotKept(row.reason)
            if isinstance(row, Absent):
                return NoLot()
            data += row.value
        return msgspec.msgpack.decode(data, type=Lot)

    def results(self, lot_id: str, after: int) -> list[SampleResult] | NotKept:
        """Read the results from position `after` on, at which a batch must begin.

        Batches are contiguous, so a reader that has read all batches up to `after` asks
        for the batch that begins there.
        """
        prefix = f"{RESULT_PREFIX}{lot_id}/"
        previous = f"{prefix}{after - 1:08d}" if after else ""
        listing = self._store.list(prefix, previous)
        if isinstance(listing, Unavailable):
            return NotKept(listing.reason)
        found: list[SampleResult] = []
        for row in sorted(listing.rows, key=lambda row: row.key):
            if int(row.key.removeprefix(prefix)) != after + len(found):
                return NotKept("no batch begins at the position")
            found.extend(decode_results(row.value))
        return found

    def append(
        self,
        lot_id: str,
        head_revision: int,
        position: int,
        batch: Sequence,
        texts: Mapping[str, Text] = MappingProxyType({}),
    ) -> Kept | OwnerReplaced | NotKept | InDoubt:
        """Write `batch` as the results from `position` on, with unfinished `texts`.

        The write is idempotent: if it is repeated with the same batch, it takes effect
        once.

        Parameters
        ----------
        lot_id : str
        head_revision : int
            Revision of the head row under which the caller owns the Lot.
        position : int
        batch : sequence of SampleResult
        texts : mapping of str to Text
            Unfinished texts by the sample's id. They replace the texts that were
            written before. Texts that do not fit in one row are left out.
        """
        key = _result_key(lot_id, position)
        value = encode_results(batch)
        expected = [Expect(head_key(lot_id), head_revision)]
        puts = []
        if batch:
            expected.append(Expect(key, 0))
            puts.append(Put(key, value))
        puts.extend(self._text_puts(lot_id, texts, TEXT_BYTES))
        outcome = self._store.write(tuple(expected), tuple(puts))
        if isinstance(outcome, Stored):
            return Kept(head_revision)
        if isinstance(outcome, Unavailable):
            return NotKept(outcome.reason)
        if not isinstance(outcome, Mismatch):
            return InDoubt(getattr(outcome, "reason", "lease"))
        return self._resolve_append(key, value, head_revision, outcome)

    def _text_puts(
        self, lot_id: str, texts: Mapping[str, Text], max_bytes: int
    ) -> list[Put]:
        kept = _texts_that_fit(texts, min(max_bytes, self._part_bytes))
        return [Put(TEXT_PREFIX + lot_id, _encode(kept))] if kept else []

    def _resolve_append(
        self, key: str, value: bytes, head_revision: int, mismatch: Mismatch
    ) -> Kept | OwnerReplaced | InDoubt:
        """Return the outcome of a write that found other rows than it expected.

        An earlier send of the same batch may have written the row.
        """
        if not mismatch.rows.get(key):
            return OwnerReplaced()
        row = self._store.get(key)
        if isinstance(row, Unavailable):
            return InDoubt(row.reason)
        if isinstance(row, Row) and row.value == value:
            return Kept(head_revision)
        return OwnerReplaced()

    def hand_over(
        self, lot_id: str, head_revision: int, head: Head, texts: Mapping[str, Text]
    ) -> Kept | OwnerReplaced | NotKept | InDoubt:
        """Write `head` and the unfinished texts for the next owner.

        Parameters
        ----------
        lot_id : str
        head_revision : int
            Revision of the head row under which the caller owns the Lot.
        head : Head
        texts : mapping of str to Text
            Unfinished texts by the sample's id. Texts that do not fit in one row are
            left out.
        """
        key = head_key(lot_id)
        puts = self._text_puts(lot_id, texts, self._part_bytes)
        puts.append(Put(key, encode_head(head)))
        outcome = self._store.write((Expect(key, head_revision),), tuple(puts))
        return _head_outcome(outcome)

    def texts(self, lot_id: str) -> dict[str, Text]:
        """Read the unfinished texts that the last owner wrote, by the sample's id.

        The result is empty if there are none or if they can't be read.
        """
        row = self._store.get(TEXT_PREFIX + lot_id)
        if not isinstance(row, Row):
            return {}
        return msgspec.msgpack.decode(row.value, type=dict[str, Text])

    def claim(
        self, lot_id: str, head: Head, owner: str
    ) -> Kept | OwnerReplaced | NotKept | InDoubt:
        """Make `owner` the owner of a Lot if its head row is unchanged since `head`."""
        return self._replace_head(lot_id, head.revision, replace(head, owner=owner))

    def end(self, lot_id: str, head: Head) -> Kept | OwnerReplaced | NotKept | InDoubt:
        """End a Lot if its head row is unchanged since `head`."""
        ended = replace(head, state=LotState.ENDED)
        return self._replace_head(lot_id, head.revision, ended)

    def _replace_head(
        self, lot_id: str, revision: int, head: Head
    ) -> Kept | OwnerReplaced | NotKept | InDoubt:
        key = head_key(lot_id)
        outcome = self._store.write(
            (Expect(key, revision),), (Put(key, encode_head(head)),)
        )
        return _head_outcome(outcome)


def _head_outcome(
    outcome: TransactionOutcome,
) -> Kept | OwnerReplaced | NotKept | InDoubt:
    if isinstance(outcome, Stored):
        return Kept(outcome.revision)
    if isinstance(outcome, Mismatch):
        return OwnerReplaced()
    if isinstance(outcome, Unavailable):
        return NotKept(outcome.reason)
    return InDoubt(getattr(outcome, "reason", "lease"))


def _texts_that_fit(texts: Mapping[str, Text], max_bytes: int) -> dict[str, Text]:
    """Return the texts that fit, preferring the longest.

    The longest texts take the most time to generate again.
    """
    kept: dict[str, Text] = {}
    by_length = sorted(texts.items(), key=lambda pair: -pair[1].last_id)
    for sample_id, text in by_length:
        max_bytes -= sum(map(len, text.pieces)) + len(sample_id)
        if max_bytes < 0:
            break
        kept[sample_id] = text
    return kept


def _part_key(lot_id: str, number: int, digest: str) -> str:
    prefix = f"{DATA_PREFIX}{lot_id}/"
    return f"{prefix}{digest}/{number:04d}" if digest else f"{prefix}{number:04d}"


def _result_key(lot_id: str, position: int) -> str:
    return f"{RESULT_PREFIX}{lot_id}/{position:08d}"


def encode_results(batch: Sequence[SampleResult]) -> bytes:
    """Return the value of a row that holds a batch of results."""
    return _encode(list(batch))


def decode_results(value: bytes) -> list[SampleResult]:
    """Return the results that a row holds."""
    return msgspec.msgpack.decode(value, type=list[SampleResult])
