"""Ports for processes and servers on loopback addresses."""

import socket
from contextlib import ExitStack

_drawn: set[tuple[str, int]] = set()


def free_ports(host: str, count: int) -> list[int]:
    """Return ports of `host` that are free now and were not returned before.

    The system may name a port twice until somebody listens on it.
    """
    found: list[int] = []
    with ExitStack() as held:
        while len(found) < count:
            probe = held.enter_context(socket.socket())
            probe.bind((host, 0))
            port = probe.getsockname()[1]
            if (host, port) not in _drawn:
                _drawn.add((host, port))
                found.append(port)
    return found


def free_port(host: str) -> int:
    """Return one port of `host` that is free now and was not returned before."""
    return free_ports(host, 1)[0]
