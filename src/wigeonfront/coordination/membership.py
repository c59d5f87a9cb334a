"""The live processes of a deployment, registered by rows under leases in the store."""

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
"""Prefix of rows without a lease, one for each process with a disk that has ever
registered."""

RENEWALS_PER_LEASE = 3
"""Number of renewals in the term of a lease, so that two of them may be lost."""

RETRY_SECONDS = 0.25
"""Pause after the first failed call. It doubles with each further failure up to the
pause between two renewals, so that a long outage does not cause many calls."""

MAX_DOUBLINGS = 10
"""Largest exponent of the doubling; after thousands of failures the power of two would
overflow a float."""

IDLE_TERM_SECONDS = 20.0
"""Term of the lease of a process without work that others would have to take over. The
loss of such a process only costs the others some failed attempts to reach it."""

IDLE_AFTER_SECONDS = 15.0
"""Time for which a process must have had no such work before its lease gets the longer
term; trainers submit a Lot every few seconds."""

POLL_SECONDS = 0.25
"""Pause between two checks whether the process stops or has got work to do."""

MAX_ABSENCE_SECONDS = IDLE_TERM_SECONDS / RENEWALS_PER_LEASE + 1.0
"""Time after an outage of the store in which each live process has registered again:
the longest pause between two attempts, and the duration of a call."""


@dataclass(frozen=True, slots=True)
class Member:
    """A registered process.

    Attributes
    ----------
    name : str
        Name of its machine.
    incarnation : str
        Id of the process that changes with each start. For a process with a disk, the
        id of the disk, which changes only when the disk is lost.
    address : str
        ``host:port`` for calls from other processes of the system; for a side, the
        address of the engine on its machine.
    leaving : bool
        Whether it completes its present work and accepts no new work.
    failure_domain : str
    cores : float
        Processor time of its machine, in cores.
    refusing : bool
        Whether its disk accepts no data at present.
    """

    name: str
    incarnation: str
    address: str
    leaving: bool = False
    failure_domain: str = ""
    cores: float = 1.0
    refusing: bool = False


@dataclass(frozen=True, slots=True)
class Presence:
    """The interval in which a process is certainly registered.

    Attributes
    ----------
    since_revision : int
        Revision of the store at which its row was written after the last time at which
        the row may have been missing.
    until : float
        Time before which its lease can't lapse, in seconds on the clock that also
        counts suspensions of the VM.
    """

    since_revision: int = 0
    until: float = -math.inf


class _MemberRow(msgspec.Struct):
    incarnation: str
    address: str
    leaving: bool = False
    failure_domain: str = ""
    cores: float = 1.0
    refusing: bool = False


def decode_member(row: Row, prefix: str = ENTRY_PREFIX) -> Member | None:
    """Return the member that a row registers, or ``None`` where it is malformed."""
    try:
        decoded = msgspec.json.decode(row.value, type=_MemberRow)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError):
        return None
    name = row.key.removeprefix(prefix)
    return Member(
        name,
        decoded.incarnation,
        decoded.address,
        decoded.leaving,
        decoded.failure_domain,
        decoded.cores,
        decoded.refusing,
    )


