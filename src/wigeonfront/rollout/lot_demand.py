"""Computes what an owned Lot still demands of the engines."""

from collections.abc import Callable, Mapping, Sequence

from wigeonfront.capacity import LotDemand, trainer_key
from wigeonfront.configuration import Route
from wigeonfront.rollout.overload import RemainingSeconds
from wigeonfront.rollout.progress import LotProgress, SampleState
from wigeonfront.rollout.scheduling import OpenSample


def open_groups(progress: LotProgress) -> dict[str, list[SampleState]]:
    """Return the samples without a whole text, by incomplete group."""
    groups: dict[str, list[SampleState]] = {}
    for state in progress.open.values():
        samples = groups.setdefault(state.sample.group or state.sample.id, [])
        # A sample whose text is whole waits for its score, which takes no slot.
        if not state.text.whole:
            samples.append(state)
    return groups


def waited_groups(
    progress: LotProgress, seconds: RemainingSeconds
) -> dict[str, list[SampleState]]:
    """Return the samples without a whole text that the trainer waits for, by group.

    Parameters
    ----------
    progress : LotProgress
    seconds : callable
        Returns the seconds that a sample still needs.
    """
    groups = open_groups(progress)
    needed = {name: sum(map(seconds, states)) for name, states in groups.items()}
    return {name: groups[name] for name in progress.waited_groups(needed)}


def lot_demand(
    progress: LotProgress,
    waited: Mapping[str, Sequence[SampleState]],
    route: Route,
    now: float,
    seconds: RemainingSeconds,
    startable: Callable[[OpenSample], bool] = lambda sample: True,
) -> LotDemand:
    """Return the demand of a Lot for the groups that its trainer still waits for.

    Parameters
    ----------
    progress : LotProgress
    waited : mapping of str to sequence of SampleState
        The samples that the trainer waits for, by group.
    route : Route
        Route of the Lot.
    now : float
        Monotonic time.
    seconds : callable
        Returns the seconds that a sample still needs.
    startable : callable, optional
        Returns whether an engine could run a waiting sample now. Other samples demand
        nothing, so that no slot is kept for them.
    """
    samples = [
        state
        for states in waited.values()
        for state in states
        if state.running or startable(OpenSample(progress, state))
    ]
    return LotDemand(
        lot=progress.lot.id,
        trainer=trainer_key(progress.lot),
        service=route.shares[0].service,
        model=progress.lot.model,
        weight=route.share_weight,
        due_in=progress.due_at - now,
        gives_up_in=progress.gives_up_at - now,
        running=sum(state.running for state in progress.open.values()),
        waiting=sum(state.wants_run for state in samples),
        seconds=sum(map(seconds, samples)),
    )
