"""Computes what an owned Lot still demands of the engines."""

from wigeonfront.capacity import LotDemand, trainer_key
from wigeonfront.configuration import Route
from wigeonfront.rollout.overload import RemainingSeconds, group_key
from wigeonfront.rollout.progress import LotProgress, SampleState


def lot_demand(
    progress: LotProgress, route: Route, now: float, seconds: RemainingSeconds
) -> LotDemand:
    """Return the demand of a Lot for the groups that its trainer still waits for.

    Of all incomplete groups those that need the least time count.

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
    groups: dict[tuple[str, str], list[tuple[float, SampleState]]] = {}
    for state in progress.open.values():
        if not state.text.whole:
            key = group_key(progress, state.sample)
            groups.setdefault(key, []).append((seconds(state), state))
    # Groups whose texts are whole wait for scores, which take no slots.
    scoring = len(progress.groups) - progress.whole_groups - len(groups)
    missing = max(0, progress.wanted_groups - progress.whole_groups - scoring)
    wanted = sorted(
        groups.values(), key=lambda group: sum(needed for needed, _ in group)
    )[:missing]
    return LotDemand(
        lot=progress.lot.id,
        trainer=trainer_key(progress.lot),
        service=route.shares[0].service,
        model=progress.lot.model,
        weight=route.share_weight,
        due_in=progress.due_at - now,
        gives_up_in=progress.gives_up_at - now,
        running=sum(state.running for state in progress.open.values()),
        waiting=sum(state.wants_run for group in wanted for _, state in group),
        seconds=sum(needed for group in wanted for needed, _ in group),
    )
