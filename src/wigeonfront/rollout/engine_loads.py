"""Exchanges the loads of engines between owners of Lots: their runs and their paces.

Trainers ask for steps at the same moments, and each Lot has another owner. If owners
counted only their own runs, they would give their longest samples to the same fastest
engines: 24 runs on 12 slots, of which the last wait for 3 s. Each owner therefore asks
the others several times a second, and until they answer it assumes that another owner
sends as many runs as it does itself. Paces are exchanged too, as an entry that has run
no Lot lately knows none.
"""

import logging
import threading
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from typing import TypeVar

import msgspec

from wigeonfront.capacity import DemandBook, LotDemand
from wigeonfront.clock import Clock
from wigeonfront.http.client import Answer
from wigeonfront.http.pools import Pools
from wigeonfront.http.raw import RawCall
from wigeonfront.observability.logs import event
from wigeonfront.targets.table import TargetTable
from wigeonfront.targets.views import EngineState, OtherOwnersReport

logger = logging.getLogger(__name__)

Message = TypeVar("Message")

LOADS_PATH = "/engine-loads"
"""Path at which an owner tells its loads only."""

REPORT_PATH = "/owner-report"
"""Path at which an owner tells its loads and the demands of its Lots."""

OK = 200
NOT_FOUND = 404
MAX_QUESTION_BYTES = 1_000_000

OLD_BUILD_SECONDS = 30.0
"""Time for which an owner that does not know `REPORT_PATH` is asked for loads only.

It is short against a roll-out, and long against a round.
"""

CONNECT_SECONDS = 0.1
ANSWER_SECONDS = 0.2
"""Timeout for an owner's answer.

It is forty times a round trip, and shorter than the pause between two rounds.
"""

MAX_ASKED_OWNERS = 3
"""Number of owners that are asked in each round.

The owners of the newest Lots have the runs that are still in progress.
"""

BUSY_PAUSE_SECONDS = 0.25
"""Pause between two rounds while this process runs Lots.

Half of all samples take longer.
"""

START_PAUSE_SECONDS = 0.05
"""Pause between a Lot's start and the next round.

By then another owner has sent the samples of a Lot that started at the same moment.
"""

IDLE_PAUSE_SECONDS = 4.0
"""Pause between two rounds while this process runs no Lots.

It is about the duration of a step, so that the next Lot starts with known paces.
"""


@dataclass(frozen=True, slots=True)
class OwnerReport:
    """What one owner of Lots tells the others.

    Attributes
    ----------
    states : list of EngineState
        The states of the engines that the owner knows.
    demands : list of LotDemand
        The demands of the owner's Lots.
    """

    states: list[EngineState]
    demands: list[LotDemand]


@dataclass(frozen=True, slots=True)
class OwnerQuestion:
    """What an owner of Lots tells an owner that it asks for its report.

    Attributes
    ----------
    owner : str
        Address of the owner that asks.
    demands : list of LotDemand
        The demands of its Lots.
    """

    owner: str
    demands: list[LotDemand]


@dataclass(frozen=True, slots=True)
class LoadsOnly:
    """The answer of an owner that can't report demands."""

    states: list[EngineState]


class LoadServer:
    """Answers other entries' calls about the loads of engines.

    Parameters
    ----------
    table : TargetTable
    demands : DemandBook
    """

    def __init__(self, table: TargetTable, demands: DemandBook) -> None:
        self._table = table
        self._demands = demands

    def answer(self, call: RawCall) -> None:
        """Answer one HTTP call with the states of the engines known to this process."""
        call.body(0)
        call.reply(OK, msgspec.msgpack.encode(self._table.engine_states()))

    def answer_report(self, call: RawCall) -> None:
        """Answer one HTTP call with the `OwnerReport` of this process.

        An `OwnerQuestion` that can't be decoded is dropped with a log line.
        """
        body = call.body(MAX_QUESTION_BYTES)
        try:
            asked = msgspec.msgpack.decode(body, type=OwnerQuestion)
        except msgspec.DecodeError as error:
            event(logger, "question_dropped", reason=str(error))
        else:
            self._demands.set_reported(asked.owner, asked.demands)
        report = OwnerReport(self._table.engine_states(), self._demands.own())
        call.reply(OK, msgspec.msgpack.encode(report))


