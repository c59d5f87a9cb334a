"""Waits until a catalogue change is in force everywhere.

Every member is told of the row and asked whether it has it in force, at itself and
at its sides with a session. A member whose lease has lapsed counts as fenced only if
it can't be going on beyond a cut: an entry without a lease needs answers from a
strict majority to admit rollouts, so at least half of the entries must have the
row, and none of them may have answered it since without the row.
"""

import logging
import random
from collections.abc import Callable
from dataclasses import dataclass

from wigeonfront.clock import Clock
from wigeonfront.coordination.revisions import InForce
from wigeonfront.entry.configuration import Catalogue
from wigeonfront.entry.contacts import Contacts
from wigeonfront.entry.member_calls import (
    CHANGE_PATH,
    Change,
    ChangeReply,
    MemberCalls,
    Unreachable,
)
from wigeonfront.entry.members import Member, MemberView
from wigeonfront.entry.peers import Identity
from wigeonfront.logs import event
from wigeonfront.platform import Listing, Unavailable

logger = logging.getLogger(__name__)

CHANGE_TIMEOUT = 1.0
FIRST_PAUSE = 0.1
LONGEST_PAUSE = 1.0


@dataclass(frozen=True, slots=True)
class Everywhere:
    """Every live member has the row; those in `fenced` have stopped."""

    seconds: float
    fenced: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class NotYetInForce:
    """Why it can't be said to be in force, by the name of what is missing."""

    waiting: dict[str, str]


class Confirmation:
    """Asks the other entries for one change at a time; may be used by many threads.

    Parameters
    ----------
    identity : Identity
        Of this entry.
    catalogue : Catalogue
    view : MemberView
    list_members : callable
        Lists the members anew into `view`.
    contacts : Contacts
    calls : MemberCalls
    sides_behind : callable
        Returns this entry's sides that lack the present policy.
    clock : Clock
    """

    def __init__(
        self,
        identity: Identity,
        catalogue: Catalogue,
        view: MemberView,
        list_members: Callable[[], Listing | Unavailable],
        contacts: Contacts,
        calls: MemberCalls,
        sides_behind: Callable[[], list[str]],
        clock: Clock,
    ) -> None:
        self._identity = identity
        self._catalogue = catalogue
        self._view = view
        self._list_members = list_members
        self._contacts = contacts
        self._calls = calls
        self._sides_behind = sides_behind
        self._clock = clock

    def wait(
        self, name: str, revision: int, seconds: float
    ) -> Everywhere | NotYetInForce:
        """Ask for at most `seconds` whether `name` at `revision` is in force."""
        began = self._clock.monotonic()
        inquiry = _Inquiry(name, revision)
        pause = FIRST_PAUSE
        while True:
            self._ask(inquiry)
            elapsed = self._clock.monotonic() - began
            if not inquiry.waiting:
                return Everywhere(elapsed, tuple(inquiry.fenced))
            if elapsed + pause > seconds:
                self._log(inquiry)
                return NotYetInForce(inquiry.waiting)
            self._clock.sleep(random.uniform(pause / 2, pause))
            pause = min(LONGEST_PAUSE, pause * 2)

    def answer(self, change: Change) -> ChangeReply:
        """Take a row from another entry and say whether it is in force here."""
        self._catalogue.merge(change.rows)
        last = change.rows[-1]
        return ChangeReply(
            name=self._identity.name,
            incarnation=self._identity.incarnation,
            in_force=self._catalogue.has(last.name, last.revision),
            waiting_sides=self._sides_behind(),
            polled=self._contacts.polled_lately(change.absent),
            digest=self._catalogue.digest,
        )

    def _ask(self, inquiry: "_Inquiry") -> None:
        """Ask all who have not confirmed yet, and judge the answers."""
        inquiry.waiting = self._missing(inquiry)
        if inquiry.waiting:
            return
        present = [one for one in self._view.present() if not one.leaving]
        former = self._view.former()
        inquiry.set_members(present, self._view.revision)
        change = Change(
            sender=self._identity.name,
            rows=self._catalogue.messages(inquiry.name, inquiry.revision),
            absent=[member.name for member in former],
        )
        inquiry.take(self._identity.name, self.answer(change))
        asked = [one for one in present if former or inquiry.lacks(one)] + former
        for member, reply in self._tell(asked, change):
            inquiry.take(member.name, reply)
        inquiry.judge(former)

    def _missing(self, inquiry: "_Inquiry") -> dict[str, str]:
        """Return what must be known before anybody is asked."""
        listing = self._list_members() if inquiry.relist else None
        inquiry.relist = True
        if isinstance(listing, Unavailable):
            return {"key-value service": f"members unknown: {listing.reason}"}
        if self._view.revision < inquiry.revision:
            return {"key-value service": "an old list of members"}
        if not self._catalogue.messages(inquiry.name, inquiry.revision):
            return {self._identity.name: "the row is not known here"}
        return {}

    def _tell(
        self, members: list[Member], change: Change
    ) -> list[tuple[Member, ChangeReply | Unreachable]]:
        def tell(member: Member) -> ChangeReply | Unreachable:
            return self._calls.call(
                member.address, CHANGE_PATH, change, ChangeReply, CHANGE_TIMEOUT
            )

        return list(zip(members, self._calls.each(tell, members), strict=True))

    def _log(self, inquiry: "_Inquiry") -> None:
        event(
            logger,
            "not_yet_in_force",
            catalogue_entry=inquiry.name,
            revision=inquiry.revision,
            waiting=",".join(sorted(inquiry.waiting)),
        )


