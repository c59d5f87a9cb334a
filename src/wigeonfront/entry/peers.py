"""Peers: an entry's sessions with the sides, one task for each side.

A session is a long response that the entry reads; results and heartbeats come on
it. Dispatches are short calls that name the session. When the stream is silent
for three heartbeats, or a dispatch is lost, the entry opens a new session on a
new connection and lists what it believes outstanding. The side refuses older
sessions from then on, so an attempt it has never seen has certainly not run.

Every outstanding attempt is resolved once: whoever takes it out of the table
tells its sink.
"""

import logging
import random
import threading
from collections.abc import Callable, Iterable, Iterator
from contextlib import closing
from dataclasses import dataclass, field
from hashlib import blake2b
from itertools import count
from typing import Any, Protocol

import msgspec
from urllib3.exceptions import HTTPError

from wigeonfront.clock import Clock
from wigeonfront.http import Answer, Lost, NotSent, Pool, lines
from wigeonfront.logs import event
from wigeonfront.messages import (
    Attempt,
    Beat,
    DeliveryReply,
    DeliveryRequest,
    Dispatch,
    DispatchReply,
    Opened,
    OpenSession,
    Result,
    ServicePolicy,
    StreamFrame,
    from_wire,
)
from wigeonfront.outcomes import NotRun, Outcome, Unknown
from wigeonfront.platform import Vm

logger = logging.getLogger(__name__)

SILENT_BEATS = 3
# A side answers a dispatch, and the head of a session's stream, within milliseconds.
DISPATCH_SECONDS = 1.5
OPEN_SECONDS = 1.5
CONNECT_SECONDS = 1.0
LONGEST_PAUSE = 2.0
FIRST_PAUSE = 0.05
ACKNOWLEDGE_SECONDS = 5.0
UNKNOWN_GRACE_SECONDS = 5.0
# Such an attempt is better made elsewhere at once.
IDEMPOTENT_GRACE_SECONDS = 0.5
RETRY_SECONDS = 1.0
SPARE_CONNECTIONS = 8
SESSION_ENDED_STATUS = 410
# Sessions that an entry may open before its numbers run into another's.
SESSION_BITS = 20
# Given before the side has looked at the attempts.
REFUSED_STATUSES = frozenset({400, 404, 405, 413, 422, 503})

_frame_decoder = msgspec.json.Decoder(StreamFrame)
_reply_decoder = msgspec.json.Decoder(DispatchReply)
_delivery_decoder = msgspec.json.Decoder(DeliveryReply)


class Sink(Protocol):
    """Where outcomes of attempts go; `queue.SimpleQueue` wrapped by a caller."""

    def put(self, attempt: str, outcome: Outcome, side: str) -> None:
        """Take the one outcome of an attempt."""


@dataclass(frozen=True, slots=True)
class Identity:
    """Who an entry is: its name and the incarnation of this process.

    Attributes
    ----------
    sessions : iterator of int
        Numbers of sessions. They rise over all peers, because a side whose peer is
        removed and added again remembers the number of its last session, and differ
        from other entries' and incarnations', so that a wrong stream is told by them.
    """

    name: str
    incarnation: str
    sessions: Iterator[int] = field(init=False, compare=False, repr=False)

    def __post_init__(self) -> None:
        digest = blake2b(f"{self.name}/{self.incarnation}".encode(), digest_size=5)
        first = int.from_bytes(digest.digest()) << SESSION_BITS
        object.__setattr__(self, "sessions", count(first + 1))


@dataclass(slots=True)
class _Outstanding:
    attempt: Attempt
    sink: Sink
    side_incarnation: str


@dataclass(frozen=True, slots=True)
class PeerState:
    """What an entry knows of a side.

    Attributes
    ----------
    vm : Vm
    connected : bool
        A session is open and not silent.
    beat : Beat or None
        The newest heartbeat.
    beat_time : float
        When it came, by the monotonic clock.
    sent_tokens : int
        Tokens dispatched by this entry since that heartbeat.
    disconnected_since : float or None
        When the last session ended, by the monotonic clock.
    """

    vm: Vm
    connected: bool
    beat: Beat | None
    beat_time: float
    sent_tokens: int
    disconnected_since: float | None


