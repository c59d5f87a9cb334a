"""Tests of orders to engines by entries and sides, over real sockets.

They also cover the loss of an entry that gives orders.
"""

import itertools

import pytest

from deployed import Deployment
from platform_standins import deployment
from platform_standins.deployment import MODEL
from rows_fakes import wait_for
from wigeonfront.coordination import assignment


@pytest.fixture
def deployed():
    started = Deployment()
    yield started
    started.close()


@pytest.fixture
def quick_changes(monkeypatch):
    """Let holders count as missing, and changes take effect, within a second."""
    monkeypatch.setattr(assignment, "ABSENT_SECONDS", 0.5)
    monkeypatch.setattr(assignment, "FLIGHT_SECONDS", 0.2)
    monkeypatch.setattr(assignment, "TERM_SECONDS", 0.2)


def versions_of(deployed):
    return [engine.versions[MODEL] for engine in deployed.engines]


@pytest.mark.usefixtures("quick_changes")
def test_engines_without_a_side_follow_the_named_versions(deployed):
    """Also after the loss of the entry that ordered them; one holder at a time."""
    for name in ("n1", "n2", "n3"):
        deployed.add_entry(name)
    for version in (2, 3):
        deployment.name_version(deployed.rows, version)
        wait_for(lambda lowest=version - 1: min(versions_of(deployed)) >= lowest, 8.0)
    holders = {order.holder for engine in deployed.engines for order in engine.orders}
    for entry in deployed.entries:
        if entry._settings.name in holders:
            entry.close()
    for version in (4, 5, 6):
        deployment.name_version(deployed.rows, version)
    wait_for(lambda: min(versions_of(deployed)) >= 5, 15.0)
    for engine in deployed.engines:
        check_holders(engine)


def check_holders(engine):
    """Check that each change of holder raises the fencing token; return the holders."""
    orders = [(order.holder, order.fence) for order in engine.orders]
    for earlier, later in itertools.pairwise(orders):
        if earlier[0] != later[0]:
            assert earlier[1] < later[1]
    return {holder for holder, _ in orders}


@pytest.mark.usefixtures("quick_changes")
def test_a_side_orders_its_own_engine_and_entries_the_others(deployed):
    with_side, without_side = deployed.engines
    deployed.add_side("side-1", with_side)
    deployed.add_entry("n1")
    version = 1

    def ordered_by_side():
        nonlocal version
        version += 1
        deployment.name_version(deployed.rows, version)
        wait_for(lambda: min(versions_of(deployed)) >= version - 1, 10.0)
        return check_holders(with_side) >= {"side-1"}

    wait_for(ordered_by_side, 30.0)
    count = len(with_side.orders)
    for _ in range(4):
        ordered_by_side()
    later_holders = {order.holder for order in with_side.orders[count:]}
    assert later_holders == {"side-1"}
    assert check_holders(without_side) == {"n1"}
