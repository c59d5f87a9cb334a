"""The state of a Lot that this process runs.

The classes are not thread-safe: the runner of the Lots guards them with its lock.
"""

from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field
from types import MappingProxyType

from wigeonfront.rollout.events import Text
from wigeonfront.rollout.lot import Lot, Sample, SampleResult
from wigeonfront.spool import SpoolMember

MAX_SENDS = 2
"""Concurrent sends of one reward call. A target may be silent or ten times slower than
the others, and the reward call of the last sample delays the whole training step."""


@dataclass(slots=True)
class RewardCallState:
    """The state of a sample's reward call.

    Attributes
    ----------
    sends : int
        Sends in flight. There is a second one while the first is slow.
    sent_at : float
        Monotonic time of the last send.
    slow_after : float
        Seconds after the last send from which that send counts as slow.
    tries : int
        Sends that have ended without a score.
    failures : int
        Sends that the target itself answered with a failure.
    unframed : int
        Scores in answers whose end was not framed, so that they may have been cut off.
    routed : bool
        Whether the last lookup found a route for the call's host and path.
    tried : frozenset of str
        Targets to which a send has ended without a score.
    not_before : float
        Monotonic time before which the call is not sent.
    due_since : float
        Monotonic time at which the sample's text became whole.
    """

    sends: int = 0
    sent_at: float = 0.0
    slow_after: float = 0.0
    tries: int = 0
    failures: int = 0
    unframed: int = 0
    routed: bool = True
    tried: frozenset[str] = frozenset()
    not_before: float = 0.0
    due_since: float = 0.0


@dataclass(slots=True)
class SampleState:
    """The state of a sample that has no result yet.

    The sample waits for a run, is run until its text is whole, and then waits for its
    score if it has a reward call.

    Attributes
    ----------
    sample : Sample
    text : Text
        Text that all runs of the sample have generated so far.
    failures : int
        Answers that count as failed attempts.
    running : bool
        Whether a run of the sample is in progress.
    avoid : str
        Id of the target that broke off the last run or from which the sample was
        moved; empty for none.
    moves : int
        Number of times that the sample was moved off a slow target.
    silent_runs : int
        Runs that ended because no event arrived in time.
    not_before : float
        Monotonic time before which the sample is not sent again.
    isolated : bool
        Whether it runs apart from other samples, as engines crashed while it ran.
    waiting_since : float
        Monotonic time at which the last run that generated text ended, or at which this
        process became the owner.
    snapshot : Text or None
        Copy of the text, which the run's own thread takes between two events.
    saved : int
        Extent of the text that the store has.
    call : RewardCallState
    """

    sample: Sample
    text: Text = field(default_factory=Text)
    failures: int = 0
    running: bool = False
    avoid: str = ""
    moves: int = 0
    silent_runs: int = 0
    not_before: float = 0.0
    isolated: bool = False
    waiting_since: float = 0.0
    snapshot: Text | None = None
    saved: int = 0
    call: RewardCallState = field(default_factory=RewardCallState)

    @property
    def text_version(self) -> int:
        """Oldest weight version that has generated the text; 0 if there is no text."""
        return min(self.text.versions, default=0) if self.text.last_id else 0

    @property
    def snapshot_id(self) -> int:
        """Id of the last event of the snapshot; 0 if there is no snapshot."""
        return self.snapshot.last_id if self.snapshot else 0

    @property
    def unsaved(self) -> bool:
        """Whether the snapshot has more text than the store."""
        return self.snapshot is not None and self.snapshot.extent > self.saved

    @property
    def wants_run(self) -> bool:
        """Whether the sample waits for a run."""
        return not self.running and not self.text.whole

    def wants_call(self, now: float) -> bool:
        """Return whether the reward call is due for a first or a further send.

        Parameters
        ----------
        now : float
            Monotonic time.
        """
        call = self.call
        if not self.text.whole or call.not_before > now or call.sends >= MAX_SENDS:
            return False
        return call.sends == 0 or now - call.sent_at >= call.slow_after

    def discard_text(self) -> None:
        """Discard the text, which may not be used for the sample's result."""
        self.text = Text()
        self.snapshot = None
        self.saved = 0

    def mark_text_whole(self, now: float) -> None:
        """Record that the text is whole.

        Parameters
        ----------
        now : float
            Monotonic time.
        """
        self.text.whole = True
        self.snapshot = self.text.copy()
        self.call.due_since = now


