"""Whether a Lot that the store lacks may have been accepted, without a network."""

import pytest

from wigeonfront.clock import ManualClock
from wigeonfront.coordination.membership import MAX_ABSENCE_SECONDS
from wigeonfront.rollout.disks import LAPSED_SECONDS
from wigeonfront.rollout.pending import (
    LISTING_SECONDS,
    DiskRegistrations,
    PendingLots,
    doubt_about_disks,
)
from wigeonfront.rollout.submissions import KEY_PREFIX
from wigeonfront.spool import Unreached


class ScriptedSpool:
    """Disks that hold the given Lots; other disks do not answer."""

    def __init__(self, **held):
        self.held = held
        self.asked = []

    def keys(self, address, prefix):
        self.asked.append(address)
        if address not in self.held:
            return Unreached()
        return tuple(KEY_PREFIX + lot for lot in self.held[address])


def make_pending(spool, addresses=("d1", "d2"), clock=None):
    disks = DiskRegistrations(addresses, (), 60.0)
    return PendingLots(spool, lambda: disks, clock or ManualClock())


@pytest.mark.parametrize(
    ("absent", "followed_for", "doubt"),
    [
        ((), 0.0, ""),
        ((), None, "store not followed"),
        (("s1",), None, "store not followed"),
        (("s1", "s2"), 0.0, "disk of s1 not back"),
        # The process may be cut off from the store and from all others.
        (("s1",), MAX_ABSENCE_SECONDS, "disk of s1 not back"),
        (("s1",), 300.0, "disk of s1 not back"),
        (("s1",), LAPSED_SECONDS - 0.1, "disk of s1 not back"),
        # Its disk would have dropped the Lot by now.
        (("s1",), LAPSED_SECONDS, ""),
    ],
)
def test_when_unregistered_disks_may_have_lots(absent, followed_for, doubt):
    assert doubt_about_disks(DiskRegistrations(("d1",), absent, followed_for)) == doubt


@pytest.mark.parametrize(
    ("held", "doubt"),
    [
        ({"d1": [], "d2": []}, ""),
        ({"d1": ["l2"], "d2": ["l2"]}, ""),
        ({"d1": ["l1"], "d2": []}, "on disks, not in the store yet"),
        ({"d1": [], "d2": ["l1"]}, "on disks, not in the store yet"),
        ({"d1": [], "d2": ["l2", "l1"]}, "on disks, not in the store yet"),
        ({"d1": ["l1"]}, "on disks, not in the store yet"),
        ({"d2": []}, "disk d1 not reached"),
        ({"d1": []}, "disk d2 not reached"),
    ],
)
def test_a_lot_is_in_doubt_unless_every_disk_lacks_it(held, doubt):
    assert make_pending(ScriptedSpool(**held)).doubt_reason("l1") == doubt


def test_no_lot_is_in_doubt_without_disks():
    spool = ScriptedSpool()
    assert make_pending(spool, addresses=()).doubt_reason("l1") == ""
    assert spool.asked == []


def test_lookups_of_several_lots_share_one_listing():
    clock = ManualClock()
    spool = ScriptedSpool(d1=["l7"], d2=[])
    pending = make_pending(spool, clock=clock)
    doubts = [pending.doubt_reason(f"l{number}") for number in range(10)]
    assert [number for number, doubt in enumerate(doubts) if doubt] == [7]
    assert spool.asked == ["d1", "d2"]
    spool.held["d2"].append("l8")
    clock.advance(LISTING_SECONDS + 0.01)
    assert pending.doubt_reason("l8")
    assert spool.asked == ["d1", "d2"] * 2
