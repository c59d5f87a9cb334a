"""Computes what an owned Lot still demands of the engines."""

from wigeonfront.capacity import LotDemand, trainer_key
from wigeonfront.configuration import Route
from wigeonfront.rollout.overload import RemainingSeconds
from wigeonfront.rollout.progress import LotProgress, SampleState


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
    groups: dict[str, list[SampleState]] = {}
    for state in progress.open.values():
        samples = groups.setdefault(state.sample.group or state.sample.id, [])
        # A sample whose text is whole waits for its score, which takes no slot.
        if not state.text.whole:
            samples.append(state)
    needed = {name: sum(map(seconds, states)) for name, states in groups.items()}
    return {name: groups[name] for name in progress.waited_groups(needed)}


def lot_demand(
    progress: LotProgress, route: Route, now: float, seconds: RemainingSeconds
) -> LotDemand:
    """Return the demand of a Lot for the groups that its trainer still waits for.

    Parameters
    ----------
    progress : LotProgress
    route : Route
        Route of the Lot.
    now : float
        Monotonic time.
    seconds : callable
        Returns the seconds that a sample still needs.
    """
    waited = [
        state
        for states in waited_groups(progress, seconds).values()
        for state in states
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
        waiting=sum(state.wants_run for state in waited),
        seconds=sum(map(seconds, waited)),
    )
