"""Feeds: rows read from the mirror of another process instead of the store.

A watch costs one call to the store for each change and each process. With a feed, one
process watches the store, and the others follow its mirror or the mirror of another
follower. Each answer states the age of the source's copy. A follower leaves a source
that does not answer, or whose copy is too old, for another source or for the store.
"""

import logging
import math
import zlib
from collections.abc import Callable, Iterable, Mapping, Sequence
from typing import TypeVar

import msgspec

from wigeonfront.clock import Clock
from wigeonfront.coordination.membership import Member
from wigeonfront.coordination.mirror import Mirror
from wigeonfront.coordination.rows import Changes, Listing, RowSource, Unavailable
from wigeonfront.http.client import Answer, NotSent, Unanswered
from wigeonfront.http.pools import Pools
from wigeonfront.http.raw import RawCall
from wigeonfront.observability.logs import event

logger = logging.getLogger(__name__)

FEED_PATH = "/rows"
OK = 200
JSON_HEADERS = (("Content-Type", "application/json"),)

CONNECT_SECONDS = 0.25
ANSWER_MARGIN_SECONDS = 0.4
"""Time that a follower waits for an answer in addition to the wait that it asked for.
It is a hundred times the latency between failure domains, and together with the wait
it stays below the time in which a change of the rows must be in force."""

AGE_SLACK_SECONDS = 0.7
"""Age of a source's copy, beyond the interval between two of the source's own calls,
above which the source counts as cut off from the store."""

REFRESH_SLACK_SECONDS = 0.2
"""Time for which a follower waits beyond a source's own interval, so that it hears of
the source's next answer from the store instead of asking the store itself."""

AVOID_SECONDS = 4.0
"""Time for which a source that failed is not asked again."""

FOLLOWERS_PER_ENTRY = 8
"""Number of entries of a failure domain that follow the same entry."""

REFUSED_AVOID_SECONDS = 1.0
"""Time for which a source that refused the connection is not asked again; a process
that restarts accepts connections by then."""

MAX_PEERS_ASKED = 2
"""Number of processes that are asked for how long they have followed the store. One
that does not answer delays the new rows by up to `ANSWER_MARGIN_SECONDS`."""

MAX_FALLBACKS_ASKED = 4
"""Number of fallbacks asked in a row; each may take `ANSWER_MARGIN_SECONDS`."""

STORE = "store"
"""Name of the store among the sources of rows."""

MAX_WAIT_SECONDS = 5.0
"""Longest wait for a change that one answer to a follower may take."""


class FeedListing(msgspec.Struct, frozen=True, tag="listing"):
    """All rows of a mirror."""

    listing: Listing
    age: float


class FeedChanges(msgspec.Struct, frozen=True, tag="changes"):
    """Changes after a revision.

    Attributes
    ----------
    changes : Changes
    age : float
        Time by which the rows may be behind the store, in seconds.
    followed : float
        Time for which the mirror has followed its rows without a break, in seconds.
    held : float
        Time for which the call waited for a change, in seconds.
    """

    changes: Changes
    age: float
    followed: float = 0.0
    held: float = 0.0


class FeedRefused(msgspec.Struct, frozen=True, tag="refused"):
    """The process has no mirror of the rows, or the mirror has not listed them yet."""

    reason: str


class FeedCall(msgspec.Struct, frozen=True):
    """A request to read a mirror.

    Attributes
    ----------
    prefix : str
        Prefix of the mirror.
    after : int
        Revision after which changes are requested; -1 requests all rows.
    wait : float
        Longest time to wait for a change, in seconds.
    """

    prefix: str
    after: int = -1
    wait: float = 0.0


FeedAnswer = FeedListing | FeedChanges | FeedRefused

Reply = Answer | NotSent | Unanswered

_Feed = TypeVar("_Feed", FeedListing, FeedChanges)
_Found = TypeVar("_Found", Listing, Changes)


