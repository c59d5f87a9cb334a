"""State machine over samples with reward calls, in which each send ends at once."""

import random
import threading
from unittest.mock import patch

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from wigeonfront.clock import ManualClock
from wigeonfront.configuration import Configuration, Route, RouteKind, ServiceShare
from wigeonfront.observability.metrics import Registry
from wigeonfront.rollout import scoring
from wigeonfront.rollout.events import Text
from wigeonfront.rollout.lot import Lot, RewardCall, Sample
from wigeonfront.rollout.progress import LotProgress
from wigeonfront.rollout.reward_call import (
    CallBroken,
    CallCancelled,
    CallFailed,
    CallRefused,
    Scored,
)
from wigeonfront.targets.table import TargetTable
from wigeonfront.targets.target import Target

SAMPLES = 4
LOT_LIMIT, ROUTE_LIMIT = 2, 3
GIVE_UP_SECONDS = 40.0
OUTCOMES = (
    Scored("mark"),
    Scored("unframed", framed=False),
    CallFailed("status 500"),
    CallRefused("full"),
    CallBroken("reset"),
)


class InlineThread:
    """A thread stand-in that runs its target within `start`."""

    def __init__(self, target, args, name, daemon):
        self._run = lambda: target(*args)

    def start(self):
        self._run()


class ScoringWalk(RuleBasedStateMachine):
    def __init__(self):
        super().__init__()
        self.clock = ManualClock(100.0)
        samples = tuple(
            Sample(
                f"s{n}",
                "/x",
                (),
                b"",
                f"g{n // 2}",
                reward_call=RewardCall(f"c{n}", "h", "/score/"),
            )
            for n in range(SAMPLES)
        )
        lot = Lot(
            "l",
            "h",
            "/lots/",
            samples,
            submitted_at=self.clock.time(),
            give_up_seconds=GIVE_UP_SECONDS,
            max_attempts=LOT_LIMIT,
        )
        self.progress = LotProgress(lot, 1, [])
        self.whole_at = {}
        self.sent = []
        self.failures = dict.fromkeys(self.progress.open, 0)
        self.next = list(OUTCOMES[:1])
        self.ended = False
        self.scoring = self._make()

    def _make(self):
        table = TargetTable(self.clock, random.Random(1))
        table.set_targets(Target(f"p{n}", "s", f"h:{n}", "z", 2) for n in range(2))
        shares = (ServiceShare("s", 1.0),)
        route = Route(
            "r", "h", "/score/", RouteKind.IDEMPOTENT, shares, 3.0, 0.8, ROUTE_LIMIT
        )
        return scoring.Scoring(
            self,
            table,
            lambda: [] if self.ended else [self.progress],
            lambda progress, result, reason: progress.finish(result),
            threading.Condition(threading.RLock()),
            lambda: Configuration(1, (route,)),
            "z",
            random.Random(1),
            self.clock,
            Registry(),
        )

    def send(self, call, view, deadline, run_seconds, handle):
        """Replace `RewardCaller.send`, and return the next outcome."""
        sample = f"s{call.id[1:]}"
        assert not self.ended
        assert sample in self.whole_at
        assert deadline <= self.clock.monotonic() + 3.0
        self.sent.append((sample, self.clock.monotonic()))
        outcome = self.next[0]
        self.failures[sample] += isinstance(outcome, CallFailed)
        return CallCancelled() if handle.cancelled else outcome

    @rule(number=st.integers(0, SAMPLES - 1))
    def a_text_ends(self, number):
        state = self.progress.open.get(f"s{number}")
        if state is None or state.text.whole:
            return
        state.text = Text([b"x"], {1})
        state.mark_text_whole(self.clock.monotonic())
        self.whole_at[f"s{number}"] = self.clock.monotonic()

    @rule(outcome=st.sampled_from(OUTCOMES))
    def calls_are_sent(self, outcome):
        self.next = [outcome]
        with patch.object(scoring.threading, "Thread", InlineThread):
            self.scoring._send_due()

    @rule(seconds=st.sampled_from([0.05, 0.5, 3.0]))
    def time_passes(self, seconds):
        self.clock.advance(seconds)

    @rule()
    def the_lot_is_ended(self):
        if len(self.sent) < 5:
            return
        self.ended = self.progress.ended = True
        self.scoring.cancel_calls(self.progress)

    @invariant()
    def completed_samples_have_a_score_and_no_sample_has_two_results(self):
        results = self.progress.unwritten
        assert len({result.id for result in results}) == len(results)
        for result in results:
            assert result.completed == bool(result.score)
            assert result.id not in self.progress.open

    @invariant()
    def a_sample_is_given_up_only_past_both_limits(self):
        for result in self.progress.unwritten:
            if not result.completed:
                assert self.failures[result.id] == max(LOT_LIMIT, ROUTE_LIMIT)

    @invariant()
    def no_call_is_in_progress_between_steps(self):
        assert not self.scoring._calls
        assert all(not state.call.sends for state in self.progress.open.values())


TestScoringWalk = ScoringWalk.TestCase
TestScoringWalk.settings = settings(
    max_examples=60, stateful_step_count=30, deadline=None
)
