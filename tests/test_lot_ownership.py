import math

import pytest

from rows_fakes import make_lot
from wigeonfront.coordination.membership import Member, Presence
from wigeonfront.rollout.head import Head, LotState
from wigeonfront.rollout.ownership import (
    CLAIM_STEP_SECONDS,
    CLOCK_MARGIN_SECONDS,
    NO_OWNER,
    OWNER_GRACE_SECONDS,
    claim_delay,
    claimable_lots,
    preferred_owner,
    is_surely_owned,
)
from wigeonfront.rollout.progress import LotProgress

ME = Member("n1", "n1.aa", "10.0.0.1:1")
OTHER = Member("n2", "n2.bb", "10.0.0.2:1")
LEAVING = Member("n2", "n2.bb", "10.0.0.2:1", leaving=True)
LEAVING_ME = Member("n1", "n1.aa", "10.0.0.1:1", leaving=True)
GRACE = 1.5


def claim(owner, state=LotState.OPEN, members=(ME,), missing=(), owned=(), now=10.0):
    heads = {"lot": Head(owner, state, 3)}
    return claimable_lots(
        heads, members, dict(missing), ME.incarnation, owned, now, GRACE
    )


@pytest.mark.parametrize(
    ("owner", "fields", "claimed"),
    [
        # Its own, found after a lost answer, or running already.
        ("n1.aa", {}, True),
        ("n1.aa", {"owned": ("lot",)}, False),
        # An owner that lives, is missing for a moment, or is gone.
        ("n2.bb", {"members": (ME, OTHER)}, False),
        ("n2.bb", {"missing": {"n2.bb": 9.5}}, False),
        ("n2.bb", {"missing": {"n2.bb": 8.0}}, True),
        # A machine that has started again has lost what its process ran.
        ("n1.old", {}, True),
        ("n2.old", {"members": (ME, OTHER)}, False),
        ("n2.old", {"members": (ME, LEAVING)}, True),
        (NO_OWNER, {}, True),
        (NO_OWNER, {"state": LotState.ENDED}, False),
        # A leaving member runs on what it has, and takes nothing over.
        ("n2.bb", {"members": (ME, LEAVING)}, False),
        (NO_OWNER, {"members": (ME, LEAVING)}, True),
        (NO_OWNER, {"members": (LEAVING_ME,)}, False),
        ("n2.bb", {"missing": {"n2.bb": 8.0}, "state": LotState.ENDED}, False),
    ],
)
def test_who_takes_over(owner, fields, claimed):
    assert (claim(owner, **fields) == ["lot"]) is claimed


def test_a_machine_that_starts_again_takes_its_own_lots_before_it_knows_the_others():
    """Whoever a hash would choose may still be registered and be gone."""
    heads = {f"lot-{n}": Head("n1.old", LotState.OPEN, 3) for n in range(20)}
    for members in ([ME], [ME, OTHER]):
        found = claimable_lots(heads, members, {}, ME.incarnation, (), 10.0, GRACE)
        assert set(found) == set(heads)
        assert not claimable_lots(
            heads, members, {}, OTHER.incarnation, (), 10.0, GRACE
        )


def test_each_lot_goes_to_one_member():
    live = [f"n{number}.x" for number in range(7)]
    chosen = {
        one
        for number in range(200)
        for one in live
        if claim_delay(f"lot-{number}", one, live) == 0.0
    }
    assert chosen == set(live)
    pauses = sorted(claim_delay("lot", one, live) for one in live)
    assert pauses == [number * CLAIM_STEP_SECONDS for number in range(7)]
    assert claim_delay("lot", "gone.x", live) == math.inf


def test_the_next_member_claims_a_lot_that_the_first_does_not():
    """The first is gone, and its lease has not run out."""
    heads = {f"lot-{n}": Head("n3.gone", LotState.OPEN, 3) for n in range(40)}
    missing = {"n3.gone": 0.0}
    members = [ME, OTHER]
    for waited, mine in ((GRACE, False), (GRACE + CLAIM_STEP_SECONDS, True)):
        found = claimable_lots(
            heads, members, missing, ME.incarnation, (), waited, GRACE
        )
        assert (len(found) == len(heads)) is mine


