"""Answers that end early, by each way in which a process reads answers."""

import socket
import struct
import threading
from functools import partial

import msgspec
import pytest

import answer_readers
from answer_readers import (
    NOT_WHOLE,
    READERS,
    SEALED_HEAD,
    engine_order,
    hedged,
    make_exchange,
    plain,
    process,
    reward_call,
    sample,
    store,
    streamed,
)
from raw_targets import ListeningTarget
from rows_fakes import make_lot
from test_forwarding import read_request
from wigeonfront import client, duties
from wigeonfront.clock import SystemClock
from wigeonfront.coordination.rows import (
    Expect,
    LeaseLost,
    Put,
    Stored,
    Unavailable,
    Uncertain,
)
from wigeonfront.forwarding import Connections
from wigeonfront.platform import engine_calls, metadata_store
from wigeonfront.platform.duty_calls import PlatformDuties
from wigeonfront.platform.engine_calls import PlatformEngine
from wigeonfront.platform.metadata_store import MetadataStore
from wigeonfront.rollout.lot_answers import LotUncertain
from wigeonfront.rollout.owner_calls import NotTaken, OwnerClient
from wigeonfront.rollout.sample_run import RunHandle
from wigeonfront.spool.calls import Done, SpoolMember
from wigeonfront.spool.client import SpoolClient
from wigeonfront.usage.calls import CopyStarts, ProcessStarts, StartClient
from wigeonfront.weights.mover import ACCEPTED
from wigeonfront.weights.plan import MoveOrder

BODY = b"id: 1\ndata: x\n\n"
CONTENT_LENGTH = b"Content-Length: %d\r\n\r\n" % len(BODY)
LENGTH = SEALED_HEAD + CONTENT_LENGTH
CHUNKED = SEALED_HEAD + b"Transfer-Encoding: chunked\r\n\r\n5\r\n" + BODY[:5]
CHUNKED += b"\r\na;x=y\r\n" + BODY[5:] + b"\r\n0\r\n"
NO_CONTENT = SEALED_HEAD.replace(b"200 OK", b"204 No Content")

# The head and the rest of answers of each framing.
ANSWERS = {
    "length": (LENGTH, BODY),
    "length 0": (SEALED_HEAD + b"Content-Length: 0\r\n\r\n", b""),
    "chunked": (b"", CHUNKED + b"\r\n"),
    "chunked with trailers": (b"", CHUNKED + b"X-Sum: 1\r\nX-More: 2\r\n\r\n"),
    "no content": (NO_CONTENT + b"\r\n", b""),
    "informational": (b"", b"HTTP/1.1 100 Continue\r\n\r\n" + LENGTH + BODY),
    "several informational": (
        b"",
        b"HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\nHTTP/1.1 102 Wait\r\n\r\n"
        + LENGTH
        + BODY,
    ),
    "closed after it": (
        SEALED_HEAD + b"Connection: close\r\n" + CONTENT_LENGTH,
        BODY,
    ),
    "until the end": (SEALED_HEAD + b"Connection: close\r\n\r\n", BODY),
    "refusal": (
        b"HTTP/1.1 503 Busy\r\nWigeonfront-Not-Executed: 1\r\nRetry-After: 9\r\n"
        b"Content-Length: 4\r\n\r\n",
        b"busy",
    ),
}
WITHOUT_TEXT = {"length 0", "no content"}
UNDELIMITED = "until the end"

TARGET_READERS = (plain, hedged, streamed, sample, reward_call)
NOT_RUN = {"NotExecuted", "RunRefused", "CallRefused"}

ANSWERS_WITH_TEXT = ["length", "chunked", "chunked with trailers", UNDELIMITED]
REPEATING_READERS = (hedged, streamed, sample, reward_call)

JSON_READERS = (store, engine_order)
"""These tell a whole answer that they can't use from a cut one by the reason only."""

REASONS_OF_WHOLE = {"malformed", "status 204", "status 503"}


class CuttingTarget(ListeningTarget):
    """Answers requests with the steps of a script, each on any connection.

    A step is the bytes of an answer and what follows: ``"keep"``, ``"close"`` or
    ``"reset"``.
    """

    def __init__(self):
        super().__init__()
        self.script = []
        self.requests = 0

    def _answer(self, connection):
        with connection:
            try:
                while read_request(connection):
                    self.requests += 1
                    answer, end = self.script.pop(0)
                    connection.sendall(answer)
                    if end == "keep":
                        continue
                    if end == "reset":
                        linger = socket.SOL_SOCKET, socket.SO_LINGER
                        connection.setsockopt(*linger, struct.pack("ii", 1, 0))
                    return
            except OSError:
                # The caller has reset the connection.
                return


