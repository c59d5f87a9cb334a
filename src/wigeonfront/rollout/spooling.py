"""Writes results to small disks while the store does not accept them."""

import logging
import threading
from collections.abc import Callable, Collection, Sequence

import msgspec

from wigeonfront.clock import Clock
from wigeonfront.coordination import rendezvous
from wigeonfront.coordination.membership import Member
from wigeonfront.observability.logs import event
from wigeonfront.rollout.disks import DiskRegistrations, loss_proof
from wigeonfront.rollout.lot import SampleResult
from wigeonfront.rollout.progress import LotProgress
from wigeonfront.spool import Recovered, SpoolClient, SpoolMember, Unreached

logger = logging.getLogger(__name__)

SPOOL_AFTER_SECONDS = 0.4
"""Time for which a write waits for the store before results are written to the spool:
many times the duration of a write, and short compared to the second after which the
write is given up."""

PART_PAUSE_SECONDS = 0.5
"""Time between two writes to the spool while the wanted groups are incomplete."""

CHECK_PAUSE_SECONDS = 0.1
"""Pause between two checks whether results have to be spooled or deleted."""

RETRY_SECONDS = 0.3
"""Pause after a disk has not accepted results."""


def choose_members(
    lot_id: str, disks: Collection[Member], count: int
) -> tuple[SpoolMember, ...]:
    """Return the disks of a new Lot's spool; none if there are too few.

    Disks that accept no data at present are chosen only where there are too few
    others: they may recover while the Lot runs.

    Parameters
    ----------
    lot_id : str
    disks : collection of Member
        Registered processes with a disk; the disk's id is the process's incarnation.
    count : int
        Number of disks, each in another failure domain if there are enough.
    """
    by_name = {member.name: member for member in disks if not member.leaving}
    ranked = [by_name[name] for name in rendezvous.ranked(lot_id, by_name)]
    # The sorts are stable, so that the rank decides between equal members.
    ranked.sort(key=lambda member: member.refusing)
    domain_counts: dict[str, int] = {}
    rounds = {}
    for member in ranked:
        rounds[member.name] = domain_counts.get(member.failure_domain, 0)
        domain_counts[member.failure_domain] = rounds[member.name] + 1
    chosen = sorted(ranked, key=lambda member: (member.refusing, rounds[member.name]))
    if len(chosen) < count:
        return ()
    return tuple(
        SpoolMember(member.address, member.incarnation) for member in chosen[:count]
    )


def spool_due(progress: LotProgress, now: float) -> bool:
    """Return whether results of a Lot should be written to its spool now.

    Parameters
    ----------
    progress : LotProgress
    now : float
        Monotonic time.
    """
    if not progress.spools or progress.ended or progress.writing_since is None:
        return False
    if now - progress.writing_since < SPOOL_AFTER_SECONDS:
        return False
    if len(progress.results) <= len(progress.durable):
        return False
    whole = progress.whole_groups >= progress.wanted_groups
    return whole or now - progress.spooled_at >= PART_PAUSE_SECONDS


def unstored_items(
    kept: Sequence[bytes], position: int, items: Sequence[bytes]
) -> Sequence[bytes]:
    """Return the spooled items that follow the items in the store.

    An earlier owner may have left items that it never showed. If a later owner has
    written other items at the same positions to the store, the spooled items there and
    all items after them are invalid.

    Parameters
    ----------
    kept : sequence of bytes
        All items in the store.
    position : int
        Position of the first of `items`.
    items : sequence of bytes
        Items on the spool.
    """
    if position > len(kept):
        return ()
    common = min(len(kept) - position, len(items))
    if list(items[:common]) != list(kept[position : position + common]):
        return ()
    return items[common:]


def unstored_results(
    kept: Sequence[SampleResult], found: Recovered
) -> list[SampleResult]:
    """Return the spooled results of a Lot that follow the results in the store."""
    items = unstored_items([*map(_encode, kept)], found.position, found.items)
    return [msgspec.msgpack.decode(item, type=SampleResult) for item in items]