def test_the_oldest_lots_come_first():
    heads = {
        name: Head("gone.x", LotState.OPEN, 1, submitted_at=at)
        for name, at in (("b", 2.0), ("a", 3.0), ("c", 1.0))
    }
    missing = {"gone.x": 0.0}
    found = claimable_lots(heads, [ME], missing, ME.incarnation, (), 10.0, GRACE)
    assert found == ["c", "b", "a"]


def member(name, domain="z1", cores=1.0, leaving=False):
    return Member(name, f"{name}.x", f"{name}:1", leaving, domain, cores)


def owners_of(members, models=40, domain="z1"):
    lots = [make_lot(model=f"m{number}") for number in range(models)]
    found = [preferred_owner(lot, members, domain) for lot in lots]
    return {one.name for one in found if one is not None}


@pytest.mark.parametrize(
    ("members", "owners"),
    [
        ([], set()),
        ([member("a", "z2")], set()),
        ([member("a"), member("b"), member("c", "z2")], {"a", "b"}),
        ([member("a"), member("b", leaving=True)], {"a"}),
        # Small machines own nothing while there are large ones.
        ([member("a", cores=2.15), member("b", cores=0.39)], {"a"}),
        ([member("a", cores=0.9), member("b", cores=0.5)], {"a", "b"}),
        ([member("a", "z2", 9.0), member("b", cores=0.4)], {"b"}),
    ],
)
def test_a_new_lot_goes_to_a_large_member_of_its_failure_domain(members, owners):
    assert owners_of(members) == owners
    assert owners_of(members[::-1]) == owners


def test_all_lots_of_a_trainer_have_one_owner_also_as_others_come_and_go():
    members = [member(f"n{number}") for number in range(8)]
    lots = [make_lot(f"lot-{number}", model="m") for number in range(9)]
    (owner,) = {preferred_owner(lot, members, "z1").name for lot in lots}
    others = [one for one in members if one.name != owner]
    for gone in others:
        left = [one for one in members if one is not gone]
        assert preferred_owner(lots[0], left, "z1").name == owner


LAST = 100.0 + OWNER_GRACE_SECONDS - CLOCK_MARGIN_SECONDS


@pytest.mark.parametrize(
    ("changes", "sure"),
    [
        pytest.param({}, True, id="registered"),
        pytest.param({"now": LAST - 0.01}, True, id="lapsed, nobody takes over yet"),
        pytest.param({"now": LAST}, False, id="others may have taken over"),
        pytest.param({"presence_revision": 0}, False, id="was missing, copy too old"),
        pytest.param(
            {"presence_revision": 0, "copy": 20}, True, id="was missing, nobody took over"
        ),
        pytest.param(
            {"presence_revision": 0, "copy": 20, "head": 19}, False, id="was replaced"
        ),
        pytest.param({"head": 8}, True, id="its own head"),
        pytest.param({"head": 9}, False, id="another head"),
        pytest.param({"run": 0}, True, id="no head yet"),
        pytest.param({"run": 0, "head": 9}, False, id="a head that it did not write"),
        pytest.param({"presence": Presence()}, False, id="not registered"),
    ],
)
def test_whether_a_lot_that_is_run_here_may_have_another_owner(changes, sure):
    state = {
        "run": 8,
        "presence_revision": 20,
        "presence": Presence(20, 100.0),
        "copy": 10,
        "head": None,
        "now": 99.0,
    } | changes
    run = LotProgress(make_lot(), state["run"], [])
    run.presence_revision = state["presence_revision"]
    head = state["head"] and Head("", LotState.OPEN, 3, revision=state["head"])
    found = is_surely_owned(run, state["presence"], head, state["copy"], state["now"])
    assert found is sure
