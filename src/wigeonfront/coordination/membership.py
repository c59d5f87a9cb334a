"""The processes that live, by rows under leases in the platform's store."""

import logging
import math
import secrets
import threading
from collections.abc import Callable
from dataclasses import dataclass, replace

import msgspec

from wigeonfront.clock import Clock
from wigeonfront.coordination.rows import Lease, LeaseLost, Put, Row, RowStore, Stored
from wigeonfront.observability.logs import event

logger = logging.getLogger(__name__)

ENTRY_PREFIX = "live/entry/"
SIDE_PREFIX = "live/side/"
STORAGE_PREFIX = "live/storage/"
DISK_PREFIX = "live/disk/"
"""Of rows without a lease: the processes with a disk that have ever registered."""

RENEWALS_PER_LEASE = 3
"""Renewals in a lease's term, so that two may be lost."""

RETRY_SECONDS = 0.25
"""Pause after a first call that failed; it doubles, up to the pause of a renewal, so
that the calls of an outage do not grow with it."""

MAX_DOUBLINGS = 10

IDLE_TERM_SECONDS = 20.0
"""Term of the lease of a process whose work nobody would have to take over: all that a
lost one costs is that others try to reach it."""

IDLE_AFTER_SECONDS = 15.0
"""How long a process must have had nothing to take over before its lease gets longer:
trainers submit a Lot each few seconds."""

LOOK_SECONDS = 0.25
"""Pause between two looks whether the process stops, or has got something to do."""

MAX_ABSENCE_SECONDS = IDLE_TERM_SECONDS / RENEWALS_PER_LEASE + 1.0
"""Time from the store's return in which every process that lives has registered again:
the longest pause between two tries, and a call."""


@dataclass(frozen=True, slots=True)
class Member:
    """A process that has registered.

    Attributes
    ----------
    name : str
        Machine.
    incarnation : str
        Of the process; another after each start. Of a process with a disk, the disk's
        id; another once the disk was lost.
    address : str
        ``host:port`` for calls of the system's other processes; of a side, that of the
        engine beside it.
    leaving : bool
        It finishes what it has and takes on nothing new.
    failure_domain : str
    cores : float
        Processor time that its machine gives, in cores.
    """

    name: str
    incarnation: str
    address: str
    leaving: bool = False
    failure_domain: str = ""
    cores: float = 1.0


@dataclass(frozen=True, slots=True)
class Presence:
    """Since when and until when a process is surely registered, for all others.

    Attributes
    ----------
    since_revision : int
        Revision of the store at which its row was written, after it may have been
        missing.
    until : float
        Time up to which its lease can't have lapsed, on the clock that counts
        suspensions.
    """

    since_revision: int = 0
    until: float = -math.inf


class _MemberRow(msgspec.Struct):
    incarnation: str
    address: str
    leaving: bool = False
    failure_domain: str = ""
    cores: float = 1.0


def decode_member(row: Row, prefix: str = ENTRY_PREFIX) -> Member | None:
    """Return the member that a row registers, or ``None`` where it is malformed."""
    try:
        wire = msgspec.json.decode(row.value, type=_MemberRow)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError):
        return None
    name = row.key.removeprefix(prefix)
    return Member(
        name,
        wire.incarnation,
        wire.address,
        wire.leaving,
        wire.failure_domain,
        wire.cores,
    )


def renewal_pause(term: float, failures: int) -> float:
    """Return the seconds until a lease is renewed, or is tried to be.

    Parameters
    ----------
    term : float
        Of the lease, in seconds.
    failures : int
        Calls in a row that have failed.
    """
    pause = term / RENEWALS_PER_LEASE
    if not failures:
        return pause
    return min(pause, RETRY_SECONDS * 2 ** min(failures - 1, MAX_DOUBLINGS))


