"""What an entry knows of Lots that it does not run."""

import logging
import threading
from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass, field

from wigeonfront.clock import Clock
from wigeonfront.coordination.membership import Member, Presence
from wigeonfront.coordination.mirror import Mirror
from wigeonfront.http.budget import LOT_BUDGET
from wigeonfront.observability.logs import event
from wigeonfront.rollout.head import HEAD_PREFIX, Head, LotState, decode_head
from wigeonfront.rollout.lot import Lot, SampleResult
from wigeonfront.rollout.lot_answers import LotPage, LotUnavailable, LotUnknown
from wigeonfront.rollout.owner_calls import OwnerClient
from wigeonfront.rollout.ownership import is_surely_owned
from wigeonfront.rollout.pending import PendingLots
from wigeonfront.rollout.progress import LotProgress
from wigeonfront.rollout.repository import LotRepository, NoLot, NotKept

logger = logging.getLogger(__name__)

SAMPLE_CACHE_BYTES = 4 * 1024 * 1024
"""Bytes of samples that are kept for calls that read the bodies of single ones."""

LOADED_COPIES = 2
"""Copies of a Lot's samples while it is read: as rows, and decoded."""


@dataclass(slots=True)
class KnownLot:
    """What this process remembers of a Lot that it does not run.

    Attributes
    ----------
    total : int
        Number of samples.
    results : list of SampleResult
        The first results of the Lot, in the order of their positions.
    final : bool
        Whether the Lot has ended, so that no results follow.
    owner : str
        Address of the entry that accepted the Lot when this one passed it on; empty if
        there is none.
    lock : threading.Lock
        Guards the other attributes.
    """

    total: int
    results: list[SampleResult] = field(default_factory=list)
    final: bool = False
    owner: str = ""
    lock: threading.Lock = field(default_factory=threading.Lock)

    @property
    def complete(self) -> bool:
        """Whether no more results will follow."""
        return self.final or len(self.results) >= self.total

    def add(self, position: int, more: list[SampleResult], final: bool) -> None:
        """Append results that begin at `position`, unless some were appended since."""
        with self.lock:
            if position == len(self.results):
                self.results = [*self.results, *more]
                self.final = final


class SampleCache:
    """The Lots that were read last, with their samples, up to a number of bytes.

    Parameters
    ----------
    max_bytes : int
        Largest size of all bodies together. A larger Lot is not kept.
    """

    def __init__(self, max_bytes: int) -> None:
        self._max_bytes = max_bytes
        self._lock = threading.Lock()
        self._lots: OrderedDict[str, Lot] = OrderedDict()
        self._bytes = 0

    def get(self, lot_id: str) -> Lot | None:
        """Return a Lot if it is kept."""
        with self._lock:
            lot = self._lots.get(lot_id)
            if lot is not None:
                self._lots.move_to_end(lot_id)
            return lot

    def add(self, lot: Lot) -> None:
        """Keep a Lot, and drop those that were used least recently."""
        with self._lock:
            if lot.id in self._lots:
                return
            self._lots[lot.id] = lot
            self._bytes += lot.body_bytes
            while self._bytes > self._max_bytes:
                _, dropped = self._lots.popitem(last=False)
                self._bytes -= dropped.body_bytes