class _Inquiry:
    """Whether one change is in force, as far as the answers so far tell.

    Attributes
    ----------
    waiting : dict of str to str
        Why it can't be said to be in force, by the name of what is missing.
    fenced : list of str
        Former members that have certainly stopped.
    relist : bool
        The members must be listed anew before the next round.
    """

    def __init__(self, name: str, revision: int) -> None:
        self.name = name
        self.revision = revision
        self.waiting: dict[str, str] = {}
        self.fenced: list[str] = []
        self.relist = True
        self._in_force = InForce()
        self._members: dict[str, Member] = {}
        self._replies: dict[str, ChangeReply] = {}

    def set_members(self, present: list[Member], revision: int) -> None:
        """Note who holds a lease, as listed at a revision of the service."""
        self._members = {member.name: member for member in present}
        self._in_force.set_members(self._members, revision)

    def lacks(self, member: Member) -> bool:
        """Tell whether a member has not confirmed the change."""
        return member.name in self._in_force.waiting_for(self.revision)

    def take(self, name: str, reply: ChangeReply | Unreachable) -> None:
        """Take an answer to the present round."""
        if isinstance(reply, Unreachable) or reply.name != name:
            self._replies.pop(name, None)
            return
        self._replies[name] = reply
        member = self._members.get(name)
        if member is None or not reply.in_force or reply.waiting_sides:
            return
        if reply.incarnation == member.incarnation:
            self._in_force.acknowledge(name, self.revision)

    def judge(self, former: list[Member]) -> None:
        """Work out who is missing and who has stopped."""
        self.waiting = {}
        self.fenced = []
        self.relist = False
        for name in self._in_force.waiting_for(self.revision):
            self._judge_member(name)
        self._judge_former(former)
        for reply in self._replies.values():
            if reply.in_force and reply.waiting_sides:
                sides = ", ".join(reply.waiting_sides)
                self.waiting[reply.name] = f"not yet at its sides {sides}"

    def _judge_member(self, name: str) -> None:
        reply = self._replies.get(name)
        if reply is not None and reply.incarnation == self._members[name].incarnation:
            self.waiting[name] = "not in force there"
            return
        self.waiting[name] = "no answer, and its lease has not lapsed"
        self.relist = True

    def _judge_former(self, former: list[Member]) -> None:
        have = [reply for reply in self._replies.values() if reply.in_force]
        names = {reply.name for reply in have}
        most = 2 * len(have) >= 1 + len(self._members) + len(former)
        for name in [one.name for one in former if one.name not in names]:
            in_touch = [reply.name for reply in have if _may_lack(reply, name)]
            if not most:
                self.waiting[name] = "lease lapsed, may go on beyond a cut"
                self.relist = True
            elif in_touch:
                self.waiting[name] = f"lease lapsed, {in_touch[0]} was in touch with it"
            else:
                self.fenced.append(name)


def _may_lack(reply: ChangeReply, name: str) -> bool:
    """Tell whether `name` has polled the one that replies, without its rows."""
    return name in reply.polled and reply.polled[name] != reply.digest
