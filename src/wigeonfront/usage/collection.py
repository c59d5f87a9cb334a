"""Collects the starts of all entries and counts them by window and account."""

import math
from collections import Counter
from collections.abc import Iterable, Sequence
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass, field

from wigeonfront.clock import Clock
from wigeonfront.coordination.clock_offset import (
    ClockReading,
    agreed_offset,
    answered_at,
    reading_from_call,
)
from wigeonfront.coordination.membership import Member
from wigeonfront.usage.calls import AgedStart, ProcessStarts, StartClient, StartsReply
from wigeonfront.usage.held import HeldStarts
from wigeonfront.usage.starts import StartLog

MAX_CONCURRENT_CALLS = 8
"""Number of entries that are asked at the same time."""


@dataclass(frozen=True, slots=True)
class TimedStart:
    """A start with its time on this machine's steady clock in seconds."""

    account: str
    at: float


@dataclass(slots=True)
class Collection:
    """The starts and clock readings collected so far.

    Attributes
    ----------
    own : dict of str to sequence of TimedStart
        Starts that each incarnation has reported itself.
    copies : dict of str to sequence of TimedStart
        Starts of each incarnation as other entries hold them.
    complete_until : dict of str to float
        Time on this machine's steady clock up to which each incarnation has reported
        its starts itself.
    readings : dict of str to ClockReading
        The last reading of each machine's clock.
    """

    own: dict[str, Sequence[TimedStart]] = field(default_factory=dict)
    copies: dict[str, Sequence[TimedStart]] = field(default_factory=dict)
    complete_until: dict[str, float] = field(default_factory=dict)
    readings: dict[str, ClockReading] = field(default_factory=dict)

    @property
    def offset(self) -> float | None:
        """The agreed Unix time minus the steady clock; ``None`` without readings."""
        return agreed_offset(self.readings.values())

    def add_reply(
        self, member: Member, reply: StartsReply, sent: float, received: float
    ) -> None:
        """Add the reply of another entry.

        Parameters
        ----------
        member : Member
            The entry that replied.
        reply : StartsReply
        sent, received : float
            Times of the call and the reply on this machine's steady clock.
        """
        at = answered_at(sent, received, reply.handling)
        self.own[reply.own.incarnation] = _to_timed_starts(reply.own.starts, at)
        for held in reply.held:
            self._add_copy(held, at)
        self.complete_until[reply.own.incarnation] = at
        reading = reading_from_call(
            member.name, sent, received, reply.handling, reply.unix
        )
        self.readings[member.name] = reading

    def add_local(
        self,
        incarnation: str,
        name: str,
        log: StartLog,
        held: HeldStarts,
        since: float,
        clock: Clock,
    ) -> None:
        """Add the starts that this process has recorded or holds as copies.

        Parameters
        ----------
        incarnation, name : str
            Incarnation and name of this process.
        log : StartLog
        held : HeldStarts
        since : float
            Time on the steady clock from which on starts are added.
        clock : Clock
        """
        now = clock.boottime()
        self.own[incarnation] = [
            TimedStart(start.account, start.at) for start in log.since(since)
        ]
        for other, starts in held.since(since).items():
            copy = [TimedStart(start.account, start.at) for start in starts]
            self._keep_longer(other, copy)
        self.complete_until[incarnation] = now
        self.readings[name] = ClockReading(name, clock.time() - now, 0.0)

    def _add_copy(self, held: ProcessStarts, at: float) -> None:
        self._keep_longer(held.incarnation, _to_timed_starts(held.starts, at))

    def _keep_longer(self, incarnation: str, starts: Sequence[TimedStart]) -> None:
        if len(starts) >= len(self.copies.get(incarnation, ())):
            self.copies[incarnation] = starts

    def count(self, begin: float, end: float) -> dict[str, int]:
        """Return each account's number of starts between two steady clock times."""
        counts: Counter[str] = Counter()
        for incarnation in {**self.own, **self.copies}:
            counts.update(self._accounts_of(incarnation, begin, end))
        return dict(counts)

    def _accounts_of(self, incarnation: str, begin: float, end: float) -> list[str]:
        """Return the account of each start of one process.

        If the process has reported its starts itself after `end`, its report is
        complete. Otherwise copies may be newer, and the longer list is used.
        """
        own, copy = (
            [start.account for start in starts if begin <= start.at < end]
            for starts in (
                self.own.get(incarnation, ()),
                self.copies.get(incarnation, ()),
            )
        )
        complete = self.complete_until.get(incarnation, -math.inf) >= end
        return own if complete or len(own) >= len(copy) else copy


def _to_timed_starts(starts: Iterable[AgedStart], answered: float) -> list[TimedStart]:
    return [TimedStart(start.account, answered - start.age) for start in starts]


class StartCollector:
    """Asks entries for their starts, several of them concurrently.

    Parameters
    ----------
    client : StartClient
    clock : Clock
    """

    def __init__(self, client: StartClient, clock: Clock) -> None:
        self._client = client
        self._clock = clock

    def collect(
        self, members: Sequence[Member], since: float, collection: Collection
    ) -> None:
        """Add to `collection` the starts of `members` since a steady clock time."""
        if not members:
            return
        with ThreadPoolExecutor(MAX_CONCURRENT_CALLS, "usage-collect") as executor:
            list(
                executor.map(
                    lambda member: self._ask(member, since, collection), members
                )
            )

    def _ask(self, member: Member, since: float, collection: Collection) -> None:
        sent = self._clock.boottime()
        reply = self._client.collect(member.address, sent - since)
        received = self._clock.boottime()
        if reply is not None:
            collection.add_reply(member, reply, sent, received)
