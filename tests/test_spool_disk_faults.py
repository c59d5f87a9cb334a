"""Tests of the spool on a disk that refuses single operations, or loses power.

They guard against a disk that one refused write puts out of use until its process
restarts, and against items that count although the disk lacks them.
"""

import threading

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from spool_disks import FAULTS, POWER_LOSSES, FaultyDisk
from wigeonfront.clock import ManualClock
from wigeonfront.spool.calls import (
    Append,
    Done,
    Fenced,
    Forget,
    Gap,
    Held,
    Refused,
    Seal,
)
from wigeonfront.spool.contents import SpoolContents
from wigeonfront.spool.file import (
    BUSY_SECONDS,
    MAX_RECOVERY_PAUSE_SECONDS,
    MIN_RECOVERY_PAUSE_SECONDS,
    RETENTION_SECONDS,
    SpoolFile,
    recovery_pause,
)

RESTART, SHORTEN = "restart", "shorten"
EXPIRED = "expired"
"""Key that has not changed for long, so that the file is rewritten without it."""

HISTORY = [
    ("append", "lot-1", 5, 0, 0, (b"a", b"b")),
    ("append", "submission/lot-2", 0, 0, 0, (b"lot",)),
    ("append", "lot-1", 5, 0, 2, (b"c",)),
    ("seal", "lot-1", 7),
    ("append", "lot-1", 5, 0, 3, (b"d",)),
    ("append", "lot-1", 7, 0, 0, (b"a", b"b", b"c", b"x")),
    RESTART,
    ("forget", "lot-1", 7, 2),
    SHORTEN,
    ("append", "lot-1", 7, 2, 4, (b"y",)),
    ("forget", "submission/lot-2", 0, 1),
]


def call_of(step, disk):
    kind, *arguments = step
    return {"append": Append, "seal": Seal, "forget": Forget}[kind](disk, *arguments)


def contents_after(calls):
    contents = SpoolContents()
    for call in calls:
        contents.apply(call, 0.0)
    return state_of(contents)


def state_of(contents):
    """Return the calls that reproduce the contents, but for the expired key."""
    calls = sorted(contents.snapshot_calls("d"), key=lambda call: call.key)
    return [call for call in calls if call.key != EXPIRED]


class Run:
    """A history of calls to one disk, and the calls that were acknowledged."""

    def __init__(self, failing=None):
        self.disk = FaultyDisk(failing)
        self.clock = ManualClock(1.0)
        self.acknowledged = []
        # A refused call that the file may still have, until the file is repaired.
        self.in_doubt = None
        self.id = ""
        self.open()

    def open(self):
        self.file = SpoolFile(None, self.clock, self.disk)
        self.note_id()

    def note_id(self):
        if self.id and self.file.disk:
            assert self.file.disk == self.id
        self.id = self.id or self.file.disk

    def perform(self, step):
        """Perform a step of a history; return whether the disk let it."""
        if step == RESTART:
            self.restart()
        elif step == SHORTEN:
            self.clock.advance(RETENTION_SECONDS + 1)
            self.keep_all_but_one_key()
            self.file.upkeep()
        else:
            return self.send(call_of(step, self.id))
        return self.file.failure is None

    def keep_all_but_one_key(self):
        for spooled in self.file._contents._keys.values():
            spooled.touched_at = self.clock.monotonic()
        self.file._contents.apply(Seal(self.id, EXPIRED, 1), 0.0)

    def send(self, call):
        answer = self.file.apply(call)
        if isinstance(answer, Done | Held):
            assert self.file.failure is None
            self.acknowledged.append(call)
        elif isinstance(answer, Refused) and self.in_doubt is None:
            self.in_doubt = call
        return not isinstance(answer, Refused)

    def recover(self):
        read_before = self.is_read()
        self.file.recover()
        self.note_id()
        if not read_before:
            self.check_after_restart()
        if self.file.failure is None:
            self.in_doubt = None

    def is_read(self):
        return self.file.item_count is not None

    def restart(self):
        """End the process without its knowledge, and start it again."""
        self.open()
        self.check_after_restart()

    def lose_power(self, data, names):
        self.disk.lose_power(data, names)
        self.restart()

    def check(self):
        """The memory has what was acknowledged, and nothing that was refused."""
        assert state_of(self.file._contents) == contents_after(self.acknowledged)

    def check_after_restart(self):
        if not self.is_read():
            return
        found = state_of(self.file._contents)
        if found != contents_after(self.acknowledged):
            assert self.in_doubt is not None
            self.acknowledged.append(self.in_doubt)
            assert found == contents_after(self.acknowledged)
        self.in_doubt = None


def operations():
    """Return the names of all operations of the history, and of a recovery after it."""
    run = Run()
    for step in HISTORY:
        run.perform(step)
    run.check()
    return list(run.disk.performed)


