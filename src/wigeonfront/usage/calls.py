"""Calls between entries that copy starts to another entry and collect them.

Clocks of two machines are not compared. A start is sent with its age, which the
receiver converts into a time on its own steady clock.
"""

import logging
from collections.abc import Callable

import msgspec

from wigeonfront.clock import Clock
from wigeonfront.http.client import Answer
from wigeonfront.http.pools import Pools
from wigeonfront.http.raw import RawCall
from wigeonfront.observability.logs import event
from wigeonfront.usage.held import HeldStarts
from wigeonfront.usage.starts import StartLog

logger = logging.getLogger(__name__)

COPY_PATH = "/usage-copies"
COLLECT_PATH = "/usage-starts"
OK = 200

CONNECT_SECONDS = 0.25
ANSWER_SECONDS = 0.5
"""Maximum wait for an answer: a hundred times what an answer takes."""

MAX_BODY_BYTES = 4 * 1024 * 1024


class StartsRequest(msgspec.Struct, frozen=True):
    """Requests the starts of the last `seconds`."""

    seconds: float


class AgedStart(msgspec.Struct, frozen=True, array_like=True):
    """A start with its age in seconds.

    Attributes
    ----------
    number : int
        Number of the start among those of its process.
    account : str
        Name of the client account.
    age : float
        Seconds since the start.
    """

    number: int
    account: str
    age: float


class ProcessStarts(msgspec.Struct, frozen=True):
    """Starts that one process has recorded.

    Attributes
    ----------
    incarnation : str
        Incarnation of that process.
    starts : list of AgedStart
    """

    incarnation: str
    starts: list[AgedStart]


class CopyStarts(msgspec.Struct, frozen=True):
    """Copies of starts, to be held for the process that recorded them.

    Attributes
    ----------
    of : ProcessStarts
    withdrawn : list of int
        Numbers of starts whose requests did not run after all.
    """

    of: ProcessStarts
    withdrawn: list[int] = []


class StartsReply(msgspec.Struct, frozen=True):
    """The starts that an entry has recorded, and those that it holds as copies.

    Attributes
    ----------
    own : ProcessStarts
        Starts that the entry has recorded.
    held : list of ProcessStarts
        Copies of starts that other processes have recorded.
    unix : float
        Unix time of the entry's clock when it answers.
    handling : float
        Seconds that the entry took to answer.
    """

    own: ProcessStarts
    held: list[ProcessStarts]
    unix: float
    handling: float


class StartServer:
    """Answers the calls of other entries about starts.

    Parameters
    ----------
    log : StartLog
    held : HeldStarts
    incarnation : callable
        Returns the incarnation of this process.
    clock : Clock
    """

    def __init__(
        self,
        log: StartLog,
        held: HeldStarts,
        incarnation: Callable[[], str],
        clock: Clock,
    ) -> None:
        self._log = log
        self._held = held
        self._incarnation = incarnation
        self._clock = clock

    def collect(self, call: RawCall) -> None:
        """Answer with the starts that this process has recorded or holds."""
        began = self._clock.boottime()
        message = _decode(call, StartsRequest)
        if message is None:
            return
        now = self._clock.boottime()
        since = now - message.seconds
        own = [
            AgedStart(start.number, start.account, now - start.at)
            for start in self._log.since(since)
        ]
        held = [
            ProcessStarts(
                incarnation,
                [
                    AgedStart(start.number, start.account, now - start.at)
                    for start in starts
                ],
            )
            for incarnation, starts in self._held.since(since).items()
        ]
        reply = StartsReply(
            ProcessStarts(self._incarnation(), own),
            held,
            self._clock.time(),
            now - began,
        )
        call.reply(OK, msgspec.msgpack.encode(reply))

    def copy(self, call: RawCall) -> None:
        """Hold the copies of another process's starts that the call brings."""
        message = _decode(call, CopyStarts)
        if message is None:
            return
        now = self._clock.boottime()
        starts = [
            (start.number, start.account, now - start.age)
            for start in message.of.starts
        ]
        self._held.hold(message.of.incarnation, starts, message.withdrawn, now)
        call.reply(OK)


class StartClient:
    """Calls other entries to collect starts and to copy them."""

    def __init__(self) -> None:
        self._pools = Pools(CONNECT_SECONDS)

    def collect(self, address: str, seconds: float) -> StartsReply | None:
        """Return an entry's starts of the last `seconds`, or ``None`` on failure."""
        body = msgspec.msgpack.encode(StartsRequest(seconds))
        answer = self._pools.post(address, COLLECT_PATH, body, ANSWER_SECONDS)
        if not isinstance(answer, Answer) or answer.status != OK:
            return None
        try:
            return msgspec.msgpack.decode(answer.body, type=StartsReply)
        except msgspec.DecodeError as error:
            event(logger, "bad_starts", address=address, reason=str(error)[:200])
            return None

    def copy(self, address: str, copies: CopyStarts) -> bool:
        """Send copies to another entry; return whether it holds them now."""
        body = msgspec.msgpack.encode(copies)
        answer = self._pools.post(address, COPY_PATH, body, ANSWER_SECONDS)
        return isinstance(answer, Answer) and answer.status == OK


def _decode(call: RawCall, kind: type) -> object | None:
    """Return the call's message; reply 400 and return ``None`` if it is malformed."""
    try:
        return msgspec.msgpack.decode(call.body(MAX_BODY_BYTES), type=kind)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        event(logger, "bad_usage_call", reason=str(error)[:200])
        call.reply(400)
        return None
