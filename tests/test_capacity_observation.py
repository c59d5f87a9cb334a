import pytest

from test_capacity_admission import demand
from wigeonfront.capacity.observation import SLOTS_SECONDS, DrainRate, SlotWatch
from wigeonfront.targets.target import Target
from wigeonfront.targets.views import TargetView


def engine(slots, available=True, draining=False):
    target = Target("e", "s", "h:1", "z", slots)
    return TargetView(target, 0, 0.0, available, draining, {}, {})


@pytest.mark.parametrize(
    ("views", "now", "slots", "absent_for"),
    [
        ([engine(4), engine(8)], 1.0, 12, 0.0),
        ([engine(4), engine(8, available=False)], 1.0, 8, 0.0),
        ([engine(4), engine(8, draining=True)], SLOTS_SECONDS, 8, 0.0),
        ([engine(4)], SLOTS_SECONDS + 0.1, 4, 0.0),
        ([], 1.0, 8, 1.0),
        ([], SLOTS_SECONDS + 0.1, 0, SLOTS_SECONDS + 0.1),
    ],
)
def test_slots_count_for_a_while_after_they_were_usable(views, now, slots, absent_for):
    watch = SlotWatch()
    watch.observe([engine(8)], 0.0)
    watch.observe(views, now)
    assert (watch.slots, watch.absent_for(now)) == (slots, absent_for)


def test_slots_are_unknown_before_an_observation():
    watch = SlotWatch()
    assert (watch.slots, watch.absent_for(1.0)) == (None, None)
    watch.observe([], 1.0)
    assert (watch.slots, watch.absent_for(9.0)) == (0, None)


@pytest.mark.parametrize(
    ("left", "rate"),
    [
        ([], 0.0),
        ([{"b": 10.0}], 0.0),
        ([{"b": 10.0}, {"b": 6.0}], 4.0),
        # A Lot that comes or goes, or whose estimate grows, is not finished work.
        ([{"b": 10.0}, {"b": 6.0, "c": 50.0}, {"c": 48.0}], 3.0),
        ([{"b": 10.0}, {"b": 14.0}], 0.0),
        # Only the last seconds count.
        ([{"b": 100.0}, {"b": 0.0}, *[{}] * 9], 0.0),
    ],
)
def test_drain_rate_of_observations_once_a_second(left, rate):
    drain = DrainRate()
    for now, by_trainer in enumerate(left):
        demands = [demand(seconds, trainer) for trainer, seconds in by_trainer.items()]
        drain.observe(demands, float(now))
    assert drain.rate == pytest.approx(rate)
