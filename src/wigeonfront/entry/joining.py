"""Keeps this entry a member: renews its lease, and gets it back after a lapse.

A new lease counts once the catalogue has caught up with the revision of the entry's
own row, which no earlier state of the catalogue can have reached, and with what
other members report. An entry that alone is cut off from the key-value service has
its lease renewed by one that isn't.
"""

import logging
import random
import threading

from wigeonfront.clock import Clock
from wigeonfront.entry.configuration import Catalogue
from wigeonfront.entry.contacts import Contacts
from wigeonfront.entry.lease import MembershipLease
from wigeonfront.entry.member_calls import (
    RENEW_PATH,
    MemberCalls,
    Renew,
    RenewReply,
    Unreachable,
)
from wigeonfront.entry.members import Member, MemberView
from wigeonfront.entry.membership import Membership
from wigeonfront.entry.polling import Polling
from wigeonfront.entry.watch import PrefixWatch
from wigeonfront.logs import event
from wigeonfront.platform import Lease, LeaseLost, Stored

logger = logging.getLogger(__name__)

RENEWALS_PER_TERM = 3.0
FIRST_RETRY = 0.5
"""Seconds: ceiling of the pause after the first failure; it doubles from there."""

JOINS_PER_SECOND = 50.0
"""Entries that come back together spread their joins to this rate."""

ASKED_AT_JOIN = 16
RENEWERS = 2
RENEW_TIMEOUT = 2.0


class Joining:
    """One task of the entry.

    Parameters
    ----------
    name : str
        Of this entry.
    lease : MembershipLease
    membership : Membership
    view : MemberView
    members_watch, catalogue_watch : PrefixWatch
    catalogue : Catalogue
    contacts : Contacts
    polling : Polling
    calls : MemberCalls
    clock : Clock
    term : float
        Seconds of the lease.
    generator : random.Random
        Source of jitter.
    """

    def __init__(
        self,
        name: str,
        lease: MembershipLease,
        membership: Membership,
        view: MemberView,
        members_watch: PrefixWatch,
        catalogue_watch: PrefixWatch,
        catalogue: Catalogue,
        contacts: Contacts,
        polling: Polling,
        calls: MemberCalls,
        clock: Clock,
        term: float,
        generator: random.Random | None = None,
    ) -> None:
        self._name = name
        self._lease = lease
        self._membership = membership
        self._view = view
        self._members_watch = members_watch
        self._catalogue_watch = catalogue_watch
        self._catalogue = catalogue
        self._contacts = contacts
        self._polling = polling
        self._calls = calls
        self._clock = clock
        self._term = term
        self._random = generator or random.Random()
        self._failures = 0

    def run(self, stop: threading.Event) -> None:
        """Keep the lease until `stop` (a supervisor's task)."""
        stop.wait(self.spread())
        while not stop.is_set():
            stop.wait(self.step())

    def step(self) -> float:
        """Renew or join, and catch up; return the seconds to wait."""
        pause = self._renew() if self._lease.lease else self._join()
        self._membership.observe()
        return pause

    def spread(self) -> float:
        """Return a pause that spreads the joins of entries coming back together."""
        entries = max(self._view.electorate(), self._view.listed)
        return self._random.uniform(0, entries / JOINS_PER_SECOND)

    def _join(self) -> float:
        joined = self._lease.join()
        if not isinstance(joined, Stored):
            self._membership.unanswered()
            return self._retry(joined.reason)
        event(logger, "joined", revision=joined.revision, lease=self._lease.lease)
        self._membership.renewed(in_touch=True)
        return self._catch_up()

    def _renew(self) -> float:
        asked_at = self._clock.monotonic()
        reply = self._lease.renew()
        if isinstance(reply, LeaseLost):
            return self._lost()
        if not isinstance(reply, Lease):
            if self._renew_through_others(asked_at):
                return self._catch_up()
            self._membership.unanswered()
            return self._retry(reply.reason)
        self._membership.renewed(in_touch=True)
        return self._catch_up()

    def _lost(self) -> float:
        event(logger, "lease_lost")
        self._membership.lapsed()
        self._failures = 0
        # A detached entry goes on meanwhile; one that was paused doesn't wait.
        return self.spread() if self._membership.cut_off else 0.0

    def _catch_up(self) -> float:
        self._failures = 0
        if not self._membership.behind:
            seconds = self._term / RENEWALS_PER_TERM
            return self._random.uniform(0.75, 1.25) * seconds
        needed = self._lease.revision
        if self._view.revision < needed:
            self._members_watch.list_now()
        replies = self._polling.ask_some(ASKED_AT_JOIN)
        reported = [one.revision for one in replies if one.standing == "member"]
        needed = max([needed, *reported])
        if self._catalogue.revision < needed:
            self._catalogue_watch.list_now()
        if min(self._catalogue.revision, self._view.revision) < needed:
            return self._retry(f"behind revision {needed}")
        self._membership.caught_up()
        return 0.0

    def _renew_through_others(self, asked_at: float) -> bool:
        renewers = [member for member in self._others() if self._is_in_touch(member)]
        for member in renewers[:RENEWERS]:
            renew = Renew(sender=self._name, lease=self._lease.lease)
            reply = self._calls.call(
                member.address, RENEW_PATH, renew, RenewReply, RENEW_TIMEOUT
            )
            if isinstance(reply, Unreachable) or reply.status == "unavailable":
                continue
            event(logger, "renewed_by", peer=member.name, status=reply.status)
            if reply.status == "lost":
                self._lease.lost()
                self._membership.lapsed()
                return False
            self._lease.renewed(asked_at)
            self._membership.renewed(in_touch=False)
            return True
        return False

    def _others(self) -> list[Member]:
        members = self._view.present()
        self._random.shuffle(members)
        return members

    def _is_in_touch(self, member: Member) -> bool:
        heard = self._contacts.heard().get(member.name)
        return heard is not None and heard.reply.in_touch

    def _retry(self, reason: str) -> float:
        if self._failures == 0:
            event(logger, "lease_retry", reason=reason)
        ceiling = min(self._term / RENEWALS_PER_TERM, FIRST_RETRY * 2**self._failures)
        self._failures = min(self._failures + 1, 10)
        return self._random.uniform(ceiling / 4, ceiling)
