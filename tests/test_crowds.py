"""Crowds of callers that do not behave, against the system's own processes.

Each test checks only what the speed of the machine doesn't change: that the process
lives, that its memory and its descriptors stay under a bound, and that an ordinary
request is answered while the crowd stays and after it.
"""

import base64
import itertools
import threading
import time
from functools import partial

import msgspec
import pytest

from crowds import (
    DESCRIPTORS,
    MEBIBYTE,
    PROMISES,
    REFUSALS,
    START_SECONDS,
    Crowd,
    CrowdedDeployment,
    Usage,
    address_of,
    digest,
    gathered,
    head,
    request,
)
from rows_fakes import wait_for
from wigeonfront.spool.calls import SPOOL_PATH, ListKeys

pytestmark = [pytest.mark.alone, pytest.mark.timeout(300)]

MEMORY_MB = 128
BODY_BYTES = 8 * MEBIBYTE
SOCKET_BYTES = 8 * MEBIBYTE
"""More than the buffers of a loopback connection hold."""

SMALL_MACHINE_MB = 150
LEGAL_BODY_BYTES = 32 * MEBIBYTE
LEGAL_SLACK_BYTES = 1_000
SAMPLES = 8
SAMPLE_BYTES = 3 * MEBIBYTE - 1_024
SAMPLE_IDS = [f"sample-{number}" for number in range(SAMPLES)]

FRONT_THREADS = 200
DESCRIPTOR_SLACK = 16
"""Descriptors that a process may keep after a crowd, such as pooled connections."""

DESCRIPTOR_SECONDS = 60.0
RETRY_SECONDS = 0.2
LETTERS = b"a" * 65_536
LINES = b"X-Filler: 0123456789\r\n" * 500
CHUNKED = b"Transfer-Encoding: chunked\r\n\r\n"
WIRE_BYTES = 8 * MEBIBYTE
BYTE_CHUNKS = b"1\r\nx\r\n" * 4_096
LONG_CHUNK = b"100000\r\n" + b"a" * MEBIBYTE + b"\r\n"


def endless(first, piece, request, **start):
    """Send `first` once, then `piece` for ever."""
    yield head(request, fields=first, **start)
    yield from itertools.repeat(piece)


def length_of(count):
    return b"Content-Length: %d\r\n\r\n" % count


