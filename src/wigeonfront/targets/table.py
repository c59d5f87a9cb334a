"""The targets that a process knows, with the load and the failures it has seen.

`TargetTable` is the one place where registrations and answers meet; the placement
functions read immutable `TargetView` objects of it.
"""

import logging
import threading
from collections.abc import Iterable
from dataclasses import dataclass, field
from random import Random
from zlib import crc32

from wigeonfront.clock import Clock
from wigeonfront.observability.logs import event
from wigeonfront.targets.circuit import (
    CircuitChange,
    Circuits,
    CircuitSettings,
    Evidence,
)
from wigeonfront.targets.target import Target
from wigeonfront.targets.views import EngineState, OtherOwnersReport, TargetView

logger = logging.getLogger(__name__)

LATENCY_WEIGHT = 0.2
"""Weight of the newest answer in the smoothed latency: some ten answers count."""

LATENCY_TTL_SECONDS = 10.0
"""Time after which a latency counts as unknown: a target that was slow gets no work
and is not measured, and would else count as slow for ever."""

CIRCUIT_SETTINGS = CircuitSettings(
    consecutive=2,
    rate=0.5,
    min_results=6,
    window=5.0,
    base_pause=0.6,
    max_pause=3.0,
    probe_timeout=3.0,
    ejected_share=0.7,
)
"""Two failures in a row take a target out for 0.3 to 0.6 s: a service has few targets,
and a crashed one is back within seconds."""

PROBE_SECONDS = 0.3
"""Pause between two requests that find out whether a target takes work for a model
again: a third of the time that a load of weights takes."""

EXPECTED_LOAD_SECONDS = 8.0
"""How long an engine that is to load a version is taken to be about to: the longest
samples, which may have to end first, and the load take less."""

REPLACED_SECONDS = 4.0
"""How long a target gets no work once another incarnation has answered at its address:
by then the store has dropped the registration of the one that is gone."""


MAX_CANDIDATES = 128
"""Engines among which a place is looked for first: more than the samples of a Lot need,
and few enough that neither the search nor the connections grow with the service."""

ASSUMED_OWNERS = 1
"""Other owners that are taken to send runs as this one does, until they tell: trainers
ask for steps at the same moments."""


@dataclass(frozen=True, slots=True)
class _ExpectedLoad:
    version: int
    until: float


@dataclass(slots=True)
class _State:
    target: Target
    in_flight: int = 0
    latency: float = 0.0
    measured_at: float = 0.0
    # Its latency is the pace of runs.
    paced: bool = False
    # Runs of other owners, and own ones of which they could not tell yet.
    others: int = 0
    recent: int = 0
    replaced_until: float = 0.0
    # A request of this process went to it.
    used: bool = False
    # Models of which it is unknown whether the target takes work again.
    probed: set[str] = field(default_factory=set)
    loads: dict[str, _ExpectedLoad] = field(default_factory=dict)
    versions: dict[str, int] = field(default_factory=dict)
    refused_until: dict[str, float] = field(default_factory=dict)


