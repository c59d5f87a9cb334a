"""The platform's interface for duties, with checks of the calls that it gets."""

import threading
import time
from dataclasses import dataclass

import msgspec

from platform_standins.server import StandInServer
from wigeonfront.http.raw import RawCall
from wigeonfront.platform import headers as names

MAX_BODY_BYTES = 1024 * 1024


class _Usage(msgspec.Struct):
    window: int
    counts: dict[str, int]


@dataclass(frozen=True)
class DutyCall:
    """A call that the interface accepted.

    Attributes
    ----------
    subject : str
        The duty.
    holder : str
        Entry that holds the duty.
    fence : int
        Fencing token of the call.
    at : float
        Monotonic time of arrival.
    """

    subject: str
    holder: str
    fence: int
    at: float


@dataclass
class DutyChecker:
    """Finds calls that contradict earlier ones.

    Attributes
    ----------
    alternation_seconds : float
        If a holder calls, another one after it and then the first one again within
        this time, the holders alternate, which is a violation.
    calls : list of DutyCall
        All calls, in order of arrival.
    reports : dict of int to dict of str to int
        First report of usage of each window: requests by client account.
    violations : list of str
        Descriptions of the contradictions.
    """

    alternation_seconds: float = 3.0

    def __post_init__(self) -> None:
        self.calls: list[DutyCall] = []
        self.reports: dict[int, dict[str, int]] = {}
        self.violations: list[str] = []

    def check_call(self, call: DutyCall) -> None:
        """Check a call against the earlier ones of its subject."""
        earlier = [other for other in self.calls if other.subject == call.subject]
        self.calls.append(call)
        foreign = [other for other in earlier if other.holder != call.holder]
        if any(other.fence == call.fence for other in foreign):
            self.violations.append(f"two holders used the same fencing token: {call}")
        if earlier and call.fence < max(other.fence for other in earlier):
            self.violations.append(f"fencing token lower than an earlier one: {call}")
        recent = [
            other for other in earlier if call.at - other.at < self.alternation_seconds
        ]
        since = [
            index for index, other in enumerate(recent) if other.holder == call.holder
        ]
        if since and any(other.holder != call.holder for other in recent[since[0] :]):
            self.violations.append(f"holders alternate: {call}")

    def check_usage(self, window: int, counts: dict[str, int]) -> None:
        """Check a report of usage; an exact repetition is no violation."""
        if self.reports.setdefault(window, counts) != counts:
            self.violations.append(
                f"window {window}: report {self.reports[window]}, then {counts}"
            )


class DutyServer(StandInServer):
    """Server of the interface for duties.

    Parameters
    ----------
    address : str
        ``host:port`` to listen on.

    Attributes
    ----------
    checker : DutyChecker
        Checks the calls that are accepted.
    status : int
        Status of each answer. With any other than 200 the call is not accepted.
    drop_answers : bool
        Whether the connection of an accepted call is aborted without an answer.
    """

    def __init__(self, address: str) -> None:
        self.checker = DutyChecker()
        self.status = 200
        self.drop_answers = False
        self._lock = threading.Lock()
        super().__init__(address, self._answer, threads=20)

    def _answer(self, call: RawCall) -> None:
        body = msgspec.json.decode(call.body(MAX_BODY_BYTES), type=_Usage)
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