def short_of_length(piece, request, size=BODY_BYTES, **start):
    """Send a body with a length in pieces, and stop one piece short of its end."""
    yield head(request, fields=length_of(size), **start)
    yield from itertools.repeat(piece, size // len(piece) - 1)
    yield piece[1:]


def short_of_last_chunk(chunk, request, wire=WIRE_BYTES, **start):
    """Send chunks, but not the last one."""
    yield head(request, fields=CHUNKED, **start)
    yield from itertools.repeat(chunk, wire // len(chunk) - 1)


def whole(piece, request, size=BODY_BYTES, **start):
    yield head(request, fields=length_of(size), **start)
    yield from itertools.repeat(piece, size // len(piece))


def dripping(start):
    """Send `start`, and then a byte now and then."""
    yield start
    while True:
        yield None
        yield b"a"


def dripping_head(request):
    return dripping(b"POST /plain/x HTTP/1.1\r\nHost: ")


def dripping_body(request, **start):
    return dripping(head(request, fields=length_of(1_000) + b"abc", **start))


def silent(request):
    yield b""


TRAILERS = CHUNKED + b"1\r\na\r\n0\r\n"
UNKNOWN = {"path": "/no-such-route/x"}
LOT = {"method": "GET", "path": "/lots/some-lot"}
HUGE = 1_000_000_000
MORE_THAN_THREADS = FRONT_THREADS + 10

ENDLESS = {
    "trailer line": Crowd(8, partial(endless, TRAILERS + b"X: ", LETTERS)),
    "trailer lines": Crowd(8, partial(endless, TRAILERS, LINES)),
    "size line": Crowd(8, partial(endless, CHUNKED + b"1", b"0" * 65_536)),
    "chunk extension": Crowd(8, partial(endless, CHUNKED + b"1;", LETTERS)),
    "chunks": Crowd(6, partial(endless, CHUNKED, LONG_CHUNK)),
    "one chunk": Crowd(6, partial(endless, CHUNKED + b"40000000\r\n", LETTERS)),
    "length": Crowd(6, partial(endless, length_of(HUGE), LETTERS)),
    "negative length": Crowd(
        6, partial(endless, b"Content-Length: -1\r\n\r\n", LETTERS)
    ),
    "unknown route": Crowd(6, partial(endless, length_of(HUGE), LETTERS, **UNKNOWN)),
    "unknown route in chunks": Crowd(6, partial(endless, CHUNKED, LETTERS, **UNKNOWN)),
    "reading a Lot": Crowd(6, partial(endless, length_of(HUGE), LETTERS, **LOT)),
    "header line": Crowd(8, partial(endless, b"X-Filler: ", LETTERS)),
    "header lines": Crowd(8, partial(endless, b"", LINES)),
    "request line": Crowd(8, lambda request: itertools.repeat(LETTERS)),
}
"""Crowds whose callers send without an end."""

STANDING = {
    "length": Crowd(60, partial(short_of_length, b"a" * BODY_BYTES)),
    "length by pieces": Crowd(60, partial(short_of_length, b"a" * 4_096)),
    "long chunks": Crowd(60, partial(short_of_last_chunk, LONG_CHUNK)),
    "single bytes": Crowd(60, partial(short_of_last_chunk, BYTE_CHUNKS)),
    "unknown route": Crowd(60, partial(short_of_length, b"a" * BODY_BYTES, **UNKNOWN)),
    "reading a Lot": Crowd(60, partial(short_of_length, b"a" * BODY_BYTES, **LOT)),
    "submitting Lots": Crowd(
        60, partial(short_of_length, b"a" * BODY_BYTES, path="/lots-in/x")
    ),
    "streams": Crowd(60, partial(short_of_length, b"a" * BODY_BYTES, path="/stream/x")),
    "more than threads": Crowd(MORE_THAN_THREADS, dripping_body),
    "more heads than threads": Crowd(MORE_THAN_THREADS, dripping_head),
    "silent connections": Crowd(MORE_THAN_THREADS, silent),
}
"""Crowds whose callers stop short of the end of their requests."""


@pytest.fixture
def crowded(monkeypatch):
    made = []

    def start(memory_mb=MEMORY_MB, body_bytes=BODY_BYTES, **options):
        made.append(CrowdedDeployment(monkeypatch, memory_mb, body_bytes, **options))
        return made[-1].start()

    yield start
    for deployment in made:
        deployment.close()


def check_crowd(deployment, address, crowd, ordinary, process=None, limit=MEMORY_MB):
    """Let a crowd call `address`, and check the process that it calls.

    Parameters
    ----------
    ordinary : callable
        Makes an ordinary call, and returns whether it was answered as it should be.
    process : benchmarks.soak.cluster.Process, optional
        The process that the crowd calls; by default the entry.
    """
    usage = Usage(process or deployment.entry)
    descriptors = usage.descriptors
    assert ordinary() is True
    with gathered(address, crowd) as callers:
        beside = ordinary()
        statuses = [caller.status() for caller in callers]
    after = ordinary()
    peak = usage.peak() // MEBIBYTE
    assert usage.alive
    assert (beside, after) == (True, True)
    assert peak <= limit
    assert usage.most_descriptors <= DESCRIPTORS
    wait_for(
        lambda: usage.descriptors <= descriptors + DESCRIPTOR_SLACK,
        DESCRIPTOR_SECONDS,
    )
    usage.stop()
    return callers, statuses


def plain_call(deployment):
    return deployment.ordinary(deployment.front)


def check_none_ran(deployment, callers, statuses):
    assert set(statuses) <= REFUSALS | {0}
    assert not {caller.request for caller in callers} & set(deployment.service.bodies)


@pytest.mark.parametrize("name", ENDLESS)
def test_requests_without_an_end(crowded, name):
    deployment = crowded()
    callers, statuses = check_crowd(
        deployment, deployment.front, ENDLESS[name], plain_call(deployment)
    )
    check_none_ran(deployment, callers, statuses)
    assert all(caller.ended for caller in callers)
    assert max(caller.sent for caller in callers) <= BODY_BYTES + SOCKET_BYTES


@pytest.mark.parametrize("name", STANDING)
def test_requests_that_stop_short(crowded, name):
    deployment = crowded()
    callers, statuses = check_crowd(
        deployment, deployment.front, STANDING[name], plain_call(deployment)
    )
    check_none_ran(deployment, callers, statuses)


INTERFACE = {
    "stopping short": STANDING["length"],
    "trailer lines": ENDLESS["trailer lines"],
    "more than threads": STANDING["more than threads"],
}


@pytest.mark.parametrize("name", INTERFACE)
def test_callers_of_the_own_interface(crowded, name):
    """The interface below ``/v1`` reads bodies on its own address."""
    deployment = crowded()
    crowd = INTERFACE[name]

    def at_interface(request):
        for number, piece in enumerate(crowd.pieces(request)):
            if not number:
                piece = piece.replace(b"/plain/x", b"/v1/requests")
            yield piece

    check_crowd(
        deployment,
        deployment.api,
        Crowd(crowd.callers, at_interface),
        plain_call(deployment),
    )


PAGES = {
    "ready": ("/ready", 6),
    "metrics": ("/metrics", 6),
}


@pytest.mark.parametrize("name", PAGES)
@pytest.mark.parametrize("kind", ["endless", "short"])
def test_callers_of_pages_without_a_body(crowded, name, kind):
    """Few threads serve these pages, and none of their calls has a body."""
    deployment = crowded()
    path, count = PAGES[name]
    address = getattr(deployment, name)
    start = {"method": "GET", "path": path}
    pieces = {
        "endless": partial(endless, length_of(HUGE), LETTERS, **start),
        "short": partial(dripping_body, **start),
    }[kind]
    page = deployment.ordinary(address, path=path, body=b"", method="GET")
    check_crowd(deployment, address, Crowd(count, pieces), page)


PEERS = {
    "stopping short": partial(short_of_length, b"a" * BODY_BYTES),
    "trailer line": partial(endless, TRAILERS + b"X: ", LETTERS),
    "long chunks": partial(short_of_last_chunk, LONG_CHUNK),
}


@pytest.mark.parametrize("name", PEERS)
def test_calls_between_entries(crowded, name):
    deployment = crowded()
    crowd = Crowd(30, partial(PEERS[name], path="/lot-submissions"))
    check_crowd(deployment, deployment.peer, crowd, plain_call(deployment))


@pytest.mark.parametrize("name", PEERS)
def test_calls_to_a_storage_process(crowded, name):
    deployment = crowded(disks=True)
    disk = deployment.cluster.disks[0]
    address = address_of(disk, "control")
    call = msgspec.msgpack.encode(ListKeys("submission/"))
    list_keys = deployment.ordinary(address, path=SPOOL_PATH, body=call)
    wait_for(lambda: list_keys() is True, 30.0)
    crowd = Crowd(30, partial(PEERS[name], path=SPOOL_PATH))
    check_crowd(deployment, address, crowd, list_keys, disk)


# --- many whole requests at once ----------------------------------------------


def test_many_large_requests_at_once(crowded):
    deployment = crowded()
    deployment.service.run_seconds = 3.0
    crowd = Crowd(20, partial(whole, b"a" * BODY_BYTES))
    callers, statuses = check_crowd(
        deployment, deployment.front, crowd, plain_call(deployment)
    )
    ran = set(deployment.service.bodies)
    refused = {
        caller.request
        for caller, status in zip(callers, statuses, strict=True)
        if status in PROMISES
    }
    assert not refused & ran
    assert set(statuses) <= PROMISES | {0, 200}


def lot_body(samples, sample_bytes, prefix="sample"):
    """Return a Lot as JSON, and the digests of its samples' bodies by id."""
    items, digests = [], {}
    for number in range(samples):
        body = bytes([number % 256]) * sample_bytes
        id = f"{prefix}-{number}"
        digests[id] = digest(body)
        encoded = base64.b64encode(body).decode()
        items.append({"id": id, "path": "/lots-in/x", "body": encoded, "group": "g"})
    return msgspec.json.encode({"items": items, "model": "model-a"}), digests


def test_many_large_lots_at_once(crowded):
    deployment = crowded()

    def submit(request):
        body, _ = lot_body(2, 3 * BODY_BYTES // 8 - 1_024, request)
        yield head(request, path="/lots-in/x", fields=length_of(len(body)))
        yield body

    callers, statuses = check_crowd(
        deployment, deployment.front, Crowd(12, submit), plain_call(deployment)
    )
    assert set(statuses) <= PROMISES | {0, 202, 504}
    for caller, status in zip(callers, statuses, strict=True):
        if status in PROMISES:
            runs = [engine.run_counts for engine in deployment.cluster.engines]
            assert not any(f"{caller.request}-0" in counts for counts in runs)


# --- one request of the largest legal size --------------------------------------


@pytest.mark.parametrize("chunk", [0, 65_536, 1_024])
def test_the_largest_legal_request_is_served_in_calm(crowded, chunk):
    deployment = crowded(SMALL_MACHINE_MB, LEGAL_BODY_BYTES)
    body = b"0123456789abcdef" * ((LEGAL_BODY_BYTES - LEGAL_SLACK_BYTES) // 16)
    usage = Usage(deployment.entry)
    fields = {"Wigeonfront-Attempt-Id": "largest"}
    status, answer = request(deployment.front, "POST", "/plain/x", body, fields, chunk)
    peak = usage.peak() // MEBIBYTE
    usage.stop()
    assert (status, answer) == (200, b"ok")
    assert deployment.service.bodies["largest"] == digest(body)
    assert usage.alive
    assert peak <= SMALL_MACHINE_MB


def read_results(deployment, lot):
    """Return the states of all samples of a Lot, read as its trainer reads them."""
    states, after, total = {}, 0, 1
    until = time.monotonic() + START_SECONDS
    while after < total:
        path = f"/lots/{lot}?after={after}"
        status, answer = request(
            deployment.front, "GET", path, headers={"Wigeonfront-Wait-Ms": "1000"}
        )
        if status == 503 and time.monotonic() < until:
            # Whether the lost owner had shown results isn't known yet.
            time.sleep(RETRY_SECONDS)
            continue
        assert status == 200
        page = msgspec.json.decode(answer)
        total, after = page["total"], page["next"]
        states.update((result["id"], result["state"]) for result in page["results"])
    return states


def test_the_largest_legal_lot_is_served_in_calm(crowded):
    """Its samples' bodies are read while it runs, as its trainer may do."""
    deployment = crowded(SMALL_MACHINE_MB, LEGAL_BODY_BYTES)
    for engine in deployment.cluster.engines:
        engine.faults.event_seconds = 0.3
    body, digests = lot_body(SAMPLES, SAMPLE_BYTES)
    assert len(body) <= LEGAL_BODY_BYTES
    usage = Usage(deployment.entry)
    fields = {"Wigeonfront-Attempt-Id": "largest-lot"}
    status, _ = request(deployment.front, "POST", "/lots-in/x", body, fields)
    path = "/items/largest-lot?id=sample-7"
    item_status, item = request(deployment.front, "GET", path)
    states = read_results(deployment, "largest-lot") if status == 202 else {}
    peak = usage.peak() // MEBIBYTE
    usage.stop()
    assert status == 202
    assert (item_status, digest(item)) == (200, digests["sample-7"])
    assert states == dict.fromkeys(SAMPLE_IDS, "completed")
    assert usage.alive
    assert peak <= SMALL_MACHINE_MB


def test_the_largest_legal_lot_is_taken_over_after_a_restart(crowded):
    """The process that takes the Lot over reads it back from the store."""
    deployment = crowded(SMALL_MACHINE_MB, LEGAL_BODY_BYTES)
    for engine in deployment.cluster.engines:
        engine.faults.event_seconds = 1.0
    body, _ = lot_body(SAMPLES, SAMPLE_BYTES)
    fields = {"Wigeonfront-Attempt-Id": "largest-lot"}
    status, _ = request(deployment.front, "POST", "/lots-in/x", body, fields)
    assert status == 202
    deployment.entry.popen.kill()
    deployment.entry.popen.wait()
    deployment.start()
    usage = Usage(deployment.entry)
    for engine in deployment.cluster.engines:
        engine.faults.event_seconds = 0.01
    states = read_results(deployment, "largest-lot")
    peak = usage.peak() // MEBIBYTE
    usage.stop()
    assert states == dict.fromkeys(SAMPLE_IDS, "completed")
    assert usage.alive
    assert peak <= SMALL_MACHINE_MB


def test_a_refusal_reaches_a_caller_that_is_still_sending(crowded):
    """Closing a connection with unread bytes would reset it, and lose the answer."""
    deployment = crowded()
    body = b"a" * (BODY_BYTES + 1)
    answers = []

    def call():
        answers.append(request(deployment.front, "POST", "/plain/x", body)[0])

    threads = [threading.Thread(target=call) for _ in range(4)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    assert answers == [413] * 4
