"""Runs one sample on one engine and returns the outcome of the run."""

import http.client
from collections.abc import Callable
from typing import Protocol

from urllib3 import HTTPHeaderDict
from urllib3.exceptions import HTTPError

from wigeonfront.clock import Clock
from wigeonfront.forwarding.attempt import (
    Broken,
    CallerGone,
    ForwardRequest,
    NotExecuted,
    TimedOut,
)
from wigeonfront.forwarding.exchange import BodyLimit, Exchange
from wigeonfront.forwarding.guard import NO_GUARD, RequestGuard
from wigeonfront.forwarding.handle import CallHandle
from wigeonfront.forwarding.open_call import OpenCall
from wigeonfront.rollout.events import EventReader, Text
from wigeonfront.rollout.lot import Lot, Sample
from wigeonfront.rollout.run_outcomes import (
    RunBroken,
    RunCompleted,
    RunFailed,
    RunImpossible,
    RunOutcome,
    RunQuarantined,
    RunRefused,
    RunSilent,
    RunTooOld,
)
from wigeonfront.targets.target import Target

EVENT_SECONDS = 1.0
"""Timeout between two events: over ten times what a full and slow engine takes."""

MAX_TEXT_BYTES = 4 * 1024 * 1024
"""Longest stream of a run: four times what a page of results holds."""

OK = 200
UNPROCESSABLE = 422
SERVER_ERROR = 500


class SampleProtocol(Protocol):
    """Format of requests for samples; implemented by the platform's adapter."""

    version_field: bytes

    def sample_request(self, lot: Lot, sample: Sample, after: int) -> ForwardRequest:
        """Return the request that generates the events after `after`."""

    def answer_version(self, headers: HTTPHeaderDict) -> int:
        """Return the weights' version at which an answer begins; 0 if it names none."""


class RunHandle(CallHandle):
    """Allows another thread to end a run.

    Parameters
    ----------
    first_event_seconds : float
        Timeout in seconds for the run's first event.

    isolated : bool
        The engine was chosen so that the run is apart from other runs.

    Attributes
    ----------
    moved : bool
        The run was ended in order to be continued on another engine.
    """

    def __init__(self, first_event_seconds: float, isolated: bool = False) -> None:
        super().__init__()
        self.first_event_seconds = first_event_seconds
        self.isolated = isolated
        self.moved = False

    def move(self) -> None:
        """End the run in order to continue it on another engine."""
        self.moved = True
        self.interrupt()


class SampleRunner:
    """Runs samples on engines.

    Parameters
    ----------
    exchange : Exchange
    protocol : SampleProtocol
    clock : Clock
    guard : RequestGuard, optional
        Delays and isolates the samples under which engines crashed.
    """

    def __init__(
        self,
        exchange: Exchange,
        protocol: SampleProtocol,
        clock: Clock,
        guard: RequestGuard = NO_GUARD,
    ) -> None:
        self._exchange = exchange
        self._protocol = protocol
        self._clock = clock
        self._guard = guard

    def run(
        self,
        lot: Lot,
        sample: Sample,
        text: Text,
        target: Target,
        seconds: float,
        handle: RunHandle,
        on_event: Callable[[int], None],
    ) -> RunOutcome:
        """Run `sample` on `target` and add the generated events to `text`.

        Parameters
        ----------
        lot : Lot
        sample : Sample
        text : Text
            What earlier runs have generated; this run continues it.
        target : Target
        seconds : float
            Time limit of the run.
        handle : RunHandle
            Allows other threads to end the run.
        on_event : callable
            Called after each event with the version that generated it.
        """
        request = self._protocol.sample_request(lot, sample, text.last_id)
        isolated = self._guard.needs_isolation(request)
        if isolated and not handle.isolated:
            return RunQuarantined(0.0, isolated)
        with self._guard.accepted_run(request, target) as blocked:
            if blocked:
                return RunQuarantined(blocked, isolated)
            return self._send(request, lot, text, target, seconds, handle, on_event)

    def _send(
        self,
        request: ForwardRequest,
        lot: Lot,
        text: Text,
        target: Target,
        seconds: float,
        handle: RunHandle,
        on_event: Callable[[int], None],
    ) -> RunOutcome:
        head_seconds = min(handle.first_event_seconds, seconds)
        head_deadline = self._clock.monotonic() + head_seconds
        call = self._exchange.open(
            request,
            target,
            head_deadline,
            run_seconds=seconds,
            handle=handle,
            body=BodyLimit(self._clock.monotonic() + seconds, MAX_TEXT_BYTES),
        )
        if isinstance(call, NotExecuted):
            return RunRefused(call.reason, call.status != 0, call.replaced)
        if isinstance(call, Broken):
            return RunBroken(call.reason)
        if isinstance(call, TimedOut):
            return RunSilent()
        if isinstance(call, CallerGone):
            return RunBroken("closed")
        if call.status != OK:
            call.close()
            return _error(call.status)
        return self._read(lot, text, call, on_event)

    def _read(
        self, lot: Lot, text: Text, call: OpenCall, on_event: Callable[[int], None]
    ) -> RunOutcome:
        version = self._protocol.answer_version(call.headers)
        reader = EventReader(self._protocol.version_field)
        event_at = self._clock.monotonic()
        try:
            for piece in call.pieces(EVENT_SECONDS):
                events = reader.feed(piece)
                if events:
                    event_at = self._clock.monotonic()
                elif self._clock.monotonic() - event_at > EVENT_SECONDS:
                    call.close()
                    return RunBroken("no whole event")
                for event in events:
                    version = event.version or version
                    if not _allowed(lot, text, version):
                        call.close()
                        return RunTooOld(version)
                    if not text.add(event, version):
                        call.close()
                        return RunBroken(f"event {event.id} after {text.last_id}")
                    on_event(version)
        except (HTTPError, OSError, ValueError, http.client.HTTPException) as error:
            call.close()
            return RunBroken(type(error).__name__)
        if reader.rest.strip():
            call.close()
            return RunBroken("cut event")
        if not text.last_id:
            call.close()
            return RunBroken("no event")
        call.finish()
        return RunCompleted()


def _allowed(lot: Lot, text: Text, version: int) -> bool:
    if version < lot.min_version:
        return False
    return not lot.single_version or not (text.versions - {version})


def _error(status: int) -> RunFailed | RunImpossible:
    return RunImpossible() if status == UNPROCESSABLE else RunFailed(status)
