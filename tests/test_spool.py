"""Tests of the spool: which calls a disk accepts, and which items survive a fault."""

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from wigeonfront.clock import ManualClock
from wigeonfront.rollout.spooling import unstored_items
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
from wigeonfront.spool.file import RETENTION_SECONDS, SpoolFile


def items(*names):
    return tuple(name.encode() for name in names)


def append(fence, kept, position, *names, disk="d"):
    return Append(disk, "lot", fence, kept, position, items(*names))


def seal(fence, disk="d"):
    return Seal(disk, "lot", fence)


@pytest.mark.parametrize(
    ("calls", "last", "answer", "held"),
    [
        pytest.param([], append(5, 0, 0, "a"), Done(), (0, "a"), id="first append"),
        pytest.param(
            [append(5, 3, 3, "a")],
            append(5, 3, 4, "b"),
            Done(),
            (3, "ab"),
            id="next append",
        ),
        pytest.param(
            [append(5, 3, 3, "a")],
            append(5, 3, 3, "a"),
            Done(),
            (3, "a"),
            id="repeated append",
        ),
        pytest.param(
            [append(5, 0, 0, "a", "b")],
            append(5, 0, 0, "a"),
            Done(),
            (0, "ab"),
            id="late append loses nothing",
        ),
        pytest.param(
            [append(5, 0, 0, "a"), append(5, 4, 4, "e")],
            append(5, 0, 0, "a"),
            Done(),
            (4, "e"),
            id="late append of items stored elsewhere since",
        ),
        pytest.param([], append(5, 0, 2, "c"), Gap(), (0, ""), id="gap at the start"),
        pytest.param(
            [append(5, 0, 0, "a")], append(5, 0, 2, "c"), Gap(), (0, "a"), id="gap"
        ),
        pytest.param(
            [append(5, 0, 0, "a")],
            append(5, 6, 6, "g"),
            Done(),
            (6, "g"),
            id="items stored elsewhere are no gap",
        ),
        pytest.param(
            [append(5, 0, 0, "a"), seal(9)],
            append(5, 0, 1, "b"),
            Fenced(),
            (0, "a"),
            id="append of an earlier writer",
        ),
        pytest.param(
            [append(5, 0, 0, "a", "b"), seal(9)],
            append(9, 0, 0, "a", "x"),
            Done(),
            (0, "ax"),
            id="items of a later writer replace those of an earlier one",
        ),
        pytest.param(
            [append(5, 0, 0, "a", "b"), seal(9)],
            append(9, 0, 1, "x"),
            Gap(),
            (0, "ab"),
            id="a later writer must first append all items not stored elsewhere",
        ),
        pytest.param(
            [append(5, 0, 0, "a", "b", "c")],
            Forget("d", "lot", 5, 2),
            Done(),
            (2, "c"),
            id="forget",
        ),
        pytest.param(
            [append(5, 0, 0, "a"), append(5, 4, 4, "e")],
            Forget("d", "lot", 5, 4),
            Done(),
            (4, "e"),
            id="late forget",
        ),
        pytest.param(
            [append(5, 0, 0, "a"), seal(9)],
            Forget("d", "lot", 5, 1),
            Fenced(),
            (0, "a"),
            id="forget of an earlier writer",
        ),
    ],
)
def test_calls_that_a_disk_accepts_and_refuses(tmp_path, calls, last, answer, held):
    contents = SpoolContents()
    for call in calls:
        contents.apply(call, 0.0)
    assert contents.apply(last, 0.0) == answer
    position, names = held
    found = contents.apply(seal(99), 0.0)
    assert (found.items, found.position if names else 0) == (items(*names), position)


# --- the file ------------------------------------------------------------------


@pytest.fixture
def open_file(tmp_path):
    opened = []

    def reopen(folder=tmp_path, clock=None):
        for file in opened:
            file.close()
        opened.append(SpoolFile(folder, clock or ManualClock(1.0)))
        return opened[-1]

    yield reopen
    for file in opened:
        file.close()


def test_acknowledged_items_survive_a_restart(open_file):
    file = open_file()
    disk = file.disk
    assert file.apply(append(5, 0, 0, "a", "b", disk=disk)) == Done()
    assert file.apply(seal(7, disk)) == Held(0, items("a", "b"))
    file = open_file()
    assert file.disk == disk
    assert file.apply(append(5, 0, 2, "c", disk=disk)) == Fenced()
    assert file.apply(seal(7, disk)) == Held(0, items("a", "b"))


