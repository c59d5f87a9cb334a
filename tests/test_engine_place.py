"""Tests of how often a side reads the place of its engine."""

import pytest

from wigeonfront.clock import ManualClock
from wigeonfront.node.engine_place import (
    MAX_REFRESH_SECONDS,
    MIN_REFRESH_SECONDS,
    EnginePlace,
)
from wigeonfront.weights.plan import Place


class Reads:
    """A fake source of places that counts the reads."""

    def __init__(self):
        self.clock = ManualClock(50.0)
        self.place = Place(1, 4, ("m",))
        self.count = 0
        self.known = EnginePlace(self._read, self.clock)

    def _read(self):
        self.count += 1
        return self.place

    def find_for(self, seconds, step=1.0):
        """Find the place once per step; return how often it was read."""
        before = self.count
        for _ in range(round(seconds / step)):
            self.known.find()
            self.clock.advance(step)
        return self.count - before


@pytest.fixture
def reads():
    return Reads()


def test_an_unchanged_place_is_read_less_and_less_often(reads):
    assert reads.known.find() == reads.place
    assert reads.find_for(60.0) <= 5
    assert reads.find_for(600.0) <= 600 / MAX_REFRESH_SECONDS + 1


def test_a_changed_place_is_found_and_read_often_again(reads):
    reads.find_for(200.0)
    reads.place = Place(2, 5, ("m",))
    reads.find_for(MAX_REFRESH_SECONDS + 1)
    assert reads.known.find() == reads.place
    assert reads.find_for(4 * MIN_REFRESH_SECONDS) >= 2


def test_engines_that_start_one_by_one_are_each_noticed(reads):
    for count in range(1, 8):
        reads.place = Place(0, count, ("m",))
        reads.find_for(MIN_REFRESH_SECONDS + 1)
        assert reads.known.find() == reads.place


def test_a_failed_read_keeps_the_place_and_is_retried_soon(reads):
    known = reads.place
    reads.find_for(200.0)
    reads.place = None
    reads.find_for(MAX_REFRESH_SECONDS + 1)
    assert reads.known.find() == known
    assert reads.find_for(4 * MIN_REFRESH_SECONDS) >= 3
