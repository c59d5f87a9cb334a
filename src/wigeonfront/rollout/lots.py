"""Answers the calls about Lots, at whichever entry they arrive."""

import logging
import threading
from collections.abc import Callable
from dataclasses import replace

from wigeonfront.clock import Clock
from wigeonfront.coordination.membership import Member, Presence
from wigeonfront.coordination.mirror import Mirror
from wigeonfront.observability.logs import event
from wigeonfront.rollout.acceptance import Deferred, LotAcceptance
from wigeonfront.rollout.head import Head, LotState
from wigeonfront.rollout.initial_state import InitialState
from wigeonfront.rollout.known_lots import KnownLot, KnownLots
from wigeonfront.rollout.lot import Lot
from wigeonfront.rollout.lot_answers import (
    Accepted,
    LotPage,
    LotRefused,
    LotUnavailable,
    LotUncertain,
    LotUnknown,
)
from wigeonfront.rollout.owner_calls import (
    OwnedResults,
    OwnerClient,
    ResultsInDoubt,
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
"""Pause between two readings of the store for a caller that waits at an entry that
does not own the Lot."""

HAND_OVER_PAUSE_SECONDS = 0.2
"""Pause before a store that took no part in a hand-over is asked again."""

END_ATTEMPTS = 4


class Lots:
    """The Lots of the deployment, as one entry sees them.

    Parameters
    ----------
    repository : LotRepository
    runner : LotRunner
    mirror : Mirror
        Of the rows that tell owners and members.
    me : callable
        Returns this process as a member.
    presence : callable
        Returns the `Presence` of this process.
    members : callable
        Returns the members that are registered.
    spools : LotSpools
    submissions : SubmissionStore
    pending : PendingLots
    on_start : callable
        Called before a Lot's first samples are sent.
    clock : Clock
    """

    def __init__(
        self,
        repository: LotRepository,
        runner: LotRunner,
        mirror: Mirror,
        me: Callable[[], Member],
        presence: Callable[[], Presence],
        members: Callable[[], list[Member]],
        spools: LotSpools,
        submissions: SubmissionStore,
        pending: PendingLots,
        on_start: Callable[[], None],
        clock: Clock,
    ) -> None:
        self._on_start = on_start
        self._owners = OwnerClient(clock)
        self._repository = repository
        self._runner = runner
        self._member = me
        self._presence = presence
        self._members = members
        self._clock = clock
        self._spools = spools
        self._acceptance = LotAcceptance(repository, submissions)
        self._head_writer = DeferredHeadWriter(
            repository,
            submissions,
            lambda: me().incarnation,
            runner.deferred,
            runner.settle,
            self._stop_foreign_lot,
        )
        self._known = KnownLots(
            repository, mirror, self._owners, me, members, pending, clock
        )
        self._takeover = LotTakeover(
            repository,
            runner,
            self._known,
            spools,
            mirror,
            me,
            members,
            on_start,
            clock,
        )

    @property
    def _me(self) -> Member:
        return self._member()

    # --- calls ---------------------------------------------------------------

    def submit(self, lot: Lot) -> Accepted | LotRefused | LotUncertain:
        """Have a Lot kept and run; the same Lot again is accepted again."""
        if self.knows(lot.id):
            return Accepted()
        me = self._me
        owner = preferred_owner(lot, self._members(), me.failure_domain)
        if owner is not None and owner.name != me.name:
            address = owner.address
            if not self._owners.is_avoided(address) and self._owners.submit(address, lot):
                kept = KnownLot(len(lot.samples), [], lot, owner=address)
                self._known.add(lot.id, kept)
                return Accepted()
        return self._keep(lot)

    def submit_locally(self, lot: Lot) -> bool:
        """Keep a Lot that another entry has received; return whether it is kept."""
        if self._takeover.leaving:
            return False
        if self._runner.owned(lot.id):
            return True
        # The other machine's clock may differ.
        kept = self._keep(replace(lot, submitted_at=self._clock.time()))
        return kept == Accepted()

    def _keep(self, lot: Lot) -> Accepted | LotRefused | LotUncertain:
        """Keep a Lot and begin to run it."""
        # A process that leaves could not finish the Lot: another one takes it over.
        owner = NO_OWNER if self._takeover.leaving else self._me.incarnation
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
            return Accepted(again=True)
        if isinstance(outcome, InDoubt):
            return LotUncertain(outcome.reason)
        return LotRefused(outcome.reason)

    def read(
        self, lot_id: str, after: int, wait: float
    ) -> LotPage | LotUnknown | LotUnavailable:
        """Return the results from position `after` on; wait for one if asked to."""
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
        """Tell whether this process has heard of a Lot; nothing is asked."""
        return bool(self._runner.owned(lot_id) or self._known.lookup(lot_id))

    def ended(self, lot_id: str) -> bool:
        """Tell whether a Lot has ended, as the store says; else nobody is sure."""
        head = self._repository.head(lot_id)
        return isinstance(head, Head) and head.state is LotState.ENDED

    def read_locally(self, lot_id: str, after: int, wait: float) -> OwnedResults | None:
        """Return results of a Lot that is run here, or that has ended here.

        ``None`` where this process does not know of all that are kept.
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
        """Return results of a Lot that is run here; none are shown only if sure."""
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
        """End a Lot; what is listed stays listed.

        Its owner ends it, which may have results that the store lacks; one that is not
        reached is replaced first.
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
        """End a Lot that this process runs; return whether its end is kept."""
        progress = self._runner.owned(lot_id)
        if progress is None or progress.deferred or not self._store_shown_results(progress):
            return False
        progress = self._runner.stop_lot(lot_id, "ended by the trainer")
        if progress is None:
            return False
        kept = self._store_shown_results(progress)
        if kept:
            head = self._make_head(progress, self._me.incarnation, LotState.OPEN)
            kept = isinstance(self._repository.end(lot_id, head), Kept)
        event(logger, "lot_ended", lot=lot_id, kept=kept)
        self._known.remember(progress, final=kept)
        return kept

    def _is_deferred(self, lot_id: str) -> bool:
        progress = self._runner.owned(lot_id)
        return progress is not None and progress.deferred

    def _store_shown_results(self, progress: LotProgress) -> bool:
        """Have the store keep what only the spool has; return whether it has."""
        if progress.possibly_shown <= len(progress.kept):
            return True
        return isinstance(self._runner.result_writer.write_remaining(progress), Kept)

    def _end_for(self, lot_id: str, head: Head) -> bool:
        """End a Lot in its owner's place; return whether its end is kept."""
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
        """Take on no more Lots; new ones go to other entries at once."""
        self._takeover.leaving = True

    def hand_over(self, until: float) -> None:
        """Give up all owned Lots, so that other entries take them over at once.

        Parameters
        ----------
        until : float
            Monotonic time up to which a store that takes no part is asked again.
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
        """Write what is left of a stopped Lot; return whether the store took part."""
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
        """Have the store keep a Lot that only disks have; else their processes will."""
        lot = progress.lot
        outcome = self._repository.accept(lot, NO_OWNER, progress.spools)
        event(logger, "lot_handed_over", lot=lot.id, outcome=type(outcome).__name__)
        return isinstance(outcome, Kept | AlreadyKept)

    def _make_head(self, progress: LotProgress, owner: str, state: LotState) -> Head:
        """Return the head row of a Lot that this process owned."""
        lot = progress.lot
        parts = self._repository.part_count(lot)
        return Head(
            owner,
            state,
            len(lot.samples),
            parts,
            lot.submitted_at,
            progress.head_revision,
            progress.spools,
        )

    # --- taking over ---------------------------------------------------------

    def heads(self) -> dict[str, Head]:
        """Return the heads of the Lots that the mirror knows."""
        return self._known.heads()

    def recent_owners(self) -> list[str]:
        """Return the addresses of other owners, that of the newest Lot first."""
        return self._known.recent_owners()

    def owners_changed(self) -> None:
        """Look at once whether a Lot is to be taken over."""
        self._takeover.wake()

    def deferred_head_loop(self, stop: threading.Event) -> None:
        """Write the heads of Lots that disks have (a supervisor's task)."""
        self._head_writer.run(stop)

    def _stop_foreign_lot(self, lot_id: str) -> None:
        """Leave a Lot to its owner that was accepted here, too."""
        progress = self._runner.stop_lot(lot_id, "accepted elsewhere")
        if progress is not None:
            self._known.remember(progress, final=False)

    def takeover_loop(self, stop: threading.Event) -> None:
        """Take over Lots whose owner is gone (a supervisor's task)."""
        self._takeover.run(stop)

    def _load(self, lot_id: str) -> Lot | LotUnknown | LotUnavailable:
        progress = self._runner.owned(lot_id)
        return progress.lot if progress is not None else self._known.load(lot_id)