@dataclass(slots=True)
class GroupState:
    """The state of a group of samples.

    Attributes
    ----------
    size : int
        Number of samples.
    finished : int
        Number of samples that have a result, whether it is in the store or not.
    """

    size: int = 0
    finished: int = 0

    @property
    def whole(self) -> bool:
        """Whether every sample of the group has a result."""
        return self.finished >= self.size


@dataclass(frozen=True, slots=True)
class SubmissionTimes:
    """Estimates of when a Lot was submitted, on the monotonic clock of its owner.

    Attributes
    ----------
    latest : float
        Latest possible time of the submission. Samples are given up by this time, so
        that none is given up too early.
    likely : float
        Submission time as computed from the clocks of two VMs, which may differ by
        seconds. It affects only the order in which samples are sent.
    """

    latest: float = 0.0
    likely: float = 0.0


def submission_times(
    lot: Lot, known_for: float, now: float, unix_now: float
) -> SubmissionTimes:
    """Return the estimates of when a Lot was submitted.

    Parameters
    ----------
    lot : Lot
    known_for : float
        Seconds for which this process has known of the Lot.
    now, unix_now : float
        Monotonic and Unix time.
    """
    since = now - known_for
    by_clocks = unix_now - lot.submitted_at
    likely_age = min(max(known_for, by_clocks), known_for + lot.due_seconds)
    return SubmissionTimes(since, now - likely_age)