class DirectRows:
    """The store itself as a `RowSource`, whose answers are never out of date.

    Parameters
    ----------
    store : RowSource
        Any object with the `list` and `watch` methods of a store.
    """

    def __init__(self, store: RowSource) -> None:
        self._store = store
        self.age = 0.0

    def followed_elsewhere(self, prefix: str, after: int) -> float:
        """Return 0, as no other process is asked."""
        return 0.0

    def list(self, prefix: str) -> Listing | Unavailable:
        """Read all rows below `prefix`."""
        return self._store.list(prefix)

    def watch(self, prefix: str, after: int, timeout: float) -> Changes | Unavailable:
        """Wait up to `timeout` seconds for changes after a revision."""
        return self._store.watch(prefix, after, timeout)


class FeedServer:
    """Answers followers from the mirrors of this process.

    Parameters
    ----------
    mirrors : callable
        Returns the mirrors by prefix.
    """

    def __init__(self, mirrors: Callable[[], Mapping[str, Mirror]]) -> None:
        self._mirrors = mirrors

    def answer(self, call: RawCall) -> None:
        """Answer one call over HTTP."""
        try:
            request = msgspec.json.decode(call.body(65_536), type=FeedCall)
        except (msgspec.DecodeError, UnicodeDecodeError) as error:
            event(logger, "bad_feed_call", reason=str(error)[:200])
            call.reply(400)
            return
        call.reply(OK, msgspec.json.encode(self._read(request)), JSON_HEADERS)

    def _read(self, request: FeedCall) -> FeedAnswer:
        mirror = self._mirrors().get(request.prefix)
        if mirror is None or not mirror.ready:
            return FeedRefused("no such mirror yet")
        if request.after < 0:
            age, state = mirror.age, mirror.state()
            listing = Listing(tuple(state.rows.values()), state.revision)
            return FeedListing(listing, age)
        wait = min(request.wait, MAX_WAIT_SECONDS)
        read = mirror.read_after(request.after, wait)
        return FeedChanges(read.changes, read.age, mirror.followed_seconds, read.held)


