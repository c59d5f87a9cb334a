"""Reads the bodies of requests, whatever delimits them.

The bytes of a body are taken from the budget of all requests before they are read, or
as its chunks arrive, and stay taken until the call ends. A body that doesn't fit waits
for a moment, in which stalled calls are shed.
"""

import io
import threading
from collections.abc import Callable
from functools import singledispatch
from http import HTTPStatus

from wigeonfront.clock import Clock, SystemClock
from wigeonfront.http.budget import REQUEST_BUDGET, ByteBudget
from wigeonfront.http.framing import (
    ChunkDecoder,
    Chunked,
    FixedLength,
    Framing,
    MalformedChunksError,
)
from wigeonfront.http.source import CallerReader, CallLate, CallShed
from wigeonfront.http.waiting import PROCESS_WAITS

FREE_BYTES = 16 * 1024
"""Bytes of each body that are not taken from the budget, so that short requests still
arrive while long ones exhaust it."""

ROOM_SECONDS = 1.0
"""Time for which a body waits until it fits in the budget: twice that after which a
stalled call is shed."""

PIECE_BYTES = 32 * 1024
"""Largest part of a body that is read at once."""

RETRY_SECONDS = 1.0
"""Value of ``Retry-After`` in a refusal for a shortage."""

DISCARD_BYTES = 1024 * 1024
"""Bytes of an unread body that are discarded beyond the largest legal body."""

DISCARD_SECONDS = 5.0
"""Time for which the rest of an unread body is discarded, so that its caller reads the
answer before the connection is closed."""

DISCARD_PAUSE_SECONDS = 1.0
"""Pause of the caller after which it has surely seen the answer."""

KEPT_REST_BYTES = 64 * 1024
"""Longest unread rest of a body after which the connection is kept."""

_CLOCK = SystemClock()
_FINE_CHUNKS_LOCK = threading.Lock()
"""Held while chunks of few bytes are decoded: by one thread, so that those of other
calls find the interpreter free."""


class BodyNotRead(Exception):  # noqa: N818
    """The body of a request was not read, so the request has not run.

    Attributes
    ----------
    status : HTTPStatus
        Status for the caller.
    code : str
        Name of the reason, for logs, metrics and the system's own interface.
    retry_after : float
        Seconds after which the caller may try again; 0 if that would not help.
    """

    status = HTTPStatus.BAD_REQUEST
    code = "body_not_read"
    retry_after = 0.0


class BodyTooLarge(BodyNotRead):
    """The body is longer than the handler accepts."""

    status = HTTPStatus.REQUEST_ENTITY_TOO_LARGE
    code = "body_too_large"


class BodyMalformed(BodyNotRead):
    """The body does not keep to its framing."""

    code = "body_malformed"


class BodyCutOff(BodyNotRead):
    """The caller closed the connection within the body."""

    code = "body_cut_off"


class BodyLate(BodyNotRead):
    """The end of the body did not arrive in time."""

    status = HTTPStatus.REQUEST_TIMEOUT
    code = "body_late"


class Overloaded(BodyNotRead):
    """Other calls occupy the memory that the body needs, or need its thread."""

    status = HTTPStatus.SERVICE_UNAVAILABLE
    code = "overloaded"
    retry_after = RETRY_SECONDS


