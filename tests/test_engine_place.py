"""How often a side reads where its engine stands."""

import pytest

from wigeonfront.clock import ManualClock
from wigeonfront.node.engine_place import (
    MAX_REFRESH_SECONDS,
    MIN_REFRESH_SECONDS,
    EnginePlace,
)
from wigeonfront.weights.plan import Place


class Reads:
    """Places that are read at given times."""

    def __init__(self):
        self.clock = ManualClock(50.0)
        self.place = Place(1, 4, ("m",))
        self.count = 0
        self.known = EnginePlace(self._read, self.clock)

    def _read(self):
        self.count += 1
        return self.place

    def find_for(self, seconds, step=1.0):
        """Find the place again and again; return how often it was read."""
        before = self.count
        for _ in range(round(seconds / step)):
            self.known.find()
            self.clock.advance(step)
        return self.count - before


@pytest.fixture
def reads():
    return Reads()


def test_a_place_that_stays_is_read_ever_more_rarely(reads):
    assert reads.known.find() == reads.place
    assert reads.find_for(60.0) <= 5
    assert reads.find_for(600.0) <= 600 / MAX_REFRESH_SECONDS + 1


def test_a_place_that_changes_is_known_and_read_often_again(reads):
    reads.find_for(200.0)
    reads.place = Place(2, 5, ("m",))
    reads.find_for(MAX_REFRESH_SECONDS + 1)
    assert reads.known.find() == reads.place
    assert reads.find_for(4 * MIN_REFRESH_SECONDS) >= 2


def test_a_start_in_which_engines_come_one_by_one_is_followed(reads):
    for count in range(1, 8):
        reads.place = Place(0, count, ("m",))
        reads.find_for(MIN_REFRESH_SECONDS + 1)
        assert reads.known.find() == reads.place


def test_what_can_not_be_read_stays_and_is_tried_again_soon(reads):
    known = reads.place
    reads.find_for(200.0)
    reads.place = None
    reads.find_for(MAX_REFRESH_SECONDS + 1)
    assert reads.known.find() == known
    assert reads.find_for(4 * MIN_REFRESH_SECONDS) >= 3
