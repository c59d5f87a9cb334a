"""A thread pool that grows with the number of concurrent calls."""

import queue
import threading
from typing import Any

from cheroot import server as cheroot_server
from cheroot.workers.threadpool import ThreadPool

STOP_SECONDS = 5.0
"""Time that calls in progress get to end when the pool stops."""

SPARE_THREADS = 8
"""Idle threads that a pool keeps so that calls do not wait for a thread to start."""

MAX_QUEUED = 512
"""Connections with a request that may wait for a thread, as many as may wait to be
accepted. Further ones are refused, as what they send waits in memory."""

POOL_CHECK_SECONDS = 10.0
"""Interval between checks for idle threads that are not needed."""


class ThreadPoolOnDemand(ThreadPool):
    """A pool that starts threads when few are idle and ends unneeded ones later.

    A thread that was never used takes 17 KiB, so a pool that always had its full size
    would take a seventh of the memory that an entry may use.

    All threads of the pool are daemons, whichever thread starts the pool. Otherwise a
    process whose server was not closed would wait for them forever at its end.

    Parameters
    ----------
    server : cheroot.server.HTTPServer
    max_threads : int
        Largest number of threads.
    """

    def __init__(self, server: cheroot_server.HTTPServer, max_threads: int) -> None:
        super().__init__(server, min=min(SPARE_THREADS, max_threads), max=max_threads)
        self._resize_requested = threading.Event()
        self._stopping = False
        self._started = threading.Event()
        self._resizer = threading.Thread(target=self._start_and_resize, daemon=True)

    def start(self) -> None:
        """Start the first threads."""
        self._resizer.start()
        self._started.wait()

    def put(self, obj: Any) -> None:
        """Queue a connection on which a request has arrived.

        Raises
        ------
        queue.Full
            If too many are queued; the server then answers with 503.
        """
        if self.qsize >= MAX_QUEUED:
            raise queue.Full
        super().put(obj)
        if self._spare_threads < SPARE_THREADS:
            self._resize_requested.set()

    def shortage(self) -> int:
        """Return the number of connections that wait until another call ends.

        Connections for which a thread can still be started don't count.
        """
        if not self.qsize or len(self._threads) < self.max:
            return 0
        return max(0, self.qsize - self.idle)

    def stop(self, timeout: float = STOP_SECONDS) -> None:
        """End all threads; calls in progress get `timeout` seconds to end."""
        self._stopping = True
        self._resize_requested.set()
        self._resizer.join()
        super().stop(timeout)

    @property
    def _spare_threads(self) -> int:
        return self.idle - self.qsize

    def _start_and_resize(self) -> None:
        """Start the first threads, then resize the pool until it stops.

        Threads inherit being daemons from this one, which starts them.
        """
        try:
            super().start()
        finally:
            self._started.set()
        self._resize_until_stopped()

    def _resize_until_stopped(self) -> None:
        """Start threads when `put` asks for it, and end some when many are idle.

        `put` does not start them itself, because `grow` may block.
        """
        while not self._stopping:
            if self._resize_requested.wait(POOL_CHECK_SECONDS):
                self._resize_requested.clear()
                self.grow(max(0, SPARE_THREADS - self._spare_threads))
            else:
                self.shrink(max(0, self._spare_threads - 2 * SPARE_THREADS))
