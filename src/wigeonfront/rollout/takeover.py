"""Takes over Lots whose owner is gone, and stops Lots that now have another owner."""

import logging
import threading
from collections.abc import Callable, Collection
from dataclasses import replace

from wigeonfront.clock import Clock
from wigeonfront.coordination.membership import Member
from wigeonfront.coordination.mirror import Mirror
from wigeonfront.observability.logs import event
from wigeonfront.rollout.head import Head, LotState
from wigeonfront.rollout.initial_state import InitialState
from wigeonfront.rollout.known_lots import KnownLots
from wigeonfront.rollout.lot import Lot
from wigeonfront.rollout.ownership import (
    NO_OWNER,
    OWNER_GRACE_SECONDS,
    claimable_lots,
)
from wigeonfront.rollout.repository import Kept, LotRepository
from wigeonfront.rollout.runner import LotRunner
from wigeonfront.rollout.spooling import LotSpools
from wigeonfront.spool import Unreached

logger = logging.getLogger(__name__)

CLAIM_PAUSE_SECONDS = 0.2
"""Longest pause between two checks for Lots to claim."""

YIELD_AFTER_SECONDS = 1.5
"""Time for which an owner that reaches neither the disks of a Lot nor another entry
tries to recover it, before it gives the Lot up to the other entries."""

YIELD_SECONDS = 5.0
"""Time for which it then does not claim the Lot: longer than all of the others take to
claim it in turn."""