def renewal_pause(term: float, failures: int) -> float:
    """Return the pause in seconds until the next attempt to renew a lease.

    Parameters
    ----------
    term : float
        Term of the lease, in seconds.
    failures : int
        Number of consecutive calls that have failed.
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
        Name of the machine, and the address that others call.
    term : float
        Term of the lease while the process is busy, in seconds.
    clock : Clock
    on_registered : callable
        Called after each registration.
    prefix : str
        Prefix of the rows of this kind of process.
    failure_domain : str
    cores : float
        Processor time of its machine, in cores.
    busy : callable
        Returns whether others would have to take over its work if it were lost.
    incarnation : str
        Fixed incarnation; without it each start gets a random one.
    lasting_prefix : str
        Prefix of a second row, which outlives the lease; without it there is no such
        row.

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
        # Term of the present lease.
        self._term = term
        self._lease = 0
        self._revision = 0
        self._presence = Presence()
        self._member_lock = threading.Lock()
        # What the row in the store says; ``None`` if that is not known.
        self._written: Member | None = None
        self.member = Member(
            name,
            incarnation or f"{name}.{secrets.token_hex(4)}",
            address,
            failure_domain=failure_domain,
            cores=cores,
        )

    @property
    def registered(self) -> bool:
        """Whether the row was written, and its loss has not been noticed since."""
        return self._lease != 0

    @property
    def revision(self) -> int:
        """Revision of the store at which this process last wrote its row."""
        return self._revision

    @property
    def presence(self) -> Presence:
        """The interval in which this process is certainly registered."""
        return self._presence

    def run(self, stop: threading.Event) -> None:
        """Register, then keep the lease renewed (a supervisor's task)."""
        failures = 0
        while not stop.is_set():
            lease_fits = self._lease and self._term == self._wanted_term()
            held = self._renew() if lease_fits else self._register()
            if held and self._written != self.member:
                held = self._write(self._lease)
            failures = 0 if held else failures + 1
            # Others would take over work that it gets while it is not registered.
            term = self._term if self._lease else self._busy_term
            self._wait(stop, renewal_pause(term, failures))
        if self._lease:
            self._store.revoke_lease(self._lease)

    def leave(self) -> None:
        """Announce that this process accepts no new work."""
        self._announce(leaving=True)

    def set_refusing(self, refusing: bool) -> None:
        """Announce whether the disk of this process accepts no data at present."""
        if refusing != self.member.refusing:
            self._announce(refusing=refusing)

    def restore(self) -> None:
        """Have the process registered again after its row was found missing."""
        self._lease = 0
        self._presence = Presence()

    def _announce(self, **changes: bool) -> None:
        """Change what the row says; a write that fails is repeated by `run`."""
        with self._member_lock:
            self.member = replace(self.member, **changes)
        if self._lease:
            self._write(self._lease)

    def _wanted_term(self) -> float:
        now = self._clock.monotonic()
        if self._busy():
            self._busy_at = now
        if now - self._busy_at < IDLE_AFTER_SECONDS:
            return self._busy_term
        return max(IDLE_TERM_SECONDS, self._busy_term)

    def _wait(self, stop: threading.Event, pause: float) -> None:
        """Wait until the lease is due for renewal or needs another term."""
        until = self._clock.monotonic() + pause
        while not stop.wait(min(pause, POLL_SECONDS)):
            term_changed = self._lease and self._term != self._wanted_term()
            if self._clock.monotonic() >= until or term_changed:
                return

    def _register(self) -> bool:
        """Write the row under a new lease; a previous lease is left to lapse."""
        term = self._wanted_term()
        asked_at = self._clock.boottime()
        lease = self._store.grant_lease(term)
        if not isinstance(lease, Lease):
            return False
        if not self._write(lease.lease):
            return False
        self._lease = lease.lease
        self._term = term
        self._presence = self._presence_until(asked_at + lease.ttl)
        event(
            logger,
            "registered",
            incarnation=self.member.incarnation,
            lease=lease.lease,
            term=term,
        )
        self._on_registered()
        return True

    def _presence_until(self, until: float) -> Presence:
        """Return the presence after the row was written under a new lease.

        It begins anew unless the previous lease is certainly still valid.
        """
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
            member.refusing,
        )
        value = msgspec.json.encode(row)
        puts = [Put(self._prefix + member.name, value, lease)]
        if self._lasting_prefix:
            puts.append(Put(self._lasting_prefix + member.name, value))
        self._written = None
        outcome = self._store.write((), tuple(puts))
        if not isinstance(outcome, Stored):
            event(logger, "register_failed", outcome=type(outcome).__name__)
            return False
        self._revision = outcome.revision
        self._written = member
        return True

    def _renew(self) -> bool:
        presence, asked_at = self._presence, self._clock.boottime()
        outcome = self._store.renew_lease(self._lease)
        if isinstance(outcome, Lease):
            # The row may have been found missing during the call.
            if self._presence is presence:
                self._presence = replace(presence, until=asked_at + outcome.ttl)
            return True
        event(logger, "renewal_failed", outcome=type(outcome).__name__)
        if isinstance(outcome, LeaseLost):
            self._lease = 0
            self._presence = Presence()
        return False
