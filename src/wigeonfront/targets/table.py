"""The targets that a process knows, with their observed load and failures.

`TargetTable` combines registrations with what this process learns from answers. The
placement functions read immutable `TargetView` snapshots of it.
"""

import logging
import threading
from collections.abc import Callable, Iterable
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
from wigeonfront.targets.reports import (
    NO_REPORTS,
    Assessment,
    EntryReports,
    Reports,
    TargetReport,
    limit_suspicions,
)
from wigeonfront.targets.target import Target
from wigeonfront.targets.views import EngineState, OtherOwnersReport, TargetView

logger = logging.getLogger(__name__)

LATENCY_WEIGHT = 0.2
"""Weight of the newest answer in the smoothed latency, to which about ten answers
contribute."""

LATENCY_TTL_SECONDS = 10.0
"""Time after which a measured latency counts as unknown. A slow target gets no work and
so is not measured again; without this limit it would count as slow for ever."""

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
"""Two consecutive failures eject a target for 0.3 to 0.6 s, because a service has few
targets and a crashed one is back within seconds."""

PROBE_SECONDS = 0.3
"""Interval between two requests that probe whether a target accepts work for a model
again: a third of the time that loading weights takes."""

EXPECTED_LOAD_SECONDS = 8.0
"""How long an engine that has to load a version is expected to be about to do so. The
longest samples, which may have to end first, and the load together take less."""

REPLACED_SECONDS = 4.0
"""How long a target gets no work after another incarnation has answered at its address.
By then the store has dropped the registration of the incarnation that is gone."""

MAX_CANDIDATES = 128
"""Number of engines among which a free slot is sought first: more than the samples of a
Lot need, and few enough that neither the search nor the number of connections grows
with the service."""

ASSUMED_OWNERS = 1
"""Number of other owners that are assumed to send as many runs as this one until they
report theirs, because trainers ask for steps at the same moments."""


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
    # Whether the latency is the pace of runs: the seconds per event of a stream.
    latency_is_pace: bool = False
    # Runs in the last two reports of other owners, and runs of this process since.
    others: int = 0
    others_before: int = 0
    runs_since_report: int = 0
    replaced_until: float = 0.0
    # Whether a request of this process went to the target.
    used: bool = False
    # Models for which the target has to be probed, as it may accept no work for them.
    probed: set[str] = field(default_factory=set)
    loads: dict[str, _ExpectedLoad] = field(default_factory=dict)
    versions: dict[str, int] = field(default_factory=dict)
    refused_until: dict[str, float] = field(default_factory=dict)


