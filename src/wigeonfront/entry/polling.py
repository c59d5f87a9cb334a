"""Polls between entries: the catalogue beside the key-value service.

Each entry asks another now and then whether both have the same rows, and takes what
it lacks. This mends what a watch has missed, and it carries the catalogue to an
entry that is cut off from the key-value service. An entry whose lease is in danger
polls all the others often enough to know whether it is in touch with most.
"""

import logging
import random
import threading
from math import ceil

from wigeonfront.clock import Clock
from wigeonfront.entry.configuration import Catalogue
from wigeonfront.entry.contacts import Contacts
from wigeonfront.entry.member_calls import (
    POLL_PATH,
    MemberCalls,
    Poll,
    PollReply,
    Unreachable,
)
from wigeonfront.entry.members import Member, MemberView
from wigeonfront.entry.membership import Membership
from wigeonfront.entry.peers import Identity
from wigeonfront.logs import event

logger = logging.getLogger(__name__)

POLL_SECONDS = 1.0
POLL_TIMEOUT = 1.0
ROUNDS_IN_BOUND = 3
"""How often all entries are polled within the contact bound, if need be."""


class Polling:
    """A task of the entry, and its answers to the polls of others.

    Parameters
    ----------
    identity : Identity
        Of this entry.
    view : MemberView
    contacts : Contacts
    catalogue : Catalogue
    calls : MemberCalls
    membership : Membership
    clock : Clock
    generator : random.Random
        Source of jitter.
    """

    def __init__(
        self,
        identity: Identity,
        view: MemberView,
        contacts: Contacts,
        catalogue: Catalogue,
        calls: MemberCalls,
        membership: Membership,
        clock: Clock,
        generator: random.Random | None = None,
    ) -> None:
        self._identity = identity
        self._view = view
        self._contacts = contacts
        self._catalogue = catalogue
        self._calls = calls
        self._membership = membership
        self._clock = clock
        self._random = generator or random.Random()
        self._turn: list[Member] = []

    def run(self, stop: threading.Event) -> None:
        """Poll until `stop` (a supervisor's task)."""
        while not stop.is_set():
            stop.wait(self.step())

    def step(self) -> float:
        """Poll whose turn it is; return the seconds to wait before the next."""
        membership = self._membership
        healthy = membership.in_touch and membership.standing.name == "member"
        self.ask(self._next(1 if healthy else self._hurried()))
        return self._random.uniform(0.75, 1.25) * POLL_SECONDS

    def ask(self, members: list[Member]) -> list[PollReply]:
        """Poll `members`; return the answers that came."""
        replies = self._calls.each(self._ask_one, members)
        return [reply for reply in replies if reply is not None]

    def ask_some(self, most: int) -> list[PollReply]:
        """Poll at most `most` of the members, chosen at random."""
        members = self._view.present()
        return self.ask(self._random.sample(members, min(most, len(members))))

    def say_leaving(self) -> None:
        """Tell every member that this entry admits nothing new any more."""
        self.ask(self._view.present())

    def answer(self, poll: Poll) -> PollReply:
        """Answer another entry's poll."""
        if poll.leaving:
            self._view.left(poll.name)
        self._contacts.note_polled(poll)
        catalogue = self._catalogue
        digest = catalogue.digest
        return PollReply(
            name=self._identity.name,
            incarnation=self._identity.incarnation,
            standing=self._membership.standing.name,
            in_touch=self._membership.in_touch,
            revision=catalogue.revision,
            digest=digest,
            age=catalogue.age,
            rows=[] if digest == poll.digest else catalogue.since(poll.after),
        )

    def _everyone(self) -> list[Member]:
        return self._view.present() + self._view.former()

    def _hurried(self) -> int:
        """Return how many to poll a second to hear all in time."""
        seconds = self._contacts.bound / ROUNDS_IN_BOUND
        return max(1, ceil(len(self._everyone()) * POLL_SECONDS / seconds))

    def _next(self, count: int) -> list[Member]:
        if not self._turn:
            self._turn = self._everyone()
            self._random.shuffle(self._turn)
        taken, self._turn = self._turn[:count], self._turn[count:]
        return taken

    def _ask_one(self, member: Member) -> PollReply | None:
        reply = self._exchange(member, self._catalogue.revision)
        if reply is not None and reply.digest != self._catalogue.digest:
            # Some row below the common revision differs: a change was missed.
            reply = self._exchange(member, 0) or reply
        if reply is not None and self._vouches(reply):
            self._catalogue.vouched(reply.revision, reply.age)
        return reply

    def _vouches(self, reply: PollReply) -> bool:
        return reply.standing == "member" and reply.digest == self._catalogue.digest

    def _exchange(self, member: Member, after: int) -> PollReply | None:
        asked_at = self._clock.monotonic()
        poll = Poll(
            name=self._identity.name,
            incarnation=self._identity.incarnation,
            revision=self._catalogue.revision,
            digest=self._catalogue.digest,
            after=after,
            leaving=self._membership.leaving,
        )
        reply = self._calls.call(
            member.address, POLL_PATH, poll, PollReply, POLL_TIMEOUT
        )
        if isinstance(reply, Unreachable) or reply.name != member.name:
            return None
        self._contacts.note_heard(reply, asked_at)
        if self._catalogue.merge(reply.rows):
            event(
                logger,
                "catalogue_from_peer",
                peer=member.name,
                rows=len(reply.rows),
                after=after,
            )
        return reply
