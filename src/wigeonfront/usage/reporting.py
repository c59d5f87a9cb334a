"""The usage duty of one machine: counts each window once and sends the counts."""

import logging
import threading
from collections.abc import Callable
from typing import Protocol

from wigeonfront.clock import Clock
from wigeonfront.coordination.membership import Member
from wigeonfront.coordination.rights import Rights
from wigeonfront.duties import DutyOutcome, NotTaken, Taken
from wigeonfront.observability.logs import event
from wigeonfront.observability.metrics import Registry
from wigeonfront.usage.collection import Collection, StartCollector
from wigeonfront.usage.held import HeldStarts
from wigeonfront.usage.ledger import Counts, Fixed, NotFixed, UsageLedger
from wigeonfront.usage.starts import StartLog
from wigeonfront.usage.windows import UsageBounds, ended_windows, windows_to_fix

logger = logging.getLogger(__name__)

SUBJECT = "usage"
"""Name of this duty among the subjects that machines act for."""

HOLDER_INTERVAL_SECONDS = 0.25
"""Interval at which the holder of the duty checks for work."""

IDLE_INTERVAL_SECONDS = 0.5
"""Interval at which other machines check whether they hold the duty."""

CLOCK_MARGIN_SECONDS = 1.0
"""Time before a window from which on starts are requested: many times the error of the
agreed time."""

MAX_LATE_SECONDS = 60.0
"""Time after a window's end after which its report is given up. A late report is still
useful for billing, but must not delay the reports that are due."""


class UsageApi(Protocol):
    """Receiver of usage reports, which the platform's adapter implements."""

    def report_usage(
        self, window: int, counts: Counts, holder: str, fence: int
    ) -> DutyOutcome:
        """Send the counts of a window, with a single attempt."""


