"""Mirrors: local replicas of the rows below a prefix of the store.

A mirror lists the rows once and then follows them by a watch. When the store no longer
has the history that a watch needs, the mirror lists the rows again, so that it misses
no deletion. While the store does not answer, the mirror keeps its rows. Other processes
may follow a mirror; see `wigeonfront.coordination.feed`.
"""

import logging
import math
import threading
from collections import deque
from collections.abc import Callable, Iterable
from dataclasses import dataclass

from wigeonfront.clock import Clock
from wigeonfront.coordination.rows import (
    Change,
    Changes,
    Listing,
    Row,
    RowSource,
    Unavailable,
)
from wigeonfront.observability.logs import event

logger = logging.getLogger(__name__)

WATCH_SECONDS = 20.0
"""Default time that one watch waits for a change."""

RETRY_SECONDS = 0.2
"""Pause after the first failed call: a tenth of the time in which a change must be in
force."""

MAX_RETRY_SECONDS = 1.0
"""Longest pause between two calls in an outage, up to which the pause doubles."""

MIN_ADVANCE_SECONDS = 0.05
"""Shortest time by which the mirror must have become more recent before it answers a
waiting follower that there is no change."""

MAX_DELAY_SECONDS = 0.5
"""Delay of an answer beyond the interval between two calls, above which the rows no
longer count as followed without a break. A store outage that is shorter than a break
ends no lease."""

MAX_KEPT_CHANGES = 500
"""Number of changes kept for followers; a follower that is further behind lists the
rows again."""


OnChange = Callable[["Mirror"], None]
"""Callback that gets a mirror whose rows have changed."""


@dataclass(frozen=True, slots=True)
class MirrorState:
    """The rows at one revision of the store.

    Attributes
    ----------
    rows : dict of str to Row
    revision : int
    """

    rows: dict[str, Row]
    revision: int


@dataclass(frozen=True, slots=True)
class FollowedChanges:
    """What a mirror answers to a follower.

    Attributes
    ----------
    changes : Changes
    age : float
        Time by which the mirror may have been behind the store, in seconds.
    held : float
        Time for which the call waited for a change, in seconds.
    """

    changes: Changes
    age: float
    held: float