class Peer:
    """One side, as seen by this entry.

    Parameters
    ----------
    vm : Vm
        Where the side is.
    identity : Identity
        Of this entry.
    clock : Clock
    beat_seconds : float
        Interval of the side's heartbeats.
    announced : callable
        Returns the newest weight version announced for each service.
    policy : callable
        Returns what the side follows of the catalogue.
    pools : callable
        Makes the pools of connections; called like `Pool`.
    """

    def __init__(
        self,
        vm: Vm,
        identity: Identity,
        clock: Clock,
        beat_seconds: float,
        announced: Callable[[], dict[str, int]] = dict,
        policy: Callable[[], ServicePolicy | None] = lambda: None,
        pools: Callable[..., Pool] = Pool,
    ) -> None:
        self._vm = vm
        self._identity = identity
        self._clock = clock
        self._beat_seconds = beat_seconds
        self._announced = announced
        self._policy = policy
        self._told: ServicePolicy | None = None
        self._lock = threading.Lock()
        self._session = 0
        self._cursor = 0
        self._acknowledged = 0
        self._acknowledged_at = clock.monotonic()
        self._incarnation = ""
        self._connected = False
        self._beat: Beat | None = None
        self._beat_time = 0.0
        self._disconnected_since: float | None = clock.monotonic()
        self._outstanding: dict[str, _Outstanding] = {}
        self._sent_tokens = 0
        self._response: Any = None
        self._stream_pool = pools(vm.address, CONNECT_SECONDS, size=1)
        self._pool = pools(
            vm.address, CONNECT_SECONDS, DISPATCH_SECONDS, SPARE_CONNECTIONS
        )
        self.dropped_frames = 0

    @property
    def vm(self) -> Vm:
        """The VM of the side."""
        return self._vm

    @property
    def idle(self) -> bool:
        """Whether no attempt is outstanding at the side."""
        with self._lock:
            return not self._outstanding

    @property
    def state(self) -> PeerState:
        """What is known of the side now."""
        with self._lock:
            return PeerState(
                self._vm,
                self._connected,
                self._beat,
                self._beat_time,
                self._sent_tokens,
                self._disconnected_since,
            )

    @property
    def behind(self) -> bool:
        """Whether a session is open and the side lacks the present policy."""
        return self._connected and self._news() is not None

    def run(self, stop: threading.Event) -> None:
        """Keep a session open until `stop` (a supervisor's task)."""
        pause = FIRST_PAUSE
        while not stop.is_set():
            opened = self._read_session(stop)
            if stop.is_set():
                break
            pause = FIRST_PAUSE if opened else min(LONGEST_PAUSE, pause * 2)
            stop.wait(random.uniform(pause / 2, pause))
        self._resolve_all(Unknown("side_gone"))
        self._pool.close()
        self._stream_pool.close()

    def dispatch(self, attempts: list[Attempt], sink: Sink) -> None:
        """Send `attempts` to the side; each gets one outcome at `sink`."""
        with self._lock:
            connected = self._connected
            header = self._header()
            if connected:
                for attempt in attempts:
                    self._outstanding[attempt.attempt] = _Outstanding(
                        attempt, sink, self._incarnation
                    )
                    self._sent_tokens += attempt.max_tokens
        if not connected:
            for attempt in attempts:
                sink.put(
                    attempt.attempt,
                    NotRun("peer_disconnected", RETRY_SECONDS),
                    self._vm.name,
                )
            return
        message = msgspec.structs.replace(header, attempts=attempts)
        answer = self._pool.call("POST", "/peer/dispatch", message)
        self._settle_dispatch(message, answer)

    def cancel(self, attempts: Iterable[str]) -> None:
        """Tell the side that nobody waits for `attempts` any more."""
        names = list(attempts)
        with self._lock:
            for name in names:
                self._outstanding.pop(name, None)
            header = self._header()
            connected = self._connected
        if connected and names:
            message = msgspec.structs.replace(header, cancel=names)
            self._pool.call("POST", "/peer/dispatch", message)

    def deliver(
        self, request: DeliveryRequest, timeout: float = DISPATCH_SECONDS
    ) -> DeliveryReply | None:
        """Speak for a Lot to this side as its owner; ``None`` without an answer."""
        answer = self._pool.call("POST", "/peer/delivery", request, timeout=timeout)
        if isinstance(answer, Answer) and answer.status == 200:
            return _delivery_decoder.decode(answer.body)
        if isinstance(answer, Lost):
            self.reset()
        return None

    def note_not_serving(self) -> None:
        """Place nothing here until the next heartbeat: a refusal is newer news."""
        with self._lock:
            if self._beat is not None:
                self._beat = msgspec.structs.replace(self._beat, serving=False)

    def gone(self) -> None:
        """Resolve everything outstanding: the VM is gone for good."""
        self._resolve_all(Unknown("side_gone"))

    def reset(self) -> None:
        """End the session; the task opens a new one on a new connection."""
        self._pool.reset()
        with self._lock:
            response = self._response
        if response is not None:
            try:
                response.shutdown()
            except (OSError, RuntimeError, ValueError, AttributeError):
                pass

    # --- the session's task --------------------------------------------------

    def _read_session(self, stop: threading.Event) -> bool:
        """Read one session to its end; return whether it was opened."""
        opened = False
        with closing(self.frames()) as frames:
            for _ in frames:
                opened = True
                if stop.is_set():
                    break
        return opened

    def frames(self) -> Iterator[StreamFrame]:
        """Open a session and act on its frames, one at each step, to its end."""
        message = self._open_message()
        response = None
        try:
            response = self._open(message)
            for line in lines(response) if response is not None else ():
                frame = _frame_decoder.decode(line)
                self._take(frame, message)
                yield frame
        except (HTTPError, OSError, msgspec.DecodeError) as error:
            self._log("session_ended", reason=type(error).__name__)
        finally:
            self._disconnect()
            if response is not None:
                response.close()
            self._give_up_outstanding()

    def _open(self, message: OpenSession) -> Any:
        """Return the session's response, or ``None`` where there is none."""
        silence = SILENT_BEATS * self._beat_seconds
        response = self._stream_pool.open_stream(
            "/peer/open", message, silence, head_seconds=OPEN_SECONDS
        )
        if isinstance(response, NotSent | Lost):
            return None
        if response.status != 200:
            self._note_refused(response.status)
            response.close()
            return None
        with self._lock:
            self._response = response
        return response

    def _note_refused(self, status: int) -> None:
        """Forget the side's incarnation when it has forgotten this entry."""
        self._log("session_refused", status=status)
        if status != SESSION_ENDED_STATUS:
            return
        with self._lock:
            self._incarnation = ""
            self._cursor = 0
            self._acknowledged = 0
        self._resolve_all(Unknown("side_forgot"))

    def _open_message(self) -> OpenSession:
        with self._lock:
            self._session = next(self._identity.sessions)
            return OpenSession(
                entry=self._identity.name,
                entry_incarnation=self._identity.incarnation,
                session=self._session,
                cursor=self._cursor,
                outstanding=list(self._outstanding),
                side_incarnation=self._incarnation,
                versions=self._announced(),
                policy=self._policy(),
            )

    def _take(self, frame: StreamFrame, message: OpenSession) -> None:
        """Act on one frame; raises `HTTPError` where the stream can't be trusted."""
        if isinstance(frame, Opened) == self._connected:
            self.dropped_frames += 1
            raise HTTPError("not begun by its first frame")
        if isinstance(frame, Opened):
            self._take_opened(frame, message)
        elif (frame.session, frame.incarnation) != (self._session, self._incarnation):
            self.dropped_frames += 1
        elif isinstance(frame, Beat):
            self._take_beat(frame)
        else:
            self._take_result(frame)

    def _take_opened(self, frame: Opened, message: OpenSession) -> None:
        told = [fate.attempt for fate in frame.fates]
        expected = (self._vm.name, message.session, message.outstanding)
        if (frame.side, frame.session, told) != expected:
            self.dropped_frames += 1
            raise HTTPError(f"opened by {frame.side} as another session")
        with self._lock:
            restarted = frame.incarnation != self._incarnation
            if restarted:
                self._cursor = 0
                self._acknowledged = 0
            self._incarnation = frame.incarnation
            self._connected = True
            self._disconnected_since = None
            self._told = message.policy
        self._log("session_opened", session=frame.session, restarted=restarted)
        self._settle_fates(frame)

    def _settle_fates(self, frame: Opened) -> None:
        for fate in frame.fates:
            name = fate.attempt
            with self._lock:
                waiting = self._outstanding.get(name)
            if waiting is None:
                continue
            if waiting.side_incarnation != frame.incarnation:
                self._resolve(name, Unknown("side_restarted"))
            elif fate.state == "never_seen":
                self._resolve(name, NotRun("not_delivered", 0.0))

    def _take_beat(self, frame: Beat) -> None:
        now = self._clock.monotonic()
        with self._lock:
            self._beat = frame
            self._beat_time = now
            self._sent_tokens = 0
            due = self._cursor > self._acknowledged and (
                frame.leaving or now - self._acknowledged_at >= ACKNOWLEDGE_SECONDS
            )
            header = self._header()
        if due or header.policy is not None:
            answer = self._pool.call("POST", "/peer/dispatch", header)
            if isinstance(answer, Answer):
                self._note_acknowledged(header.cursor)
                self._note_told(header, answer)

    def _take_result(self, frame: Result) -> None:
        outcome = from_wire(frame.outcome)
        with self._lock:
            expected = self._cursor + 1
            if frame.sequence > expected:
                raise HTTPError(f"result {expected} is missing")
            if frame.sequence == expected:
                self._cursor = expected
        if frame.sequence < expected or not self._resolve(frame.attempt, outcome):
            self.dropped_frames += 1

    def _disconnect(self) -> None:
        with self._lock:
            if self._connected or self._disconnected_since is None:
                self._disconnected_since = self._clock.monotonic()
            self._connected = False
            self._response = None
        self._pool.reset()

    def _give_up_outstanding(self) -> None:
        """Resolve what need not, or can't, wait for the side to come back."""
        now = self._clock.monotonic()
        with self._lock:
            since = self._disconnected_since
            waiting = list(self._outstanding.values())
        away = 0.0 if since is None else now - since
        grace_over = away >= UNKNOWN_GRACE_SECONDS
        for one in waiting:
            if grace_over or (
                one.attempt.idempotent and away > IDEMPOTENT_GRACE_SECONDS
            ):
                self._resolve(one.attempt.attempt, Unknown("peer_lost"))

    # --- helpers -------------------------------------------------------------

    def _settle_dispatch(
        self, message: Dispatch, answer: Answer | NotSent | Lost
    ) -> None:
        attempts = message.attempts
        if isinstance(answer, Lost):
            # Whether the side has it is told by the fates of the next session.
            self.reset()
            return
        if isinstance(answer, NotSent):
            self._refuse_all(attempts, NotRun("peer_unreachable", RETRY_SECONDS))
            self.reset()
            return
        if answer.status in REFUSED_STATUSES:
            self._refuse_all(attempts, NotRun("peer_refused", RETRY_SECONDS))
            return
        if answer.status != 200:
            self.reset()
            return
        reply = _reply_decoder.decode(answer.body)
        if reply.stale:
            self._refuse_all(attempts, NotRun("stale_session", 0.0))
            return
        self._note_told(message, answer)
        for refusal in reply.refused:
            self._resolve(refusal.attempt, from_wire(refusal.outcome))

    def _refuse_all(self, attempts: list[Attempt], outcome: NotRun) -> None:
        for attempt in attempts:
            self._resolve(attempt.attempt, outcome)

    def _resolve(self, name: str, outcome: Outcome) -> bool:
        with self._lock:
            waiting = self._outstanding.pop(name, None)
        if waiting is None:
            return False
        waiting.sink.put(name, outcome, self._vm.name)
        return True

    def _resolve_all(self, outcome: Outcome) -> None:
        with self._lock:
            names = list(self._outstanding)
        for name in names:
            self._resolve(name, outcome)

    def _header(self) -> Dispatch:
        return Dispatch(
            entry=self._identity.name,
            entry_incarnation=self._identity.incarnation,
            session=self._session,
            side_incarnation=self._incarnation,
            cursor=self._cursor,
            versions=self._announced(),
            policy=self._news(),
        )

    def _news(self) -> ServicePolicy | None:
        """Return the present policy if the side was not told of it."""
        policy = self._policy()
        return None if policy is None or policy == self._told else policy

    def _note_told(self, message: Dispatch, answer: Answer) -> None:
        """Note that the side has the policy of `message`."""
        if message.policy is None or answer.status != 200:
            return
        stale = _reply_decoder.decode(answer.body).stale
        with self._lock:
            if not stale and message.session == self._session:
                self._told = message.policy

    def _note_acknowledged(self, cursor: int) -> None:
        with self._lock:
            self._acknowledged = max(self._acknowledged, cursor)
            self._acknowledged_at = self._clock.monotonic()

    def _log(self, name: str, **fields: Any) -> None:
        event(logger, name, side=self._vm.name, **fields)
