"""Follows the rows below a prefix of the key-value service.

A watch may miss changes or go silent, so that each one is short, and all rows are
listed anew at times. After an outage the watch goes on from the last
revision, and only a compacted service needs a listing. Every pause is jittered, so
that many entries don't return together.
"""

import logging
import random
import threading
from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from wigeonfront.clock import Clock
from wigeonfront.logs import event
from wigeonfront.platform import Changes, KeyValue, Listing, Unavailable

logger = logging.getLogger(__name__)


@dataclass(frozen=True, slots=True)
class WatchTiming:
    """Times in seconds.

    Attributes
    ----------
    watch : float
        Longest wait of one watch; a silent one is noticed soon afterwards.
    listing : float
        Mean time between two listings.
    rest : float
        Mean pause after changes, so that many of them are told in one answer.
    first_pause, longest_pause : float
        Ceiling of the pause after the first failure, and of any.
    """

    watch: float = 5.0
    listing: float = 90.0
    rest: float = 0.25
    first_pause: float = 0.5
    longest_pause: float = 8.0


class FollowedRows(Protocol):
    """What is told of the rows; a lower revision of a row must be ignored."""

    @property
    def revision(self) -> int:
        """Revision up to which all writes are known."""

    @property
    def loaded(self) -> bool:
        """Whether all rows were listed at least once."""

    def take_listing(self, listing: Listing) -> None:
        """Take all rows; those not listed are deleted."""

    def take_changes(self, changes: Changes) -> None:
        """Take what a watch saw."""


class PrefixWatch:
    """A task that follows one prefix; `step` makes one call to the service.

    Parameters
    ----------
    prefix : str
    rows : FollowedRows
    key_value : KeyValue
    clock : Clock
    generator : random.Random
        Source of jitter.
    timing : WatchTiming
    delay : callable
        Returns the seconds to wait before the first call.
    """

    def __init__(
        self,
        prefix: str,
        rows: FollowedRows,
        key_value: KeyValue,
        clock: Clock,
        generator: random.Random | None = None,
        timing: WatchTiming | None = None,
        delay: Callable[[], float] = float,
    ) -> None:
        self._prefix = prefix
        self._rows = rows
        self._key_value = key_value
        self._clock = clock
        self._random = generator or random.Random()
        self._timing = timing or WatchTiming()
        self._delay = delay
        self._next_listing = clock.monotonic()
        self._failures = 0

    @property
    def reachable(self) -> bool:
        """Whether the last call was answered."""
        return self._failures == 0

    def run(self, stop: threading.Event) -> None:
        """Follow the service until `stop` (a supervisor's task)."""
        stop.wait(self._delay())
        while not stop.is_set():
            pause = self.step()
            if pause > 0:
                stop.wait(pause)

    def step(self) -> float:
        """Make one call; return the seconds to wait before the next."""
        began = self._clock.monotonic()
        reply = self.list_now() if self._listing_due() else self._watch()
        if isinstance(reply, Unavailable):
            return self._note_failure(reply)
        if self._failures:
            self._log("key_value_back", failures=self._failures)
        self._failures = 0
        if not isinstance(reply, Changes):
            return 0.0
        if reply.changes:
            return self._random.uniform(0, 2) * self._timing.rest
        return self._idle_pause(began)

    def list_now(self) -> Listing | Unavailable:
        """List all rows, beside the task if need be."""
        listing = self._key_value.list(self._prefix)
        if isinstance(listing, Listing):
            self._schedule_listing()
            self._rows.take_listing(listing)
        return listing

    def _listing_due(self) -> bool:
        return not self._rows.loaded or self._clock.monotonic() >= self._next_listing

    def _watch(self) -> Changes | Unavailable:
        after = self._rows.revision
        changes = self._key_value.watch(self._prefix, after, self._timing.watch)
        if isinstance(changes, Changes):
            if changes.compacted:
                self._next_listing = self._clock.monotonic()
            else:
                self._rows.take_changes(changes)
        return changes

    def _idle_pause(self, began: float) -> float:
        """Return a pause for a service that doesn't hold its watches open."""
        if self._clock.monotonic() - began > self._timing.first_pause:
            return 0.0
        return self._random.uniform(0, self._timing.first_pause)

    def _schedule_listing(self) -> None:
        seconds = self._random.uniform(0.75, 1.25) * self._timing.listing
        self._next_listing = self._clock.monotonic() + seconds

    def _note_failure(self, reply: Unavailable) -> float:
        if not self._failures:
            self._log("key_value_unavailable", reason=reply.reason)
        self._failures += 1
        return self._pause()

    def _pause(self) -> float:
        """Return a pause with full jitter below a ceiling that doubles."""
        doubled = self._timing.first_pause * 2 ** min(self._failures, 10)
        return self._random.uniform(0, min(self._timing.longest_pause, doubled))

    def _log(self, name: str, **fields: object) -> None:
        event(logger, name, prefix=self._prefix, **fields)