class KnownLots:
    """The Lots that this process does not run.

    Parameters
    ----------
    repository : LotRepository
    mirror : Mirror
        Mirror of the rows that name the owners and the members.
    owners : OwnerClient
    own_member : callable
        Returns the membership record of this process.
    members : callable
        Returns the registered members.
    pending : PendingLots
    clock : Clock
    """

    def __init__(
        self,
        repository: LotRepository,
        mirror: Mirror,
        owners: OwnerClient,
        own_member: Callable[[], Member],
        members: Callable[[], list[Member]],
        pending: PendingLots,
        clock: Clock,
    ) -> None:
        self._repository = repository
        self._mirror = mirror
        self._owners = owners
        self._own_member = own_member
        self._members = members
        self._pending = pending
        self._clock = clock
        self._lock = threading.Lock()
        self._known: dict[str, KnownLot] = {}
        self._samples = SampleCache(SAMPLE_CACHE_BYTES)

    def heads(self) -> dict[str, Head]:
        """Return the heads of the Lots in the mirror, by the Lot's id."""
        rows = self._mirror.state().rows
        heads = {
            key.removeprefix(HEAD_PREFIX): decode_head(row)
            for key, row in rows.items()
            if key.startswith(HEAD_PREFIX)
        }
        return {lot_id: head for lot_id, head in heads.items() if head is not None}

    def recent_owners(self) -> list[str]:
        """Return the addresses of the other owners, the newest Lot's owner first."""
        addresses = {
            member.incarnation: member.address
            for member in self._members()
            if member.incarnation != self._own_member().incarnation
        }
        heads = sorted(self.heads().values(), key=lambda head: -head.submitted_at)
        owners = dict.fromkeys(head.owner for head in heads)
        return [addresses[owner] for owner in owners if owner in addresses]

    def get(self, lot_id: str) -> KnownLot | None:
        """Return what is remembered of a Lot, without a call."""
        with self._lock:
            return self._known.get(lot_id)

    def remember(self, progress: LotProgress, final: bool) -> None:
        """Remember a Lot that this process no longer runs.

        Parameters
        ----------
        progress : LotProgress
        final : bool
            Whether this process owned the Lot until its end, so that only a batch whose
            write is in doubt can be missing.
        """
        lot = progress.lot
        known = self.add(lot.id, KnownLot(len(lot.samples)))
        with known.lock:
            self._samples.add(lot)
            if len(progress.kept) >= len(known.results):
                known.results = list(progress.kept)
                known.final = known.final or (final and not progress.in_doubt)

    def lookup(self, lot_id: str) -> KnownLot | None:
        """Return what is known of a Lot, from memory or from the mirror."""
        with self._lock:
            known = self._known.get(lot_id)
        if known is not None:
            return known
        head = self._mirrored_head(lot_id)
        return self.add(lot_id, KnownLot(head.total)) if head else None

    def add(self, lot_id: str, known: KnownLot) -> KnownLot:
        """Remember a Lot unless it is known; return what is known of it."""
        with self._lock:
            return self._known.setdefault(lot_id, known)

    def _find(self, lot_id: str) -> KnownLot | LotUnknown | LotUnavailable:
        known = self.lookup(lot_id)
        if known is not None:
            return known
        head = self.head(lot_id)
        if not isinstance(head, Head):
            return head
        return self.add(lot_id, KnownLot(head.total))

    def head(self, lot_id: str) -> Head | LotUnknown | LotUnavailable:
        """Read the head row of a Lot.

        The result is `LotUnknown` only if no such Lot was accepted.
        """
        head = self._repository.head(lot_id)
        if isinstance(head, NoLot):
            doubt = self._pending.doubt_reason(lot_id)
            if doubt:
                return LotUnavailable(doubt)
            head = self._repository.head(lot_id)
        if isinstance(head, NoLot):
            return LotUnknown()
        if isinstance(head, NotKept):
            return LotUnavailable(head.reason)
        return head

    def read(
        self, lot_id: str, after: int, wait: float
    ) -> LotPage | LotUnknown | LotUnavailable:
        """Return results of a Lot that another process runs or ran.

        Parameters
        ----------
        lot_id : str
        after : int
            Position of the first result.
        wait : float
            Longest time, in seconds, for which the owner waits for a result.
        """
        known = self._find(lot_id)
        if not isinstance(known, KnownLot):
            return known
        known_count = len(known.results)
        if known_count > after or known.complete:
            return LotPage(known.total, known.results[after:])
        head = self._mirrored_head(lot_id)
        owner = self._read_address(head) if head is not None else known.owner
        if owner:
            # The remembered results must end where a batch ends, since the store is
            # read from that position on.
            start = known_count if after <= known_count else after
            found = self._owners.read(owner, lot_id, start, wait)
            if found is not None:
                if start == known_count and found.whole:
                    known.add(known_count, found.results, final=False)
                return LotPage(found.total, found.results[after - start :])
        more = self._repository.results(lot_id, known_count)
        event(
            logger,
            "results_read",
            lot=lot_id,
            position=known_count,
            outcome=type(more).__name__ if isinstance(more, NotKept) else "Read",
            count=0 if isinstance(more, NotKept) else len(more),
        )
        if isinstance(more, NotKept):
            return LotUnavailable(more.reason)
        # No results are added to a Lot after its end is written.
        ended = head is not None and head.state is LotState.ENDED
        known.add(known_count, more, ended)
        if after >= len(known.results) and not known.complete and not ended:
            # The owner may have shown results that the store lacks.
            return LotUnavailable("owner not reached")
        return LotPage(known.total, known.results[after:])

    def owner_address(self, lot_id: str) -> str:
        """Return the address of the other entry that runs a Lot; empty if unknown."""
        head = self._mirrored_head(lot_id)
        if head is None:
            known = self.get(lot_id)
            return known.owner if known is not None else ""
        return self._read_address(head)

    def is_surely_owned(self, run: LotProgress, presence: Presence) -> bool:
        """Return whether a Lot that this process runs can have no other owner.

        Parameters
        ----------
        run : LotProgress
        presence : Presence
            Presence of this process.
        """
        head = self._mirrored_head(run.lot.id)
        revision = self._mirror.revision
        return is_surely_owned(run, presence, head, revision, self._clock.boottime())

    def _mirrored_head(self, lot_id: str) -> Head | None:
        row = self._mirror.get(HEAD_PREFIX + lot_id)
        return decode_head(row) if row is not None else None

    def _read_address(self, head: Head) -> str:
        """Return the address of the owner from which a Lot is read; empty for none.

        A Lot that has ended is wholly in the store. It is not read from an owner in
        another failure domain, as the store is as near and this spares the link between
        the failure domains.
        """
        own_member = self._own_member()
        for member in self._members():
            if head.owner == member.incarnation != own_member.incarnation:
                near = member.failure_domain == own_member.failure_domain
                ended = head.state is LotState.ENDED
                return "" if ended and not near else member.address
        return ""

    def keep_samples(self, lot: Lot) -> None:
        """Keep a Lot for reads of its samples, which then need no call to the store."""
        self._samples.add(lot)

    def load(
        self, lot_id: str, to_run: bool = False
    ) -> Lot | LotUnknown | LotUnavailable:
        """Return a Lot with all its samples.

        Parameters
        ----------
        lot_id : str
        to_run : bool
            Whether this process will run the Lot, so that it is read although there is
            no room for its samples.
        """
        known = self._find(lot_id)
        if not isinstance(known, KnownLot):
            return known
        cached = self._samples.get(lot_id)
        if cached is not None:
            return cached
        head = self._mirrored_head(lot_id) or self._repository.head(lot_id)
        if not isinstance(head, Head):
            return LotUnavailable("head unreadable")
        return self._read_samples(lot_id, head, to_run)

    def _read_samples(
        self, lot_id: str, head: Head, to_run: bool
    ) -> Lot | LotUnavailable:
        size = LOADED_COPIES * self._repository.largest_size(head.parts)
        if to_run:
            LOT_BUDGET.add(size)
        elif not LOT_BUDGET.take(size, own=0):
            event(logger, "lot_without_room", lot=lot_id, bytes=size)
            return LotUnavailable("no room")
        try:
            lot = self._repository.load(lot_id, head.parts, head.digest)
        finally:
            LOT_BUDGET.release(size)
        if not isinstance(lot, Lot):
            return LotUnavailable("samples unreadable")
        self._samples.add(lot)
        return lot
