"""Exchanges reports about plain targets between entries; see `targets.reports`.

An entry with a finding tells the other entries in rounds, until each has been sent one
message. A message has all that the entry tells about plain targets at that moment, so
it is made when it is sent, and no message ever waits in a queue. Without findings
nothing is sent.
"""

import logging
import math
import threading
from collections.abc import Callable, Iterable
from random import Random
from typing import Annotated

import msgspec

from wigeonfront.clock import Clock
from wigeonfront.coordination.membership import Member
from wigeonfront.http.client import Answer
from wigeonfront.http.pools import Pools
from wigeonfront.http.raw import BodyTooLarge, RawCall
from wigeonfront.observability.logs import event
from wigeonfront.observability.metrics import Counter
from wigeonfront.targets.reports import EntryReports, Finding, TargetReport
from wigeonfront.targets.table import TargetTable

logger = logging.getLogger(__name__)

REPORTS_PATH = "/target-reports"
OK = 200
BAD_REQUEST = 400
NOT_FOUND = 404

MAX_REPORTS = 64
"""Reports in one message; the oldest are left out."""

MAX_BODY_BYTES = 32_768
"""Size in bytes above which a message is not read."""

CONNECT_SECONDS = 0.1
ANSWER_SECONDS = 0.2
"""Wait in seconds for an entry's answer, many times a round trip."""

PEER_INTERVAL_SECONDS = 1.0
"""Least time in seconds between two messages to the same entry."""

PEERS_PER_ROUND = 16
"""Entries that are told in one round."""

ROUND_SECONDS = 0.25
"""Pause in seconds between two rounds while entries are still to be told."""

IDLE_POLL_SECONDS = 1.0
"""Seconds between two checks whether the task is to stop."""

UNREACHED_SECONDS = 5.0
"""Time in seconds for which an entry that did not answer is sent nothing."""

UNSUPPORTED_SECONDS = 60.0
"""Time in seconds for which an entry without this call is sent nothing."""

LOG_SECONDS = 5.0
"""Least time in seconds between two log lines about the same report of one entry."""

MAX_LOGGED = 1_000
"""Number of reports of which the last log line is remembered."""

COUNTER_NAME = "target_reports_total"
COUNTER_HELP = "Reports about plain targets, by what became of them."

_Text = Annotated[str, msgspec.Meta(min_length=1, max_length=200)]
_Seconds = Annotated[float, msgspec.Meta(ge=0, le=3_600)]


class _ReportModel(msgspec.Struct, frozen=True):
    target: _Text
    finding: Finding
    age: _Seconds


class _MessageModel(msgspec.Struct, frozen=True):
    entry: _Text
    incarnation: _Text
    sequence: Annotated[int, msgspec.Meta(ge=1)]
    reports: Annotated[list[_ReportModel], msgspec.Meta(max_length=MAX_REPORTS)]


def encode_reports(message: EntryReports) -> bytes:
    """Return the message as msgpack."""
    return msgspec.msgpack.encode(message)


def decode_reports(body: bytes) -> EntryReports:
    """Return the message that `body` holds.

    Raises
    ------
    msgspec.DecodeError
        If it is not valid.
    """
    model = msgspec.msgpack.decode(body, type=_MessageModel)
    reports = tuple(
        TargetReport(report.target, report.finding, report.age)
        for report in model.reports
    )
    for report in reports:
        # The bounds of the model let NaN pass.
        if not math.isfinite(report.age):
            raise msgspec.ValidationError("the age is not finite")
    return EntryReports(model.entry, model.incarnation, model.sequence, reports)


class ReportServer:
    """Takes the reports of other entries.

    Parameters
    ----------
    table : TargetTable
    clock : Clock
    reports : wigeonfront.observability.metrics.Counter
        Counts reports by ``effect``.
    """

    def __init__(self, table: TargetTable, clock: Clock, reports: Counter) -> None:
        self._table = table
        self._clock = clock
        self._reports = reports
        self._lock = threading.Lock()
        self._logged: dict[tuple[str, str], tuple[str, float]] = {}

    def answer(self, call: RawCall) -> None:
        """Answer one HTTP call; with 400 if its message is not valid."""
        try:
            message = decode_reports(call.body(MAX_BODY_BYTES))
        except (msgspec.DecodeError, BodyTooLarge) as error:
            self._reports.increment(effect="unreadable")
            event(
                logger,
                "target_report_unreadable",
                reason=str(error) or type(error).__name__,
            )
            call.reply(BAD_REQUEST)
            return
        effects = self._table.receive_reports(message)
        if not effects:
            self._reports.increment(len(message.reports), effect="repeated")
        for report, effect in zip(message.reports, effects, strict=False):
            self._reports.increment(effect=effect)
            if self._is_new(message.entry, report, effect):
                event(
                    logger,
                    "target_reported",
                    direction="received",
                    entry=message.entry,
                    target=report.target,
                    finding=report.finding,
                    age=report.age,
                    effect=effect,
                )
        call.reply(OK)

    def _is_new(self, entry: str, report: TargetReport, effect: str) -> bool:
        """Return whether the report differs from the one that was logged lately."""
        now = self._clock.monotonic()
        key = (entry, report.target)
        value = f"{report.finding} {effect}"
        with self._lock:
            old, logged_at = self._logged.get(key, ("", 0.0))
            if old == value and now < logged_at + LOG_SECONDS:
                return False
            self._logged.pop(key, None)
            self._logged[key] = (value, now)
            if len(self._logged) > MAX_LOGGED:
                del self._logged[next(iter(self._logged))]
        return True


