"""What entries tell each other about plain targets, and what it counts for.

With tens of entries of a few requests a second each, an entry learns little by itself
of a target: a silent one costs each entry its first requests, and then the probes of
each entry's circuit breaker. Entries therefore report what they have observed
themselves, and never what others have reported. A report changes only the order in
which targets are chosen: it makes no target unusable, as the reporter may be cut off
from a target that works for the receiver.

`assess` weighs reports; `Reports` keeps them, and the findings of this entry that
others are to be told. Neither uses the network.
"""

import math
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from random import Random
from typing import Literal

from wigeonfront.clock import Clock

Finding = Literal["suspected", "working"]
"""What a report says: the target fails, or answers although an entry suspected it."""

STALE_SECONDS = 5.0
"""Age from which a report counts nothing: two of the longest pauses between probes of a
circuit breaker, so that a target that still fails is reported again before."""

KEPT_SECONDS = 2 * STALE_SECONDS
"""Time in seconds for which a report is kept, so that a suspicion that its reporter
repeats is known to be the same one."""

LAPSE_SHARE = 0.6
"""Least share of `STALE_SECONDS` for which a suspicion counts. Each receiver draws its
own, so that entries do not all return to a target at the same moment."""

TRIAL_SECONDS = 0.5
"""Mean seconds between two trials of a suspected target by all entries together."""

MAX_TRIAL_SECONDS = 10.0
"""Longest mean pause in seconds between two trials by one entry, which bounds how long
a target is last for an entry that no other entry's success reaches."""

TRIAL_JITTER = 0.5
"""Share by which a pause between trials varies to either side."""

SUSPECTED_SHARE = 0.7
"""Largest share of a service's targets that count as suspected. Under overload each
target times out somewhere; all requests would else go to the few that are left."""

MAX_REPORTERS = 128
"""Entries whose reports about one target, and whose sequences, are kept."""


@dataclass(frozen=True, slots=True)
class TargetReport:
    """What an entry has observed itself about one plain target.

    Attributes
    ----------
    target : str
        Id of the target.
    finding : Finding
    age : float
        Seconds since the observation.
    """

    target: str
    finding: Finding
    age: float = 0.0


@dataclass(frozen=True, slots=True)
class EntryReports:
    """One message: the reports of one entry.

    Attributes
    ----------
    entry : str
        Name of the reporter.
    incarnation : str
        Id of its process, within which `sequence` grows.
    sequence : int
        Number of the message; those that do not exceed an earlier one are ignored.
    reports : tuple of TargetReport
    """

    entry: str
    incarnation: str
    sequence: int
    reports: tuple[TargetReport, ...]


@dataclass(frozen=True, slots=True)
class KnownReport:
    """The newest report of one entry about a target, by the receiver's clock.

    Attributes
    ----------
    entry : str
    report : TargetReport
    observed_at : float
        Monotonic time of the observation.
    since : float
        Monotonic time of the first of the reporter's suspicions that no other finding
        of the same reporter has interrupted.
    lapses_at : float
        Monotonic time from which the report counts nothing.
    """

    entry: str
    report: TargetReport
    observed_at: float
    since: float
    lapses_at: float


@dataclass(frozen=True, slots=True)
class Assessment:
    """What reports say about a target at one moment.

    Attributes
    ----------
    suspected_by : tuple of str
        Names of the entries whose suspicions count, sorted.
    """

    suspected_by: tuple[str, ...] = ()


NO_REPORTS = Assessment()


