"""Copies the starts of this process to another entry, so that they survive its end."""

import logging
import threading
from collections.abc import Callable, Collection

from wigeonfront.clock import Clock
from wigeonfront.coordination import rendezvous
from wigeonfront.coordination.membership import Member
from wigeonfront.observability.logs import event
from wigeonfront.usage.calls import AgedStart, CopyStarts, ProcessStarts, StartClient
from wigeonfront.usage.starts import StartLog

logger = logging.getLogger(__name__)

COPY_INTERVAL_SECONDS = 0.2
"""Interval between copies: a killed process loses the starts since the last copy."""

FAILED_ENTRY_PAUSE_SECONDS = 2.0
"""How long an entry that has not accepted copies gets no others."""


class StartBackup:
    """Keeps copies of the starts of this process at another entry.

    Parameters
    ----------
    log : StartLog
    client : StartClient
    own_member : callable
        Returns the membership record of this process.
    members : callable
        Returns the membership records of the live entries.
    clock : Clock
    """

    def __init__(
        self,
        log: StartLog,
        client: StartClient,
        own_member: Callable[[], Member],
        members: Callable[[], list[Member]],
        clock: Clock,
    ) -> None:
        self._log = log
        self._client = client
        self._own_member = own_member
        self._members = members
        self._clock = clock
        # Incarnation of the entry that holds the copies; empty if there is none.
        self._holder = ""
        # Number of the newest start that is copied.
        self._last_copied = 0
        self._withdrawn: list[int] = []
        # Monotonic time until which each address gets no copies.
        self._avoided_until: dict[str, float] = {}

    def run(self, stop: threading.Event) -> None:
        """Copy new starts until `stop` is set (a supervisor's task)."""
        while not stop.wait(COPY_INTERVAL_SECONDS):
            self.copy()

    def copy(self) -> None:
        """Copy new starts, or all kept ones to an entry that held no copies before."""
        self._withdrawn += [start.number for start in self._log.pop_withdrawn()]
        starts = self._log.after(self._last_copied)
        if not starts and not self._withdrawn:
            return
        member = self._choose()
        if member is None:
            return
        if member.incarnation != self._holder:
            self._holder, self._last_copied = member.incarnation, 0
            starts = self._log.after(0)
        now = self._clock.boottime()
        aged = [
            AgedStart(start.number, start.account, now - start.at) for start in starts
        ]
        copies = CopyStarts(
            ProcessStarts(self._own_member().incarnation, aged), self._withdrawn
        )
        if self._client.copy(member.address, copies):
            self._last_copied = max(
                (self._last_copied, *(start.number for start in starts))
            )
            self._withdrawn = []
            return
        self._avoided_until[member.address] = (
            self._clock.monotonic() + FAILED_ENTRY_PAUSE_SECONDS
        )
        self._holder = ""
        event(logger, "starts_not_copied", to=member.name, starts=len(starts))

    def _choose(self) -> Member | None:
        now = self._clock.monotonic()
        usable = [
            member
            for member in self._members()
            if self._avoided_until.get(member.address, 0.0) <= now
            and not member.leaving
        ]
        return copy_holder(self._own_member(), usable)


def copy_holder(own_member: Member, members: Collection[Member]) -> Member | None:
    """Return the entry that holds the copies of a process, or ``None``.

    An entry of the same failure domain is preferred: copies are many and small, and a
    failure domain is lost less often than a machine.

    Parameters
    ----------
    own_member : Member
        The process whose starts are copied.
    members : collection of Member
        Entries that may hold copies.
    """
    others = {
        member.name: member for member in members if member.name != own_member.name
    }
    same_domain = {
        name: member
        for name, member in others.items()
        if member.failure_domain == own_member.failure_domain
    }
    usable = same_domain or others
    name = rendezvous.owner(own_member.name, usable)
    return usable[name] if name else None