@pytest.fixture(autouse=True)
def long_timeouts(monkeypatch):
    """A cut answer ends a call at once, so that none has to time out."""
    monkeypatch.setattr(answer_readers, "SECONDS", 10.0)
    monkeypatch.setattr(metadata_store, "CALL_SECONDS", 10.0)
    monkeypatch.setattr(engine_calls, "CALL_SECONDS", 10.0)


@pytest.fixture
def target():
    made = CuttingTarget()
    yield made
    made.close()


@pytest.mark.parametrize("reused", [False, True], ids=["new", "reused"])
@pytest.mark.parametrize("end", ["close", "reset"])
@pytest.mark.parametrize("name", ANSWERS)
@pytest.mark.parametrize("reader", READERS, ids=lambda reader: reader.__name__)
def test_an_answer_cut_at_any_byte_is_not_whole(target, reader, name, end, reused):
    """An answer cut within its head was returned with status 200 and no body."""
    head, rest = ANSWERS[name]
    answer = head + rest
    cuts = len(answer)
    if name == UNDELIMITED and end == "close":
        # Only a reset tells that a body without a length was cut.
        cuts = len(head)
    if name == "refusal" and reader in TARGET_READERS:
        # The head says that the request did not run, whatever follows.
        cuts = len(head)
    shown_whole = []
    for cut in range(cuts):
        step = (answer[:cut], end)
        target.script[:] = [(LENGTH + BODY, "keep")] * reused + [step] * 2
        target.requests = 0
        read = reader(target.address)
        if reused:
            read()
        outcome = read()
        whole = type(outcome).__name__ not in NOT_WHOLE
        if reader in JSON_READERS:
            whole = outcome.reason in REASONS_OF_WHOLE
        if whole or type(outcome).__name__ in NOT_RUN:
            shown_whole.append(cut)
        if reader in (plain, process):
            assert target.requests == 1 + reused, (cut, outcome)
    assert shown_whole == []


@pytest.mark.parametrize("end", ["close", "reset"])
@pytest.mark.parametrize(
    "reader", REPEATING_READERS, ids=lambda reader: reader.__name__
)
def test_only_an_idle_connection_that_closes_allows_another_send(target, reader, end):
    """The target of a cut answer got its request again, as if it had not run."""
    for cut in range(len(LENGTH)):
        target.script[:] = [
            (LENGTH + BODY, "keep"),
            (LENGTH[:cut], end),
            (LENGTH + BODY, "keep"),
        ]
        target.requests = 0
        read = reader(target.address)
        read()
        outcome = read()
        assert (type(outcome).__name__ in NOT_WHOLE) == bool(cut)
        assert target.requests == (2 if cut else 3)


@pytest.mark.parametrize("name", ANSWERS)
@pytest.mark.parametrize("reader", READERS, ids=lambda reader: reader.__name__)
def test_a_whole_answer_of_each_framing_is_read(target, reader, name):
    head, rest = ANSWERS[name]
    for end in ("keep", "close"):
        if name == UNDELIMITED and end == "keep":
            continue
        target.script[:] = [(LENGTH + BODY, "keep"), (head + rest, end)]
        read = reader(target.address)
        read()
        outcome = read()
        if reader in JSON_READERS:
            assert outcome.reason in REASONS_OF_WHOLE
        elif name == "refusal":
            assert type(outcome).__name__ in {*NOT_RUN, "Answer"}
        elif name in WITHOUT_TEXT and reader in (sample, reward_call):
            continue
        else:
            assert type(outcome).__name__ not in NOT_WHOLE


@pytest.mark.parametrize(
    "framing",
    [
        b"Content-Length: 1z",
        b"Content-Length: -1",
        b"Content-Length: ",
        b"Content-Length: 15, 16",
        b"Content-Length: 15\r\nContent-Length: 16",
        b"Transfer-Encoding: gzip, chunked",
    ],
)
@pytest.mark.parametrize("reader", READERS, ids=lambda reader: reader.__name__)
def test_an_answer_whose_framing_is_not_understood_is_not_whole(
    target, reader, framing
):
    """A malformed length made the end of the connection the end of the answer."""
    head = SEALED_HEAD + b"Connection: close\r\n" + framing + b"\r\n\r\n"
    target.script[:] = [(head + BODY, "close")] * 2
    outcome = reader(target.address)()
    assert type(outcome).__name__ in NOT_WHOLE
    if reader in JSON_READERS:
        assert outcome.reason in ("cut", "InvalidHeader")


