"""Small parts that tests of the platform path share."""

import itertools
import os
import random
import time

from platform_standins.ports import free_port
from platform_standins.rows import MemoryRows
from wigeonfront.forwarding.forwarder import Forwarder
from wigeonfront.forwarding.guard import NO_GUARD
from wigeonfront.observability.metrics import Registry
from wigeonfront.rollout.lot import Lot, Sample
from wigeonfront.targets.table import TargetTable
from wigeonfront.usage.starts import StartLog

_hosts = itertools.count()


def _host(number):
    # Apart for each process: a port that was free may otherwise be taken, by another
    # process or as the near end of a connection, before the test listens on it.
    high, low = divmod(os.getpid(), 250)
    return f"127.{low + 1}.{high % 250 + 1}.{number}"


def loopback_host():
    """Return a loopback address that no other process uses, and no test beside."""
    return _host(next(_hosts) % 200 + 1)


def free_address():
    host = _host(250)
    return f"{host}:{free_port(host)}"


def wait_for(condition, seconds=5.0):
    """Wait until `condition` holds; fail the test if it never does."""
    deadline = time.monotonic() + seconds
    while time.monotonic() < deadline:
        found = condition()
        if found:
            return found
        time.sleep(0.01)
    raise AssertionError(f"not within {seconds} s")


def make_lot(id="lot-1", samples=3, **fields):
    made = tuple(
        Sample(f"{id}-s{n}", "/lots-in/x", (("X-A", "1"),), b"body%d" % n, f"g{n // 2}")
        for n in range(samples)
    )
    return Lot(id, "h.example", "/lots-in/", made, **fields)


def make_store():
    return MemoryRows()


def make_forwarder_by(exchange, clock, targets, failure_domain, guard=NO_GUARD):
    """Return a forwarder over `exchange`, with its targets and its metrics."""
    table = TargetTable(clock, random.Random(1))
    table.set_targets(targets)
    registry = Registry()
    forwarder = Forwarder(
        table,
        exchange,
        clock,
        random.Random(1),
        failure_domain,
        registry.counter("sends_total", "x", ("service", "outcome")),
        registry.histogram("send_seconds", "x", ("service",)),
        StartLog(clock),
        guard,
    )
    return forwarder, table, registry
