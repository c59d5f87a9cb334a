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
    is_surely_owned,
    preferred_owner,
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
        # The process owns the Lot, after a lost answer or while it runs the Lot.
        ("n1.aa", {}, True),
        ("n1.aa", {"owned": ("lot",)}, False),
        # The owner is live, has been missing for a moment, or is gone.
        ("n2.bb", {"members": (ME, OTHER)}, False),
        ("n2.bb", {"missing": {"n2.bb": 9.5}}, False),
        ("n2.bb", {"missing": {"n2.bb": 8.0}}, True),
        # A restarted VM has lost what its previous process ran.
        ("n1.old", {}, True),
        ("n2.old", {"members": (ME, OTHER)}, False),
        ("n2.old", {"members": (ME, LEAVING)}, True),
        (NO_OWNER, {}, True),
        (NO_OWNER, {"state": LotState.ENDED}, False),
        # A leaving member keeps its Lots, and takes over no others.
        ("n2.bb", {"members": (ME, LEAVING)}, False),
        (NO_OWNER, {"members": (ME, LEAVING)}, True),
        (NO_OWNER, {"members": (LEAVING_ME,)}, False),
        ("n2.bb", {"missing": {"n2.bb": 8.0}, "state": LotState.ENDED}, False),
    ],
)
def test_which_lots_are_claimed(owner, fields, claimed):
    assert (claim(owner, **fields) == ["lot"]) is claimed


def test_a_restarted_entry_claims_its_own_lots_without_knowing_other_members():
    """The member that the hash would choose may be gone and still be registered."""
    heads = {f"lot-{n}": Head("n1.old", LotState.OPEN, 3) for n in range(20)}
    for members in ([ME], [ME, OTHER]):
        found = claimable_lots(heads, members, {}, ME.incarnation, (), 10.0, GRACE)
        assert set(found) == set(heads)
        assert not claimable_lots(
            heads, members, {}, OTHER.incarnation, (), 10.0, GRACE
        )


def test_members_claim_a_lot_one_after_the_other():
    live = [f"n{number}.x" for number in range(7)]
    first_claimers = {
        incarnation
        for number in range(200)
        for incarnation in live
        if claim_delay(f"lot-{number}", incarnation, live) == 0.0
    }
    assert first_claimers == set(live)
    delays = sorted(claim_delay("lot", incarnation, live) for incarnation in live)
    assert delays == [number * CLAIM_STEP_SECONDS for number in range(7)]
    assert claim_delay("lot", "gone.x", live) == math.inf


def test_the_next_member_claims_a_lot_that_the_first_member_does_not_claim():
    """The first member is gone, and its lease has not expired."""
    heads = {f"lot-{n}": Head("n3.gone", LotState.OPEN, 3) for n in range(40)}
    missing = {"n3.gone": 0.0}
    members = [ME, OTHER]
    for waited, mine in ((GRACE, False), (GRACE + CLAIM_STEP_SECONDS, True)):
        found = claimable_lots(
            heads, members, missing, ME.incarnation, (), waited, GRACE
        )
        assert (len(found) == len(heads)) is mine


def test_the_oldest_lots_are_claimed_first():
    heads = {
        name: Head("gone.x", LotState.OPEN, 1, submitted_at=submitted_at)
        for name, submitted_at in (("b", 2.0), ("a", 3.0), ("c", 1.0))
    }
    missing = {"gone.x": 0.0}
    found = claimable_lots(heads, [ME], missing, ME.incarnation, (), 10.0, GRACE)
    assert found == ["c", "b", "a"]


def member(name, domain="z1", cores=1.0, leaving=False):
    return Member(name, f"{name}.x", f"{name}:1", leaving, domain, cores)


def owners_of(members, models=40, domain="z1"):
    lots = [make_lot(model=f"m{number}") for number in range(models)]
    owners = [preferred_owner(lot, members, domain) for lot in lots]
    return {owner.name for owner in owners if owner is not None}


@pytest.mark.parametrize(
    ("members", "owners"),
    [
        ([], set()),
        ([member("a", "z2")], set()),
        ([member("a"), member("b"), member("c", "z2")], {"a", "b"}),
        ([member("a"), member("b", leaving=True)], {"a"}),
        # Small members own no new Lots while there are large ones.
        ([member("a", cores=2.15), member("b", cores=0.39)], {"a"}),
        ([member("a", cores=0.9), member("b", cores=0.5)], {"a", "b"}),
        ([member("a", "z2", 9.0), member("b", cores=0.4)], {"b"}),
    ],
)
def test_a_new_lot_goes_to_a_large_member_of_its_failure_domain(members, owners):
    assert owners_of(members) == owners
    assert owners_of(members[::-1]) == owners


def test_all_lots_of_a_trainer_have_one_owner_also_when_other_members_leave():
    members = [member(f"n{number}") for number in range(8)]
    lots = [make_lot(f"lot-{number}", model="m") for number in range(9)]
    (owner,) = {preferred_owner(lot, members, "z1").name for lot in lots}
    others = [other for other in members if other.name != owner]
    for gone in others:
        remaining = [other for other in members if other is not gone]
        assert preferred_owner(lots[0], remaining, "z1").name == owner


SURE_UNTIL = 100.0 + OWNER_GRACE_SECONDS - CLOCK_MARGIN_SECONDS


@pytest.mark.parametrize(
    ("changes", "sure"),
    [
        pytest.param({}, True, id="registered"),
        pytest.param(
            {"now": SURE_UNTIL - 0.01}, True, id="lapsed, grace period not over"
        ),
        pytest.param({"now": SURE_UNTIL}, False, id="others may have taken over"),
        pytest.param({"presence_revision": 0}, False, id="was missing, mirror too old"),
        pytest.param(
            {"presence_revision": 0, "mirror_revision": 20},
            True,
            id="was missing, nobody took over",
        ),
        pytest.param(
            {"presence_revision": 0, "mirror_revision": 20, "head": 19},
            False,
            id="was replaced",
        ),
        pytest.param({"head": 8}, True, id="its own head row"),
        pytest.param({"head": 9}, False, id="another head row"),
        pytest.param({"run": 0}, True, id="no head row yet"),
        pytest.param({"run": 0, "head": 9}, False, id="a head row of another process"),
        pytest.param({"presence": Presence()}, False, id="not registered"),
    ],
)
def test_when_an_owner_is_sure_that_no_other_process_owns_its_lot(changes, sure):
    state = {
        "run": 8,
        "presence_revision": 20,
        "presence": Presence(20, 100.0),
        "mirror_revision": 10,
        "head": None,
        "now": 99.0,
    } | changes
    run = LotProgress(make_lot(), state["run"], [])
    run.presence_revision = state["presence_revision"]
    head = state["head"] and Head("", LotState.OPEN, 3, revision=state["head"])
    found = is_surely_owned(
        run, state["presence"], head, state["mirror_revision"], state["now"]
    )
    assert found is sure