@dataclass(frozen=True, slots=True)
class LoadsUnknown:
    """An owner did not answer with its loads."""

    reason: str


class LoadFollower:
    """Asks other owners for their loads in rounds.

    Parameters
    ----------
    table : TargetTable
        Receives the answers.
    owners : callable
        Returns the addresses of other owners, that of the newest Lot's owner first.
    busy : callable
        Returns whether this process runs Lots.
    demands : DemandBook
        Receives the demands of the owners' Lots.
    clock : Clock
    own_address : str
        Address of this process's server for peers.
    """

    def __init__(
        self,
        table: TargetTable,
        owners: Callable[[], list[str]],
        busy: Callable[[], bool],
        demands: DemandBook,
        clock: Clock,
        own_address: str,
    ) -> None:
        self._own_address = own_address
        self._table = table
        self._demands = demands
        self._clock = clock
        # Until when owners are asked for their loads only.
        self._loads_only_until: dict[str, float] = {}
        self._owners = owners
        self._busy = busy
        self._pools = Pools(CONNECT_SECONDS)
        self._wake = threading.Event()
        self._failures: dict[str, str] = {}

    def lot_started(self) -> None:
        """Ask soon, because samples of a new Lot are about to be sent."""
        self._wake.set()

    def run(self, stop: threading.Event) -> None:
        """Ask in rounds (run as a supervised task)."""
        while not stop.is_set():
            self.ask(self._owners()[:MAX_ASKED_OWNERS])
            pause = BUSY_PAUSE_SECONDS if self._busy() else IDLE_PAUSE_SECONDS
            if self._wake.wait(pause):
                self._wake.clear()
                stop.wait(START_PAUSE_SECONDS)

    def ask(self, addresses: Iterable[str]) -> None:
        """Ask the owners at `addresses` once, and pass their answers to the table."""
        answers = {address: self._ask(address) for address in addresses}
        states: list[EngineState] = []
        for address, answer in answers.items():
            self._log(address, answer)
            if isinstance(answer, LoadsUnknown):
                continue
            states.extend(answer.states)
            if isinstance(answer, OwnerReport):
                self._demands.set_reported(address, answer.demands)
            else:
                self._demands.set_unreported(address)
        self._table.set_other_owners(OtherOwnersReport(len(answers), states))

    def _ask(self, address: str) -> OwnerReport | LoadsOnly | LoadsUnknown:
        now = self._clock.monotonic()
        if now >= self._loads_only_until.get(address, now):
            question = OwnerQuestion(self._own_address, self._demands.own())
            body = msgspec.msgpack.encode(question)
            answer = self._post(address, REPORT_PATH, body)
            if not isinstance(answer, Answer) or answer.status != NOT_FOUND:
                return _decoded(answer, OwnerReport)
            self._loads_only_until[address] = now + OLD_BUILD_SECONDS
        states = _decoded(self._post(address, LOADS_PATH, b""), list[EngineState])
        return states if isinstance(states, LoadsUnknown) else LoadsOnly(states)

    def _post(self, address: str, path: str, body: bytes) -> Answer | LoadsUnknown:
        answer = self._pools.post(address, path, body, ANSWER_SECONDS)
        if isinstance(answer, Answer):
            return answer
        return LoadsUnknown(answer.reason)

    def _log(
        self, address: str, answer: OwnerReport | LoadsOnly | LoadsUnknown
    ) -> None:
        """Log that an owner no longer answers, or answers again."""
        reason = answer.reason if isinstance(answer, LoadsUnknown) else ""
        if reason == self._failures.get(address, ""):
            return
        self._failures[address] = reason
        name = "loads_unknown" if reason else "loads_known"
        event(logger, name, owner=address, reason=reason)


def _decoded(
    answer: Answer | LoadsUnknown, type: type[Message]
) -> Message | LoadsUnknown:
    """Return what an answer holds, or why it is of no use."""
    if isinstance(answer, LoadsUnknown):
        return answer
    if answer.status != OK:
        return LoadsUnknown(f"status {answer.status}")
    try:
        return msgspec.msgpack.decode(answer.body, type=type)
    except msgspec.DecodeError as error:
        return LoadsUnknown(str(error))