class LotProgress:
    """The progress of a Lot that this process owns.

    Parameters
    ----------
    lot : Lot
    head_revision : int
        Revision of the head row under which this process owns the Lot; 0 while the row
        is not written.
    results : list of SampleResult
        Results that the store has already.
    times : SubmissionTimes, optional
        When the Lot was submitted, on this process's clock.
    spools : tuple of SpoolMember
        Disks for results that the store does not accept.

    Attributes
    ----------
    writing_since : float or None
        Monotonic time since which the store has accepted no write, although one was
        begun; ``None`` if none is begun.
    spooled : int
        Position up to which all disks of the spool have the results.
    spooled_at : float
        Monotonic time of the last write to the spool.
    possibly_shown : int
        Position up to which results may have been shown, by this process or by an
        earlier owner.
    required_groups : frozenset of str
        Names of the groups that the trainer waits for in any case, because they were
        left incomplete in an earlier Lot.
    presence_revision : int
        The `since_revision` that the owner's `Presence` had when it became the owner.
    """

    def __init__(
        self,
        lot: Lot,
        head_revision: int,
        results: list[SampleResult],
        times: "SubmissionTimes | None" = None,
        spools: tuple[SpoolMember, ...] = (),
    ) -> None:
        times = times or SubmissionTimes()
        self.spools = spools
        self.writing_since: float | None = None
        self.spooled = 0
        self.spooled_at = 0.0
        self.possibly_shown = 0
        self.presence_revision = 0
        self.required_groups: frozenset[str] = frozenset()
        self.due_at = times.likely + lot.due_seconds
        self.gives_up_at = times.latest + lot.give_up_seconds
        self.lot = lot
        self.head_revision = head_revision
        self.kept = list(results)
        self.unwritten: list[SampleResult] = []
        self.in_doubt: list[SampleResult] = []
        self._writes_in_flight = 0
        self._answer_lost = False
        self.flushed_at = 0.0
        self.ended = False
        self._groups: dict[str, GroupState] = {}
        self.open: dict[str, SampleState] = {
            sample.id: SampleState(sample) for sample in lot.samples
        }
        for sample in lot.samples:
            self._groups.setdefault(sample.group or sample.id, GroupState()).size += 1
        for result in results:
            self._close(result.id)

    @property
    def deferred(self) -> bool:
        """Whether the head row is still to be written, as the store was unavailable."""
        return not self.head_revision

    @property
    def results(self) -> list[SampleResult]:
        """All results in the order of their positions."""
        return [*self.kept, *self.in_doubt, *self.unwritten]

    @property
    def durable(self) -> list[SampleResult]:
        """The results that outlive this process, in the store or on the spool.

        Only these are shown to readers.
        """
        if self.spooled <= len(self.kept):
            return self.kept
        return self.results[: self.spooled]

    @property
    def possibly_kept(self) -> int:
        """Position up to which the store may have results that others have read.

        The store has a batch before its writer receives the answer.
        """
        doubtful = self._writes_in_flight or self._answer_lost
        return len(self.kept) + (len(self.in_doubt) if doubtful else 0)

    @property
    def possibly_read(self) -> int:
        """Position up to which results may have been read, in any process.

        An earlier owner may have shown results that this process recovered from a disk.
        """
        return max(self.possibly_kept, self.possibly_shown)

    @property
    def finished(self) -> bool:
        """Whether the store has a result of every sample."""
        return len(self.kept) >= len(self.lot.samples)

    @property
    def groups(self) -> dict[str, GroupState]:
        """State of each group, by the group's name."""
        return self._groups

    @property
    def whole_groups(self) -> int:
        """Number of groups of which every sample has a result."""
        return sum(group.whole for group in self._groups.values())

    @property
    def wanted_groups(self) -> int:
        """Number of groups that the trainer waits for."""
        return min(self.lot.target_groups or len(self._groups), len(self._groups))

    def waited_groups(self, seconds: Mapping[str, float]) -> list[str]:
        """Return the incomplete groups that the trainer waits for.

        These are the required groups, and of the others those that need the least time.

        Parameters
        ----------
        seconds : mapping of str to float
            Seconds that each incomplete group still needs, by its name.
        """
        required = self.required_groups
        whole = sum(
            group.whole for name, group in self._groups.items() if name not in required
        )
        missing = max(0, self.wanted_groups - len(required) - whole)
        others = sorted(
            (name for name in seconds if name not in required), key=seconds.get
        )
        return [*(name for name in seconds if name in required), *others[:missing]]

    def missing_in_group(self, sample: Sample) -> int:
        """Return how many samples of the given sample's group have no result."""
        group = self._groups[sample.group or sample.id]
        return group.size - group.finished

    def finish(self, result: SampleResult) -> bool:
        """Add a sample's result; return ``False`` if the sample had one already."""
        if not self._close(result.id):
            return False
        self.unwritten.append(result)
        return True

    def begin_batch(self, max_bytes: int) -> list[SampleResult]:
        """Return the results to be written next, at position ``len(kept)``.

        A batch whose write is in doubt is returned again unchanged.

        Parameters
        ----------
        max_bytes : int
            Limit of the text in a batch. A single result may exceed it.
        """
        if not self.in_doubt:
            count = count_fitting(self.unwritten, max_bytes)
            self.in_doubt = self.unwritten[:count]
            self.unwritten = self.unwritten[count:]
            self._answer_lost = False
        return self.in_doubt

    def write_sent(self) -> None:
        """Record that a write of the current batch is in flight."""
        self._writes_in_flight += 1

    def write_ended(self, position: int, maybe_done: bool) -> None:
        """Record that the write of the batch at `position` has ended.

        Parameters
        ----------
        position : int
        maybe_done : bool
            Whether the answer was lost, so that the write may have taken effect.
        """
        self._writes_in_flight -= 1
        if maybe_done and position == len(self.kept):
            self._answer_lost = True

    def snapshots(self) -> dict[str, Text]:
        """Return the snapshots of the samples without a result, by the sample's id."""
        return {id: state.snapshot for id, state in self.open.items() if state.snapshot}

    def batch_kept(
        self, position: int, texts: Mapping[str, Text] = MappingProxyType({})
    ) -> None:
        """Record that the batch at `position` was written, together with `texts`.

        A batch may be written twice concurrently. The second answer then arrives while
        the next batch is in doubt, and its position shows that it is not for that one.
        """
        if position == len(self.kept):
            self.kept.extend(self.in_doubt)
            self.in_doubt = []
            self._answer_lost = False
        for id, text in texts.items():
            if id in self.open:
                self.open[id].saved = text.extent

    def _close(self, sample_id: str) -> bool:
        state = self.open.pop(sample_id, None)
        if state is None:
            return False
        self._groups[state.sample.group or sample_id].finished += 1
        return True


def count_fitting(results: Sequence[SampleResult], max_bytes: int) -> int:
    """Return how many of the first `results` fit in a limit; at least 1 if any.

    Parameters
    ----------
    results : sequence of SampleResult
    max_bytes : int
        Limit of their text.
    """
    count = 0
    for result in results:
        max_bytes -= len(result.text)
        if max_bytes < 0 and count:
            break
        count += 1
    return count
