"""Ranks groups of samples while the engines can't run all of them in time.

Only whole groups are of use to a trainer's step. While the engines' slots suffice, the
longest samples go first, so that a step ends as early as possible. While they don't,
that order would begin every group and complete none in time. If most of the groups that
trainers wait for can still be whole in time, these go first, their longest samples
before the others; all other groups wait. If fewer can, the group that needs the least
time is completed before the next one begins, whatever Lot it belongs to. This module
holds decisions and data only.
"""

from collections.abc import Callable, Iterable, Mapping, Sequence
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
    late : bool
        The group can't, or need not, be whole in time.
    begun : int
        0 if one of the group's samples runs or has generated text, else 1.
    seconds : float
        Seconds that the group's samples need together.
    """

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
    if len(planned) >= MIN_PLANNED_SHARE * sum(map(_missing_groups, lots)):
        return {
            (progress.lot.id, group): _planned_rank(
                group_work, (progress.lot.id, group) in planned
            )
            for progress in lots
            for group, group_work in work[progress.lot.id].items()
        }
    return {
        (progress.lot.id, group): _rank(progress, group_work, now)
        for progress in lots
        for group, group_work in work[progress.lot.id].items()
    }


def _work_by_group(
    progress: LotProgress, seconds: RemainingSeconds
) -> dict[str, _GroupWork]:
    by_group: dict[str, _GroupWork] = {}
    for state in progress.open.values():
        group = state.sample.group or state.sample.id
        known = by_group.get(group, _GroupWork(0.0, 0.0, False))
        need = seconds(state)
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

    Of each Lot the groups that need the least time count.
    """
    needed = 0.0
    for progress in sorted(lots, key=lambda lot: lot.due_at):
        shortest = sorted(group.seconds for group in work[progress.lot.id].values())
        needed += sum(shortest[: _missing_groups(progress)])
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
        groups = sorted(
            work[progress.lot.id].items(),
            key=lambda item: (not item[1].begun, item[1].seconds),
        )
        for name, group in groups[: _missing_groups(progress)]:
            if needed + group.seconds <= room:
                needed += group.seconds
                planned.add((progress.lot.id, name))
    return planned


def _missing_groups(progress: LotProgress) -> int:
    return max(0, progress.wanted_groups - progress.whole_groups)


def _planned_rank(found: _GroupWork, planned: bool) -> GroupRank:
    """Return the rank of a group; all planned groups have the same one."""
    if planned:
        return GroupRank()
    return GroupRank(True, 0 if found.begun else 1, found.seconds)


def _time_left(progress: LotProgress, now: float) -> float:
    """Return the seconds until a Lot is due, or until late groups are of no use."""
    left = progress.due_at - now
    if left > 0:
        return left
    return max(0.0, left + (LATE_FACTOR - 1) * progress.lot.due_seconds)


def _rank(progress: LotProgress, found: _GroupWork, now: float) -> GroupRank:
    late = now + found.longest > progress.due_at
    return GroupRank(late, 0 if found.begun else 1, found.seconds)