CASES = [
    pytest.param(number, done, id=f"{number}-{operation}-{done}-done")
    for number, operation in enumerate(operations())
    for done in FAULTS[operation]
]
AFTERMATHS = [
    pytest.param((), id="goes on"),
    pytest.param(("kill",), id="killed"),
    *(pytest.param(loss, id="-".join(loss)) for loss in POWER_LOSSES),
]


@pytest.mark.parametrize("aftermath", AFTERMATHS)
@pytest.mark.parametrize(("number", "done"), CASES)
def test_one_failed_operation_costs_no_acknowledged_record(number, done, aftermath):
    run = Run({number: done})
    for step in HISTORY:
        had_failed = run.disk.has_failed
        performed = run.perform(step)
        if run.disk.has_failed and not had_failed and aftermath:
            run.restart() if aftermath == ("kill",) else run.lose_power(*aftermath)
        while run.file.failure is not None:
            run.recover()
        run.check()
        if not performed and not isinstance(step, str):
            assert run.perform(step)
    assert run.disk.has_failed
    run.check()
    for loss in POWER_LOSSES:
        run.lose_power(*loss)
        run.check()


@pytest.mark.parametrize("aftermath", AFTERMATHS)
def test_a_disk_that_stays_full_recovers_once_it_has_room(aftermath):
    run = Run()
    assert run.perform(HISTORY[0])
    run.disk.full = True
    refused = Append(run.id, "lot-1", 5, 0, 2, (b"refused",))
    for _ in range(3):
        assert not run.send(refused)
        assert not run.send(Seal(run.id, "lot-1", 9))
        run.recover()
        run.check()
    if aftermath:
        run.restart() if aftermath == ("kill",) else run.lose_power(*aftermath)
        assert run.file.disk == run.id
        assert not run.send(Seal(run.id, "lot-1", 9))
    run.disk.full = False
    run.recover()
    run.check()
    assert run.file.apply(Seal(run.id, "lot-1", 9)) == Held(0, (b"a", b"b"))
    assert run.file.apply(refused) == Fenced()


@pytest.mark.parametrize("done", ["nothing", "all"])
def test_a_refused_write_that_comes_back_is_what_its_writer_sends_again(done):
    # The record that the disk refused is replayed after a restart. The same writer's
    # next call overlaps it, and that of a next owner replaces it.
    run = Run()
    run.perform(HISTORY[0])
    run.disk.failing = {len(run.disk.performed) + 1: done}
    refused = Append(run.id, "lot-1", 5, 0, 2, (b"c",))
    assert not run.send(refused)
    run.restart()
    assert run.file.apply(Append(run.id, "lot-1", 5, 0, 2, (b"c", b"d"))) == Done()
    held = run.file.apply(Seal(run.id, "lot-1", 6))
    assert held == Held(0, (b"a", b"b", b"c", b"d"))
    assert run.file.apply(Append(run.id, "lot-1", 6, 0, 0, (b"a", b"b"))) == Done()
    assert run.file.apply(Seal(run.id, "lot-1", 7)) == Held(0, (b"a", b"b"))


def test_after_a_failed_write_no_call_is_acknowledged_before_the_file_is_whole():
    run = Run()
    run.perform(HISTORY[0])
    run.disk.full = True
    performed = len(run.disk.performed)
    calls = [
        Append(run.id, "lot-1", 5, 0, 2, (b"c",)),
        Seal(run.id, "lot-1", 9),
        Forget(run.id, "lot-1", 5, 1),
    ]
    for call in calls:
        assert isinstance(run.file.apply(call), Refused)
    # The disk is tried by the first call alone; the others are refused at once.
    assert len(run.disk.performed) == performed + 1
    run.disk.full = False
    for call in calls:
        assert isinstance(run.file.apply(call), Refused)
    run.recover()
    run.check()
    assert run.file.apply(Seal(run.id, "lot-1", 9)) == Held(0, (b"a", b"b"))


def test_a_disk_that_hangs_is_read_and_refuses_calls_in_time():
    run = Run()
    run.perform(HISTORY[0])
    hangs, resumes = threading.Event(), threading.Event()
    sync = run.disk.sync

    def hanging_sync(file):
        hangs.set()
        resumes.wait(30)
        sync(file)

    run.disk.sync = hanging_sync
    call = Append(run.id, "lot-1", 5, 0, 2, (b"c",))
    answers = []
    thread = threading.Thread(target=lambda: answers.append(run.file.apply(call)))
    thread.start()
    assert hangs.wait(10)
    assert run.file.items_by_key("lot") == {"lot-1": (b"a", b"b")}
    assert run.file.apply(Seal(run.id, "lot-1", 9)) == Refused("disk busy")
    assert BUSY_SECONDS < 0.5
    resumes.set()
    thread.join()
    assert answers == [Done()]
    assert run.file.apply(Seal(run.id, "lot-1", 9)) == Held(0, (b"a", b"b", b"c"))