class Registration:
    """Keeps this process registered under a lease.

    Parameters
    ----------
    store : RowStore
    name, address : str
    term : float
        Of the lease while the process is busy, in seconds.
    clock : Clock
    on_registered : callable
        Called after each registration.
    prefix : str
        Of the rows of its kind of process.
    failure_domain : str
    cores : float
        Of its machine.
    busy : callable
        Tells whether others would have to take over its work if it were lost.
    incarnation : str
        One of its own in place of another after each start.
    lasting_prefix : str
        Of a second row that outlives the lease; without it there is none.

    Examples
    --------
    >>> from platform_standins.rows import MemoryRows
    >>> from wigeonfront.clock import SystemClock
    >>> rows, stop = MemoryRows(), threading.Event()
    >>> registration = Registration(rows, "n1", "10.0.0.1:1", 2.0, SystemClock())
    >>> task = threading.Thread(target=registration.run, args=(stop,))
    >>> task.start()
    >>> while not registration.registered:
    ...     _ = stop.wait(0.01)
    >>> decode_member(rows.get("live/entry/n1")).address
    '10.0.0.1:1'
    >>> stop.set()
    >>> task.join()
    """

    def __init__(
        self,
        store: RowStore,
        name: str,
        address: str,
        term: float,
        clock: Clock,
        on_registered: Callable[[], None] = lambda: None,
        prefix: str = ENTRY_PREFIX,
        failure_domain: str = "",
        cores: float = 1.0,
        busy: Callable[[], bool] = lambda: True,
        incarnation: str = "",
        lasting_prefix: str = "",
    ) -> None:
        self._busy = busy
        self._busy_at = clock.monotonic() - IDLE_AFTER_SECONDS
        self._on_registered = on_registered
        self._prefix = prefix
        self._lasting_prefix = lasting_prefix
        self._store = store
        self._clock = clock
        self._busy_term = term
        # Of the present lease.
        self._term = term
        self._lease = 0
        self._revision = 0
        self._presence = Presence()
        self.member = Member(
            name,
            incarnation or f"{name}.{secrets.token_hex(4)}",
            address,
            failure_domain=failure_domain,
            cores=cores,
        )

    @property
    def registered(self) -> bool:
        """Whether the registration was written and not yet seen lost."""
        return self._lease != 0

    @property
    def revision(self) -> int:
        """Revision of the store at which the row was last written here."""
        return self._revision

    @property
    def presence(self) -> Presence:
        """Since when and until when the others surely see it."""
        return self._presence

    def run(self, stop: threading.Event) -> None:
        """Register and renew (a supervisor's task)."""
        failures = 0
        while not stop.is_set():
            fits = self._lease and self._term == self._wanted_term()
            held = self._renew() if fits else self._register()
            failures = 0 if held else failures + 1
            # What it gets to do while it is not registered would be taken over.
            term = self._term if self._lease else self._busy_term
            self._wait(stop, renewal_pause(term, failures))
        if self._lease:
            self._store.revoke_lease(self._lease)

    def leave(self) -> None:
        """Tell the others that this process takes on nothing new."""
        self.member = replace(self.member, leaving=True)
        if self._lease:
            self._write(self._lease)

    def restore(self) -> None:
        """Register anew, after the row was seen to be missing."""
        self._lease = 0
        self._presence = Presence()

    def _wanted_term(self) -> float:
        now = self._clock.monotonic()
        if self._busy():
            self._busy_at = now
        if now - self._busy_at < IDLE_AFTER_SECONDS:
            return self._busy_term
        return max(IDLE_TERM_SECONDS, self._busy_term)

    def _wait(self, stop: threading.Event, pause: float) -> None:
        """Wait until the lease is to be renewed, or needs another term."""
        until = self._clock.monotonic() + pause
        while not stop.wait(min(pause, LOOK_SECONDS)):
            wants_other = self._lease and self._term != self._wanted_term()
            if self._clock.monotonic() >= until or wants_other:
                return

    def _register(self) -> bool:
        """Write the row under a new lease; one that it had before runs out."""
        term = self._wanted_term()
        asked_at = self._clock.boottime()
        lease = self._store.grant_lease(term)
        if not isinstance(lease, Lease):
            return False
        if not self._write(lease.lease):
            return False
        self._lease = lease.lease
        self._term = term
        self._presence = self._present_until(asked_at + lease.ttl)
        event(
            logger,
            "registered",
            incarnation=self.member.incarnation,
            lease=lease.lease,
            term=term,
        )
        self._on_registered()
        return True

    def _present_until(self, until: float) -> Presence:
        """Return the presence after the row was written under a new lease."""
        still_registered = self._clock.boottime() < self._presence.until
        since = self._presence.since_revision if still_registered else self._revision
        return Presence(since, until)

    def _write(self, lease: int) -> bool:
        member = self.member
        row = _MemberRow(
            member.incarnation,
            member.address,
            member.leaving,
            member.failure_domain,
            member.cores,
        )
        value = msgspec.json.encode(row)
        puts = [Put(self._prefix + member.name, value, lease)]
        if self._lasting_prefix:
            puts.append(Put(self._lasting_prefix + member.name, value))
        outcome = self._store.write((), tuple(puts))
        if not isinstance(outcome, Stored):
            event(logger, "register_failed", outcome=type(outcome).__name__)
            return False
        self._revision = outcome.revision
        return True

    def _renew(self) -> bool:
        presence, asked_at = self._presence, self._clock.boottime()
        outcome = self._store.renew_lease(self._lease)
        if isinstance(outcome, Lease):
            # The row may have been missed meanwhile.
            if self._presence is presence:
                self._presence = replace(presence, until=asked_at + outcome.ttl)
            return True
        event(logger, "renewal_failed", outcome=type(outcome).__name__)
        if isinstance(outcome, LeaseLost):
            self._lease = 0
            self._presence = Presence()
        return False
