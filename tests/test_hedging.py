"""When a request is sent a second time, and what bounds these sends; no network.

`Play` puts a load on targets that run six requests at once and queue the rest. Four
entries send by the decisions under test, and each sees only its own requests.
"""

import heapq
import itertools
import random
from collections import deque
from dataclasses import dataclass, field

import pytest

from wigeonfront.clock import ManualClock
from wigeonfront.forwarding.attempt import TimedOut
from wigeonfront.forwarding.hedging import (
    ANSWER_TTL_SECONDS,
    BUDGET_BURST,
    BUDGET_SHARE,
    MIN_ANSWERS,
    SUSPICION_SECONDS,
    UNPROVEN_SECONDS,
    HedgeState,
    RecentLatencies,
    RetryBudget,
    SendAgain,
    Silence,
    decide,
    hedge_delay,
    second_targets,
    unsuspected_targets,
)
from wigeonfront.forwarding.hedging_state import HedgingState
from wigeonfront.forwarding.placement import choose_target, usable_targets
from wigeonfront.forwarding.steps import SendState, health_evidence, max_wait
from wigeonfront.targets.table import TargetTable
from wigeonfront.targets.target import Target


@pytest.mark.parametrize(
    ("changed", "reason"),
    [
        ({}, None),
        ({"may_send": False}, "no sends left"),
        ({"suspect": True}, "suspect"),
        ({"other_available": False}, "no other target"),
        ({"tokens": 0.9}, "budget"),
        ({"may_send": False, "tokens": 0.0}, "no sends left"),
    ],
)
def test_the_decision(changed, reason):
    state = {
        "suspect": False,
        "other_available": True,
        "may_send": True,
        "tokens": 1.0,
    }
    decision = decide(HedgeState(**(state | changed)))
    assert isinstance(decision, SendAgain) == (reason is None)
    assert getattr(decision, "reason", None) == reason


@pytest.mark.parametrize(
    ("answers", "age", "percentile"),
    [
        ([0.04] * (MIN_ANSWERS - 1), 0.0, None),
        ([0.04] * MIN_ANSWERS, 0.0, 0.04),
        ([0.04] * MIN_ANSWERS, ANSWER_TTL_SECONDS + 1, None),
        ([0.04] * 90 + [0.3] * 10, 0.0, 0.3),
        ([0.04] * 98 + [0.3] * 2, 0.0, 0.04),
    ],
)
def test_the_percentile_of_recent_answers(answers, age, percentile):
    latencies = RecentLatencies()
    for seconds in answers:
        latencies.add(0.0, seconds)
    assert latencies.percentile(age) == percentile


@pytest.mark.parametrize(
    ("percentile", "objective", "delay"),
    [(0.1, 9.0, 0.15), (0.001, 9.0, 0.05), (None, 0.2, 0.1), (None, 0.0, None)],
)
def test_the_delay(percentile, objective, delay):
    assert hedge_delay(percentile, objective) == pytest.approx(delay)


@pytest.mark.parametrize("requests", [0, 50, 1000])
def test_the_budget_bounds_hedges_by_a_share_of_requests(requests):
    budget = RetryBudget()
    taken = sum(budget.take() for _ in range(100))
    for _ in range(requests):
        budget.add_first_send()
        taken += budget.take()
    bound = BUDGET_BURST + BUDGET_SHARE * requests
    assert bound - 1.5 <= taken <= bound + 1e-6


def test_retries_use_up_the_budget_of_hedges_but_leave_no_debt():
    budget = RetryBudget()
    for _ in range(3 * int(BUDGET_BURST)):
        budget.charge()
    assert not budget.take()
    for _ in range(round(1 / BUDGET_SHARE) + 1):
        budget.add_first_send()
    assert budget.take()


@pytest.mark.parametrize(
    ("waits", "evidence"),
    [
        ([(0.0, 0.7)], "none"),
        ([(0.0, 0.1), (0.6, 0.7)], "none"),
        ([(0.0, 0.1), (0.3, 0.4), (0.5, 0.6)], "failure"),
        # Waits that overlap count as one.
        ([(0.0, 0.25)] * 10, "none"),
        ([(0.0, 0.5), (0.2, 0.7), (0.4, 0.9)], "none"),
        ([(0.0, 0.1), (0.3, 0.4), *[(11.0, 11.1)] * 5], "none"),
    ],
)
def test_waits_in_a_row_count_as_one_if_they_span_its_length(waits, evidence):
    silence = Silence()
    assert [silence.add(*wait) for wait in waits][-1] == evidence


