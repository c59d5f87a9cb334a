"""Decides at a Lot's preferred owner whether the Lot is accepted, and keeps turns.

A refused Lot keeps its place for a bounded time. Until then it counts as demand when
later Lots are decided on, at this entry and, by the owners' reports, at all others.
Places are compared by the time for which each has waited, as known here. A report is
late by the time of its transfer, so that its Lot seems younger than it is: of two
refused Lots that are decided on at two entries at the same moment, both may be
accepted, but they never refuse each other.
"""

import logging
import math
import threading
from collections import deque
from collections.abc import Callable, Sequence
from dataclasses import dataclass, replace

from wigeonfront.capacity.admission import (
    PLACE_GRACE_SECONDS,
    Capacity,
    Claim,
    DoesNotFit,
    Fits,
    GroupWork,
    decide,
    with_turns,
)
from wigeonfront.capacity.demand import (
    REPORT_TTL_SECONDS,
    DemandBook,
    LotDemand,
    trainer_key,
)
from wigeonfront.capacity.observation import DrainRate, SlotWatch
from wigeonfront.clock import Clock
from wigeonfront.configuration import Configuration, Route, Service
from wigeonfront.observability.logs import event
from wigeonfront.observability.metrics import Registry
from wigeonfront.rollout.lot import Lot
from wigeonfront.rollout.overload import LATE_FACTOR, WorkEstimate
from wigeonfront.rollout.progress import SampleState
from wigeonfront.rollout.scheduling import expected_seconds
from wigeonfront.targets.table import TargetTable

logger = logging.getLogger(__name__)

OBSERVE_SECONDS = 0.25
"""Interval between two observations: the pause of the exchange between owners."""

DOUBT_SECONDS = 10.0
"""Time for which a Lot is never refused after it may have been stored.

A call to the store that got no answer may take effect seconds later.
"""

ACCEPT_SECONDS = 30.0
"""Longest time that the acceptance of a Lot takes, many times the time limit of a call
to the store or to a disk."""

MAX_SHOWN_REFUSALS = 20
"""Number of refused Lots that the status of an entry shows."""


@dataclass(frozen=True, slots=True)
class RefusedLot:
    """A refusal, as the status of an entry shows it.

    Attributes
    ----------
    lot : str
    trainer : str
    service : str
    reason : str
    at : float
        Unix time in seconds.
    retry_after : float
        Seconds after which the trainer may submit the Lot again.
    needed, available : float
        Seconds of engine slots that the Lot's first group needs, earlier Lots included,
        and that its trainer gets while the Lot is of use.
    """

    lot: str
    trainer: str
    service: str
    reason: str
    at: float
    retry_after: float
    needed: float
    available: float


@dataclass(frozen=True, slots=True)
class _Held:
    """A Lot that is being accepted, or was refused.

    Attributes
    ----------
    demand : LotDemand
    since : float
        Monotonic time from which the demand's times are counted.
    until : float
        Monotonic time from which the Lot no longer counts here.
    first_at : float
        Monotonic time of the first submission that this process knows of.
    attempts : int
        Acceptances in progress. A repeated submission may arrive during the first one.
    stored : bool
        Whether the Lot is stored, or may be.
    """

    demand: LotDemand
    since: float
    until: float
    first_at: float
    attempts: int = 0
    stored: bool = False