class FollowedRows:
    """A `RowSource` that prefers the mirrors of other processes to the store.

    Parameters
    ----------
    direct : RowSource
        The store.
    sources : callable
        Returns the addresses of the processes to follow, in the order of preference; it
        returns none for a process that watches the store itself.
    clock : Clock
    interval : float
        Time between two calls of a source to the store, in seconds.
    peers : callable, optional
        Returns the addresses of processes that follow the rows as well. After a failure
        of this source they are asked for how long they have followed the store.
    fallbacks : callable, optional
        Returns the addresses of processes to follow while neither the sources nor the
        store can be used.
    """

    def __init__(
        self,
        direct: RowSource,
        sources: Callable[[], Sequence[str]],
        clock: Clock,
        interval: float,
        peers: Callable[[], Sequence[str]] = tuple,
        fallbacks: Callable[[], Sequence[str]] = tuple,
    ) -> None:
        self._direct = direct
        self._sources = sources
        self._peers = peers
        self._fallbacks = fallbacks
        self._clock = clock
        self._max_age = interval + AGE_SLACK_SECONDS
        self._pools = Pools(CONNECT_SECONDS)
        self._avoided_until: dict[str, float] = {}
        self._current = ""
        # Monotonic time as of which the rows are known; no limit before the first.
        self._fresh_at = math.inf
        self.age = 0.0

    def list(self, prefix: str) -> Listing | Unavailable:
        """Read all rows below `prefix`."""
        answer = self._ask_any(
            FeedListing,
            lambda wait: FeedCall(prefix),
            lambda wait: self._direct.list(prefix),
            0.0,
        )
        return answer.listing if isinstance(answer, FeedListing) else answer

    def watch(self, prefix: str, after: int, timeout: float) -> Changes | Unavailable:
        """Wait up to `timeout` seconds for changes after a revision."""
        answer = self._ask_any(
            FeedChanges,
            lambda wait: FeedCall(prefix, after, wait),
            lambda wait: self._direct.watch(prefix, after, wait),
            timeout,
        )
        return answer.changes if isinstance(answer, FeedChanges) else answer

    def _ask_any(
        self,
        kind: type[_Feed],
        feed_call: Callable[[float], FeedCall],
        ask_store: Callable[[float], _Found | Unavailable],
        timeout: float,
    ) -> _Feed | _Found | Unavailable:
        """Return the first answer of the sources, the store and the fallbacks.

        While the store is usable, a source is asked only if that leaves time to ask the
        store before the rows are too old. Several sources that fail one after the other
        thus cost no more time than one.
        """
        found: _Found | Unavailable | None = None
        store_usable = self._is_usable(STORE)
        reserve = ANSWER_MARGIN_SECONDS if store_usable else 0.0
        answer = self._ask_feeds(self._sources(), kind, feed_call, timeout, reserve)
        if answer is not None:
            return answer
        if store_usable:
            found = self._ask_store(ask_store, timeout)
            if not isinstance(found, Unavailable):
                return found
        fallbacks = self._usable(self._fallbacks())[:MAX_FALLBACKS_ASKED]
        answer = self._ask_feeds(fallbacks, kind, feed_call, timeout)
        if answer is not None:
            return answer
        return self._ask_store(ask_store, timeout) if found is None else found

    def _ask_feeds(
        self,
        addresses: Sequence[str],
        kind: type[_Feed],
        feed_call: Callable[[float], FeedCall],
        timeout: float,
        reserve: float = 0.0,
    ) -> _Feed | None:
        """Return the first usable answer of a process, or ``None`` if there is none.

        Parameters
        ----------
        reserve : float
            Time that must be left before the rows are too old, in seconds; 0 for any.
        """
        patience = timeout + REFRESH_SLACK_SECONDS if timeout else 0.0
        for address in self._usable(addresses):
            left = self._seconds_until_too_old() - reserve
            if reserve and left < 0.0:
                return None
            wait = max(0.0, min(patience, left))
            answer = self._ask(address, feed_call(wait))
            if isinstance(answer, kind):
                return answer
            # The wait is used up, so the next process is asked without one.
            patience = 0.0
        return None

    def _ask_store(
        self, ask: Callable[[float], _Found | Unavailable], timeout: float
    ) -> _Found | Unavailable:
        """Ask the store; if it fails, it is asked last for `AVOID_SECONDS`."""
        left = max(0.0, self._seconds_until_too_old())
        # A store that failed shows without a wait whether it has returned.
        wait = 0.0 if STORE in self._avoided_until else min(timeout, left)
        asked_at = self._clock.monotonic()
        found = ask(wait)
        if isinstance(found, Unavailable):
            self._avoided_until[STORE] = self._clock.monotonic() + AVOID_SECONDS
        else:
            self._avoided_until.pop(STORE, None)
            now = self._clock.monotonic()
            self._note_source(STORE)
            self._note_known(known_until(found, asked_at, wait, now))
        return found

    def _seconds_until_too_old(self) -> float:
        """Return the time until the rows are too old; negative if they are."""
        return self._fresh_at + self._max_age - self._clock.monotonic()

    def followed_elsewhere(self, prefix: str, after: int) -> float:
        """Return the longest time in seconds for which a peer has followed the rows."""
        call = FeedCall(prefix, after)
        addresses = self._peers()[:MAX_PEERS_ASKED]
        return max(
            (self._followed_by(address, call) for address in addresses), default=0.0
        )

    def _followed_by(self, address: str, call: FeedCall) -> float:
        """Return for how many seconds a peer has followed the rows; 0 if unknown."""
        answer = _feed_answer(self._post(address, call))
        return answer.followed if isinstance(answer, FeedChanges) else 0.0

    def _usable(self, addresses: Iterable[str]) -> Sequence[str]:
        return [address for address in addresses if self._is_usable(address)]

    def _is_usable(self, source: str) -> bool:
        """Return whether a source, or the store, has not failed recently."""
        avoided_until = self._avoided_until.get(source, -math.inf)
        return avoided_until <= self._clock.monotonic()

    def _note_known(self, known_at: float | None) -> None:
        """Record the time as of which the rows are known by an answer, if by any."""
        if known_at is None:
            return
        self.age = self._clock.monotonic() - known_at
        known = math.isfinite(self._fresh_at)
        self._fresh_at = max(self._fresh_at, known_at) if known else known_at

    def _note_source(self, source: str) -> None:
        if source != self._current:
            event(logger, "rows_followed", source=source)
            self._current = source

    def _ask(self, address: str, call: FeedCall) -> FeedAnswer | None:
        """Return a source's answer, or ``None`` where the source can't be used."""
        asked_at = self._clock.monotonic()
        reply = self._post(address, call)
        reason, pause = "no answer", AVOID_SECONDS
        if isinstance(reply, NotSent) and reply.refused:
            reason, pause = "refused", REFUSED_AVOID_SECONDS
        elif isinstance(reply, Answer) and reply.status == OK:
            answer = _feed_answer(reply)
            if isinstance(answer, FeedRefused):
                reason = answer.reason
            elif answer is not None and answer.age <= self._max_age:
                self._note_source(address)
                self._note_known(told_until(answer, asked_at))
                return answer
            else:
                reason = "too old"
        self._avoided_until[address] = self._clock.monotonic() + pause
        event(
            logger,
            "source_lost",
            source=address,
            prefix=call.prefix,
            reason=reason,
            seconds=self._clock.monotonic() - asked_at,
        )
        return None

    def _post(self, address: str, call: FeedCall) -> Reply:
        body = msgspec.json.encode(call)
        timeout = call.wait + ANSWER_MARGIN_SECONDS
        return self._pools.post(address, FEED_PATH, body, timeout)


