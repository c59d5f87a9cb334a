"""Rows from another process's mirror, so that few processes watch the store.

A watch costs a call to the store for each change and each process. With a feed, one
process watches the store and the others wait at its mirror, or at the mirror of one
that waits there. Each answer says how old its source's knowledge is; a source that is
silent, or knows too little of the present, is left for another one or for the store
itself.
"""

import logging
import threading
import zlib
from collections.abc import Callable, Iterable, Mapping, Sequence

import msgspec

from wigeonfront.clock import Clock
from wigeonfront.coordination.membership import Member
from wigeonfront.coordination.mirror import Mirror
from wigeonfront.coordination.rows import Changes, Listing, RowSource, Unavailable
from wigeonfront.http.client import Answer, NotSent
from wigeonfront.http.pools import Pools
from wigeonfront.http.raw import RawCall
from wigeonfront.observability.logs import event

logger = logging.getLogger(__name__)

FEED_PATH = "/rows"
OK = 200
JSON_HEADERS = (("Content-Type", "application/json"),)

CONNECT_SECONDS = 0.25
ANSWER_SECONDS = 0.4
"""How much longer than it asked to a follower waits: a hundred times the way between
failure domains, and with the wait below the bounds of what is followed."""

AGE_SLACK_SECONDS = 0.7
"""How much older than the time between two calls of a source its knowledge may be
before the source counts as cut off."""

AVOID_SECONDS = 4.0
"""How long a source that failed is not asked again."""

FOLLOWERS_PER_ENTRY = 8
"""Entries of a failure domain that follow one entry."""

RESTART_SECONDS = 1.0
"""The same for one that refused the connection: a process that starts again is back by
then."""

MAX_WAIT_SECONDS = 5.0


class FeedListing(msgspec.Struct, frozen=True, tag="listing"):
    """All rows of a mirror."""

    listing: Listing
    age: float


class FeedChanges(msgspec.Struct, frozen=True, tag="changes"):
    """Changes behind a revision."""

    changes: Changes
    age: float


class FeedRefused(msgspec.Struct, frozen=True, tag="refused"):
    """The mirror has nothing to tell."""

    reason: str


class FeedCall(msgspec.Struct, frozen=True):
    """A reading of a mirror.

    Attributes
    ----------
    prefix : str
        Of the mirror.
    after : int
        Revision behind which changes are asked for; -1 for all rows.
    wait : float
        Seconds to wait for a change.
    """

    prefix: str
    after: int = -1
    wait: float = 0.0


FeedAnswer = FeedListing | FeedChanges | FeedRefused


class DirectRows:
    """The store itself as a `RowSource`.

    Parameters
    ----------
    store : RowSource
        Anything that lists and watches.
    """

    def __init__(self, store: RowSource) -> None:
        self._store = store
        self.age = 0.0

    def list(self, prefix: str) -> Listing | Unavailable:
        """Read all rows below `prefix`."""
        return self._store.list(prefix)

    def watch(self, prefix: str, after: int, timeout: float) -> Changes | Unavailable:
        """Wait up to `timeout` seconds for changes behind a revision."""
        return self._store.watch(prefix, after, timeout)


class FeedServer:
    """Answers followers from this process's mirrors.

    Parameters
    ----------
    mirrors : callable
        Returns the mirrors by their prefix.
    """

    def __init__(self, mirrors: Callable[[], Mapping[str, Mirror]]) -> None:
        self._mirrors = mirrors

    def answer(self, call: RawCall) -> None:
        """Answer one call over HTTP."""
        try:
            asked = msgspec.json.decode(call.body(65_536), type=FeedCall)
        except (msgspec.DecodeError, UnicodeDecodeError) as error:
            event(logger, "bad_feed_call", reason=str(error)[:200])
            call.reply(400)
            return
        call.reply(OK, msgspec.json.encode(self._read(asked)), JSON_HEADERS)

    def _read(self, asked: FeedCall) -> FeedAnswer:
        mirror = self._mirrors().get(asked.prefix)
        if mirror is None or not mirror.ready:
            return FeedRefused("no such mirror yet")
        if asked.after < 0:
            state = mirror.state()
            listing = Listing(tuple(state.rows.values()), state.revision)
            return FeedListing(listing, mirror.age)
        wait = min(asked.wait, MAX_WAIT_SECONDS)
        return FeedChanges(mirror.changes_after(asked.after, wait), mirror.age)


