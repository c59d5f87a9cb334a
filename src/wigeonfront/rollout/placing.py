"""Where samples run: the decisions of `order`, taken on what is known now."""

import logging
from collections.abc import Callable

from wigeonfront.clock import Clock
from wigeonfront.configuration import Configuration
from wigeonfront.logs import event
from wigeonfront.rollout.order import (
    UNKNOWN_TOKENS,
    Needs,
    Waiting,
    choose_engine,
    should_move,
    usable_engines,
)
from wigeonfront.target_table import TargetTable, TargetView

logger = logging.getLogger(__name__)


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

    def needs(self, waiting: Waiting, service: str) -> Needs:
        """Return what a sample asks of an engine; drop a text that none can go on."""
        needs = waiting.needs
        if not needs.text_version:
            return needs
        versions = [
            view.versions.get(needs.model) for view in self._table.views(service)
        ]
        if needs.text_version in versions:
            return needs
        event(
            logger,
            "text_dropped",
            lot=waiting.progress.lot.id,
            sample=waiting.state.sample.id,
            version=needs.text_version,
            events=waiting.state.text.last_id,
        )
        waiting.state.forget_text()
        return waiting.needs

    def choose(
        self,
        waiting: Waiting,
        needs: Needs,
        service: str,
        group_targets: frozenset[str],
    ) -> TargetView | None:
        """Return the engine that a sample should be sent to now, if any.

        Parameters
        ----------
        group_targets : frozenset of str
            Engines that have samples of the same group.
        """
        return choose_engine(
            self._table.views(service),
            needs,
            group_targets,
            waiting.state.avoid,
            self._clock.monotonic(),
        )

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
            self._table.views(view.target.service),
            running.needs,
            self._clock.monotonic(),
        )
        others = [
            other
            for other in usable
            # One that is about to load would refuse the run.
            if other.target.id != view.target.id
            and state.sample.model not in other.closing
        ]
        return should_move(others, pace, left, pace / tokens_for_event, state.moves)

    def _tokens_for_event(self, service: str) -> float:
        configuration = self._configuration()
        found = configuration and configuration.services.get(service)
        return float(found.event_tokens) if found else 1.0
