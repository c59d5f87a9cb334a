"""Supervisors: tasks that fail and are restarted, give up, and stop together."""

import threading

import pytest

from wigeonfront import supervisor
from wigeonfront.clock import ManualClock
from wigeonfront.supervisor import MAX_FAILURES, BrokenInvariant, Supervisor

MAX_WAIT_SECONDS = 10.0


@pytest.fixture(autouse=True)
def no_backoff(monkeypatch):
    monkeypatch.setattr(supervisor, "INITIAL_PAUSE_SECONDS", 0.0)


@pytest.fixture
def clock():
    return ManualClock()


def wait_for_end(tasks, name):
    """Wait for the thread of a task; return whether it has ended."""
    thread = tasks._threads[name]
    thread.join(MAX_WAIT_SECONDS)
    return not thread.is_alive()


def failing_task(times, clock, seconds=0.0, error=ValueError):
    runs = []

    def run(stop):
        runs.append(stop)
        clock.advance(seconds)
        if len(runs) <= times:
            raise error

    return run, runs


@pytest.mark.parametrize(
    ("times", "seconds", "error", "expected_runs", "failed"),
    [
        (0, 0.0, ValueError, 1, False),
        (3, 0.0, ValueError, 4, False),
        (MAX_FAILURES - 1, 0.0, ValueError, MAX_FAILURES, False),
        (MAX_FAILURES, 0.0, ValueError, MAX_FAILURES, True),
        (3 * MAX_FAILURES, 10.0, ValueError, 3 * MAX_FAILURES + 1, False),
        (1, 0.0, BrokenInvariant, 1, True),
    ],
)
def test_a_task_is_restarted_until_it_fails_too_often(
    clock, times, seconds, error, expected_runs, failed
):
    root = Supervisor("root", clock)
    child = root.child("below")
    run, runs = failing_task(times, clock, seconds, error)
    child.start("task", run)
    assert wait_for_end(child, "task")
    assert (len(runs), child.failed, root.failed) == (expected_runs, failed, failed)
    assert root.wait(0.0) == root.stopping == failed


def test_stop_reaches_every_task_of_the_tree(clock):
    root = Supervisor("root", clock)
    supervisors = [root, root.child("a"), root.child("b").child("c")]
    stopped = []
    for number, tasks in enumerate(supervisors):
        tasks.start(
            "task",
            lambda stop, n=number: stop.wait(MAX_WAIT_SECONDS) and stopped.append(n),
        )
    root.stop()
    assert all(wait_for_end(tasks, "task") for tasks in supervisors)
    assert sorted(stopped) == [0, 1, 2]
    assert not root.failed


def test_stop_does_not_wait_for_ever_for_a_blocked_task(clock, monkeypatch):
    monkeypatch.setattr(supervisor, "JOIN_SECONDS", 0.0)
    release = threading.Event()
    root = Supervisor("root", clock)
    root.start("stuck", lambda stop: release.wait(MAX_WAIT_SECONDS))
    root.stop()
    assert root._threads["stuck"].is_alive()
    release.set()
    assert wait_for_end(root, "stuck")


def test_a_task_may_stop_the_tree_itself(clock):
    root = Supervisor("root", clock)
    root.start("task", lambda stop: root.stop())
    assert wait_for_end(root, "task")


def test_a_task_is_stopped_alone_and_its_name_can_be_used_again(clock):
    root = Supervisor("root", clock)
    ended = threading.Event()
    root.start("peer", lambda stop: stop.wait(MAX_WAIT_SECONDS) and ended.set())
    root.start("other", lambda stop: stop.wait(MAX_WAIT_SECONDS))
    root.stop_task("peer")
    assert ended.wait(MAX_WAIT_SECONDS)
    assert root._threads["other"].is_alive()
    root.start("peer", lambda stop: stop.wait(MAX_WAIT_SECONDS))
    assert root._threads["peer"].is_alive()
    root.stop_task("unknown")
    root.stop()


@pytest.mark.parametrize("how", ["stop", "fail"])
def test_no_task_is_started_while_the_tree_stops(clock, how):
    """Threads that still run may try to start tasks, such as for new sides."""
    root = Supervisor("root", clock)
    child = root.child("peers")
    if how == "stop":
        root.stop()
    else:
        root.start("broken", failing_task(1, clock, error=BrokenInvariant)[0])
        assert wait_for_end(root, "broken")
        root.stop()
    runs = []
    child.start("late", runs.append)
    root.child("new").start("late", runs.append)
    assert runs == []
    assert "late" not in child._threads


@pytest.mark.parametrize(
    ("previous", "ran", "pause"),
    [
        (0.0, 0.0, 0.1),
        (0.1, 0.0, 0.2),
        (0.2, 59.0, 0.4),
        (4.0, 0.0, 5.0),
        (5.0, 60.0, 0.1),
    ],
)
def test_a_task_that_ran_for_long_starts_again_at_once(
    previous, ran, pause, monkeypatch
):
    monkeypatch.setattr(supervisor, "INITIAL_PAUSE_SECONDS", 0.1)
    assert supervisor.restart_pause(previous, ran) == pytest.approx(pause)
