"""Accepts a Lot: in the store, or on disks while the store is unavailable.

The disks serve outages of some seconds in which a trainer's next step begins. The
samples run during the outage, and their results can be shown once the store is
available again.
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
"""Time to wait for the store before a Lot is written to disks: many times the duration
of a write, and as long as a trainer may wait for its 202."""


@dataclass(frozen=True, slots=True)
class Deferred:
    """The disks have the Lot; its head row is written once the store answers."""


Acceptance = Kept | AlreadyKept | Deferred | NotKept | InDoubt


class LotAcceptance:
    """Accepts Lots in the store or on disks.

    Parameters
    ----------
    repository : LotRepository
    submissions : SubmissionStore
    """

    def __init__(self, repository: LotRepository, submissions: SubmissionStore) -> None:
        self._repository = repository
        self._submissions = submissions

    def accept(self, lot: Lot, owner: str, spools: Sequence[SpoolMember]) -> Acceptance:
        """Write a Lot to where it outlives this process.

        Parameters
        ----------
        lot : Lot
        owner : str
            Incarnation that should own the Lot.
        spools : sequence of SpoolMember
            Disks of the Lot. If there are none, the Lot can only be accepted in the
            store.
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
    """A write of a Lot to the store in a separate thread."""

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
        """Return the outcome of the write; ``None`` if it takes more than `seconds`."""
        return self._outcome if self._done.wait(seconds) else None