class Mirror:
    """A replica of the rows below one prefix.

    Parameters
    ----------
    source : RowSource
    prefix : str
    clock : Clock
    on_change : callable
        Called with the mirror after each change, from the mirror's thread.
    pause : float
        Time between two watches in seconds. Changes in this time are answered by one
        watch, and each watch is a call to the store.
    wait : float
        Longest time that one watch waits, in seconds. When the store drops its history,
        a waiting watch may miss the changes before; only the next watch reports it.
    outdated_seconds : float
        Age of the rows, in seconds, above which it is logged how old they had become.

    Examples
    --------
    >>> from platform_standins.rows import MemoryRows
    >>> from wigeonfront.clock import SystemClock
    >>> from wigeonfront.coordination.feed import DirectRows
    >>> rows, stop = MemoryRows(), threading.Event()
    >>> _ = rows.put("op/a", b"1")
    >>> mirror = Mirror(DirectRows(rows), "op/", SystemClock())
    >>> task = threading.Thread(target=mirror.run, args=(stop,), daemon=True)
    >>> task.start()
    >>> while not mirror.ready:
    ...     _ = stop.wait(0.01)
    >>> mirror.get("op/a").value
    b'1'
    >>> stop.set()
    """

    def __init__(
        self,
        source: RowSource,
        prefix: str,
        clock: Clock,
        on_change: OnChange = lambda mirror: None,
        pause: float = 0.0,
        wait: float = WATCH_SECONDS,
        outdated_seconds: float = math.inf,
    ) -> None:
        self._source = source
        self._prefix = prefix
        self._clock = clock
        self._on_change = on_change
        self._pause = pause
        self._wait = wait
        self._outdated_seconds = outdated_seconds
        self._lock = threading.Lock()
        self._changed = threading.Condition(self._lock)
        self._kept_changes: deque[Change] = deque(maxlen=MAX_KEPT_CHANGES)
        # Revision after which all changes are kept.
        self._kept_after = 0
        # Monotonic time as of which the rows are known.
        self._fresh_at = -1e9
        self._rows: dict[str, Row] = {}
        self._revision = 0
        self._listed = False
        # Whether the callback has not returned for the present rows.
        self._untold = False
        self._failing_since: float | None = None
        self._regained_at = -1e9
        self._returned_at = -1e9
        # Monotonic time since which the rows are followed without a break.
        self._followed_since = -1e9

    @property
    def prefix(self) -> str:
        """The prefix of the rows."""
        return self._prefix

    @property
    def ready(self) -> bool:
        """Whether the rows have been listed, and need not be listed again."""
        return self._listed

    @property
    def failing(self) -> bool:
        """Whether the last call to the store failed."""
        return self._failing_since is not None

    @property
    def regained_at(self) -> float:
        """Monotonic time at which the store last answered again after an outage."""
        return self._regained_at

    @property
    def store_returned_at(self) -> float:
        """Monotonic time by which the last outage of the store had ended.

        It is earlier than `regained_at` if other processes followed the store while
        this one was still cut off from it.
        """
        return self._returned_at

    @property
    def followed_seconds(self) -> float:
        """Time for which the rows have been followed without a break, in seconds."""
        if self.failing or self.age > self._max_interval:
            return 0.0
        return self._clock.monotonic() - self._followed_since

    @property
    def _max_interval(self) -> float:
        """Longest time between two answers without a break, in seconds."""
        return self._pause + self._wait + MAX_DELAY_SECONDS

    @property
    def revision(self) -> int:
        """Revision of the store at which the rows were last known."""
        return self._revision

    def state(self) -> MirrorState:
        """Return the rows with their revision."""
        with self._lock:
            return MirrorState(dict(self._rows), self._revision)

    def get(self, key: str) -> Row | None:
        """Return one row, or ``None`` where there is none."""
        with self._lock:
            return self._rows.get(key)

    @property
    def age(self) -> float:
        """Time by which the rows may be behind the store, in seconds."""
        return self._clock.monotonic() - self._fresh_at

    def read_after(self, after: int, wait: float) -> FollowedChanges:
        """Return the changes after a revision; wait for one if there is none.

        The wait also ends once the store has answered that there is no change. Each
        follower in a chain thus learns at once how recent the rows are.

        Parameters
        ----------
        after : int
            Revision after which changes are returned.
        wait : float
            Longest wait in seconds.
        """
        began = self._clock.monotonic()
        with self._lock:
            self._await_news(after, began + wait)
            changes = self._kept_changes_after(after)
            return FollowedChanges(changes, self.age, self._clock.monotonic() - began)

    def _await_news(self, after: int, deadline: float) -> None:
        """Wait until there are changes, or until the rows have become more recent."""
        fresh_at = self._fresh_at
        while self._revision <= after:
            if self._fresh_at > fresh_at + MIN_ADVANCE_SECONDS:
                return
            remaining = deadline - self._clock.monotonic()
            if remaining <= 0:
                return
            self._changed.wait(remaining)

    def _kept_changes_after(self, after: int) -> Changes:
        if self._revision <= after:
            return Changes((), after)
        if after < self._kept_after:
            return Changes((), after, compacted=True)
        newer = tuple(
            change for change in self._kept_changes if change.revision > after
        )
        return Changes(newer, self._revision)

    def run(self, stop: threading.Event) -> None:
        """Follow the store (a supervisor's task)."""
        pause = RETRY_SECONDS
        if self._untold:
            self._tell()
        while not stop.is_set():
            if self._watch() if self._listed else self._list():
                pause = RETRY_SECONDS
                stop.wait(self._pause)
            else:
                stop.wait(pause)
                pause = min(2 * pause, MAX_RETRY_SECONDS)

    def _list(self) -> bool:
        listing = self._source.list(self._prefix)
        if isinstance(listing, Unavailable):
            self._note_failure("list", listing.reason)
            return False
        self._note_answer()
        with self._lock:
            if listing.revision >= self._revision:
                self._replace(listing.rows, listing.revision)
            self._listed = True
        self._log_listing(listing)
        self._tell()
        return True

    def _replace(self, rows: Iterable[Row], revision: int) -> None:
        self._rows = {row.key: row for row in rows}
        self._revision = revision
        self._kept_changes.clear()
        self._kept_after = revision
        self._changed.notify_all()

    def _watch(self) -> bool:
        # A call that waits for a change would notice the end of an outage late.
        wait = 0.0 if self.failing else self._wait
        changes = self._source.watch(self._prefix, self._revision, wait)
        if isinstance(changes, Unavailable):
            self._note_failure("watch", changes.reason)
            return False
        # Without the history the rows are as old as before, until they are listed.
        self._note_answer(known=not changes.compacted)
        if changes.compacted:
            event(logger, "history_gone", prefix=self._prefix, after=self._revision)
            self._listed = False
            return True
        with self._lock:
            for change in changes.changes:
                self._apply(change)
            self._revision = max(self._revision, changes.revision)
            if changes.changes:
                self._changed.notify_all()
        if changes.changes:
            self._tell()
        return True

    def _tell(self) -> None:
        """Call the callback; one that raises is called again after the restart."""
        self._untold = True
        self._on_change(self)
        self._untold = False

    def _apply(self, change: Change) -> None:
        # Also if the row is known: a listing of several pages may have rows that are
        # newer than its revision, and followers may have listed before them.
        if len(self._kept_changes) == MAX_KEPT_CHANGES:
            self._kept_after = self._kept_changes[0].revision
        self._kept_changes.append(change)
        known = self._rows.get(change.key)
        if known is not None and known.revision >= change.revision:
            return
        if change.value is None:
            self._rows.pop(change.key, None)
        else:
            self._rows[change.key] = Row(change.key, change.value, change.revision)

    def _note_failure(self, call: str, reason: str) -> None:
        if self._failing_since is None:
            self._failing_since = self._clock.monotonic()
            event(logger, "store_lost", prefix=self._prefix, call=call, reason=reason)

    def _note_answer(self, known: bool = True) -> None:
        now = self._clock.monotonic()
        outdated = self._note_known(now) if known else 0.0
        if outdated > self._outdated_seconds:
            event(
                logger,
                "rows_outdated",
                prefix=self._prefix,
                seconds=outdated,
                source_age=self._source.age,
            )
        if self._failing_since is not None:
            self._note_regained(now)

    def _note_known(self, now: float) -> float:
        """Record as of when the rows are known; return how old they had become."""
        with self._lock:
            fresh_at = now - self._source.age
            outdated = now - self._fresh_at if self._revision else 0.0
            if fresh_at - self._fresh_at > self._max_interval:
                self._followed_since = fresh_at
            self._fresh_at = max(self._fresh_at, fresh_at)
            self._changed.notify_all()
        return outdated

    def _note_regained(self, now: float) -> None:
        """Record the end of a failure, and by when the store had returned.

        If only this process was cut off, others have followed the store all the while.
        """
        followed = self._source.followed_elsewhere(self._prefix, self._revision)
        event(
            logger,
            "store_regained",
            prefix=self._prefix,
            seconds=now - self._failing_since,
            followed_elsewhere=followed,
        )
        self._regained_at = now
        self._returned_at = max(self._returned_at, now - followed)
        self._failing_since = None

    def _log_listing(self, listing: Listing) -> None:
        event(
            logger,
            "rows_listed",
            prefix=self._prefix,
            rows=len(listing.rows),
            revision=listing.revision,
        )
