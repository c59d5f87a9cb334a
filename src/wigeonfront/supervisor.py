"""Supervisors: a tree of tasks, each a thread that is restarted when it fails.

A daemon builds one root supervisor with children for its servers, peers and
keepers. A task is a function that takes the stop event and returns when it is
set. A task that raises is logged and started again after a growing pause; a task
that fails too often, or raises `BrokenInvariant`, stops the whole tree, because
the process can no longer vouch for its state.
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
# Threads are daemons: one blocked in a call that it can't leave ends with the process.
JOIN_SECONDS = 1.0

Run = Callable[[threading.Event], None]


class BrokenInvariant(Exception):  # noqa: N818
    """State that must never be; the process stops rather than guess."""


class Supervisor:
    """Starts tasks, restarts them when they fail and stops them together.

    Parameters
    ----------
    name : str
        Written in the logs; children's names are prefixed with it.
    clock : Clock
    parent : Supervisor, optional
        Told when this supervisor gives up.
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
        """Whether a task failed too often or broke an invariant."""
        return self._failed.is_set()

    @property
    def stopping(self) -> bool:
        """Whether `stop` was called or the tree has failed."""
        return self._stop.is_set()

    def child(self, name: str) -> "Supervisor":
        """Return a new supervisor below this one."""
        child = Supervisor(f"{self._name}.{name}", self._clock, parent=self)
        with self._lock:
            self._children.append(child)
            if self._stop.is_set():
                child._stop.set()
        return child

    def start(self, name: str, run: Run) -> None:
        """Start a task, unless the tree stops; its thread carries the task's name."""
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
        """Tell one task to stop; its thread ends by itself."""
        with self._lock:
            self._threads.pop(name, None)
            stop = self._stops.pop(name, None)
        if stop is not None:
            stop.set()

    def wait(self, timeout: float | None = None) -> bool:
        """Wait until the tree stops or fails; return whether it did."""
        return self._stop.wait(timeout)

    def stop(self) -> None:
        """Stop all tasks of the tree and wait a bounded time for them together."""
        threads = self._signal_stop()
        deadline = self._clock.monotonic() + JOIN_SECONDS
        for thread in threads:
            if thread is not threading.current_thread():
                thread.join(max(0.0, deadline - self._clock.monotonic()))

    def _signal_stop(self) -> list[threading.Thread]:
        """Tell the children's tasks, then the own ones; return their threads."""
        self._stop.set()
        with self._lock:
            children = list(self._children)
            threads = list(self._threads.values())
            stops = list(self._stops.values())
        below = [
            thread for child in reversed(children) for thread in child._signal_stop()
        ]
        for stop in stops:
            stop.set()
        return below + threads

    def _run_task(self, name: str, run: Run, stop: threading.Event) -> None:
        failures: deque[float] = deque(maxlen=MAX_FAILURES)
        pause = INITIAL_PAUSE_SECONDS
        while not stop.is_set():
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
            stop.wait(pause)
            pause = min(MAX_PAUSE_SECONDS, pause * 2)

    def _give_up(self, name: str) -> None:
        event(logger, "supervisor_gave_up", level=logging.ERROR, task=name)
        self._failed.set()
        self._stop.set()
        if self._parent is not None:
            self._parent._give_up(f"{self._name}.{name}")
