"""The side's HTTP surface: peer sessions, delivery rights, control.

Peer calls come from entries only. `POST /peer/open` is answered by the session's
stream; everything else is a short call.
"""

import logging
from collections.abc import Iterator
from dataclasses import dataclass

import msgspec

from wigeonfront.clock import Clock
from wigeonfront.coordination.delivery import DeliveryRights
from wigeonfront.coordination.ledger import (
    Admission,
    AttemptLedger,
    Refused,
    SessionOpened,
)
from wigeonfront.coordination.sessions import Ended, StaleSession
from wigeonfront.http import Application, Call, Reply, Stream
from wigeonfront.logs import event
from wigeonfront.messages import (
    Beat,
    DeliveryRequest,
    Dispatch,
    DispatchReply,
    ErrorReply,
    Fate,
    Opened,
    OpenSession,
    Refusal,
    Result,
    StreamFrame,
    to_wire,
)
from wigeonfront.metrics import Registry
from wigeonfront.policy.admission import AdmissionQueue
from wigeonfront.side.execution import Execution
from wigeonfront.side.learning import Learning
from wigeonfront.side.slots import ADOPT_PATH, HandOver, SlotKeeper

logger = logging.getLogger(__name__)

_frame_encoder = msgspec.json.Encoder()


@dataclass(frozen=True, slots=True)
class SideParts:
    """What the server of a side speaks for."""

    name: str
    service: str
    incarnation: str
    capacity: int
    beat_seconds: float
    clock: Clock
    ledger: AttemptLedger
    queue: AdmissionQueue
    execution: Execution
    learning: Learning
    slots: SlotKeeper
    rights: DeliveryRights
    metrics: Registry


