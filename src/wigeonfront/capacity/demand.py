"""What the Lots of all owners still demand of the engines.

A process knows the demand of its own Lots exactly. The demand of other owners' Lots it
knows from their reports, which are a fraction of a second old and are dropped once they
are older than `REPORT_TTL_SECONDS`.
"""

import threading
from collections.abc import Iterable
from dataclasses import dataclass, replace
from math import inf
from typing import Annotated

import msgspec

from wigeonfront.clock import Clock
from wigeonfront.rollout.lot import Lot

REPORT_TTL_SECONDS = 2.0
"""Age beyond which an owner's report no longer counts: eight rounds of the exchange.

It is about the time after which another entry takes over the Lots of an owner that is
gone.
"""


@dataclass(frozen=True, slots=True)
class LotDemand:
    """What one open Lot still demands of the engines of its service.

    Attributes
    ----------
    lot : str
        Id of the Lot.
    trainer : str
        Key of the trainer that submitted the Lot; see `trainer_key`.
    service : str
    model : str
    weight : float
        Weight of the trainer when engine slots are short; above 0.
    due_in : float
        Seconds until the Lot is due; negative if it is late.
    gives_up_in : float
        Seconds until samples of the Lot are given up.
    running : int
        Samples that are at engines.
    waiting : int
        Samples without a run that belong to groups the trainer still waits for; for a
        refused Lot, those of its shortest group.
    seconds : float
        Seconds of engine slots that the groups still take for which the trainer waits;
        for a refused Lot, those of its shortest group.
    refused_for : float or None
        Seconds since the Lot was first refused, if it waits for its turn to be accepted
        and so has no runs; ``None`` for an accepted Lot.
    """

    lot: str
    trainer: str
    service: str
    model: str
    weight: Annotated[float, msgspec.Meta(gt=0)]
    due_in: float
    gives_up_in: float
    running: Annotated[int, msgspec.Meta(ge=0)]
    waiting: Annotated[int, msgspec.Meta(ge=0)]
    seconds: Annotated[float, msgspec.Meta(ge=0)]
    refused_for: float | None = None


def trainer_key(lot: Lot) -> str:
    """Return the key of a Lot's trainer: its account, its route and its model."""
    return f"{lot.account} {lot.host}{lot.prefix} {lot.model}"


@dataclass(frozen=True, slots=True)
class ReportedDemand:
    """A demand with its source.

    Attributes
    ----------
    demand : LotDemand
    owner : str
        Address of the owner that reported the demand; empty for this process.
    age : float
        Seconds since the report arrived.
    """

    demand: LotDemand
    owner: str
    age: float


@dataclass(frozen=True, slots=True)
class _Report:
    demands: tuple[LotDemand, ...]
    received_at: float


