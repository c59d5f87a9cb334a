"""Clocks that differ or jump cause no sample to be given up too early or too late."""

import pytest

from rows_fakes import wait_for
from test_scoring import Calls, Owner, make_lot
from wigeonfront.clock import ManualClock
from wigeonfront.rollout.progress import LotProgress, submission_times

JUMPS = (-30.0, -2.0, 2.0, 30.0)


class WrongClock(ManualClock):
    """A clock with a wrong Unix time, which may jump."""

    def __init__(self, offset=0.0):
        super().__init__(100.0)
        self.offset = offset

    def time(self):
        return 1_000_000.0 + self.monotonic() + self.offset


@pytest.mark.parametrize("jump", JUMPS)
@pytest.mark.parametrize("stage", ["waits", "runs", "is scored"])
def test_a_clock_jump_gives_up_no_sample_early(stage, jump):
    clock = WrongClock()
    calls = Calls()
    if stage == "is scored":
        calls.held.clear()
    owner = Owner(calls, clock=clock)
    try:
        if stage == "waits":
            for target in owner.runner._table.all_targets():
                owner.runner._table.record_refused(target.id, "")
        progress = owner.adopt(make_lot(submitted_at=clock.time()))
        if stage == "is scored":
            wait_for(lambda: calls.sent)
        clock.offset += jump
        clock.advance(39.0)
        owner.runner.wake()
        calls.held.set()
        wait_for(lambda: not progress.open)
        (result,) = progress.unwritten
        assert result.completed
        assert all(left <= 40.0 for *_, left in calls.sent)
    finally:
        owner.close()


@pytest.mark.parametrize("jump", JUMPS)
def test_a_clock_jump_does_not_delay_giving_up_a_sample(jump):
    clock = WrongClock()
    calls = Calls()
    owner = Owner(calls, routes=(), clock=clock)
    try:
        progress = owner.adopt(make_lot(submitted_at=clock.time()))
        clock.offset += jump
        clock.advance(40.5)
        owner.runner.wake()
        wait_for(lambda: not progress.open)
        assert not progress.unwritten[0].completed
    finally:
        owner.close()


@pytest.mark.parametrize("skew", [-8.0, 0.0, 8.0])
@pytest.mark.parametrize("known_for", [0.0, 5.0, 39.5, 40.5])
def test_the_next_owner_gives_up_by_the_time_for_which_it_has_known_the_lot(
    known_for, skew
):
    """The clocks of the two owners differ by `skew`, which must have no effect."""
    lot = make_lot(give_up_seconds=40.0, due_seconds=7.5, submitted_at=1_000.0)
    now, unix_now = 500.0, 1_000.0 + known_for + skew
    progress = LotProgress(lot, 1, [], submission_times(lot, known_for, now, unix_now))
    assert (now >= progress.gives_up_at) == (known_for >= 40.0)
    # The due time, which orders the Lots, is off by at most the Lot's `due_seconds`.
    assert now - known_for <= progress.due_at <= now - known_for + 7.5


def test_the_older_of_two_lots_comes_first_also_after_a_restart():
    clock = WrongClock()
    ages = (3.0, 1.0)
    lots = [make_lot(due_seconds=7.5, submitted_at=clock.time() - age) for age in ages]
    times = [
        submission_times(lot, 0.0, clock.monotonic(), clock.time()) for lot in lots
    ]
    assert times[0].likely < times[1].likely
