"""The platform's interface for duties, which judges what it is sent."""

import threading
import time
from dataclasses import dataclass

import msgspec

from platform_standins.server import StandInServer
from wigeonfront.http.raw import RawCall
from wigeonfront.platform import headers as names

MOST_BODY = 1024 * 1024


class _Usage(msgspec.Struct):
    window: int
    counts: dict[str, int]


@dataclass(frozen=True)
class DutyCall:
    """A call that was taken, with the monotonic time of its arrival."""

    subject: str
    holder: str
    fence: int
    at: float


@dataclass
class DutyChecker:
    """Tells calls that contradict each other.

    Attributes
    ----------
    alternation_seconds : float
        Seconds within which holders must not take turns.
    """

    alternation_seconds: float = 3.0

    def __post_init__(self) -> None:
        self.calls: list[DutyCall] = []
        self.reports: dict[int, dict[str, int]] = {}
        self.violations: list[str] = []

    def check_call(self, call: DutyCall) -> None:
        """Judge a call by those before it."""
        earlier = [one for one in self.calls if one.subject == call.subject]
        self.calls.append(call)
        others = [one for one in earlier if one.holder != call.holder]
        if any(one.fence == call.fence for one in others):
            self.violations.append(f"two holders with one token: {call}")
        if earlier and call.fence < max(one.fence for one in earlier):
            self.violations.append(f"a lower token after a higher one: {call}")
        recent = [one for one in earlier if call.at - one.at < self.alternation_seconds]
        since = [index for index, one in enumerate(recent) if one.holder == call.holder]
        if since and any(one.holder != call.holder for one in recent[since[0] :]):
            self.violations.append(f"holders take turns: {call}")

    def check_usage(self, window: int, counts: dict[str, int]) -> None:
        """Judge a report of usage; an exact repeat is fine."""
        if self.reports.setdefault(window, counts) != counts:
            self.violations.append(
                f"window {window}: {self.reports[window]} and then {counts}"
            )


class DutyServer(StandInServer):
    """The interface at `address`.

    Parameters
    ----------
    address : str
        ``host:port``.

    Attributes
    ----------
    checker : DutyChecker
    status : int
        What each call is answered with; only 200 takes it.
    drop_answers : bool
        Calls are taken, and not answered.
    """

    def __init__(self, address: str) -> None:
        self.checker = DutyChecker()
        self.status = 200
        self.drop_answers = False
        self._lock = threading.Lock()
        super().__init__(address, self._answer, threads=20)

    def _answer(self, call: RawCall) -> None:
        body = msgspec.json.decode(call.body(MOST_BODY), type=_Usage)
        if self.status != 200:
            call.reply(self.status)
            return
        holder = call.header(names.DUTY_HOLDER)
        fence = int(call.header(names.FENCING_TOKEN))
        with self._lock:
            self.checker.check_call(DutyCall("usage", holder, fence, time.monotonic()))
            self.checker.check_usage(body.window, body.counts)
        if self.drop_answers:
            call.abort()
            return
        call.reply(200)
