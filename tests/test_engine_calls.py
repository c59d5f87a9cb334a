"""Orders to an engine, against a stand-in."""

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
    made = Engine(free_address(), "e1", {MODEL: 1}, events=10)
    made.faults.event_seconds = 0.03
    made.start()
    yield made
    made.stop()


def generate(engine, answers):
    pool = Pool(engine.address)
    fields = {"Wigeonfront-Model": MODEL, "Wigeonfront-Attempt-Id": "s"}
    answers.append(pool.call("POST", "/x", b"", fields, timeout=4.0).status)
    pool.close()


@pytest.mark.parametrize(
    ("keep_runs", "at_once"), [(True, [200, 200]), (False, [503, 200])]
)
def test_runs_go_on_or_end_before_the_weights_change(engine, keep_runs, at_once):
    calls = PlatformEngine(engine.address, "me")
    answers = []
    first = threading.Thread(target=generate, args=(engine, answers))
    first.start()
    wait_for(lambda: engine.running == 1)
    order = MoveOrder(MODEL, 2, "1 behind", keep_runs)
    assert calls.move(order, fence=1, expected=0) == "accepted"
    assert calls.report().loading
    generate(engine, answers)
    first.join()
    assert sorted(answers, reverse=True) == sorted(at_once, reverse=True)
    wait_for(lambda: calls.report().versions == {MODEL: 2})
