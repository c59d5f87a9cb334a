"""Store calls through relays, the platform's store adapter, and the count of calls."""

import random

import pytest

from platform_standins.server import StandInServer
from platform_standins.store import StoreServer
from rows_fakes import free_address, make_store, wait_for
from wigeonfront.clock import ManualClock, SystemClock
from wigeonfront.coordination.meter import MeteredStore
from wigeonfront.coordination.relay import RelayServer, RoutedStore
from wigeonfront.coordination.rows import (
    Absent,
    Expect,
    Lease,
    LeaseLost,
    Mismatch,
    Put,
    Stored,
    Unavailable,
    Uncertain,
)
from wigeonfront.observability.metrics import Registry
from wigeonfront.platform.metadata_store import MetadataStore


class FailingStore:
    """A store each of whose calls has the same outcome."""

    def __init__(self, outcome):
        self.outcome = outcome
        self.calls = 0

    def _answer(self, *arguments):
        self.calls += 1
        return self.outcome

    get = list = watch = write = grant_lease = renew_lease = revoke_lease = _answer


def serve(answer):
    server = StandInServer(free_address(), answer, 10)
    server.start()
    return server.address, server


@pytest.fixture
def relay():
    store = make_store()
    address, server = serve(RelayServer(make_routed(store)).answer)
    yield store, address
    server.stop()


def make_routed(direct, *addresses, clock=None):
    return RoutedStore(
        direct, lambda: addresses, clock or SystemClock(), random.Random(1)
    )


def test_all_calls_use_a_relay_while_direct_calls_fail(relay):
    _, address = relay
    routed = make_routed(FailingStore(Unavailable("status 503")), address)
    written = routed.write((Expect("a", 0),), (Put("a", b"\x00\xff"),))
    assert isinstance(written, Stored)
    assert routed.get("a").value == b"\x00\xff"
    assert routed.get("b") == Absent(1)
    assert [row.key for row in routed.list("").rows] == ["a"]
    assert routed.watch("", 0, 0.1).changes[0].value == b"\x00\xff"
    assert isinstance(routed.write((Expect("a", 0),)), Mismatch)
    lease = routed.grant_lease(5.0)
    assert isinstance(lease, Lease)
    assert routed.renew_lease(lease.lease) == lease
    assert isinstance(routed.revoke_lease(lease.lease), Stored)
    assert routed.renew_lease(lease.lease) == LeaseLost(lease.lease)


def test_direct_calls_are_tried_again_after_a_pause(relay):
    _, address = relay
    clock = ManualClock()
    direct = FailingStore(Unavailable("x"))
    routed = make_routed(direct, address, clock=clock)
    for _ in range(5):
        routed.get("a")
    assert direct.calls == 1
    assert routed.direct_failing
    clock.advance(1.5)
    direct.outcome = Absent(7)
    assert routed.get("a") == Absent(7)
    assert not routed.direct_failing


@pytest.mark.parametrize("addresses", [0, 1])
def test_write_that_no_process_made_is_unavailable(relay, addresses):
    store, address = relay
    store.faults.down = True
    routed = make_routed(FailingStore(Unavailable("x")), *[address][:addresses])
    assert isinstance(routed.write((), (Put("a", b"1"),)), Unavailable)


def test_write_in_doubt_stays_in_doubt(relay):
    _, address = relay
    routed = make_routed(FailingStore(Uncertain("cut")), address)
    assert isinstance(routed.write((), (Put("a", b"1"),)), Uncertain)

    def abort(call):
        call.abort()

    address, server = serve(abort)
    routed = make_routed(FailingStore(Unavailable("x")), address)
    assert isinstance(routed.write((), (Put("a", b"1"),)), Uncertain)
    assert isinstance(routed.get("a"), Unavailable)
    server.stop()


@pytest.fixture
def served():
    rows = make_store()
    address = free_address()
    server = StoreServer(address, rows)
    server.start()
    client = MetadataStore(address)
    yield rows, client
    client.close()
    server.stop()


def test_adapter_implements_the_protocol_of_the_store(served):
    rows, client = served
    assert client.get("k") == Absent(0)
    written = client.write((Expect("k", 0),), (Put("k", b"\x00v"),))
    assert isinstance(written, Stored)
    assert client.get("k").value == b"\x00v"
    assert client.write((Expect("k", 0),)) == Mismatch({"k": written.revision})
    lease = client.grant_lease(30.0)
    leased = client.write((), (Put("l", b"x", lease.lease),))
    assert isinstance(leased, Stored)
    assert client.write((), (Put("m", b"x", 999),)) == LeaseLost(999)
    assert isinstance(client.revoke_lease(lease.lease), Stored)
    assert isinstance(client.get("l"), Absent)
    changes = client.watch("", 0, 0.1).changes
    assert [(change.key, change.value) for change in changes] == [
        ("k", b"\x00v"),
        ("l", b"x"),
        ("l", None),
    ]
    rows.compact()
    assert client.watch("", 0, 0.1).compacted


def test_adapter_distinguishes_refused_writes_from_lost_answers(served):
    rows, client = served
    rows.faults.down = True
    assert isinstance(client.write((), (Put("a", b"1"),)), Unavailable)
    rows.faults.down = False
    rows.faults.lose_writes = 1
    assert isinstance(client.write((), (Put("a", b"1"),)), Uncertain)
    wait_for(lambda: client.get("a") != Absent(0))


def test_calls_are_counted_by_call_and_rows():
    registry = Registry()
    store = MeteredStore(make_store(), registry)
    store.get("live/lot/x")
    store.write((), (Put("lot-results/x/0", b"1"),))
    store.list("op/", stale=True)
    assert store.totals() == "get:live=1,stale_list:op=1,write:lot-results=1"


def test_a_relay_that_is_cut_off_answers_without_calling_the_store():
    direct = FailingStore(Unavailable("ReadTimeoutError"))
    cut_off = make_routed(direct)
    cut_off.get("a")
    address, server = serve(RelayServer(cut_off).answer)
    good = make_store()
    good.put("a", b"1")
    other, second = serve(RelayServer(make_routed(good)).answer)
    for seed in range(8):
        routed = RoutedStore(
            FailingStore(Unavailable("x")),
            lambda: (address, other),
            SystemClock(),
            random.Random(seed),
        )
        assert routed.get("a").value == b"1"
    assert direct.calls == 1
    server.stop()
    second.stop()
