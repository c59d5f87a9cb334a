"""Which requests are quarantined, and how entries share the crashes they saw."""

import random
import threading
from contextlib import ExitStack

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    precondition,
    rule,
)

from rows_fakes import make_forwarder_by, make_store, wait_for
from wigeonfront.clock import ManualClock
from wigeonfront.configuration import Route, RouteKind, ServiceShare
from wigeonfront.coordination.rows import Row
from wigeonfront.forwarding import Answered, ForwardRequest
from wigeonfront.forwarding.fingerprint import fingerprint
from wigeonfront.forwarding.steps import ReturnAnswer
from wigeonfront.observability.metrics import Registry
from wigeonfront.quarantine import (
    CRASH_PREFIX,
    Crash,
    CrashGuard,
    CrashLedger,
    CrashWriter,
    quarantine_end,
)
from wigeonfront.quarantine.policy import (
    ACCEPTED_PAUSE_SECONDS,
    CRASHES_TO_ISOLATE,
    accepted_pause,
    expires_at,
    needs_isolation,
)
from wigeonfront.quarantine.record import decode_crash, encode_crash
from wigeonfront.targets.table import TargetTable
from wigeonfront.targets.target import Target

HOUR = 3600.0
FIRST = 600.0
REQUEST = ForwardRequest("r1", "POST", "/a?x=1", (("Host", "h"),), b"in", True, "acc")
AGAIN = ForwardRequest("r2", "POST", "/a?x=1", (("Host", "h"),), b"in", True, "acc")
OTHER = ForwardRequest("r3", "POST", "/a?x=1", (("Host", "h"),), b"no", True, "acc")


def crashes_at(*times):
    """Return a crash of a new target at each time, 0.5 s after its request was sent."""
    return [Crash("f", f"i-{n}", at - 0.5, at) for n, at in enumerate(times)]


@pytest.mark.parametrize(
    ("crashes", "end"),
    [
        (crashes_at(), 0.0),
        (crashes_at(100.0), 0.0),
        (crashes_at(100.0, 200.0), 0.0),
        (crashes_at(100.0, 300.0, 200.0), 300.0 + FIRST),
        (crashes_at(1.0, 2.0, 3.0, 4.0), 4.0 + HOUR),
        (crashes_at(*range(5)), 4.0 + 6 * HOUR),
        (crashes_at(*range(6)), 5.0 + 24 * HOUR),
        (crashes_at(*range(2000)), 1999.0 + 24 * HOUR),
        # A whole service crashes at once while the request runs at all of its targets.
        (crashes_at(5.0, 5.1, 5.2, 5.3), 0.0),
        # It crashes one target, and two others that run it at the same time.
        (crashes_at(5.0, 6.0, 6.1), 6.1 + FIRST),
        (crashes_at(5.0, 5.1, 6.0), 6.0 + FIRST),
    ],
)
def test_end_of_the_quarantine_after_crashes(crashes, end):
    assert quarantine_end(crashes) == end


