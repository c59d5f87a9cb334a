"""Members, edits and their confirmation among many entries, under faults.

The fleet checks after each step that no entry admits rollouts without the rows that
were accepted.
"""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from fleet import Fleet, encoded
from wigeonfront.entry.edits import (
    Accepted,
    EditConflict,
    EditRefused,
    EditRejected,
    EditUnknown,
    Stored,
)
from wigeonfront.entry.history import MAX_VERSIONS

LEASE = 15.0


def fleet_of(count, **options):
    fleet = Fleet(count, **options)
    fleet.settle()
    return fleet


def shape(outcome):
    """Return an outcome's class and the names that it gives."""
    names = getattr(outcome, "fenced", getattr(outcome, "waiting", ()))
    return type(outcome), tuple(sorted(names))


# --- faults around one edit ----------------------------------------------------


def nothing(fleet):
    pass


def freeze(fleet):
    fleet.freeze(fleet[4])


def freeze_two(fleet):
    fleet.freeze(fleet[3])
    fleet.freeze(fleet[4])


def freeze_most(fleet):
    for number in (2, 3, 4):
        fleet.freeze(fleet[number])


def kill(fleet):
    fleet.kill("e4")


def stop(fleet):
    fleet.stop("e4")


def cut_from_service(fleet):
    fleet[4].key_value.outage = True


def cut_from_others(fleet):
    fleet.cut([fleet[4]], [fleet[n] for n in range(4)])


def cut_from_both(fleet):
    cut_from_service(fleet)
    cut_from_others(fleet)


def answers_lost_by_one(fleet):
    fleet.one_way |= {("e4", f"e{n}") for n in range(4)}


def silent_watches(fleet):
    for node in fleet.all:
        node.key_value.silent = True


def missed_events(fleet):
    for node in fleet.all:
        node.key_value.misses_events = True


def lose_answers(fleet):
    fleet[0].key_value.lose_answers = 2


def lose_requests(fleet):
    fleet[0].key_value.lose_requests = 2


def lagging_replica(fleet):
    fleet[4].key_value.lag()


@pytest.mark.parametrize(
    ("fault", "wait", "expected"),
    [
        (nothing, 8, (Accepted, ())),
        (silent_watches, 8, (Accepted, ())),
        (missed_events, 8, (Accepted, ())),
        (lose_answers, 8, (Accepted, ())),
        (lose_requests, 8, (Accepted, ())),
        (lagging_replica, 8, (Accepted, ())),
        (cut_from_service, 8, (Accepted, ())),
        (stop, 8, (Accepted, ())),
        (freeze, 8, (Stored, ("e4",))),
        (freeze, 60, (Accepted, ("e4",))),
        (freeze_two, 60, (Accepted, ("e3", "e4"))),
        (freeze_most, 60, (Stored, ("e2", "e3", "e4"))),
        (kill, 8, (Stored, ("e4",))),
        (kill, 60, (Accepted, ("e4",))),
        (cut_from_others, 60, (Stored, ("e4",))),
        (cut_from_both, 60, (Accepted, ("e4",))),
        (answers_lost_by_one, 60, (Stored, ("e4",))),
    ],
)
def test_an_edit_is_accepted_once_it_is_in_force_everywhere(fault, wait, expected):
    fleet = fleet_of(5)
    fault(fleet)
    outcome = fleet[0].put(weight=2, wait=wait)
    assert shape(outcome) == expected
    in_force = fleet.weights()
    assert in_force[2] >= 5 - len(expected[1]) - (fault in (kill, stop))


@pytest.mark.parametrize("fault", [freeze, freeze_most, cut_from_others, cut_from_both])
def test_after_the_fault_the_edit_is_in_force_everywhere(fault):
    fleet = fleet_of(5)
    fault(fleet)
    fleet[0].put(weight=2, wait=40)
    fleet.heal()
    for node in fleet.all:
        node.key_value.outage = False
        if node.frozen:
            fleet.wake(node)
    assert isinstance(fleet[0].confirm(wait=LEASE), Accepted)
    fleet.settle(LEASE)
    assert fleet.weights() == {2: 5}