class LotTakeover:
    """Claims the Lots that this process should own, and runs them.

    Parameters
    ----------
    repository : LotRepository
    runner : LotRunner
    known : KnownLots
    spools : LotSpools
    mirror : Mirror
        Mirror of the rows that name the owners and the members.
    own_member : callable
        Returns the membership record of this process.
    members : callable
        Returns the registered members.
    on_start : callable
        Called before a Lot's first samples are sent.
    clock : Clock

    Attributes
    ----------
    leaving : bool
        Whether this process takes over no more Lots.
    """

    def __init__(
        self,
        repository: LotRepository,
        runner: LotRunner,
        known: KnownLots,
        spools: LotSpools,
        mirror: Mirror,
        own_member: Callable[[], Member],
        members: Callable[[], list[Member]],
        on_start: Callable[[], None],
        clock: Clock,
    ) -> None:
        self._repository = repository
        self._runner = runner
        self._known = known
        self._spools = spools
        self._mirror = mirror
        self._own_member = own_member
        self._members = members
        self._on_start = on_start
        self._clock = clock
        self._missing_since: dict[str, float] = {}
        # Monotonic time at which the mirror first showed each Lot, by the Lot's id.
        self._first_heard_at: dict[str, float] = {}
        # Monotonic time since which this process is cut off from the disks of a Lot and
        # from the other entries, and until which it does not claim a Lot, by Lot id.
        self._cut_off_since: dict[str, float] = {}
        self._yielded_until: dict[str, float] = {}
        self._changed = threading.Event()
        self.leaving = False

    def wake(self) -> None:
        """Check at once whether Lots have to be taken over."""
        self._changed.set()

    def run(self, stop: threading.Event) -> None:
        """Take over Lots whose owner is gone (a supervisor's task)."""
        while not stop.is_set():
            self._changed.wait(CLAIM_PAUSE_SECONDS)
            self._changed.clear()
            heads = self._known.heads()
            self._note_first_heard(heads)
            if not self._mirror.ready or self._mirror.failing or self.leaving:
                continue
            self._stop_lost(heads)
            for lot_id in self._claimable(heads):
                self.claim(lot_id, heads[lot_id])

    def _note_first_heard(self, heads: Collection[str]) -> None:
        now = self._clock.monotonic()
        self._first_heard_at = {
            lot_id: self._first_heard_at.get(lot_id, now) for lot_id in heads
        }

    def _stop_lost(self, heads: dict[str, Head]) -> None:
        """Stop the Lots that another process has ended or taken over."""
        for lot_id in self._runner.owned_ids():
            head = heads.get(lot_id)
            progress = self._runner.owned(lot_id)
            if head is None or progress is None or progress.deferred:
                continue
            if head.revision > progress.head_revision:
                self._runner.stop_lot(lot_id, f"now {head.state.value} at {head.owner}")
                ended_here = head.owner == self._own_member().incarnation
                final = ended_here and head.state is LotState.ENDED
                self._known.remember(progress, final)

    def _claimable(self, heads: dict[str, Head]) -> list[str]:
        now = self._clock.monotonic()
        members = self._members()
        live = {member.incarnation for member in members}
        owners = {head.owner for head in heads.values()}
        self._missing_since = {
            owner: self._missing_since.get(owner, now) for owner in owners - live
        }
        self._cut_off_since = {
            lot_id: at for lot_id, at in self._cut_off_since.items() if lot_id in heads
        }
        self._yielded_until = {
            lot_id: until
            for lot_id, until in self._yielded_until.items()
            if now < until
        }
        return claimable_lots(
            {id: head for id, head in heads.items() if id not in self._yielded_until},
            members,
            self._missing_since,
            self._own_member().incarnation,
            self._runner.owned_ids(),
            now,
            OWNER_GRACE_SECONDS,
        )

    def claim(self, lot_id: str, head: Head) -> bool:
        """Claim and run a Lot if its head row is unchanged since `head`.

        Returns
        -------
        bool
            Whether this process runs the Lot.
        """
        current = self._repository.head(lot_id)
        if not isinstance(current, Head) or current.revision != head.revision:
            return False
        if self._runner.owned(lot_id) is not None:
            return True
        revision = head.revision
        # If this process ran the Lot under this revision, its writes may still be in
        # flight. A new revision has them rejected.
        ran_before = self._runner.has_run(lot_id, revision)
        if ran_before or head.owner != self._own_member().incarnation:
            outcome = self._repository.claim(
                lot_id, head, self._own_member().incarnation
            )
            event(
                logger,
                "lot_claimed",
                lot=lot_id,
                previous=head.owner,
                outcome=type(outcome).__name__,
            )
            if not isinstance(outcome, Kept):
                return False
            revision = outcome.revision
        return self._adopt(lot_id, replace(head, revision=revision))

    def _adopt(self, lot_id: str, head: Head) -> bool:
        """Run a Lot that this process owns, from the state that the last owner left."""
        lot = self._known.load(lot_id, to_run=True)
        results = self._repository.results(lot_id, 0)
        if not isinstance(lot, Lot) or not isinstance(results, list):
            return False
        spooled = self._spools.recover(lot_id, head.spools, head.revision, results)
        if isinstance(spooled, Unreached):
            event(
                logger,
                "lot_not_recovered",
                lot=lot_id,
                revision=head.revision,
                relays=spooled.relays,
                reason=spooled.reason,
            )
            self._yield_lot(lot_id, head, spooled)
            return False
        self._cut_off_since.pop(lot_id, None)
        texts = self._repository.texts(lot_id)
        event(
            logger,
            "lot_adopted",
            lot=lot_id,
            revision=head.revision,
            results=len(results),
            spooled=len(spooled),
            texts=len(texts),
        )
        now = self._clock.monotonic()
        known_for = now - self._first_heard_at.get(lot_id, now)
        self._on_start()
        initial = InitialState(results, spooled, head.spools, texts, known_for)
        self._runner.adopt(lot, head.revision, initial)
        return True

    def _yield_lot(self, lot_id: str, head: Head, unreached: Unreached) -> None:
        """Give a Lot up to the other entries if only this process can't recover it."""
        now = self._clock.monotonic()
        others = [
            member
            for member in self._members()
            if not member.leaving and member.name != self._own_member().name
        ]
        if unreached.relays or not others:
            self._cut_off_since.pop(lot_id, None)
            return
        since = self._cut_off_since.setdefault(lot_id, now)
        if now - since < YIELD_AFTER_SECONDS:
            return
        outcome = self._repository.claim(lot_id, head, NO_OWNER)
        event(logger, "lot_passed_on", lot=lot_id, outcome=type(outcome).__name__)
        self._cut_off_since.pop(lot_id, None)
        if isinstance(outcome, Kept):
            self._yielded_until[lot_id] = now + YIELD_SECONDS
