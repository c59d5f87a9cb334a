"""Who counts as missing, by what an entry sees of the store."""

import pytest

from wigeonfront.clock import ManualClock
from wigeonfront.coordination.assignment import ABSENT_SECONDS, Assignment, Holders
from wigeonfront.coordination.mirror import MirrorState
from wigeonfront.coordination.rows import Row
from wigeonfront.node.assigning import MembershipTracker
from wigeonfront.node.following import ConfigurationFollower

AGREED = Assignment(Holders(("n1", "n2")), revision=1)


class SeenRows:
    """A mirror of registrations, as a test says."""

    def __init__(self):
        self.ready = True
        self.failing = False
        self.regained_at = -1e9
        self.names = ("n1", "n2", "n3")

    def state(self):
        rows = {
            f"live/entry/{name}": Row(
                f"live/entry/{name}",
                b'{"incarnation":"%s.1","address":"h:1"}' % name.encode(),
                1,
            )
            for name in self.names
        }
        return MirrorState(rows, 1)


class NoTargets:
    def all_targets(self):
        return []


@pytest.fixture
def seen():
    return SeenRows()


@pytest.fixture
def clock():
    return ManualClock(100.0)


@pytest.fixture
def tracker(seen, clock):
    return MembershipTracker(seen, NoTargets(), ConfigurationFollower(clock), clock)


def test_a_holder_is_missing_from_when_it_was_first_not_seen(tracker, seen, clock):
    assert tracker.view(AGREED).absent == {}
    seen.names = ("n2", "n3")
    assert tracker.view(AGREED).absent == {"n1": 0.0}
    clock.advance(2.5)
    assert tracker.view(AGREED).absent == {"n1": 2.5}
    seen.names = ("n1", "n2", "n3")
    assert tracker.view(AGREED).absent == {}


@pytest.mark.parametrize("missed_before", [True, False])
def test_after_an_outage_holders_get_the_same_time_to_return(
    tracker, seen, clock, missed_before
):
    """Its length does not count, and nothing more is waited for."""
    if missed_before:
        seen.names = ("n2", "n3")
        tracker.view(AGREED)
    seen.failing = True
    clock.advance(7.0)
    assert tracker.view(AGREED) is None
    seen.failing = False
    seen.names = ("n2", "n3")
    seen.regained_at = clock.monotonic()
    assert tracker.view(AGREED).absent == {"n1": 0.0}
    clock.advance(ABSENT_SECONDS)
    assert tracker.view(AGREED).absent == {"n1": ABSENT_SECONDS}