@pytest.mark.parametrize(
    ("slow", "answered", "full", "chosen"),
    [
        ([], [], [], ["a", "b", "c"]),
        (["a"], [], [], ["b", "c"]),
        (["a"], ["c"], [], ["c"]),
        (["a"], ["c"], ["c"], ["b"]),
        (["a", "b", "c"], [], [], []),
        ([], [], ["a", "b", "c"], []),
    ],
)
def test_the_targets_of_a_second_send(slow, answered, full, chosen):
    table = TargetTable(ManualClock(), random.Random(1))
    table.set_targets([Target(id, "s", f"h:{id}", "z", 1) for id in "abc"])
    for id in full:
        table.record_started(id)
    views = second_targets(table.views("s"), slow, answered)
    assert [view.target.id for view in views] == chosen


@pytest.mark.parametrize(
    ("seconds", "answers", "suspected"),
    [
        (0.0, False, True),
        (1.5 * SUSPICION_SECONDS, False, False),
        (0.0, True, False),
    ],
)
def test_a_slow_target_is_suspected_for_a_while(seconds, answers, suspected):
    clock = ManualClock()
    state = HedgingState(clock)
    state.record_slow("t")
    clock.advance(seconds)
    if answers:
        state.record_alive("t")
    assert ("t" in state.slow_targets(SUSPICION_SECONDS)) == suspected
    assert ("t" in state.slow_targets(UNPROVEN_SECONDS)) == (not answers)
    assert state.answered_since(seconds) == ({"t"} if answers else set())


@pytest.mark.parametrize(("answers", "evidence"), [(False, "failure"), (True, "none")])
def test_an_answer_ends_the_silence_of_its_target(answers, evidence):
    clock = ManualClock()
    state = HedgingState(clock)
    for _ in range(4):
        started = clock.monotonic()
        clock.advance(0.25)
        found = state.record_cut("t", started)
        if answers:
            state.record_alive("t")
    assert found == evidence


# --- a load on targets, half of which are silent --------------------------------

MAX_UNANSWERED = 5
"""Calls more than without hedging that may meet two targets which have just fallen
silent: both sends are then used up before either is known."""

SLOTS = 6
ENTRIES = 4
GOAL_SECONDS = 0.19
DEADLINE_SECONDS = 2.0
SILENT_FROM, SILENT_UNTIL, END = 4.0, 12.0, 16.0


@dataclass
class Call:
    """A caller's request."""

    entry: int
    came: float
    sends: list = field(default_factory=list)
    answered: float | None = None


@dataclass
class Server:
    """A target's slots and queue."""

    running: int = 0
    queue: deque = field(default_factory=deque)


