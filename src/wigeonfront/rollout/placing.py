"""Where samples run: the decisions of `order`, taken on what is known now."""

import logging
from collections.abc import Callable, Iterable, Mapping, Sequence

from wigeonfront.clock import Clock
from wigeonfront.configuration import Configuration
from wigeonfront.observability.logs import event
from wigeonfront.rollout.order import (
    TOKEN_SECONDS,
    UNKNOWN_TOKENS,
    Waiting,
    choose_engine,
    expected_seconds,
    should_move,
    usable_engines,
)
from wigeonfront.rollout.overload import (
    GroupKey,
    GroupRank,
    WorkEstimate,
    places_for,
    ranks_in_overload,
    seconds_left,
)
from wigeonfront.rollout.progress import LotProgress, SampleState
from wigeonfront.targets.table import MAX_CANDIDATES, TargetTable
from wigeonfront.targets.views import TargetView

logger = logging.getLogger(__name__)

LOOK_SECONDS = 0.25
"""Pause between two looks whether places suffice: half of all samples last longer."""


class SamplePlacer:
    """Chooses engines for samples.

    Parameters
    ----------
    table : TargetTable
    configuration : callable
        Returns the configuration in force, or ``None``.
    clock : Clock
    """

    def __init__(
        self,
        table: TargetTable,
        configuration: Callable[[], Configuration | None],
        clock: Clock,
    ) -> None:
        self._table = table
        self._configuration = configuration
        self._clock = clock

    def place(
        self,
        waiting: Waiting,
        service: str,
        group_targets: frozenset[str],
        shared: bool = False,
    ) -> TargetView | None:
        """Return the engine that a sample should be sent to now, if any.

        A text that must go on at its version is dropped once that is in vain.

        Parameters
        ----------
        group_targets : frozenset of str
            Engines that have samples of the same group.
        shared : bool
            Places are short, and other owners get their share of them.
        """
        # Whatever has the version of its text may go on with it.
        most = None if waiting.needs.text_version else MAX_CANDIDATES
        views = self._table.views(service, most)
        chosen = self._choose(waiting, views, service, group_targets, shared)
        if chosen is None and len(views) == most:
            views = self._table.views(service)
            chosen = self._choose(waiting, views, service, group_targets, shared)
        return chosen

    def _choose(
        self,
        waiting: Waiting,
        views: list[TargetView],
        service: str,
        group_targets: frozenset[str],
        shared: bool,
    ) -> TargetView | None:
        if self._in_vain(waiting, views, service):
            event(
                logger,
                "text_dropped",
                lot=waiting.progress.lot.id,
                sample=waiting.state.sample.id,
                version=waiting.state.text_version,
                events=waiting.state.text.last_id,
            )
            waiting.state.forget_text()
        return choose_engine(
            views,
            waiting.needs,
            group_targets,
            waiting.state.avoid,
            self._clock.monotonic(),
            shared,
        )

    def ranks(
        self, lots: Sequence[LotProgress], service: str, ratio: float
    ) -> dict[GroupKey, GroupRank]:
        """Return the order of groups if the engines can't run all in time.

        Parameters
        ----------
        lots : sequence of LotProgress
            Of the service.
        ratio : float
            Seconds of a run for each expected second.
        """
        event_seconds = self._tokens_for_event(service) * TOKEN_SECONDS

        def seconds(state: SampleState) -> float:
            done = state.text.last_id * event_seconds
            return ratio * seconds_left(expected_seconds(state), done)

        places = places_for(self._table.views(service))
        return ranks_in_overload(lots, places, self._clock.monotonic(), seconds)

    def _in_vain(self, waiting: Waiting, views: list[TargetView], service: str) -> bool:
        """Tell whether a text that binds its sample should no longer be waited for.

        No engine has its version, or it has waited, or been refused, for as long as
        generating it anew takes: so waiting costs at most as much again as the better
        choice would.
        """
        needs, state = waiting.needs, waiting.state
        if not needs.text_version:
            return False
        if all(view.versions.get(needs.model) != needs.text_version for view in views):
            return True
        tokens = state.text.last_id * self._tokens_for_event(service)
        waited = self._clock.monotonic() - state.waits_since
        return waited >= tokens * TOKEN_SECONDS

    def should_move(self, running: Waiting, view: TargetView, pace: float) -> bool:
        """Tell whether a sample that runs at an engine should go on elsewhere.

        Parameters
        ----------
        pace : float
            Seconds for each of the run's last events.
        """
        state = running.state
        events = max(1, state.text.last_id)
        tokens_for_event = self._tokens_for_event(view.target.service)
        expected = state.sample.expected_tokens or UNKNOWN_TOKENS
        # An estimate that is passed says little: as much again may follow.
        left = max(expected - events * tokens_for_event, events * tokens_for_event)
        usable = usable_engines(
            self._table.views(view.target.service, MAX_CANDIDATES),
            running.needs,
            self._clock.monotonic(),
        )
        others = [
            other
            for other in usable
            # One that is about to load would refuse the run.
            if other.target.id != view.target.id
            and state.sample.model not in other.loading
        ]
        return should_move(others, pace, left, pace / tokens_for_event, state.moves)

    def _tokens_for_event(self, service: str) -> float:
        configuration = self._configuration()
        found = configuration and configuration.services.get(service)
        return float(found.event_tokens) if found else 1.0


class OverloadWatch:
    """The order of groups while engines are short of places, looked at now and then.

    Not thread-safe; its owner locks it.

    Parameters
    ----------
    placer : SamplePlacer

    Attributes
    ----------
    work : WorkEstimate
        Learns what runs take.
    """

    def __init__(self, placer: SamplePlacer) -> None:
        self._placer = placer
        self.work = WorkEstimate()
        self._looked_at = -1e9
        self._ranks: dict[GroupKey, GroupRank] = {}
        self._short: frozenset[str] = frozenset()

    def ranks(
        self, lots: Iterable[LotProgress], services: Mapping[str, str], now: float
    ) -> dict[GroupKey, GroupRank]:
        """Return the order of groups of the services that are short of places.

        Parameters
        ----------
        services : mapping of str to str
            Service of each Lot, by its id.
        now : float
            Monotonic time.
        """
        if now - self._looked_at < LOOK_SECONDS:
            return self._ranks
        self._looked_at = now
        by_service: dict[str, list[LotProgress]] = {}
        for progress in lots:
            service = services.get(progress.lot.id)
            if service is not None and not progress.ended:
                by_service.setdefault(service, []).append(progress)
        self._ranks = {}
        short = set()
        for service, shared in by_service.items():
            found = self._placer.ranks(shared, service, self.work.ratio)
            if found:
                short.add(service)
                self._ranks.update(found)
        self._log(frozenset(short), by_service)
        return self._ranks

    def _log(
        self, short: frozenset[str], lots: Mapping[str, Sequence[LotProgress]]
    ) -> None:
        """Log services whose places no longer suffice, or suffice again."""
        for service in short ^ self._short:
            event(
                logger,
                "places_short",
                service=service,
                short=service in short,
                lots=len(lots.get(service, ())),
                ratio=self.work.ratio,
            )
        self._short = short
