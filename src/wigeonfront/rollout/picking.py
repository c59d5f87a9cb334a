"""Which waiting samples are sent now, and to which engines."""

from collections.abc import Collection, Iterator
from dataclasses import dataclass

from wigeonfront.clock import Clock
from wigeonfront.configuration import Configuration
from wigeonfront.rollout.scheduling import Needs, Waiting, waiting_samples
from wigeonfront.rollout.placement import OverloadWatch, SamplePlacer
from wigeonfront.rollout.progress import LotProgress
from wigeonfront.rollout.run import Run
from wigeonfront.targets.views import TargetView


@dataclass(frozen=True, slots=True)
class Pick:
    """A sample that is sent now."""

    waiting: Waiting
    view: TargetView


class Picker:
    """Goes through the waiting samples in their order.

    Parameters
    ----------
    placer : SamplePlacer
    overload : OverloadWatch
    clock : Clock
    """

    def __init__(
        self, placer: SamplePlacer, overload: OverloadWatch, clock: Clock
    ) -> None:
        self._placer = placer
        self._overload = overload
        self._clock = clock

    def picks(
        self,
        lots: Collection[LotProgress],
        runs: Collection[Run],
        configuration: Configuration,
    ) -> Iterator[Pick]:
        """Yield samples; each must be sent before the next one is asked for.

        Parameters
        ----------
        lots : collection of LotProgress
        runs : collection of Run
            Those in progress; what is sent meanwhile shows in it.
        """
        now = self._clock.monotonic()
        services = _services(lots, configuration)
        ranks = self._overload.ranks(lots, services, now)
        full: set[tuple[str, Needs]] = set()
        for waiting in waiting_samples(list(lots), now, ranks):
            service = services.get(waiting.progress.lot.id)
            if service is None or (service, waiting.needs) in full:
                continue
            group_targets = _group_targets(runs, waiting.state.sample.group)
            shared = waiting.group_key in ranks
            view = self._placer.place(waiting, service, group_targets, shared)
            if view is not None:
                yield Pick(waiting, view)
            elif not waiting.needs.text_version:
                # Whether a text is waited for is decided for each sample.
                full.add((service, waiting.needs))


def _services(
    lots: Collection[LotProgress], configuration: Configuration
) -> dict[str, str]:
    """Return the service of each Lot that has a route."""
    found = {}
    for progress in lots:
        route = configuration.find(progress.lot.host, progress.lot.prefix)
        if route is not None:
            found[progress.lot.id] = route.shares[0].service
    return found


def _group_targets(runs: Collection[Run], group: str) -> frozenset[str]:
    """Return the engines that have samples of a group."""
    return frozenset(run.target_id for run in runs if run.state.sample.group == group)