def known_until(
    found: Listing | Changes, asked_at: float, wait: float, now: float
) -> float | None:
    """Return the time as of which the rows are known by an answer of the store.

    A listing proves the time of its request, and a watch without changes its whole
    wait. An answer with changes doesn't show when it was sent; it counts as just sent.
    Without the history, the rows are not known.

    Parameters
    ----------
    asked_at, now : float
        Monotonic times of the call and of its answer.
    wait : float
        Time that a watch was to wait, in seconds.
    """
    if isinstance(found, Listing):
        return asked_at
    if found.compacted:
        return None
    return now if found.changes else min(now, asked_at + wait)


def told_until(answer: FeedListing | FeedChanges, asked_at: float) -> float | None:
    """Return the time as of which the rows are known by the answer of a source.

    The answer may have been on its way for any time that the source did not hold the
    call.
    """
    if isinstance(answer, FeedListing):
        return asked_at - answer.age
    if answer.changes.compacted:
        return None
    return asked_at + answer.held - answer.age


def feed_sources(
    own_member: Member, members: Iterable[Member], seeds: Sequence[str]
) -> list[str]:
    """Return the addresses that an entry follows, in the order of preference.

    A seed follows the seeds before it, and the first seed watches the store. The other
    entries of each failure domain form a tree whose root follows the seeds. Therefore
    neither the number of followers of a process nor the traffic between failure domains
    grows with the deployment.

    Parameters
    ----------
    own_member : Member
        The entry itself.
    members : iterable of Member
        Entries that are known to be live.
    seeds : sequence of str
        Addresses that each process gets at its start.

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
    if own_member.address in seeds:
        return list(seeds[: seeds.index(own_member.address)])
    rotated_seeds = rotated(seeds, own_member.address)
    tree = sorted(
        (member.name, member.address)
        for member in members
        if member.failure_domain == own_member.failure_domain
        and not member.leaving
        and member.address not in seeds
    )
    own_node = (own_member.name, own_member.address)
    index = tree.index(own_node) if own_node in tree else 0
    parent = [tree[(index - 1) // FOLLOWERS_PER_ENTRY][1]] if index else []
    return [*parent, *rotated_seeds]


def rotated(addresses: Sequence[str], key: str) -> list[str]:
    """Return `addresses` rotated by an offset from `key`, which spreads followers."""
    if not addresses:
        return []
    start = zlib.crc32(key.encode()) % len(addresses)
    return [*addresses[start:], *addresses[:start]]


def _feed_answer(reply: Reply) -> FeedAnswer | None:
    if not isinstance(reply, Answer) or reply.status != OK:
        return None
    try:
        return msgspec.json.decode(reply.body, type=FeedAnswer)
    except (msgspec.DecodeError, UnicodeDecodeError):
        return None
