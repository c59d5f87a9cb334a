"""The HTTP adapters against scripted servers, and the in-memory platform."""

import json
import socket
import threading
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer

import pytest

from wigeonfront.clock import ManualClock
from wigeonfront.platform import (
    Absent,
    Change,
    Changes,
    Conflict,
    Lease,
    LeaseLost,
    Listing,
    Row,
    Stored,
    Throttled,
    Unavailable,
    Uncertain,
    Vm,
)
from wigeonfront.platform.key_value import HttpKeyValue
from wigeonfront.platform.memory import MemoryKeyValue
from wigeonfront.platform.vm_list import HttpVmList
from wigeonfront.platform.weight_store import HttpWeightStore

CUT = "cut"


class Scripted(BaseHTTPRequestHandler):
    """Gives the server's next scripted answer and records what it was asked."""

    protocol_version = "HTTP/1.1"

    def do_GET(self):
        self.reply(None)

    def do_POST(self):
        length = int(self.headers["Content-Length"])
        self.reply(json.loads(self.rfile.read(length)))

    def reply(self, body):
        self.server.asked.append((self.path, body))
        answer = self.server.answers.pop(0)
        if answer == CUT:
            self.close_connection = True
            return
        status, document = answer
        encoded = document if isinstance(document, bytes) else json.dumps(document)
        encoded = encoded if isinstance(encoded, bytes) else encoded.encode()
        self.send_response(status)
        self.send_header("Content-Length", str(len(encoded)))
        if status == 429:
            self.send_header("Retry-After", "7")
        self.end_headers()
        self.wfile.write(encoded)

    def log_message(self, *args):
        pass


@pytest.fixture
def server():
    server = ThreadingHTTPServer(("127.0.0.1", 0), Scripted)
    server.daemon_threads = True
    server.answers, server.asked = [], []
    threading.Thread(target=server.serve_forever, args=(0.01,), daemon=True).start()
    yield server
    server.shutdown()
    server.server_close()


def address(server):
    return f"127.0.0.1:{server.server_address[1]}"


CALLS = {
    "get": lambda kv: kv.get("k"),
    "list": lambda kv: kv.list("k"),
    "watch": lambda kv: kv.watch("k", 3, 0.0),
    "put": lambda kv: kv.put("k", b'{"a":1}', expected=0, lease=4),
    "delete": lambda kv: kv.delete("k", expected=5),
    "grant": lambda kv: kv.grant_lease(9.0),
    "renew": lambda kv: kv.renew_lease(4),
    "revoke": lambda kv: kv.revoke_lease(4),
}
ROW = {"key": "k", "value": {"a": 1}, "revision": 5}
GONE = {"key": "k", "value": None, "revision": 6}


@pytest.mark.parametrize(
    ("call", "answer", "expected"),
    [
        ("get", (200, ROW), Row("k", b'{"a": 1}', 5)),
        ("get", (404, {"error": "absent", "revision": 8}), Absent(8)),
        ("get", (200, b"{"), Unavailable("malformed")),
        ("get", (500, {}), Unavailable("status 500")),
        (
            "list",
            (200, {"rows": [ROW], "revision": 8}),
            Listing((Row("k", b'{"a": 1}', 5),), 8),
        ),
        (
            "watch",
            (200, {"changes": [ROW, GONE], "revision": 6, "compacted": True}),
            Changes((Change("k", b'{"a": 1}', 5), Change("k", None, 6)), 6, True),
        ),
        ("put", (200, {"revision": 9}), Stored(9)),
        ("put", (409, {"error": "conflict", "revision": 3}), Conflict(3)),
        ("put", (429, {}), Unavailable("status 429")),
        ("put", (503, {}), Unavailable("status 503")),
        ("put", (400, {}), Unavailable("status 400")),
        ("put", (500, {}), Uncertain("status 500")),
        ("put", (200, b"{"), Uncertain("malformed")),
        ("put", CUT, Uncertain("cut")),
        ("delete", (200, {"revision": 9}), Stored(9)),
        ("delete", CUT, Uncertain("cut")),
        ("grant", (200, {"lease": 4, "ttl": 9.0}), Lease(4, 9.0)),
        ("grant", CUT, Uncertain("cut")),
        ("renew", (200, {"lease": 4, "ttl": 9.0}), Lease(4, 9.0)),
        ("renew", (404, {}), LeaseLost(4)),
        ("renew", CUT, Unavailable("cut")),
        ("revoke", (200, {"revision": 9}), Stored(9)),
        ("revoke", (404, {}), LeaseLost(4)),
    ],
)
def test_each_answer_of_the_key_value_service(server, call, answer, expected):
    server.answers = [answer]
    assert CALLS[call](HttpKeyValue(address(server))) == expected


