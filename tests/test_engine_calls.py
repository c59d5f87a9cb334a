"""Orders to an engine, sent to a stand-in of an engine."""

import socket
import threading

import pytest

from platform_standins.engine import Engine
from rows_fakes import free_address, wait_for
from wigeonfront.http.client import Pool
from wigeonfront.platform.engine_calls import PlatformEngine
from wigeonfront.weights.plan import MoveOrder

MODEL = "m"


@pytest.fixture
def engine():
    engine = Engine(free_address(), "e1", {MODEL: 1}, events=10)
    engine.faults.event_seconds = 0.03
    engine.start()
    yield engine
    engine.stop()


def generate(engine, statuses):
    """Generate a sample and append the status of the answer."""
    pool = Pool(engine.address)
    headers = {"Wigeonfront-Model": MODEL, "Wigeonfront-Attempt-Id": "s"}
    statuses.append(pool.call("POST", "/x", b"", headers, timeout=4.0).status)
    pool.close()


@pytest.mark.parametrize(("id", "answer"), [("e1", "accepted"), ("e0", "status 421")])
def test_only_the_engine_with_the_expected_id_accepts_an_order(engine, id, answer):
    calls = PlatformEngine(engine.address, "me", id)
    assert calls.move(MoveOrder(MODEL, 2, "1 behind"), 1, 0) == answer
    assert len(engine.orders) == (answer == "accepted")


def test_the_connection_of_an_order_that_timed_out_is_reset():
    """The reset drops what an interrupted network still holds of the order."""
    listener = socket.create_server(("127.0.0.1", 0))
    host, port = listener.getsockname()
    calls = PlatformEngine(f"{host}:{port}", "me")
    assert calls.move(MoveOrder(MODEL, 2, "1 behind"), 1, 0) == "ReadTimeoutError"
    accepted, _ = listener.accept()
    accepted.settimeout(2.0)
    with pytest.raises(ConnectionResetError):
        while accepted.recv(65_536):
            pass
        accepted.sendall(b"x")
        accepted.recv(1)
    accepted.close()
    listener.close()


@pytest.mark.parametrize(
    ("keep_runs", "expected"), [(True, [200, 200]), (False, [503, 200])]
)
def test_runs_continue_or_finish_before_a_weight_change(engine, keep_runs, expected):
    calls = PlatformEngine(engine.address, "me")
    statuses = []
    first = threading.Thread(target=generate, args=(engine, statuses))
    first.start()
    wait_for(lambda: engine.running == 1)
    order = MoveOrder(MODEL, 2, "1 behind", keep_runs)
    assert calls.move(order, fence=1, expected=0) == "accepted"
    assert calls.report().loading
    generate(engine, statuses)
    first.join()
    assert sorted(statuses, reverse=True) == sorted(expected, reverse=True)
    wait_for(lambda: calls.report().versions == {MODEL: 2})
