"""Lots that are accepted while the store is unavailable, on the disks of their spool.

A disk only stores a submission. The head row decides who owns the Lot, and that there
is only one Lot of this id. The entry that accepted the Lot writes the head row once the
store answers again; until then no result of the Lot is shown. If that entry is lost,
the process that has the disk writes the Lot to the store, so that another entry can own
it.
"""

import enum
import logging
import threading
from collections.abc import Callable, Sequence

import msgspec

from wigeonfront.clock import Clock
from wigeonfront.observability.logs import event
from wigeonfront.rollout.head import Head
from wigeonfront.rollout.lot import Lot
from wigeonfront.rollout.ownership import NO_OWNER
from wigeonfront.rollout.repository import (
    AlreadyKept,
    InDoubt,
    Kept,
    LotRepository,
    NoLot,
    NotKept,
)
from wigeonfront.spool import SpoolClient, SpoolMember
from wigeonfront.spool.calls import Refused
from wigeonfront.spool.file import SpoolFile

logger = logging.getLogger(__name__)

KEY_PREFIX = "submission/"

FENCE = 0
"""Fencing token of submissions. It is the same for all writers, since all of them write
the same submission and none has to exclude another."""

MAX_SPOOLED_BYTES = 6 * 1024 * 1024
"""Largest encoded Lot that is written to a disk: it fits in one call, and it takes a
tenth of the disk's file."""

CHECK_PAUSE_SECONDS = 0.5
"""Pause between two checks by a disk's process whether submissions are in the store."""

HEAD_PAUSE_SECONDS = 0.25
"""Pause between two attempts to write head rows. Each attempt costs a call while the
store is unavailable."""

ENTRY_GRACE_SECONDS = 2.0
"""Time after an outage in which only the entry that accepted a Lot writes its head row:
many times what it needs. Within four seconds every entry must know the Lot."""


class Stored(enum.Enum):
    """Whether the disks have a submission."""

    ALL = "all"
    NONE = "none"
    IN_DOUBT = "in_doubt"


class Submission(msgspec.Struct, frozen=True):
    """The item on a disk for a Lot that is not in the store."""

    lot: Lot
    spools: tuple[SpoolMember, ...]


class SubmissionStore:
    """Writes submissions to disks.

    Parameters
    ----------
    spool : SpoolClient
    """

    def __init__(self, spool: SpoolClient) -> None:
        self._spool = spool

    def put(self, lot: Lot, spools: Sequence[SpoolMember]) -> Stored:
        """Write a Lot to all of its disks; return whether they have it."""
        if not spools or lot.body_bytes > MAX_SPOOLED_BYTES:
            return Stored.NONE
        data = msgspec.msgpack.encode(Submission(lot, tuple(spools)))
        if len(data) > MAX_SPOOLED_BYTES:
            return Stored.NONE
        key = KEY_PREFIX + lot.id
        done = self._spool.append(spools, key, FENCE, 0, 0, (data,))
        event(
            logger,
            "lot_on_disks",
            lot=lot.id,
            disks=len(spools),
            bytes=len(data),
            done=done,
        )
        return Stored.ALL if done else Stored.IN_DOUBT

    def forget(self, lot_id: str, spools: Sequence[SpoolMember]) -> None:
        """Have the disks delete a Lot that the store has."""
        self._spool.forget(spools, KEY_PREFIX + lot_id, FENCE, 1)


class SubmissionRecovery:
    """Writes a disk's submissions to the store if the accepting entry has not done so.

    Parameters
    ----------
    file : SpoolFile
    repository : LotRepository
    clock : Clock
    """

    def __init__(
        self, file: SpoolFile, repository: LotRepository, clock: Clock
    ) -> None:
        self._file = file
        self._repository = repository
        self._clock = clock
        # Monotonic time since which the store has answered that it has no such Lot, by
        # the key of the submission.
        self._absent_since: dict[str, float] = {}

    def run(self, stop: threading.Event) -> None:
        """Check the submissions at intervals (a supervisor's task)."""
        while not stop.wait(CHECK_PAUSE_SECONDS):
            self.check()

    def check(self) -> None:
        """Check each submission once, and delete those that the store has."""
        held = self._file.items_by_key(KEY_PREFIX)
        if isinstance(held, Refused):
            return
        self._absent_since = {
            key: at for key, at in self._absent_since.items() if key in held
        }
        for key, items in held.items():
            lot_id = key.removeprefix(KEY_PREFIX)
            if self._ensure_stored(lot_id, key, items):
                self._file.forget(key)

    def _ensure_stored(self, lot_id: str, key: str, items: Sequence[bytes]) -> bool:
        """Return whether the store has a Lot, after writing it there if that is due."""
        head = self._repository.head(lot_id)
        if isinstance(head, Head):
            return True
        if not isinstance(head, NoLot):
            self._absent_since.pop(key, None)
            return False
        now = self._clock.monotonic()
        if now - self._absent_since.setdefault(key, now) < ENTRY_GRACE_SECONDS:
            return False
        submission = msgspec.msgpack.decode(items[0], type=Submission)
        outcome = self._repository.accept(submission.lot, NO_OWNER, submission.spools)
        event(logger, "lot_from_disk", lot=lot_id, outcome=type(outcome).__name__)
        return isinstance(outcome, Kept | AlreadyKept)


class DeferredHeadWriter:
    """Writes the head rows of Lots that this process accepted during an outage.

    Parameters
    ----------
    repository : LotRepository
    submissions : SubmissionStore
    incarnation : callable
        Returns the incarnation of this process.
    deferred : callable
        Returns the Lots that this process runs without a head row, with their disks.
    on_written : callable
        Called with a Lot's id and the revision of its head row, once the row names this
        process as the owner.
    on_other_owner : callable
        Called with the id of a Lot that has another owner.
    """

    def __init__(
        self,
        repository: LotRepository,
        submissions: SubmissionStore,
        incarnation: Callable[[], str],
        deferred: Callable[[], list[tuple[Lot, tuple[SpoolMember, ...]]]],
        on_written: Callable[[str, int], None],
        on_other_owner: Callable[[str], None],
    ) -> None:
        self._repository = repository
        self._submissions = submissions
        self._incarnation = incarnation
        self._deferred = deferred
        self._on_written = on_written
        self._on_other_owner = on_other_owner

    def run(self, stop: threading.Event) -> None:
        """Write head rows once the store answers again (a supervisor's task)."""
        while not stop.wait(HEAD_PAUSE_SECONDS):
            for lot, spools in self._deferred():
                if not self.write_head(lot, spools):
                    # A single Lot tests whether the store is available again.
                    break

    def write_head(self, lot: Lot, spools: tuple[SpoolMember, ...]) -> bool:
        """Write the head row of one Lot, and find out who owns the Lot.

        Returns
        -------
        bool
            ``False`` if the attempt has to be repeated, as the store did not answer.
        """
        me = self._incarnation()
        outcome = self._repository.accept(lot, me, spools)
        event(logger, "lot_settled", lot=lot.id, outcome=type(outcome).__name__)
        if isinstance(outcome, NotKept | InDoubt):
            return False
        if isinstance(outcome, Kept):
            self._on_written(lot.id, outcome.revision)
            self._submissions.forget(lot.id, spools)
            return True
        head = self._repository.head(lot.id)
        if not isinstance(head, Head):
            return False
        if head.owner == me:
            # An earlier write of this process took effect, but its answer was lost.
            self._on_written(lot.id, head.revision)
        else:
            self._on_other_owner(lot.id)
        self._submissions.forget(lot.id, spools)
        return True
