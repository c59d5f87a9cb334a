"""Ranks groups of samples while the engines can't run all of them in time.

Only whole groups are of use to a trainer's step. While the engines' slots suffice, the
longest samples go first, so that a step ends as early as possible. While they don't,
that order would begin every group and complete none in time. If most of the groups that
trainers wait for can still be whole in time, these go first, their longest samples
before the others; all other groups wait. If fewer can, the group that needs the least
time is completed before the next one begins, whatever Lot it belongs to. This module
holds decisions and data only.
"""

from collections.abc import Callable, Iterable, Iterator, Mapping, Sequence
from dataclasses import dataclass

from wigeonfront.rollout.lot import Sample
from wigeonfront.rollout.progress import LotProgress, SampleState
from wigeonfront.targets.views import TargetView

LATE_FACTOR = 1.6
"""Multiple of a Lot's due time until which late groups are of use to its trainer."""

USABLE_SHARE = 0.85
"""Share of the slots' time until a Lot is due that groups can be planned into.

Estimates are rough, and slots stay empty while the last samples of a group run.
"""

MIN_PLANNED_SHARE = 0.7
"""Share of the wanted groups that must fit for the longest samples to go first.

With fewer, groups that hold long samples keep slots from many short groups.
"""

MIN_SECONDS_LEFT = 0.05
"""Minimum of the remaining time that is assumed for a sample without a result."""

RATIO_WEIGHT = 0.05
"""Weight of the latest complete run in the ratio of actual to expected time."""

RemainingSeconds = Callable[[SampleState], float]
"""Returns the seconds that a sample still needs."""


@dataclass(frozen=True, slots=True, order=True)
class GroupRank:
    """Rank of a group; the group with the lowest rank goes first.

    Attributes
    ----------
    unwaited : bool
        The trainer does not wait for the group.
    late : bool
        The group can't be whole in time.
    begun : int
        0 if one of the group's samples runs or has generated text, else 1.
    seconds : float
        Seconds that the group's samples need together.
    """

    unwaited: bool = False
    late: bool = False
    begun: int = 0
    seconds: float = 0.0


@dataclass(frozen=True, slots=True)
class _GroupWork:
    """Remaining seconds of a group in total and of its longest sample."""

    seconds: float
    longest: float
    begun: bool


GroupKey = tuple[str, str]
"""Id of a Lot, and name of one of its groups."""


def group_key(progress: LotProgress, sample: Sample) -> GroupKey:
    """Return the key of a sample's group."""
    return progress.lot.id, sample.group or sample.id


class WorkEstimate:
    """Ratio of the time that runs take to the expected time, from complete runs."""

    def __init__(self) -> None:
        self._ratio = 1.0
        self._runs = 0

    @property
    def known(self) -> bool:
        """Whether enough runs were recorded for the ratio to be a measurement."""
        return self._runs * RATIO_WEIGHT >= 1

    @property
    def ratio(self) -> float:
        """Seconds that a run takes for each expected second."""
        return self._ratio

    def note(self, expected: float, seconds: float) -> None:
        """Record a run that has generated a whole text.

        Parameters
        ----------
        expected, seconds : float
            Expected and actual duration of the run in seconds.
        """
        if expected > 0:
            self._runs += 1
            self._ratio += RATIO_WEIGHT * (seconds / expected - self._ratio)


def seconds_left(expected: float, done: float) -> float:
    """Return the seconds that a sample still needs.

    Once a sample has taken longer than expected, half as much again is assumed.

    Parameters
    ----------
    expected : float
        Expected seconds for the whole sample.
    done : float
        Seconds for what is generated already.
    """
    return max(expected - done, done / 2, MIN_SECONDS_LEFT)


def available_slots(views: Iterable[TargetView]) -> float:
    """Return the slots that this process's samples may count on.

    These are the slots that other processes don't use, or this process's share of all
    slots if that is more.
    """
    usable = [view for view in views if view.available and not view.draining]
    total = sum(view.target.slots for view in usable)
    own = sum(view.in_flight for view in usable)
    others = sum(view.others for view in usable)
    share = total * own / (own + others) if own else 0.0
    return max(total - others, share)


