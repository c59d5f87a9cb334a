"""One limit shared by many entries, without asking anyone for each request.

The limit's home, an entry found by rendezvous over the members, grants each member
a fraction of the limit for a term. Fractions, not amounts, are granted, so that an
edited limit holds everywhere as soon as it is known. The fractions never add up to
more than one:

- The home counts for each member the most that it may hold.
- A home is of one generation, the revision of the member list it was found by. It
  grants only once every member on that list has committed to the generation, and
  said after that what it holds. A member that has committed to a generation takes
  nothing from homes of lower ones. So a new home need not trust its clock against
  an old home that doesn't know of it.
- A member off the list has fenced itself and uses nothing.
- Without a home a member's last fraction runs out at the end of its term, to an
  equal part, or to less where it had less.

Examples
--------
>>> from wigeonfront.clock import ManualClock
>>> clock = ManualClock()
>>> home = AllowanceHome(["a", "b"], generation=7, clock=clock)
>>> shares = [HeldShare(name, incarnation=1, clock=clock) for name in "ab"]
>>> for _ in range(3):
...     for share in shares:
...         done = share.accept(home.handle(share.request(want=0.5)))
>>> [share.fraction for share in shares]
[0.5, 0.5]
>>> limiter = RateLimiter(shares[0], limit=10.0, clock=clock)
>>> clock.advance(1.0)
>>> [type(limiter.take()).__name__ for _ in range(6)]
['Allowed', 'Allowed', 'Allowed', 'Allowed', 'Allowed', 'Exhausted']
"""

import heapq
import math
import threading
from collections.abc import Iterable
from dataclasses import dataclass

from wigeonfront.clock import Clock

TERM = 10.0
LEAST_SHARE = 0.1
LEVEL_AGE = 0.5
BURST = 1.0
ROUNDING = 1e-9


@dataclass(frozen=True, slots=True)
class ShareRequest:
    """A member tells what it holds and asks for more, less or the same.

    Attributes
    ----------
    member : str
    incarnation : int
        Of the member's process; a later one is larger.
    sequence : int
        Rises with each request of the incarnation.
    committed : int
        The generation to which the member has committed, 0 for none.
    want : float
        Fraction of the limit that it could use.
    held : float
        Fraction that it may be using now.
    residual : float
        Fraction that it may be using after `remaining`.
    remaining : float
        Seconds until its fraction runs out.
    """

    member: str
    incarnation: int
    sequence: int
    committed: int
    want: float
    held: float
    residual: float
    remaining: float


@dataclass(frozen=True, slots=True)
class ShareReply:
    """A home's answer.

    Attributes
    ----------
    generation : int
        To which the member commits by reading this.
    incarnation, sequence : int
        Of the request.
    fraction : float or None
        ``None``: nothing is granted yet, what is held stays.
    residual : float
        What remains of the fraction after the term.
    term : float
        Seconds, counted from the request.
    """

    generation: int
    incarnation: int
    sequence: int
    fraction: float | None = None
    residual: float = 0.0
    term: float = 0.0


@dataclass(frozen=True, slots=True)
class NotHome:
    """The member has committed to a later home, or this one doesn't know it."""


@dataclass(frozen=True, slots=True)
class Allowed:
    """The request may go on."""


@dataclass(frozen=True, slots=True)
class Exhausted:
    """The member's share is used up for now."""

    retry_after: float


