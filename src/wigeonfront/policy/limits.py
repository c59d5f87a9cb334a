"""Limits of catalogue entries, enforced by one entry process within its share.

`LimitEnforcer` is thread-safe. How the shares of the entries are agreed on is the
matter of `wigeonfront.coordination`; here a granted share is kept exactly, until
it runs out and a smaller fallback takes its place.
"""

import threading
from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Any

from wigeonfront.clock import Clock
from wigeonfront.outcomes import NotRun

BURST_SECONDS = 1.0
"""Seconds of a rate that may be used at once."""

SLOT_RETRY_AFTER = 0.5
"""Seconds to come back after, when all slots of a concurrency limit are taken."""


@dataclass(frozen=True, slots=True)
class Grant:
    """What this entry may use of one catalogue entry's limits.

    Attributes
    ----------
    rate : float or None
        Requests (or samples) a second; ``None`` for no limit.
    concurrency : int or None
        Requests in flight; ``None`` for no limit.
    until : float
        Monotonic time at which the grant ends.
    fallback : Grant or None
        In force afterwards; ``None`` refuses everything.
    """

    rate: float | None = None
    concurrency: int | None = None
    until: float = float("inf")
    fallback: "Grant | None" = None


@dataclass(frozen=True, slots=True)
class Admitted:
    """Within the limits; `finished` must follow."""

    figures: Mapping[str, Any] = field(default_factory=dict)
    reason: str = "within_limits"


class TokenBucket:
    """A rate limit with a burst. Not thread-safe.

    Parameters
    ----------
    rate : float
        Tokens a second.
    burst : float
        Most tokens kept.
    now : float
        Monotonic time; the bucket starts full.
    """

    def __init__(self, rate: float, burst: float, now: float) -> None:
        self._rate = rate
        self._burst = burst
        self._tokens = burst
        self._updated = now

    @property
    def tokens(self) -> float:
        """Tokens at the last update."""
        return self._tokens

    def set_rate(self, rate: float, burst: float, now: float) -> None:
        """Change the rate; tokens earned so far are kept, up to the new burst."""
        self._refill(now)
        self._rate = rate
        self._burst = burst
        self._tokens = min(self._tokens, burst)

    def wait(self, cost: float, now: float) -> float:
        """Return seconds until `cost` tokens are there; 0 for now.

        A cost above the burst counts as the burst, so that it is never refused for
        ever; `take` then leaves a debt.
        """
        self._refill(now)
        missing = min(cost, self._burst) - self._tokens
        if missing <= 0:
            return 0.0
        return missing / self._rate if self._rate > 0 else float("inf")

    def take(self, cost: float) -> None:
        """Take `cost` tokens; the balance may go below zero."""
        self._tokens -= cost

    def _refill(self, now: float) -> None:
        earned = (now - self._updated) * self._rate
        self._tokens = min(self._burst, self._tokens + earned)
        self._updated = now


@dataclass(slots=True)
class _Account:
    grant: Grant
    bucket: TokenBucket | None = None
    in_flight: int = 0


class LimitEnforcer:
    """Rates and requests in flight of all catalogue entries at this process.

    Parameters
    ----------
    clock : Clock
        Source of monotonic time.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._accounts: dict[str, _Account] = {}
        self._lock = threading.Lock()

    def set_grant(self, catalogue_entry: str, grant: Grant) -> None:
        """Put `grant` in force at once; requests in flight go on."""
        with self._lock:
            account = self._accounts.setdefault(catalogue_entry, _Account(grant))
            self._apply(account, grant)

    def forget(self, catalogue_entry: str) -> None:
        """Drop a catalogue entry; it admits nothing from now on."""
        with self._lock:
            self._accounts.pop(catalogue_entry, None)

    def admit(self, catalogue_entry: str, cost: int = 1) -> Admitted | NotRun:
        """Count `cost` requests in, or refuse them all.

        Parameters
        ----------
        catalogue_entry : str
            Who asks.
        cost : int
            Requests, or samples of a Lot.
        """
        with self._lock:
            account = self._accounts.get(catalogue_entry)
            if account is None:
                return NotRun("no_such_catalogue_entry", BURST_SECONDS)
            grant = self._current_grant(account)
            if grant is None:
                return NotRun("no_grant", BURST_SECONDS)
            refusal = self._refusal(account, grant, cost)
            if refusal is not None:
                return refusal
            account.in_flight += cost
            if account.bucket is not None:
                account.bucket.take(cost)
            return Admitted(self._figures(account, grant, cost))

    def finished(self, catalogue_entry: str, cost: int = 1) -> None:
        """Count `cost` requests out."""
        with self._lock:
            account = self._accounts.get(catalogue_entry)
            if account is not None:
                account.in_flight = max(0, account.in_flight - cost)

    def in_flight(self, catalogue_entry: str) -> int:
        """Return the requests in flight."""
        with self._lock:
            account = self._accounts.get(catalogue_entry)
            return account.in_flight if account else 0

    def _apply(self, account: _Account, grant: Grant) -> None:
        account.grant = grant
        now = self._clock.monotonic()
        if grant.rate is None:
            account.bucket = None
            return
        burst = max(1.0, grant.rate * BURST_SECONDS)
        if account.bucket is None:
            account.bucket = TokenBucket(grant.rate, burst, now)
        else:
            account.bucket.set_rate(grant.rate, burst, now)

    def _current_grant(self, account: _Account) -> Grant | None:
        while self._clock.monotonic() >= account.grant.until:
            if account.grant.fallback is None:
                return None
            self._apply(account, account.grant.fallback)
        return account.grant

    def _refusal(self, account: _Account, grant: Grant, cost: int) -> NotRun | None:
        full = (
            grant.concurrency is not None
            and account.in_flight + cost > grant.concurrency
        )
        if full:
            return NotRun("concurrency_limit", SLOT_RETRY_AFTER)
        if account.bucket is None:
            return None
        wait = account.bucket.wait(cost, self._clock.monotonic())
        return NotRun("rate_limit", wait) if wait > 0 else None

    def _figures(self, account: _Account, grant: Grant, cost: int) -> dict[str, Any]:
        return {
            "cost": cost,
            "in_flight": account.in_flight,
            "concurrency": grant.concurrency,
            "rate": grant.rate,
        }


def share_to_concurrency(share: float, capacity: int) -> int:
    """Return how many requests in flight a share of a service's capacity is.

    Parameters
    ----------
    share : float
        Between 0 and 1.
    capacity : int
        Slots of all serving targets of the service.
    """
    return max(1, int(share * capacity)) if share > 0 else 0
