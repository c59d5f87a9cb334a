"""Work as a side runs it, and the outcomes it keeps under idempotency keys."""

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum
from hashlib import blake2b

import msgspec

from wigeonfront.coordination.ownership import LostRecords, SlotOwnership
from wigeonfront.coordination.sessions import PeerSession
from wigeonfront.messages import Attempt, OutcomeFrame, from_wire, to_wire
from wigeonfront.outcomes import Completed, Expired, NotRun, Outcome

KEY_RETENTION = 900.0
LONGEST_RUN = 300.0
NOT_OWNER_RETRY_AFTER = 0.5
EARLIER_MAY_HAVE_RUN = "an earlier submission of this key may have run"


class WorkState(Enum):
    """How far a run has come; a queued one has certainly not begun."""

    QUEUED = "queued"
    STARTED = "started"
    DONE = "done"


@dataclass(slots=True, eq=False)
class AttemptRecord:
    """One attempt that a side took, until its result is acknowledged.

    `attempt` and `work` are ``None`` once the result is kept for the entry.
    """

    name: str
    peer: PeerSession
    deadline: float
    attempt: Attempt | None
    work: "Work | None" = None


@dataclass(slots=True, eq=False)
class Work:
    """One run at the target, with every attempt that waits for its outcome."""

    run: str
    key: str
    idempotent: bool
    digest: bytes
    deadline: float
    state: WorkState = WorkState.QUEUED
    stopping: bool = False
    waiters: list[AttemptRecord] = field(default_factory=list)
    outcome: Outcome | None = None
    expires: float = 0.0


@dataclass(frozen=True, slots=True)
class KeyedOutcome:
    """A finished key as handed over to a slot's next owner.

    Attributes
    ----------
    key : str
    digest : bytes
        Of the request, so that the key can't be used for another one.
    remaining : float
        Seconds for which it is still kept.
    outcome : OutcomeFrame
    """

    key: str
    digest: bytes
    remaining: float
    outcome: OutcomeFrame


@dataclass(frozen=True, slots=True)
class StillRunning:
    """The slot can't be handed over: so many of its keys are running."""

    count: int


@dataclass(frozen=True, slots=True)
class SlotKeys:
    """What an owner hands over of one slot."""

    keys: tuple[KeyedOutcome, ...]
    lost: LostRecords | None = None


def request_digest(attempt: Attempt) -> bytes:
    """Return a digest of what `attempt` asks for, whoever asks and when."""
    asked = (attempt.payload, attempt.max_tokens, attempt.idempotent)
    return blake2b(msgspec.json.encode(asked, order="sorted"), digest_size=16).digest()


def is_fresh(outcome: Outcome, min_version: int) -> bool:
    """Tell whether no weight version under `min_version` took part."""
    if not isinstance(outcome, Completed):
        return True
    return all(span.version >= min_version for span in outcome.versions)


def certainly_not_run(outcome: Outcome) -> bool:
    """Tell whether `outcome` says that the target never began."""
    if isinstance(outcome, Expired):
        return not outcome.started
    return isinstance(outcome, NotRun)