class LotSpools:
    """Chooses the disks of new Lots, and reads the spool at a change of owner.

    Parameters
    ----------
    spool : SpoolClient
    disks : callable
        Returns the registered processes with a disk.
    registrations : callable
        Returns the `DiskRegistrations` that this entry knows.
    count : int
        Disks of a Lot: one more than may be lost at once.
    clock : Clock
    """

    def __init__(
        self,
        spool: SpoolClient,
        disks: Callable[[], list[Member]],
        registrations: Callable[[], DiskRegistrations],
        count: int,
        clock: Clock,
    ) -> None:
        self._spool = spool
        self._disks = disks
        self._registrations = registrations
        self._count = count
        self._clock = clock
        # Monotonic time since which disks that were asked for are not registered, by
        # their ids.
        self._unregistered_since: dict[str, float] = {}

    def choose(self, lot_id: str) -> tuple[SpoolMember, ...]:
        """Return the disks of a new Lot's spool."""
        return choose_members(lot_id, self._disks(), self._count)

    def recover(
        self,
        lot_id: str,
        members: Sequence[SpoolMember],
        fence: int,
        kept: Sequence[SampleResult],
    ) -> list[SampleResult] | Unreached:
        """Return the spooled results that follow those in the store, as the next owner.

        Parameters
        ----------
        lot_id : str
        members : sequence of SpoolMember
            Disks of the Lot.
        fence : int
            Fencing token: the revision of the head row that names this process.
        kept : sequence of SampleResult
            All results in the store.

        Returns
        -------
        list of SampleResult or Unreached
            `Unreached` as long as the caller has to try again: until a disk answers, or
            the loss of all is proved.
        """
        rows = self._registrations()
        current = [
            SpoolMember(rows.registered.get(member.disk, member.address), member.disk)
            for member in members
        ]
        found = self._spool.recover(current, lot_id, fence)
        if isinstance(found, Recovered):
            return unstored_results(kept, found)
        proofs = [self._loss_proof(member.disk, rows, fence) for member in members]
        if not all(proofs):
            return found
        event(
            logger,
            "spool_lost",
            level=logging.ERROR,
            lot=lot_id,
            disks=",".join(member.disk for member in members),
            proofs=",".join(proofs),
        )
        return []

    def _loss_proof(self, disk: str, rows: DiskRegistrations, fence: int) -> str:
        """Return what proves that a disk of a Lot is lost; empty without a proof.

        The head row names the disks, so they were registered before its revision.
        """
        now = self._clock.monotonic()
        if disk in rows.registered or rows.followed_for is None:
            self._unregistered_since.pop(disk, None)
            return ""
        since = self._unregistered_since.setdefault(disk, now)
        return loss_proof(disk, rows, fence, now - since)


class ResultSpooler:
    """Writes results to the spool, and deletes them there once the store has them.

    Parameters
    ----------
    spool : SpoolClient
    lots : callable
        Returns the owned Lots; called with the lock of `changed` held.
    changed : threading.Condition
        Guards the progress of Lots, and is notified when results can be shown.
    clock : Clock
    """

    def __init__(
        self,
        spool: SpoolClient,
        lots: Callable[[], list[LotProgress]],
        changed: threading.Condition,
        clock: Clock,
    ) -> None:
        self._spool = spool
        self._lots = lots
        self._changed = changed
        self._clock = clock

    def run(self, stop: threading.Event) -> None:
        """Write and delete results when it is due (a supervisor's task)."""
        while not stop.wait(CHECK_PAUSE_SECONDS):
            now = self._clock.monotonic()
            with self._changed:
                lots = self._lots()
                due = [progress for progress in lots if spool_due(progress, now)]
                obsolete = [
                    progress
                    for progress in lots
                    if 0 < progress.spooled <= len(progress.kept)
                ]
            for progress in obsolete:
                self._forget(progress)
            done = [self._write(progress) for progress in due]
            if not all(done):
                stop.wait(RETRY_SECONDS)

    def _write(self, progress: LotProgress) -> bool:
        with self._changed:
            kept = len(progress.kept)
            position = len(progress.durable)
            results = progress.results[kept:]
        items = [_encode(result) for result in results]
        lot_id, fence = progress.lot.id, progress.head_revision
        done = self._spool.append(progress.spools, lot_id, fence, kept, position, items)
        event(
            logger,
            "results_spooled",
            lot=lot_id,
            position=position,
            count=kept + len(items) - position,
            done=done,
        )
        with self._changed:
            progress.spooled_at = self._clock.monotonic()
            if done:
                progress.spooled = max(progress.spooled, kept + len(items))
                progress.possibly_shown = max(progress.possibly_shown, progress.spooled)
                self._changed.notify_all()
        return done

    def _forget(self, progress: LotProgress) -> None:
        kept = len(progress.kept)
        self._spool.forget(
            progress.spools, progress.lot.id, progress.head_revision, kept
        )
        with self._changed:
            if progress.spooled <= kept:
                progress.spooled = 0


def _encode(result: SampleResult) -> bytes:
    return msgspec.msgpack.encode(result)