def test_calls_follow_the_protocol(server):
    server.answers = [(503, {})] * len(CALLS)
    key_value = HttpKeyValue(address(server))
    for call in CALLS.values():
        call(key_value)
    assert server.asked == [
        ("/kv?key=k", None),
        ("/kv/list?prefix=k", None),
        ("/kv/watch?prefix=k&after=3&timeout=0.0", None),
        ("/kv/put", {"key": "k", "value": {"a": 1}, "expected": 0, "lease": 4}),
        ("/kv/delete", {"key": "k", "expected": 5}),
        ("/leases", {"ttl": 9.0}),
        ("/leases/renew", {"lease": 4}),
        ("/leases/revoke", {"lease": 4}),
    ]


def test_a_cut_read_is_tried_once_more(server):
    server.answers = [CUT, (200, ROW), CUT, CUT]
    key_value = HttpKeyValue(address(server))
    assert key_value.get("k") == Row("k", b'{"a": 1}', 5)
    assert key_value.get("k") == Unavailable("cut")


@pytest.mark.parametrize("call", CALLS)
def test_a_refused_connection_has_no_effect(call):
    with socket.socket() as unused:
        unused.bind(("127.0.0.1", 0))
        port = unused.getsockname()[1]
        key_value = HttpKeyValue(f"http://127.0.0.1:{port}")
        assert CALLS[call](key_value) == Unavailable("connect")


@pytest.mark.parametrize("call", CALLS)
def test_a_silent_service(call):
    with socket.create_server(("127.0.0.1", 0)) as silent:
        url = f"127.0.0.1:{silent.getsockname()[1]}"
        key_value = HttpKeyValue(url, read_timeout=0.02)
        may_have_worked = call in {"put", "delete", "grant", "revoke"}
        lost = Uncertain if may_have_worked else Unavailable
        assert CALLS[call](key_value) == lost("ReadTimeoutError")


def test_vm_list(server):
    listed = {"name": "v", "role": "side", "address": "a:1", "service": "s"}
    server.answers = [(200, {"vms": [listed]}), (200, {"vms": [{}]}), (503, {})]
    vm_list = HttpVmList(address(server))
    assert vm_list.vms() == (Vm("v", "side", "s", "", "a:1"),)
    assert vm_list.vms() == Unavailable("malformed")
    assert vm_list.vms() == Unavailable("status 503")


def test_weight_store(server):
    server.answers = [(200, {"model": "m", "newest": 0}), (404, {}), (429, {})]
    store = HttpWeightStore(address(server))
    assert store.newest("m/1") == 0
    assert store.newest("m") == Absent()
    assert store.newest("m") == Throttled(7.0)
    assert server.asked[0][0] == "/models/m%2F1"


def test_memory_keeps_compare_and_swap_and_revisions():
    key_value = MemoryKeyValue()
    assert key_value.put("k", b"1", expected=0) == Stored(1)
    assert key_value.put("k", b"2", expected=0) == Conflict(1)
    assert key_value.put("k", b"2", expected=1) == Stored(2)
    assert key_value.delete("k", expected=1) == Conflict(2)
    assert key_value.delete("k", expected=2) == Stored(3)
    assert key_value.put("k", b"3", expected=2) == Conflict(0)
    watched = Changes((Change("k", b"2", 2), Change("k", None, 3)), 3)
    assert key_value.watch("k", 1, 0) == watched
    key_value.state.compact()
    assert key_value.watch("k", 1, 0) == Changes((), 3, compacted=True)


def test_memory_lease_ends_with_its_term():
    clock = ManualClock()
    key_value = MemoryKeyValue(clock)
    lease = key_value.grant_lease(5.0).lease
    key_value.put("k", b"1", lease=lease)
    clock.advance(4.0)
    assert key_value.renew_lease(lease) == Lease(lease, 5.0)
    clock.advance(4.0)
    assert key_value.get("k") == Row("k", b"1", 1)
    clock.advance(1.0)
    assert key_value.renew_lease(lease) == LeaseLost(lease)
    assert key_value.get("k") == Absent(2)
    assert key_value.put("k", b"1", lease=lease) == Unavailable("no such lease")


def test_memory_faults_belong_to_one_client():
    first = MemoryKeyValue()
    second = first.client()
    first.lose_answers, second.lose_requests = 1, 1
    assert first.put("a", b"1") == Uncertain("answer lost")
    assert second.put("b", b"1") == Uncertain("request lost")
    assert first.get("a") == Row("a", b"1", 1)
    assert second.get("b") == Absent(1)
    first.outage = True
    assert first.put("a", b"2") == Unavailable("outage")
    assert second.get("a") == Row("a", b"1", 1)
    second.state.outage = True
    assert second.get("a") == Unavailable("outage")
    assert (first.calls["put"], second.calls["put"]) == (2, 1)
