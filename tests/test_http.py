"""Bad input is refused precisely before anything is done; callers that go are seen."""

import socket
import threading
from types import SimpleNamespace

import msgspec
import pytest

from fakes import ScriptedSides, table_of, wsgi_call
from wigeonfront.catalogue import CatalogueEntry
from wigeonfront.clock import ManualClock
from wigeonfront.entry.admission import EntryAdmission
from wigeonfront.entry.directory import Announcements
from wigeonfront.entry.peers import Identity
from wigeonfront.entry.server import EntryParts, EntryServer
from wigeonfront.http import Application, Reply, Server, Stream
from wigeonfront.messages import RequestBody
from wigeonfront.metrics import Registry
from wigeonfront.outcomes import Completed, NotRun
from wigeonfront.policy.limits import Grant, LimitEnforcer

MAX_BODY = 4096
LONG = 20.0
REQUESTS, LOTS, ACKNOWLEDGE, KEYS = (
    "/v1/services/desk/requests",
    "/v1/lots",
    "/v1/lots/acknowledge",
    "/v1/services/desk/keys",
)
REQUEST = {"catalogue_entry": "pages", "payload": {"a": 1}}
LOT = {
    "trainer": "t",
    "lot": "l",
    "service": "desk",
    "catalogue_entry": "scoring",
    "version": 8,
    "samples": [{"sample": "a"}, {"sample": "b"}],
}


def row(work_class, **fields):
    return CatalogueEntry(owner="o", work_class=work_class, services=["desk"], **fields)


class Control:
    """A catalogue and a membership without the entries behind them."""

    def __init__(self):
        self.starting = ""
        self.refused = None
        rows = {
            "pages": row("interactive"),
            "scoring": row("rollout"),
            "off": row("rollout", enabled=False),
        }
        self.catalogue = SimpleNamespace(get=rows.get)
        self.membership = SimpleNamespace(refusal=lambda work_class: self.refused)


class Runs:
    """Notes what is run; nothing may be for a malformed call."""

    def __init__(self):
        self.ran = []

    def run(self, work, *arguments):
        self.ran.append(work)
        return Completed("answer")


@pytest.fixture
def entry():
    clock, runs, control = ManualClock(), Runs(), Control()
    limits = LimitEnforcer(clock)
    limits.set_grant("pages", Grant(None, None))
    directory = ScriptedSides(clock)
    directory.services = {"desk", "farm"}
    server = EntryServer(
        EntryParts(
            identity=Identity("e", "i"),
            clock=clock,
            max_callers=2,
            control=control,
            admission=EntryAdmission(limits, clock),
            directory=directory,
            announcements=Announcements(),
            requests=runs,
            lots=runs,
            slots=table_of("s1"),
            mover=None,
            metrics=Registry(),
        )
    )
    application = Application(MAX_BODY)
    server.caller_routes(application)
    return SimpleNamespace(server=server, runs=runs, control=control, app=application)


def post(entry, path, body, **environ):
    status, headers, chunks = wsgi_call(entry.app, "POST", path, body, **environ)
    return status, headers, msgspec.json.decode(b"".join(chunks))


def changed(message, **fields):
    return {k: v for k, v in (message | fields).items() if v is not ...}


SAMPLES = [{"sample": f"s{n}"} for n in range(4097)]
BAD_FIELDS = [
    *(
        (REQUESTS, REQUEST, field)
        for field in (
            {"catalogue_entry": ...},
            {"catalogue_entry": 5},
            {"catalogue_entry": ""},
            {"timeout": -1},
            {"timeout": 0},
            {"timeout": 86401},
            {"timeout": "soon"},
            {"idempotent": "no"},
            {"submission": -1},
            {"max_tokens": 0},
            {"max_tokens": 1.5},
            {"version": -1},
            {"bound": -1},
            {"prefix": None},
            {"paylaod": {}},
        )
    ),
    *(
        (LOTS, LOT, field)
        for field in (
            {"trainer": ...},
            {"trainer": 5},
            {"lot": "x" * 201},
            {"submission": 0},
            {"version": ...},
            {"version": True},
            {"timeout": -3},
            {"samples": []},
            {"samples": {}},
            {"samples": [{"payload": 1}]},
            {"samples": [{"sample": ""}]},
            {"samples": [{"sample": "a", "max_tokens": 0}]},
            {"samples": [{"sample": "a", "grop": "g"}]},
        )
    ),
    (ACKNOWLEDGE, {"trainer": "t", "lot": "l", "service": "desk"}, {"lot": ...}),
    (ACKNOWLEDGE, {"trainer": "t", "lot": "l", "service": "desk"}, {"lost": 1}),
    (KEYS, {"catalogue_entry": "pages"}, {"catalogue_entry": None}),
]


