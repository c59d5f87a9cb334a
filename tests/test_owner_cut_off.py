"""An owner that is cut off from the store and may have been replaced."""

import pytest

from deployed import Deployment
from platform_standins.relay import Relay
from rows_fakes import loopback_host, wait_for
from test_entry_node import check_results, read, read_all, submit
from wigeonfront.http.encoding import parse_address


@pytest.fixture
def deployed():
    made = Deployment()
    yield made
    made.close()


def make_relay(deployed, host, port=0):
    return Relay((host, port), parse_address(deployed.store.address))


def cut_off(entry, relay):
    """Cut an entry off from the store and the others; its calls are refused at once."""
    entry._view.relays = lambda: []
    entry._view._sources = lambda: []
    relay.close()


def test_an_owner_that_does_not_know_of_its_replacement_shows_no_empty_page(deployed):
    """A trainer may have read results at the next owner."""
    relay = make_relay(deployed, loopback_host())
    host, port = relay.address
    owner = deployed.add_entry("n1", store=f"{host}:{port}")
    other = deployed.add_entry("n2")
    for engine in deployed.engines:
        engine.faults.event_seconds = 0.2
    submit(owner, "l1")
    wait_for(lambda: "l1" in other._lots.heads())
    cut_off(owner, relay)
    assert read(owner, "l1")[0] == 200
    page = read_all(other, "l1")
    check_results(deployed, page)
    assert read(owner, "l1")[0] == 503
    relay = make_relay(deployed, host, port)
    assert read_all(owner, "l1") == page
    relay.close()
