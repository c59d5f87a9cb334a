import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from rows_fakes import make_lot, make_store
from wigeonfront.rollout import repository as repository_module
from wigeonfront.rollout.events import Text
from wigeonfront.rollout.head import Head, LotState
from wigeonfront.rollout.lot import Lot, Sample, SampleResult
from wigeonfront.rollout.repository import (
    AlreadyKept,
    InDoubt,
    Kept,
    LotRepository,
    NoLot,
    NotKept,
    OwnerReplaced,
)

VALUE_BYTES = 1000


def result(id, text=b"text"):
    return SampleResult(id, True, text, (3,))


def keep(store, lot=None):
    repository = LotRepository(store, VALUE_BYTES)
    kept = repository.accept(lot or make_lot(), "e1")
    assert isinstance(kept, Kept)
    return repository, kept.revision


def test_a_lot_in_several_rows_is_read_back_whole():
    lot = make_lot(samples=40, min_version=3, target_groups=18)
    repository, _ = keep(make_store(), lot)
    head = repository.head(lot.id)
    assert (head.owner, head.state, head.total) == ("e1", LotState.OPEN, 40)
    assert head.parts > 1
    assert repository.load(lot.id, head.parts) == lot


def test_a_lot_is_accepted_once():
    store = make_store()
    repository, _ = keep(store)
    assert repository.accept(make_lot(), "e2") == AlreadyKept()
    assert repository.head("lot-1").owner == "e1"


def test_accept_finds_its_own_write_after_a_lost_answer():
    store = make_store()
    store.faults.lose_writes = 1
    repository, revision = keep(store)
    assert repository.head("lot-1").revision == revision


def test_accept_is_in_doubt_if_all_answers_are_lost():
    store = make_store()
    store.faults.lose_writes = 9
    store.faults.apply_lost_writes = False
    outcome = LotRepository(store, VALUE_BYTES).accept(make_lot(), "e1")
    assert isinstance(outcome, InDoubt)


def test_accept_writes_nothing_while_the_store_is_down():
    store = make_store()
    store.faults.down = True
    repository = LotRepository(store, VALUE_BYTES)
    assert isinstance(repository.accept(make_lot(), "e1"), NotKept)
    store.faults.down = False
    assert repository.head("lot-1") == NoLot()


def test_results_keep_their_positions():
    repository, revision = keep(make_store())
    assert repository.append("lot-1", revision, 0, [result("a")]) == Kept(revision)
    second = [result("b"), result("c")]
    assert repository.append("lot-1", revision, 1, second) == Kept(revision)
    assert [found.id for found in repository.results("lot-1", 0)] == ["a", "b", "c"]
    assert [found.id for found in repository.results("lot-1", 1)] == ["b", "c"]
    assert repository.results("lot-1", 3) == []


def test_a_batch_that_is_written_twice_takes_effect_once():
    store = make_store()
    repository, revision = keep(store)
    store.faults.lose_writes = 1
    batch = [result("a")]
    assert isinstance(repository.append("lot-1", revision, 0, batch), InDoubt)
    assert repository.append("lot-1", revision, 0, batch) == Kept(revision)
    assert repository.results("lot-1", 0) == batch


def test_a_replaced_owner_can_not_write_results():
    repository, revision = keep(make_store())
    claimed = repository.claim("lot-1", repository.head("lot-1"), "e2")
    assert isinstance(claimed, Kept)
    late = repository.append("lot-1", revision, 0, [result("a")])
    assert late == OwnerReplaced()
    fresh = repository.append("lot-1", claimed.revision, 0, [result("b")])
    assert isinstance(fresh, Kept)
    late = repository.append("lot-1", revision, 0, [result("a")])
    assert late == OwnerReplaced()
    assert repository.results("lot-1", 0) == [result("b")]


def test_no_results_are_added_to_an_ended_lot():
    repository, revision = keep(make_store())
    assert isinstance(repository.end("lot-1", repository.head("lot-1")), Kept)
    assert repository.head("lot-1").state is LotState.ENDED
    assert repository.append("lot-1", revision, 0, [result("a")]) == OwnerReplaced()


def test_a_hand_over_leaves_unfinished_texts_to_the_next_owner():
    repository, revision = keep(make_store())
    texts = {"long": Text([b"x"] * 30, {3}), "huge": Text([b"y" * 900], {3})}
    head = Head("", LotState.OPEN, 3, 1, 0.0)
    assert isinstance(repository.hand_over("lot-1", revision, head, texts), Kept)
    assert repository.texts("lot-1") == {"long": texts["long"]}
    assert repository.append("lot-1", revision, 0, [result("a")]) == OwnerReplaced()
    assert repository.texts("other") == {}


def test_unfinished_texts_are_written_with_or_without_results_and_replaced():
    repository, revision = keep(make_store())
    first, second = {"s": Text([b"x"] * 8, {3})}, {"s": Text([b"x"] * 16, {3, 4})}
    assert repository.append("lot-1", revision, 0, [result("a")], first) == Kept(
        revision
    )
    assert repository.texts("lot-1") == first
    assert repository.append("lot-1", revision, 1, [], second) == Kept(revision)
    assert repository.texts("lot-1") == second
    assert repository.results("lot-1", 0) == [result("a")]


