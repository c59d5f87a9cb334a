"""Lots that are accepted while the store is unavailable, with and without sockets."""

import threading
from dataclasses import replace

import pytest

from deployed import Deployment
from platform_standins.rows import MemoryRows
from rows_fakes import make_lot, wait_for
from test_entry_node import SAMPLES, call, check_results, read, read_all, submit
from test_spooling import kill
from wigeonfront.clock import ManualClock
from wigeonfront.rollout.acceptance import Deferred, LotAcceptance
from wigeonfront.rollout.head import Head, LotState
from wigeonfront.rollout.ownership import NO_OWNER
from wigeonfront.rollout.repository import (
    AlreadyKept,
    InDoubt,
    Kept,
    LotRepository,
    NotKept,
)
from wigeonfront.rollout.submissions import (
    ENTRY_GRACE_SECONDS,
    KEY_PREFIX,
    DeferredHeadWriter,
    Stored,
    SubmissionRecovery,
    SubmissionStore,
)
from wigeonfront.spool import SpoolMember
from wigeonfront.spool.calls import Append
from wigeonfront.spool.file import SpoolFile

DISKS = 2


@pytest.fixture
def deployed(tmp_path):
    made = Deployment()
    for number in range(DISKS):
        made.add_disk(f"s{number}", tmp_path / str(number))
    yield made
    made.close()


def add_entry(deployed, name):
    entry = deployed.add_entry(name)
    wait_for(lambda: len(entry._view.disks()) == DISKS)
    # Only a registered entry knows in an outage that no other one owns its Lots.
    wait_for(lambda: entry._registration.registered)
    return entry


def ran(deployed):
    return sum(
        (engine.run_counts for engine in deployed.engines),
        start=type(deployed.engines[0].run_counts)(),
    )


def held(deployed):
    return sum(len(disk._spool.items_by_key(KEY_PREFIX)) for disk in deployed.disks)


def test_a_lot_runs_during_an_outage_and_its_results_are_shown_after_it(deployed):
    first, second = add_entry(deployed, "n1"), add_entry(deployed, "n2")
    deployed.rows.faults.down = True
    assert submit(first, "l1").status == 202
    assert submit(first, "l1").status == 202
    wait_for(lambda: len(ran(deployed)) == SAMPLES)
    assert held(deployed) == DISKS
    status, page = read(first, "l1")
    assert (status, page["total"], page["results"]) == (200, SAMPLES, [])
    assert call(first, "DELETE", "/lots/l1").status == 503
    assert call(first, "GET", "/items/l1?id=l1-0").body == b"in0"
    assert call(second, "GET", "/lots/l1?after=0").status == 503
    deployed.rows.faults.down = False
    page = read_all(first, "l1")
    check_results(deployed, page)
    assert read_all(second, "l1") == page
    assert set(ran(deployed).values()) == {1}
    wait_for(lambda: held(deployed) == 0)
    assert call(second, "DELETE", "/lots/l1").status == 200


def test_a_lot_survives_the_loss_of_its_entry_in_an_outage(deployed):
    first, second = add_entry(deployed, "n1"), add_entry(deployed, "n2")
    deployed.rows.faults.down = True
    assert submit(first, "l1").status == 202
    first.close()
    deployed.rows.faults.down = False
    check_results(deployed, read_all(second, "l1"))
    wait_for(lambda: held(deployed) == 0)


@pytest.mark.parametrize("lost", [0, 1])
def test_a_lot_that_only_disks_have_is_not_called_unknown(deployed, lost):
    """A 404 would tell the trainer that an accepted Lot is lost."""
    first = add_entry(deployed, "n1")
    deployed.rows.faults.down = True
    assert submit(first, "l1").status == 202
    kill(first, "l1")
    for disk in deployed.disks[:lost]:
        disk.stop()
    deployed.rows.faults.down = False
    second = add_entry(deployed, "n2")
    assert call(second, "DELETE", "/lots/l1").status == 503
    statuses = set()

    def shown():
        for path in ("/lots/l1?after=0", "/items/l1?id=l1-0"):
            statuses.add(call(second, "GET", path).status)
        return 200 in statuses

    wait_for(shown, 10.0)
    assert statuses == {200, 503}
    check_results(deployed, read_all(second, "l1"))