def test_a_disk_that_can_not_be_read_lists_nothing_and_has_no_id():
    run = Run()
    run.perform(HISTORY[0])
    performed = len(run.disk.performed)
    run.disk.failing = {performed: "nothing"}
    file = SpoolFile(None, run.clock, run.disk)
    assert (file.disk, file.item_count) == ("", None)
    assert isinstance(file.items_by_key(""), Refused)
    assert isinstance(file.apply(Seal(run.id, "lot-1", 9)), Refused)
    file.recover()
    assert (file.disk, file.item_count) == (run.id, 2)


def test_a_closed_file_does_not_recover():
    run = Run()
    run.disk.full = True
    run.perform(HISTORY[0])
    run.file.close()
    run.disk.full = False
    run.file.recover()
    assert run.file.apply(Seal(run.id, "lot-1", 9)) == Refused("closed")


def test_a_new_file_left_behind_is_replaced():
    run = Run()
    run.perform(HISTORY[0])
    left = run.disk.create("spool.new")
    run.disk.write(left, 0, b"left behind" * 1000)
    run.restart()
    run.check()
    assert set(run.disk.names) == {"spool"}


def test_the_refused_time_is_counted_and_each_change_is_logged_once(caplog):
    run = Run()
    caplog.clear()
    run.disk.full = True
    run.perform(HISTORY[0])
    for _ in range(4):
        run.clock.advance(1.5)
        run.recover()
    assert run.file.refused_seconds == 6.0
    run.disk.full = False
    run.recover()
    run.clock.advance(5.0)
    assert run.file.refused_seconds == 6.0
    names = [line.split()[0] for line in caplog.messages]
    assert names == ["event=spool_failed", "event=spool_ready"]
    assert "refused_seconds=6" in caplog.messages[-1]


def test_attempts_to_recover_become_rarer_up_to_a_bound():
    pause, pauses = MIN_RECOVERY_PAUSE_SECONDS, []
    for _ in range(6):
        pause = recovery_pause(pause, failed=True)
        pauses.append(pause)
    assert pauses == sorted(pauses)
    assert pauses[-1] == MAX_RECOVERY_PAUSE_SECONDS
    assert recovery_pause(pause, failed=False) == MIN_RECOVERY_PAUSE_SECONDS


class DiskFaults(RuleBasedStateMachine):
    """Long histories of calls, refused operations, restarts and power losses."""

    def __init__(self):
        super().__init__()
        self.run_ = Run()
        self.fence = 1
        self.names = 0
        self.lots = {"lot-1": [], "lot-2": []}

    @rule(key=st.sampled_from(["lot-1", "lot-2"]), count=st.integers(1, 3))
    def append(self, key, count):
        """Append items that the writer keeps, whether the disk takes them or not."""
        items = self.lots[key]
        start = len(items)
        items += [b"%d.%d" % (self.fence, self.names + n) for n in range(count)]
        self.names += count
        run = self.run_
        call = Append(run.id, key, self.fence, 0, start, tuple(items[start:]))
        if isinstance(run.file._contents.answer(call), Gap):
            call = Append(run.id, key, self.fence, 0, 0, tuple(items))
        run.send(call)

    @rule(key=st.sampled_from(["lot-1", "lot-2"]))
    def seal(self, key):
        self.fence += 1
        run = self.run_
        if run.send(Seal(run.id, key, self.fence)):
            self.lots[key] = list(run.file.items_by_key(key).get(key, ()))

    @rule(key=st.sampled_from(["lot-1", "lot-2"]))
    def earlier_writer(self, key):
        """A writer that was replaced is refused wherever a later one has called."""
        run = self.run_
        fenced = any(call.key == key and call.fence > 0 for call in run.acknowledged)
        done = len(run.acknowledged)
        run.send(Append(run.id, key, 0, 0, 0, (b"old",)))
        assert not fenced or len(run.acknowledged) == done

    @rule(after=st.integers(0, 4), done=st.sampled_from(["nothing", "half", "all"]))
    def fail_operation(self, after, done):
        disk = self.run_.disk
        disk.failing = {len(disk.performed) + after: done}

    @rule(full=st.booleans())
    def fill(self, full):
        self.run_.disk.full = full

    @precondition(lambda self: self.run_.file.failure is not None)
    @rule()
    def recover(self):
        self.run_.recover()

    @rule()
    def shorten(self):
        self.run_.perform(SHORTEN)

    @rule()
    def kill(self):
        self.run_.restart()

    @rule(loss=st.sampled_from(POWER_LOSSES))
    def lose_power(self, loss):
        self.run_.lose_power(*loss)

    @invariant()
    def memory_has_what_was_acknowledged(self):
        if self.run_.file.item_count is not None:
            self.run_.check()


TestDiskFaults = DiskFaults.TestCase
TestDiskFaults.settings = settings(
    max_examples=300, stateful_step_count=60, deadline=None
)