@pytest.mark.parametrize("cut", [1, 7, 9, 30])
def test_a_record_torn_by_a_power_failure_is_ignored(tmp_path, open_file, cut):
    file = open_file()
    disk = file.disk
    file.apply(append(5, 0, 0, "a", disk=disk))
    whole = (tmp_path / "spool").stat().st_size
    file.apply(append(5, 0, 1, "b" * 40, disk=disk))
    file.close()
    with (tmp_path / "spool").open("r+b") as torn:
        torn.truncate(whole + cut)
    file = open_file()
    assert file.apply(seal(5, disk)) == Held(0, items("a"))
    file.apply(append(5, 0, 1, "c", disk=disk))
    assert open_file().apply(seal(5, disk)) == Held(0, items("a", "c"))


def test_a_corrupt_record_ends_the_replay(tmp_path, open_file):
    file = open_file()
    disk = file.disk
    file.apply(append(5, 0, 0, "a" * 50, disk=disk))
    file.close()
    data = bytearray((tmp_path / "spool").read_bytes())
    data[-10] ^= 1
    (tmp_path / "spool").write_bytes(data)
    assert open_file().apply(seal(5, disk)) == Held(0, ())


def test_a_replaced_disk_has_a_new_id_and_refuses_calls_for_the_old_id(
    tmp_path, open_file
):
    disk = open_file().disk
    (tmp_path / "spool").unlink()
    file = open_file()
    assert file.disk != disk
    assert file.apply(seal(5, disk)) == Refused("other disk")


def test_after_a_failed_sync_no_call_is_acknowledged_before_the_file_is_whole(
    tmp_path, open_file, monkeypatch
):
    file = open_file()
    disk = file.disk
    assert file.apply(append(5, 0, 0, "a", disk=disk)) == Done()
    refused = Refused("disk failed: no space")
    with monkeypatch.context() as patched:
        patched.setattr("os.fsync", fail)
        for call in (append(5, 0, 1, "b", disk=disk), seal(9, disk)):
            assert file.apply(call) == refused
        file.recover()
        assert file.apply(seal(9, disk)) == refused
    assert file.apply(append(5, 0, 1, "b", disk=disk)) == refused
    assert file.items_by_key("lot") == {"lot": items("a")}
    file.recover()
    assert file.apply(append(5, 0, 1, "c", disk=disk)) == Done()
    assert [path.name for path in tmp_path.iterdir()] == ["spool"]
    file = open_file()
    assert file.apply(seal(9, disk)) == Held(0, items("a", "c"))


def fail(descriptor):
    raise OSError("no space")


def test_a_long_file_is_rewritten_with_the_same_contents(tmp_path, open_file):
    clock = ManualClock(1.0)
    file = open_file(clock=clock)
    disk = file.disk
    big = "x" * 1_000_000
    for number in range(9):
        file.apply(append(5, number, number, big, disk=disk))
    file.apply(Forget(disk, "lot", 5, 9))
    file.apply(Append(disk, "other", 3, 0, 0, items("kept")))
    file.apply(Seal(disk, "other", 4))
    assert (tmp_path / "spool").stat().st_size > 8_000_000
    file.apply(Forget(disk, "other", 4, 1))
    file.upkeep()
    assert (tmp_path / "spool").stat().st_size < 1_000
    file.apply(Append(disk, "other", 4, 1, 1, items("more")))
    file = open_file(clock=clock)
    assert file.apply(Append(disk, "other", 3, 1, 2, items("old"))) == Fenced()
    assert file.apply(Seal(disk, "other", 4)) == Held(1, items("more"))


def test_unchanged_items_are_dropped_after_the_retention_time(open_file):
    clock = ManualClock(1.0)
    file = open_file(clock=clock)
    file.apply(append(5, 0, 0, "a", disk=file.disk))
    clock.advance(RETENTION_SECONDS - 1)
    file.upkeep()
    assert file.item_count == 1
    clock.advance(2)
    file.upkeep()
    assert file.item_count == 0


# --- owners, the store and the disks ---------------------------------------------


OWNER_INDEXES = st.sampled_from([-1, -1, -1, -2])
"""Index of the acting owner: mostly the one in the head row, or the one before it."""

CALL_OUTCOMES = st.sampled_from(["done", "done", "done", "lost", "late"])


class Owner:
    """A process that believes that it owns the Lot."""

    def __init__(self, revision, kept, found):
        self.revision = revision
        self.items = [*kept, *found]
        self.kept = len(kept)
        self.spooled = 0

    @property
    def shown(self):
        return self.items[: max(self.kept, self.spooled)]


