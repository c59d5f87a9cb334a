"""Selects the waiting samples that are sent now, and their engines."""

from collections.abc import Collection, Iterator
from dataclasses import dataclass

from wigeonfront.capacity import trainer_key
from wigeonfront.clock import Clock
from wigeonfront.configuration import Configuration, Route
from wigeonfront.rollout.engine_shares import RunUsage, ShareMonitor
from wigeonfront.rollout.placement import OverloadMonitor, SamplePlacer
from wigeonfront.rollout.progress import LotProgress
from wigeonfront.rollout.run import Run
from wigeonfront.rollout.scheduling import OpenSample, WeightNeeds, waiting_samples
from wigeonfront.targets.views import TargetView


@dataclass(frozen=True, slots=True)
class Pick:
    """A sample that is to be sent now, and its engine."""

    waiting: OpenSample
    view: TargetView


class Picker:
    """Selects waiting samples in the order of their urgency.

    Parameters
    ----------
    placer : SamplePlacer
    overload : OverloadMonitor
    shares : ShareMonitor
    clock : Clock
    """

    def __init__(
        self,
        placer: SamplePlacer,
        overload: OverloadMonitor,
        shares: ShareMonitor,
        clock: Clock,
    ) -> None:
        self._placer = placer
        self._overload = overload
        self._shares = shares
        self._clock = clock

    def picks(
        self,
        lots: Collection[LotProgress],
        runs: Collection[Run],
        configuration: Configuration,
    ) -> Iterator[Pick]:
        """Yield samples to send; each must be sent before the next one is requested.

        Parameters
        ----------
        lots : collection of LotProgress
        runs : collection of Run
            A live view of the runs in progress, which includes the samples that were
            sent since the first one was yielded.
        configuration : Configuration
        """
        now = self._clock.monotonic()
        routes = _routes(lots, configuration)
        services = {id: route.shares[0].service for id, route in routes.items()}
        ranks = self._overload.ranks(lots, services, now)
        self._shares.update(lots, routes, self._overload.work.ratio, now)
        trainers = {lot.lot.id: trainer_key(lot.lot) for lot in lots}
        usage = RunUsage(runs, trainers)
        # The trainer is empty where slots are not divided.
        full: set[tuple[str, str, WeightNeeds]] = set()
        for waiting in waiting_samples(list(lots), now, ranks):
            service = services.get(waiting.progress.lot.id)
            if service is None:
                continue
            trainer = trainers[waiting.progress.lot.id]
            divided = self._shares.allotment(service, trainer) is not None
            full_key = service, trainer if divided else "", waiting.needs
            if full_key in full:
                continue
            room = None
            if divided:
                if not self._shares.waits_for(*waiting.group_key):
                    continue
                room = self._shares.room(service, trainer, usage, now)
                if room is None:
                    full.add(full_key)
                    continue
            group_targets = _group_targets(runs, waiting.state.sample.group)
            shared = waiting.group_key in ranks
            view = self._placer.place(
                waiting, service, group_targets, shared, room, _reserved_target(runs)
            )
            if view is not None:
                yield Pick(waiting, view)
                usage.add(service, trainer, view.target.id)
            elif not waiting.needs.text_version:
                # A sample whose text is bound to a version is decided on its own:
                # its text may be dropped while those of others are kept.
                full.add(full_key)


def _routes(
    lots: Collection[LotProgress], configuration: Configuration
) -> dict[str, Route]:
    """Return the route of each Lot that has one."""
    routes = {}
    for progress in lots:
        route = configuration.find_route(progress.lot.host, progress.lot.prefix)
        if route is not None:
            routes[progress.lot.id] = route
    return routes


def _reserved_target(runs: Collection[Run]) -> str:
    """Return the id of the engine that is kept for an isolated run; empty for none.

    Only one engine is: after a burst of crashes many samples are isolated, which would
    otherwise take all engines from the others.
    """
    return next((run.target_id for run in runs if run.handle.isolated), "")


def _group_targets(runs: Collection[Run], group: str) -> frozenset[str]:
    """Return the ids of the engines that run samples of a group."""
    return frozenset(run.target_id for run in runs if run.state.sample.group == group)
