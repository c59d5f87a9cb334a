"""Keeps the shares of engine slots that this owner's trainers have at present.

Slots of a service are divided only while several trainers have open work on it and
want more slots than there are. `capacity.shares` decides on the shares.
"""

import logging
from collections import Counter
from collections.abc import Callable, Collection, Mapping
from dataclasses import dataclass

from wigeonfront.capacity import DemandBook, LotDemand
from wigeonfront.capacity.recent import RecentTrainers
from wigeonfront.capacity.shares import (
    engine_quotas,
    lot_shares,
    slots_short,
    trainer_claims,
    trainer_shares,
)
from wigeonfront.clock import Clock
from wigeonfront.configuration import Route
from wigeonfront.observability.logs import event
from wigeonfront.observability.metrics import Registry
from wigeonfront.rollout.lot_demand import lot_demand, open_groups, waited_groups
from wigeonfront.rollout.overload import RemainingSeconds
from wigeonfront.rollout.placement import SamplePlacer
from wigeonfront.rollout.progress import LotProgress, SampleState
from wigeonfront.rollout.run import Run
from wigeonfront.rollout.scheduling import EngineRoom, OpenSample, WeightNeeds

logger = logging.getLogger(__name__)

CHECK_SECONDS = 0.2
"""Interval between two computations of the shares, which look at each open sample; a
little less than a round of the exchange."""

MAX_WAIT_SECONDS = 2.0
"""Time without a run after which a trainer sends one even to an engine that is full.

Another owner that does not learn of the trainer would else keep all slots.
"""

END_SECONDS = 1.5
"""Time in which a trainer reads the last group that it waits for, and ends its Lot."""

LOG_SECONDS = 5.0
"""Minimum time between two log lines about changed shares of one service."""

LOG_CHANGE = 0.25
"""Change of the own share that is logged, as a part of the share logged before."""


@dataclass(frozen=True, slots=True)
class Allotment:
    """What a trainer's Lots at this owner may use while slots are divided.

    Attributes
    ----------
    share : int
        Runs that may be in progress.
    quotas : mapping of str to int
        Runs on each engine, by the engine's id.
    """

    share: int
    quotas: Mapping[str, int]


@dataclass(frozen=True, slots=True)
class ServiceShares:
    """The divided slots of a service.

    Attributes
    ----------
    slots : int
        Usable slots.
    wanted : int
        Slots that all trainers want.
    trainers : mapping of str to int
        Shares of all trainers, at all owners.
    allotments : mapping of str to Allotment
        What the trainers of this owner's Lots may use here.
    """

    slots: int
    wanted: int
    trainers: Mapping[str, int]
    allotments: Mapping[str, Allotment]

    @property
    def own_share(self) -> int:
        """Slots that all Lots of this owner may use."""
        return sum(allotment.share for allotment in self.allotments.values())


@dataclass(frozen=True, slots=True)
class TrainerShare:
    """What is known about a trainer's use of engine slots.

    Attributes
    ----------
    service : str
    trainer : str
    weight : float
    share : int or None
        Share of the slots; ``None`` while the slots are not divided.
    running : int
        Samples at engines.
    waiting : int
        Samples without a run that belong to groups the trainer waits for.
    age : float
        Seconds since the oldest report about the trainer's Lots.
    """

    service: str
    trainer: str
    weight: float
    share: int | None
    running: int
    waiting: int
    age: float


class RunUsage:
    """Runs in progress by trainer and engine.

    Parameters
    ----------
    runs : collection of Run
    trainers : mapping of str to str
        Trainers by the ids of their Lots.
    """

    def __init__(self, runs: Collection[Run], trainers: Mapping[str, str]) -> None:
        self._by_engine: dict[tuple[str, str], Counter[str]] = {}
        for run in runs:
            trainer = trainers.get(run.progress.lot.id)
            if trainer is not None:
                self.add(run.view.target.service, trainer, run.target_id)

    def add(self, service: str, trainer: str, engine: str) -> None:
        """Count one more run."""
        self._by_engine.setdefault((service, trainer), Counter())[engine] += 1

    def of(self, service: str, trainer: str) -> Mapping[str, int]:
        """Return the runs of a trainer on each engine of a service, by its id."""
        return self._by_engine.get((service, trainer), Counter())


