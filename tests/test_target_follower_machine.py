"""Random registrations, restarts, late and invalid rows, outages and expiries."""

import random

import msgspec
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    precondition,
    rule,
)

from platform_standins import deployment
from rows_fakes import make_store
from wigeonfront.clock import ManualClock
from wigeonfront.coordination.feed import DirectRows
from wigeonfront.coordination.mirror import Mirror
from wigeonfront.node.following import REREGISTRATION_SECONDS, TargetFollower
from wigeonfront.node.settings import Bounds
from wigeonfront.platform import records
from wigeonfront.targets.table import TargetTable

SERVICE = "s"
CONTACT_SECONDS = 3.0
DRAIN_SECONDS = Bounds().drain_seconds
IDS = ("i-0", "i-1", "i-2")
GARBAGE = (b"", b"\xff", b"[]", b'{"service":"s"}', b'{"slotCount":"4"}')


class FollowerMachine(RuleBasedStateMachine):
    def __init__(self):
        super().__init__()
        self.rows = make_store()
        self.clock = ManualClock(100.0)
        self.table = TargetTable(self.clock, random.Random(1))
        self.gone = []
        follower = TargetFollower(
            self.table, self.clock, lambda: None, self.gone.append
        )
        self.follower = follower
        self.mirror = Mirror(
            DirectRows(self.rows), records.TARGET_PREFIX, self.clock, follower.update
        )
        # Newest start of each target, and the start in its row; 0 for none.
        self.starts = dict.fromkeys(IDS, 0)
        self.written = dict.fromkeys(IDS, 0)
        self.seen = set()
        self.down = False
        self.returned_at = -1e9
        # Time at which each target left while the store was stable.
        self.left_at = {}

    @property
    def stable(self):
        """Whether the store has answered for the time after which bounds hold."""
        since_return = self.clock.monotonic() - self.returned_at
        return not self.down and since_return >= CONTACT_SECONDS

    def _write(self, id, start):
        address = f"1.2.3.{IDS.index(id)}:5"
        entry = deployment.registration(SERVICE, address, born=start)
        self.rows.put(f"servers/{id}", msgspec.json.encode(entry))
        self.written[id] = start
        self.left_at.pop(id, None)

    def _refresh(self):
        if not self.down:
            assert self.mirror._list()
        found = {view.target.id for view in self.table.views(SERVICE)}
        # A target that was certainly replaced never comes back.
        assert not found & set(self.gone)
        self.seen |= found

    @precondition(lambda self: not self.down)
    @rule(id=st.sampled_from(IDS))
    def a_target_starts(self, id):
        self.starts[id] += 1
        self._write(id, self.starts[id])
        self._refresh()

    @precondition(lambda self: not self.down)
    @rule(id=st.sampled_from(IDS), back=st.integers(1, 3))
    def a_row_of_an_earlier_start_is_written_late(self, id, back):
        if self.starts[id] > back:
            self._write(id, self.starts[id] - back)
            self._refresh()

    @precondition(lambda self: not self.down)
    @rule(id=st.sampled_from(IDS))
    def a_target_writes_again(self, id):
        if self.starts[id]:
            self._write(id, self.starts[id])
            self._refresh()

    @precondition(lambda self: not self.down)
    @rule(id=st.sampled_from(IDS), value=st.sampled_from(GARBAGE))
    def a_row_becomes_invalid(self, id, value):
        self.rows.put(f"servers/{id}", value)
        self.written[id] = 0
        self._refresh()

    @rule(id=st.sampled_from(IDS))
    def a_row_is_deleted(self, id):
        self.rows.remove(f"servers/{id}")
        if self.written[id] and self.stable:
            self.left_at[id] = self.clock.monotonic()
        self.written[id] = 0
        self._refresh()

    @precondition(lambda self: not self.down)
    @rule()
    def the_store_goes_down(self):
        self.down = True
        self.rows.faults.down = True
        assert not self.mirror._list()

    @precondition(lambda self: self.down)
    @rule(noticed_after=st.sampled_from([0.0, 1.4, 2.6]))
    def the_store_returns(self, noticed_after):
        self.down = False
        self.rows.faults.down = False
        self.returned_at = self.clock.monotonic()
        self.clock.advance(noticed_after)
        self._refresh()

    @rule(seconds=st.sampled_from([0.4, DRAIN_SECONDS, REREGISTRATION_SECONDS + 0.1]))
    def time_passes(self, seconds):
        self.clock.advance(seconds)
        self.follower.expire(self.mirror)

    @invariant()
    def at_most_one_incarnation_of_each_target_is_used(self):
        names = [view.target.name for view in self.table.views(SERVICE)]
        assert len(names) == len(set(names))

    @invariant()
    def the_newest_known_start_of_each_target_is_used(self):
        for view in self.table.views(SERVICE):
            assert view.target.started_ms == self.starts[view.target.name]

    @invariant()
    def a_target_that_has_left_is_not_used_past_the_drain_bound(self):
        if not self.stable:
            return
        names = {view.target.name for view in self.table.views(SERVICE)}
        now = self.clock.monotonic()
        for id, left_at in self.left_at.items():
            assert now < left_at + DRAIN_SECONDS or id not in names

    @invariant()
    def a_target_with_a_valid_row_is_used(self):
        names = {view.target.name for view in self.table.views(SERVICE)}
        for id, start in self.written.items():
            if start and start == self.starts[id]:
                assert id in names


TestFollowerMachine = FollowerMachine.TestCase
TestFollowerMachine.settings = settings(
    max_examples=80, stateful_step_count=30, deadline=None
)
