"""Runs a process until it is told to stop."""

import logging
import signal
from typing import Protocol

from wigeonfront.node.stopping import StopSignal
from wigeonfront.observability.logs import event

logger = logging.getLogger(__name__)

FAILURE_POLL_SECONDS = 0.5
"""How often the supervisor is looked at; a stop signal is noticed at once."""

STOPPED, FAILED = 0, 1


class Node(Protocol):
    """A process of one role."""

    @property
    def failed(self) -> bool:
        """Whether its tasks can't go on."""

    def start(self) -> None:
        """Start all tasks."""

    def stop(self) -> None:
        """Finish and end all tasks."""


def stop_this_process() -> None:
    """Begin a planned stop, as the platform's stop signal does."""
    signal.raise_signal(signal.SIGTERM)


def run_node(node: Node, role: str, name: str) -> int:
    """Run `node` until it is told to stop or has failed; return the exit code.

    Parameters
    ----------
    role, name : str
        Written in the logs.
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
