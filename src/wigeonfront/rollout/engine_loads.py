"""What owners of Lots tell each other of engines: runs there, and how fast they go.

Trainers ask for steps at the same moments, and each Lot has another owner. Owners that
count only their own runs give their longest samples to the same fastest engines: 24
runs on 12 places, of which the last wait for 3 s. So each asks the others some times a
second, and until it knows better takes it that another one sends as it does itself.
Paces are told too: an entry that has run no Lot lately knows none.
"""

import logging
import threading
from collections.abc import Callable, Iterable
from dataclasses import dataclass

import msgspec

from wigeonfront.http.client import Answer
from wigeonfront.http.pools import Pools
from wigeonfront.http.raw import RawCall
from wigeonfront.observability.logs import event
from wigeonfront.targets.table import TargetTable
from wigeonfront.targets.views import EngineState, OtherOwnersReport

logger = logging.getLogger(__name__)

LOADS_PATH = "/engine-loads"
OK = 200

CONNECT_SECONDS = 0.1
ANSWER_SECONDS = 0.2
"""Longest wait for an owner: forty times a round trip, less than a round's pause."""

ASKED = 3
"""Owners that are asked: the last ones to have run Lots have the runs that go on."""

BUSY_PAUSE_SECONDS = 0.25
"""Pause between two rounds while Lots are run: half of all samples last longer."""

START_PAUSE_SECONDS = 0.05
"""Pause from a Lot's start until the others are asked: a Lot that came to another owner
at the same moment has been sent by then."""

IDLE_PAUSE_SECONDS = 4.0
"""Pause between two rounds otherwise, about the time of a step, so that the first Lot
starts with known paces."""


class LoadServer:
    """Answers other entries about engines.

    Parameters
    ----------
    table : TargetTable
    """

    def __init__(self, table: TargetTable) -> None:
        self._table = table

    def answer(self, call: RawCall) -> None:
        """Answer one call over HTTP."""
        call.body(0)
        call.reply(OK, msgspec.msgpack.encode(self._table.engine_states()))


@dataclass(frozen=True, slots=True)
class LoadsUnknown:
    """An owner did not tell."""

    reason: str


class LoadFollower:
    """Asks other owners in rounds.

    Parameters
    ----------
    table : TargetTable
        Takes what they answer.
    owners : callable
        Returns the addresses of other owners, that of the newest Lot first.
    busy : callable
        Tells whether this process runs Lots.
    """

    def __init__(
        self,
        table: TargetTable,
        owners: Callable[[], list[str]],
        busy: Callable[[], bool],
    ) -> None:
        self._table = table
        self._owners = owners
        self._busy = busy
        self._pools = Pools(CONNECT_SECONDS)
        self._wake = threading.Event()
        self._silent: dict[str, str] = {}

    def lot_started(self) -> None:
        """Ask soon: samples of a Lot are about to be sent."""
        self._wake.set()

    def run(self, stop: threading.Event) -> None:
        """Ask in rounds (a supervisor's task)."""
        while not stop.is_set():
            self.ask(self._owners()[:ASKED])
            pause = BUSY_PAUSE_SECONDS if self._busy() else IDLE_PAUSE_SECONDS
            if self._wake.wait(pause):
                self._wake.clear()
                stop.wait(START_PAUSE_SECONDS)

    def ask(self, addresses: Iterable[str]) -> None:
        """Ask the owners at `addresses` once; hand over what they tell."""
        found = {address: self._ask(address) for address in addresses}
        for address, told in found.items():
            self._log(address, told)
        states = [told for told in found.values() if isinstance(told, list)]
        flat = [state for told in states for state in told]
        self._table.set_other_owners(OtherOwnersReport(len(found), flat))

    def _ask(self, address: str) -> list[EngineState] | LoadsUnknown:
        answer = self._pools.post(address, LOADS_PATH, b"", ANSWER_SECONDS)
        if not isinstance(answer, Answer):
            return LoadsUnknown(answer.reason)
        if answer.status != OK:
            return LoadsUnknown(f"status {answer.status}")
        try:
            return msgspec.msgpack.decode(answer.body, type=list[EngineState])
        except msgspec.DecodeError as error:
            return LoadsUnknown(str(error))

    def _log(self, address: str, told: list[EngineState] | LoadsUnknown) -> None:
        """Log an owner that has fallen silent, or tells again."""
        reason = told.reason if isinstance(told, LoadsUnknown) else ""
        if reason == self._silent.get(address, ""):
            return
        self._silent[address] = reason
        name = "loads_unknown" if reason else "loads_known"
        event(logger, name, owner=address, reason=reason)
