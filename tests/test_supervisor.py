"""Supervisors: tasks that fail, give up, and stop together."""

import threading

import pytest

from wigeonfront import supervisor
from wigeonfront.clock import ManualClock
from wigeonfront.supervisor import MAX_FAILURES, BrokenInvariant, Supervisor

LONG = 10.0


@pytest.fixture(autouse=True)
def hurried(monkeypatch):
    monkeypatch.setattr(supervisor, "INITIAL_PAUSE_SECONDS", 0.0)


@pytest.fixture
def clock():
    return ManualClock()


def finished(one, name):
    """Wait for a task's thread; return whether it has ended."""
    thread = one._threads[name]
    thread.join(LONG)
    return not thread.is_alive()


def failing(times, clock, seconds=0.0, error=ValueError):
    runs = []

    def run(stop):
        runs.append(stop)
        clock.advance(seconds)
        if len(runs) <= times:
            raise error

    return run, runs


@pytest.mark.parametrize(
    ("times", "seconds", "error", "runs", "failed"),
    [
        (0, 0.0, ValueError, 1, False),
        (3, 0.0, ValueError, 4, False),
        (MAX_FAILURES - 1, 0.0, ValueError, MAX_FAILURES, False),
        (MAX_FAILURES, 0.0, ValueError, MAX_FAILURES, True),
        (3 * MAX_FAILURES, 10.0, ValueError, 3 * MAX_FAILURES + 1, False),
        (1, 0.0, BrokenInvariant, 1, True),
    ],
)
def test_how_often_a_task_may_fail(clock, times, seconds, error, runs, failed):
    root = Supervisor("root", clock)
    one = root.child("below")
    run, ran = failing(times, clock, seconds, error)
    one.start("task", run)
    assert finished(one, "task")
    assert (len(ran), one.failed, root.failed) == (runs, failed, failed)
    assert root.wait(0.0) == root.stopping == failed


def test_stop_reaches_every_task_of_the_tree(clock):
    root = Supervisor("root", clock)
    parts = [root, root.child("a"), root.child("b").child("c")]
    stopped = []
    for number, one in enumerate(parts):
        one.start("task", lambda stop, n=number: stop.wait(LONG) and stopped.append(n))
    root.stop()
    assert all(finished(one, "task") for one in parts)
    assert sorted(stopped) == [0, 1, 2]
    assert not root.failed


def test_a_task_that_does_not_end_is_left_behind(clock, monkeypatch):
    monkeypatch.setattr(supervisor, "JOIN_SECONDS", 0.0)
    release = threading.Event()
    root = Supervisor("root", clock)
    root.start("stuck", lambda stop: release.wait(LONG))
    root.stop()
    assert root._threads["stuck"].is_alive()
    release.set()
    assert finished(root, "stuck")


def test_a_task_may_stop_the_tree_itself(clock):
    root = Supervisor("root", clock)
    root.start("task", lambda stop: root.stop())
    assert finished(root, "task")


def test_one_task_is_stopped_and_another_takes_its_name(clock):
    root = Supervisor("root", clock)
    ended = threading.Event()
    root.start("peer", lambda stop: stop.wait(LONG) and ended.set())
    root.start("other", lambda stop: stop.wait(LONG))
    root.stop_task("peer")
    assert ended.wait(LONG)
    assert root._threads["other"].is_alive()
    root.start("peer", lambda stop: stop.wait(LONG))
    assert root._threads["peer"].is_alive()
    root.stop_task("unknown")
    root.stop()


@pytest.mark.parametrize("how", ["stop", "fail"])
def test_nothing_is_started_once_the_tree_stops(clock, how):
    """A directory may still find new sides then."""
    root = Supervisor("root", clock)
    child = root.child("peers")
    if how == "stop":
        root.stop()
    else:
        root.start("broken", failing(1, clock, error=BrokenInvariant)[0])
        assert finished(root, "broken")
        root.stop()
    ran = []
    child.start("late", ran.append)
    root.child("new").start("late", ran.append)
    assert ran == []
    assert "late" not in child._threads
