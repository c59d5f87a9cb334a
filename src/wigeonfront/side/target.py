"""Targets: the one way from a side to its model engine or plain service.

A target runs one attempt at a time per calling thread and returns its outcome.
Nothing is repeated here. A connection is opened for each call of a plain
service, so that a failure to connect proves that the call was not run.
"""

import threading
from dataclasses import dataclass, field
from typing import Any, Literal, Protocol

import msgspec
from urllib3.exceptions import HTTPError

from wigeonfront.clock import Clock
from wigeonfront.http import Answer, Lost, NotSent, Pool, lines
from wigeonfront.messages import Attempt, from_span_frames
from wigeonfront.outcomes import (
    Completed,
    Expired,
    Failed,
    Interrupted,
    NotRun,
    Outcome,
    Unknown,
    VersionSpan,
)

PRIORITIES = {"interactive": 0, "booking": 0, "rollout": 10}
RETRY_SECONDS = 1.0
STREAM_SILENCE_SECONDS = 10.0
CANCEL_SECONDS = 2.0
UNREACHABLE = "target_down"
PREEMPTED = "preempted"


@dataclass(slots=True)
class Run:
    """One run of an attempt at the target.

    Attributes
    ----------
    attempt : Attempt
    deadline : float
        Reading of the monotonic clock at which the caller stops waiting.
    cancelled : threading.Event
        Set to end the run early.
    reason : str
        Why it was cancelled.
    started : bool
        It was at the target before; the ledger has marked it as begun.
    tokens : list
        Tokens so far, those of earlier runs included.
    versions : list of VersionSpan
        Which versions produced them.
    """

    attempt: Attempt
    deadline: float
    cancelled: threading.Event = field(default_factory=threading.Event)
    reason: str = "cancelled"
    started: bool = False
    tokens: list[Any] = field(default_factory=list)
    versions: list[VersionSpan] = field(default_factory=list)

    @classmethod
    def of(cls, attempt: Attempt, deadline: float) -> "Run":
        """Return a run that resumes from the attempt's prior tokens."""
        spans = list(from_span_frames(attempt.prior_versions))
        return cls(attempt, deadline, tokens=list(attempt.prior), versions=spans)

    def cancel(self, reason: str) -> None:
        """Ask the run to end early; a preemption gives way to any other reason."""
        if reason != PREEMPTED or not self.cancelled.is_set():
            self.reason = reason
        self.cancelled.set()

    def interrupted(self, reason: str) -> Interrupted:
        """Return the outcome of a run that ends here, with what it has."""
        return Interrupted(reason, tuple(self.tokens), tuple(self.versions))

    def extend(self, tokens: list[Any], version: int) -> None:
        """Append `tokens`, produced by `version`."""
        start = len(self.tokens)
        self.tokens.extend(tokens)
        end = len(self.tokens)
        last = self.versions[-1] if self.versions else None
        if last is not None and last.version == version and last.end == start:
            self.versions[-1] = VersionSpan(version, last.start, end)
        else:
            self.versions.append(VersionSpan(version, start, end))


class Target(Protocol):
    """What the executors of a side need of its target."""

    def run(self, run: Run) -> Outcome:
        """Run one attempt to its end."""

    def cancel(self, run: Run) -> None:
        """Tell the target to stop working on `run`."""


class PlainTarget:
    """A plain service beside the side.

    Parameters
    ----------
    url : str
        Base URL of the service.
    name : str
        The side's name, written into outcomes.
    clock : Clock
    """

    def __init__(self, url: str, name: str, clock: Clock) -> None:
        self._url = url
        self._name = name
        self._clock = clock

    def run(self, run: Run) -> Outcome:
        """Call the service once."""
        remaining = run.deadline - self._clock.monotonic()
        if remaining <= 0:
            return Expired(started=False)
        attempt = run.attempt
        body = {
            "id": attempt.attempt,
            "payload": attempt.payload,
            "idempotent": attempt.idempotent,
        }
        pool = Pool(self._url, read_seconds=remaining)
        try:
            answer = pool.call("POST", "/call", body)
        finally:
            pool.close()
        return self._outcome(answer)

    def cancel(self, run: Run) -> None:
        """Do nothing: a plain call can't be taken back."""

    def _outcome(self, answer: Answer | NotSent | Lost) -> Outcome:
        if isinstance(answer, NotSent):
            return NotRun(UNREACHABLE, RETRY_SECONDS)
        if isinstance(answer, Lost):
            return Unknown("target_connection_lost")
        if answer.status != 200:
            return Failed(f"target answered {answer.status}", answer.status)
        try:
            payload = msgspec.json.decode(answer.body)["payload"]
        except (msgspec.DecodeError, KeyError, TypeError):
            return Unknown("target_answer_malformed")
        return Completed(payload, target=self._name)


