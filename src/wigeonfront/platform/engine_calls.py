"""Calls to a model engine about its weights, as a `weights.mover.Engine`."""

import msgspec

from wigeonfront.coordination.rows import Unavailable
from wigeonfront.platform import headers as names
from wigeonfront.platform.json_client import (
    Answer,
    JsonClient,
    read,
)
from wigeonfront.weights.mover import ACCEPTED, HELD
from wigeonfront.weights.plan import EngineReport, MoveOrder

CONNECT_SECONDS = 0.3
CALL_SECONDS = 0.4
"""Longest wait for an answer: an order that is not answered by then may be carried out
later all the same."""

_ANSWERS = {202: ACCEPTED, 200: HELD}

KEEP_RUNNING = "retain"
"""Mode in which runs in progress go on under the new version."""

FINISH_RUNS = "wait"
"""Mode in which runs in progress end first; until then no other run starts."""


class _Model(msgspec.Struct, frozen=True):
    name: str
    version: int = 0


class _Report(msgspec.Struct, frozen=True, rename="camel"):
    models: list[_Model] = []
    busy: bool = False
    # Orders accepted since the engine's start, not a position in a stream.
    seq: int = 0
    num_running: int = 0
    num_waiting: int = 0
    state: str = ""


class PlatformEngine:
    """The engine at `address`.

    Parameters
    ----------
    address : str
        ``host:port``.
    holder : str
        Name under which orders are given.
    id : str
        Under which the engine registered; any other one at the address carries out no
        order. Empty for the engine on this machine.
    """

    def __init__(self, address: str, holder: str, id: str = "") -> None:
        self._client = JsonClient(
            address, CONNECT_SECONDS, CALL_SECONDS, reset_on_close=True
        )
        self._holder = holder
        self._headers = {names.EXPECT_INSTANCE: id} if id else {}

    def report(self) -> EngineReport | Unavailable:
        """Return what the engine says of itself."""
        wire = read(self._client.get("/report"), _Report)
        if isinstance(wire, Unavailable):
            return wire
        return EngineReport(
            versions={model.name: model.version for model in wire.models},
            loading=wire.busy,
            orders=wire.seq,
            running=wire.num_running,
            waiting=wire.num_waiting,
            draining=wire.state == "draining",
        )

    def move(self, order: MoveOrder, fence: int, expected: int) -> str:
        """Give an order; return how the engine answered, for the log."""
        body = {
            "op": "version",
            "model": order.model,
            "version": order.version,
            "mode": KEEP_RUNNING if order.keep_runs else FINISH_RUNS,
            "holder": self._holder,
            "fence": fence,
            "expected": expected,
        }
        answer = self._client.post("/order", body, self._headers)
        if not isinstance(answer, Answer):
            return answer.reason
        return _ANSWERS.get(answer.status, f"status {answer.status}")

    def close(self) -> None:
        """Close the connections."""
        self._client.close()
