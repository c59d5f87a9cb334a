"""Answers the calls about Lots, at any entry that receives them."""

import logging
import threading
from collections.abc import Callable
from dataclasses import replace

from wigeonfront.capacity.admission import DoesNotFit
from wigeonfront.clock import Clock
from wigeonfront.coordination.membership import Member, Presence
from wigeonfront.coordination.mirror import Mirror
from wigeonfront.http.budget import LOT_BUDGET
from wigeonfront.observability.logs import event
from wigeonfront.rollout.acceptance import Deferred, LotAcceptance
from wigeonfront.rollout.head import Head, LotState
from wigeonfront.rollout.initial_state import InitialState
from wigeonfront.rollout.known_lots import KnownLot, KnownLots
from wigeonfront.rollout.lot import Lot
from wigeonfront.rollout.lot_admission import LotAdmission, RefusedLot
from wigeonfront.rollout.lot_answers import (
    Accepted,
    LotPage,
    LotRefused,
    LotUnavailable,
    LotUncertain,
    LotUnknown,
)
from wigeonfront.rollout.owner_calls import (
    NotTaken,
    OwnedResults,
    OwnerClient,
    ResultsInDoubt,
    Submitted,
)
from wigeonfront.rollout.ownership import NO_OWNER, preferred_owner
from wigeonfront.rollout.pending import PendingLots
from wigeonfront.rollout.progress import LotProgress
from wigeonfront.rollout.repository import (
    AlreadyKept,
    InDoubt,
    Kept,
    LotRepository,
    OwnerReplaced,
)
from wigeonfront.rollout.runner import LotRunner
from wigeonfront.rollout.spooling import LotSpools
from wigeonfront.rollout.submissions import DeferredHeadWriter, SubmissionStore
from wigeonfront.rollout.takeover import LotTakeover

logger = logging.getLogger(__name__)

READ_PAUSE_SECONDS = 0.3
"""Pause between two reads of the store while a caller waits for results at an entry
that does not own the Lot."""

HAND_OVER_PAUSE_SECONDS = 0.2
"""Pause before a hand-over is tried again after the store did not answer."""

END_ATTEMPTS = 4
"""Attempts to end a Lot in its owner's place; each reads the head row anew, as another
process may have changed it."""