def test_a_lot_on_disks_is_not_called_unknown_after_their_leases_lapsed(deployed):
    """A long outage outlasts the leases; disks register again seconds after it."""
    first = add_entry(deployed, "n1")
    deployed.rows.faults.down = True
    assert submit(first, "l1").status == 202
    kill(first, "l1")
    for disk in deployed.disks:
        deployed.rows.remove(f"live/storage/{disk._settings.name}")
    deployed.rows.faults.down = False
    second = deployed.add_entry("n2")
    wait_for(lambda: second._view.live.ready)
    assert call(second, "GET", "/lots/l1?after=0").status == 503


def test_a_lot_that_nobody_accepted_is_unknown(deployed):
    entry = add_entry(deployed, "n1")
    for path in ("/lots/l9?after=0", "/items/l9?id=l9-0"):
        assert call(entry, "GET", path).status == 404
    assert call(entry, "DELETE", "/lots/l9").status == 404


def test_a_lot_survives_a_planned_stop_of_its_entry_in_an_outage(deployed):
    first, second = add_entry(deployed, "n1"), add_entry(deployed, "n2")
    deployed.rows.faults.down = True
    assert submit(first, "l1").status == 202
    stopping = threading.Thread(target=first.stop)
    stopping.start()
    stopping.join()
    deployed.rows.faults.down = False
    check_results(deployed, read_all(second, "l1"))


def test_a_lot_that_two_entries_accept_has_one_owner_and_one_order(deployed):
    first, second = add_entry(deployed, "n1"), add_entry(deployed, "n2")
    deployed.rows.faults.down = True
    assert [submit(entry, "l1").status for entry in (first, second)] == [202, 202]
    wait_for(lambda: len(ran(deployed)) == SAMPLES)
    assert [read(entry, "l1")[1]["results"] for entry in (first, second)] == [[], []]
    deployed.rows.faults.down = False
    pages = [read_all(entry, "l1") for entry in (first, second)]
    assert pages[0] == pages[1]
    check_results(deployed, pages[0])
    wait_for(lambda: held(deployed) == 0)


@pytest.mark.parametrize("lost", [1, DISKS])
def test_a_lot_that_may_be_on_a_disk_is_not_called_refused(deployed, lost):
    """A 503 promises that the Lot does not run, but a disk that has it has it run."""
    entry = add_entry(deployed, "n1")
    deployed.rows.faults.down = True
    for disk in deployed.disks[:lost]:
        disk.stop()
    assert submit(entry, "l1").status == 504


def test_without_disks_a_lot_is_refused_in_an_outage():
    deployed = Deployment()
    entry = deployed.add_entry("n1")
    deployed.rows.faults.down = True
    assert submit(entry, "l1").status == 503
    deployed.close()


# --- without a network -------------------------------------------------------

LOT = make_lot()
SPOOLS = (SpoolMember("h:1", "d1"),)
ME = "n1.aa"


class ScriptedStore:
    """A repository that returns a given outcome."""

    def __init__(self, outcome):
        self.outcome = outcome

    def accept(self, lot, owner, spools=()):
        return self.outcome


class ScriptedDisks:
    """A `SubmissionStore` that returns a given result and records deletions."""

    def __init__(self, stored):
        self.stored = stored
        self.forgotten = []

    def put(self, lot, spools):
        return self.stored

    def forget(self, lot_id, spools):
        self.forgotten.append(lot_id)


@pytest.mark.parametrize(
    ("kept", "stored", "accepted"),
    [
        (Kept(7), Stored.NONE, Kept(7)),
        (AlreadyKept(), Stored.NONE, AlreadyKept()),
        (NotKept("away"), Stored.ALL, Deferred()),
        (InDoubt("lost"), Stored.ALL, Deferred()),
        (NotKept("away"), Stored.NONE, NotKept("away")),
        (InDoubt("lost"), Stored.NONE, InDoubt("lost")),
        (NotKept("away"), Stored.IN_DOUBT, InDoubt("disks")),
        (InDoubt("lost"), Stored.IN_DOUBT, InDoubt("lost")),
    ],
)
def test_outcome_of_a_submission_by_the_answers_of_store_and_disks(
    kept, stored, accepted
):
    acceptance = LotAcceptance(ScriptedStore(kept), ScriptedDisks(stored))
    assert acceptance.accept(LOT, ME, SPOOLS) == accepted