def ranks_in_overload(
    lots: Sequence[LotProgress], slots: float, now: float, seconds: RemainingSeconds
) -> dict[GroupKey, GroupRank]:
    """Return the ranks of groups; empty if all wanted groups can be whole in time.

    Parameters
    ----------
    lots : sequence of LotProgress
        Lots that share the slots.
    slots : float
        Slots that these Lots may use.
    now : float
        Monotonic time.
    seconds : callable
        Returns the seconds that a sample still needs.
    """
    work = {progress.lot.id: _work_by_group(progress, seconds) for progress in lots}
    if _fits(lots, work, slots, now):
        return {}
    planned = _planned_groups(lots, work, slots, now)
    waited = {
        (progress.lot.id, group)
        for progress in lots
        for group in _waited(progress, work[progress.lot.id])
    }
    if len(planned) >= MIN_PLANNED_SHARE * len(waited):
        return {
            key: _planned_rank(found, key in planned, key in waited)
            for key, found in _by_key(work)
        }
    due_at = {progress.lot.id: progress.due_at for progress in lots}
    return {
        key: _rank(found, key in waited, due_at[key[0]], now)
        for key, found in _by_key(work)
    }


def _by_key(
    work: Mapping[str, Mapping[str, _GroupWork]],
) -> Iterator[tuple[GroupKey, _GroupWork]]:
    for lot_id, groups in work.items():
        for group, found in groups.items():
            yield (lot_id, group), found


def _work_by_group(
    progress: LotProgress, seconds: RemainingSeconds
) -> dict[str, _GroupWork]:
    by_group: dict[str, _GroupWork] = {}
    for state in progress.open.values():
        group = state.sample.group or state.sample.id
        known = by_group.get(group, _GroupWork(0.0, 0.0, False))
        # A sample whose text is whole waits for its score, which takes no slot.
        need = 0.0 if state.text.whole else seconds(state)
        by_group[group] = _GroupWork(
            known.seconds + need,
            max(known.longest, need),
            known.begun or state.running or bool(state.text.last_id),
        )
    return by_group


def _fits(
    lots: Sequence[LotProgress],
    work: Mapping[str, Mapping[str, _GroupWork]],
    slots: float,
    now: float,
) -> bool:
    """Return whether the groups that each Lot still wants can be whole when it is due.

    Of each Lot the groups count that its trainer waits for.
    """
    needed = 0.0
    for progress in sorted(lots, key=lambda lot: lot.due_at):
        groups = work[progress.lot.id]
        needed += sum(groups[name].seconds for name in _waited(progress, groups))
        if needed > slots * _time_left(progress, now):
            return False
    return True


def _planned_groups(
    lots: Sequence[LotProgress],
    work: Mapping[str, Mapping[str, _GroupWork]],
    slots: float,
    now: float,
) -> set[GroupKey]:
    """Return the groups to complete until their Lots are due, as many as fit.

    Begun groups go before others of their Lot, and short ones before long ones. The
    Lot that is due first gets the slots' time first.
    """
    planned: set[GroupKey] = set()
    needed = 0.0
    for progress in sorted(lots, key=lambda lot: lot.due_at):
        room = USABLE_SHARE * slots * _time_left(progress, now)
        groups = work[progress.lot.id]
        for name in sorted(
            _waited(progress, groups),
            key=lambda name: (not groups[name].begun, groups[name].seconds),
        ):
            if needed + groups[name].seconds <= room:
                needed += groups[name].seconds
                planned.add((progress.lot.id, name))
    return planned


def _waited(progress: LotProgress, groups: Mapping[str, _GroupWork]) -> list[str]:
    return progress.waited_groups(
        {name: group.seconds for name, group in groups.items()}
    )


def _planned_rank(found: _GroupWork, planned: bool, waited: bool) -> GroupRank:
    """Return the rank of a group; all planned groups have the same one."""
    if planned:
        return GroupRank()
    return GroupRank(not waited, True, 0 if found.begun else 1, found.seconds)


def _time_left(progress: LotProgress, now: float) -> float:
    """Return the seconds until a Lot is due, or until late groups are of no use."""
    left = progress.due_at - now
    if left > 0:
        return left
    return max(0.0, left + (LATE_FACTOR - 1) * progress.lot.due_seconds)


def _rank(found: _GroupWork, waited: bool, due_at: float, now: float) -> GroupRank:
    late = now + found.longest > due_at
    return GroupRank(not waited, late, 0 if found.begun else 1, found.seconds)
