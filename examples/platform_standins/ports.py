"""Free ports for processes and servers on loopback addresses."""

import socket
from contextlib import ExitStack

_returned: set[tuple[str, int]] = set()


def free_ports(host: str, count: int) -> list[int]:
    """Return `count` ports of `host` that are free now and were not returned before.

    The operating system may give out a port again as long as nobody listens on it, so
    the ports that were returned are remembered.
    """
    ports: list[int] = []
    with ExitStack() as probes:
        while len(ports) < count:
            probe = probes.enter_context(socket.socket())
            probe.bind((host, 0))
            port = probe.getsockname()[1]
            if (host, port) not in _returned:
                _returned.add((host, port))
                ports.append(port)
    return ports


def free_port(host: str) -> int:
    """Return a port of `host` that is free now and was not returned before."""
    return free_ports(host, 1)[0]