class HeldShare:
    """A member's fraction of one limit; may be called from any thread.

    Parameters
    ----------
    member : str
    incarnation : int
        Of this process, larger than those before it, such as the revision of its
        membership row.
    clock : Clock
    lapses : bool
        Whether use stops when the fraction runs out, as with a rate. Requests that
        are running go on, so for concurrency it is ``False``.
    """

    def __init__(
        self, member: str, incarnation: int, clock: Clock, lapses: bool = True
    ) -> None:
        self._member = member
        self._incarnation = incarnation
        self._clock = clock
        self._lapses = lapses
        self._lock = threading.Lock()
        self._sequence = 0
        self._asked_at = 0.0
        self._committed = 0
        self._fraction = 0.0
        self._residual = 0.0
        self._expires = 0.0
        self._lowest = 0.0

    @property
    def fraction(self) -> float:
        """The fraction of the limit that may be used now."""
        if self._clock.monotonic() < self._expires:
            return self._fraction
        return self._residual

    @property
    def committed(self) -> int:
        """The generation of home to which the member has committed."""
        return self._committed

    def request(self, want: float, in_use: float = 0.0) -> ShareRequest:
        """Return the next request for the home.

        Parameters
        ----------
        want : float
            Fraction of the limit that could be used.
        in_use : float
            Fraction taken up by running requests; 0 for a rate.
        """
        with self._lock:
            now = self._clock.monotonic()
            self._sequence += 1
            self._asked_at = now
            return ShareRequest(
                member=self._member,
                incarnation=self._incarnation,
                sequence=self._sequence,
                committed=self._committed,
                want=want,
                held=max(self.fraction, in_use),
                residual=max(min(self.fraction, self._residual), in_use),
                remaining=max(0.0, self._expires - now),
            )

    def accept(self, reply: ShareReply | NotHome) -> bool:
        """Take in a reply; return whether to ask again at once.

        The home waits for the next request after a commitment and after a fraction
        was lowered.
        """
        with self._lock:
            if isinstance(reply, NotHome) or reply.generation < self._committed:
                return False
            newly_committed = reply.generation > self._committed
            self._committed = reply.generation
            before = self.fraction
            asked = (self._incarnation, self._sequence)
            if (reply.incarnation, reply.sequence) == asked:
                self._apply(reply)
            return newly_committed or self.fraction < before

    def take_lowest(self) -> float:
        """Return the lowest fraction that was held since the last such call."""
        with self._lock:
            present = self.fraction
            lowest = min(self._lowest, present)
            self._lowest = present
            return lowest

    def _apply(self, reply: ShareReply) -> None:
        if reply.fraction is None:
            return
        self._lowest = min(self._lowest, self.fraction, reply.fraction)
        self._fraction = reply.fraction
        self._residual = reply.residual
        self._expires = self._asked_at + reply.term


@dataclass(slots=True)
class _Account:
    """The most that one member may hold: `bound` until `expires`, then `residual`."""

    order: tuple[int, int] = (-1, 0)
    reported: bool = False
    want: float = 0.0
    bound: float = 0.0
    residual: float = 0.0
    expires: float = math.inf


class AllowanceHome:
    """The home of one limit for one generation; may be called from any thread.

    An entry makes a new one whenever its list of members changes and names it the
    home, and drops it when it is the home no longer.

    Parameters
    ----------
    members : iterable of str
        All members, the home itself among them.
    generation : int
        Revision of the service at which `members` was listed.
    clock : Clock
    term : float
        Seconds for which a fraction is granted.
    lapses : bool
        As for the members' `HeldShare`.
    """

    def __init__(
        self,
        members: Iterable[str],
        generation: int,
        clock: Clock,
        term: float = TERM,
        lapses: bool = True,
    ) -> None:
        self._generation = generation
        self._clock = clock
        self._term = term
        self._lapses = lapses
        self._lock = threading.Lock()
        self._accounts = {name: _Account() for name in members}
        self._unreported = len(self._accounts)
        self._total = 0.0
        self._expiries: list[tuple[float, str]] = []
        self._level = 0.0
        self._level_until = 0.0

    @property
    def ready(self) -> bool:
        """Whether all members have reported, so that fractions are granted."""
        return self._unreported == 0

    def handle(self, request: ShareRequest) -> ShareReply | NotHome:
        """Answer one request."""
        with self._lock:
            account = self._accounts.get(request.member)
            if account is None or request.committed > self._generation:
                return NotHome()
            nothing = ShareReply(
                self._generation, request.incarnation, request.sequence
            )
            order = (request.incarnation, request.sequence)
            if request.committed < self._generation or order <= account.order:
                return nothing
            self._lapse()
            self._report(account, request)
            return self._grant(account, request) if self.ready else nothing

    def _report(self, account: _Account, request: ShareRequest) -> None:
        """Replace what was counted by what the member says it holds."""
        if not account.reported:
            self._unreported -= 1
            account.reported = True
        account.order = (request.incarnation, request.sequence)
        account.want = request.want
        remaining = request.remaining if self._lapses else math.inf
        self._count(request.member, request.held, request.residual, remaining)

    def _grant(self, account: _Account, request: ShareRequest) -> ShareReply:
        free = 1.0 - (self._total - account.bound)
        fraction = max(0.0, min(self._fair(account.want), free))
        residual = min(fraction, 1.0 / len(self._accounts))
        self._count(
            request.member,
            max(account.bound, fraction),
            max(account.residual, residual),
            max(request.remaining, self._term) if self._lapses else math.inf,
        )
        return ShareReply(
            self._generation,
            request.incarnation,
            request.sequence,
            fraction,
            residual,
            self._term,
        )

    def _count(
        self, member: str, bound: float, residual: float, remaining: float
    ) -> None:
        account = self._accounts[member]
        self._total += bound - account.bound
        account.bound = bound
        account.residual = min(bound, residual)
        account.expires = self._clock.monotonic() + remaining
        if remaining < math.inf:
            heapq.heappush(self._expiries, (account.expires, member))

    def _lapse(self) -> None:
        """Lower the bounds of members whose terms have passed."""
        now = self._clock.monotonic()
        while self._expiries and self._expiries[0][0] <= now:
            expires, member = heapq.heappop(self._expiries)
            account = self._accounts[member]
            if account.expires == expires:
                self._total += account.residual - account.bound
                account.bound = account.residual
        if not self._expiries:
            self._total = sum(one.bound for one in self._accounts.values())

    def _fair(self, want: float) -> float:
        """Return a member's max-min fair fraction, at least a small one."""
        now = self._clock.monotonic()
        if now >= self._level_until:
            self._level = fair_level([one.want for one in self._accounts.values()])
            self._level_until = now + LEVEL_AGE
        least = LEAST_SHARE / len(self._accounts)
        return max(min(want, self._level), least)


