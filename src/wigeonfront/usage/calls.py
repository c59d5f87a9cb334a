"""Calls between entries about starts: copies to another entry, and their collection.

Clocks of two machines are not compared: a start is told by its age, which the other
side turns into a time on its own steady clock.
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
"""Longest wait for an answer, a hundred times what it takes."""

MAX_BODY_BYTES = 4 * 1024 * 1024


class StartsRequest(msgspec.Struct, frozen=True):
    """Asks for the starts of the last `seconds`."""

    seconds: float


class AgedStart(msgspec.Struct, frozen=True, array_like=True):
    """A start, by the seconds that have passed since."""

    number: int
    account: str
    age: float


class ProcessStarts(msgspec.Struct, frozen=True):
    """Starts that one process has noted."""

    incarnation: str
    starts: list[AgedStart]


class CopyStarts(msgspec.Struct, frozen=True):
    """Starts to be held for the process that noted them.

    Attributes
    ----------
    of : StartsOf
    withdrawn : list of int
        Numbers of starts that were none.
    """

    of: ProcessStarts
    withdrawn: list[int] = []


class StartsReply(msgspec.Struct, frozen=True):
    """What an entry knows of starts.

    Attributes
    ----------
    own : StartsOf
    held : list of StartsOf
        Copies of what other processes have noted.
    unix : float
        Its time of day as it answers.
    handling : float
        Seconds that it took to answer.
    """

    own: ProcessStarts
    held: list[ProcessStarts]
    unix: float
    handling: float


class StartServer:
    """Answers other entries about starts.

    Parameters
    ----------
    log : StartLog
    held : HeldStarts
    incarnation : callable
        Returns that of this process.
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
        """Tell the starts that are noted or held here."""
        began = self._clock.boottime()
        asked = _decode(call, StartsRequest)
        if asked is None:
            return
        now = self._clock.boottime()
        since = now - asked.seconds
        own = [
            AgedStart(one.number, one.account, now - one.at)
            for one in self._log.since(since)
        ]
        held = [
            ProcessStarts(
                incarnation,
                [AgedStart(one.number, one.account, now - one.at) for one in starts],
            )
            for incarnation, starts in self._held.since(since).items()
        ]
        told = StartsReply(
            ProcessStarts(self._incarnation(), own), held, self._clock.time(), now - began
        )
        call.reply(OK, msgspec.msgpack.encode(told))

    def copy(self, call: RawCall) -> None:
        """Hold copies of another process's starts."""
        asked = _decode(call, CopyStarts)
        if asked is None:
            return
        now = self._clock.boottime()
        starts = [(one.number, one.account, now - one.age) for one in asked.of.starts]
        self._held.hold(asked.of.incarnation, starts, asked.withdrawn, now)
        call.reply(OK)


class StartClient:
    """Asks other entries about starts."""

    def __init__(self) -> None:
        self._pools = Pools(CONNECT_SECONDS)

    def collect(self, address: str, seconds: float) -> StartsReply | None:
        """Return the starts of the last `seconds`; ``None`` if it does not answer."""
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
        """Have another entry hold copies; return whether it does."""
        body = msgspec.msgpack.encode(copies)
        answer = self._pools.post(address, COPY_PATH, body, ANSWER_SECONDS)
        return isinstance(answer, Answer) and answer.status == OK


def _decode(call: RawCall, kind: type) -> object | None:
    """Return the call's message; a malformed one is answered here."""
    try:
        return msgspec.msgpack.decode(call.body(MAX_BODY_BYTES), type=kind)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        event(logger, "bad_usage_call", reason=str(error)[:200])
        call.reply(400)
        return None