class FollowedRows:
    """A `RowSource` that prefers other processes' mirrors to the store.

    Parameters
    ----------
    direct : RowSource
        The store.
    sources : callable
        Returns the addresses of processes to follow, the best first; none for one
        that watches the store itself.
    clock : Clock
    interval : float
        Seconds between two calls of a source to the store.
    """

    def __init__(
        self,
        direct: RowSource,
        sources: Callable[[], Sequence[str]],
        clock: Clock,
        interval: float,
    ) -> None:
        self._direct = direct
        self._sources = sources
        self._clock = clock
        self._max_age = interval + AGE_SLACK_SECONDS
        self._pools = Pools(CONNECT_SECONDS)
        self._avoided: dict[str, float] = {}
        self._lock = threading.Lock()
        self._current = ""
        self.age = 0.0

    def list(self, prefix: str) -> Listing | Unavailable:
        """Read all rows below `prefix`."""
        for address in self._usable():
            answer = self._ask(address, FeedCall(prefix))
            if isinstance(answer, FeedListing):
                self._follow(address, answer.age)
                return answer.listing
        self._follow("", 0.0)
        return self._direct.list(prefix)

    def watch(self, prefix: str, after: int, timeout: float) -> Changes | Unavailable:
        """Wait up to `timeout` seconds for changes behind a revision."""
        wait = timeout
        for address in self._usable():
            answer = self._ask(address, FeedCall(prefix, after, wait))
            if isinstance(answer, FeedChanges):
                self._follow(address, answer.age)
                return answer.changes
            # The time is spent: the next one is only asked what it knows now.
            wait = 0.0
        self._follow("", 0.0)
        return self._direct.watch(prefix, after, timeout)

    def _usable(self) -> Sequence[str]:
        now = self._clock.monotonic()
        addresses = self._sources()
        return [one for one in addresses if self._avoided.get(one, 0.0) <= now]

    def _follow(self, address: str, age: float) -> None:
        self.age = age
        if address != self._current:
            event(logger, "rows_followed", source=address or "store")
            self._current = address

    def _ask(self, address: str, call: FeedCall) -> FeedAnswer | None:
        """Return a source's answer; ``None`` for one that is not to be used."""
        body = msgspec.json.encode(call)
        seconds = call.wait + ANSWER_SECONDS
        reply = self._pools.post(address, FEED_PATH, body, seconds)
        reason, pause = "no answer", AVOID_SECONDS
        if isinstance(reply, NotSent) and reply.refused:
            reason, pause = "refused", RESTART_SECONDS
        elif isinstance(reply, Answer) and reply.status == OK:
            answer = _decode(reply.body)
            if isinstance(answer, FeedRefused):
                reason = answer.reason
            elif answer is not None and answer.age <= self._max_age:
                return answer
            else:
                reason = "too old"
        self._avoided[address] = self._clock.monotonic() + pause
        event(logger, "source_lost", source=address, prefix=call.prefix, reason=reason)
        return None


def feed_sources(
    me: Member, members: Iterable[Member], seeds: Sequence[str]
) -> list[str]:
    """Return the addresses that an entry follows, the best first.

    A seed follows those before it, and the first one the store. The others form a tree
    in each failure domain, whose head follows the seeds: so neither the followers of a
    process nor the bytes between failure domains grow with the deployment.

    Parameters
    ----------
    me : Member
    members : iterable of Member
        Entries that are known to live.
    seeds : sequence of str
        Addresses that all processes are told at their start.

    Examples
    --------
    >>> members = [Member(f"n{n}", f"n{n}.1", f"10.0.0.{n}:1") for n in range(5)]
    >>> feed_sources(members[0], members, ["10.0.0.0:1", "10.0.0.1:1"])
    []
    >>> feed_sources(members[1], members, ["10.0.0.0:1", "10.0.0.1:1"])
    ['10.0.0.0:1']
    >>> feed_sources(members[4], members, ["10.0.0.0:1", "10.0.0.1:1"])[0]
    '10.0.0.2:1'
    """
    if me.address in seeds:
        return list(seeds[: seeds.index(me.address)])
    others = rotated(seeds, me.address)
    tree = sorted(
        (one.name, one.address)
        for one in members
        if one.failure_domain == me.failure_domain
        and not one.leaving
        and one.address not in seeds
    )
    mine = (me.name, me.address)
    place = tree.index(mine) if mine in tree else 0
    parent = [tree[(place - 1) // FOLLOWERS_PER_ENTRY][1]] if place else []
    return [*parent, *others]


def rotated(addresses: Sequence[str], key: str) -> list[str]:
    """Return `addresses`, begun at a place that `key` decides, to spread followers."""
    if not addresses:
        return []
    start = zlib.crc32(key.encode()) % len(addresses)
    return [*addresses[start:], *addresses[:start]]


def _decode(body: bytes) -> FeedAnswer | None:
    try:
        return msgspec.json.decode(body, type=FeedAnswer)
    except (msgspec.DecodeError, UnicodeDecodeError):
        return None