@pytest.fixture
def rows():
    return MemoryRows()


def make_head_writer(rows, disks):
    notices = []
    head_writer = DeferredHeadWriter(
        LotRepository(rows, 1_000_000),
        disks,
        lambda: ME,
        lambda: [(LOT, SPOOLS)],
        lambda lot_id, revision: notices.append(("written", revision)),
        lambda lot_id: notices.append(("other owner",)),
    )
    return head_writer, notices


@pytest.mark.parametrize(
    ("owner", "expected"),
    [
        (None, [("written", 1)]),
        # An earlier write took effect, but its answer was lost.
        (ME, [("written", 1)]),
        ("n2.bb", [("other owner",)]),
        (NO_OWNER, [("other owner",)]),
    ],
)
def test_the_head_row_decides_who_owns_a_deferred_lot(rows, owner, expected):
    repository = LotRepository(rows, 1_000_000)
    if owner is not None:
        assert repository.accept(LOT, owner, SPOOLS) == Kept(1)
    disks = ScriptedDisks(Stored.ALL)
    head_writer, notices = make_head_writer(rows, disks)
    rows.faults.down = True
    assert not head_writer.write_head(LOT, SPOOLS)
    assert (notices, disks.forgotten) == ([], [])
    rows.faults.down = False
    assert head_writer.write_head(LOT, SPOOLS)
    assert notices == expected
    assert disks.forgotten == [LOT.id]
    assert repository.head(LOT.id).owner == (ME if owner is None else owner)


@pytest.fixture
def disk(tmp_path):
    file = SpoolFile(tmp_path, ManualClock())
    yield file
    file.close()


class DirectSpool:
    """Calls one disk without a network."""

    def __init__(self, file):
        self.file = file

    def append(self, members, key, fence, kept, position, items):
        call = Append(self.file.disk, key, fence, kept, position, tuple(items))
        self.file.apply(call)
        return True


def test_a_disk_writes_a_lot_to_the_store_after_the_grace_period(rows, disk):
    clock = ManualClock()
    repository = LotRepository(rows, 1_000_000)
    recovery = SubmissionRecovery(disk, repository, clock)
    SubmissionStore(DirectSpool(disk)).put(LOT, SPOOLS)
    rows.faults.down = True
    recovery.check()
    clock.advance(60.0)
    recovery.check()
    rows.faults.down = False
    recovery.check()
    clock.advance(ENTRY_GRACE_SECONDS - 0.1)
    recovery.check()
    assert not isinstance(repository.head(LOT.id), Head)
    assert disk.items_by_key(KEY_PREFIX)
    clock.advance(0.1)
    recovery.check()
    head = repository.head(LOT.id)
    assert (head.owner, head.state, head.spools) == (NO_OWNER, LotState.OPEN, SPOOLS)
    assert repository.load(LOT.id, head.parts) == LOT
    assert not disk.items_by_key(KEY_PREFIX)
    assert disk.item_count == 0


def test_a_disk_deletes_a_lot_that_the_store_has(rows, disk):
    repository = LotRepository(rows, 1_000_000)
    SubmissionStore(DirectSpool(disk)).put(LOT, SPOOLS)
    repository.accept(LOT, ME, SPOOLS)
    SubmissionRecovery(disk, repository, ManualClock()).check()
    assert not disk.items_by_key(KEY_PREFIX)
    assert repository.head(LOT.id).owner == ME


def test_a_lot_that_is_too_large_is_not_written_to_disks(disk):
    sample = replace(LOT.samples[0], body=b"x" * 7_000_000)
    store = SubmissionStore(DirectSpool(disk))
    assert store.put(replace(LOT, samples=(sample,)), SPOOLS) is Stored.NONE
    assert store.put(LOT, ()) is Stored.NONE
    assert not disk.items_by_key(KEY_PREFIX)
