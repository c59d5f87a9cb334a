"""The registration of live processes: the terms of its lease, and its loss."""

import threading

import pytest

from platform_standins.rows import MemoryRows
from rows_fakes import wait_for
from wigeonfront.clock import ManualClock, SystemClock
from wigeonfront.coordination.membership import (
    DISK_PREFIX,
    ENTRY_PREFIX,
    IDLE_AFTER_SECONDS,
    IDLE_TERM_SECONDS,
    RENEWALS_PER_LEASE,
    Member,
    Presence,
    Registration,
    decode_member,
    renewal_pause,
)
from wigeonfront.coordination.rows import Absent, Row

TERM = 2.0


def row_of(rows, name="n1"):
    return rows.get(ENTRY_PREFIX + name)


@pytest.fixture
def rows():
    return MemoryRows()


@pytest.fixture
def running():
    stop = threading.Event()
    threads = []

    def run(registration):
        threads.append(threading.Thread(target=registration.run, args=(stop,)))
        threads[-1].start()
        wait_for(lambda: registration.registered)
        return registration

    yield run
    stop.set()
    for thread in threads:
        thread.join()


def make_registration(rows, clock=None, **options):
    options = {"term": TERM, "clock": clock or SystemClock()} | options
    return Registration(rows, "n1", "127.0.0.1:1", **options)


def test_process_is_registered_until_it_stops(rows):
    stop = threading.Event()
    registration = make_registration(rows, failure_domain="z1", cores=2.0)
    thread = threading.Thread(target=registration.run, args=(stop,))
    thread.start()
    wait_for(lambda: registration.registered)
    member = decode_member(row_of(rows))
    assert member == registration.member
    assert (member.name, member.failure_domain, member.cores) == ("n1", "z1", 2.0)
    registration.leave()
    assert decode_member(row_of(rows)).leaving
    stop.set()
    thread.join()
    assert isinstance(row_of(rows), Absent)


def test_an_announcement_that_the_store_refused_is_written_later(rows, running):
    # A process whose announcement was refused once got new work until it restarted.
    registration = running(make_registration(rows, term=0.3))
    rows.faults.down = True
    registration.leave()
    registration.set_refusing(True)
    rows.faults.down = False
    wait_for(
        lambda: isinstance(row_of(rows), Row) and decode_member(row_of(rows)).leaving
    )
    assert decode_member(row_of(rows)).refusing


def test_lasting_row_outlives_the_lease(rows, running):
    registration = running(make_registration(rows, lasting_prefix=DISK_PREFIX))
    rows.revoke_lease(registration._lease)
    assert isinstance(row_of(rows), Absent)
    row = rows.get(DISK_PREFIX + "n1")
    assert decode_member(row, DISK_PREFIX) == registration.member


def test_each_start_has_another_incarnation(rows):
    assert (
        make_registration(rows).member.incarnation
        != make_registration(rows).member.incarnation
    )


def test_lost_lease_is_followed_by_a_new_registration(rows, running):
    registered = []
    registration = running(
        make_registration(rows, term=0.3, on_registered=lambda: registered.append(True))
    )
    rows.revoke_lease(registration._lease)
    assert isinstance(row_of(rows), Absent)
    wait_for(lambda: isinstance(row_of(rows), Row))
    wait_for(lambda: len(registered) == 2)


def test_presence_lasts_as_long_as_the_lease_is_certainly_valid(rows):
    clock = ManualClock(100.0)
    registration = make_registration(rows, clock)
    assert registration.presence == Presence()
    registration._register()
    first = registration.presence
    assert first == Presence(rows.revision, 100.0 + TERM)
    clock.advance(1.0)
    registration._renew()
    assert registration.presence == Presence(first.since_revision, 101.0 + TERM)
    rows.faults.down = True
    registration._renew()
    assert registration.presence.until == 101.0 + TERM
    rows.faults.down = False
    # A new lease before the old one lapses: the row was never missing.
    registration._register()
    assert registration.presence == Presence(first.since_revision, 101.0 + TERM)
    # The old lease has lapsed, so the row may have been missing.
    clock.advance(TERM)
    registration._register()
    assert registration.presence == Presence(rows.revision, 103.0 + TERM)
    assert rows.revision > first.since_revision