class Play:
    """Plays a load; `hedged` says whether second sends are made."""

    def __init__(self, hedged, targets, silent, per_second, work):
        self.hedged, self.work, self.silent = hedged, work, silent
        self.clock = ManualClock()
        self.random = random.Random(7)
        self.targets = [
            Target(f"t{n}", "s", f"h:{n}", f"z{n % 2}", SLOTS) for n in range(targets)
        ]
        self.servers = {target.id: Server() for target in self.targets}
        self.tables = [
            TargetTable(self.clock, random.Random(entry)) for entry in range(ENTRIES)
        ]
        for table in self.tables:
            table.set_targets(self.targets)
        self.states = [HedgingState(self.clock) for _ in range(ENTRIES)]
        self.events, self.numbers = [], itertools.count()
        self.calls, self.hedges = [], 0
        at = 0.0
        while at < END:
            burst = SILENT_FROM - 1 <= at < SILENT_UNTIL
            at += self.random.expovariate(per_second * (4 if burst else 1))
            call = Call(self.random.randrange(ENTRIES), at)
            self.calls.append(call)
            self.at(at, lambda call=call: self.begin(call))

    def at(self, time, action):
        heapq.heappush(self.events, (time, next(self.numbers), action))

    def run(self):
        while self.events:
            time, _, action = heapq.heappop(self.events)
            self.clock.advance(max(0.0, time - self.clock.monotonic()))
            action()
        return self

    def begin(self, call):
        self.states[call.entry].record_first_send("s")
        self.send(call)
        if self.hedged:
            delay = self.states[call.entry].delay("s", GOAL_SECONDS)
            self.at(call.came + delay, lambda: self.hedge(call))

    def hedge(self, call):
        state, views = self.states[call.entry], self.tables[call.entry].views("s")
        may_send = call.answered is None and len(call.sends) == 1
        if not may_send:
            return
        state.record_slow(call.sends[0][0])
        other = second_targets(
            usable_targets(views, [send[0] for send in call.sends]),
            state.slow_targets(UNPROVEN_SECONDS),
            state.answered_since(call.came),
        )
        decision = decide(HedgeState(False, bool(other), may_send, state.tokens("s")))
        if isinstance(decision, SendAgain) and state.take_token("s"):
            self.hedges += 1
            self.send(call, other)

    def send(self, call, views=None):
        table = self.tables[call.entry]
        tried = [send[0] for send in call.sends]
        views = views or usable_targets(table.views("s"), tried)
        slow = self.states[call.entry].slow_targets(SUSPICION_SECONDS)
        view = choose_target(
            unsuspected_targets(views, slow) or views, (), f"z{call.entry % 2}"
        )
        now = self.clock.monotonic()
        left = call.came + DEADLINE_SECONDS - now
        wait = max_wait(SendState(True, 2 - len(call.sends), left), view.latency)
        send = (view.target.id, now, call)
        call.sends.append(send)
        table.record_started(view.target.id)
        self.at(now + wait, lambda: self.give_up(send))
        server = self.servers[view.target.id]
        if self.is_silent(view.target.id):
            return
        server.queue.append(send)
        self.serve(view.target.id)

    def is_silent(self, id):
        during = SILENT_FROM <= self.clock.monotonic() < SILENT_UNTIL
        return during and int(id[1:]) < self.silent

    def serve(self, id):
        server = self.servers[id]
        while server.queue and server.running < SLOTS:
            send = server.queue.popleft()
            if send in send[2].sends and send[2].answered is None:
                server.running += 1
                seconds = self.work * self.random.uniform(0.7, 1.3)
                self.at(
                    self.clock.monotonic() + seconds, lambda send=send: self.end(send)
                )

    def end(self, send):
        id, started, call = send
        self.servers[id].running -= 1
        self.serve(id)
        if self.is_silent(id) or call.answered is not None or send not in call.sends:
            return
        now = call.answered = self.clock.monotonic()
        state, table = self.states[call.entry], self.tables[call.entry]
        state.record_alive(id)
        state.record_latency("s", now - started)
        table.record_ended(id, "success", now - started)
        for number, (loser, began, _) in enumerate(call.sends):
            if loser == id:
                continue
            long = number == 0 or state.is_long_wait("s", now - began)
            evidence = state.record_cut(loser, began) if long else "none"
            table.record_ended(loser, evidence)

    def give_up(self, send):
        id, started, call = send
        if call.answered is not None or send not in call.sends:
            return
        waited = self.clock.monotonic() - started
        self.tables[call.entry].record_ended(id, health_evidence(TimedOut(waited)))
        if len(call.sends) == 1:
            self.states[call.entry].charge_retry("s")
            self.send(call)
        else:
            call.sends.remove(send)

    def unanswered(self):
        """Return the number of calls without an answer at their deadline."""
        return sum(
            call.answered is None or call.answered - call.came > DEADLINE_SECONDS
            for call in self.calls
        )

    def in_time(self):
        """Return the share of calls answered in time while targets were silent."""
        asked = [call for call in self.calls if SILENT_FROM <= call.came < SILENT_UNTIL]
        served = [
            call
            for call in asked
            if call.answered is not None and call.answered - call.came <= GOAL_SECONDS
        ]
        return len(served) / len(asked)


@pytest.mark.parametrize("targets", [3, 4])
@pytest.mark.parametrize("per_second", [6.0, 12.0, 24.0])
def test_hedges_serve_callers_in_time_while_half_of_the_targets_are_silent(
    targets, per_second
):
    before, after = (
        Play(hedged, targets, 2, per_second, 0.04).run() for hedged in (False, True)
    )
    assert after.in_time() >= 0.9
    assert 1 - after.in_time() <= 0.5 * (1 - before.in_time())
    assert after.unanswered() <= before.unanswered() + MAX_UNANSWERED
    assert after.hedges <= BUDGET_SHARE * len(after.calls) + ENTRIES * BUDGET_BURST


@pytest.mark.parametrize(("per_second", "work"), [(20.0, 0.15), (30.0, 0.25)])
def test_a_service_that_is_slow_from_overload_gets_few_hedges(per_second, work):
    without, with_hedges = (
        Play(hedged, 3, 0, per_second, work).run() for hedged in (False, True)
    )
    bound = BUDGET_SHARE * len(with_hedges.calls) + ENTRIES * BUDGET_BURST
    assert with_hedges.hedges <= bound
    assert with_hedges.unanswered() <= without.unanswered() + MAX_UNANSWERED
