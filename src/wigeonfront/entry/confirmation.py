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
from dataclasses import dataclass, field

from wigeonfront.clock import Clock
from wigeonfront.entry.configuration import Catalogue, CatalogueRow
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
class InForce:
    """Every live member has the row; those in `fenced` have stopped."""

    seconds: float
    fenced: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class NotYetInForce:
    """Why it can't be said to be in force, by the name of what is missing."""

    waiting: dict[str, str]


@dataclass(slots=True)
class _Round:
    """What is known after asking everybody once."""

    relist: bool = False
    replies: dict[str, ChangeReply] = field(default_factory=dict)
    waiting: dict[str, str] = field(default_factory=dict)
    fenced: list[str] = field(default_factory=list)

    def wait(self, name: str, reason: str) -> None:
        """Note that the change is not yet in force because of `name`."""
        self.waiting[name] = reason


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

    def wait(self, name: str, revision: int, seconds: float) -> InForce | NotYetInForce:
        """Ask for at most `seconds` whether `name` at `revision` is in force."""
        began = self._clock.monotonic()
        pause = FIRST_PAUSE
        asked = _Round(relist=True)
        while True:
            asked = self._ask_everybody(name, revision, asked.relist)
            elapsed = self._clock.monotonic() - began
            if not asked.waiting:
                return InForce(elapsed, tuple(asked.fenced))
            if elapsed + pause > seconds:
                self._log(name, revision, asked.waiting)
                return NotYetInForce(asked.waiting)
            self._clock.sleep(random.uniform(pause / 2, pause))
            pause = min(LONGEST_PAUSE, pause * 2)

    def answer(self, change: Change) -> ChangeReply:
        """Take a row from another entry and say whether it is in force here."""
        self._catalogue.merge([change.row])
        return ChangeReply(
            name=self._identity.name,
            incarnation=self._identity.incarnation,
            in_force=self._catalogue.has(change.row.name, change.row.revision),
            waiting_sides=self._sides_behind(),
            polled=self._contacts.polled_lately(change.absent),
            digest=self._catalogue.digest,
        )

    def _ask_everybody(self, name: str, revision: int, relist: bool) -> _Round:
        asked = _Round()
        listing = self._list_members() if relist else None
        if isinstance(listing, Unavailable):
            asked.wait("key-value service", f"members unknown: {listing.reason}")
        elif self._view.revision < revision:
            asked.wait("key-value service", "an old list of members")
        if asked.waiting:
            asked.relist = True
            return asked
        row = self._row(name, revision)
        if row is None:
            asked.wait(self._identity.name, "the row is not known here")
            return asked
        present = [one for one in self._view.present() if not one.leaving]
        former = self._view.former()
        absent = [member.name for member in former]
        own = self.answer(Change(sender=self._identity.name, row=row, absent=absent))
        asked.replies[self._identity.name] = own
        self._tell(present + former, row, absent, asked)
        self._judge_present(present, asked)
        self._judge_former(former, len(present) + len(former) + 1, asked)
        self._judge_sides(asked)
        return asked

    def _row(self, name: str, revision: int) -> CatalogueRow | None:
        known = self._catalogue.known(name)
        if known is None or known.revision < revision:
            return None
        return known.message()

    def _tell(
        self,
        members: list[Member],
        row: CatalogueRow,
        absent: list[str],
        asked: _Round,
    ) -> None:
        change = Change(sender=self._identity.name, row=row, absent=absent)

        def tell(member: Member) -> ChangeReply | Unreachable:
            return self._calls.call(
                member.address, CHANGE_PATH, change, ChangeReply, CHANGE_TIMEOUT
            )

        for member, reply in zip(members, self._calls.each(tell, members), strict=True):
            if isinstance(reply, ChangeReply) and reply.name == member.name:
                asked.replies[member.name] = reply

    def _judge_present(self, present: list[Member], asked: _Round) -> None:
        for member in present:
            reply = asked.replies.get(member.name)
            if reply is None or reply.incarnation != member.incarnation:
                asked.wait(member.name, "no answer, and its lease has not lapsed")
                asked.relist = True
            elif not reply.in_force:
                asked.wait(member.name, "not in force there")

    def _judge_former(
        self, former: list[Member], electorate: int, asked: _Round
    ) -> None:
        have = [reply for reply in asked.replies.values() if reply.in_force]
        names = {reply.name for reply in have}
        most = 2 * len(have) >= electorate
        for name in [one.name for one in former if one.name not in names]:
            in_touch = [reply.name for reply in have if _may_lack(reply, name)]
            if not most:
                asked.wait(name, "lease lapsed, may go on beyond a cut")
                asked.relist = True
            elif in_touch:
                asked.wait(name, f"lease lapsed, {in_touch[0]} was in touch with it")
            else:
                asked.fenced.append(name)

    def _judge_sides(self, asked: _Round) -> None:
        for reply in asked.replies.values():
            if reply.in_force and reply.waiting_sides:
                sides = ", ".join(reply.waiting_sides)
                asked.wait(reply.name, f"not yet at its sides {sides}")

    def _log(self, name: str, revision: int, waiting: dict[str, str]) -> None:
        event(
            logger,
            "not_yet_in_force",
            catalogue_entry=name,
            revision=revision,
            waiting=",".join(sorted(waiting)),
        )


def _may_lack(reply: ChangeReply, name: str) -> bool:
    """Tell whether `name` has polled the one that replies, without its rows."""
    return name in reply.polled and reply.polled[name] != reply.digest