class Owners(RuleBasedStateMachine):
    """Random sequences of owners of one Lot, with late calls and lost disks.

    A list of stored items and the revision of the head row stand for the store. Items
    that an owner has shown must stay the same at their positions for all later owners.
    """

    DISKS = 2

    def __init__(self):
        super().__init__()
        self.disks = [SpoolContents() for _ in range(self.DISKS)]
        self.lost = 0
        self.kept = []
        self.revision = 1
        self.shown = []
        self.late = []
        self.names = 0
        self.owners = [Owner(1, [], [])]

    def owner(self, who):
        return self.owners[max(who, -len(self.owners))]

    def show(self, visible):
        common = min(len(visible), len(self.shown))
        assert visible[:common] == self.shown[:common]
        if len(visible) > len(self.shown):
            self.shown = list(visible)

    @rule(who=OWNER_INDEXES, count=st.integers(1, 3))
    def finish(self, who, count):
        owner = self.owner(who)
        for _ in range(count):
            self.names += 1
            owner.items.append(f"{owner.revision}.{self.names}")

    @rule(count=st.integers(1, 4))
    def keep(self, count):
        """Store items; the store accepts them only from the owner in the head row."""
        owner = self.owners[-1]
        stored = owner.items[owner.kept : owner.kept + count]
        self.kept.extend(stored)
        owner.kept += len(stored)
        self.show(owner.shown)

    @rule(who=OWNER_INDEXES, outcomes=st.tuples(CALL_OUTCOMES, CALL_OUTCOMES))
    def spool(self, who, outcomes):
        owner = self.owner(who)
        end = len(owner.items)
        answers = [
            self.write(owner, index, outcome, end)
            for index, outcome in enumerate(outcomes)
        ]
        if answers == [Done()] * self.DISKS:
            owner.spooled = end
            self.show(owner.shown)

    def write(self, owner, index, outcome, end):
        answer = None
        for start in (len(owner.shown), owner.kept):
            names = owner.items[start:end]
            call = append(owner.revision, owner.kept, start, *names)
            answer = self.send(index, outcome, call)
            if not isinstance(answer, Gap):
                break
        return answer

    def send(self, index, outcome, call):
        if outcome == "late":
            self.late.append((index, call))
        return self.disks[index].apply(call, 0.0) if outcome == "done" else None

    @rule(who=OWNER_INDEXES, index=st.integers(0, DISKS - 1), outcome=CALL_OUTCOMES)
    def forget(self, who, index, outcome):
        owner = self.owner(who)
        if owner.kept >= owner.spooled:
            self.send(index, outcome, Forget("d", "lot", owner.revision, owner.kept))

    @rule(number=st.integers(0, 20))
    def arrive(self, number):
        if self.late:
            index, call = self.late.pop(number % len(self.late))
            self.disks[index].apply(call, 0.0)

    @rule(index=st.integers(0, DISKS - 1))
    def lose_disk(self, index):
        """Lose a disk, as long as another one is left."""
        if self.lost < self.DISKS - 1:
            self.lost += 1
            self.disks[index] = LostDisk()

    @rule(first=st.integers(0, DISKS - 1), lost_answers=st.integers(0, 1))
    def claim(self, first, lost_answers):
        """The next owner changes the head row, then seals disks until one answers."""
        self.revision += 1
        kept = list(self.kept)
        for index in [*range(first, self.DISKS), *range(first)]:
            answer = self.disks[index].apply(seal(self.revision), 0.0)
            if not isinstance(answer, Held):
                continue
            if lost_answers and self.lost == 0:
                lost_answers = 0
                continue
            found = unstored_items(items(*kept), answer.position, answer.items)
            found = [name.decode() for name in found]
            self.owners.append(Owner(self.revision, kept, found))
            return
        raise AssertionError("no disk answered the seal")

    @invariant()
    def stored_items_are_those_that_were_shown(self):
        common = min(len(self.kept), len(self.shown))
        assert self.kept[:common] == self.shown[:common]


@pytest.mark.parametrize(
    ("kept", "position", "held", "taken"),
    [
        ("", 0, "abc", "abc"),
        ("ab", 0, "abc", "c"),
        ("ab", 1, "bc", "c"),
        ("abc", 0, "ab", ""),
        ("ax", 0, "abc", ""),
        ("ax", 1, "bc", ""),
        ("a", 2, "cd", ""),
        ("ab", 2, "cd", "cd"),
    ],
)
def test_items_that_a_later_owner_has_replaced_are_ignored(kept, position, held, taken):
    found = unstored_items(items(*kept), position, items(*held))
    assert tuple(found) == items(*taken)


class LostDisk:
    """A disk that came back under another id."""

    def apply(self, call, now):
        return Refused("other disk")


TestOwners = Owners.TestCase
TestOwners.settings = settings(max_examples=500, stateful_step_count=30, deadline=None)