class BodyReader:
    """Reads the body of one request.

    Parameters
    ----------
    reader : CallerReader
    framing : Framing
    max_line_bytes : int
        Longest size line of a chunk, and longest trailer section.
    on_start : callable
        Called before the first byte is read, once its memory is taken.
    budget : ByteBudget
    clock : Clock
    """

    def __init__(
        self,
        reader: CallerReader,
        framing: Framing,
        max_line_bytes: int,
        on_start: Callable[[], None],
        budget: ByteBudget = REQUEST_BUDGET,
        clock: Clock | None = None,
    ) -> None:
        self._reader = reader
        self._framing = framing
        self._max_line_bytes = max_line_bytes
        self._on_start = on_start
        self._budget = budget
        self._clock = clock or _CLOCK
        self._free_bytes = FREE_BYTES
        self._copies = 1
        self._max_bytes = 0
        self._read_bytes = 0
        self._ended = framing == FixedLength(0)
        self._failed = False
        self._shed = False

    @property
    def ended(self) -> bool:
        """Whether the whole body was read, so that the next request follows."""
        return self._ended

    @property
    def rest_is_short(self) -> bool:
        """Whether what is left of the body is worth reading to keep the connection."""
        if self._ended:
            return True
        if self._failed or not isinstance(self._framing, FixedLength):
            return False
        return self._framing.count <= KEPT_REST_BYTES

    def read(self, max_bytes: int, deadline: float, copies: int = 1) -> bytes:
        """Return the whole body.

        Parameters
        ----------
        max_bytes : int
        deadline : float
            Monotonic time by which the body must have arrived.
        copies : int
            Bytes that are taken from the budget for each byte of the body.

        Raises
        ------
        BodyNotRead
        """
        if self._ended:
            return b""
        self._reader.source.start_body(deadline)
        self._max_bytes = max_bytes
        self._copies = copies
        # A buffer of this type hands over its bytes without copying them.
        buffer = io.BytesIO()
        # Cleared below, unless an error ends the read.
        self._failed = True
        try:
            _read_into(self._framing, self, buffer)
        except MalformedChunksError as error:
            raise BodyMalformed(str(error)) from error
        except CallLate as error:
            raise BodyLate("the body has not arrived in time") from error
        except CallShed as error:
            self._shed = True
            raise Overloaded("stalled while others were short") from error
        except OSError as error:
            raise BodyCutOff(str(error)) from error
        self._failed = False
        self._ended = True
        return buffer.getvalue()

    def read_length(self, count: int, buffer: io.BytesIO) -> None:
        """Read a body of `count` bytes into `buffer`."""
        if count > self._max_bytes:
            raise BodyTooLarge
        self._hold(count)
        self._on_start()
        while self._read_bytes < count:
            piece = self._reader.read1(min(count - self._read_bytes, PIECE_BYTES))
            if not piece:
                raise BodyCutOff("the connection was closed within the body")
            self._read_bytes += len(piece)
            buffer.write(piece)

    def read_chunks(self, buffer: io.BytesIO) -> None:
        """Read a chunked body into `buffer`."""
        decoder = ChunkDecoder(self._max_line_bytes)
        self._on_start()
        while not decoder.ended:
            data = self._reader.peek()
            if not data:
                raise BodyCutOff("the connection was closed within the body")
            pieces = self._decode(decoder, data)
            if decoder.announced > self._max_bytes:
                raise BodyTooLarge
            self._hold(sum(map(len, pieces)))
            for piece in pieces:
                buffer.write(piece)

    def _decode(self, decoder: ChunkDecoder, data: bytes) -> list[bytes]:
        if decoder.fine:
            with _FINE_CHUNKS_LOCK:
                consumed, pieces = decoder.feed(data, self._max_bytes)
        else:
            consumed, pieces = decoder.feed(data, self._max_bytes)
        self._reader.read(consumed)
        self._read_bytes += consumed
        return pieces

    def _hold(self, count: int) -> None:
        """Take bytes from the budget until `release`; wait a moment if it has none.

        Raises
        ------
        Overloaded
        """
        free = min(count, self._free_bytes)
        self._free_bytes -= free
        count = self._copies * (count - free)
        wait = self._reader.source.wait
        if not count or self._take(count):
            return
        until = self._clock.monotonic() + ROOM_SECONDS
        PROCESS_WAITS.change_short_of_memory(1)
        try:
            while self._clock.monotonic() < until:
                self._reader.source.pause()
                if self._take(count):
                    return
        except CallShed as error:
            raise Overloaded("others were short of threads") from error
        finally:
            PROCESS_WAITS.change_short_of_memory(-1)
        raise Overloaded(f"no memory for {count} bytes beside {wait.held}")

    def _take(self, count: int) -> bool:
        wait = self._reader.source.wait
        if not self._budget.take(count, wait.held):
            return False
        wait.held += count
        return True

    def release(self) -> None:
        """Give back what the body has taken from the budget."""
        wait = self._reader.source.wait
        if wait.held:
            self._budget.release(wait.held)
            wait.held = 0

    # --- what no handler has read ----------------------------------------------

    def skip_rest(self) -> bool:
        """Read a short rest of the body; return whether the next request follows."""
        if self._ended:
            return True
        deadline = self._clock.monotonic() + DISCARD_SECONDS
        self._reader.source.start_body(deadline, DISCARD_PAUSE_SECONDS)
        try:
            while self._read_bytes < self._framing.count:
                left = self._framing.count - self._read_bytes
                piece = self._reader.read1(min(left, PIECE_BYTES))
                if not piece:
                    return False
                self._read_bytes += len(piece)
        except (OSError, CallShed):
            return False
        self._ended = True
        return True

    def rest_bytes(self, max_bytes: int) -> int:
        """Return how much of the unread body should be discarded before the close.

        Parameters
        ----------
        max_bytes : int
            Longest legal body, if no handler has named another one.
        """
        if self._shed:
            # All that has arrived was read, and nothing came for a while.
            return 0
        longest = self._max_bytes or max_bytes
        return max(0, longest + DISCARD_BYTES - self._read_bytes)


@singledispatch
def _read_into(framing: Framing, body: BodyReader, buffer: io.BytesIO) -> None:
    """Read a body, delimited by `framing`, into `buffer`."""
    raise TypeError(f"not a framing: {framing!r}")


@_read_into.register
def _(framing: FixedLength, body: BodyReader, buffer: io.BytesIO) -> None:
    body.read_length(framing.count, buffer)


@_read_into.register
def _(framing: Chunked, body: BodyReader, buffer: io.BytesIO) -> None:
    body.read_chunks(buffer)


def discard(reader: CallerReader, max_bytes: int, clock: Clock) -> None:
    """Read and drop what a caller sends until it closes, pauses or has sent enough.

    A connection that is closed with unread bytes is reset, and then its caller may
    lose the answer.
    """
    deadline = clock.monotonic() + DISCARD_SECONDS
    reader.source.start_body(deadline, DISCARD_PAUSE_SECONDS)
    left = max_bytes
    try:
        while left > 0:
            piece = reader.read1(PIECE_BYTES)
            if not piece:
                return
            left -= len(piece)
    except (OSError, CallShed):
        # The answer was sent; more can't be done for this caller.
        return