class ShareMonitor:
    """Computes shares periodically; only `status` and the metrics are thread-safe.

    Parameters
    ----------
    book : DemandBook
        Demands of all owners; receives those of this one.
    placer : SamplePlacer
    clock : Clock
    metrics : Registry
    """

    def __init__(
        self, book: DemandBook, placer: SamplePlacer, clock: Clock, metrics: Registry
    ) -> None:
        self._book = book
        self._placer = placer
        self._clock = clock
        self._checked_at = -1e9
        self._lots: frozenset[str] = frozenset()
        self._recent: dict[str, RecentTrainers] = {}
        # Since when each owned Lot has had nothing that its trainer waits for.
        self._served_since: dict[str, float] = {}
        # Groups that the trainer of each owned Lot waits for.
        self._waited: Mapping[str, frozenset[str]] = {}
        # Replaced as a whole, so that other threads may read it.
        self._shares: Mapping[str, ServiceShares] = {}
        self._logged: dict[str, tuple[float, int]] = {}
        # Since when trainers have had no run, by service and trainer.
        self._idle_since: dict[tuple[str, str], float] = {}
        metrics.gauges(
            "engine_share_slots",
            "Slots that this process may use while they are divided.",
            ("service",),
            lambda: {
                (service,): float(shares.own_share)
                for service, shares in self._shares.items()
            },
        )
        metrics.gauges(
            "engine_runs",
            "Samples of this process at engines.",
            ("service",),
            lambda: self._own_totals("running"),
        )
        metrics.gauges(
            "engine_waiting",
            "Samples of wanted groups without a run.",
            ("service",),
            lambda: self._own_totals("waiting"),
        )

    def update(
        self,
        lots: Collection[LotProgress],
        routes: Mapping[str, Route],
        ratio: float,
        now: float,
    ) -> None:
        """Compute the shares if they are due or a Lot has come or gone.

        Parameters
        ----------
        lots : collection of LotProgress
            Owned Lots.
        routes : mapping of str to Route
            Route of each Lot, by its id.
        ratio : float
            Seconds that a run takes for each expected second.
        now : float
            Monotonic time.
        """
        active = [
            progress
            for progress in lots
            if progress.lot.id in routes and not progress.ended and progress.open
        ]
        ids = frozenset(progress.lot.id for progress in active)
        if now - self._checked_at < CHECK_SECONDS and ids == self._lots:
            return
        self._checked_at = now
        self._lots = ids
        demands = []
        waited: dict[str, frozenset[str]] = {}
        startable: dict[str, Callable[[OpenSample], bool]] = {}
        for progress in active:
            route = routes[progress.lot.id]
            service = route.shares[0].service
            seconds = self._placer.remaining_seconds(service, ratio)
            groups = self._waited_groups(progress, seconds, now)
            waited[progress.lot.id] = frozenset(groups)
            if service not in startable:
                startable[service] = self._startable(service, now)
            demands.append(
                lot_demand(progress, groups, route, now, seconds, startable[service])
            )
        self._waited = waited
        self._served_since = {
            id: since for id, since in self._served_since.items() if id in ids
        }
        self._book.set_own(demands)
        for service in self._book.services():
            recent = self._recent.setdefault(service, RecentTrainers())
            recent.note(self._book.reported(service), now)
        services = {demand.service for demand in demands}
        found = {service: self._divide(service, now) for service in sorted(services)}
        self._shares = {
            service: shares for service, shares in found.items() if shares is not None
        }
        self._note_idle(demands, now)
        self._log(now)

    def _waited_groups(
        self, progress: LotProgress, seconds: RemainingSeconds, now: float
    ) -> dict[str, list[SampleState]]:
        """Return the groups that a trainer waits for; all if it does not end its Lot.

        Required groups are unknown after a Lot has come from another owner. A trainer
        that still reads a Lot whose wanted groups seem whole may wait for others.
        """
        groups = waited_groups(progress, seconds)
        if any(groups.values()):
            self._served_since.pop(progress.lot.id, None)
            return groups
        since = self._served_since.setdefault(progress.lot.id, now)
        if now - since < END_SECONDS:
            return groups
        return open_groups(progress)

    def _startable(self, service: str, now: float) -> Callable[[OpenSample], bool]:
        """Return a function that tells whether an engine could run a sample now."""
        known: dict[WeightNeeds, bool] = {}

        def startable(sample: OpenSample) -> bool:
            needs = sample.needs
            if needs not in known:
                known[needs] = self._placer.has_engine(service, needs, now)
            return known[needs] and sample.state.not_before <= now

        return startable

    def allotment(self, service: str, trainer: str) -> Allotment | None:
        """Return what a trainer may use; ``None`` while slots are not divided."""
        shares = self._shares.get(service)
        return shares.allotments.get(trainer) if shares else None

    def waits_for(self, lot_id: str, group: str) -> bool:
        """Return whether the trainer of an owned Lot waits for a group."""
        return group in self._waited.get(lot_id, ())

    def room(
        self, service: str, trainer: str, usage: RunUsage, now: float
    ) -> EngineRoom | None:
        """Return the engines' room for a trainer; ``None`` if its share is used up.

        Parameters
        ----------
        service, trainer : str
            A trainer with an allotment.
        usage : RunUsage
            Runs of this process.
        now : float
            Monotonic time.
        """
        allotment = self._shares[service].allotments[trainer]
        runs = usage.of(service, trainer)
        total = sum(runs.values())
        idle_since = self._idle_since.get((service, trainer), now)
        starved = not total and now - idle_since >= MAX_WAIT_SECONDS
        if total >= allotment.share and not starved:
            return None
        return EngineRoom(allotment.quotas, runs, starved)

    def status(self) -> list[TrainerShare]:
        """Return what is known about each trainer with open work."""
        found = []
        for service in self._book.services():
            shares = self._shares.get(service)
            reported = self._book.reported(service)
            for claim in trainer_claims(known.demand for known in reported):
                known = [
                    entry for entry in reported if entry.demand.trainer == claim.key
                ]
                found.append(
                    TrainerShare(
                        service,
                        claim.key,
                        claim.weight,
                        shares.trainers.get(claim.key) if shares else None,
                        sum(entry.demand.running for entry in known),
                        sum(entry.demand.waiting for entry in known),
                        max(entry.age for entry in known),
                    )
                )
        return found

    def _note_idle(self, demands: Collection[LotDemand], now: float) -> None:
        """Note since when trainers have had waiting samples but no run here."""
        running = {(d.service, d.trainer) for d in demands if d.running}
        waiting = {(d.service, d.trainer) for d in demands if d.waiting}
        self._idle_since = {
            key: self._idle_since.get(key, now) for key in waiting - running
        }

    def _divide(self, service: str, now: float) -> ServiceShares | None:
        demands = self._book.demands(service)
        claims = trainer_claims(demands)
        present = {claim.key for claim in claims}
        recent = self._recent[service]
        claims += recent.assumed(present, self._book.reported_at, now)
        wanted = sum(claim.wanted for claim in claims)
        if len(claims) < 2 or not self._book.complete:
            return None
        # Spares the search through all engines of a large service.
        if self._placer.suffices(service, wanted):
            return None
        engines = self._placer.engine_slots(service)
        if not slots_short(claims, engines.usable):
            return None
        trainers = trainer_shares(claims, engines.usable)
        by_lot = lot_shares(demands, trainers)
        own: dict[str, set[tuple[str, str]]] = {}
        for demand in self._book.own():
            if demand.service == service:
                key = demand.trainer, demand.lot
                own.setdefault(demand.trainer, set()).add(key)
        allotments = {
            trainer: Allotment(
                sum(by_lot.get(key, 0) for key in keys),
                engine_quotas(by_lot, keys, engines.registered),
            )
            for trainer, keys in own.items()
        }
        return ServiceShares(engines.usable, wanted, trainers, allotments)

    def _own_totals(self, field: str) -> dict[tuple[str, ...], float]:
        totals: Counter[tuple[str, ...]] = Counter()
        for demand in self._book.own():
            if demand.refused_for is not None:
                continue
            totals[(demand.service,)] += getattr(demand, field)
        return {key: float(total) for key, total in totals.items()}

    def _log(self, now: float) -> None:
        """Log shares that begin, end or change noticeably."""
        for service in sorted(self._logged.keys() | self._shares.keys()):
            shares = self._shares.get(service)
            own_share = shares.own_share if shares else 0
            logged_at, logged_share = self._logged.get(service, (-1e9, 0))
            changed = abs(own_share - logged_share) > LOG_CHANGE * logged_share
            if not changed or now - logged_at < LOG_SECONDS:
                continue
            self._logged[service] = now, own_share
            event(
                logger,
                "engine_shares",
                service=service,
                divided=shares is not None,
                slots=shares.slots if shares else 0,
                wanted=shares.wanted if shares else 0,
                trainers=len(shares.trainers) if shares else 0,
                own_share=own_share,
            )
