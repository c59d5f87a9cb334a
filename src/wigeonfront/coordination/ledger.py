"""The attempt ledger: what a side took, from whom, and how it ended.

One object beside each target decides whether an attempt is run, joins a run of
the same key, gets an earlier outcome again, or is refused. It lives in memory
only; a side that restarts begins a new incarnation with an empty ledger.

Rules
-----
- Only the newest session of an entry's newest incarnation is heard. Under the
  ledger's lock a session is raised and the fates of the listed attempts are
  read, so an attempt found ``never_seen`` can't arrive later. An entry sends an
  attempt at most once in a session, and doesn't list an attempt whose result its
  cursor has passed.
- Every attempt taken ends in exactly one result, kept until acknowledged.
- A key runs at most once at a time. Attempts of the same key and the same
  request wait for that run, or get its kept outcome. An idempotent outcome from
  weights too old for the asker is dropped and the key run again.
- A non-idempotent attempt begins at most once, and its key is kept for the whole
  retention time. A full ledger refuses; it forgets nothing early except finished
  idempotent keys, which may be run again.

Examples
--------
>>> from wigeonfront.clock import ManualClock
>>> from wigeonfront.messages import Attempt, Dispatch, OpenSession
>>> from wigeonfront.outcomes import Completed
>>> ledger = AttemptLedger("side-1", ManualClock())
>>> ledger.open(OpenSession(entry="entry-1", entry_incarnation="i", session=1))
SessionOpened(fates=(), stop=())
>>> header = Dispatch(
...     entry="entry-1",
...     entry_incarnation="i",
...     session=1,
...     side_incarnation="side-1",
... )
>>> ledger.admit(header, Attempt(attempt="a1", request="r1")).attempt.attempt
'a1'
>>> ledger.start("a1")
True
>>> ledger.finish("a1", Completed("answer"))
()
>>> ledger.results("entry-1", "i", 1, after=0)[0].outcome.payload
'answer'
>>> ledger.acknowledge("entry-1", "i", 1)
>>> ledger.results("entry-1", "i", 1, after=1)
()
"""

import threading
from collections.abc import Callable
from dataclasses import dataclass

from wigeonfront.clock import Clock
from wigeonfront.coordination.keyed_work import (
    KEY_RETENTION,
    AttemptRecord,
    KeyedWork,
    SlotKeys,
    StillRunning,
    Work,
    WorkState,
    is_fresh,
    request_digest,
)
from wigeonfront.coordination.ownership import LostRecords
from wigeonfront.coordination.sessions import (
    Ended,
    FinishedAttempt,
    PeerSession,
    StaleSession,
)
from wigeonfront.messages import Attempt, Dispatch, Fate, OpenSession
from wigeonfront.outcomes import Expired, Failed, NotRun, Outcome, Unknown

ENTRY_RETENTION = 600.0
MAX_RECORDS = 20_000
FULL_RETRY_AFTER = 5.0


@dataclass(frozen=True, slots=True)
class SessionOpened:
    """The session is the newest one.

    Attributes
    ----------
    fates : tuple of Fate
        One for each attempt that the entry listed.
    stop : tuple of str
        Runs of the entry's earlier incarnation that nobody waits for any more.
    """

    fates: tuple[Fate, ...]
    stop: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class Admitted:
    """The attempt is to be run by `deadline` on the ledger's monotonic clock."""

    attempt: Attempt
    deadline: float


@dataclass(frozen=True, slots=True)
class Joined:
    """The attempt waits for a run of the same key."""

    run: str


@dataclass(frozen=True, slots=True)
class Replayed:
    """The key's kept outcome is already on its way to the entry."""


@dataclass(frozen=True, slots=True)
class Duplicate:
    """The very attempt was taken before; nothing is done again."""


@dataclass(frozen=True, slots=True)
class Refused:
    """The attempt was not taken and has certainly not run."""

    outcome: NotRun | Expired


Admission = Admitted | Joined | Replayed | Duplicate | Refused


@dataclass(frozen=True, slots=True)
class Dispatched:
    """What became of a dispatch.

    Attributes
    ----------
    admissions : tuple of Admission
        One for each attempt, in the dispatch's order.
    stop : tuple of str
        Runs that nobody waits for after the cancellations.
    """

    admissions: tuple[Admission, ...]
    stop: tuple[str, ...]