@pytest.mark.parametrize(("path", "message", "fields"), BAD_FIELDS)
def test_a_bad_field_is_named(entry, path, message, fields):
    status, _, answer = post(entry, path, changed(message, **fields))
    assert (status, answer["error"]) == (422, "bad_field")
    assert answer["detail"]
    assert entry.runs.ran == []


@pytest.mark.parametrize("path", [REQUESTS, LOTS, ACKNOWLEDGE, KEYS])
@pytest.mark.parametrize(
    ("body", "environ", "status", "error"),
    [
        (b"", {}, 400, "malformed_json"),
        (b"{", {}, 400, "malformed_json"),
        (b"}", {}, 400, "malformed_json"),
        (b'{"\xff', {}, 400, "malformed_json"),
        (b'{"catalogue', {}, 400, "malformed_json"),
        (b"[]", {}, 422, "bad_field"),
        (b"null", {}, 422, "bad_field"),
        (b"{}", {}, 422, "bad_field"),
        (b"x" * (MAX_BODY + 1), {}, 413, "body_too_large"),
        (b"{}", {"CONTENT_LENGTH": "9"}, 400, "body_cut_off"),
        (b"{}", {"CONTENT_LENGTH": "-1"}, 400, "bad_content_length"),
        (b"{}", {"CONTENT_LENGTH": "two"}, 400, "bad_content_length"),
        (b"{}", {"CONTENT_LENGTH": ""}, 400, "malformed_json"),
    ],
)
def test_a_bad_body_is_refused(entry, path, body, environ, status, error):
    found, headers, answer = post(entry, path, body, **environ)
    assert (found, answer["error"]) == (status, error)
    if status in (400, 413):
        assert headers["Connection"] == "close"
    assert (entry.runs.ran, entry.server.in_flight) == ([], 0)


@pytest.mark.parametrize(
    ("path", "message", "environ", "status", "error"),
    [
        (
            LOTS,
            changed(LOT, samples=[{"sample": "a"}] * 2),
            {},
            422,
            "duplicate_sample",
        ),
        (REQUESTS, REQUEST, {"HTTP_IDEMPOTENCY_KEY": "k" * 201}, 422, "bad_key"),
        (
            REQUESTS,
            changed(REQUEST, catalogue_entry="x"),
            {},
            403,
            "no_such_catalogue_entry",
        ),
        (
            LOTS,
            changed(LOT, catalogue_entry="off"),
            {},
            403,
            "catalogue_entry_disabled",
        ),
        (LOTS, changed(LOT, catalogue_entry="pages"), {}, 403, "not_a_rollout_entry"),
        (
            "/v1/services/farm/requests",
            REQUEST,
            {},
            403,
            "service_not_in_catalogue_entry",
        ),
        ("/v1/services/none/requests", REQUEST, {}, 404, "no_such_service"),
        ("/v1/nothing", REQUEST, {}, 404, "no_such_path"),
        ("/v1/lots/l", REQUEST, {}, 404, "no_such_path"),
        ("/health", REQUEST, {}, 405, "method_not_allowed"),
        (REQUESTS, REQUEST, {"REQUEST_METHOD": "PUT"}, 405, "method_not_allowed"),
    ],
)
def test_what_is_not_allowed_is_refused(entry, path, message, environ, status, error):
    found, _, answer = post(entry, path, message, **environ)
    assert (found, answer["error"]) == (status, error)
    assert entry.runs.ran == []


def refused(entry, how):
    if how == "starting":
        entry.control.starting = "joining"
    elif how == "fenced":
        entry.control.refused = NotRun("cut_off", 1.0)
    elif how == "leaving":
        entry.server.leave()
    else:
        entry.server._callers = 2
    return {"starting": "joining", "fenced": "cut_off", "full": "entry_full"}.get(
        how, how
    )


@pytest.mark.parametrize("how", ["starting", "fenced", "leaving", "full"])
@pytest.mark.parametrize(("path", "message"), [(REQUESTS, REQUEST), (LOTS, LOT)])
def test_what_is_not_admitted_is_told_when_to_come_back(entry, how, path, message):
    reason = refused(entry, how)
    status, headers, answer = post(entry, path, message)
    assert status == 503
    assert int(headers["Retry-After"]) >= 1
    assert answer.get("reason") == reason or answer["outcome"]["reason"] == reason
    assert entry.runs.ran == []


def test_a_good_request_is_run_with_what_it_says(entry):
    status, headers, answer = post(
        entry, REQUESTS, REQUEST, HTTP_X_REQUEST_ID="mine", HTTP_IDEMPOTENCY_KEY="k"
    )
    assert (status, headers["X-Request-Id"], answer["request"]) == (200, "mine", "mine")
    assert answer["outcome"] == {"kind": "completed", "payload": "answer"}
    (work,) = entry.runs.ran
    assert (work.key, work.payload, work.unsent_at) == ("pages/k", {"a": 1}, 0)