class LotAdmission:
    """Accepts and refuses Lots; thread-safe.

    Parameters
    ----------
    book : DemandBook
    table : TargetTable
    work : WorkEstimate
        Ratio of the time that runs take to the expected time.
    configuration : callable
        Returns the configuration in force, or ``None``.
    targets_known : callable
        Returns whether the registrations of targets are up to date.
    clock : Clock
    metrics : wigeonfront.observability.metrics.Registry
    """

    def __init__(
        self,
        book: DemandBook,
        table: TargetTable,
        work: WorkEstimate,
        configuration: Callable[[], Configuration | None],
        targets_known: Callable[[], bool],
        clock: Clock,
        metrics: Registry,
    ) -> None:
        self._book = book
        self._table = table
        self._work = work
        self._configuration = configuration
        self._targets_known = targets_known
        self._clock = clock
        self._lock = threading.RLock()
        self._slots: dict[str, SlotWatch] = {}
        self._drain: dict[str, DrainRate] = {}
        self._accepting: dict[str, _Held] = {}
        self._places: dict[str, _Held] = {}
        self._shown: deque[RefusedLot] = deque(maxlen=MAX_SHOWN_REFUSALS)
        self._outcomes = metrics.counter(
            "lot_admissions_total",
            "Decisions on submitted Lots.",
            ("service", "outcome"),
        )

    # --- observation ---------------------------------------------------------

    def run(self, stop: threading.Event) -> None:
        """Observe engines and demand at intervals (a supervisor's task)."""
        while not stop.wait(OBSERVE_SECONDS):
            self.observe()

    def observe(self) -> None:
        """Observe engines and demand once, and drop what no longer counts."""
        configuration = self._configuration()
        if configuration is None:
            return
        now = self._clock.monotonic()
        with self._lock:
            for name, service in configuration.services.items():
                if service.slots:
                    self._observe_service(name, now)
            self._report(now)

    def _observe_service(self, service: str, now: float) -> None:
        watch = self._slots.setdefault(service, SlotWatch())
        watch.observe(self._table.views(service), now)
        rate = self._drain.setdefault(service, DrainRate())
        rate.observe(self._book.demands(service), now)

    def _report(self, now: float) -> None:
        """Tell the book which Lots are being accepted or were refused."""
        owned = self._book.owned_lots()
        self._accepting = {
            id: held
            for id, held in _current(self._accepting, now).items()
            if id not in owned or held.attempts
        }
        self._places = _current(self._places, now)
        self._book.set_undecided(
            [_demand(held, now) for held in self._accepting.values()]
            + [
                replace(_demand(place, now), refused_for=now - place.first_at)
                for place in self._places.values()
            ]
        )

    # --- decision ------------------------------------------------------------

    def admit(self, lot: Lot, surely_unknown: Callable[[], bool]) -> Fits | DoesNotFit:
        """Decide on a Lot that this process may own.

        Parameters
        ----------
        lot : Lot
        surely_unknown : callable
            Returns whether neither the store nor a disk has the Lot, and none may get
            it from an earlier submission. It is called before the Lot is refused.

        Returns
        -------
        Fits or DoesNotFit
            If the Lot fits, it counts as demand until `settled` is called.
        """
        route, service = self._find_service(lot)
        if route is None or service is None:
            return Fits("no engines in the service")
        with self._lock:
            outcome = self._decide(lot, route, service)
            if isinstance(outcome, Fits):
                self._keep_room(lot, route, service)
        if isinstance(outcome, DoesNotFit):
            # The store is asked without the lock, as it may answer late.
            unknown = surely_unknown()
            with self._lock:
                if not unknown or self.may_be_kept(lot.id):
                    outcome = Fits("may be accepted already", outcome.fit)
                    self._keep_room(lot, route, service)
                else:
                    self._keep_place(lot, route, service, outcome)
        self._tell(lot, service, outcome)
        return outcome

    def settled(self, lot_id: str, kept: bool, in_doubt: bool = False) -> None:
        """Note how the acceptance of a Lot ended.

        Parameters
        ----------
        lot_id : str
        kept : bool
            Whether the Lot was stored.
        in_doubt : bool
            Whether this is unknown. The Lot is not refused for `DOUBT_SECONDS`.
        """
        with self._lock:
            held = self._accepting.get(lot_id)
            if held is None:
                return
            now = self._clock.monotonic()
            attempts = max(0, held.attempts - 1)
            until = held.until if attempts or held.stored else now
            if kept or in_doubt:
                seconds = DOUBT_SECONDS if in_doubt else REPORT_TTL_SECONDS
                until = max(until, now + seconds)
            self._accepting[lot_id] = replace(
                held,
                attempts=attempts,
                stored=held.stored or kept or in_doubt,
                until=until,
            )
            self._report(now)

    def may_be_kept(self, lot_id: str) -> bool:
        """Return whether this process is accepting a Lot or may have stored it."""
        with self._lock:
            held = self._accepting.get(lot_id)
            return held is not None and held.until > self._clock.monotonic()

    def refused_for(self, lot: Lot) -> float:
        """Return the seconds since a Lot was first refused; 0 if it was not."""
        now = self._clock.monotonic()
        with self._lock:
            held = self._places.get(lot.id) or self._accepting.get(lot.id)
        own = now - held.first_at if held is not None else 0.0
        _, service = self._find_service(lot)
        reported = self._book.refused(service.name) if service is not None else []
        ages = [found.refused_for or 0.0 for found in reported if found.lot == lot.id]
        return max(own, *ages, 0.0)

    def refused_lots(self) -> list[RefusedLot]:
        """Return the latest refusals, the newest first."""
        with self._lock:
            return list(reversed(self._shown))

    def _find_service(self, lot: Lot) -> tuple[Route | None, Service | None]:
        """Return the route and the service of a Lot, if the service has engines."""
        configuration = self._configuration()
        if configuration is None:
            return None, None
        route = configuration.find_route(lot.host, lot.prefix)
        if route is None:
            return None, None
        service = configuration.services.get(route.shares[0].service)
        return route, service if service is not None and service.slots else None

    def _decide(self, lot: Lot, route: Route, service: Service) -> Fits | DoesNotFit:
        now = self._clock.monotonic()
        if self.may_be_kept(lot.id):
            return Fits("being accepted", known=True)
        demands = self._book.demands(service.name)
        if any(demand.lot == lot.id for demand in demands):
            return Fits("accepted elsewhere", known=True)
        if not self._work.known:
            return Fits("pace of runs unknown")
        waited = self.refused_for(lot)
        places = sorted(
            (
                found
                for found in self._book.refused(service.name)
                if found.lot != lot.id and (found.refused_for or 0.0) > waited
            ),
            key=lambda found: -(found.refused_for or 0.0),
        )
        useful = useful_seconds(lot)
        claim = Claim(
            trainer_key(lot),
            route.share_weight,
            useful - waited if useful else None,
            self._groups(lot),
        )
        capacity = self._capacity(service.name, now)
        return decide(claim, capacity, with_turns(places, capacity, demands))

    def _capacity(self, service: str, now: float) -> Capacity:
        watch = self._slots.get(service)
        if watch is None or not self._targets_known():
            return Capacity(None)
        drain = self._drain.get(service)
        return Capacity(
            watch.slots, watch.absent_for(now), drain.rate if drain is not None else 0.0
        )

    def _groups(self, lot: Lot) -> tuple[GroupWork, ...]:
        seconds: dict[str, list[float]] = {}
        for sample in lot.samples:
            expected = self._work.ratio * expected_seconds(SampleState(sample))
            seconds.setdefault(sample.group or sample.id, []).append(expected)
        return tuple(GroupWork(sum(each), max(each)) for each in seconds.values())

    def _keep_room(self, lot: Lot, route: Route, service: Service) -> None:
        """Count a Lot as accepted until its owner reports it."""
        now = self._clock.monotonic()
        age = self.refused_for(lot)
        self._places.pop(lot.id, None)
        held = self._accepting.get(lot.id) or _Held(
            self._make_demand(lot, route, service, age), now, now, now - age
        )
        # `settled` shortens the time.
        until = max(held.until, now + ACCEPT_SECONDS)
        self._accepting[lot.id] = replace(held, until=until, attempts=held.attempts + 1)
        self._report(now)

    def _keep_place(
        self, lot: Lot, route: Route, service: Service, outcome: DoesNotFit
    ) -> None:
        """Keep the place of a refused Lot until it is due back."""
        now = self._clock.monotonic()
        age = self.refused_for(lot)
        demand = self._make_demand(lot, route, service, age, wanted=1)
        until = now + outcome.retry_after + PLACE_GRACE_SECONDS
        self._places[lot.id] = _Held(demand, now, until, now - age)
        self._report(now)

    def _make_demand(
        self,
        lot: Lot,
        route: Route,
        service: Service,
        age: float,
        wanted: int | None = None,
    ) -> LotDemand:
        """Return what a Lot demands that has no runs yet.

        Parameters
        ----------
        lot : Lot
        route : Route
        service : Service
        age : float
            Seconds since the Lot was first submitted.
        wanted : int, optional
            Number of groups that count; by default those that the trainer waits for.
        """
        groups = sorted(group.seconds for group in self._groups(lot))
        wanted = min(wanted or lot.target_groups or len(groups), len(groups))
        share = wanted / len(groups) if groups else 0.0
        return LotDemand(
            lot=lot.id,
            trainer=trainer_key(lot),
            service=service.name,
            model=lot.model,
            weight=route.share_weight,
            due_in=lot.due_seconds - age,
            gives_up_in=useful_seconds(lot) - age,
            running=0,
            waiting=math.ceil(share * len(lot.samples)),
            seconds=sum(groups[:wanted]),
        )

    def _tell(self, lot: Lot, service: Service, outcome: Fits | DoesNotFit) -> None:
        self._outcomes.increment(
            service=service.name,
            outcome="refused" if isinstance(outcome, DoesNotFit) else "accepted",
        )
        if not isinstance(outcome, DoesNotFit):
            return
        now = self._clock.monotonic()
        with self._lock:
            capacity = self._capacity(service.name, now)
            demands = self._book.demands(service.name)
            self._shown.append(
                RefusedLot(
                    lot.id,
                    trainer_key(lot),
                    service.name,
                    outcome.reason,
                    self._clock.time(),
                    outcome.retry_after,
                    outcome.fit.needed,
                    outcome.fit.available,
                )
            )
        event(
            logger,
            "lot_refused",
            lot=lot.id,
            service=service.name,
            reason=outcome.reason,
            retry_after=outcome.retry_after,
            needed=outcome.fit.needed,
            available=outcome.fit.available,
            slots=capacity.slots,
            absent_for=capacity.absent_for or 0.0,
            drain_rate=capacity.drain_rate,
            demand=_total(demands),
            lots=len(demands),
            oldest_report=self._book.oldest_report(),
            ratio=self._work.ratio,
            waited=self.refused_for(lot),
        )


def useful_seconds(lot: Lot) -> float:
    """Return the seconds from a Lot's submission for which whole groups are of use.

    The result is 0 if the Lot is never due.
    """
    late = LATE_FACTOR * lot.due_seconds
    return min(late, lot.give_up_seconds) if lot.give_up_seconds > 0 else late


def _current(lots: dict[str, _Held], now: float) -> dict[str, _Held]:
    return {id: held for id, held in lots.items() if held.until > now}


def _demand(held: _Held, now: float) -> LotDemand:
    """Return a Lot's demand with its times counted from `now`."""
    age = now - held.since
    demand = held.demand
    return replace(
        demand, due_in=demand.due_in - age, gives_up_in=demand.gives_up_in - age
    )


def _total(demands: Sequence[LotDemand]) -> float:
    return sum(demand.seconds for demand in demands)