class UsageReporter:
    """Reports usage while this machine holds the duty.

    Parameters
    ----------
    name : str
        Name of this machine.
    holder : callable
        Returns the name of the machine that holds a duty, as far as is known.
    rights : Rights
    ledger : UsageLedger
    collector : StartCollector
    log : StartLog
    held : HeldStarts
    own_member : callable
        Returns the membership record of this process.
    members : callable
        Returns the membership records of the live entries.
    api : UsageApi
    bounds : UsageBounds
    clock : Clock
    metrics : wigeonfront.observability.metrics.Registry
    """

    def __init__(
        self,
        name: str,
        holder: Callable[[str], str | None],
        rights: Rights,
        ledger: UsageLedger,
        collector: StartCollector,
        log: StartLog,
        held: HeldStarts,
        own_member: Callable[[], Member],
        members: Callable[[], list[Member]],
        api: UsageApi,
        bounds: UsageBounds,
        clock: Clock,
        metrics: Registry,
    ) -> None:
        self._name = name
        self._holder = holder
        self._rights = rights
        self._ledger = ledger
        self._collector = collector
        self._log = log
        self._held = held
        self._own_member = own_member
        self._members = members
        self._api = api
        self._bounds = bounds
        self._clock = clock
        self._reports = metrics.counter(
            "usage_reports_total", "Reports of usage by outcome.", ("outcome",)
        )
        self._collection = Collection()
        self._fixed: Fixed | None = None
        self._sent: frozenset[int] = frozenset()

    @property
    def last_sent(self) -> int:
        """The newest window that the platform has accepted from here; 0 before any."""
        return max(self._sent, default=0)

    def run(self, stop: threading.Event) -> None:
        """Report usage while this machine holds the duty (a supervisor's task)."""
        while not stop.is_set():
            holds = self._holder(SUBJECT) == self._name
            if holds:
                self.step()
            elif self._fixed is not None:
                self._give_up_duty()
            stop.wait(HOLDER_INTERVAL_SECONDS if holds else IDLE_INTERVAL_SECONDS)

    def step(self) -> None:
        """Fix the windows that have ended and send the fixed ones."""
        if self._fixed is None:
            self._load_ledger()
        if self._fixed is None:
            return
        self._fix_ended()
        if self._fixed is not None:
            self._send()

    def _give_up_duty(self) -> None:
        event(logger, "usage_duty_lost", through=self._fixed and self._fixed.through)
        self._fixed = None
        self._sent = frozenset()
        self._collection = Collection()

    def _load_ledger(self) -> None:
        read = self._ledger.read()
        if isinstance(read, NotFixed):
            event(logger, "usage_ledger_unread", reason=read.reason)
            return
        if not read.revision:
            # Without a row, the first window is the oldest whose report is still due.
            read = Fixed(self._bounds.window_at(self._now() - self._bounds.due) - 1)
        self._fixed = read
        event(
            logger,
            "usage_duty_taken",
            through=read.through,
            unsent=len(read.unsent),
            revision=read.revision,
        )

    def _now(self) -> float:
        """Return the Unix time that most clocks agree on, or else this clock's time."""
        offset = self._collection.offset
        if offset is None:
            return self._clock.time()
        return self._clock.boottime() + offset

    # --- counting ------------------------------------------------------------

    def _fix_ended(self) -> None:
        ended = ended_windows(self._fixed.through, self._now(), self._bounds)
        if not ended:
            return
        self._collect(ended)
        # The collection has brought more clock readings, so the time may differ.
        ended = ended_windows(self._fixed.through, self._now(), self._bounds)
        offset = self._collection.offset
        complete_until = {
            incarnation: at + offset
            for incarnation, at in self._collection.complete_until.items()
        }
        living = [member.incarnation for member in self._members()]
        now = self._now()
        windows = windows_to_fix(ended, complete_until, living, now, self._bounds)
        if windows:
            silent = sum(
                complete_until.get(incarnation, 0.0) < self._bounds.end(windows[-1])
                for incarnation in living
            )
            self._fix(windows, offset, silent)

    def _collect(self, ended: range) -> None:
        """Collect the starts in the ended windows that are not known yet."""
        unix_offset = self._now() - self._clock.boottime()
        since = self._bounds.begin(ended[0]) - unix_offset - CLOCK_MARGIN_SECONDS
        end = self._bounds.end(ended[-1]) - unix_offset
        own_member = self._own_member()
        collection = self._collection
        silent = [
            member
            for member in self._members()
            if member.name != own_member.name
            and collection.complete_until.get(member.incarnation, -1.0) < end
        ]
        self._collector.collect(silent, since, collection)
        collection.add_local(
            own_member.incarnation,
            own_member.name,
            self._log,
            self._held,
            since,
            self._clock,
        )

    def _fix(self, windows: list[int], offset: float, silent: int) -> None:
        counts = {
            window: self._collection.count(
                self._bounds.begin(window) - offset, self._bounds.end(window) - offset
            )
            for window in windows
        }
        outcome = self._ledger.fix(self._fixed, counts, self._sent)
        fixed = isinstance(outcome, Fixed)
        for window, window_counts in counts.items():
            event(
                logger,
                "usage_fixed",
                window=window,
                requests=sum(window_counts.values()),
                accounts=len(window_counts),
                silent=silent,
                clocks=len(self._collection.readings),
                fixed=fixed,
                reason=getattr(outcome, "reason", ""),
            )
        if isinstance(outcome, Fixed):
            self._fixed = outcome
            self._sent &= frozenset(outcome.unsent)
            self._collection = Collection(readings=self._collection.readings)
        else:
            # Another process may have fixed the windows, or this one's unanswered
            # write may still arrive.
            self._fixed = None

    # --- sending -------------------------------------------------------------

    def _send(self) -> None:
        """Send the fixed windows: those still due first, then late ones, by age."""
        now = self._now()
        unsent = sorted(self._fixed.unsent.keys() - self._sent)
        late = [
            window
            for window in unsent
            if now > self._bounds.end(window) + self._bounds.due
        ]
        for window in [window for window in unsent if window not in late] + late:
            if now > self._bounds.end(window) + MAX_LATE_SECONDS:
                self._record_outcome(window, NotTaken("given up"), 0)
                self._sent |= {window}
                continue
            fence = self._rights.fence(SUBJECT)
            if fence is None:
                return
            counts = self._fixed.unsent[window]
            outcome = self._api.report_usage(window, counts, self._name, fence)
            self._record_outcome(window, outcome, fence)
            if not isinstance(outcome, Taken):
                return
            self._sent |= {window}

    def _record_outcome(self, window: int, outcome: DutyOutcome, fence: int) -> None:
        after = self._now() - self._bounds.end(window)
        late = after > self._bounds.due
        name = type(outcome).__name__
        self._reports.increment(outcome="Late" if late and name == "Taken" else name)
        event(
            logger,
            "usage_sent",
            window=window,
            outcome=name,
            reason=getattr(outcome, "reason", ""),
            fence=fence,
            seconds_after_end=after,
            late=late,
        )