def test_a_replaced_owner_can_not_write_unfinished_texts():
    repository, revision = keep(make_store())
    assert isinstance(repository.claim("lot-1", repository.head("lot-1"), "e2"), Kept)
    texts = {"s": Text([b"x"] * 8, {3})}
    assert repository.append("lot-1", revision, 0, [], texts) == OwnerReplaced()
    assert repository.texts("lot-1") == {}


class OwnersRace(RuleBasedStateMachine):
    """Two owners that act on their last answers, and a store that loses answers."""

    def __init__(self):
        super().__init__()
        self.store = make_store()
        self.repository, revision = keep(self.store)
        # What each owner believes: the head revision, and the results that it knows.
        self.beliefs = {"e1": (revision, []), "e2": (0, [])}
        self.seen = []
        self.next_result = 0

    @rule(owner=st.sampled_from(["e1", "e2"]))
    def claim(self, owner):
        head = self.repository.head("lot-1")
        outcome = self.repository.claim("lot-1", head, owner)
        if isinstance(outcome, Kept):
            results = self.repository.results("lot-1", 0)
            self.beliefs[owner] = (outcome.revision, results)

    @rule(owner=st.sampled_from(["e1", "e2"]), repeated=st.booleans())
    def append(self, owner, repeated):
        revision, known = self.beliefs[owner]
        if not revision:
            return
        if not repeated:
            self.next_result += 1
        batch = [result(f"r{self.next_result}")]
        if batch[0] in known:
            return
        outcome = self.repository.append("lot-1", revision, len(known), batch)
        if isinstance(outcome, Kept):
            self.beliefs[owner] = (revision, known + batch)

    @rule(done=st.booleans())
    def lose_next_answer(self, done):
        self.store.faults.lose_writes = 1
        self.store.faults.apply_lost_writes = done

    @invariant()
    def positions_never_change(self):
        results = self.repository.results("lot-1", 0)
        assert results[: len(self.seen)] == self.seen
        self.seen = results
        for _, known in self.beliefs.values():
            assert results[: len(known)] == known


OwnersRace.TestCase.settings = settings(max_examples=150, stateful_step_count=30)
TestOwnersRace = OwnersRace.TestCase


# --- Lots that are too large for one call ------------------------------------


def large_lot(submitted_at=0.0):
    body = bytes(range(256)) * 200
    samples = tuple(
        Sample(f"s{n}", "/lots-in/x", (), body, group="g") for n in range(60)
    )
    return Lot("large", "h", "/lots-in/", samples, submitted_at=submitted_at)


LARGE_VALUE_BYTES = 100_000


@pytest.fixture
def small_writes(monkeypatch):
    """Write at most two rows of samples at once."""
    monkeypatch.setattr(repository_module, "WRITE_BYTES", 120_000)


class CountingStore:
    """Passes writes on to a store, and remembers how many rows each has."""

    def __init__(self, rows):
        self._rows = rows
        self.sizes = []

    def __getattr__(self, name):
        return getattr(self._rows, name)

    def write(self, expected, puts=(), deletes=()):
        self.sizes.append(len(puts))
        return self._rows.write(expected, puts, deletes)


def test_a_large_lot_is_written_in_several_calls_and_read_back_whole(small_writes):
    store = CountingStore(make_store())
    repository = LotRepository(store, LARGE_VALUE_BYTES)
    assert isinstance(repository.accept(large_lot(), "e1"), Kept)
    head = repository.head("large")
    assert head.parts > 32
    # The head row comes last, alone.
    assert max(store.sizes) == 2
    assert store.sizes[-1] == 1
    assert repository.load("large", head.parts, head.digest) == large_lot()
    assert repository.stored_form(large_lot()) == (head.parts, head.digest)


@pytest.mark.parametrize("applied", [True, False])
def test_a_lost_answer_to_a_part_is_repeated(small_writes, applied):
    rows = make_store()
    rows.faults.lose_writes = 2
    rows.faults.apply_lost_writes = applied
    repository = LotRepository(rows, LARGE_VALUE_BYTES)
    assert isinstance(repository.accept(large_lot(), "e1"), Kept)
    head = repository.head("large")
    assert repository.load("large", head.parts, head.digest) == large_lot()


def test_a_large_lot_whose_parts_are_not_written_is_certainly_not_kept(small_writes):
    rows = make_store()
    rows.faults.lose_writes = 9
    rows.faults.apply_lost_writes = True
    repository = LotRepository(rows, LARGE_VALUE_BYTES)
    assert isinstance(repository.accept(large_lot(), "e1"), NotKept)
    assert repository.head("large") == NoLot()


def test_two_writers_of_one_large_lot_do_not_mix_their_parts(small_writes):
    """Each entry that receives a submission notes another time of it."""
    rows = make_store()
    repository = LotRepository(rows, LARGE_VALUE_BYTES)
    assert isinstance(repository.accept(large_lot(1.0), "e1"), Kept)
    assert repository.accept(large_lot(2.0), "e2") == AlreadyKept()
    head = repository.head("large")
    assert head.owner == "e1"
    assert repository.load("large", head.parts, head.digest) == large_lot(1.0)
