"""A tree of supervisors, which run tasks in threads and restart those that fail.

A process builds one root supervisor with children for its parts, such as the engines
that it calls. A task is a function that takes a stop event and returns once the event
is set. When a task raises, the supervisor logs the exception and restarts the task
after an exponential backoff. A task that fails too often, or raises `BrokenInvariant`,
stops the whole tree, because the state of the process can no longer be trusted.
"""

import logging
import threading
from collections import deque
from collections.abc import Callable

from wigeonfront.clock import Clock, SystemClock
from wigeonfront.observability.logs import event

logger = logging.getLogger(__name__)

MAX_FAILURES = 10
FAILURE_WINDOW_SECONDS = 60.0
INITIAL_PAUSE_SECONDS = 0.1
MAX_PAUSE_SECONDS = 5.0
# Longest wait for all threads together. They are daemon threads, so a thread that is
# blocked in a call ends with the process.
JOIN_SECONDS = 1.0

TaskFunction = Callable[[threading.Event], None]


def restart_pause(previous: float, ran: float) -> float:
    """Return the pause in seconds before a task that has failed starts again.

    Parameters
    ----------
    previous : float
        Pause before its last start; 0 if it has not failed before.
    ran : float
        Time from that start until the failure, in seconds.
    """
    if not previous or ran >= FAILURE_WINDOW_SECONDS:
        return INITIAL_PAUSE_SECONDS
    return min(MAX_PAUSE_SECONDS, 2 * previous)


class BrokenInvariant(Exception):  # noqa: N818
    """An invariant of the process's state is violated; the process has to stop."""


class Supervisor:
    """Starts tasks, restarts them when they fail and stops them together.

    Parameters
    ----------
    name : str
        Name in logs and thread names; the names of children start with it.
    clock : Clock, optional
        `SystemClock` by default.
    parent : Supervisor, optional
        Supervisor that also gives up when this one does.
    """

    def __init__(
        self,
        name: str,
        clock: Clock | None = None,
        parent: "Supervisor | None" = None,
    ) -> None:
        self._name = name
        self._clock = clock or SystemClock()
        self._parent = parent
        self._stop = threading.Event()
        self._failed = threading.Event()
        self._lock = threading.Lock()
        self._threads: dict[str, threading.Thread] = {}
        self._stops: dict[str, threading.Event] = {}
        self._children: list[Supervisor] = []

    @property
    def failed(self) -> bool:
        """Whether a task of the tree failed too often or broke an invariant."""
        return self._failed.is_set()

    @property
    def stopping(self) -> bool:
        """Whether the tree was told to stop or has failed."""
        return self._stop.is_set()

    def child(self, name: str) -> "Supervisor":
        """Return a new supervisor below this one, which stops and fails with it."""
        child = Supervisor(f"{self._name}.{name}", self._clock, parent=self)
        with self._lock:
            self._children.append(child)
            if self._stop.is_set():
                child._stop.set()
        return child

    def start(self, name: str, run: TaskFunction) -> None:
        """Start the task `name` in a thread, unless the tree is stopping."""
        stop = threading.Event()
        full_name = f"{self._name}.{name}"
        thread = threading.Thread(
            target=self._run_task, args=(name, run, stop), name=full_name, daemon=True
        )
        with self._lock:
            if self._stop.is_set():
                return
            self._threads[name] = thread
            self._stops[name] = stop
            thread.start()

    def stop_task(self, name: str) -> None:
        """Set the stop event of one task, without waiting for its thread."""
        with self._lock:
            self._threads.pop(name, None)
            stop = self._stops.pop(name, None)
        if stop is not None:
            stop.set()

    def wait(self, timeout: float | None = None) -> bool:
        """Wait up to `timeout` seconds; return whether the tree stopped or failed."""
        return self._stop.wait(timeout)

    def stop(self) -> None:
        """Stop all tasks of the tree; wait up to `JOIN_SECONDS` for their threads."""
        threads = self._signal_stop()
        deadline = self._clock.monotonic() + JOIN_SECONDS
        for thread in threads:
            if thread is not threading.current_thread():
                thread.join(max(0.0, deadline - self._clock.monotonic()))

    def _signal_stop(self) -> list[threading.Thread]:
        """Set the stop events, the children's first; return the tasks' threads."""
        self._stop.set()
        with self._lock:
            children = list(self._children)
            threads = list(self._threads.values())
            stops = list(self._stops.values())
        child_threads = [
            thread for child in reversed(children) for thread in child._signal_stop()
        ]
        for stop in stops:
            stop.set()
        return child_threads + threads

    def _run_task(self, name: str, run: TaskFunction, stop: threading.Event) -> None:
        failures: deque[float] = deque(maxlen=MAX_FAILURES)
        pause = 0.0
        while not stop.is_set():
            began = self._clock.monotonic()
            try:
                run(stop)
                return
            except BrokenInvariant:
                logger.exception("event=broken_invariant task=%s", name)
                self._give_up(name)
                return
            except Exception:
                logger.exception("event=task_failed task=%s", name)
            now = self._clock.monotonic()
            failures.append(now)
            if (
                len(failures) == MAX_FAILURES
                and now - failures[0] < FAILURE_WINDOW_SECONDS
            ):
                self._give_up(name)
                return
            pause = restart_pause(pause, now - began)
            stop.wait(pause)

    def _give_up(self, name: str) -> None:
        event(logger, "supervisor_gave_up", level=logging.ERROR, task=name)
        self._failed.set()
        self._stop.set()
        if self._parent is not None:
            self._parent._give_up(f"{self._name}.{name}")
