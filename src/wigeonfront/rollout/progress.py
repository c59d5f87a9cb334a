"""The state of a Lot that this process runs; not thread-safe, its owner locks it."""

from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field
from types import MappingProxyType

from wigeonfront.rollout.events import Text
from wigeonfront.rollout.lot import Lot, Sample, SampleResult
from wigeonfront.spool import SpoolMember

MAX_SENDS = 2
"""Sends of one reward call at a time: a target may be silent, or ten times slower than
the others, and the call of the last sample holds up its whole step."""


@dataclass(slots=True)
class RewardCallState:
    """The reward call of a sample.

    Attributes
    ----------
    sends : int
        Sends in progress: a second one while the first takes long.
    sent_at : float
        Monotonic time of the last send.
    slow_after : float
        Seconds after its send from which the present one takes long.
    tries : int
        Sends that have ended without a score.
    failures : int
        Sends that the target itself answered with a failure.
    unframed : int
        Scores that came with an answer that did not tell its own end.
    routed : bool
        A route served its host and path when it was last looked for.
    tried : frozenset of str
        Targets that have given no score.
    not_before : float
        Monotonic time before which it is not sent.
    due_since : float
        Monotonic time at which the text was known to be whole.
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
    """A sample that has no result yet.

    It waits, is run until its text is whole, and waits for its score if it has a
    reward call.

    Attributes
    ----------
    sample : Sample
    text : Text
        What its broken runs have generated.
    failures : int
        Answers that count as failed attempts.
    running : bool
    avoid : str
        Target that broke off its last run, or from which it was moved.
    moves : int
        Times that it was moved off a slow target.
    silent_runs : int
        Runs that ended as no event came.
    not_before : float
        Monotonic time before which it is not sent again.
    waiting_since : float
        Monotonic time since which nothing of it was generated.
    snapshot : Text or None
        Copy of the text that the run's own thread took between two events.
    saved : int
        Extent of its text that the store has.
    call : CallState
    """

    sample: Sample
    text: Text = field(default_factory=Text)
    failures: int = 0
    running: bool = False
    avoid: str = ""
    moves: int = 0
    silent_runs: int = 0
    not_before: float = 0.0
    waiting_since: float = 0.0
    snapshot: Text | None = None
    saved: int = 0
    call: RewardCallState = field(default_factory=RewardCallState)

    @property
    def text_version(self) -> int:
        """Oldest version that has generated its text; 0 for none."""
        return min(self.text.versions, default=0) if self.text.last_id else 0

    @property
    def snapshot_id(self) -> int:
        """Id of the last event of the snapshot; 0 for none."""
        return self.snapshot.last_id if self.snapshot else 0

    @property
    def unsaved(self) -> bool:
        """Whether the store lacks a part of the snapshot."""
        return self.snapshot is not None and self.snapshot.extent > self.saved

    @property
    def wants_run(self) -> bool:
        """Whether it waits to be run."""
        return not self.running and not self.text.whole

    def wants_call(self, now: float) -> bool:
        """Tell whether its reward call is to be sent, for the first time or again."""
        call = self.call
        if not self.text.whole or call.not_before > now or call.sends >= MAX_SENDS:
            return False
        return call.sends == 0 or now - call.sent_at >= call.slow_after

    def discard_text(self) -> None:
        """Begin anew: what was generated may not be used."""
        self.text = Text()
        self.snapshot = None
        self.saved = 0

    def mark_text_whole(self, now: float) -> None:
        """Note at a monotonic time that the text is whole."""
        self.text.whole = True
        self.snapshot = self.text.copy()
        self.call.due_since = now


@dataclass(slots=True)
class GroupState:
    """A group of samples.

    Attributes
    ----------
    size : int
    finished : int
        Samples with a result, kept or not.
    """

    size: int = 0
    finished: int = 0

    @property
    def whole(self) -> bool:
        """Whether every sample has a result."""
        return self.finished >= self.size


@dataclass(frozen=True, slots=True)
class SubmissionTimes:
    """When a Lot was submitted, on the monotonic clock of its owner.

    Attributes
    ----------
    since : float
        The latest moment at which it can have been: nothing is given up too early.
    likely : float
        The moment by the clocks of two VMs, which may be wrong by seconds: it decides
        only which samples go first.
    """

    latest: float = 0.0
    likely: float = 0.0


def submission_times(lot: Lot, known_for: float, now: float, unix_now: float) -> SubmissionTimes:
    """Return when a Lot was submitted, from what can be known of it.

    Parameters
    ----------
    known_for : float
        Seconds for which this process has known of it.
    now, unix_now : float
        Monotonic and Unix time.
    """
    since = now - known_for
    by_clocks = unix_now - lot.submitted_at
    likely_age = min(max(known_for, by_clocks), known_for + lot.due_seconds)
    return SubmissionTimes(since, now - likely_age)


class LotProgress:
    """An owned Lot.

    Parameters
    ----------
    lot : Lot
    head_revision : int
        Revision of the head row under which this process owns it; 0 while there is
        none.
    results : list of SampleResult
        Results that are kept already.
    times : LotTimes
        Of the Lot on this process's clock.
    spools : tuple of SpoolMember
        Disks that take results which the store does not.

    Attributes
    ----------
    writing_since : float or None
        Monotonic time since which the store has not taken a write.
    spooled : int
        Position up to which all disks of the spool have the results.
    spooled_at : float
        Monotonic time of the last write to the spool.
    possibly_shown : int
        Position up to which results may have been shown, here or by an earlier owner.
    presence_revision : int
        Of the owner's `Presence`, its revision as the Lot came to it.
    """

    def __init__(
        self,
        lot: Lot,
        head_revision: int,
        results: list[SampleResult],
        times: "LotTimes | None" = None,
        spools: tuple[SpoolMember, ...] = (),
    ) -> None:
        times = times or SubmissionTimes()
        self.spools = spools
        self.writing_since: float | None = None
        self.spooled = 0
        self.spooled_at = 0.0
        self.possibly_shown = 0
        self.presence_revision = 0
        self.due_at = times.likely + lot.due_seconds
        self.gives_up_at = times.latest + lot.give_up_seconds
        self.lot = lot
        self.head_revision = head_revision
        self.kept = list(results)
        self.unkept: list[SampleResult] = []
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
        """Whether its head row is still to be written, as the store was away."""
        return not self.head_revision

    @property
    def results(self) -> list[SampleResult]:
        """All results, each at its position."""
        return [*self.kept, *self.in_doubt, *self.unkept]

    @property
    def durable(self) -> list[SampleResult]:
        """The results that outlive this process, in the store or on the spool."""
        if self.spooled <= len(self.kept):
            return self.kept
        return self.results[: self.spooled]

    @property
    def possibly_kept(self) -> int:
        """Position up to which the store may have results, and others have read them.

        The store has a batch before its writer hears of that.
        """
        doubtful = self._writes_in_flight or self._answer_lost
        return len(self.kept) + (len(self.in_doubt) if doubtful else 0)

    @property
    def possibly_read(self) -> int:
        """Position up to which results may have been read, here or elsewhere.

        An earlier owner may have shown what this one has from a disk.
        """
        return max(self.possibly_kept, self.possibly_shown)

    @property
    def finished(self) -> bool:
        """Whether every sample has a kept result."""
        return len(self.kept) >= len(self.lot.samples)

    @property
    def groups(self) -> dict[str, GroupState]:
        """State of each group by its name."""
        return self._groups

    @property
    def whole_groups(self) -> int:
        """Groups of which every sample has a result."""
        return sum(group.whole for group in self._groups.values())

    @property
    def wanted_groups(self) -> int:
        """Groups that the trainer waits for."""
        return min(self.lot.target_groups or len(self._groups), len(self._groups))

    def missing_in_group(self, sample: Sample) -> int:
        """Return how many samples of the sample's group have no result."""
        group = self._groups[sample.group or sample.id]
        return group.size - group.finished

    def finish(self, result: SampleResult) -> bool:
        """Take a sample's result; return ``False`` if it had one already."""
        if not self._close(result.id):
            return False
        self.unkept.append(result)
        return True

    def begin_batch(self, max_bytes: int) -> list[SampleResult]:
        """Return the results to be kept next, at position ``len(kept)``.

        A batch whose write is in doubt is returned again unchanged.

        Parameters
        ----------
        max_bytes : int
            Text that a batch holds at most, unless one result alone has more.
        """
        if not self.in_doubt:
            count = count_fitting(self.unkept, max_bytes)
            self.in_doubt = self.unkept[:count]
            self.unkept = self.unkept[count:]
            self._answer_lost = False
        return self.in_doubt

    def write_sent(self) -> None:
        """Note that the present batch is on its way to the store."""
        self._writes_in_flight += 1

    def write_ended(self, position: int, maybe_done: bool) -> None:
        """Note that the write of the batch at `position` has ended.

        Parameters
        ----------
        maybe_done : bool
            Its answer was lost, so that it may have taken effect.
        """
        self._writes_in_flight -= 1
        if maybe_done and position == len(self.kept):
            self._answer_lost = True

    def snapshots(self) -> dict[str, Text]:
        """Return the snapshots of the samples without a result, by their ids."""
        return {id: state.snapshot for id, state in self.open.items() if state.snapshot}

    def batch_kept(
        self, position: int, texts: Mapping[str, Text] = MappingProxyType({})
    ) -> None:
        """Note that the batch at `position` was written, and `texts` with it.

        A batch may be written twice at once; the second answer then comes as the next
        batch is in doubt.
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
    """Return how many of `results` have so much text together, and one at least."""
    count = 0
    for result in results:
        max_bytes -= len(result.text)
        if max_bytes < 0 and count:
            break
        count += 1
    return count