def fair_level(wants: list[float], total: float = 1.0) -> float:
    """Return the level at which wants are cut so that they add up to `total`.

    Examples
    --------
    >>> fair_level([0.1, 0.6, 0.9])
    0.45
    >>> fair_level([0.1, 0.2])
    1.0
    """
    left = total
    ordered = sorted(wants)
    for position, want in enumerate(ordered):
        level = left / (len(ordered) - position)
        if want >= level:
            return level
        left -= want
    return total


class RateLimiter:
    """A token bucket filled at a member's share of a rate.

    Over any time the members together take at most the rate, and once the bursts
    and one request each.

    Parameters
    ----------
    share : HeldShare
    limit : float
        Requests, or other units, a second for all members.
    clock : Clock
    burst : float
        Seconds for which an unused share is saved.
    """

    def __init__(
        self, share: HeldShare, limit: float, clock: Clock, burst: float = BURST
    ) -> None:
        self._share = share
        self._limit = limit
        self._clock = clock
        self._burst = burst
        self._lock = threading.Lock()
        self._tokens = 0.0
        self._filled_at = clock.monotonic()
        share.take_lowest()

    def set_limit(self, limit: float) -> None:
        """Apply an edited limit at once."""
        with self._lock:
            self._fill()
            self._limit = limit

    def take(self, cost: float = 1.0) -> Allowed | Exhausted:
        """Take `cost` units, if the bucket has them."""
        with self._lock:
            self._fill()
            rate = self._limit * self._share.fraction
            self._tokens = min(self._tokens, max(cost, rate * self._burst))
            if self._tokens + ROUNDING >= cost:
                self._tokens -= cost
                return Allowed()
            missing = cost - self._tokens
            return Exhausted(min(TERM, missing / rate) if rate > 0 else TERM)

    def _fill(self) -> None:
        """Add tokens at the lowest rate held in the time passed."""
        now = self._clock.monotonic()
        rate = self._limit * self._share.take_lowest()
        self._tokens += (now - self._filled_at) * rate
        self._filled_at = now


class ConcurrencyLimiter:
    """Places for requests running at once, a member's share of them.

    Parameters
    ----------
    share : HeldShare
        Made with ``lapses=False``.
    limit : int
        Places for all members.
    """

    def __init__(self, share: HeldShare, limit: int) -> None:
        self._share = share
        self._limit = limit
        self._lock = threading.Lock()
        self._running = 0

    @property
    def in_use(self) -> float:
        """Fraction of the limit that is running, for `HeldShare.request`."""
        return self._running / self._limit if self._limit > 0 else 0.0

    def set_limit(self, limit: int) -> None:
        """Apply an edited limit at once; what runs goes on."""
        with self._lock:
            self._limit = limit

    def acquire(self) -> Allowed | Exhausted:
        """Take a place, to be given back by `release`."""
        with self._lock:
            places = math.floor(self._limit * self._share.fraction + ROUNDING)
            if self._running >= places:
                return Exhausted(1.0)
            self._running += 1
            return Allowed()

    def release(self) -> None:
        """Give a place back."""
        with self._lock:
            assert self._running > 0, "release without acquire"
            self._running -= 1
