"""Tests of how long a holder counts as missing, from an entry's mirror of the store."""

import pytest

from wigeonfront.clock import ManualClock
from wigeonfront.coordination.assignment import ABSENT_SECONDS, Assignment, Holders
from wigeonfront.coordination.mirror import MirrorState
from wigeonfront.coordination.rows import Row
from wigeonfront.node.assigning import MembershipTracker
from wigeonfront.node.following import ConfigurationFollower

ASSIGNMENT = Assignment(Holders(("n1", "n2")), revision=1)


class SeenRows:
    """A fake mirror whose registrations and outages a test sets."""

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


def test_absence_counts_from_when_a_holder_is_first_seen_missing(tracker, seen, clock):
    assert tracker.view(ASSIGNMENT).absent == {}
    seen.names = ("n2", "n3")
    assert tracker.view(ASSIGNMENT).absent == {"n1": 0.0}
    clock.advance(2.5)
    assert tracker.view(ASSIGNMENT).absent == {"n1": 2.5}
    seen.names = ("n1", "n2", "n3")
    assert tracker.view(ASSIGNMENT).absent == {}


@pytest.mark.parametrize("missed_before", [True, False])
def test_absence_counts_anew_from_the_end_of_an_outage(
    tracker, seen, clock, missed_before
):
    """The length of the outage does not count, nor is any time added to the absence."""
    if missed_before:
        seen.names = ("n2", "n3")
        tracker.view(ASSIGNMENT)
    seen.failing = True
    clock.advance(7.0)
    assert tracker.view(ASSIGNMENT) is None
    seen.failing = False
    seen.names = ("n2", "n3")
    seen.regained_at = clock.monotonic()
    assert tracker.view(ASSIGNMENT).absent == {"n1": 0.0}
    clock.advance(ABSENT_SECONDS)
    assert tracker.view(ASSIGNMENT).absent == {"n1": ABSENT_SECONDS}