class TargetTable:
    """The targets of all services; all methods may be called from any thread.

    Parameters
    ----------
    clock : Clock
    random : random.Random
        Source of the circuits' jitter.
    name : str
        Of this process; it decides which targets of a large service it uses first.
    """

    def __init__(self, clock: Clock, random: Random, name: str = "") -> None:
        self._name = name
        # Targets of each service in the order in which this process uses them.
        self._by_service: dict[str, list[_State]] = {}
        self._clock = clock
        self._random = random
        self._lock = threading.Lock()
        self._states: dict[str, _State] = {}
        self._circuits: dict[str, Circuits] = {}
        self._other_owners = 0

    def set_targets(self, targets: Iterable[Target]) -> None:
        """Take `targets` as all that there are."""
        with self._lock:
            fresh = {target.id: target for target in targets}
            for id in [id for id in self._states if id not in fresh]:
                del self._states[id]
            for id, target in fresh.items():
                state = self._states.get(id)
                if state is None:
                    state = self._states[id] = _State(target)
                state.target = target
                for model, version in target.versions.items():
                    state.versions[model] = max(version, state.versions.get(model, 0))
            self._sort_by_service()

    def _sort_by_service(self) -> None:
        by_service: dict[str, list[_State]] = {}
        for state in self._states.values():
            by_service.setdefault(state.target.service, []).append(state)
        for service, states in by_service.items():
            if len(states) > MAX_CANDIDATES:
                states.sort(key=lambda state: self._preference(state.target.id))
            ids = [state.target.id for state in states]
            self._circuits_of(service).set_targets(ids)
        self._by_service = by_service

    def _preference(self, id: str) -> int:
        return crc32(f"{self._name} {id}".encode())

    def views(self, service: str, most: int | None = None) -> list[TargetView]:
        """Return the targets of `service`.

        Parameters
        ----------
        most : int, optional
            Only so many, the same ones each time and others for each process.
        """
        with self._lock:
            now = self._clock.monotonic()
            states = self._by_service.get(service, [])[:most]
            return [self._view(state, now) for state in states]

    def all_targets(self) -> list[Target]:
        """Return every target."""
        with self._lock:
            return [state.target for state in self._states.values()]

    def was_used(self, id: str) -> bool:
        """Tell whether a request of this process went to the target."""
        with self._lock:
            state = self._states.get(id)
            return state is not None and state.used

    def get(self, id: str) -> Target | None:
        """Return the target `id`, if it is known."""
        with self._lock:
            state = self._states.get(id)
            return state.target if state else None

    def record_started(self, id: str, model: str = "") -> None:
        """Note that a request goes to the target.

        Parameters
        ----------
        model : str
            Model that it needs, if any. After a refusal one request at a time finds
            out whether the target takes work for the model again.
        """
        with self._lock:
            state = self._states.get(id)
            if state is None:
                return
            state.in_flight += 1
            first = not state.used
            state.used = True
            if model:
                state.recent += 1
            if model in state.probed:
                state.refused_until[model] = self._clock.monotonic() + PROBE_SECONDS
            change = self._circuits_of(state.target.service).record_attempt(id)
        if first:
            event(
                logger,
                "target_used",
                id=id,
                service=state.target.service,
                address=state.target.address,
            )
        self._log(change)

    def record_ended(self, id: str, found: Evidence, latency: float = 0.0) -> None:
        """Note how a request to the target ended.

        Parameters
        ----------
        found : {"success", "failure", "none"}
            What it says about the target's health.
        latency : float
            Seconds that the answer took; 0 not to count it.
        """
        with self._lock:
            state = self._states.get(id)
            if state is None:
                return
            state.in_flight = max(0, state.in_flight - 1)
            if latency > 0:
                self._measure(state, latency)
            change = self._circuits_of(state.target.service).record_result(id, found)
        self._log(change)

    def record_pace(self, id: str, latency: float) -> None:
        """Take the pace of a run in progress as the target's latency."""
        with self._lock:
            state = self._states.get(id)
            if state is not None:
                self._measure(state, latency)
                state.paced = True

    def _measure(self, state: _State, latency: float) -> None:
        now = self._clock.monotonic()
        old = self._latency(state, now) or latency
        state.latency = old + LATENCY_WEIGHT * (latency - old)
        state.measured_at = now

    def _latency(self, state: _State, now: float) -> float:
        fresh = now - state.measured_at < LATENCY_TTL_SECONDS
        return state.latency if fresh else 0.0

    def engine_states(self) -> list[EngineState]:
        """Return what this process knows of engines that it uses or has used."""
        with self._lock:
            now = self._clock.monotonic()
            found = [
                EngineState(
                    id,
                    state.in_flight if state.target.versions else 0,
                    self._latency(state, now) if state.paced else 0.0,
                    now - state.measured_at,
                )
                for id, state in self._states.items()
            ]
        return [state for state in found if state.runs or state.pace]

    def set_other_owners(self, others: OtherOwnersReport) -> None:
        """Take what other owners know, in place of what they told before."""
        with self._lock:
            now = self._clock.monotonic()
            self._other_owners = others.owners
            for state in self._states.values():
                state.others = 0
                state.recent = 0
            for told in others.states:
                state = self._states.get(told.target)
                if state is None:
                    continue
                state.others += told.runs
                if told.pace and now - told.age > state.measured_at:
                    state.latency = told.pace
                    state.measured_at = now - told.age
                    state.paced = True

    def record_refused(self, id: str, model: str) -> None:
        """Note that the target takes no work for `model` now."""
        with self._lock:
            state = self._states.get(id)
            if state is not None:
                state.refused_until[model] = self._clock.monotonic() + PROBE_SECONDS
                state.probed.add(model)

    def expect_load(self, id: str, model: str, version: int) -> None:
        """Note that the target is to load `version` and may take no work meanwhile."""
        with self._lock:
            state = self._states.get(id)
            if state is not None:
                until = self._clock.monotonic() + EXPECTED_LOAD_SECONDS
                state.loads[model] = _ExpectedLoad(version, until)
                state.probed.add(model)

    def record_accepted(self, id: str, model: str) -> None:
        """Note that the target has begun to answer a request for `model`."""
        with self._lock:
            state = self._states.get(id)
            if state is None:
                return
            if model in state.probed:
                state.probed.discard(model)
                state.refused_until.pop(model, None)
            change = self._circuits_of(state.target.service).record_answer_begun(id)
        self._log(change)

    def record_version(self, id: str, model: str, version: int) -> None:
        """Note the version under which the target answers for `model`.

        It may be lower than the one known: an order that is carried out late, after a
        restart, takes an engine back.
        """
        with self._lock:
            state = self._states.get(id)
            if state is not None:
                state.versions[model] = version

    def record_replaced(self, id: str) -> None:
        """Note that another incarnation answered at the target's address."""
        with self._lock:
            state = self._states.get(id)
            if state is None:
                return
            state.replaced_until = self._clock.monotonic() + REPLACED_SECONDS
        event(logger, "target_replaced", target=id, seconds=REPLACED_SECONDS)

    def _circuits_of(self, service: str) -> Circuits:
        if service not in self._circuits:
            self._circuits[service] = Circuits(
                self._clock, self._random, CIRCUIT_SETTINGS
            )
        return self._circuits[service]

    def _view(self, state: _State, now: float) -> TargetView:
        id = state.target.id
        unseen = ASSUMED_OWNERS * state.recent if self._other_owners else 0
        circuits = self._circuits_of(state.target.service)
        return TargetView(
            target=state.target,
            in_flight=state.in_flight,
            latency=self._latency(state, now),
            available=now >= state.replaced_until and not circuits.is_open(id),
            draining=state.target.draining,
            versions=dict(state.versions),
            refused_until=dict(state.refused_until),
            loading=frozenset(
                model
                for model, load in state.loads.items()
                if now < load.until and state.versions.get(model, 0) < load.version
            ),
            others=state.others + unseen,
        )

    def _log(self, change: CircuitChange | None) -> None:
        if change is not None:
            event(
                logger,
                "circuit",
                target=change.target,
                state=change.state,
                reason=change.reason,
                consecutive=change.consecutive,
                rate=change.rate,
                pause=change.pause,
            )
