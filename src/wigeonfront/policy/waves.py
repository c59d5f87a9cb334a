"""Weight swaps in waves, decided by each side for its own engine.

There is no leader. Every side ranks the service's sides for the version in
rendezvous order and orders its engine in the wave of its own rank, from local
knowledge only, so that swaps go on while the key-value service is down. A newer
version never moves a side's turn back: otherwise versions that come faster than a
full round would starve the last wave.
"""

import math
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from random import Random
from typing import Any

from wigeonfront.clock import Clock
from wigeonfront.coordination.rendezvous import ranked

BASE_RETRY = 0.5
"""Seconds: ceiling of the first pause after a failed load."""

MAX_RETRY = 30.0
"""Seconds: ceiling of any pause after a failed load."""

FLOOR_PATIENCE = 2.0
"""Rounds of the waves that a side waits for the floor before it swaps anyway."""


@dataclass(frozen=True, slots=True)
class WaveSettings:
    """How a service's swaps are spread.

    Attributes
    ----------
    width : float
        Share of the sides that swap at once, above 0 and at most 1.
    swap_seconds : float
        Expected seconds from the order until the engine serves again.
    floor : float
        Least share of the service's sides that should serve meanwhile.
    store_rate : float
        Loads a second that the weight store allows this service; 0 for no limit.
    drain_seconds : float
        Longest time that a swap waits for running interactive and booking work.
    """

    width: float = 0.34
    swap_seconds: float = 5.0
    floor: float = 0.5
    store_rate: float = 0.0
    drain_seconds: float = 2.0


@dataclass(frozen=True, slots=True)
class Peers:
    """What a side knows of its service.

    Attributes
    ----------
    names : tuple of str
        All sides of the service, this one among them.
    serving : int or None
        Sides that serve now, where known.
    """

    names: tuple[str, ...]
    serving: int | None = None


@dataclass(frozen=True, slots=True)
class Swap:
    """Order the engine to load `version` now."""

    version: int
    reason: str
    figures: Mapping[str, Any] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class Wait:
    """Ask again after `seconds`."""

    seconds: float
    reason: str
    figures: Mapping[str, Any] = field(default_factory=dict)


def rank(name: str, model: str, version: int, names: Iterable[str]) -> int:
    """Return the place of `name` in the order of swaps to `version`.

    The order differs between versions, so that no side is always the last.
    """
    return ranked(f"{model}@{version}", {*names, name}).index(name)


def start_offset(place: int, members: int, settings: WaveSettings) -> float:
    """Return seconds from the announcement to the swap of the side at `place`.

    Parameters
    ----------
    place : int
        Rank from 0.
    members : int
        Sides of the service.
    settings : WaveSettings
        Width, duration and the store's rate.
    """
    at_once = max(1, round(settings.width * members))
    wave = place // at_once
    offset = wave * settings.swap_seconds
    if settings.store_rate > 0:
        offset = max(offset, place / settings.store_rate)
    return offset


def may_swap(
    place: int,
    elapsed: float,
    peers: Peers,
    settings: WaveSettings,
    *,
    unusable: bool = False,
) -> Swap | Wait:
    """Decide whether the side at `place` may swap now; pure.

    Parameters
    ----------
    place : int
        Rank of the side for this version.
    elapsed : float
        Seconds since the side learned of the version.
    peers : Peers
        The service.
    settings : WaveSettings
        How swaps are spread.
    unusable : bool
        The engine serves nothing now, so a swap takes no capacity away.

    Returns
    -------
    Swap or Wait
        `Swap.version` is left 0 for the caller to fill in.
    """
    members = max(1, len(peers.names))
    offset = start_offset(place, members, settings)
    figures = {
        "rank": place,
        "members": members,
        "serving": peers.serving,
        "elapsed": elapsed,
        "offset": offset,
    }
    if unusable:
        return Swap(0, "engine_unusable", figures)
    if elapsed < offset:
        return Wait(offset - elapsed, "later_wave", figures)
    patience = FLOOR_PATIENCE * start_offset(members, members, settings)
    least = math.ceil(settings.floor * members)
    below = peers.serving is not None and peers.serving - 1 < least
    if below and elapsed < offset + patience:
        return Wait(settings.swap_seconds / 4, "serving_floor", figures)
    return Swap(0, "floor_patience_over" if below else "turn", figures)


def drained(urgent_running: int, waited: float, settings: WaveSettings) -> bool:
    """Tell whether the engine may be stopped for a swap.

    Rollouts are left running: the engine goes on with them after the load, and the
    answer names both versions. Interactive and booking work is short; letting it
    end first costs less than making its callers wait through the load.

    Parameters
    ----------
    urgent_running : int
        Interactive and booking items at the engine.
    waited : float
        Seconds since the side began to refuse them.
    settings : WaveSettings
        Bounds the wait.
    """
    return urgent_running == 0 or waited >= settings.drain_seconds


class SwapSchedule:
    """One side's run of swaps. Not thread-safe: one task owns it.

    Parameters
    ----------
    name, model : str
        This side and the model that its engine serves.
    settings : WaveSettings
        How swaps are spread.
    clock : Clock
        Source of monotonic time.
    random : random.Random
        Source of jitter for retries.
    """

    def __init__(
        self,
        name: str,
        model: str,
        settings: WaveSettings,
        clock: Clock,
        random: Random,
    ) -> None:
        self._name = name
        self._model = model
        self._settings = settings
        self._clock = clock
        self._random = random
        self._newest = -1
        self._learned = 0.0
        self._pending = False
        self._failures = 0
        self._not_before = 0.0

    @property
    def newest(self) -> int:
        """Newest version that the side has learned of; -1 for none."""
        return self._newest

    def configure(self, settings: WaveSettings) -> None:
        """Replace the settings; they count from the next decision."""
        self._settings = settings

    def learned(self, version: int) -> bool:
        """Note that `version` exists; tell whether that was news."""
        if version <= self._newest:
            return False
        self._newest = version
        if not self._pending:
            self._learned = self._clock.monotonic()
            self._pending = True
        return True

    def decide(self, serving_version: int, peers: Peers) -> Swap | Wait | None:
        """Decide what to do now.

        Parameters
        ----------
        serving_version : int
            Version read from the engine itself; -1 where it has none.
        peers : Peers
            The service.

        Returns
        -------
        Swap, Wait or None
            ``None`` when the engine serves the newest version.
        """
        if serving_version >= self._newest:
            self._done()
            return None
        now = self._clock.monotonic()
        if now < self._not_before:
            return Wait(self._not_before - now, "after_failure", {})
        place = rank(self._name, self._model, self._newest, peers.names)
        decision = may_swap(
            place,
            now - self._learned,
            peers,
            self._settings,
            unusable=serving_version < 0,
        )
        if isinstance(decision, Wait):
            return decision
        return Swap(self._newest, decision.reason, decision.figures)

    def failed(self, retry_after: float = 0.0) -> float:
        """Note a failed load; return the pause in seconds before the next try."""
        self._failures += 1
        ceiling = min(MAX_RETRY, BASE_RETRY * 2 ** min(self._failures, 16))
        pause = retry_after + self._random.uniform(0.0, ceiling)
        self._not_before = self._clock.monotonic() + pause
        return pause

    def _done(self) -> None:
        self._pending = False
        self._failures = 0
        self._not_before = 0.0