class TargetTable:
    """The targets of all services and their state; thread-safe.

    Parameters
    ----------
    clock : Clock
    random : random.Random
        Source of the jitter in circuit breakers' pauses.
    name : str
        Name of this process, which decides which targets of a large service it uses
        first.
    """

    def __init__(self, clock: Clock, random: Random, name: str = "") -> None:
        self._name = name
        # The targets of each service in the order in which this process prefers them.
        self._by_service: dict[str, list[_State]] = {}
        self._clock = clock
        self._random = random
        self._lock = threading.Lock()
        self._states: dict[str, _State] = {}
        self._circuits: dict[str, Circuits] = {}
        self._other_owners = 0
        self._plain_services: frozenset[str] = frozenset()
        self._reports = Reports(clock, random)
        self._on_finding: Callable[[], None] | None = None

    def set_targets(self, targets: Iterable[Target]) -> None:
        """Set all known targets; drop the state of targets that are not among them."""
        with self._lock:
            registered = {target.id: target for target in targets}
            for id in [id for id in self._states if id not in registered]:
                del self._states[id]
            for id, target in registered.items():
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
        self._set_reported_targets()

    def _set_reported_targets(self) -> None:
        """Keep reports of the plain services that leave a choice of targets."""
        self._reports.set_targets(
            state.target.id
            for service, states in self._by_service.items()
            if service in self._plain_services and len(states) > 1
            for state in states
        )

    def set_plain_services(self, services: Iterable[str]) -> None:
        """Set the services without engines, of whose targets reports are kept."""
        with self._lock:
            self._plain_services = frozenset(services)
            self._set_reported_targets()

    def set_entries(self, count: int) -> None:
        """Set the number of live entries, which share trials of suspected targets."""
        with self._lock:
            self._reports.set_entries(count)

    def set_finding_listener(self, on_finding: Callable[[], None]) -> None:
        """Set what is called, without delay, when other entries are to be told."""
        self._on_finding = on_finding

    def own_reports(self) -> list[TargetReport]:
        """Return what this process tells other entries about plain targets."""
        with self._lock:
            return self._reports.own_reports()

    def receive_reports(self, message: EntryReports) -> list[str]:
        """Take the reports of another entry; return their effects.

        Returns
        -------
        list of str
            As for `Reports.receive`; empty if the message was repeated or overtaken.
        """
        with self._lock:
            if message.entry == self._name or self._reports.is_repeated(message):
                return []
            return [
                self._reports.receive(message.entry, report)
                for report in message.reports
            ]

    def _preference(self, id: str) -> int:
        return crc32(f"{self._name} {id}".encode())

    def views(self, service: str, limit: int | None = None) -> list[TargetView]:
        """Return views of the targets of `service`.

        Parameters
        ----------
        service : str
        limit : int, optional
            Maximum number of targets. In a service of more than `MAX_CANDIDATES`
            targets a process gets the same ones each time, and each process gets
            others.
        """
        with self._lock:
            now = self._clock.monotonic()
            states = self._by_service.get(service, [])[:limit]
            assessments, suspected = self._assess(states)
            return [
                self._view(
                    state,
                    now,
                    assessments.get(state.target.id, NO_REPORTS),
                    state.target.id in suspected,
                )
                for state in states
            ]

    def _assess(
        self, states: list[_State]
    ) -> tuple[dict[str, Assessment], frozenset[str]]:
        """Return what reports say about targets, and the ids of suspected ones."""
        ids = [state.target.id for state in states]
        if not ids or not self._reports.covers(ids[0]):
            return {}, frozenset()
        assessments = {id: self._reports.assess(id) for id in ids}
        return assessments, limit_suspicions(assessments, len(ids))

    def all_targets(self) -> list[Target]:
        """Return the targets of all services."""
        with self._lock:
            return [state.target for state in self._states.values()]

    def was_used(self, id: str) -> bool:
        """Return whether this process has sent a request to the target `id`."""
        with self._lock:
            state = self._states.get(id)
            return state is not None and state.used

    def accepts_work(self, id: str) -> bool:
        """Return whether the target `id` is known and not draining."""
        target = self.get(id)
        return target is not None and not target.draining

    def get(self, id: str) -> Target | None:
        """Return the target `id`, or ``None`` if it is not known."""
        with self._lock:
            state = self._states.get(id)
            return state.target if state else None

    def record_started(self, id: str, model: str = "") -> None:
        """Record that a request is being sent to the target.

        Parameters
        ----------
        id : str
            Id of the target.
        model : str
            The model that the request needs, if any. After a refusal one request at a
            time probes whether the target accepts work for the model again.
        """
        with self._lock:
            state = self._states.get(id)
            if state is None:
                return
            state.in_flight += 1
            first_use = not state.used
            state.used = True
            if model:
                state.runs_since_report += 1
            if model in state.probed:
                state.refused_until[model] = self._clock.monotonic() + PROBE_SECONDS
            self._reports.record_attempt(id)
            change = self._circuits_of(state.target.service).record_attempt(id)
        if first_use:
            event(
                logger,
                "target_used",
                id=id,
                service=state.target.service,
                address=state.target.address,
            )
        self._log(change)

    def record_ended(self, id: str, evidence: Evidence, latency: float = 0.0) -> None:
        """Record how a request to the target ended.

        Parameters
        ----------
        id : str
            Id of the target.
        evidence : {"success", "failure", "none"}
            What the outcome says about the target's health.
        latency : float
            Seconds that the answer took; 0 if it must not count.
        """
        with self._lock:
            state = self._states.get(id)
            if state is None:
                return
            state.in_flight = max(0, state.in_flight - 1)
            if latency > 0:
                self._measure(state, latency)
            change = self._circuits_of(state.target.service).record_result(id, evidence)
            found = self._record_finding(id, evidence, change)
        self._log(change)
        if found and self._on_finding is not None:
            self._on_finding()

    def _record_finding(
        self, id: str, evidence: Evidence, change: CircuitChange | None
    ) -> bool:
        """Record the evidence for reports; return whether others are to be told."""
        if evidence == "success":
            return self._reports.record_success(id)
        if evidence == "failure":
            opened = change is not None and change.state == "open"
            return self._reports.record_failure(id, opened)
        return False

    def record_pace(self, id: str, latency: float) -> None:
        """Record the pace of a run in progress as the target's latency in seconds."""
        with self._lock:
            state = self._states.get(id)
            if state is not None:
                self._measure(state, latency)
                state.latency_is_pace = True

    def _measure(self, state: _State, latency: float) -> None:
        now = self._clock.monotonic()
        old = self._latency(state, now) or latency
        state.latency = old + LATENCY_WEIGHT * (latency - old)
        state.measured_at = now

    def _latency(self, state: _State, now: float) -> float:
        known = now - state.measured_at < LATENCY_TTL_SECONDS
        return state.latency if known else 0.0

    def engine_states(self) -> list[EngineState]:
        """Return the states of engines with runs of this process or a known pace."""
        with self._lock:
            now = self._clock.monotonic()
            states = [
                EngineState(
                    id,
                    state.in_flight if state.target.versions else 0,
                    self._latency(state, now) if state.latency_is_pace else 0.0,
                    now - state.measured_at,
                )
                for id, state in self._states.items()
            ]
        return [state for state in states if state.runs or state.pace]

    def set_other_owners(self, others: OtherOwnersReport) -> None:
        """Replace what other owners have reported by their newest reports."""
        with self._lock:
            now = self._clock.monotonic()
            self._other_owners = others.owners
            for state in self._states.values():
                state.others_before, state.others = state.others, 0
                state.runs_since_report = 0
            for reported in others.states:
                state = self._states.get(reported.target)
                if state is None:
                    continue
                state.others += reported.runs
                if reported.pace and now - reported.age > state.measured_at:
                    state.latency = reported.pace
                    state.measured_at = now - reported.age
                    state.latency_is_pace = True

    def record_refused(self, id: str, model: str) -> None:
        """Record that the target has refused work for `model`."""
        with self._lock:
            state = self._states.get(id)
            if state is not None:
                state.refused_until[model] = self._clock.monotonic() + PROBE_SECONDS
                state.probed.add(model)

    def expect_load(self, id: str, model: str, version: int) -> None:
        """Record that the target is to load `version` and may refuse work meanwhile."""
        with self._lock:
            state = self._states.get(id)
            if state is not None:
                until = self._clock.monotonic() + EXPECTED_LOAD_SECONDS
                state.loads[model] = _ExpectedLoad(version, until)
                state.probed.add(model)

    def record_accepted(self, id: str, model: str) -> None:
        """Record that the target has begun to answer a request for `model`."""
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
        """Record the version with which the target answers for `model`.

        The version may be lower than the known one: an order that is executed late,
        after a restart, takes an engine back to an older version.
        """
        with self._lock:
            state = self._states.get(id)
            if state is not None:
                state.versions[model] = version

    def record_replaced(self, id: str) -> None:
        """Record that another incarnation has answered at the target's address."""
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

    def _view(
        self, state: _State, now: float, reported: Assessment, suspected: bool
    ) -> TargetView:
        id = state.target.id
        assumed = ASSUMED_OWNERS * state.runs_since_report if self._other_owners else 0
        circuits = self._circuits_of(state.target.service)
        busy = state.in_flight > 0
        trial = suspected and self._reports.is_trial_due(id, busy)
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
            others=state.others + assumed,
            suspected_by=reported.suspected_by if suspected else (),
            suspected=suspected and not trial,
            reported=state.others,
            reported_lately=max(state.others, state.others_before),
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