def test_lost_lease_or_missing_row_ends_the_presence(rows):
    registration = make_registration(rows, ManualClock(100.0))
    registration._register()
    rows.revoke_lease(registration._lease)
    registration._renew()
    assert registration.presence == Presence()
    registration._register()
    registration.restore()
    assert registration.presence == Presence()


def test_row_found_missing_during_a_renewal_ends_the_presence(rows):
    registration = make_registration(rows, ManualClock(100.0))
    registration._register()
    renew_lease = rows.renew_lease

    def find_missing_and_renew(lease):
        registration.restore()
        return renew_lease(lease)

    rows.renew_lease = find_missing_and_renew
    registration._renew()
    assert registration.presence == Presence()


def test_missing_row_is_written_again_once_noticed(rows, running):
    registration = running(make_registration(rows, term=0.3))
    rows.write((), (), (ENTRY_PREFIX + "n1",))
    registration.restore()
    wait_for(lambda: isinstance(row_of(rows), Row))


def test_registration_is_retried_through_an_outage(rows):
    rows.faults.down = True
    stop = threading.Event()
    registration = make_registration(rows)
    thread = threading.Thread(target=registration.run, args=(stop,))
    thread.start()
    assert not registration.registered
    rows.faults.down = False
    wait_for(lambda: registration.registered)
    stop.set()
    thread.join()


def test_unregistered_idle_process_retries_at_the_busy_interval(rows):
    rows.faults.down = True
    pauses = []
    registration = make_registration(rows, busy=lambda: False)
    registration._wait = lambda stop, pause: (
        pauses.append(pause) or (len(pauses) == 20 and stop.set())
    )
    registration.run(threading.Event())
    assert max(pauses) == TERM / RENEWALS_PER_LEASE


def test_lease_gets_longer_after_a_long_time_without_work():
    clock = ManualClock(100.0)
    busy = [False]
    registration = make_registration(MemoryRows(), clock=clock, busy=lambda: busy[0])
    assert registration._wanted_term() == IDLE_TERM_SECONDS
    busy[0] = True
    assert registration._wanted_term() == TERM
    busy[0] = False
    clock.advance(IDLE_AFTER_SECONDS - 1)
    assert registration._wanted_term() == TERM
    clock.advance(1)
    assert registration._wanted_term() == IDLE_TERM_SECONDS


def test_process_that_gets_work_has_the_short_lease_at_once(rows, running):
    busy = [False]
    registration = running(make_registration(rows, busy=lambda: busy[0]))
    assert registration._term == IDLE_TERM_SECONDS
    busy[0] = True
    wait_for(lambda: registration._term == TERM, seconds=2.0)


@pytest.mark.parametrize(("term", "max_calls"), [(TERM, 12), (IDLE_TERM_SECONDS, 6)])
def test_outage_costs_few_calls_and_its_end_is_noticed_in_time(term, max_calls):
    """In an outage, hundreds of processes lose the store at the same moment."""
    elapsed, calls = 0.0, 0
    while elapsed < 6.0:
        calls += 1
        pause = renewal_pause(term, calls)
        assert pause <= term / RENEWALS_PER_LEASE
        elapsed += pause
    assert calls <= max_calls


def test_renewals_leave_two_attempts_to_spare():
    assert renewal_pause(TERM, 0) == TERM / RENEWALS_PER_LEASE
    assert renewal_pause(TERM, 10_000) == TERM / RENEWALS_PER_LEASE


@pytest.mark.parametrize("value", [b"", b"\xff", b"[]", b'{"incarnation": 1}'])
def test_malformed_row_is_no_member(value):
    assert decode_member(Row(ENTRY_PREFIX + "n1", value, 1)) is None


def test_row_with_unknown_and_missing_fields_is_read():
    value = b'{"incarnation": "i", "address": "a:1", "later": 1}'
    assert decode_member(Row(ENTRY_PREFIX + "n1", value, 1)) == Member("n1", "i", "a:1")
