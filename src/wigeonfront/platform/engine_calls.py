"""Calls to a model engine about its weights: a `weights.mover.Engine`."""

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
"""Longest wait for an answer. An order that is not answered by then may still be
carried out later."""

_ANSWERS = {202: ACCEPTED, 200: HELD}

KEEP_RUNNING = "retain"
"""Mode in which the engine continues runs in progress under the new version."""

FINISH_RUNS = "wait"
"""Mode in which the engine finishes runs in progress before it changes the version; it
starts no other run until then."""


class _Model(msgspec.Struct, frozen=True):
    name: str
    version: int = 0


class _Report(msgspec.Struct, frozen=True, rename="camel"):
    models: list[_Model] = []
    busy: bool = False
    # Number of orders accepted since the engine's start, not a position in a stream.
    seq: int = 0
    num_running: int = 0
    num_waiting: int = 0
    state: str = ""


class PlatformEngine:
    """Client of one engine.

    Parameters
    ----------
    address : str
        ``host:port``.
    holder : str
        Name of the machine that gives the orders.
    id : str
        Id under which the engine registered. Another engine at the same address
        refuses the orders. Empty for the engine on this machine.
    """

    def __init__(self, address: str, holder: str, id: str = "") -> None:
        self._client = JsonClient(
            address, CONNECT_SECONDS, CALL_SECONDS, reset_on_close=True
        )
        self._holder = holder
        self._headers = {names.EXPECT_INSTANCE: id} if id else {}

    def report(self) -> EngineReport | Unavailable:
        """Return the state that the engine reports."""
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
        """Send an order, without a retry.

        Parameters
        ----------
        order : MoveOrder
        fence : int
            Fencing token of `holder`.
        expected : int
            Number of orders that the engine must have accepted before this one.

        Returns
        -------
        str
            How the engine answered, or why it did not, for the log.
        """
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
