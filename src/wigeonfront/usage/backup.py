"""Copies this process's starts to another entry, so that they outlive it."""

import logging
import threading
from collections.abc import Callable, Collection

from wigeonfront.clock import Clock
from wigeonfront.coordination import rendezvous
from wigeonfront.coordination.membership import Member
from wigeonfront.observability.logs import event
from wigeonfront.usage.calls import AgedStart, CopyStarts, StartClient, ProcessStarts
from wigeonfront.usage.starts import StartLog

logger = logging.getLogger(__name__)

COPY_INTERVAL_SECONDS = 0.2
"""Time in which starts gather: what a process that is killed takes with it."""

FAILED_HOLDER_PAUSE_SECONDS = 2.0
"""How long an entry that did not take copies is passed over."""


class StartBackup:
    """Keeps copies of the starts at another entry.

    Parameters
    ----------
    log : StartLog
    client : StartClient
    me : callable
        Returns this process as a member.
    members : callable
        Returns the entries that live.
    clock : Clock
    """

    def __init__(
        self,
        log: StartLog,
        client: StartClient,
        me: Callable[[], Member],
        members: Callable[[], list[Member]],
        clock: Clock,
    ) -> None:
        self._log = log
        self._client = client
        self._me = me
        self._members = members
        self._clock = clock
        self._holder = ""
        self._copied = 0
        self._withdrawn: list[int] = []
        self._avoided: dict[str, float] = {}

    def run(self, stop: threading.Event) -> None:
        """Copy what is new (a supervisor's task)."""
        while not stop.wait(COPY_INTERVAL_SECONDS):
            self.copy()

    def copy(self) -> None:
        """Copy what is new; all of it to an entry that has not held them before."""
        self._withdrawn += [one.number for one in self._log.pop_withdrawn()]
        starts = self._log.after(self._copied)
        if not starts and not self._withdrawn:
            return
        member = self._choose()
        if member is None:
            return
        if member.incarnation != self._holder:
            self._holder, self._copied = member.incarnation, 0
            starts = self._log.after(0)
        now = self._clock.boottime()
        aged = [AgedStart(one.number, one.account, now - one.at) for one in starts]
        copies = CopyStarts(ProcessStarts(self._me().incarnation, aged), self._withdrawn)
        if self._client.copy(member.address, copies):
            self._copied = max((self._copied, *(one.number for one in starts)))
            self._withdrawn = []
            return
        self._avoided[member.address] = self._clock.monotonic() + FAILED_HOLDER_PAUSE_SECONDS
        self._holder = ""
        event(logger, "starts_not_copied", to=member.name, starts=len(starts))

    def _choose(self) -> Member | None:
        now = self._clock.monotonic()
        usable = [
            one
            for one in self._members()
            if self._avoided.get(one.address, 0.0) <= now and not one.leaving
        ]
        return copy_holder(self._me(), usable)


def copy_holder(me: Member, members: Collection[Member]) -> Member | None:
    """Return the entry that holds a process's copies; ``None`` where there is none.

    It is in the same failure domain if it can be: copies are many and small, and a
    failure domain is lost less often than a machine.
    """
    others = {one.name: one for one in members if one.name != me.name}
    near = {
        name: one
        for name, one in others.items()
        if one.failure_domain == me.failure_domain
    }
    usable = near or others
    name = rendezvous.owner(me.name, usable)
    return usable[name] if name else None
