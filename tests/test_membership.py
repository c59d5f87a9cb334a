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


def test_an_entry_beyond_a_cut_is_waited_for_through_those_in_touch_with_it():
    """It goes on without a lease, in touch with most, and reaches no editor."""
    fleet = fleet_of(5)
    for number in (1, 2, 3, 4):
        fleet[number].key_value.outage = True
    fleet.cut([fleet[0]], [fleet[4]])
    fleet.run(2 * LEASE)
    assert [fleet[n].standing for n in range(5)] == ["member"] * 4 + ["detached"]
    assert isinstance(fleet[0].put(weight=2, wait=20), Accepted)
    assert fleet[4].admits
    assert fleet[4].weight() == 2


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


# --- many entries ------------------------------------------------------------------

JOIN_CALLS_PER_SECOND = 600
"""An entry's start takes about ten calls, and fifty start a second."""


def cold_start(count, domains=1):
    fleet = Fleet()
    fleet.listed = [f"e{number}" for number in range(count)]
    for number in range(count):
        fleet.start(f"e{number}", f"d{number % domains}")
    return fleet


def domain(fleet, name):
    return [node for node in fleet.all if node.domain == name]


@pytest.mark.parametrize("count", [20, 300])
def test_many_entries_start_at_once_without_a_herd(count):
    fleet = cold_start(count)
    fleet.settle(count / 50 + 10)
    assert fleet.peak(since=0) < JOIN_CALLS_PER_SECOND
    began = fleet.clock.monotonic()
    assert isinstance(fleet[0].put(weight=2), Accepted)
    fleet.run(1)
    assert fleet.weights() == {2: count}
    # The row, its history and a list of the members, beside one watch for each.
    written = fleet.calls(since=began)
    assert written["put"] == 2
    assert written["watch"] <= 1.5 * count


def test_calls_for_each_entry_do_not_grow_with_the_fleet():
    """Renewals, short watches and rare listings, as many per entry for any fleet."""
    rates = []
    for count in (5, 50):
        fleet = cold_start(count)
        fleet.settle(30)
        began = fleet.clock.monotonic()
        fleet.run(300)
        rates.append(sum(fleet.calls(since=began).values()) / 300 / count)
    assert rates[1] == pytest.approx(rates[0], rel=0.1)
    assert rates[1] < 0.7


def test_every_entry_is_replaced_one_after_the_other():
    fleet = fleet_of(12)
    for number in range(12):
        fleet.listed = list(fleet.nodes)
        if number % 2:
            fleet.stop(f"e{number}")
        else:
            fleet.kill(f"e{number}")
        fleet.start(f"new{number}")
        editor = fleet.nodes[f"new{number - 1}"] if number else fleet[5]
        assert isinstance(editor.put(weight=number + 1, wait=60), Accepted)
        fleet.listed = list(fleet.nodes)
        fleet.run(5)
    fleet.settle(20)
    assert fleet.weights() == {12: 12}
    assert {name for node in fleet.all for name in former(node)} == set()


def former(node):
    return [member.name for member in node.control.view.former()]


def test_a_failure_domain_is_lost_and_comes_back():
    fleet = fleet_of(30, domains=3)
    lost = domain(fleet, "d2")
    for node in lost:
        fleet.kill(node.name)
    outcome = fleet[0].put(weight=2, wait=60)
    assert shape(outcome) == (Accepted, tuple(sorted(node.name for node in lost)))
    assert outcome.seconds < LEASE * 2
    for node in lost:
        fleet.start(node.name, "d2")
    fleet.settle(20)
    assert fleet.weights() == {2: 30}


@pytest.mark.parametrize(
    ("with_service", "accepted", "admit"),
    [
        # The service on the larger side: the smaller one fences itself.
        ("large", True, {"large": True, "small": False}),
        # On the smaller side: the larger one goes on, so nothing is accepted.
        ("small", False, {"large": True, "small": True}),
        # Reached by both, which don't reach each other: nobody can confirm.
        ("both", False, {"large": True, "small": True}),
        ("none", None, {"large": True, "small": False}),
    ],
)
def test_regions_apart_for_an_hour_and_together_again(with_service, accepted, admit):
    fleet = fleet_of(9)
    sides = {"large": fleet.all[:6], "small": fleet.all[6:]}
    fleet[0].put(weight=1)
    fleet.run(1)
    fleet.cut(sides["large"], sides["small"])
    for name, nodes in sides.items():
        for node in nodes:
            node.key_value.outage = with_service not in (name, "both")
    editor = sides["small" if with_service == "small" else "large"][0]
    outcome = editor.put(weight=2, wait=60)
    if accepted is None:
        assert isinstance(outcome, EditRefused)
    else:
        assert isinstance(outcome, Accepted if accepted else Stored)
    for _ in range(6):
        fleet.run(600)
        for name, nodes in sides.items():
            assert {node.admits for node in nodes} == {admit[name]}
    fleet.heal()
    for node in fleet.all:
        node.key_value.outage = False
    fleet.settle(30)
    assert fleet.weights() == {1 if accepted is None else 2: 9}
    assert isinstance(editor.put(weight=3), Accepted)