class SideServer:
    """Handlers of a side's calls.

    Parameters
    ----------
    parts : SideParts
    """

    def __init__(self, parts: SideParts) -> None:
        self._parts = parts
        self._leaving_since: float | None = None
        self._stopping = False
        self._admissions = parts.metrics.counter(
            "wigeonfront_side_attempts_total",
            "Attempts that entries sent, by what the ledger decided.",
            ("decision",),
        )

    @property
    def leaving(self) -> bool:
        """Whether the side takes no new work."""
        return self._leaving_since is not None

    @property
    def leaving_for(self) -> float:
        """Seconds since the side was told to leave; 0 if it wasn't."""
        since = self._leaving_since
        return 0.0 if since is None else self._parts.clock.monotonic() - since

    def leave(self) -> None:
        """Take no new work from now on and say so on every stream."""
        if self._leaving_since is None:
            self._leaving_since = self._parts.clock.monotonic()
        self._parts.ledger.stop_admission("leaving")
        event(logger, "leaving", in_flight=self._parts.execution.in_flight)

    def end_streams(self) -> None:
        """Let every session's stream end."""
        self._stopping = True

    def application(self) -> Application:
        """Return the WSGI application with the side's routes."""
        application = Application()
        application.route("POST", "/peer/open", self.open)
        application.route("POST", "/peer/dispatch", self.dispatch)
        application.route("POST", "/peer/delivery", self.deliver)
        application.route("POST", ADOPT_PATH, self.adopt)
        application.route("POST", "/control/drain", self.drain)
        application.route("GET", "/health", self.health)
        application.route("GET", "/ready", self.ready)
        application.route("GET", "/metrics", self.metrics)
        application.route("GET", "/status", self.status)
        return application

    # --- peer sessions -------------------------------------------------------

    def open(self, call: Call) -> Reply | Stream:
        """Open a session and answer with its stream."""
        message = call.decode(OpenSession)
        parts = self._parts
        opened = parts.ledger.open(message)
        if isinstance(opened, StaleSession):
            return Reply(409, ErrorReply(error="stale_session"))
        if isinstance(opened, Ended):
            status = 409 if opened.replaced else 410
            return Reply(status, ErrorReply(error="session_ended"))
        parts.execution.stop_runs(opened.stop)
        parts.learning.take(message.versions, message.policy)
        event(
            logger,
            "session_opened",
            entry=message.entry,
            session=message.session,
            outstanding=len(message.outstanding),
        )
        return Stream(self._stream(message, opened))

    def _stream(self, message: OpenSession, opened: SessionOpened) -> Iterator[bytes]:
        parts = self._parts
        cursor = message.cursor
        if message.side_incarnation != parts.incarnation:
            cursor = 0
        yield self._frame(self._opened(message, opened.fates))
        next_beat = parts.clock.monotonic()
        while not self._stopping:
            now = parts.clock.monotonic()
            if now >= next_beat:
                yield self._frame(self._beat(message.session))
                next_beat = now + parts.beat_seconds
            found = parts.ledger.wait(
                message.entry,
                message.entry_incarnation,
                message.session,
                cursor,
                max(0.0, next_beat - now),
            )
            if isinstance(found, StaleSession):
                return
            if found:
                cursor = found[-1].sequence
                yield b"".join(
                    self._frame(self._result(message.session, one)) for one in found
                )

    def _opened(self, message: OpenSession, fates: tuple[Fate, ...]) -> Opened:
        return Opened(
            side=self._parts.name,
            incarnation=self._parts.incarnation,
            session=message.session,
            fates=list(fates),
        )

    def _beat(self, session: int) -> Beat:
        parts = self._parts
        load = parts.queue.load
        condition = parts.execution.condition
        return Beat(
            incarnation=parts.incarnation,
            session=session,
            running=sum(load.running.values()),
            queued=sum(load.queued.values()),
            queued_tokens=int(load.queued_tokens + load.running_tokens),
            capacity=parts.capacity,
            version=condition.version,
            serving=condition.serving,
            leaving=self.leaving,
            revision=parts.learning.revision,
        )

    def _result(self, session: int, finished) -> Result:
        return Result(
            incarnation=self._parts.incarnation,
            session=session,
            sequence=finished.sequence,
            attempt=finished.attempt,
            outcome=to_wire(finished.outcome),
        )

    def _frame(self, frame: StreamFrame) -> bytes:
        return _frame_encoder.encode(frame) + b"\n"

    def dispatch(self, call: Call) -> Reply:
        """Take attempts, cancellations and the acknowledged cursor."""
        message = call.decode(Dispatch)
        parts = self._parts
        parts.learning.take(message.versions, message.policy)
        parts.slots.note_awake()
        result = parts.ledger.dispatch(message)
        if isinstance(result, StaleSession):
            return Reply(200, DispatchReply(stale=True))
        parts.execution.stop_runs(result.stop)
        refused = [
            Refusal(attempt=attempt.attempt, outcome=to_wire(admission.outcome))
            for attempt, admission in zip(
                message.attempts, result.admissions, strict=True
            )
            if isinstance(admission, Refused)
        ]
        if any(one.outcome.reason == "not_owner" for one in refused):
            parts.slots.suspect()
        self._count(result.admissions)
        return Reply(200, DispatchReply(refused=refused))

    def _count(self, admissions: tuple[Admission, ...]) -> None:
        for admission in admissions:
            self._admissions.increment(decision=type(admission).__name__.lower())

    def deliver(self, call: Call) -> Reply:
        """Decide who may write the answer to a Lot."""
        message = call.decode(DeliveryRequest)
        self._parts.slots.note_awake()
        reply = self._parts.rights.handle(message)
        if reply.status == "not_owner":
            self._parts.slots.suspect()
        event(
            logger,
            "delivery_right",
            lot=message.key,
            step=message.step,
            submission=message.submission,
            holder=message.holder,
            status=reply.status,
        )
        return Reply(200, reply)

    def adopt(self, call: Call) -> Reply:
        """Take the records of slots that another side hands over."""
        adopted = self._parts.slots.adopt(call.decode(HandOver))
        if adopted is None:
            return Reply(503, ErrorReply(error="leaving"))
        return Reply(200, adopted)

    # --- control -------------------------------------------------------------

    def drain(self, call: Call) -> Reply:
        """Begin to leave, as for a planned stop."""
        self.leave()
        return Reply(200, {"leaving": True})

    def health(self, call: Call) -> Reply:
        """Answer that the process runs."""
        return Reply(200, {"status": "ok", "name": self._parts.name})

    def ready(self, call: Call) -> Reply:
        """Answer whether new work is taken."""
        condition = self._parts.execution.condition
        ready = condition.serving and not self.leaving
        reason = "leaving" if self.leaving else "ok" if ready else "not_serving"
        return Reply(200 if ready else 503, {"ready": ready, "reason": reason})

    def metrics(self, call: Call) -> Reply:
        """Answer with the metrics as text for a scraper."""
        text = self._parts.metrics.render_text()
        return Reply(200, text.encode(), content_type="text/plain; version=0.0.4")

    def status(self, call: Call) -> Reply:
        """Answer what an operator asks of a side."""
        parts = self._parts
        load = parts.queue.load
        condition = parts.execution.condition
        return Reply(
            200,
            {
                "name": parts.name,
                "service": parts.service,
                "incarnation": parts.incarnation,
                "running": dict(load.running),
                "queued": dict(load.queued),
                "version": condition.version,
                "serving": condition.serving,
                "leaving": self.leaving,
                "revision": parts.learning.revision,
                "slots": parts.slots.owned,
                "unacknowledged": parts.ledger.unacknowledged,
                "records": len(parts.ledger),
                "metrics": parts.metrics.snapshot(),
            },
        )