class EngineLine(msgspec.Struct, frozen=True):
    """One line of an engine's stream."""

    tokens: list[Any] = []
    version: int = -1
    done: bool = False
    error: str = ""
    cached_tokens: int = 0


class EngineState(msgspec.Struct, frozen=True):
    """What an engine says of itself; read from the engine, never late."""

    incarnation: str = ""
    model: str = ""
    version: int = -1
    loading: int | None = None
    fencing: int = 0
    checks_fencing: bool = False


@dataclass(frozen=True, slots=True)
class Loaded:
    """An order was carried out."""

    version: int


@dataclass(frozen=True, slots=True)
class LoadRefused:
    """An order was not carried out, or its end isn't known."""

    reason: Literal["fenced", "failed", "unreachable", "lost"]


class EngineTarget:
    """A model engine beside the side.

    Parameters
    ----------
    url : str
        Base URL of the engine.
    name : str
        The side's name, written into outcomes.
    clock : Clock
    connections : int
        Idle connections kept, as many as attempts run at once.
    """

    def __init__(self, url: str, name: str, clock: Clock, connections: int) -> None:
        self._name = name
        self._clock = clock
        self._pool = Pool(url, size=connections, read_seconds=STREAM_SILENCE_SECONDS)
        self._orders = Pool(url, size=1, read_seconds=CANCEL_SECONDS)

    def run(self, run: Run) -> Outcome:
        """Generate to the end of the attempt, its deadline or its cancellation."""
        remaining = run.deadline - self._clock.monotonic()
        if remaining <= 0:
            return Expired(started=False)
        if run.cancelled.is_set():
            return run.interrupted(run.reason)
        attempt = run.attempt
        body = {
            "id": attempt.attempt,
            "payload": attempt.payload,
            "prefix": attempt.prefix,
            "max_tokens": attempt.max_tokens,
            "priority": PRIORITIES[attempt.work_class],
            "prior": run.tokens,
        }
        silence = min(STREAM_SILENCE_SECONDS, remaining + 1.0)
        response = self._pool.open_stream("/generate", body, silence, fresh=False)
        if isinstance(response, NotSent):
            return NotRun(UNREACHABLE, RETRY_SECONDS)
        if isinstance(response, Lost):
            return run.interrupted("stream_cut")
        if response.status != 200:
            response.drain_conn()
            return self._refused(response.status)
        try:
            return self._read(run, response)
        except (HTTPError, OSError):
            return run.interrupted("stream_cut")
        except msgspec.DecodeError:
            return run.interrupted("stream_malformed")

    def cancel(self, run: Run) -> None:
        """Tell the engine to stop generating for `run`."""
        self._orders.call("POST", "/cancel", {"id": run.attempt.attempt})

    def state(self) -> EngineState | None:
        """Return the engine's own state, or ``None`` when it can't be read."""
        answer = self._orders.call("GET", "/state")
        if not isinstance(answer, Answer) or answer.status != 200:
            self._orders.reset()
            return None
        try:
            return msgspec.json.decode(answer.body, type=EngineState)
        except msgspec.DecodeError:
            return None

    def load(self, version: int, fencing: int, timeout: float) -> Loaded | LoadRefused:
        """Order the engine to load `version`, under a fencing number."""
        order = {"version": version, "fencing": fencing}
        pool = Pool(f"{self._orders.address}", read_seconds=timeout)
        answer = pool.call("POST", "/orders/load", order)
        pool.close()
        if isinstance(answer, NotSent):
            return LoadRefused("unreachable")
        if isinstance(answer, Lost):
            return LoadRefused("lost")
        if answer.status == 200:
            return Loaded(version)
        return LoadRefused("fenced" if answer.status == 409 else "failed")

    def _read(self, run: Run, response: Any) -> Outcome:
        oldest = run.attempt.min_version
        for line in lines(response):
            frame = msgspec.json.decode(line, type=EngineLine)
            if frame.error:
                return Failed(frame.error)
            if frame.done:
                return Completed(
                    {"tokens": run.tokens}, tuple(run.versions), self._name
                )
            if frame.version < oldest:
                response.close()
                self.cancel(run)
                return Failed("stale_version")
            run.extend(frame.tokens, frame.version)
            if run.cancelled.is_set():
                return self._stop(run, response, run.reason)
            if self._clock.monotonic() >= run.deadline:
                self._stop(run, response, "expired")
                return Expired(started=True)
        return run.interrupted("stream_cut")

    def _stop(self, run: Run, response: Any, reason: str) -> Interrupted:
        response.close()
        self.cancel(run)
        return run.interrupted(reason)

    def _refused(self, status: int) -> Outcome:
        if status == 503:
            return NotRun("target_full", RETRY_SECONDS)
        return Failed(f"target answered {status}", 502)
