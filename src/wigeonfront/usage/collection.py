"""Collects the starts of all entries, and counts them by window and account."""

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
from wigeonfront.usage.calls import AgedStart, StartClient, StartsOf, ToldStarts
from wigeonfront.usage.held import HeldStarts
from wigeonfront.usage.starts import StartLog

CALL_THREADS = 8
"""Entries that are asked at the same time."""


@dataclass(frozen=True, slots=True)
class TimedStart:
    """A start on this machine's steady clock."""

    account: str
    at: float


@dataclass(slots=True)
class Collection:
    """What was collected so far.

    Attributes
    ----------
    own : dict
        Starts by the incarnation that noted and told them.
    copies : dict
        Starts by incarnation, as others hold them.
    heard_at : dict of str to float
        Time on this machine's steady clock as of which each incarnation has told.
    readings : dict of str to ClockReading
        The best reading of each machine's clock.
    """

    own: dict[str, Sequence[TimedStart]] = field(default_factory=dict)
    copies: dict[str, Sequence[TimedStart]] = field(default_factory=dict)
    heard_at: dict[str, float] = field(default_factory=dict)
    readings: dict[str, ClockReading] = field(default_factory=dict)

    @property
    def offset(self) -> float | None:
        """The true time less this machine's steady clock."""
        return agreed_offset(self.readings.values())

    def take(
        self, member: Member, told: ToldStarts, sent: float, received: float
    ) -> None:
        """Take what a member has told.

        Parameters
        ----------
        sent, received : float
            Times of the call and the answer on this machine's steady clock.
        """
        at = answered_at(sent, received, told.handling)
        self.own[told.own.incarnation] = _timed(told.own.starts, at)
        for held in told.held:
            self._take_copy(held, at)
        self.heard_at[told.own.incarnation] = at
        reading = reading_from_call(
            member.name, sent, received, told.handling, told.unix
        )
        self.readings[member.name] = reading

    def take_here(
        self,
        incarnation: str,
        name: str,
        log: StartLog,
        held: HeldStarts,
        since: float,
        clock: Clock,
    ) -> None:
        """Take what this process itself knows."""
        now = clock.boottime()
        self.own[incarnation] = [
            TimedStart(one.account, one.at) for one in log.since(since)
        ]
        for other, starts in held.since(since).items():
            copy = [TimedStart(one.account, one.at) for one in starts]
            self._keep_longer(other, copy)
        self.heard_at[incarnation] = now
        self.readings[name] = ClockReading(name, clock.time() - now, 0.0)

    def _take_copy(self, held: StartsOf, at: float) -> None:
        self._keep_longer(held.incarnation, _timed(held.starts, at))

    def _keep_longer(self, incarnation: str, starts: Sequence[TimedStart]) -> None:
        if len(starts) >= len(self.copies.get(incarnation, ())):
            self.copies[incarnation] = starts

    def count(self, begin: float, end: float) -> dict[str, int]:
        """Return the starts of each account between two times of the steady clock."""
        counts: Counter[str] = Counter()
        for incarnation in {**self.own, **self.copies}:
            counts.update(self._accounts(incarnation, begin, end))
        return dict(counts)

    def _accounts(self, incarnation: str, begin: float, end: float) -> list[str]:
        """Return the account of each start of one process.

        What it has told itself after the end is all there is; else copies may be newer.
        """
        own, copy = (
            [one.account for one in starts if begin <= one.at < end]
            for starts in (
                self.own.get(incarnation, ()),
                self.copies.get(incarnation, ()),
            )
        )
        told_all = self.heard_at.get(incarnation, -math.inf) >= end
        return own if told_all or len(own) >= len(copy) else copy


def _timed(starts: Iterable[AgedStart], answered: float) -> list[TimedStart]:
    return [TimedStart(one.account, answered - one.age) for one in starts]


class StartCollector:
    """Asks entries for their starts, several at a time.

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
        """Ask `members` for the starts from a time on the steady clock on."""
        if not members:
            return
        with ThreadPoolExecutor(CALL_THREADS, "usage-collect") as executor:
            list(executor.map(lambda one: self._ask(one, since, collection), members))

    def _ask(self, member: Member, since: float, collection: Collection) -> None:
        sent = self._clock.boottime()
        told = self._client.collect(member.address, sent - since)
        received = self._clock.boottime()
        if told is not None:
            collection.take(member, told, sent, received)