class ReportSender:
    """Tells the other entries what this one has found.

    Parameters
    ----------
    table : TargetTable
        Source of the reports.
    own : callable
        Returns the membership record of this process.
    members : callable
        Returns the live entries.
    clock : Clock
    random : random.Random
        Chooses who is told first.
    reports : wigeonfront.observability.metrics.Counter
        Counts reports by ``effect``.
    """

    def __init__(
        self,
        table: TargetTable,
        own: Callable[[], Member],
        members: Callable[[], list[Member]],
        clock: Clock,
        random: Random,
        reports: Counter,
    ) -> None:
        self._table = table
        self._own = own
        self._members = members
        self._clock = clock
        self._random = random
        self._reports = reports
        self._pools = Pools(CONNECT_SECONDS)
        self._found = threading.Event()
        self._sequence = 0
        self._pending: set[str] = set()
        # Times before which an address is sent nothing.
        self._not_before: dict[str, float] = {}

    def finding(self) -> None:
        """Have the other entries told soon; returns at once."""
        self._found.set()

    def run(self, stop: threading.Event) -> None:
        """Tell other entries of findings (run as a supervised task)."""
        while not stop.is_set():
            if self._pending:
                stop.wait(ROUND_SECONDS)
            elif not self._found.wait(IDLE_POLL_SECONDS):
                continue
            if self._found.is_set():
                self._found.clear()
                self.tell_all()
            else:
                self.tell()

    def tell(self) -> None:
        """Send one round of messages to entries that are still to be told."""
        now = self._clock.monotonic()
        reports = tuple(self._table.own_reports()[:MAX_REPORTS])
        self._pending &= self._others() if reports else set()
        due = [
            address
            for address in sorted(self._pending)
            if now >= self._not_before.get(address, 0.0)
        ]
        self._random.shuffle(due)
        chosen = due[:PEERS_PER_ROUND]
        if not chosen:
            return
        reached = sum(self._send(address, reports) for address in chosen)
        for report in reports:
            event(
                logger,
                "target_reported",
                direction="sent",
                target=report.target,
                finding=report.finding,
                age=report.age,
                entries=len(chosen),
                reached=reached,
                left=len(self._pending),
            )

    def tell_all(self) -> None:
        """Mark all other entries as to be told, and send one round of messages."""
        self._pending = self._others()
        self.tell()

    def _others(self) -> set[str]:
        own = self._own()
        members = self._members()
        others = {
            member.address
            for member in members
            if member.name != own.name and not member.leaving
        }
        for address in self._not_before.keys() - others:
            del self._not_before[address]
        return others

    def _send(self, address: str, reports: Iterable[TargetReport]) -> bool:
        """Send one message; return whether it was taken."""
        own = self._own()
        self._sequence += 1
        message = EntryReports(
            own.name, own.incarnation, self._sequence, tuple(reports)
        )
        self._pending.discard(address)
        answer = self._pools.post(
            address, REPORTS_PATH, encode_reports(message), ANSWER_SECONDS
        )
        status = answer.status if isinstance(answer, Answer) else 0
        pause = PEER_INTERVAL_SECONDS
        if status == NOT_FOUND:
            pause = UNSUPPORTED_SECONDS
        elif status == 0:
            pause = UNREACHED_SECONDS
        self._not_before[address] = self._clock.monotonic() + pause
        taken = status == OK
        self._reports.increment(
            len(message.reports), effect="sent" if taken else "not_sent"
        )
        if not taken:
            reason = f"status {status}" if status else getattr(answer, "reason", "")
            event(
                logger,
                "target_report_lost",
                address=address,
                reason=reason,
                pause=pause,
            )
        return taken
