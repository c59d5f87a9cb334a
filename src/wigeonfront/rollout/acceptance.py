"""Accepts a Lot: in the store, or on disks while the store is away.

The load that this answers: an outage of some seconds, in which a trainer's next step
begins. Its samples run meanwhile, and its results can be shown as the store returns.
"""

import threading
from collections.abc import Sequence
from dataclasses import dataclass

from wigeonfront.rollout.lot import Lot
from wigeonfront.rollout.repository import (
    AlreadyKept,
    InDoubt,
    Kept,
    LotRepository,
    NotKept,
)
from wigeonfront.rollout.submissions import Stored, SubmissionStore
from wigeonfront.spool import SpoolMember

DEFER_AFTER_SECONDS = 0.4
"""Time for which the store is waited for before a Lot goes to disks: many times what a
write takes, and as long as a trainer may wait for its 202."""


@dataclass(frozen=True, slots=True)
class Deferred:
    """The disks have the Lot; its head row is to be written once the store answers."""


Acceptance = Kept | AlreadyKept | Deferred | NotKept | InDoubt


class LotAcceptance:
    """Accepts Lots.

    Parameters
    ----------
    repository : LotRepository
    submissions : SubmissionStore
    """

    def __init__(self, repository: LotRepository, submissions: SubmissionStore) -> None:
        self._repository = repository
        self._submissions = submissions

    def accept(self, lot: Lot, owner: str, spools: Sequence[SpoolMember]) -> Acceptance:
        """Have a Lot kept where it outlives this process.

        Parameters
        ----------
        owner : str
            Incarnation that is to own it.
        spools : sequence of SpoolMember
            Its disks; without any only the store can keep it.
        """
        if not spools:
            return self._repository.accept(lot, owner)
        write = _Write(self._repository, lot, owner, spools)
        outcome = write.wait(DEFER_AFTER_SECONDS)
        if isinstance(outcome, Kept | AlreadyKept):
            return outcome
        stored = self._submissions.put(lot, spools)
        if stored is Stored.ALL:
            return Deferred()
        outcome = write.wait()
        if isinstance(outcome, NotKept) and stored is Stored.IN_DOUBT:
            return InDoubt("disks")
        return outcome


class _Write:
    """A write to the store, in a thread of its own."""

    def __init__(
        self,
        repository: LotRepository,
        lot: Lot,
        owner: str,
        spools: Sequence[SpoolMember],
    ) -> None:
        self._outcome: Kept | AlreadyKept | NotKept | InDoubt = InDoubt("crashed")
        self._done = threading.Event()
        arguments = (repository, lot, owner, tuple(spools))
        threading.Thread(
            target=self._run, args=arguments, name="lot-accept", daemon=True
        ).start()

    def _run(
        self,
        repository: LotRepository,
        lot: Lot,
        owner: str,
        spools: tuple[SpoolMember, ...],
    ) -> None:
        try:
            self._outcome = repository.accept(lot, owner, spools)
        finally:
            self._done.set()

    def wait(
        self, seconds: float | None = None
    ) -> Kept | AlreadyKept | NotKept | InDoubt | None:
        """Return how the write ended; ``None`` if it has not within `seconds`."""
        return self._outcome if self._done.wait(seconds) else None