class AttemptLedger:
    """The attempts at one side; every method may be called from any thread.

    Parameters
    ----------
    incarnation : str
        This side's incarnation; dispatches that name another are stale.
    clock : Clock
        Deadlines and retention go by its monotonic reading.
    admission : callable, optional
        Asked before an attempt is run (not before it joins or is replayed);
        returns a `NotRun` to refuse. It runs under the ledger's lock.
    keys : KeyedWork, optional
        Keys and their ownership; one without ownership by default.
    max_records : int
        Most attempts and keys held at once.
    entry_retention : float
        Seconds after which an entry not heard of is forgotten.
    """

    def __init__(
        self,
        incarnation: str,
        clock: Clock,
        admission: Callable[[Attempt], NotRun | None] | None = None,
        keys: KeyedWork | None = None,
        max_records: int = MAX_RECORDS,
        entry_retention: float = ENTRY_RETENTION,
    ) -> None:
        self._incarnation = incarnation
        self._clock = clock
        self._admission = admission or (lambda attempt: None)
        self._keys = KeyedWork(KEY_RETENTION) if keys is None else keys
        self._max_records = max_records
        self._entry_retention = entry_retention
        self._lock = threading.RLock()
        self._peers: dict[str, PeerSession] = {}
        self._records: dict[str, AttemptRecord] = {}
        self._runs: dict[str, Work] = {}
        self._closed: NotRun | None = None

    # --- figures ---

    @property
    def queued(self) -> int:
        """Number of runs admitted and not begun."""
        return self._count(WorkState.QUEUED)

    @property
    def running(self) -> int:
        """Number of runs begun and not finished."""
        return self._count(WorkState.STARTED)

    @property
    def unacknowledged(self) -> int:
        """Number of results that entries have not acknowledged."""
        with self._lock:
            return sum(peer.unacknowledged for peer in self._peers.values())

    def __len__(self) -> int:
        """Return the number of attempts and keys held."""
        return len(self._records) + len(self._keys)

    def _count(self, state: WorkState) -> int:
        with self._lock:
            return sum(1 for work in self._runs.values() if work.state is state)

    # --- sessions ---

    def open(self, message: OpenSession) -> SessionOpened | StaleSession | Ended:
        """Open a session, ending the entry's earlier ones.

        Fates are only worth something while the side's incarnation is the one
        that the entry knew; after a restart all attempts are ``never_seen``.
        """
        with self._lock:
            peer = self._peers.get(message.entry)
            known = peer is not None and peer.incarnation == message.entry_incarnation
            if known and message.session <= peer.session:
                return StaleSession(peer.session)
            if not known and self._is_ended(peer, message):
                return Ended(replaced=peer is not None)
            stop: tuple[str, ...] = ()
            if peer is None:
                peer = self._new_peer(message)
            elif not known:
                stop = self._end_incarnation(peer)
                peer.restart(message.entry_incarnation)
            return self._opened(peer, message, stop)

    def _is_ended(self, peer: PeerSession | None, message: OpenSession) -> bool:
        """Tell whether an unknown incarnation had records here that are gone."""
        if message.side_incarnation == self._incarnation:
            return True
        return peer is not None and peer.has_ended(message.entry_incarnation)

    def _new_peer(self, message: OpenSession) -> PeerSession:
        peer = PeerSession(message.entry, message.entry_incarnation, self._lock)
        self._peers[message.entry] = peer
        return peer

    def _opened(
        self, peer: PeerSession, message: OpenSession, stop: tuple[str, ...]
    ) -> SessionOpened:
        peer.touched = self._clock.monotonic()
        peer.raise_session(message.session)
        if message.side_incarnation == self._incarnation:
            self._acknowledge(peer, message.cursor)
        fates = tuple(self._fate(peer, name) for name in message.outstanding)
        return SessionOpened(fates, stop)

    def _fate(self, peer: PeerSession, name: str) -> Fate:
        record = self._records.get(name)
        if record is None or record.peer is not peer:
            return Fate(attempt=name, state="never_seen")
        return Fate(attempt=name, state="running" if record.work else "done")

    def _end_incarnation(self, peer: PeerSession) -> tuple[str, ...]:
        """Drop the records of a peer; return the runs to stop."""
        stop = []
        for record in self._records_of(peer):
            del self._records[record.name]
            if record.work is not None:
                stop += self._detach(record, keep_keyed=True)
        return tuple(stop)

    def _records_of(self, peer: PeerSession) -> list[AttemptRecord]:
        return [record for record in self._records.values() if record.peer is peer]

    # --- dispatch ---

    def dispatch(self, message: Dispatch) -> Dispatched | StaleSession:
        """Take a dispatch whole under one session, or nothing of it."""
        with self._lock:
            peer = self._current_peer(message)
            if isinstance(peer, StaleSession):
                return peer
            self._acknowledge(peer, message.cursor)
            stop = []
            for name in message.cancel:
                stop += self._cancel(peer, name)
            admissions = tuple(self._admit(peer, one) for one in message.attempts)
            return Dispatched(admissions, tuple(stop))

    def admit(self, message: Dispatch, attempt: Attempt) -> Admission | StaleSession:
        """Decide about one attempt under the session that `message` names."""
        with self._lock:
            peer = self._current_peer(message)
            if isinstance(peer, StaleSession):
                return peer
            return self._admit(peer, attempt)

    def _current_peer(self, message: Dispatch) -> PeerSession | StaleSession:
        peer = self._peers.get(message.entry)
        if peer is None or message.side_incarnation != self._incarnation:
            return StaleSession(0)
        if not peer.is_current(message.entry_incarnation, message.session):
            return StaleSession(peer.session)
        peer.touched = self._clock.monotonic()
        return peer

    def _admit(self, peer: PeerSession, attempt: Attempt) -> Admission:
        known = self._records.get(attempt.attempt)
        if known is not None and known.peer is peer:
            return Duplicate()
        if known is not None or attempt.attempt in self._runs:
            return Refused(NotRun("attempt_identifier_taken"))
        if attempt.remaining <= 0:
            return Refused(Expired(started=False))
        if attempt.key:
            return self._admit_keyed(peer, attempt)
        return self._admit_new(peer, attempt, b"")

    def _admit_keyed(self, peer: PeerSession, attempt: Attempt) -> Admission:
        refusal = self._keys.refusal(attempt, self._clock.monotonic())
        if refusal is not None:
            return Refused(refusal)
        digest = request_digest(attempt)
        work = self._keys.get(attempt.key)
        if work is None:
            return self._admit_new(peer, attempt, digest)
        if work.digest != digest:
            return Refused(NotRun("key_used_for_another_request"))
        if work.state is not WorkState.DONE:
            return self._join(peer, attempt, work)
        if work.idempotent and not is_fresh(work.outcome, attempt.min_version):
            return self._admit_new(peer, attempt, digest)
        return self._replay(peer, attempt, work)

    def _admit_new(
        self, peer: PeerSession, attempt: Attempt, digest: bytes
    ) -> Admission:
        refusal = self._closed or self._room() or self._admission(attempt)
        if refusal is not None:
            return Refused(refusal)
        record = self._add_record(peer, attempt)
        work = self._new_work(record, digest)
        work.waiters.append(record)
        return Admitted(attempt, record.deadline)

    def _join(self, peer: PeerSession, attempt: Attempt, work: Work) -> Admission:
        refusal = self._room()
        if refusal is not None:
            return Refused(refusal)
        record = self._add_record(peer, attempt)
        record.work = work
        work.waiters.append(record)
        work.deadline = max(work.deadline, record.deadline)
        return Joined(work.run)

    def _replay(self, peer: PeerSession, attempt: Attempt, work: Work) -> Admission:
        outcome = work.outcome
        refusal = self._room()
        if refusal is not None:
            return Refused(refusal)
        record = self._add_record(peer, attempt)
        self._conclude(record, _for_waiter(record, outcome))
        return Replayed()

    def _room(self) -> NotRun | None:
        if len(self) < self._max_records or self._keys.make_room():
            return None
        return NotRun("ledger_full", FULL_RETRY_AFTER)

    def _add_record(self, peer: PeerSession, attempt: Attempt) -> AttemptRecord:
        deadline = self._clock.monotonic() + attempt.remaining
        record = AttemptRecord(attempt.attempt, peer, deadline, attempt)
        self._records[attempt.attempt] = record
        return record

    def _new_work(self, record: AttemptRecord, digest: bytes) -> Work:
        attempt = record.attempt
        work = Work(
            run=attempt.attempt,
            key=attempt.key,
            idempotent=attempt.idempotent,
            digest=digest,
            deadline=record.deadline,
        )
        record.work = work
        self._runs[work.run] = work
        if work.key:
            self._keys.add(work)
        return work

    def stop_admission(self, reason: str, retry_after: float = 1.0) -> None:
        """Refuse new runs from now on; joins and replays go on."""
        with self._lock:
            self._closed = NotRun(reason, retry_after)

    # --- runs ---

    def start(self, run: str) -> bool:
        """Mark a run as begun.

        Returns
        -------
        bool
            ``False``: it was cancelled, has expired or was begun before, and must
            not be handed to the target.
        """
        with self._lock:
            work = self._runs.get(run)
            if work is None or work.state is not WorkState.QUEUED:
                return False
            work.state = WorkState.STARTED
            return True

    def finish(self, run: str, outcome: Outcome) -> tuple[Admitted, ...]:
        """End a run and hand its outcome to all that wait for it.

        Returns
        -------
        tuple of Admitted
            Runs to be made now, for waiters that this outcome doesn't serve: it
            came from weights too old for them, or ran into another's deadline.
        """
        with self._lock:
            work = self._runs.pop(run, None)
            if work is None:
                return ()
            work.state = WorkState.DONE
            unserved = []
            for record in work.waiters:
                if self._is_served(record, work, outcome):
                    self._conclude(record, _for_waiter(record, outcome))
                else:
                    unserved.append(record)
            work.waiters.clear()
            if work.key:
                self._keys.retain(work, outcome, self._clock.monotonic())
            return self._run_again(work, unserved)

    def _is_served(self, record: AttemptRecord, work: Work, outcome: Outcome) -> bool:
        if record.name == work.run:
            return True
        if isinstance(outcome, Expired):
            may_begin = work.idempotent or not outcome.started
            return not may_begin or record.deadline <= self._clock.monotonic()
        return not work.idempotent or is_fresh(outcome, record.attempt.min_version)

    def _run_again(
        self, work: Work, unserved: list[AttemptRecord]
    ) -> tuple[Admitted, ...]:
        if not unserved:
            return ()
        leader = unserved[0]
        again = self._new_work(leader, work.digest)
        again.deadline = max(record.deadline for record in unserved)
        again.waiters = unserved
        for record in unserved:
            record.work = again
        return (Admitted(leader.attempt, leader.deadline),)

    def _conclude(self, record: AttemptRecord, outcome: Outcome) -> None:
        record.work = None
        record.attempt = None
        record.peer.keep(record.name, outcome)

    # --- cancellation and time ---

    def cancel(
        self, entry: str, entry_incarnation: str, attempt: str
    ) -> tuple[str, ...]:
        """Withdraw an attempt; return the run to stop, if nobody else waits.

        A non-idempotent run that has begun goes on and gives its result.
        """
        with self._lock:
            peer = self._peers.get(entry)
            if peer is None or peer.incarnation != entry_incarnation:
                return ()
            return tuple(self._cancel(peer, attempt))

    def _cancel(self, peer: PeerSession, name: str) -> list[str]:
        record = self._records.get(name)
        if record is None or record.peer is not peer or record.work is None:
            return []
        if record.work.state is WorkState.QUEUED:
            return self._withdraw(record, NotRun("cancelled"))
        if not record.work.idempotent:
            return []
        return self._withdraw(record, Unknown("cancelled"))

    def _withdraw(self, record: AttemptRecord, outcome: Outcome) -> list[str]:
        stop = self._detach(record, keep_keyed=False)
        self._conclude(record, outcome)
        return stop

    def _detach(self, record: AttemptRecord, keep_keyed: bool) -> list[str]:
        """Let a record no longer wait; return its run if that is to be stopped."""
        work = record.work
        work.waiters.remove(record)
        if work.waiters or (keep_keyed and work.key):
            return []
        return self._abandon(work)

    def _abandon(self, work: Work) -> list[str]:
        """Stop a run that nobody waits for, where that is allowed."""
        if work.state is WorkState.QUEUED:
            del self._runs[work.run]
        elif not work.idempotent or work.stopping:
            return []
        work.stopping = True
        if work.key:
            self._keys.discard(work)
        return [work.run]

    def expire(self) -> tuple[str, ...]:
        """Apply deadlines and retention; call it about once a second.

        Returns
        -------
        tuple of str
            Runs to stop. A non-idempotent run that has begun is never among them.
        """
        with self._lock:
            now = self._clock.monotonic()
            stop = []
            for work in list(self._runs.values()):
                stop += self._expire_run(work, now)
            self._keys.expire(now)
            for peer in list(self._peers.values()):
                stop += self._expire_peer(peer, now)
            return tuple(stop)

    def _expire_run(self, work: Work, now: float) -> list[str]:
        stop: list[str] = []
        if work.state is WorkState.QUEUED or work.idempotent:
            started = work.state is WorkState.STARTED
            for record in [one for one in work.waiters if one.deadline <= now]:
                stop += self._withdraw(record, Expired(started))
            if not work.waiters and not work.stopping and work.deadline <= now:
                stop += self._abandon(work)
        return stop

    def _expire_peer(self, peer: PeerSession, now: float) -> tuple[str, ...]:
        if now - peer.touched < self._entry_retention:
            return ()
        del self._peers[peer.entry]
        stop = self._end_incarnation(peer)
        peer.restart("")
        return stop

    # --- results ---

    def results(
        self, entry: str, entry_incarnation: str, session: int, after: int
    ) -> tuple[FinishedAttempt, ...] | StaleSession:
        """Return the results kept for a session's stream above a cursor."""
        with self._lock:
            peer = self._peers.get(entry)
            if peer is None:
                return StaleSession(0)
            if not peer.is_current(entry_incarnation, session):
                return StaleSession(peer.session)
            peer.touched = self._clock.monotonic()
            return peer.after(after)

    def wait(
        self,
        entry: str,
        entry_incarnation: str,
        session: int,
        after: int,
        timeout: float,
    ) -> tuple[FinishedAttempt, ...] | StaleSession:
        """Return results as `results` does, waiting for the first of them.

        `timeout` is in seconds of real time, whatever the clock passed in.
        """
        with self._lock:
            found = self.results(entry, entry_incarnation, session, after)
            if found == ():
                self._peers[entry].changed.wait(timeout)
                found = self.results(entry, entry_incarnation, session, after)
            return found

    def acknowledge(self, entry: str, entry_incarnation: str, cursor: int) -> None:
        """Forget the results up to `cursor`, which the entry has read."""
        with self._lock:
            peer = self._peers.get(entry)
            if peer is not None and peer.incarnation == entry_incarnation:
                self._acknowledge(peer, cursor)

    def _acknowledge(self, peer: PeerSession, cursor: int) -> None:
        for name in peer.acknowledge(cursor):
            del self._records[name]

    # --- slots ---

    def own(self, slot: int, epoch: int, lost: LostRecords | None = None) -> None:
        """Take keyed work of `slot` from now on; see `KeyedWork.own`."""
        with self._lock:
            self._keys.own(slot, epoch, self._clock.monotonic(), lost)

    def seal(self, slot: int) -> None:
        """Take no more keyed work of `slot`."""
        with self._lock:
            self._keys.disown(slot)

    def export(self, slot: int) -> SlotKeys | StillRunning:
        """Return the keys of a sealed slot for its next owner."""
        with self._lock:
            return self._keys.export(slot, self._clock.monotonic())

    def adopt(self, slot: int, epoch: int, handed: SlotKeys) -> None:
        """Take over the keys of a slot and own it."""
        with self._lock:
            self._keys.adopt(slot, epoch, handed, self._clock.monotonic())


def _for_waiter(record: AttemptRecord, outcome: Outcome) -> Outcome:
    """Return `outcome`, unless its weights are too old for this attempt."""
    if is_fresh(outcome, record.attempt.min_version):
        return outcome
    return Failed("stale_weights", 409)
