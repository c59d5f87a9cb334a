"""What the stand-ins share: an HTTP server, faults, rate limits, call counts."""

import argparse
import errno
import math
import threading
import time
from collections import Counter
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from functools import cached_property
from http import HTTPStatus
from typing import Any, Protocol, TypeVar
from urllib.parse import parse_qsl

import msgspec
from cheroot.wsgi import Server

from standins.faults import Fault, Faults
from standins.history import History

T = TypeVar("T")

BACKLOG = 1024
MAX_BODY = 64 * 1024 * 1024
IDLE_TIMEOUT = 60


@dataclass(frozen=True, slots=True)
class Call:
    """One call to a stand-in."""

    method: str
    path: str
    query: dict[str, str]
    body: bytes

    def read(self, kind: type[T]) -> T:
        """Return the body as `kind`; a malformed one is answered with 400."""
        return msgspec.json.decode(self.body or b"{}", type=kind)


class Stream(Protocol):
    """Lines of an answer that is sent bit by bit."""

    def __iter__(self) -> Iterator[bytes]:
        """Return the encoded lines."""

    def close(self) -> None:
        """Say that nobody reads on; called once in any case."""


@dataclass(slots=True)
class Reply:
    """An answer: a JSON `body`, or a `stream` of lines."""

    body: Any = None
    status: int = 200
    retry_after: float = 0.0
    stream: Stream | None = None


def refusal(status: int, error: str, detail: str = "", retry_after: float = 0) -> Reply:
    """Return an error answer in the form that the interfaces name."""
    return Reply({"error": error, "detail": detail}, status, retry_after)


class RateLimit:
    """A token bucket that holds one second's worth of calls.

    Parameters
    ----------
    rate : float
        Calls a second; 0 for no limit.
    """

    def __init__(self, rate: float) -> None:
        self._rate = rate
        self._tokens = max(rate, 1.0)
        self._filled = time.monotonic()
        self._lock = threading.Lock()

    def take(self) -> float:
        """Return 0 and count a call, or return the seconds to wait for one."""
        if self._rate <= 0:
            return 0.0
        with self._lock:
            now = time.monotonic()
            gained = (now - self._filled) * self._rate
            self._tokens = min(max(self._rate, 1.0), self._tokens + gained)
            self._filled = now
            if self._tokens >= 1:
                self._tokens -= 1
                return 0.0
            return (1 - self._tokens) / self._rate


class CutStream:
    """A stream that breaks after its first line."""

    def __init__(self, stream: Stream) -> None:
        self._stream = stream

    def __iter__(self) -> Iterator[bytes]:
        for line in self._stream:
            yield line
            break
        raise connection_cut()

    def close(self) -> None:
        """Close the stream that is being cut."""
        self._stream.close()


def connection_cut() -> ConnectionResetError:
    """Return the error on which cheroot closes a connection without a word."""
    return ConnectionResetError(errno.ECONNRESET, "fault ordered")


Handler = Callable[[Call], Reply]


class StandIn:
    """Base of the stand-ins: a WSGI application over a table of routes.

    Parameters
    ----------
    arguments : argparse.Namespace
        The flags of `parser`.
    """

    def __init__(self, arguments: argparse.Namespace) -> None:
        self.history = History(arguments.history, arguments.name)
        self.faults = Faults()
        self._port = arguments.port
        self._threads = arguments.threads
        self._calls: Counter[str] = Counter()

    def routes(self) -> dict[str, Handler]:
        """Return handlers by ``METHOD /path``; a last part ``*`` takes any."""
        raise NotImplementedError

    def serve(self) -> None:
        """Serve until the process ends."""
        address = ("127.0.0.1", self._port)
        server = Server(address, self, self._threads, timeout=IDLE_TIMEOUT)
        server.request_queue_size = BACKLOG
        server.keep_alive_conn_limit = None
        server.max_request_body_size = MAX_BODY
        server.start()

    def __call__(self, environ: dict[str, Any], start_response: Callable) -> Any:
        """Answer one call; the WSGI entry point."""
        length = int(environ.get("CONTENT_LENGTH") or 0)
        call = Call(
            environ["REQUEST_METHOD"],
            environ["PATH_INFO"],
            dict(parse_qsl(environ["QUERY_STRING"])),
            environ["wsgi.input"].read(length),
        )
        reply = self._answer(call)
        status = f"{reply.status} {HTTPStatus(reply.status).phrase}"
        if reply.stream is not None:
            write = start_response(status, [("Content-Type", "application/x-ndjson")])
            write(b"")  # Headers go at once, before the first line is there.
            return reply.stream
        body = msgspec.json.encode(reply.body)
        headers = [
            ("Content-Type", "application/json"),
            ("Content-Length", str(len(body))),
        ]
        if reply.retry_after > 0:
            headers.append(("Retry-After", str(math.ceil(reply.retry_after))))
        start_response(status, headers)
        return [body]

    def _answer(self, call: Call) -> Reply:
        route, handler = self._route(call)
        if handler is None:
            return refusal(404, "no_such_path", route)
        try:
            if route in self._control:
                return handler(call)
            self._calls[route] += 1
            return self._answer_with_faults(call, handler)
        except (msgspec.DecodeError, KeyError, ValueError) as error:
            return refusal(400, "malformed", str(error))

    def _route(self, call: Call) -> tuple[str, Handler | None]:
        route = f"{call.method} {call.path}"
        while route not in self._table:
            parent = route.removesuffix("/*").rpartition("/")[0]
            if not parent:
                return f"{call.method} {call.path}", None
            route = f"{parent}/*"
        return route, self._table[route]

    @cached_property
    def _table(self) -> dict[str, Handler]:
        return self._control | self.routes()

    @cached_property
    def _control(self) -> dict[str, Handler]:
        return {
            "GET /health": lambda call: Reply({"status": "ok"}),
            "GET /stats": lambda call: Reply({"calls": dict(self._calls)}),
            "POST /faults": self._order_fault,
        }

    def _order_fault(self, call: Call) -> Reply:
        fault = call.read(Fault)
        self.faults.order(fault)
        return Reply({"ordered": fault.kind})

    def _answer_with_faults(self, call: Call, handler: Handler) -> Reply:
        if fault := self.faults.take("slow", call.path):
            time.sleep(fault.delay)
        if fault := self.faults.take("down", call.path):
            if fault.close:
                raise connection_cut()
            return refusal(503, "down", retry_after=1.0)
        if self.faults.take("error", call.path):
            return refusal(500, "fault_ordered")
        reply = handler(call)
        if call.method == "POST" and self.faults.take("lost_answer", call.path):
            if reply.stream is not None:
                reply.stream.close()
            raise connection_cut()
        if reply.stream and self.faults.take("drop_mid_stream", call.path):
            reply.stream = CutStream(reply.stream)
        return reply


def parser(name: str, description: str, threads: int = 64) -> argparse.ArgumentParser:
    """Return a parser with the flags that every stand-in has."""
    flags = argparse.ArgumentParser(f"python -m standins.{name}", None, description)
    flags.add_argument("--port", type=int, required=True, help="TCP port to listen at")
    flags.add_argument("--history", default="", help="file for the history")
    flags.add_argument("--name", default=name, help="process name in the history")
    flags.add_argument("--threads", type=int, default=threads, help="calls at once")
    return flags