def assess(
    known: Iterable[KnownReport], success_at: float, working_at: float, now: float
) -> Assessment:
    """Weigh the reports of other entries against what this entry has seen.

    A suspicion counts until it lapses or this entry has had a newer success. It counts
    nothing while another entry, or this one, has found the target working since the
    reporter began to suspect it: then the reporter is cut off from the target, rather
    than the target silent. The number of reporters does not prolong a suspicion.

    Parameters
    ----------
    known : iterable of KnownReport
        At most one of each entry.
    success_at, working_at : float
        Monotonic times of this entry's last success, and of the last one at a time
        when the target was suspected.
    now : float
        Monotonic time.
    """
    fresh = [report for report in known if now < report.lapses_at]
    working = [working_at] if now < working_at + STALE_SECONDS else []
    working += [
        report.observed_at for report in fresh if report.report.finding == "working"
    ]
    newest_working = max(working, default=-math.inf)
    suspected_by = sorted(
        report.entry
        for report in fresh
        if report.report.finding == "suspected"
        and report.observed_at > success_at
        and report.since > newest_working
    )
    return Assessment(tuple(suspected_by))


def limit_suspicions(
    assessments: Mapping[str, Assessment], targets: int
) -> frozenset[str]:
    """Return the ids of the targets that count as suspected.

    Where too many of a service's targets are suspected, those with the fewest reporters
    do not count.

    Parameters
    ----------
    assessments : mapping of str to Assessment
        Assessments by the ids of the targets.
    targets : int
        Number of the service's targets.
    """
    suspected = [id for id, found in assessments.items() if found.suspected_by]
    suspected.sort(key=lambda id: (-len(assessments[id].suspected_by), id))
    return frozenset(suspected[: int(SUSPECTED_SHARE * targets)])


def trial_pause(entries: int, random: Random) -> float:
    """Return the seconds until this entry may try a suspected target again.

    Parameters
    ----------
    entries : int
        Number of live entries, which share the trials.
    """
    mean = min(MAX_TRIAL_SECONDS, TRIAL_SECONDS * max(1, entries))
    return mean * random.uniform(1 - TRIAL_JITTER, 1 + TRIAL_JITTER)


@dataclass(slots=True)
class _Target:
    known: dict[str, KnownReport] = field(default_factory=dict)
    success_at: float = -math.inf
    working_at: float = -math.inf
    next_trial_at: float = 0.0
    # Time from which all reports of others are too old to be kept.
    known_until: float = -math.inf
    # The finding of this entry that others are told.
    finding: Finding = "working"
    found_at: float = -math.inf


