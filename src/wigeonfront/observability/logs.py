"""Structured logs: one line of key=value pairs for each event.

`event` logs an event by its name and its fields. A value with a space, a quote, an
equals sign or another special character is written as a JSON string.
"""

import json
import logging
import queue
import sys
import threading
import time
from typing import Any

_PLAIN = frozenset(
    "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789_-.:/+,@%*[]<>"
)


def format_value(value: Any) -> str:
    """Return `value` as the right-hand side of a key=value pair."""
    if isinstance(value, float):
        return f"{value:.4g}"
    text = str(value)
    if text and _PLAIN.issuperset(text):
        return text
    return json.dumps(text)


def format_pairs(fields: dict[str, Any]) -> str:
    """Return `fields` as key=value pairs joined by spaces."""
    return " ".join(f"{name}={format_value(value)}" for name, value in fields.items())


def event(
    logger: logging.Logger, name: str, *, level: int = logging.INFO, **fields: Any
) -> None:
    """Log one event.

    Parameters
    ----------
    logger : logging.Logger
        Logger that gets the line.
    name : str
        Name of the event in snake case.
    level : int
        Level of the line, as in `logging`.
    **fields
        The other key=value pairs of the line.
    """
    if logger.isEnabledFor(level):
        logger.log(level, "%s", format_pairs({"event": name, **fields}))


DRAIN_PAUSE_SECONDS = 0.01

QUEUE_LINES = 5_000
"""Lines that may wait for a slow reader of the output: 1.5 MB at 300 bytes each."""


class BoundedHandler(logging.Handler):
    """A log handler that writes in its own thread, so that logging never blocks.

    While `QUEUE_LINES` lines are queued, further lines are dropped and counted, and so
    are lines that the output refuses, such as a file on a full disk. The count is
    logged with the next lines that are written.

    Parameters
    ----------
    stream : text stream
        Output for the lines.
    """

    def __init__(self, stream: Any) -> None:
        super().__init__()
        self._stream = stream
        self._lines: queue.Queue[str] = queue.Queue(QUEUE_LINES)
        self._dropped = 0
        # Several threads increment the count while the writer reads and resets it.
        self._count_lock = threading.Lock()
        self._thread = threading.Thread(target=self._write, name="logs", daemon=True)
        self._thread.start()

    def emit(self, record: logging.LogRecord) -> None:
        """Queue one line, or count it as dropped if the queue is full."""
        try:
            self._lines.put_nowait(self.format(record))
        except queue.Full:
            with self._count_lock:
                self._dropped += 1

    def drain(self, seconds: float) -> None:
        """Wait up to `seconds` until all queued lines are written."""
        deadline = time.monotonic() + seconds
        while self._lines.unfinished_tasks:
            if time.monotonic() >= deadline:
                return
            time.sleep(DRAIN_PAUSE_SECONDS)

    def _write(self) -> None:
        while True:
            lines = [self._lines.get()]
            while len(lines) < QUEUE_LINES and not self._lines.empty():
                lines.append(self._lines.get())
            line_count = len(lines)
            with self._count_lock:
                dropped, self._dropped = self._dropped, 0
            if dropped:
                lines.append(f"event=log_lines_dropped count={dropped}")
            try:
                self._stream.write("\n".join(lines) + "\n")
                self._stream.flush()
            except OSError:
                with self._count_lock:
                    self._dropped += dropped + line_count
            except ValueError:
                # The output is closed, and there is no other place to report that.
                return
            finally:
                for _ in range(line_count):
                    self._lines.task_done()


def configure(process: str, level: str = "info") -> None:
    """Send the logs of this process as key=value lines to standard output.

    Logging never blocks on the output, see `BoundedHandler`.

    Parameters
    ----------
    process : str
        Name of the process, which is written in each line.
    level : str
        Lowest level that is logged.
    """
    handler = BoundedHandler(sys.stdout)
    pattern = "time=%(created).3f level=%(levelname)s process="
    handler.setFormatter(
        logging.Formatter(pattern + process.replace("%", "%%") + " %(message)s")
    )
    root = logging.getLogger()
    root.handlers[:] = [handler]
    root.setLevel(level.upper())


def flush(seconds: float) -> None:
    """Wait up to `seconds` for each `BoundedHandler` to write its queued lines."""
    for handler in logging.getLogger().handlers:
        if isinstance(handler, BoundedHandler):
            handler.drain(seconds)