def test_an_entry_frozen_through_ten_changes_admits_nothing_until_it_caught_up():
    fleet = fleet_of(3)
    frozen = fleet[2]
    frozen.put(weight=1)
    fleet.freeze(frozen)
    for weight in range(2, 12):
        assert isinstance(fleet[0].put(weight, wait=60), Accepted)
    assert frozen.weight() == 1
    frozen.frozen = False
    assert not frozen.admits
    refused = frozen.put(weight=99)
    assert refused == EditRefused("not_a_member", "lease_lapsed")
    fleet.wake(frozen)
    fleet.run(3)
    assert frozen.admits
    assert frozen.weight() == 11


@pytest.mark.parametrize("jump", [0.0, 30.0])
def test_a_suspended_machine_admits_nothing_before_its_lease_is_renewed(jump):
    """Its monotonic clock may have stood still, and only the other one tells."""
    fleet = fleet_of(3)
    node = fleet[1]
    clock = node.control.membership._clock
    real = clock.time
    clock.time = lambda: real() + jump
    assert node.admits == (jump == 0)
    fleet.run(LEASE)
    assert node.admits


def test_an_outage_in_the_middle_of_an_edit():
    """Written, but the members can't be read: stored, and accepted afterwards."""
    fleet = fleet_of(4)
    wait = fleet[0].control.confirmation.wait

    def break_first(*arguments):
        fleet.state.outage = True
        return wait(*arguments)

    fleet[0].control.confirmation.wait = break_first
    outcome = fleet[0].put(weight=2)
    assert shape(outcome) == (Stored, ("key-value service",))
    assert fleet[0].put(weight=3) == EditRefused("key_value_unavailable", "outage")
    fleet[0].control.confirmation.wait = wait
    fleet.state.outage = False
    assert isinstance(fleet[0].confirm(wait=20), Accepted)
    assert fleet.weights() == {2: 4}


class WritesWithoutAnswers:
    """The service takes one write; after that nothing is heard of it."""

    def __init__(self, key_value):
        self.key_value = key_value
        self.put_first = key_value.put
        key_value.put = self.put

    def put(self, *arguments, **options):
        self.key_value.lose_answers = 1
        written = self.put_first(*arguments, **options)
        self.key_value.outage = True
        return written


def test_an_edit_that_the_service_never_answers_is_not_called_refused():
    fleet = fleet_of(2)
    WritesWithoutAnswers(fleet[0].key_value)
    assert isinstance(fleet[0].put(weight=2), EditUnknown)
    fleet.run(1)
    assert fleet[1].weight() == 2


# --- operators race ------------------------------------------------------------


def test_of_edits_from_one_revision_the_first_wins_and_the_others_see_it():
    fleet = fleet_of(4)
    base = fleet[0].put(weight=1).revision
    fleet.run(1)
    first = fleet[1].put(weight=2, expected=base)
    assert isinstance(first, Accepted)
    for node in fleet.all:
        lost = node.put(weight=3, expected=base)
        assert isinstance(lost, EditConflict)
        assert (lost.revision, lost.row["weight"]) == (first.revision, 2)
        change = lost.differences[0]
        assert (change.field, change.before, change.after) == ("weight", 2, 3)


EDITS = st.lists(
    st.tuples(
        st.integers(0, 2),
        st.integers(0, 3),
        st.sampled_from(["put", "delete"]),
        st.sampled_from(["", "lose_answers", "lose_requests"]),
    ),
    min_size=1,
    max_size=8,
)


