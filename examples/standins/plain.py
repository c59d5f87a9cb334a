"""Stand-in for a plain service, some of whose calls may not be repeated."""

import argparse
import itertools
import random
import threading
import time
from typing import Any

import msgspec

from standins.history import digest
from standins.server import Call, Handler, Reply, StandIn, parser, refusal


class CallBody(msgspec.Struct):
    """Body of ``POST /call``."""

    id: str
    payload: Any = None
    idempotent: bool = True


class PlainService(StandIn):
    """Answers each call with its own payload and the number of the execution."""

    def __init__(self, arguments: argparse.Namespace) -> None:
        super().__init__(arguments)
        self._arguments = arguments
        self._slots = threading.BoundedSemaphore(arguments.concurrency)
        self._executions = itertools.count(1)
        self._random = random.Random(arguments.seed)

    def routes(self) -> dict[str, Handler]:
        """Return the route of the plain service."""
        return {"POST /call": self._call}

    def _call(self, call: Call) -> Reply:
        body = call.read(CallBody)
        if not self._slots.acquire(blocking=False):
            return refusal(503, "busy", "concurrency limit", retry_after=0.5)
        try:
            return self._execute(body)
        finally:
            self._slots.release()

    def _execute(self, body: CallBody) -> Reply:
        execution = next(self._executions)
        fields = {
            "id": body.id,
            "digest": digest(body.payload),
            "idempotent": body.idempotent,
            "execution": execution,
        }
        self.history.write("execute_start", **fields)
        time.sleep(self._seconds_of(body.payload))
        failed = self._random.random() < self._arguments.error_rate
        self.history.write("execute_end", failed=failed, **fields)
        if failed:
            return refusal(500, "service_error", f"execution {execution}")
        answer = {"digest": fields["digest"], "echo": body.payload}
        return Reply({"payload": answer, "execution": execution})

    def _seconds_of(self, payload: Any) -> float:
        """Return the time of a call; a payload may ask for one by ``seconds``."""
        if isinstance(payload, dict) and "seconds" in payload:
            return float(payload["seconds"])
        jitter = self._random.uniform(-1, 1) * self._arguments.jitter
        return max(0.0, self._arguments.seconds + jitter)


def main() -> None:
    """Run the plain service."""
    flags = parser("plain", __doc__)
    flags.add_argument("--seconds", type=float, default=0.02, help="time of a call")
    flags.add_argument(
        "--jitter", type=float, default=0.01, help="seconds more or less"
    )
    flags.add_argument("--concurrency", type=int, default=16)
    flags.add_argument("--error-rate", type=float, default=0.0, help="share of calls")
    flags.add_argument("--seed", type=int, default=1)
    PlainService(flags.parse_args()).serve()


if __name__ == "__main__":
    main()
