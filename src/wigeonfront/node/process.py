"""Runs a process until it gets a stop signal or fails."""

import logging
import signal
from typing import Protocol

from wigeonfront.node.stopping import StopSignal
from wigeonfront.observability.logs import event

logger = logging.getLogger(__name__)

FAILURE_POLL_SECONDS = 0.5
"""Time between two checks for a failed supervisor; stop signals are seen at once."""

STOPPED, FAILED = 0, 1


class Node(Protocol):
    """A process with one role: entry, side or storage."""

    @property
    def failed(self) -> bool:
        """Whether a task has failed for good."""

    def start(self) -> None:
        """Start all tasks."""

    def stop(self) -> None:
        """Finish open work and end all tasks."""


def stop_this_process() -> None:
    """Start a planned stop of this process, as the platform's stop signal does."""
    signal.raise_signal(signal.SIGTERM)


def run_node(node: Node, role: str, name: str) -> int:
    """Run `node` until it gets a stop signal or has failed; return the exit code.

    Parameters
    ----------
    role, name : str
        Role and name of the process, for the log.
    """
    stop_signal = StopSignal()
    stop_signal.install()
    node.start()
    event(logger, "started", role=role, node=name)
    while not stop_signal.wait(FAILURE_POLL_SECONDS) and not node.failed:
        pass
    node.stop()
    event(logger, "stopped", role=role, failed=node.failed)
    return FAILED if node.failed else STOPPED
