"""Lots that are accepted while the store is away: they lie on the disks of their spool.

A disk only keeps a submission; it decides nothing. Who owns the Lot, and that there is
one such Lot, is settled by its head row, which its entry writes once the store answers
again; until then nothing of the Lot is shown. Where that entry is lost, the process
with the disk has the Lot kept in the store, for another entry to own.
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
from wigeonfront.spool.file import SpoolFile

logger = logging.getLogger(__name__)

KEY_PREFIX = "submission/"

FENCE = 0
"""All writers of a submission write the same; none excludes another."""

MOST_BYTES = 6 * 1024 * 1024
"""Largest Lot that goes to a disk: one call, and a tenth of the disk's file."""

LOOK_SECONDS = 0.5
"""Pause between two looks of a disk's process whether a submission is in the store."""

SETTLE_PAUSE_SECONDS = 0.25
"""Pause between two tries to write heads: each is a call while the store is away."""

OWNER_SECONDS = 2.0
"""How long after the store's return the entry that accepted a Lot has to write its
head, many times what it needs; within four seconds every entry must know the Lot."""


class Stored(enum.Enum):
    """Whether the disks have a submission."""

    ALL = "all"
    NONE = "none"
    IN_DOUBT = "in_doubt"


class Submission(msgspec.Struct, frozen=True):
    """What a disk keeps of a Lot that is not in the store."""

    lot: Lot
    spools: tuple[SpoolMember, ...]


class SubmissionStore:
    """Puts submissions on disks.

    Parameters
    ----------
    spool : SpoolClient
    """

    def __init__(self, spool: SpoolClient) -> None:
        self._spool = spool

    def put(self, lot: Lot, spools: Sequence[SpoolMember]) -> Stored:
        """Put a Lot on all of its disks."""
        data = msgspec.msgpack.encode(Submission(lot, tuple(spools)))
        if not spools or len(data) > MOST_BYTES:
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
        """Tell the disks that the store has a Lot."""
        self._spool.forget(spools, KEY_PREFIX + lot_id, FENCE, 1)


class SubmissionKeeper:
    """Has the submissions of one disk kept in the store where their entry did not.

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
        # Monotonic time since which the store answers that it has no such Lot.
        self._absent_since: dict[str, float] = {}

    def run(self, stop: threading.Event) -> None:
        """Look after the submissions (a supervisor's task)."""
        while not stop.wait(LOOK_SECONDS):
            self.look()

    def look(self) -> None:
        """Look at each submission once."""
        held = self._file.items_by_key(KEY_PREFIX)
        self._absent_since = {
            key: at for key, at in self._absent_since.items() if key in held
        }
        for key, items in held.items():
            lot_id = key.removeprefix(KEY_PREFIX)
            if self._is_settled(lot_id, key, items):
                self._file.forget(key)

    def _is_settled(self, lot_id: str, key: str, items: Sequence[bytes]) -> bool:
        """Tell whether the store has a Lot; have it kept where it is time to."""
        head = self._repository.head(lot_id)
        if isinstance(head, Head):
            return True
        if not isinstance(head, NoLot):
            self._absent_since.pop(key, None)
            return False
        now = self._clock.monotonic()
        if now - self._absent_since.setdefault(key, now) < OWNER_SECONDS:
            return False
        found = msgspec.msgpack.decode(items[0], type=Submission)
        outcome = self._repository.accept(found.lot, NO_OWNER, found.spools)
        event(logger, "lot_from_disk", lot=lot_id, outcome=type(outcome).__name__)
        return isinstance(outcome, Kept | AlreadyKept)


class Settler:
    """Writes the heads of Lots that were accepted here while the store was away.

    Parameters
    ----------
    repository : LotRepository
    submissions : SubmissionStore
    incarnation : callable
        Returns that of this process.
    deferred : callable
        Returns the Lots that are run here without a head row, with their disks.
    settle : callable
        Called with a Lot's id and the revision of its head row, which this process
        has written.
    give_up : callable
        Called with the id of a Lot that has another owner.
    """

    def __init__(
        self,
        repository: LotRepository,
        submissions: SubmissionStore,
        incarnation: Callable[[], str],
        deferred: Callable[[], list[tuple[Lot, tuple[SpoolMember, ...]]]],
        settle: Callable[[str, int], None],
        give_up: Callable[[str], None],
    ) -> None:
        self._repository = repository
        self._submissions = submissions
        self._incarnation = incarnation
        self._deferred = deferred
        self._settle = settle
        self._give_up = give_up

    def run(self, stop: threading.Event) -> None:
        """Settle Lots as the store answers again (a supervisor's task)."""
        while not stop.wait(SETTLE_PAUSE_SECONDS):
            for lot, spools in self._deferred():
                if not self.settle(lot, spools):
                    # One Lot finds out whether the store is back.
                    break

    def settle(self, lot: Lot, spools: tuple[SpoolMember, ...]) -> bool:
        """Write one head row; return whether the store took part."""
        me = self._incarnation()
        outcome = self._repository.accept(lot, me, spools)
        event(logger, "lot_settled", lot=lot.id, outcome=type(outcome).__name__)
        if isinstance(outcome, NotKept | InDoubt):
            return False
        if isinstance(outcome, Kept):
            self._settle(lot.id, outcome.revision)
            self._submissions.forget(lot.id, spools)
            return True
        head = self._repository.head(lot.id)
        if not isinstance(head, Head):
            return False
        if head.owner == me:
            # An earlier write of this process, whose answer was lost.
            self._settle(lot.id, head.revision)
        else:
            self._give_up(lot.id)
        self._submissions.forget(lot.id, spools)
        return True
