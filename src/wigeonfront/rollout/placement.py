"""Chooses engines for samples: applies the rules of `scheduling` to current data."""

import logging
from collections.abc import Callable, Iterable, Mapping, Sequence
from dataclasses import dataclass

from wigeonfront.clock import Clock
from wigeonfront.configuration import Configuration
from wigeonfront.observability.logs import event
from wigeonfront.rollout.overload import (
    GroupKey,
    GroupRank,
    RemainingSeconds,
    WorkEstimate,
    available_slots,
    ranks_in_overload,
    seconds_left,
)
from wigeonfront.rollout.progress import LotProgress, SampleState
from wigeonfront.rollout.scheduling import (
    TOKEN_SECONDS,
    UNKNOWN_TOKENS,
    EngineRoom,
    OpenSample,
    WeightNeeds,
    choose_engine,
    expected_seconds,
    should_move,
    usable_engines,
)
from wigeonfront.targets.table import MAX_CANDIDATES, TargetTable
from wigeonfront.targets.views import TargetView

logger = logging.getLogger(__name__)

OVERLOAD_CHECK_SECONDS = 0.25
"""Interval between two checks whether the slots suffice.

Half of all samples take longer.
"""


@dataclass(frozen=True, slots=True)
class EngineSlots:
    """The slots of a service's engines.

    Attributes
    ----------
    registered : mapping of str to int
        Slots of each registered engine, by its id.
    usable : int
        Slots of the engines that take work at present.
    """

    registered: Mapping[str, int]
    usable: int


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
        waiting: OpenSample,
        service: str,
        group_targets: frozenset[str],
        shared: bool = False,
        room: EngineRoom | None = None,
        reserved: str = "",
    ) -> TargetView | None:
        """Return the engine that a sample should be sent to now, if any.

        A text that only its own version may continue is dropped once it is no longer
        worth waiting for an engine with that version.

        Parameters
        ----------
        waiting : OpenSample
        service : str
            Service of the engines.
        group_targets : frozenset of str
            Ids of the engines that run samples of the same group.
        shared : bool
            Slots are short, and other owners get their share of them.
        room : EngineRoom, optional
            Quotas of the sample's trainer, if the slots are divided.
        reserved : str
            Id of an engine that is used only if there is no other; empty for none.
        """
        # All engines are considered where any of them may have the text's version.
        limit = None if waiting.needs.text_version else MAX_CANDIDATES
        views = self._table.views(service, limit)
        chosen = self._choose(
            waiting, views, service, group_targets, shared, room, reserved
        )
        if chosen is None and len(views) == limit:
            views = self._table.views(service)
            chosen = self._choose(
                waiting, views, service, group_targets, shared, room, reserved
            )
        return chosen

    def _choose(
        self,
        waiting: OpenSample,
        views: list[TargetView],
        service: str,
        group_targets: frozenset[str],
        shared: bool,
        room: EngineRoom | None,
        reserved: str,
    ) -> TargetView | None:
        if self._should_drop_text(waiting, views, service):
            event(
                logger,
                "text_dropped",
                lot=waiting.progress.lot.id,
                sample=waiting.state.sample.id,
                version=waiting.state.text_version,
                events=waiting.state.text.last_id,
            )
            waiting.state.discard_text()
        others = [view for view in views if view.target.id != reserved]
        return choose_engine(
            others or views,
            waiting.needs,
            group_targets,
            waiting.state.avoid,
            self._clock.monotonic(),
            shared,
            room,
            waiting.state.isolated,
        )

    def ranks(
        self, lots: Sequence[LotProgress], service: str, ratio: float
    ) -> dict[GroupKey, GroupRank]:
        """Return the ranks of groups; empty if the engines can run all in time.

        Parameters
        ----------
        lots : sequence of LotProgress
            Lots of the service.
        service : str
        ratio : float
            Seconds that a run takes for each expected second.
        """
        seconds = self.remaining_seconds(service, ratio)
        slots = available_slots(self._table.views(service))
        return ranks_in_overload(lots, slots, self._clock.monotonic(), seconds)

    def remaining_seconds(self, service: str, ratio: float) -> RemainingSeconds:
        """Return a function that returns the seconds that a sample still needs.

        Parameters
        ----------
        service : str
        ratio : float
            Seconds that a run takes for each expected second.
        """
        event_seconds = self._tokens_for_event(service) * TOKEN_SECONDS

        def seconds(state: SampleState) -> float:
            done = state.text.last_id * event_seconds
            return ratio * seconds_left(expected_seconds(state), done)

        return seconds

    def has_engine(self, service: str, needs: WeightNeeds, now: float) -> bool:
        """Return whether an engine of a service takes samples with given needs."""
        limits = (MAX_CANDIDATES, None)
        return any(
            usable_engines(self._table.views(service, limit), needs, now)
            for limit in limits
        )

    def suffices(self, service: str, slots: int) -> bool:
        """Return whether a service has so many usable slots.

        No more engines are looked at than about four times those that it takes.
        """
        limit = MAX_CANDIDATES
        while True:
            views = self._table.views(service, limit)
            usable = (view for view in views if view.available and not view.draining)
            if sum(view.target.slots for view in usable) >= slots:
                return True
            if len(views) < limit:
                return False
            limit *= 4

    def engine_slots(self, service: str) -> EngineSlots:
        """Return the slots of a service's engines."""
        views = self._table.views(service)
        usable = [view for view in views if view.available and not view.draining]
        return EngineSlots(
            {view.target.id: view.target.slots for view in views},
            sum(view.target.slots for view in usable),
        )

    def _should_drop_text(
        self, waiting: OpenSample, views: list[TargetView], service: str
    ) -> bool:
        """Return whether a text that only one version may continue should be dropped.

        It should if no engine has the version, or if the sample has waited, or was
        refused, for as long as generating the text again takes. Waiting thus costs at
        most twice as much as the better choice.
        """
        needs, state = waiting.needs, waiting.state
        if not needs.text_version:
            return False
        if all(view.versions.get(needs.model) != needs.text_version for view in views):
            return True
        tokens = state.text.last_id * self._tokens_for_event(service)
        waited = self._clock.monotonic() - state.waiting_since
        return waited >= tokens * TOKEN_SECONDS

    def should_move(
        self,
        running: OpenSample,
        view: TargetView,
        pace: float,
        room: EngineRoom | None = None,
    ) -> bool:
        """Return whether a running sample should be continued on another engine.

        Parameters
        ----------
        running : OpenSample
            The sample of the run.
        view : TargetView
            The engine that runs it.
        pace : float
            Seconds per event over the run's last events.
        room : EngineRoom, optional
            Quotas of the sample's trainer, if the slots are divided.
        """
        state = running.state
        events = max(1, state.text.last_id)
        tokens_for_event = self._tokens_for_event(view.target.service)
        expected = state.sample.expected_tokens or UNKNOWN_TOKENS
        # Once more than the estimate is generated, as much again is expected.
        left = max(expected - events * tokens_for_event, events * tokens_for_event)
        usable = usable_engines(
            self._table.views(view.target.service, MAX_CANDIDATES),
            running.needs,
            self._clock.monotonic(),
        )
        others = [
            other
            for other in usable
            # An engine that is about to load other weights would refuse the run.
            if other.target.id != view.target.id
            and state.sample.model not in other.loading
        ]
        return should_move(
            others, pace, left, pace / tokens_for_event, state.moves, room
        )

    def _tokens_for_event(self, service: str) -> float:
        configuration = self._configuration()
        settings = configuration and configuration.services.get(service)
        return float(settings.event_tokens) if settings else 1.0