def test_a_fault_of_a_handler_is_answered(entry):
    entry.runs.run = lambda *arguments: 1 / 0
    status, _, answer = post(entry, REQUESTS, REQUEST)
    assert (status, answer["error"]) == (500, "internal")
    assert entry.server.in_flight == 0


# --- real sockets ------------------------------------------------------------


class Daemon:
    """A server with one handler that the test holds, and raw connections to it."""

    def __init__(self):
        self.calls, self.seen = [], []
        self.reached, self.go = threading.Semaphore(0), threading.Semaphore(0)
        self.application = Application(MAX_BODY)
        self.application.route("POST", "/echo", self.echo)
        self.application.route("POST", "/held", self.hold)
        self.application.route("POST", "/stream", self.stream)
        self.server = Server("127.0.0.1:0", self.application, 4)
        self.server.bind()
        self.address = self.server._server.bind_addr
        self.thread = threading.Thread(
            target=self.server.run, args=(None,), daemon=True
        )
        self.thread.start()

    def echo(self, call):
        return Reply(200, call.decode(RequestBody))

    def hold(self, call):
        self.reached.release()
        self.go.acquire(timeout=LONG)
        self.seen.append(call.caller_gone())
        while self.seen[-1] is False and self.go.acquire(blocking=False):
            self.seen.append(call.caller_gone())
        return Reply(200, {})

    def stream(self, call):
        return Stream(iter([b"one\n", b"two\n"]))

    def connect(self, data):
        connection = socket.create_connection(self.address, LONG)
        connection.sendall(data)
        return connection


def request(path, body=b"", *headers):
    length = [] if headers else [b"Content-Length: %d" % len(body)]
    lines = [b"POST %s HTTP/1.1" % path.encode(), b"Host: h", *length, *headers]
    return b"\r\n".join(lines) + b"\r\n\r\n" + body


def read_all(connection):
    data = b""
    while piece := connection.recv(65536):
        data += piece
    return data


@pytest.fixture(scope="module")
def daemon():
    daemon = Daemon()
    yield daemon
    daemon.server.close()
    daemon.thread.join(LONG)


CHUNKED = b"Transfer-Encoding: chunked"


@pytest.mark.parametrize(
    ("data", "status", "error"),
    [
        (request("/echo", b"{", b"Content-Length: 90"), b"400", b"body_cut_off"),
        (request("/echo", b"5\r\n{", CHUNKED), b"400", b""),
        (request("/echo", b"zz\r\n", CHUNKED), b"400", b""),
        (request("/echo", b"x" * 5000), b"413", b"body_too_large"),
        (
            request("/echo", b"1400\r\n" + b"x" * 5120 + b"\r\n0\r\n\r\n", CHUNKED),
            b"413",
            b"body_too_large",
        ),
        (request("/echo", b"2\r\n{}\r\n0\r\n\r\n", CHUNKED), b"422", b"bad_field"),
        (request("/echo", b"", b"Content-Length: two"), b"400", b""),
        (b"no http at all\r\n\r\n", b"400", b""),
    ],
)
def test_a_call_that_breaks_off_is_refused_and_the_connection_closed(
    daemon, data, status, error
):
    connection = daemon.connect(data)
    connection.shutdown(socket.SHUT_WR)
    answer = read_all(connection)
    assert answer.split()[1] == status
    assert error in answer


def test_a_connection_is_kept_until_the_server_closes(daemon):
    good = request("/echo", b'{"catalogue_entry": "a"}')
    connection = daemon.connect(good)
    assert b"Connection: close" not in connection.recv(65536)
    daemon.server.close_kept_alive()
    connection.sendall(good)
    assert b"Connection: close" in read_all(connection)
    daemon.application.closing = False


def test_a_stream_is_chunked(daemon):
    connection = daemon.connect(request("/stream", b"", b"Connection: close"))
    assert b"4\r\none\n\r\n4\r\ntwo\n\r\n0\r\n" in read_all(connection)


@pytest.mark.parametrize(
    ("end", "gone"),
    [("stay", False), ("more", False), ("close", True), ("reset", True)],
)
def test_whether_the_caller_has_gone(daemon, end, gone):
    """Asked several times while it stays; a pipelined call doesn't look like an end."""
    daemon.seen.clear()
    connection = daemon.connect(request("/held"))
    assert daemon.reached.acquire(timeout=LONG)
    if end == "more":
        connection.sendall(request("/echo", b"{}"))
    elif end == "close":
        connection.close()
    elif end == "reset":
        linger = b"\x01\x00\x00\x00\x00\x00\x00\x00"
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
        connection.close()
    daemon.go.release(100 if gone else 3)
    if not gone:
        assert b"200" in connection.recv(65536)
        connection.close()
    else:
        while True not in daemon.seen and daemon.thread.is_alive():
            daemon.go.release()
    assert daemon.seen[-1] is gone
    while daemon.go.acquire(blocking=False):
        pass