BURSTS = [n // 3 * 2.0 + n % 3 * 0.1 for n in range(10)]
ONE_BY_ONE = [n * 3.0 for n in range(10)]


@pytest.mark.parametrize("times", [BURSTS, ONE_BY_ONE, range(500)])
def test_accepted_work_is_sent_again_seconds_after_its_last_crash(times):
    crashes = crashes_at(*times)
    last = max(times)
    assert quarantine_end(crashes) > last + HOUR
    assert accepted_pause(crashes, last) == ACCEPTED_PAUSE_SECONDS
    assert accepted_pause(crashes, last + ACCEPTED_PAUSE_SECONDS) == 0.0


@pytest.mark.parametrize(
    ("ahead", "longest"), [(1.0, ACCEPTED_PAUSE_SECONDS), (HOUR, 0.0), (-HOUR, 0.0)]
)
def test_a_wrong_clock_of_another_entry_holds_no_accepted_work_back(ahead, longest):
    crashes = crashes_at(*(time + ahead for time in BURSTS))
    assert accepted_pause(crashes, max(BURSTS)) == longest


@pytest.mark.parametrize(
    ("crashes", "isolated"),
    [
        (crashes_at(*range(CRASHES_TO_ISOLATE - 1)), False),
        (crashes_at(*range(CRASHES_TO_ISOLATE)), True),
        # All at one moment.
        (crashes_at(*[5.0 + n / 100 for n in range(10)]), False),
    ],
)
def test_when_accepted_work_is_isolated(crashes, isolated):
    assert needs_isolation(crashes) is isolated


@pytest.mark.parametrize(
    ("crashes", "at"),
    [
        (crashes_at(100.0), 100.0 + HOUR),
        (crashes_at(1.0, 2.0, 3.0), 3.0 + FIRST + HOUR),
    ],
)
def test_crashes_are_kept_beyond_the_quarantine(crashes, at):
    assert expires_at(crashes) == at


# --- rows ------------------------------------------------------------------------


def test_a_crash_survives_encoding_and_decoding():
    crash = Crash("f" * 32, "i-1@7", 12.0, 12.5, "desk", "acc", "POST h/a")
    assert crash.key == f"live/crash/{'f' * 32}/i-1@7"
    assert decode_crash(Row(crash.key, encode_crash(crash), 3)) == crash


@pytest.mark.parametrize(
    ("key", "value"),
    [
        (f"{CRASH_PREFIX}f/i-1", b""),
        (f"{CRASH_PREFIX}f/i-1", b"\xff"),
        (f"{CRASH_PREFIX}f/i-1", b"[]"),
        (f"{CRASH_PREFIX}f/i-1", b'{"sent_at":1,"at":"now"}'),
        (f"{CRASH_PREFIX}f/i-1", b'{"at":1}'),
        (f"{CRASH_PREFIX}f", b'{"sent_at":1,"at":1}'),
        (f"{CRASH_PREFIX}/i-1", b'{"sent_at":1,"at":1}'),
    ],
)
def test_malformed_rows_are_logged_once_and_skipped(caplog, key, value):
    caplog.set_level("INFO")
    ledger = CrashLedger()
    for revision in (5, 6):
        ledger.update({key: Row(key, value, 5)}, revision)
    assert ledger.empty
    assert (
        len([record for record in caplog.records if "bad_row" in record.message]) == 1
    )


# --- the ledger ------------------------------------------------------------------


def crash(number, at=0.0, digest="f"):
    return Crash(digest, f"i-{number}", at - 0.5, at)


def rows_of(*crashes):
    return {crash.key: Row(crash.key, encode_crash(crash), 1) for crash in crashes}


def test_own_crashes_count_until_newer_rows_are_read():
    ledger = CrashLedger()
    ledger.add(crash(1))
    ledger.update(rows_of(crash(2)), 10)
    assert len(ledger.crashes("f")) == 2
    ledger.mark_written(ledger.wait_pending(16, 0.0), 12)
    ledger.update(rows_of(crash(2)), 11)
    assert len(ledger.crashes("f")) == 2
    ledger.update(rows_of(crash(2)), 12)
    assert ledger.crashes("f") == [crash(2)]


def test_a_crash_cleared_during_its_write_stays_cleared():
    ledger = CrashLedger()
    ledger.add(crash(1))
    writing = ledger.wait_pending(16, 0.0)
    assert ledger.clear("f")
    ledger.mark_written(writing, 5)
    ledger.update(rows_of(crash(1)), 5)
    assert ledger.empty
    assert [change.crash for change in ledger.wait_pending(16, 0.0)] == [None]


def test_only_expired_crashes_are_removed():
    ledger = CrashLedger()
    old, new = crash(1, at=0.0, digest="old"), crash(2, at=HOUR, digest="new")
    ledger.update(rows_of(old, new), 1)
    ledger.clear_expired(HOUR + 1)
    assert ledger.fingerprints() == ["new"]


class LedgerMachine(RuleBasedStateMachine):
    """Three entries share one store; writes may fail, be lost or be read late."""

    def __init__(self):
        super().__init__()
        self.store = make_store()
        self.clock = ManualClock(1000.0)
        self.ledgers = [CrashLedger() for _ in range(3)]
        self.writers = [
            CrashWriter(ledger, self.store, lambda: False, self.clock)
            for ledger in self.ledgers
        ]
        self.found = set()
        self.answered = False

    @rule(entry=st.integers(0, 2), number=st.integers(0, 4))
    def add_crash(self, entry, number):
        self.ledgers[entry].add(crash(number))
        self.found.add(number)

    @rule(entry=st.integers(0, 2))
    def write(self, entry):
        due = self.ledgers[entry].wait_pending(16, 0.0)
        if due:
            self.writers[entry].write(due)

    @rule(entry=st.integers(0, 2))
    def read(self, entry):
        listing = self.store.list(CRASH_PREFIX)
        rows = {row.key: row for row in getattr(listing, "rows", ())}
        if hasattr(listing, "rows"):
            self.ledgers[entry].update(rows, listing.revision)

    @rule(count=st.integers(1, 3), done=st.booleans())
    def lose_writes(self, count, done):
        self.store.faults.lose_writes = count
        self.store.faults.apply_lost_writes = done

    @rule()
    def toggle_outage(self):
        self.store.faults.down = not self.store.faults.down

    @precondition(lambda self: not self.answered)
    @rule(entry=st.integers(0, 2))
    def an_entry_knows_its_own_crashes(self, entry):
        own = {change.key for change in self.ledgers[entry].wait_pending(99, 0.0)}
        assert own <= {crash.key for crash in self.ledgers[entry].crashes("f")}

    @rule(entry=st.integers(0, 2))
    def clear(self, entry):
        self.ledgers[entry].clear("f")
        assert self.ledgers[entry].crashes("f") == []
        self.answered = True

    @invariant()
    def ledgers_hold_only_added_crashes(self):
        for ledger in self.ledgers:
            assert {crash.target for crash in ledger.crashes("f")} <= {
                f"i-{number}" for number in self.found
            }

    def teardown(self):
        """Once the store is up and all have written and read, the ledgers agree."""
        self.store.faults.down = False
        self.store.faults.lose_writes = 0
        for entry in range(3):
            self.write(entry)
        for entry in range(3):
            self.read(entry)
        known = [
            {crash.target for crash in ledger.crashes("f")} for ledger in self.ledgers
        ]
        assert known[0] == known[1] == known[2]
        if not self.answered:
            assert known[0] == {f"i-{number}" for number in self.found}


TestLedgerMachine = LedgerMachine.TestCase
TestLedgerMachine.settings = settings(max_examples=80, deadline=None)


# --- the writer ------------------------------------------------------------------


def test_an_entry_with_a_stale_mirror_reads_other_crashes_when_it_writes():
    store = make_store()
    first, behind = CrashLedger(), CrashLedger()
    for ledger, number in ((first, 1), (behind, 2)):
        ledger.add(crash(number))
        writer = CrashWriter(ledger, store, lambda: False, ManualClock())
        writer.write(ledger.wait_pending(16, 0.0))
    assert [crash.target for crash in behind.crashes("f")] == ["i-1", "i-2"]
    behind.update({}, 0)
    assert len(behind.crashes("f")) == 2


def test_a_crash_is_written_before_its_request_is_retried():
    """An entry retries at once, so the crash must have been written by then."""
    store, ledger, stop = make_store(), CrashLedger(), threading.Event()
    others = CrashLedger()
    for number in (1, 2):
        others.add(crash(number, at=990.0 + number, digest=fingerprint(REQUEST)))
    writer = CrashWriter(others, store, lambda: False, ManualClock())
    writer.write(others.wait_pending(16, 0.0))
    writer = CrashWriter(ledger, store, lambda: False, ManualClock())
    task = threading.Thread(target=writer.run, args=(stop,), daemon=True)
    task.start()
    guarded = Guarded(ledger)
    guarded.crash(3)
    assert guarded.guard.blocked_for(REQUEST) == FIRST
    stop.set()
    task.join(2)


def test_crashes_are_written_after_an_outage_of_the_store():
    store, ledger = make_store(), CrashLedger()
    store.faults.down = True
    stop = threading.Event()
    writer = CrashWriter(ledger, store, lambda: False, ManualClock())
    task = threading.Thread(target=writer.run, args=(stop,), daemon=True)
    task.start()
    for number in range(20):
        ledger.add(crash(number))
    threading.Timer(0.3, setattr, (store.faults, "down", False)).start()
    wait_for(lambda: len(getattr(store.list(CRASH_PREFIX), "rows", ())) == 20, 3.0)
    stop.set()
    task.join(2)


@pytest.mark.parametrize(("is_leader", "rows_left"), [(True, 0), (False, 1)])
def test_only_the_leading_entry_removes_expired_rows(is_leader, rows_left):
    store, ledger, clock = make_store(), CrashLedger(), ManualClock(10.0)
    writer = CrashWriter(ledger, store, lambda: is_leader, clock)
    ledger.add(crash(1, at=10.0))
    writer.write(ledger.wait_pending(16, 0.0))
    clock.advance(HOUR + 60.0)
    writer._clear_expired()
    changes = ledger.wait_pending(16, 0.0)
    if changes:
        writer.write(changes)
    assert len(store.list(CRASH_PREFIX).rows) == rows_left


# --- the guard -------------------------------------------------------------------


class Guarded:
    """A guard over a table of targets, some of which have ended."""

    def __init__(self, ledger=None):
        self.clock = ManualClock(1000.0)
        self.ledger = ledger or CrashLedger()
        self.table = TargetTable(self.clock, random.Random(1))
        self.ended = set()
        self.guard = CrashGuard(
            self.ledger,
            self.table,
            self.clock,
            Registry(),
            lambda address: address in self.ended,
        )
        self.targets = [
            Target(f"i-{n}", "desk", f"10.0.0.{n}:1", "z", 4) for n in range(5)
        ]
        self.table.set_targets(self.targets)

    def crash(self, number, request=REQUEST):
        target = self.targets[number]
        self.ended.add(target.address)
        self.clock.advance(1.0)
        self.guard.connection_lost(request, target, 0.5)


def test_a_request_that_crashed_three_targets_is_blocked_under_any_id():
    guarded = Guarded()
    for number, blocked in ((0, False), (1, False), (2, True)):
        guarded.crash(number)
        assert bool(guarded.guard.blocked_for(AGAIN)) is blocked
    assert guarded.guard.blocked_for(AGAIN) == FIRST
    assert guarded.guard.blocked_for(OTHER) == 0.0
    guarded.clock.advance(FIRST)
    assert guarded.guard.blocked_for(AGAIN) == 0.0


def test_repeated_crashes_of_one_target_count_once():
    guarded = Guarded()
    for _ in range(5):
        guarded.crash(0)
    assert guarded.guard.blocked_for(REQUEST) == 0.0


def test_a_lost_connection_to_a_live_target_is_no_crash():
    guarded = Guarded()
    for target in guarded.targets:
        guarded.guard.connection_lost(REQUEST, target, 0.5)
    guarded.clock.advance(60.0)
    assert guarded.ledger.empty


def test_a_draining_target_that_ends_has_not_crashed():
    guarded = Guarded()
    leaving = [
        Target(target.id, target.service, target.address, "z", 4, draining=True)
        for target in guarded.targets
    ]
    guarded.table.set_targets(leaving)
    for number in range(5):
        guarded.crash(number)
    assert guarded.ledger.empty


@pytest.mark.parametrize(
    ("replaced_after", "counts"), [(-1.0, True), (0.0, True), (4.0, True), (6.0, False)]
)
def test_a_target_that_is_replaced_soon_has_crashed(replaced_after, counts):
    """The next incarnation takes over its port, so connections are not refused."""
    guarded = Guarded()
    if replaced_after < 0:
        guarded.guard.target_replaced("i-0")
        guarded.clock.advance(-replaced_after)
    guarded.guard.connection_lost(REQUEST, guarded.targets[0], 0.5)
    guarded.clock.advance(max(0.0, replaced_after))
    if replaced_after >= 0:
        guarded.guard.target_replaced("i-0")
    assert guarded.ledger.empty is not counts


def test_other_requests_avoid_the_target_of_a_suspect():
    guarded = Guarded()
    first, second = guarded.targets[1:3]
    guarded.crash(0)
    with guarded.guard.running(OTHER, second):
        assert not guarded.guard.targets_to_avoid(REQUEST)
    with guarded.guard.running(REQUEST, first):
        assert guarded.guard.targets_to_avoid(OTHER) == {"i-1"}
        assert not guarded.guard.targets_to_avoid(AGAIN)
        with guarded.guard.running(AGAIN, first):
            pass
        assert guarded.guard.targets_to_avoid(OTHER) == {"i-1"}
    assert not guarded.guard.targets_to_avoid(OTHER)


def after_many_crashes(*requests):
    """Return a guard that knows enough crashes of each request to isolate it."""
    guarded = Guarded()
    for request in requests:
        for n in range(CRASHES_TO_ISOLATE):
            at = 900.0 + n
            crash = Crash(fingerprint(request), f"old-{n}", at - 0.5, at)
            guarded.ledger.add(crash)
    return guarded


def test_isolated_requests_run_one_at_a_time_until_one_runs_without_a_crash():
    guarded = after_many_crashes(REQUEST, OTHER)
    guard, (target, second, *_) = guarded.guard, guarded.targets
    first, other = (
        guard.accepted_run(REQUEST, target),
        guard.accepted_run(OTHER, second),
    )
    with first as first_blocked, other as other_blocked:
        assert (first_blocked, other_blocked > 0) == (0.0, True)
    with guard.accepted_run(OTHER, second) as blocked:
        assert blocked == 0.0
        with guard.accepted_run(REQUEST, target) as blocked:
            assert blocked == 0.0


def test_a_crash_of_an_isolated_request_does_not_count_against_others_beside_it():
    guarded = after_many_crashes(REQUEST)
    target = guarded.targets[0]
    with guarded.guard.accepted_run(REQUEST, target):
        guarded.crash(0, OTHER)
        guarded.crash(0, REQUEST)
    guarded.guard.connection_lost(OTHER, target, 0.5)
    assert not guarded.ledger.crashes(fingerprint(OTHER))
    assert len(guarded.ledger.crashes(fingerprint(REQUEST))) == CRASHES_TO_ISOLATE + 1
    # A later crash, without an isolated request, counts.
    guarded.crash(1, OTHER)
    assert guarded.ledger.crashes(fingerprint(OTHER))


def test_a_crash_limits_isolated_requests_to_one_again():
    guarded = after_many_crashes(REQUEST, OTHER)
    guard, (target, second, *_) = guarded.guard, guarded.targets
    for crashed in (False, True):
        with guard.accepted_run(REQUEST, target):
            if crashed:
                guarded.crash(0, REQUEST)
        guarded.clock.advance(ACCEPTED_PAUSE_SECONDS)
    with guard.accepted_run(REQUEST, target) as blocked:
        assert blocked == 0.0
        with guard.accepted_run(OTHER, second) as blocked:
            assert blocked > 0.0


class RecordingExchange:
    """Answers each send, and records its target and the targets that others avoid."""

    def __init__(self, guard):
        self.guard = guard
        self.sent = []
        self.avoided = []

    def send(self, request, target, *others):
        self.sent.append(target.id)
        self.avoided.append(set(self.guard.targets_to_avoid(OTHER)))
        return Answered(200, (), b"")


ROUTE = Route(
    "r", "h", "/", RouteKind.IDEMPOTENT, (ServiceShare("desk", 1.0),), 1.0, 0.2, 2
)


@pytest.mark.parametrize(
    ("suspect_targets", "chosen"),
    [([], "i-0"), (["i-0"], "i-1"), (["i-0", "i-1"], "i-0")],
)
def test_targets_without_a_suspect_are_preferred(suspect_targets, chosen):
    guarded = Guarded()
    guarded.crash(4)
    exchange = RecordingExchange(guarded.guard)
    forwarder, _, _ = make_forwarder_by(
        exchange, guarded.clock, guarded.targets[:2], "z", guarded.guard
    )
    with ExitStack() as stack:
        for target in guarded.targets:
            if target.id in suspect_targets:
                stack.enter_context(guarded.guard.running(REQUEST, target))
        until = guarded.clock.monotonic() + 1.0
        assert isinstance(forwarder.forward(OTHER, ROUTE, until, None), ReturnAnswer)
    assert exchange.sent == [chosen]


def test_other_requests_avoid_the_target_of_a_forwarded_suspect():
    guarded = Guarded()
    guarded.crash(4)
    exchange = RecordingExchange(guarded.guard)
    forwarder, _, _ = make_forwarder_by(
        exchange, guarded.clock, guarded.targets[:2], "z", guarded.guard
    )
    forwarder.forward(REQUEST, ROUTE, guarded.clock.monotonic() + 1.0, None)
    assert exchange.avoided == [{"i-0"}]
    assert not guarded.guard.targets_to_avoid(OTHER)


def test_an_answer_clears_the_crashes_of_its_request():
    guarded = Guarded()
    for number in range(2):
        guarded.crash(number)
    guarded.guard.answered(OTHER)
    assert len(guarded.ledger.crashes(fingerprint(REQUEST))) == 2
    guarded.guard.answered(AGAIN)
    assert guarded.ledger.empty


def test_the_query_is_left_out_of_the_recorded_request():
    guarded = Guarded()
    guarded.crash(0)
    (found,) = guarded.ledger.crashes(fingerprint(REQUEST))
    assert (found.request, found.account, found.service) == ("POST h/a", "acc", "desk")
