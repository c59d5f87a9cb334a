"""A trainer that submits Lots, reads their results and checks them."""

import base64
import json
import secrets
import threading
import time
from collections.abc import Callable
from typing import Any

import standin2_http11 as http11
from standin2_outputs import whole_output
from standin2_world import Record

HOST = "judge.example"
MODEL = "model-a"
SERVICE = "judge-llm"
DUE_SECONDS = 7.5
GROUPS, GROUP_SIZE = 8, 8


def lot_configuration(slots: int) -> dict[str, Any]:
    """Return a configuration with one route for Lots.

    Parameters
    ----------
    slots : int
        Requests that a worker runs at once.
    """
    route = {
        "name": "judge",
        "host": HOST,
        "prefix": "/judge/",
        "kind": "rollout",
        "service": SERVICE,
        "timeoutMs": 10_000,
        "targetLatencyMs": 400,
        "deadlineMs": 7_500,
        "maxQueueS": 12,
        "maxAttempts": 3,
        "priority": 1,
        "sticky": True,
    }
    service = {
        "name": SERVICE,
        "healthPath": "/health",
        "maxConns": 150,
        "engine": {
            "slotCount": slots,
            "kvCapacityTokens": 80_000,
            "stride": 30,
            "models": [{"name": MODEL}],
        },
    }
    limits = {
        "maxHeaderBytes": 16_384,
        "maxBodyBytes": 33_554_432,
        "headerTimeoutMs": 3_000,
        "idleTimeoutMs": 15_000,
    }
    return {"version": 3, "routes": [route], "services": [service], "limits": limits}


class Trainer:
    """Submits Lots, reads their results and checks them.

    Parameters
    ----------
    fronts : list of str
    record : Record

    Attributes
    ----------
    accepted : dict of str to int
        Number of items of each Lot that was answered with 202, by the Lot's id.
    completed, terminated : int
        Number of results that were read.
    broken : list of str
        Items whose result is `completed` without their whole output.
    """

    def __init__(self, fronts: list[str], record: Record) -> None:
        self._fronts = fronts
        self._record = record
        self._lock = threading.Lock()
        self.accepted: dict[str, int] = {}
        self.completed = self.terminated = 0
        self.broken: list[str] = []

    def run(self, until: float, step_seconds: float) -> int:
        """Begin a step at intervals until a monotonic time; return how many."""
        steps: list[threading.Thread] = []
        while time.monotonic() < until:
            step = threading.Thread(target=self._step, args=(len(steps),))
            step.start()
            steps.append(step)
            time.sleep(step_seconds)
        for step in steps:
            step.join()
        return len(steps)

    def _step(self, number: int) -> None:
        """Submit one Lot, read it until it is due, and end it."""
        id = secrets.token_hex(8)
        front = self._fronts[number % len(self._fronts)]
        items = [_item(group) for group in range(GROUPS) for _ in range(GROUP_SIZE)]
        body = {
            "step": number,
            "model": MODEL,
            "minVersion": 1,
            "targetGroups": GROUPS,
            "items": items,
        }
        headers = {"Host": HOST, "Wigeonfront-Attempt-Id": id}
        data = json.dumps(body).encode()
        got = http11.call(front, "POST", f"/judge/{id}", headers, data)
        self._record.write(f"sent {id} to {front}: {got and got.status}")
        if got is None or got.status != 202:
            return
        with self._lock:
            self.accepted[id] = len(items)
        read = self.read(id, front, len(items), DUE_SECONDS, self._check)
        ended = http11.call(front, "DELETE", f"/lots/{id}", {"Host": HOST})
        self._record.write(f"ended {id} after {read} results: {ended and ended.status}")

    def read(
        self,
        id: str,
        front: str,
        total: int,
        seconds: float,
        on_result: Callable[[str, dict[str, Any]], None],
    ) -> int:
        """Read a Lot from its start; return how many results were read.

        Parameters
        ----------
        total : int
            Number of results after which the reading ends.
        seconds : float
            Time after which it ends at the latest.
        """
        position = 0
        deadline = time.monotonic() + seconds
        headers = {"Host": HOST, "Wigeonfront-Wait-Ms": "1000"}
        while position < total and time.monotonic() < deadline:
            path = f"/lots/{id}?after={position}"
            got = http11.call(front, "GET", path, headers)
            if got is None or got.status != 200 or not got.whole:
                status = got and got.status
                self._record.write(f"read {id} after {position} at {front}: {status}")
                time.sleep(0.5)
                continue
            page = json.loads(got.body)
            position = page["next"]
            for result in page["results"]:
                on_result(id, result)
        return position

    def read_to_end(self, id: str, front: str, total: int, seconds: float) -> bool:
        """Return whether a node shows all that is listed of a Lot that has ended."""
        position = 0
        deadline = time.monotonic() + seconds
        while time.monotonic() < deadline:
            path = f"/lots/{id}?after={position}"
            got = http11.call(front, "GET", path, {"Host": HOST})
            if got is None or got.status != 200 or not got.whole:
                status = got and got.status
                self._record.write(f"read {id} after {position} at {front}: {status}")
                time.sleep(0.5)
                continue
            page = json.loads(got.body)
            position = page["next"]
            if position >= total or not page["results"]:
                return True
        return False

    def _check(self, lot: str, result: dict[str, Any]) -> None:
        id, whole = result["id"], whole_output(result["id"])
        right = result["state"] != "completed" or result["output"] == whole
        got, due = result["output"].count("\n") + 1, whole.count("\n") + 1
        text = f"read {lot} {id} {result['state']} {got} of {due} events"
        self._record.write(text if right else f"{text}: not the whole output")
        with self._lock:
            self.completed += result["state"] == "completed"
            self.terminated += result["state"] != "completed"
            if not right:
                self.broken.append(id)


def _item(group: int) -> dict[str, Any]:
    id = secrets.token_hex(8)
    return {
        "id": id,
        "path": f"/judge/items/{id}",
        "headers": {
            "Wigeonfront-Model": MODEL,
            "Wigeonfront-Token-Counts": "1016,1800",
            "Wigeonfront-Prompt-Prefix": f"{group:04x}:1000,{id[:8]}:16",
            "Wigeonfront-Length-Hint": "1350",
        },
        "body": base64.b64encode(b"judge this").decode(),
        "tokens": 2816,
        "group": f"g{group}",
    }
