"""Crowds of callers that do not behave, and what the process that they call takes."""

import hashlib
import http.client
import itertools
import select
import socket
import threading
import time
import tomllib
from collections.abc import Callable, Iterable
from contextlib import contextmanager
from dataclasses import dataclass
from pathlib import Path

import msgspec

from benchmarks.soak.cluster import Cluster, Options
from platform_standins import deployment, engine
from platform_standins.deployment import HOST, PLAIN
from platform_standins.engine import PlainService
from platform_standins.ports import free_port, free_ports
from rows_fakes import wait_for
from wigeonfront.http.encoding import parse_address

MEBIBYTE = 1024 * 1024
START_SECONDS = 60.0
ANSWER_SECONDS = 45.0
"""Time for an ordinary answer: many times what it takes."""

ANSWERS_SECONDS = 1.0
"""Time for the answers to a crowd to arrive."""

CROWD_SECONDS = 15.0
"""Longest time for which a crowd sends."""

SEND_SECONDS = 5.0
"""Time after which a caller whose bytes nobody takes stops sending."""

DRIP_SECONDS = 2.0
"""Pause of a caller that sends a byte now and then."""

MAX_SENT_BYTES = 64 * MEBIBYTE
"""Largest number of bytes that one caller sends."""

TARGET_BYTES = 64 * MEBIBYTE
"""Largest body that the targets of these tests accept."""

SAMPLE_SECONDS = 0.02
DESCRIPTORS = 1_024
"""Limit of open descriptors of the processes under test."""

PROMISES = frozenset((408, 421, 429, 503))
"""Statuses that say that a request has not run."""

REFUSALS = PROMISES | {400, 404, 413, 414, 431, 501}
"""Statuses that a refused caller may get; one that got no answer has status 0."""

_callers = itertools.count()


class ShortService(PlainService):
    """A plain service that reads large bodies and answers in short."""

    def __init__(self, address, id):
        super().__init__(address, id)
        self.bodies = {}

    def _answer(self, call):
        body = call.body(TARGET_BYTES)
        request = call.header("Wigeonfront-Attempt-Id")
        self.bodies[request] = digest(body)
        time.sleep(self.run_seconds)
        headers = (
            ("Wigeonfront-Attempt-Id", request),
            ("Wigeonfront-Server-Seal", "s"),
        )
        call.reply(200, b"ok", headers)


def digest(data):
    """Return the length and the hash of a body."""
    return len(data), hashlib.sha256(data).hexdigest()


class CrowdedDeployment:
    """One entry, and storage processes, between stand-ins.

    Parameters
    ----------
    monkeypatch : pytest.MonkeyPatch
    memory_mb : int
        Memory that the processes are told to use at most.
    body_bytes : int
        Largest body that the configuration allows.
    disks : bool
    """

    def __init__(self, monkeypatch, memory_mb, body_bytes, disks=False):
        monkeypatch.setattr(engine, "MAX_BODY_BYTES", TARGET_BYTES)
        monkeypatch.setenv("WIGEONFRONT_MEMORY_MB", str(memory_mb))
        self.cluster = Cluster(1, Options(disks=disks, entries=1))
        self.entry = self.cluster.entries[0]
        self.front = self.entry.front
        self.peer = self.entry.control
        self.ready = address_of(self.entry, "ready")
        self.metrics = f"{self.entry.host}:9464"
        self.api = f"{self.entry.host}:{free_port(self.entry.host)}"
        monkeypatch.setenv("WIGEONFRONT_API_ADDRESS", self.api)
        host = f"127.77.{next(_callers) % 250 + 1}.1"
        address = f"{host}:{free_ports(host, 1)[0]}"
        self.service = ShortService(address, "i-short")
        self.service.start()
        deployment.register(self.cluster.rows, "i-short", PLAIN, address)
        self._configure(body_bytes)

    def _configure(self, body_bytes):
        """Give routes so much time that no check depends on the machine's speed."""
        document = msgspec.json.decode(deployment.configuration(2))
        document["limits"]["maxBodyBytes"] = body_bytes
        for route in document["routes"]:
            route["timeoutMs"] = 120_000
        self.cluster.rows.put("op/config", msgspec.json.encode(document))

    def start(self):
        for process in (self.entry, *self.cluster.disks):
            process.start()
        wait_for(lambda: self.status_of(self.front) == 200, START_SECONDS)
        return self

    def status_of(self, address, path="/plain/x", body=b"ordinary", method="POST"):
        """Return the status of an ordinary request, or what kept it from one."""
        try:
            return request(address, method, path, body)[0]
        except (OSError, http.client.HTTPException) as error:
            return repr(error)

    def ordinary(self, address, **call):
        """Return a call of `status_of` that yields ``True`` if it gets status 200.

        Otherwise it yields what it got instead.
        """

        def make():
            status = self.status_of(address, **call)
            return status == 200 or status

        return make

    def close(self):
        self.cluster.close()
        self.service.stop()


def address_of(process, server):
    """Return the address of a server of a process, which its settings file names."""
    return tomllib.loads(process.boot.read_text())["listen"][server]