class DemandBook:
    """The demands of all owners' Lots, as far as this process knows; thread-safe.

    Parameters
    ----------
    clock : Clock
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._lock = threading.Lock()
        self._own: _Report = _Report((), 0.0)
        # Lots that this process is accepting or has refused.
        self._undecided: _Report = _Report((), 0.0)
        # Reports of other owners by their addresses.
        self._reports: dict[str, _Report] = {}
        # When owners answered that can't report demands.
        self._silent: dict[str, float] = {}

    def set_own(self, demands: Iterable[LotDemand]) -> None:
        """Replace the demands of the Lots that this process owns."""
        with self._lock:
            self._own = _Report(tuple(demands), self._clock.monotonic())

    def owned_lots(self) -> set[str]:
        """Return the ids of the Lots that this process owns."""
        with self._lock:
            return {demand.lot for demand in self._own.demands}

    def set_undecided(self, demands: Iterable[LotDemand]) -> None:
        """Replace the demands of the Lots that this process is accepting or refused."""
        with self._lock:
            self._undecided = _Report(tuple(demands), self._clock.monotonic())

    def own(self) -> list[LotDemand]:
        """Return the demands that this process reports to other owners.

        These are the Lots that it owns, and those that it is accepting or has refused.
        """
        with self._lock:
            now = self._clock.monotonic()
            owned = _as_of(self._own, now)
            known = {demand.lot for demand in owned}
            undecided = _as_of(self._undecided, now)
            return owned + [found for found in undecided if found.lot not in known]

    def set_reported(self, owner: str, demands: Iterable[LotDemand]) -> None:
        """Replace what another owner has reported.

        Parameters
        ----------
        owner : str
            Address of the owner.
        demands : iterable of LotDemand
        """
        with self._lock:
            now = self._clock.monotonic()
            self._reports[owner] = _Report(tuple(demands), now)
            self._silent.pop(owner, None)
            self._drop_old(now)

    def set_unreported(self, owner: str) -> None:
        """Note that another owner answers but can't report demands.

        Parameters
        ----------
        owner : str
            Address of the owner.
        """
        with self._lock:
            self._silent[owner] = self._clock.monotonic()

    @property
    def complete(self) -> bool:
        """Whether every owner that answers reports its demands."""
        with self._lock:
            now = self._clock.monotonic()
            return not any(
                now - at <= REPORT_TTL_SECONDS for at in self._silent.values()
            )

    def reported_at(self, owner: str) -> float:
        """Return the monotonic time of an owner's last report; minus infinity if none.

        Parameters
        ----------
        owner : str
            Address of the owner.
        """
        with self._lock:
            report = self._reports.get(owner)
            return report.received_at if report else -inf

    def demands(self, service: str) -> list[LotDemand]:
        """Return all owners' demands on a service, the own ones first.

        A Lot that was taken over is listed once, with its present owner's demand.
        Refused Lots are left out.
        """
        return [found.demand for found in self.reported(service)]

    def services(self) -> list[str]:
        """Return the services on which a Lot is known to have open work, sorted."""
        with self._lock:
            self._drop_old(self._clock.monotonic())
            reports = [self._own, *self._reports.values()]
        return sorted({d.service for report in reports for d in report.demands})

    def reported(self, service: str) -> list[ReportedDemand]:
        """Return the same demands as `demands`, with their sources."""
        return self._listed(service, refused=False)

    def refused(self, service: str) -> list[LotDemand]:
        """Return the demands of the refused Lots of a service that may return.

        A Lot that another owner has accepted since is left out.
        """
        accepted = {demand.lot for demand in self.demands(service)}
        refused = self._listed(service, refused=True)
        return [found.demand for found in refused if found.demand.lot not in accepted]

    def oldest_report(self) -> float:
        """Return the age of the oldest report that counts, in seconds; 0 for none."""
        with self._lock:
            now = self._clock.monotonic()
            self._drop_old(now)
            ages = [now - report.received_at for report in self._reports.values()]
        return max(ages, default=0.0)

    def _listed(self, service: str, refused: bool) -> list[ReportedDemand]:
        with self._lock:
            now = self._clock.monotonic()
            self._drop_old(now)
            newest_first = sorted(
                self._reports.items(), key=lambda item: -item[1].received_at
            )
            own = ("", self._own), ("", self._undecided)
            by_lot: dict[str, ReportedDemand] = {}
            for owner, report in (*own, *newest_first):
                age = now - report.received_at
                for demand in _as_of(report, now):
                    is_refused = demand.refused_for is not None
                    if demand.service == service and is_refused is refused:
                        found = ReportedDemand(demand, owner, age)
                        by_lot.setdefault(demand.lot, found)
        return list(by_lot.values())

    def _drop_old(self, now: float) -> None:
        self._reports = {
            owner: report
            for owner, report in self._reports.items()
            if now - report.received_at <= REPORT_TTL_SECONDS
        }


def _as_of(report: _Report, now: float) -> list[LotDemand]:
    """Return a report's demands with their times counted from `now`."""
    age = now - report.received_at
    return [
        replace(
            demand,
            due_in=demand.due_in - age,
            gives_up_in=demand.gives_up_in - age,
            refused_for=(
                None if demand.refused_for is None else demand.refused_for + age
            ),
        )
        for demand in report.demands
    ]