@settings(max_examples=60, derandomize=True, deadline=None)
@given(edits=EDITS)
def test_no_accepted_edit_is_lost_or_undone(edits):
    """Each edit that took effect was made from the one that came before it."""
    fleet = fleet_of(3)
    seen = [0]
    chain = [0]
    for number, (node, back, kind, fault) in enumerate(edits, 1):
        editor = fleet[node].control.editor
        expected = seen[max(0, len(seen) - 1 - back)]
        if fault:
            setattr(fleet[node].key_value, fault, 1)
        if kind == "put":
            outcome = fleet[node].put(number, expected)
        else:
            outcome = fleet.note("a", editor.delete("a", expected, "", 8.0))
        fleet[node].key_value.lose_answers = fleet[node].key_value.lose_requests = 0
        if kind == "delete" and expected == 0:
            assert isinstance(outcome, EditRejected)
            continue
        if isinstance(outcome, Accepted) and expected != chain[-1]:
            # Another operator's deletion of the same row, with a lost answer here.
            assert kind == "delete"
            assert fault
            assert chain[chain.index(expected) + 1] == 0
        elif isinstance(outcome, Accepted):
            chain.append(0 if kind == "delete" else outcome.revision)
            seen.append(chain[-1])
        else:
            assert isinstance(outcome, EditConflict), outcome
            assert expected != chain[-1]
    fleet.run(8)
    assert len(fleet.weights()) == 1


@pytest.mark.parametrize(
    ("name", "row", "reason"),
    [
        ("a b", encoded(), "a name has"),
        ("", encoded(), "a name has"),
        ("a", encoded(weight=-1), "$.weight"),
        ("a", b"{", "truncated"),
    ],
)
def test_a_bad_edit_is_rejected_before_anything_is_written(name, row, reason):
    fleet = fleet_of(1)
    before = fleet.state.revision
    outcome = fleet[0].control.editor.put(name, row, 0, "", 1.0)
    assert isinstance(outcome, EditRejected)
    assert reason in outcome.reason
    assert fleet.state.revision == before


def test_the_history_is_bounded_and_has_the_row_written_directly():
    fleet = fleet_of(2)
    fleet.write(weight=1)
    fleet.run(1)
    for number in range(2, MAX_VERSIONS + 30):
        assert isinstance(fleet[0].put(weight=number), Accepted)
        if number == 4:
            early = fleet[1].control.history.read("a")
    assert [version.row["weight"] for version in early] == [1, 2, 3, 4]
    assert [version.operator for version in early] == ["", *["operator"] * 3]
    kept = fleet[1].control.history.read("a")
    assert len(kept) <= MAX_VERSIONS + 20
    assert kept[-1].row["weight"] == MAX_VERSIONS + 29


# --- rows written directly --------------------------------------------------------


def test_a_bad_row_written_directly_stays_out_everywhere():
    fleet = fleet_of(3)
    fleet[0].put(weight=2)
    fleet.write(0, row=b'{"class": "rollouts"}')
    fleet.run(2)
    fleet.start("late")
    fleet.settle()
    assert fleet.weights() == {2: 4}
    assert all("a" in node.catalogue.bad_rows for node in fleet.all)
    mended = fleet[1].put(weight=3)
    assert isinstance(mended, Accepted)
    assert not fleet[0].catalogue.bad_rows


@pytest.mark.parametrize("fault", [silent_watches, missed_events])
def test_one_entry_with_a_good_watch_tells_the_others(fault):
    """A row written directly reaches entries whose watches fail, by their polls."""
    fleet = fleet_of(4)
    fault(fleet)
    fleet[3].key_value.silent = fleet[3].key_value.misses_events = False
    fleet.write(weight=4)
    fleet.run(8)
    assert fleet.weights() == {4: 4}


# --- starting --------------------------------------------------------------------


def test_a_new_entry_admits_nothing_from_an_old_view():
    fleet = fleet_of(3)
    fleet[0].put(weight=1)
    old = fleet[1].key_value
    old.lag()
    replica, old.replica = old.replica, None
    fleet[0].put(weight=2)
    late = fleet.start("late")
    late.key_value.replica = replica
    fleet.cut([late], [fleet[n] for n in range(3)])
    fleet.run(30)
    assert not late.admits
    assert late.control.starting
    late.key_value.replica = None
    fleet.heal()
    fleet.run(2)
    assert late.admits
    assert late.weight() == 2


def test_a_new_entry_takes_what_its_peers_have_where_the_service_lags():
    fleet = fleet_of(3)
    late = fleet.start("late")
    late.key_value.lag()
    fleet[0].put(weight=2)
    fleet.run(1)
    assert late.weight() == 2
