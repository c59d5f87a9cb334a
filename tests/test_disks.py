"""What proves that the disks of a Lot are lost, without a network."""

import pytest

from wigeonfront.clock import ManualClock
from wigeonfront.rollout.disks import LAPSED_SECONDS, DiskRegistrations, loss_proof
from wigeonfront.rollout.spooling import LotSpools
from wigeonfront.spool import SpoolMember, Unreached

FENCE = 7
MEMBERS = (SpoolMember("h1:1", "d1"), SpoolMember("h2:1", "d2"))


class SilentSpool:
    """Disks of which none answers."""

    def __init__(self):
        self.asked = []

    def recover(self, members, key, fence):
        self.asked.append(tuple(members))
        return Unreached()


def make_rows(registered=(), recorded=("d1", "d2"), followed_for=1e6, revision=FENCE):
    return DiskRegistrations(
        (),
        (),
        followed_for,
        {disk: f"new-{disk}:1" for disk in registered},
        None if recorded is None else frozenset(recorded),
        revision,
    )


@pytest.mark.parametrize(
    ("rows", "unregistered_for", "proof"),
    [
        pytest.param(make_rows(("d1",)), 0.0, "", id="registered"),
        pytest.param(make_rows(), 0.0, "", id="lapsed just now"),
        pytest.param(make_rows(), 300.0, "", id="cut off for minutes"),
        pytest.param(
            make_rows(), LAPSED_SECONDS, "unregistered for long", id="gone for good"
        ),
        pytest.param(
            make_rows(followed_for=300.0), LAPSED_SECONDS, "", id="store was away"
        ),
        pytest.param(
            make_rows(followed_for=None), LAPSED_SECONDS, "", id="store not followed"
        ),
        pytest.param(make_rows(recorded=("d3", "d2")), 0.0, "replaced", id="new disk"),
        pytest.param(make_rows(recorded=()), 0.0, "replaced", id="retired"),
        pytest.param(
            make_rows(recorded=(), revision=FENCE - 1), 0.0, "", id="old rows"
        ),
        pytest.param(make_rows(recorded=None), 0.0, "", id="malformed row"),
    ],
)
def test_what_proves_the_loss_of_a_disk(rows, unregistered_for, proof):
    assert loss_proof("d1", rows, FENCE, unregistered_for) == proof


@pytest.mark.parametrize(
    ("rows", "seconds", "given_up"),
    [
        # The disks answer nobody, or only this process does not reach them.
        (make_rows(("d1", "d2")), 11.0, False),
        (make_rows(("d1", "d2")), 30.0, False),
        (make_rows(("d1", "d2")), 2 * LAPSED_SECONDS, False),
        # Their registrations lapse if they are cut off from the store as well.
        (make_rows(), 30.0, False),
        (make_rows(), 300.0, False),
        (make_rows(("d1",)), 2 * LAPSED_SECONDS, False),
        # One is lost, which the deployment tolerates; the other still has the results.
        (make_rows(("d2",), recorded=("d2", "d3")), 300.0, False),
        (make_rows((), recorded=("d2", "d3")), 300.0, False),
        # More are lost than the deployment tolerates.
        (make_rows(("d3", "d4"), recorded=("d3", "d4")), 0.0, True),
        (make_rows(), LAPSED_SECONDS, True),
        (make_rows(("d3",), recorded=("d3", "d2")), LAPSED_SECONDS, True),
    ],
)
def test_results_on_silent_disks_are_given_up_only_with_a_proof_of_each_loss(
    rows, seconds, given_up
):
    """A new owner took ten seconds without an answer for the loss of all disks."""
    clock = ManualClock()
    spools = LotSpools(SilentSpool(), list, lambda: rows, 2, clock)
    outcomes = [spools.recover("l1", MEMBERS, FENCE, [])]
    clock.advance(seconds)
    outcomes.append(spools.recover("l1", MEMBERS, FENCE, []))
    assert (outcomes[-1] == []) is given_up
    assert isinstance(outcomes[0], Unreached) or not seconds


def test_a_disk_that_was_registered_meanwhile_counts_as_unregistered_anew():
    clock = ManualClock()
    rows = make_rows()
    spools = LotSpools(SilentSpool(), list, lambda: rows, 2, clock)
    for registered in ((), ("d1", "d2"), ()):
        rows = make_rows(registered)
        assert spools.recover("l1", MEMBERS, FENCE, []) == Unreached()
        clock.advance(0.6 * LAPSED_SECONDS)
    assert spools.recover("l1", MEMBERS, FENCE, []) == Unreached()


def test_a_disk_is_asked_where_it_is_registered_now():
    spool = SilentSpool()
    rows = make_rows(("d2",))
    LotSpools(spool, list, lambda: rows, 2, ManualClock()).recover("l", MEMBERS, 1, [])
    assert spool.asked == [(MEMBERS[0], SpoolMember("new-d2:1", "d2"))]
