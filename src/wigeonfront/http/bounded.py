"""HTTP connections that bound the time and the bytes of each answer.

A server in trouble may send a head, a chunk extension, trailers or a body that never
end, or a byte now and then. The library bounds only single lines and single reads. Here
each answer has a deadline and a limit for the bytes of its head and of its body. All
answers that a process reads at once share a budget. The bounds are checked where bytes
are read from the socket, below all parsing.

The library also takes the end of the connection for the end of a head, of a size line
and of the trailers. Here it ends an answer only if its head is whole and neither a
length nor chunks delimit its body, and only if the server made it; anywhere else the
answer is cut off.

Of the informational answers before an answer (RFC 9110, section 15.2) the library skips
only those with status 100. Here all are skipped, within the limit of the head.
"""

import enum
import http.client
import io
import socket
from collections.abc import Callable
from dataclasses import dataclass, field
from functools import partial
from http import HTTPStatus

from urllib3 import HTTPConnectionPool
from urllib3.connection import HTTPConnection

from wigeonfront.clock import Clock, SystemClock
from wigeonfront.http.budget import ANSWER_BUDGET, ByteBudget
from wigeonfront.http.sockets import SharedSocket

MAX_HEAD_BYTES = 128 * 1024
"""Longest head of an answer, with the informational answers before it: a hundred times
the usual one."""

MAX_BODY_BYTES = 64 * 1024 * 1024
"""Longest body of an answer, if the caller sets no other limit."""

WHOLE_ANSWER_FACTOR = 2.0
"""Time for a whole answer, as a multiple of the longest wait for its head."""

FREE_BYTES = 64 * 1024
"""Bytes of each body that are not taken from the budget, so that short answers still
arrive while long ones exhaust it."""

FRAMING_HEADERS = ("Content-Length", "Transfer-Encoding")
"""Headers that say where a body ends."""

SLACK_SECONDS = 0.02
"""Time by which a read may pass the deadline, so that its timeout need not be set."""


class AnswerTooLong(http.client.HTTPException):
    """An answer has more bytes than it may have."""


class AnswerCutOff(http.client.HTTPException):
    """The connection was closed or reset within an answer, or by this process."""


class FramingNotUnderstood(http.client.HTTPException):
    """The head of an answer delimits its body in a way that is not supported."""


@dataclass(slots=True)
class AnswerLimit:
    """What one answer may take.

    Attributes
    ----------
    deadline : float
        Monotonic time at which the part that is being read must have arrived.
    body_deadline : float
        The same for the body, once the head has arrived.
    body_bytes : int
    bytes_left : int
        Bytes that may still arrive in the part that is being read.
    budget : ByteBudget or None
        Budget from which the body is taken until it was read; ``None`` if its pieces
        are passed on, so that they are not held.
    """

    deadline: float
    body_deadline: float
    body_bytes: int = MAX_BODY_BYTES
    bytes_left: int = MAX_HEAD_BYTES
    budget: ByteBudget | None = field(default=ANSWER_BUDGET)

    def start_body(self) -> None:
        """Apply the limits of the body from now on."""
        self.deadline = self.body_deadline
        self.bytes_left = self.body_bytes

    def lower(self, deadline: float, count: int) -> None:
        """Lower the limits of the part that is being read."""
        self.deadline = min(self.deadline, deadline)
        self.bytes_left = min(self.bytes_left, count)


class _Stage(enum.Enum):
    """What is being read of an answer, which says what a closed connection means."""

    AWAITED = "awaited"
    """No byte has arrived; the server may have closed an idle connection."""

    DELIMITED = "delimited"
    """The head, or a body with a length or in chunks: the answer is cut off."""

    UNDELIMITED = "undelimited"
    """A body without either: the answer is complete."""