@pytest.mark.parametrize("end", ["interrupt", "move", "cancel", "supersede", "abort"])
@pytest.mark.parametrize("name", ANSWERS_WITH_TEXT)
@pytest.mark.parametrize(
    "reader", REPEATING_READERS, ids=lambda reader: reader.__name__
)
def test_an_answer_that_this_process_ends_is_not_whole(target, reader, name, end):
    """The text of a run that was moved was taken for whole if it had no length."""
    head, rest = ANSWERS[name]
    answer = head + rest
    sent = answer if name == UNDELIMITED else answer[:-1]
    target.script[:] = [(sent, "keep")]
    connections = Connections(SystemClock())
    handle = RunHandle(answer_readers.SECONDS)
    ends = {"abort": partial(connections.abort_calls, "i-1")}
    timer = threading.Timer(0.1, ends.get(end) or getattr(handle, end))
    timer.start()
    outcome = reader(target.address, make_exchange(connections), handle)()
    assert type(outcome).__name__ in NOT_WHOLE | {"CallerGone", "CallCancelled"}
    assert "timeout" not in getattr(outcome, "reason", "").lower()
    timer.join()


def write(address):
    put = Put("owners/a", b"1")
    return MetadataStore(address).write((Expect("owners/a", 0),), (put,))


def append(address):
    members = (SpoolMember(address, "disk-1"),)
    return SpoolClient(SystemClock()).append(members, "k", 1, 0, 0, (b"x",))


def copy_starts(address):
    return StartClient().copy(address, CopyStarts(ProcessStarts("a", [])))


def end_lot(address):
    return OwnerClient(SystemClock()).end(address, "lot-1")


def submit(address):
    return OwnerClient(SystemClock()).submit(address, make_lot())


def order(address):
    return PlatformEngine(address, "n1").move(MoveOrder("m", 2, "behind"), 1, 0)


def report_usage(address):
    return PlatformDuties(address).report_usage(1, {"a": 1}, "n1", 1)


def acknowledge(address):
    lot = client.Lot("step-8", "rollouts", "judge", 8, 1, ())
    return client.TrainerClient([address], "t").acknowledge(lot, timeout=0.0)


REVISION = b'{"revision": 3}'


# What a caller makes of a cut answer and of a whole one. A head without its end had a
# status, but neither its other headers nor a body.
@pytest.mark.parametrize(
    ("call", "status", "body", "cut_off", "whole"),
    [
        (write, b"200 OK", REVISION, Uncertain("cut"), Stored(3)),
        (write, b"404 Not Found", b"{}", Uncertain("cut"), LeaseLost(0)),
        (write, b"503 Busy", b"", Uncertain("cut"), Unavailable("status 503")),
        (
            lambda address: MetadataStore(address).renew_lease(7),
            b"404 Not Found",
            b"{}",
            Unavailable("cut"),
            LeaseLost(7),
        ),
        (
            lambda address: MetadataStore(address).revoke_lease(7),
            b"200 OK",
            b"{}",
            Uncertain("cut"),
            Stored(0),
        ),
        (append, b"200 OK", msgspec.msgpack.encode(Done()), False, True),
        (copy_starts, b"200 OK", b"", False, True),
        (end_lot, b"200 OK", b"", False, True),
        (
            submit,
            b"400 Bad Request",
            b"",
            LotUncertain("ProtocolError"),
            NotTaken("status 400"),
        ),
        (order, b"202 Accepted", b"", "cut", ACCEPTED),
        (report_usage, b"200 OK", b"", duties.NotTaken("cut"), duties.Taken()),
        (
            acknowledge,
            b"204 No Content",
            b"",
            client.AcknowledgementUnknown("ProtocolError"),
            client.Acknowledged(),
        ),
    ],
)
def test_a_call_with_a_cut_answer_is_not_taken_as_done_or_refused(
    target, call, status, body, cut_off, whole
):
    """An order, a deletion or a write whose answer was cut counted as carried out."""
    answer = b"HTTP/1.1 %b\r\nRetry-After: 2\r\nContent-Length: %d\r\n\r\n%b"
    answer %= (status, len(body), body)
    for cut in range(len(answer)):
        target.script[:] = [(answer[:cut], "close")] * 2
        assert call(target.address) == cut_off, answer[:cut]
    target.script[:] = [(answer, "close")]
    assert call(target.address) == whole
