"""Calls that are in progress when an entry gets a stop signal."""

import socket
import threading
import time
from concurrent.futures import ThreadPoolExecutor

import pytest

from deployed import BOUNDS, Deployment
from platform_standins import deployment
from platform_standins.deployment import HOST
from rows_fakes import wait_for
from wigeonfront.http.encoding import parse_address
from wigeonfront.node.stop_budget import (
    CLOSE_SECONDS,
    HAND_OVER_SECONDS,
    MIN_STOP_SECONDS,
    UNREADY_SECONDS,
    stop_budget,
)

WORK_SECONDS = 3.8
"""Work of a request that is sent just before the signal: longer than the entry takes
part in the platform's routing, shorter than its stop time."""


@pytest.fixture
def deployed():
    made = Deployment()
    made.rows.put(
        "op/config",
        deployment.configuration(2, kind="non_idempotent", timeoutMs=10_000),
    )
    made.plain.run_seconds = WORK_SECONDS
    yield made
    made.close()


def connect(entry):
    return socket.create_connection(parse_address(entry._settings.front_address))


def send_head(sock, path, id, length):
    head = f"POST {path} HTTP/1.1\r\nHost: {HOST}\r\nContent-Length: {length}\r\n"
    sock.sendall(f"{head}Wigeonfront-Attempt-Id: {id}\r\n\r\n".encode())


def read_answer(sock):
    """Return all that arrives until the connection ends."""
    sock.settimeout(10.0)
    data = b""
    while piece := sock.recv(65_536):
        data += piece
    return data


def plain(entry):
    with connect(entry) as sock:
        send_head(sock, "/plain/a", "a", 2)
        sock.sendall(b"in")
        return read_answer(sock)


def half_received(entry):
    """The rest of the body arrives after the entry has stopped to listen."""
    with connect(entry) as sock:
        send_head(sock, "/plain/b", "b", 2)
        sock.sendall(b"i")
        time.sleep(3.2)
        sock.sendall(b"n")
        return read_answer(sock)


def kept_connection(entry):
    """A second request arrives on a kept connection after the signal."""
    with connect(entry) as sock:
        send_head(sock, "/stream/first", "c1", 2)
        sock.sendall(b"in")
        time.sleep(1.5)
        first = sock.recv(65_536)
        send_head(sock, "/plain/c", "c2", 2)
        sock.sendall(b"in")
        return first and read_answer(sock)


def streamed(entry):
    with connect(entry) as sock:
        send_head(sock, "/stream/d", "d", 2)
        sock.sendall(b"in")
        return read_answer(sock)


CALLS = {
    # Seconds of work for each call.
    plain: WORK_SECONDS,
    half_received: 0.8,
    kept_connection: 2.0,
}


@pytest.mark.parametrize("make_call", list(CALLS), ids=lambda made: made.__name__)
def test_a_stop_cuts_off_no_call_in_progress(deployed, make_call):
    """An entry without open Lots closed the connections after three seconds."""
    deployed.plain.run_seconds = CALLS[make_call]
    entry = deployed.add_entry("n1")
    wait_for(lambda: entry._configuration.version == 2)
    with ThreadPoolExecutor() as executor:
        answer = executor.submit(make_call, entry)
        time.sleep(0.3)
        entry.stop()
        # The process ends now.
        assert answer.result(0.2).startswith(b"HTTP/1.1 200 OK")
    assert len(deployed.plain.requests) == 1


def test_a_stop_cuts_off_no_stream_in_progress(deployed):
    """An entry without open Lots ended while it passed a stream through."""
    entry = deployed.add_entry("n1")
    for engine in deployed.engines:
        engine.faults.event_seconds = 0.56
    with ThreadPoolExecutor() as executor:
        answer = executor.submit(streamed, entry)
        time.sleep(0.3)
        entry.stop()
        # The process ends now.
        assert answer.result(0.2).endswith(b"\r\n0\r\n\r\n")


def test_a_stop_without_calls_in_progress_is_short(deployed):
    """A connection that is silent, or that has sent a part of a head, is no call."""
    entry = deployed.add_entry("n1")
    with connect(entry), connect(entry) as half_head:
        half_head.sendall(b"POST /plain/a HTTP/1.1\r\nHost: ")
        began = time.monotonic()
        entry.stop()
        assert time.monotonic() - began < UNREADY_SECONDS + 0.5 + CLOSE_SECONDS


def test_a_stop_with_an_endless_call_ends_in_time(deployed):
    deployed.plain.run_seconds = 8.0
    entry = deployed.add_entry("n1")
    wait_for(lambda: entry._configuration.version == 2)
    calling = threading.Thread(target=plain, args=(entry,), daemon=True)
    calling.start()
    wait_for(lambda: deployed.plain.requests)
    began = time.monotonic()
    entry.stop()
    assert time.monotonic() - began < BOUNDS.stop_seconds


@pytest.mark.parametrize("stop_seconds", [MIN_STOP_SECONDS, 6.0, 8.0, 30.0])
def test_the_parts_of_a_stop_fit_in_its_time(stop_seconds):
    budget = stop_budget(stop_seconds)
    assert budget.unready == UNREADY_SECONDS
    assert budget.unready <= budget.hand_over + 1e-9
    assert budget.hand_over + HAND_OVER_SECONDS <= budget.hand_over_end + 1e-9
    assert budget.hand_over_end <= budget.calls_end
    assert budget.calls_end + CLOSE_SECONDS <= stop_seconds


@pytest.mark.parametrize("stop_seconds", [0.0, 1.0, 4.0])
def test_the_parts_of_a_stop_that_is_too_short_end_in_its_time(stop_seconds):
    budget = stop_budget(stop_seconds)
    assert 0.0 <= budget.unready <= budget.calls_end <= stop_seconds
    assert 0.0 <= budget.hand_over <= budget.hand_over_end <= budget.calls_end


def test_calls_get_more_than_five_sixths_of_the_usual_stop_time():
    """A request that needs longer than that is not owed its answer at a stop."""
    assert stop_budget(8.0).calls_end > 8.0 * 5 / 6