class KeyedWork:
    """The keys that a side knows: running ones and finished ones within retention.

    Finished idempotent work may be run again, so it is dropped to make room;
    finished non-idempotent work is kept for its whole retention.

    Parameters
    ----------
    retention : float
        Seconds for which a finished key is kept.
    slot_of : callable, optional
        Slot of a key. Without it no ownership is checked.
    minted_epoch : callable, optional
        Slot epoch that a key minted by the system carries, or ``None``.
    longest_run : float
        Non-idempotent keys with a longer timeout, in seconds, are refused by an
        owner of slots, as a run at a lost owner must be over before its key is
        taken for a new one.
    """

    def __init__(
        self,
        retention: float,
        slot_of: Callable[[str], int] | None = None,
        minted_epoch: Callable[[str], int | None] | None = None,
        longest_run: float = LONGEST_RUN,
    ) -> None:
        self._retention = retention
        self._longest_run = longest_run
        self._minted_epoch = minted_epoch or (lambda key: None)
        self._works: dict[str, Work] = {}
        self._owned = SlotOwnership(slot_of)
        self._finished: dict[bool, deque[Work]] = {True: deque(), False: deque()}

    def __len__(self) -> int:
        """Return the number of keys, running and finished."""
        return len(self._works)

    def get(self, key: str) -> Work | None:
        """Return the work known under `key`."""
        return self._works.get(key)

    def add(self, work: Work) -> None:
        """Make `work` the one known under its key, and drop an earlier outcome."""
        earlier = self._works.get(work.key)
        if earlier is not None:
            earlier.outcome = None
        self._works[work.key] = work

    def discard(self, work: Work) -> None:
        """Forget `work`, if it still is the one under its key."""
        if self._works.get(work.key) is work:
            del self._works[work.key]
            work.outcome = None

    def retain(self, work: Work, outcome: Outcome, now: float) -> bool:
        """Keep the outcome of finished work, if later calls are to get it.

        A non-idempotent key is kept unless it certainly did not run; an
        idempotent one only where it completed, as a failure may be tried again.
        """
        if self._works.get(work.key) is not work or not _is_kept(work, outcome):
            self.discard(work)
            return False
        work.outcome = outcome
        work.expires = now + self._retention
        self._finished[work.idempotent].append(work)
        return True

    def expire(self, now: float) -> int:
        """Forget finished keys past their retention; return how many."""
        expired = 0
        for queue in self._finished.values():
            while queue and queue[0].expires <= now:
                expired += self._forget(queue.popleft())
        return expired

    def make_room(self) -> bool:
        """Drop the oldest finished idempotent key; return whether there was one."""
        queue = self._finished[True]
        while queue:
            if self._forget(queue.popleft()):
                return True
        return False

    def _forget(self, work: Work) -> bool:
        known = self._works.get(work.key) is work
        self.discard(work)
        return known

    # --- slot ownership ---

    def own(
        self, slot: int, epoch: int, now: float, lost: LostRecords | None = None
    ) -> None:
        """Take up `slot` at `epoch`.

        While records are `lost`, keys that may be among them are refused.
        """
        self._owned.own(slot, epoch, now, lost)

    def disown(self, slot: int) -> None:
        """Take no more work for keys of `slot`."""
        self._owned.disown(slot)

    def refusal(self, attempt: Attempt, now: float) -> NotRun | None:
        """Return why the owner of slots may not look at `attempt`, if so."""
        unowned_is_fine = attempt.idempotent and attempt.epoch == 0
        if unowned_is_fine or not self._owned.enforced:
            return None
        minted = self._minted_epoch(attempt.key)
        # A key minted under a newer table than this owner knows is not for it.
        from_newer_table = minted is not None and minted > attempt.epoch
        if from_newer_table or not self._owned.is_owner(attempt.key, attempt.epoch):
            return NotRun("not_owner", NOT_OWNER_RETRY_AFTER, EARLIER_MAY_HAVE_RUN)
        if attempt.remaining > self._longest_run:
            return NotRun("timeout_too_long", 0.0)
        lost = self._owned.lost(attempt.key, now)
        if lost is None or self._is_known_or_newer(attempt, lost):
            return None
        return NotRun(
            "key_records_lost", lost.remaining, EARLIER_MAY_HAVE_RUN, attempt.epoch
        )

    def _is_known_or_newer(self, attempt: Attempt, lost: LostRecords) -> bool:
        """Tell whether the key is on record, or was first sent after the loss."""
        minted = self._minted_epoch(attempt.key) or 0
        newer = max(minted, attempt.unsent_at) >= lost.before
        return attempt.key in self._works or newer

    def export(self, slot: int, now: float) -> SlotKeys | StillRunning:
        """Return the finished non-idempotent keys of a slot no longer owned."""
        assert not self._owned.owns(slot), "seal the slot before its export"
        works = [work for work in self._works.values() if self._in_slot(work, slot)]
        running = sum(1 for work in works if work.state is not WorkState.DONE)
        if running:
            return StillRunning(running)
        keys = tuple(_exported(work, now) for work in works)
        return SlotKeys(keys, self._owned.lost_in(slot, now))

    def adopt(self, slot: int, epoch: int, handed: SlotKeys, now: float) -> None:
        """Take over the keys of a slot and own it."""
        for record in handed.keys:
            work = _adopted(record, now)
            self._works[record.key] = work
            self._insert(work)
        self._owned.own(slot, epoch, now, handed.lost)

    def _in_slot(self, work: Work, slot: int) -> bool:
        return not work.idempotent and self._owned.contains(slot, work.key)

    def _insert(self, work: Work) -> None:
        """Add to the finished queue, which is in order of expiry."""
        queue = self._finished[work.idempotent]
        later = []
        while queue and queue[-1].expires > work.expires:
            later.append(queue.pop())
        queue.append(work)
        queue.extend(reversed(later))


def _is_kept(work: Work, outcome: Outcome) -> bool:
    if work.idempotent:
        return isinstance(outcome, Completed)
    return not certainly_not_run(outcome)


def _exported(work: Work, now: float) -> KeyedOutcome:
    remaining = max(0.0, work.expires - now)
    return KeyedOutcome(work.key, work.digest, remaining, to_wire(work.outcome))


def _adopted(record: KeyedOutcome, now: float) -> Work:
    return Work(
        run="",
        key=record.key,
        idempotent=False,
        digest=record.digest,
        deadline=0.0,
        state=WorkState.DONE,
        outcome=from_wire(record.outcome),
        expires=now + record.remaining,
    )