class Reports:
    """Reports about plain targets: those of other entries, and this entry's findings.

    Not thread-safe: the target table calls it under its lock.

    Parameters
    ----------
    clock : Clock
    random : random.Random
        Source of the jitter in pauses between trials.
    """

    def __init__(self, clock: Clock, random: Random) -> None:
        self._clock = clock
        self._random = random
        self._targets: dict[str, _Target] = {}
        self._sequences: dict[str, tuple[str, int]] = {}
        self._entries = 1

    def set_targets(self, ids: Iterable[str]) -> None:
        """Set the targets that reports are kept of; drop the state of all others."""
        self._targets = {id: self._targets.get(id) or _Target() for id in ids}

    def set_entries(self, count: int) -> None:
        """Set the number of live entries, which share the trials."""
        self._entries = count

    def covers(self, id: str) -> bool:
        """Return whether reports are kept of the target `id`."""
        return id in self._targets

    # --- reports of others ---------------------------------------------------

    def is_repeated(self, message: EntryReports) -> bool:
        """Return whether this message or a later one of its sender was received."""
        incarnation, sequence = self._sequences.get(message.entry, ("", 0))
        if message.incarnation == incarnation and message.sequence <= sequence:
            return True
        self._sequences.pop(message.entry, None)
        self._sequences[message.entry] = (message.incarnation, message.sequence)
        if len(self._sequences) > MAX_REPORTERS:
            del self._sequences[next(iter(self._sequences))]
        return False

    def receive(self, entry: str, report: TargetReport) -> str:
        """Take a report of another entry; return its effect.

        Returns
        -------
        str
            ``unknown_target``, ``stale``, ``noted``, ``outweighed`` or ``suspected``.
        """
        target = self._targets.get(report.target)
        now = self._clock.monotonic()
        if target is None:
            return "unknown_target"
        if report.age >= STALE_SECONDS:
            return "stale"
        before = self.assess(report.target)
        target.known[entry] = self._known(entry, report, target.known.get(entry), now)
        target.known_until = now + KEPT_SECONDS
        self._drop_lapsed(target, now)
        after = self.assess(report.target)
        if after.suspected_by and not before.suspected_by:
            # The first trials of the entries are spread over the pause between two.
            pause = trial_pause(self._entries, self._random)
            target.next_trial_at = now + self._random.random() * pause
        if report.finding != "suspected":
            return "noted"
        return "suspected" if entry in after.suspected_by else "outweighed"

    def _known(
        self, entry: str, report: TargetReport, old: KnownReport | None, now: float
    ) -> KnownReport:
        observed_at = now - report.age
        lapse_share = 1.0
        since = observed_at
        if report.finding == "suspected":
            lapse_share = self._random.uniform(LAPSE_SHARE, 1.0)
            if old is not None and old.report.finding == "suspected":
                since = old.since
        lapses_at = observed_at + STALE_SECONDS * lapse_share
        return KnownReport(entry, report, observed_at, since, lapses_at)

    def _drop_lapsed(self, target: _Target, now: float) -> None:
        kept = [
            known
            for known in target.known.values()
            if now < known.observed_at + KEPT_SECONDS
        ]
        kept.sort(key=lambda known: known.observed_at)
        target.known = {known.entry: known for known in kept[-MAX_REPORTERS:]}

    def assess(self, id: str) -> Assessment:
        """Return what the reports of others say about the target `id` now."""
        target = self._targets.get(id)
        if target is None or not target.known:
            return NO_REPORTS
        now = self._clock.monotonic()
        if now >= target.known_until:
            target.known.clear()
            return NO_REPORTS
        return assess(target.known.values(), target.success_at, target.working_at, now)

    def is_trial_due(self, id: str, busy: bool) -> bool:
        """Return whether a request may try the suspected target `id` as any other.

        Parameters
        ----------
        busy : bool
            Whether a request of this entry is at the target: mostly an earlier trial,
            but a long one must not keep others from a target that works.
        """
        wait = MAX_TRIAL_SECONDS if busy else 0.0
        return self._clock.monotonic() >= self._targets[id].next_trial_at + wait

    # --- findings of this entry ----------------------------------------------

    def record_attempt(self, id: str) -> None:
        """Record that a request is being sent to the target: a trial if suspected."""
        target = self._targets.get(id)
        if target is not None and self.assess(id).suspected_by:
            pause = trial_pause(self._entries, self._random)
            target.next_trial_at = self._clock.monotonic() + pause

    def record_success(self, id: str) -> bool:
        """Record an own success; return whether others are to be told."""
        target = self._targets.get(id)
        if target is None:
            return False
        now = self._clock.monotonic()
        suspected = target.finding == "suspected" or bool(self.assess(id).suspected_by)
        target.success_at = now
        if suspected:
            target.working_at = now
            self._set_finding(target, "working")
        return suspected

    def record_failure(self, id: str, opened: bool) -> bool:
        """Record an own failure; return whether others are to be told.

        Parameters
        ----------
        opened : bool
            Whether it has opened the circuit breaker. A failure at a target that others
            suspect is told too: they need not try it themselves.
        """
        target = self._targets.get(id)
        if target is None or not (opened or self.assess(id).suspected_by):
            return False
        self._set_finding(target, "suspected")
        return True

    def _is_old(self, target: _Target, now: float) -> bool:
        return now >= target.found_at + STALE_SECONDS

    def _set_finding(self, target: _Target, finding: Finding) -> None:
        target.finding = finding
        target.found_at = self._clock.monotonic()

    def own_reports(self) -> list[TargetReport]:
        """Return what this entry tells others: its recent findings, newest first."""
        now = self._clock.monotonic()
        reports = [
            TargetReport(id, target.finding, now - target.found_at)
            for id, target in self._targets.items()
            if not self._is_old(target, now)
        ]
        return sorted(reports, key=lambda report: report.age)