class _BoundedSource(io.RawIOBase):
    """Reads an answer from a socket within its limit, and fails if it is cut off."""

    def __init__(
        self,
        raw: io.RawIOBase,
        sock: socket.socket,
        limit: AnswerLimit,
        clock: Clock,
        shared_socket: SharedSocket | None,
    ) -> None:
        super().__init__()
        self._raw = raw
        self._sock = sock
        self._limit = limit
        self._clock = clock
        self._free_bytes = FREE_BYTES
        self._taken = 0
        self._stage = _Stage.AWAITED
        self._shared_socket = shared_socket

    @property
    def _ended_here(self) -> bool:
        """Whether this process has ended the connection."""
        return self._shared_socket is not None and self._shared_socket.is_shut_down

    def start_body(self, delimited: bool) -> None:
        """Read the body from now on; `delimited` if it has a length or chunks."""
        self._limit.start_body()
        self._stage = _Stage.DELIMITED if delimited else _Stage.UNDELIMITED

    def readable(self) -> bool:
        return True

    def readinto(self, buffer: bytearray | memoryview) -> int | None:
        limit = self._limit
        seconds = limit.deadline - self._clock.monotonic()
        if seconds <= 0:
            raise TimeoutError("the answer has not arrived before its deadline")
        if limit.bytes_left <= 0:
            raise AnswerTooLong("the answer is longer than it may be")
        timeout = self._sock.gettimeout()
        if timeout is None or seconds < timeout - SLACK_SECONDS:
            self._sock.settimeout(seconds)
        count = self._read(memoryview(buffer)[: limit.bytes_left])
        limit.bytes_left -= count
        self._take(count)
        return count

    def _read(self, buffer: memoryview) -> int:
        """Read into `buffer`; return 0 only if that may be the end of the answer."""
        try:
            count = self._raw.readinto(buffer) or 0
        except ConnectionError as error:
            if self._stage is _Stage.AWAITED and not self._ended_here:
                raise
            raise AnswerCutOff("the connection was reset within the answer") from error
        if not count and (self._stage is _Stage.DELIMITED or self._ended_here):
            raise AnswerCutOff("the connection was closed within the answer")
        if count and self._stage is _Stage.AWAITED:
            self._stage = _Stage.DELIMITED
        return count

    def _take(self, count: int) -> None:
        """Take bytes from the budget, beyond those that each answer has."""
        budget = self._limit.budget
        free = min(count, self._free_bytes)
        self._free_bytes -= free
        count -= free
        if budget is None or not count:
            return
        if self._taken + count > budget.largest or not budget.take(count):
            raise AnswerTooLong("the answers being read exceed their budget")
        self._taken += count

    def close(self) -> None:
        if not self.closed and self._limit.budget is not None:
            self._limit.budget.release(self._taken)
            self._taken = 0
        self._raw.close()
        super().close()


class _BoundedResponse(http.client.HTTPResponse):
    """An answer that is read within its limit."""

    def __init__(
        self,
        sock: socket.socket,
        *args: object,
        limit: AnswerLimit,
        clock: Clock,
        shared_socket: SharedSocket | None,
        **options: object,
    ) -> None:
        super().__init__(sock, *args, **options)
        self._limit = limit
        self._source = _BoundedSource(
            self.fp.detach(), sock, limit, clock, shared_socket
        )
        self.fp = io.BufferedReader(self._source)

    def begin(self) -> None:
        super().begin()
        if self.status == HTTPStatus.SWITCHING_PROTOCOLS:
            raise FramingNotUnderstood("status 101, which no request asks for")
        delimited = self.chunked or self.length is not None
        if not delimited:
            self._check_undelimited()
        self._source.start_body(delimited)
        if self.length is not None and self.length > self._limit.body_bytes:
            raise AnswerTooLong(f"the answer announces {self.length} bytes")

    def _read_status(self) -> tuple[str, int, str]:
        """Read a status line; each that the library is to skip has status 100."""
        version, status, reason = super()._read_status()
        informational = HTTPStatus.CONTINUE <= status < HTTPStatus.OK
        if informational and status != HTTPStatus.SWITCHING_PROTOCOLS:
            status = HTTPStatus.CONTINUE
        return version, status, reason

    def _check_undelimited(self) -> None:
        """Check that the head does not say where the body ends.

        The library ignores a length that is not a number, and transfer codings other
        than chunks.

        Raises
        ------
        FramingNotUnderstood
        """
        for name in FRAMING_HEADERS:
            if name in self.headers:
                raise FramingNotUnderstood(f"{name}: {self.headers[name]!r}")


class BoundedConnection(HTTPConnection):
    """A connection whose answers are bounded.

    Attributes
    ----------
    limit : AnswerLimit or None
        Limit of the next answer. Without it the answer must arrive within
        `WHOLE_ANSWER_FACTOR` times the timeout of a read.
    clock : Clock
    shared_socket : SharedSocket or None
        Socket of the connection, if other threads may shut it down.
    """

    limit: AnswerLimit | None = None
    clock: Clock = SystemClock()
    shared_socket: SharedSocket | None = None

    @property
    def response_class(self) -> Callable[..., http.client.HTTPResponse]:
        """Class of the answers, with the limit of the next one."""
        limit = self.limit or self._default_limit()
        return partial(
            _BoundedResponse,
            limit=limit,
            clock=self.clock,
            shared_socket=self.shared_socket,
        )

    def _default_limit(self) -> AnswerLimit:
        now = self.clock.monotonic()
        seconds = float(self.timeout or 0.0)
        return AnswerLimit(now + seconds, now + WHOLE_ANSWER_FACTOR * seconds)


class BoundedConnectionPool(HTTPConnectionPool):
    """A pool of connections whose answers are bounded."""

    ConnectionCls = BoundedConnection


def is_too_long(error: BaseException) -> bool:
    """Return whether an error of the library comes from an answer that is too long."""
    return any(isinstance(cause, AnswerTooLong) for cause in (error, *error.args))