def request(address, method, path, body=b"", headers=(), chunk=0):
    """Send one request as an ordinary caller; return its status and its answer.

    With `chunk`, the body is sent in chunks of that many bytes.
    """
    connection = http.client.HTTPConnection(address, timeout=ANSWER_SECONDS)
    fields = {
        "Host": HOST,
        "Wigeonfront-Attempt-Id": f"ordinary-{next(_callers)}",
        "Wigeonfront-Deadline-Ms": str(int(ANSWER_SECONDS * 1000)),
        **dict(headers),
    }
    try:
        if chunk:
            pieces = (body[at : at + chunk] for at in range(0, len(body), chunk))
            connection.request(method, path, pieces, fields, encode_chunked=True)
        else:
            connection.request(method, path, body, fields)
        answer = connection.getresponse()
        return answer.status, answer.read()
    finally:
        connection.close()


@dataclass(frozen=True)
class Crowd:
    """Callers that each send the same and then stay until the crowd leaves.

    Attributes
    ----------
    callers : int
    pieces : callable
        Returns the pieces that one caller sends, for the id of its request. Before a
        piece that is ``None`` the caller has sent what it sends at first; it pauses
        there.
    """

    callers: int
    pieces: Callable[[str], Iterable[bytes | None]]


class _Caller:
    def __init__(self, address, crowd, stop):
        self.request = f"crowd-{next(_callers)}"
        self.sent = 0
        # Whether the process has answered, or has closed the connection.
        self.ended = False
        self.done = threading.Event()
        self._stop = stop
        self._pieces = crowd.pieces(self.request)
        self._socket = socket.create_connection(parse_address(address), timeout=10)
        self._socket.settimeout(SEND_SECONDS)
        threading.Thread(target=self._send, daemon=True).start()

    def _send(self):
        try:
            for piece in self._pieces:
                if self._stop.is_set() or self.sent >= MAX_SENT_BYTES:
                    break
                if piece is None:
                    self.done.set()
                    self._stop.wait(DRIP_SECONDS)
                    continue
                self._socket.sendall(piece)
                self.sent += len(piece)
        except TimeoutError:
            # The process takes no more.
            pass
        except OSError:
            self.ended = True
        self.done.set()

    def status(self):
        """Return the status of the answer that has arrived; 0 if there is none."""
        if not select.select([self._socket], [], [], 0)[0]:
            return 0
        try:
            line = self._socket.recv(4096).split(b"\r\n")[0].split(b" ")
        except OSError:
            self.ended = True
            return 0
        self.ended = True
        return int(line[1]) if len(line) > 1 else 0

    def leave(self):
        self._socket.close()


class Usage:
    """Largest memory of a process, with the bytes that it has not read yet.

    Parameters
    ----------
    process : benchmarks.soak.cluster.Process
    """

    def __init__(self, process):
        self._pid = process.popen.pid
        self._host = _hex_host(process.host)
        self._popen = process.popen
        self._largest = 0
        self._most_descriptors = 0
        self._stop = threading.Event()
        self._thread = threading.Thread(target=self._watch, daemon=True)
        self._thread.start()

    def _watch(self):
        while not self._stop.wait(SAMPLE_SECONDS):
            try:
                used = self._status("VmRSS") + self._unread()
                self._largest = max(self._largest, used)
                count = len(list(Path(f"/proc/{self._pid}/fd").iterdir()))
                self._most_descriptors = max(self._most_descriptors, count)
            except (OSError, StopIteration):
                return

    def _status(self, field):
        lines = Path(f"/proc/{self._pid}/status").read_text().splitlines()
        line = next(line for line in lines if line.startswith(field + ":"))
        return int(line.split()[1]) * 1024

    def _unread(self):
        """Return the bytes that have arrived at the process's host."""
        total = 0
        for line in Path("/proc/net/tcp").read_text().splitlines()[1:]:
            fields = line.split()
            listening = fields[3] == "0A"
            if fields[1].startswith(self._host) and not listening:
                total += int(fields[4].partition(":")[2], 16)
        return total

    @property
    def alive(self):
        return self._popen.poll() is None

    @property
    def descriptors(self):
        """Number of descriptors that are open now."""
        return len(list(Path(f"/proc/{self._pid}/fd").iterdir()))

    @property
    def most_descriptors(self):
        return self._most_descriptors

    def peak(self):
        """Return the largest number of bytes so far."""
        return max(self._status("VmHWM"), self._largest)

    def stop(self):
        self._stop.set()
        self._thread.join()


def _hex_host(host):
    return "".join(f"{int(part):02X}" for part in reversed(host.split(".")))


@contextmanager
def gathered(address, crowd):
    """Let a crowd call; it has sent what it sends when the block begins."""
    stop = threading.Event()
    callers = [_Caller(address, crowd, stop) for _ in range(crowd.callers)]
    until = time.monotonic() + CROWD_SECONDS
    for caller in callers:
        caller.done.wait(max(0.0, until - time.monotonic()))
    time.sleep(ANSWERS_SECONDS)
    try:
        yield callers
    finally:
        stop.set()
        for caller in callers:
            caller.leave()


def head(request, method="POST", path="/plain/x", fields=b""):
    """Return the head of a request with `fields`."""
    start = f"{method} {path} HTTP/1.1\r\nHost: {HOST}\r\n"
    return f"{start}Wigeonfront-Attempt-Id: {request}\r\n".encode() + fields