class Lots:
    """The Lots of the deployment, as one entry sees them.

    Parameters
    ----------
    repository : LotRepository
    runner : LotRunner
    mirror : Mirror
        Mirror of the rows that name the owners and the members.
    own_member : callable
        Returns the membership record of this process.
    presence : callable
        Returns the `Presence` of this process.
    members : callable
        Returns the registered members.
    spools : LotSpools
    submissions : SubmissionStore
    pending : PendingLots
    on_start : callable
        Called before a Lot's first samples are sent.
    clock : Clock
    admission : LotAdmission, optional
        Refuses Lots that the engines can't serve. Without it all Lots are accepted.
    """

    def __init__(
        self,
        repository: LotRepository,
        runner: LotRunner,
        mirror: Mirror,
        own_member: Callable[[], Member],
        presence: Callable[[], Presence],
        members: Callable[[], list[Member]],
        spools: LotSpools,
        submissions: SubmissionStore,
        pending: PendingLots,
        on_start: Callable[[], None],
        clock: Clock,
        admission: LotAdmission | None = None,
    ) -> None:
        self._admission = admission
        self._on_start = on_start
        self._owners = OwnerClient(clock)
        self._repository = repository
        self._runner = runner
        self._member = own_member
        self._presence = presence
        self._members = members
        self._clock = clock
        self._spools = spools
        self._acceptance = LotAcceptance(repository, submissions)
        self._head_writer = DeferredHeadWriter(
            repository,
            submissions,
            lambda: own_member().incarnation,
            runner.deferred,
            runner.note_head_written,
            self._stop_foreign_lot,
        )
        self._known = KnownLots(
            repository, mirror, self._owners, own_member, members, pending, clock
        )
        self._takeover = LotTakeover(
            repository,
            runner,
            self._known,
            spools,
            mirror,
            own_member,
            members,
            on_start,
            clock,
        )

    @property
    def _own_member(self) -> Member:
        return self._member()

    # --- calls ---------------------------------------------------------------

    def submit(self, lot: Lot) -> Accepted | LotRefused | LotUncertain:
        """Accept a Lot, to be run by its preferred owner, or refuse it.

        A repeated submission of the same Lot is accepted again.
        """
        if self.knows(lot.id):
            return Accepted()
        own_member = self._own_member
        owner = preferred_owner(lot, self._members(), own_member.failure_domain)
        if owner is None or owner.name == own_member.name:
            return self._admit(lot)
        if self._owners.avoids(owner.address):
            return self._admit(lot)
        outcome = self._owners.submit(owner.address, lot)
        if isinstance(outcome, Accepted):
            known = KnownLot(len(lot.samples), owner=owner.address)
            self._known.add(lot.id, known)
            self._known.keep_samples(lot)
            return outcome
        if isinstance(outcome, LotRefused) and not self._may_be_kept(lot.id):
            event(
                logger,
                "owner_refused",
                lot=lot.id,
                owner=owner.address,
                reason=outcome.reason,
                retry_after=outcome.retry_after,
            )
            return outcome
        if isinstance(outcome, NotTaken):
            return self._admit(lot)
        # The preferred owner, or this process before, may have stored the Lot.
        return self._admit(lot, outcome.reason)

    def submit_locally(self, lot: Lot) -> Submitted:
        """Accept a Lot that another entry has received, to run it in this process."""
        if self._takeover.leaving:
            return NotTaken("leaving")
        if self._runner.owned(lot.id):
            return Accepted()
        # The clock of the VM that received the Lot may differ from this VM's clock.
        return self._admit(replace(lot, submitted_at=self._clock.time()))

    def _admit(self, lot: Lot, doubt: str = "") -> Accepted | LotRefused | LotUncertain:
        """Accept a Lot if the engines can serve it.

        Parameters
        ----------
        lot : Lot
        doubt : str
            Why the Lot may be accepted already, so that it must not be refused; empty
            if that is not known.
        """
        if self._admission is None:
            return _unless_in_doubt(self._accept_with_room(lot), doubt)
        waited = self._admission.refused_for(lot)
        decision = self._admission.admit(
            lot, lambda: not doubt and self._surely_unknown(lot.id)
        )
        if isinstance(decision, DoesNotFit):
            return LotRefused(decision.reason, decision.retry_after, for_capacity=True)
        if decision.known:
            doubt = doubt or decision.reason
        # The Lot is due as counted from its first submission.
        lot = replace(lot, submitted_at=lot.submitted_at - waited)
        outcome = _unless_in_doubt(self._accept_with_room(lot), doubt)
        self._admission.settled(
            lot.id,
            kept=isinstance(outcome, Accepted),
            in_doubt=isinstance(outcome, LotUncertain),
        )
        return outcome

    def _surely_unknown(self, lot_id: str) -> bool:
        """Return whether no earlier submission of a Lot was accepted anywhere."""
        if self.knows(lot_id):
            return False
        return isinstance(self._known.head(lot_id), LotUnknown)

    def _may_be_kept(self, lot_id: str) -> bool:
        return self._admission is not None and self._admission.may_be_kept(lot_id)

    def _accept_with_room(self, lot: Lot) -> Accepted | LotRefused | LotUncertain:
        """Accept a Lot if its samples fit in the memory for Lots.

        A Lot fits in any case if this process runs no other.
        """
        size = lot.body_bytes
        if not LOT_BUDGET.take(size, own=0):
            event(
                logger,
                "lot_without_room",
                lot=lot.id,
                bytes=size,
                taken=LOT_BUDGET.taken,
                limit=LOT_BUDGET.limit,
            )
            if not self._surely_unknown(lot.id):
                return LotUncertain("no room")
            return LotRefused("no room")
        try:
            return self._accept(lot)
        finally:
            # Once the Lot runs, the runner holds its bytes.
            LOT_BUDGET.release(size)

    def _accept(self, lot: Lot) -> Accepted | LotRefused | LotUncertain:
        """Store a Lot and begin to run it."""
        # A leaving process could not finish the Lot. Without an owner it is taken over
        # by another process.
        owner = NO_OWNER if self._takeover.leaving else self._own_member.incarnation
        spools = self._spools.choose(lot.id)
        outcome = self._acceptance.accept(lot, owner, spools)
        event(
            logger,
            "lot_submitted",
            lot=lot.id,
            samples=len(lot.samples),
            groups=lot.target_groups,
            min_version=lot.min_version,
            outcome=type(outcome).__name__,
            detail=getattr(outcome, "reason", ""),
        )
        if isinstance(outcome, Kept | Deferred):
            if owner != NO_OWNER:
                self._on_start()
                revision = outcome.revision if isinstance(outcome, Kept) else 0
                self._runner.adopt(lot, revision, InitialState(spools=spools))
            return Accepted()
        if isinstance(outcome, AlreadyKept):
            return Accepted(already_kept=True)
        if isinstance(outcome, InDoubt):
            return LotUncertain(outcome.reason)
        return LotRefused(outcome.reason)

    def refused_lots(self) -> list[RefusedLot]:
        """Return the Lots that this entry has refused lately, the newest first."""
        return [] if self._admission is None else self._admission.refused_lots()

    def read(
        self, lot_id: str, after: int, wait: float
    ) -> LotPage | LotUnknown | LotUnavailable:
        """Return the results from position `after` on.

        Parameters
        ----------
        lot_id : str
        after : int
        wait : float
            Longest time, in seconds, to wait for a result.
        """
        deadline = self._clock.monotonic() + wait
        while True:
            left = max(0.0, deadline - self._clock.monotonic())
            owned = self._read_owned(lot_id, after, left)
            if isinstance(owned, ResultsInDoubt):
                return LotUnavailable(owned.reason)
            if owned is not None:
                return LotPage(owned.total, owned.results)
            page = self._known.read(lot_id, after, left)
            if not isinstance(page, LotPage) or page.results:
                return page
            if after >= page.total or self._clock.monotonic() >= deadline:
                return page
            self._clock.sleep(min(READ_PAUSE_SECONDS, left))

    def knows(self, lot_id: str) -> bool:
        """Return whether this process knows of a Lot, without a call to the store."""
        return bool(self._runner.owned(lot_id) or self._known.lookup(lot_id))

    def ended(self, lot_id: str) -> bool:
        """Return whether the store says that a Lot has ended.

        ``False`` also where the head row can't be read.
        """
        head = self._repository.head(lot_id)
        return isinstance(head, Head) and head.state is LotState.ENDED

    def read_locally(self, lot_id: str, after: int, wait: float) -> OwnedResults | None:
        """Return results of a Lot without a call to the store or to another entry.

        Returns
        -------
        OwnedResults or None
            ``None`` if this process neither runs the Lot nor knows all of its results.
        """
        owned = self._read_owned(lot_id, after, wait)
        if isinstance(owned, ResultsInDoubt):
            return None
        if owned is not None:
            return owned
        known = self._known.get(lot_id)
        if known is None or not known.complete:
            return None
        return OwnedResults(known.total, known.results[after:])

    def _read_owned(
        self, lot_id: str, after: int, wait: float
    ) -> OwnedResults | ResultsInDoubt | None:
        """Return results of a Lot that this process runs; ``None`` if it runs no such.

        A page without results is returned only if no other process can own the Lot.
        """
        found = self._runner.read(lot_id, after, wait)
        if not isinstance(found, OwnedResults) or found.results or after >= found.total:
            return found
        run = self._runner.owned(lot_id)
        if run is not None and self._known.is_surely_owned(run, self._presence()):
            return found
        return ResultsInDoubt("another entry may own the Lot")

    def body(self, lot_id: str, sample_id: str) -> bytes | LotUnknown | LotUnavailable:
        """Return the body of a sample."""
        lot = self._load(lot_id)
        if not isinstance(lot, Lot):
            return lot
        for sample in lot.samples:
            if sample.id == sample_id:
                return sample.body
        return LotUnknown()

    def end(self, lot_id: str) -> Accepted | LotUnknown | LotUnavailable:
        """End a Lot; results that were shown remain available.

        The owner ends the Lot, as it may have results that the store lacks. If the
        owner can't be reached, this process ends the Lot in its place; a Lot that has
        a spool it takes over first.
        """
        if self._is_deferred(lot_id):
            return LotUnavailable("not in the store yet")
        if self.end_locally(lot_id):
            return Accepted()
        owner = self._known.owner_address(lot_id)
        if owner and self._owners.end(owner, lot_id):
            return Accepted()
        for _ in range(END_ATTEMPTS):
            head = self._known.head(lot_id)
            if not isinstance(head, Head):
                return head
            if head.state is LotState.ENDED:
                return Accepted()
            if self._end_for(lot_id, head):
                return Accepted()
        return LotUnavailable("not ended")

    def end_locally(self, lot_id: str) -> bool:
        """End a Lot that this process runs; return whether the store has its end."""
        running = self._runner.owned(lot_id)
        if running is None or running.deferred or not self._store_shown(running):
            return False
        progress = self._runner.stop_lot(lot_id, "ended by the trainer")
        if progress is None:
            return False
        kept = self._store_shown(progress)
        if kept:
            head = self._make_head(
                progress, self._own_member.incarnation, LotState.OPEN
            )
            kept = isinstance(self._repository.end(lot_id, head), Kept)
        event(logger, "lot_ended", lot=lot_id, kept=kept)
        self._known.remember(progress, final=kept)
        return kept

    def _is_deferred(self, lot_id: str) -> bool:
        progress = self._runner.owned(lot_id)
        return progress is not None and progress.deferred

    def _store_shown(self, progress: LotProgress) -> bool:
        """Write the results that may have been shown to the store.

        Returns
        -------
        bool
            Whether the store has them.
        """
        if progress.possibly_shown <= len(progress.kept):
            return True
        return isinstance(self._runner.result_writer.write_remaining(progress), Kept)

    def _end_for(self, lot_id: str, head: Head) -> bool:
        """End a Lot in its owner's place; return whether the store has its end."""
        if self._runner.owned(lot_id) is not None:
            return self.end_locally(lot_id)
        if head.spools:
            if self._takeover.leaving or not self._takeover.claim(lot_id, head):
                return False
            return self.end_locally(lot_id)
        outcome = self._repository.end(lot_id, head)
        event(logger, "lot_ended", lot=lot_id, outcome=type(outcome).__name__)
        return isinstance(outcome, Kept)

    def leave(self) -> None:
        """Stop taking Lots over and running newly submitted ones.

        Lots that are still submitted here are left to other entries.
        """
        self._takeover.leaving = True

    def hand_over(self, until: float) -> None:
        """Give up all owned Lots, so that other entries take them over at once.

        Parameters
        ----------
        until : float
            Monotonic time until which failed writes to the store are tried again.
        """
        stopped = [
            self._runner.stop_lot(lot_id, "handed over")
            for lot_id in self._runner.owned_ids()
        ]
        left = [progress for progress in stopped if progress is not None]
        while left:
            left = [progress for progress in left if not self._hand_over(progress)]
            if not left or self._clock.monotonic() + HAND_OVER_PAUSE_SECONDS >= until:
                break
            self._clock.sleep(HAND_OVER_PAUSE_SECONDS)

    def _hand_over(self, progress: LotProgress) -> bool:
        """Write the rest of a stopped Lot and its head row without an owner.

        Returns
        -------
        bool
            ``False`` if the write has to be tried again.
        """
        if progress.deferred:
            return self._hand_over_deferred(progress)
        texts = self._runner.texts_of(progress)
        outcome = self._runner.result_writer.write_remaining(progress)
        if isinstance(outcome, Kept):
            head = self._make_head(progress, NO_OWNER, LotState.OPEN)
            outcome = self._repository.hand_over(
                progress.lot.id, progress.head_revision, head, texts
            )
        event(
            logger,
            "lot_handed_over",
            lot=progress.lot.id,
            kept=len(progress.kept),
            open=len(progress.open),
            texts=len(texts),
            outcome=type(outcome).__name__,
        )
        return isinstance(outcome, Kept | OwnerReplaced)

    def _hand_over_deferred(self, progress: LotProgress) -> bool:
        """Write a Lot that only disks have to the store, without an owner.

        If this fails, the processes that have the disks write it later.

        Returns
        -------
        bool
            ``False`` if the write has to be tried again.
        """
        lot = progress.lot
        outcome = self._repository.accept(lot, NO_OWNER, progress.spools)
        event(logger, "lot_handed_over", lot=lot.id, outcome=type(outcome).__name__)
        return isinstance(outcome, Kept | AlreadyKept)

    def _make_head(self, progress: LotProgress, owner: str, state: LotState) -> Head:
        """Return a new head row for a Lot that this process owned."""
        lot = progress.lot
        parts, digest = self._repository.stored_form(lot)
        return Head(
            owner,
            state,
            len(lot.samples),
            parts,
            lot.submitted_at,
            progress.head_revision,
            progress.spools,
            digest,
        )

    # --- ownership -----------------------------------------------------------

    def heads(self) -> dict[str, Head]:
        """Return the heads of the Lots in the mirror, by the Lot's id."""
        return self._known.heads()

    def recent_owners(self) -> list[str]:
        """Return the addresses of the other owners, the newest Lot's owner first."""
        return self._known.recent_owners()

    def owners_changed(self) -> None:
        """Check at once whether Lots have to be taken over."""
        self._takeover.wake()

    def deferred_head_loop(self, stop: threading.Event) -> None:
        """Write the head rows of deferred Lots (a supervisor's task)."""
        self._head_writer.run(stop)

    def _stop_foreign_lot(self, lot_id: str) -> None:
        """Stop a Lot that was accepted here and has its owner elsewhere."""
        progress = self._runner.stop_lot(lot_id, "accepted elsewhere")
        if progress is not None:
            self._known.remember(progress, final=False)

    def takeover_loop(self, stop: threading.Event) -> None:
        """Take over Lots whose owner is gone (a supervisor's task)."""
        self._takeover.run(stop)

    def _load(self, lot_id: str) -> Lot | LotUnknown | LotUnavailable:
        progress = self._runner.owned(lot_id)
        return progress.lot if progress is not None else self._known.load(lot_id)


def _unless_in_doubt(
    outcome: Accepted | LotRefused | LotUncertain, doubt: str
) -> Accepted | LotRefused | LotUncertain:
    """Return an outcome that refuses no Lot that may be accepted already."""
    if doubt and isinstance(outcome, LotRefused):
        return LotUncertain(doubt)
    return outcome
