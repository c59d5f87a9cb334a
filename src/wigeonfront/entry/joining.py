"""Keeps this entry a member: holds its lease, and catches up when it is new.

A new lease counts once members and catalogue have caught up with a write made under
it, which no earlier state of the service can have reached, and with what other
members report.
"""

import logging
import random
import threading
from collections.abc import Sequence

from wigeonfront.coordination.lease import Held, LeaseHolder
from wigeonfront.entry.configuration import Catalogue
from wigeonfront.entry.members import MemberView
from wigeonfront.entry.membership import Membership
from wigeonfront.entry.polling import Polling
from wigeonfront.entry.renewals import RelayedKeyValue
from wigeonfront.entry.watch import PrefixWatch
from wigeonfront.logs import event
from wigeonfront.platform import Unavailable

logger = logging.getLogger(__name__)

JOINS_PER_SECOND = 50.0
"""Entries that start or come back together spread their joins to this rate."""

ASKED_AT_JOIN = 16
CATCH_UP_SECONDS = 0.5


class Joining:
    """One task of the entry.

    Parameters
    ----------
    holder : LeaseHolder
    relay : RelayedKeyValue
        What `holder` calls.
    membership : Membership
    view : MemberView
    members_watch, catalogue_watch : PrefixWatch
    catalogue : Catalogue
    polling : Polling
    generator : random.Random
        Source of jitter.
    also_listed : sequence of PrefixWatch
        What else is listed anew before a new lease counts.
    """

    def __init__(
        self,
        holder: LeaseHolder,
        relay: RelayedKeyValue,
        membership: Membership,
        view: MemberView,
        members_watch: PrefixWatch,
        catalogue_watch: PrefixWatch,
        catalogue: Catalogue,
        polling: Polling,
        generator: random.Random,
        also_listed: Sequence[PrefixWatch] = (),
    ) -> None:
        self._holder = holder
        self._relay = relay
        self._membership = membership
        self._view = view
        self._members_watch = members_watch
        self._catalogue_watch = catalogue_watch
        self._catalogue = catalogue
        self._polling = polling
        self._random = generator
        self._also_listed = also_listed
        self._needed = 0

    def run(self, stop: threading.Event) -> None:
        """Keep the lease until `stop` (a supervisor's task)."""
        stop.wait(self.spread())
        while not stop.is_set():
            stop.wait(self.step())

    def step(self) -> float:
        """Renew or join, and catch up; return the seconds to wait."""
        known_lost = self._relay.lost
        pause = self._holder.step()
        if self._holder.replaced:
            self._membership.replaced()
            return pause
        if self._relay.lost:
            return pause if known_lost else self._note_lost(pause)
        if not self._holder.check() or not self._relay.reachable:
            self._membership.unanswered()
        if self._holder.check():
            self._membership.renewed(self._relay.reachable)
            if self._membership.behind and not self._catch_up():
                pause = min(pause, self._random.uniform(0.2, 1) * CATCH_UP_SECONDS)
        self._membership.observe()
        return pause

    def spread(self) -> float:
        """Return a pause that spreads the joins of entries coming together."""
        entries = max(self._view.electorate(), self._view.listed)
        return self._random.uniform(0, entries / JOINS_PER_SECOND)

    def _note_lost(self, pause: float) -> float:
        event(logger, "lease_lost")
        self._needed = 0
        self._membership.lapsed()
        # Beside an outage others lose theirs too, and this entry goes on meanwhile.
        if self._membership.cut_off:
            return max(pause, self.spread())
        return min(pause, self._random.uniform(0, CATCH_UP_SECONDS))

    def _catch_up(self) -> bool:
        if not self._needed:
            written = self._holder.fenced_write()
            if not isinstance(written, Held):
                return False
            self._needed = written.revision
        self._members_watch.list_now()
        replies = self._polling.ask_some(ASKED_AT_JOIN)
        reported = [one.revision for one in replies if one.standing == "member"]
        needed = max([self._needed, *reported])
        if self._catalogue.revision < needed:
            self._catalogue_watch.list_now()
        if self._catalogue.revision < needed or self._view.revision < self._needed:
            event(logger, "catching_up", revision=self._catalogue.revision, to=needed)
            return False
        for watch in self._also_listed:
            if isinstance(watch.list_now(), Unavailable):
                return False
        event(logger, "caught_up", revision=self._catalogue.revision)
        self._needed = 0
        self._membership.caught_up()
        return True