class OverloadMonitor:
    """Checks periodically which services are short of slots, and ranks their groups.

    It is not thread-safe; the caller must hold a lock.

    Parameters
    ----------
    placer : SamplePlacer

    Attributes
    ----------
    work : WorkEstimate
        Ratio of the time that runs take to the expected time.
    """

    def __init__(self, placer: SamplePlacer) -> None:
        self._placer = placer
        self.work = WorkEstimate()
        self._checked_at = -1e9
        self._ranks: dict[GroupKey, GroupRank] = {}
        self._short: frozenset[str] = frozenset()

    def ranks(
        self, lots: Iterable[LotProgress], services: Mapping[str, str], now: float
    ) -> dict[GroupKey, GroupRank]:
        """Return the ranks of groups of the services that are short of slots.

        Parameters
        ----------
        lots : iterable of LotProgress
        services : mapping of str to str
            Service of each Lot, by its id.
        now : float
            Monotonic time.
        """
        if now - self._checked_at < OVERLOAD_CHECK_SECONDS:
            return self._ranks
        self._checked_at = now
        by_service: dict[str, list[LotProgress]] = {}
        for progress in lots:
            service = services.get(progress.lot.id)
            if service is not None and not progress.ended:
                by_service.setdefault(service, []).append(progress)
        self._ranks = {}
        short = set()
        for service, service_lots in by_service.items():
            ranks = self._placer.ranks(service_lots, service, self.work.ratio)
            if ranks:
                short.add(service)
                self._ranks.update(ranks)
        self._log(frozenset(short), by_service)
        return self._ranks

    def _log(
        self, short: frozenset[str], lots: Mapping[str, Sequence[LotProgress]]
    ) -> None:
        """Log the services whose slots no longer suffice, or suffice again."""
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
