"""Helpers that the tests of several parts share."""

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
    # Each process uses other addresses. Otherwise a free port may be taken before the
    # test listens on it, by another process or as the local port of a connection.
    high, low = divmod(os.getpid(), 250)
    return f"127.{low + 1}.{high % 250 + 1}.{number}"


def loopback_host():
    """Return a loopback address that no other process or concurrent test uses."""
    return _host(next(_hosts) % 200 + 1)


def free_address():
    host = _host(250)
    return f"{host}:{free_port(host)}"


def wait_for(condition, seconds=5.0):
    """Return the true result of `condition` once it holds; fail after `seconds`."""
    deadline = time.monotonic() + seconds
    while time.monotonic() < deadline:
        result = condition()
        if result:
            return result
        time.sleep(0.01)
    raise AssertionError(f"the condition did not hold within {seconds} s")


def make_lot(id="lot-1", samples=3, **fields):
    lot_samples = tuple(
        Sample(f"{id}-s{n}", "/lots-in/x", (("X-A", "1"),), b"body%d" % n, f"g{n // 2}")
        for n in range(samples)
    )
    return Lot(id, "h.example", "/lots-in/", lot_samples, **fields)


def make_store():
    return MemoryRows()


def make_forwarder_by(exchange, clock, targets, failure_domain, guard=NO_GUARD):
    """Return a forwarder over `exchange`, its target table and its metrics."""
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
