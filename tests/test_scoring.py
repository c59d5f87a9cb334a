"""Tests the scoring of samples with whole texts, with scripted runs and calls."""

import random
import threading
import time
from dataclasses import replace

import pytest

from rows_fakes import make_store, wait_for
from wigeonfront.clock import ManualClock, SystemClock
from wigeonfront.configuration import (
    Configuration,
    Route,
    RouteKind,
    Service,
    ServiceShare,
)
from wigeonfront.observability.metrics import Registry
from wigeonfront.rollout.events import StreamEvent, Text
from wigeonfront.rollout.initial_state import InitialState
from wigeonfront.rollout.lot import Lot, RewardCall, Sample
from wigeonfront.rollout.repository import LotRepository
from wigeonfront.rollout.reward_call import (
    CallBroken,
    CallCancelled,
    CallFailed,
    CallRefused,
    Scored,
)
from wigeonfront.rollout.reward_scheduling import FULL_AFTER_SECONDS, SLOW_SECONDS
from wigeonfront.rollout.run_outcomes import RunCompleted
from wigeonfront.rollout.runner import LotRunner
from wigeonfront.rollout.scheduling import texts_due
from wigeonfront.spool import SpoolClient
from wigeonfront.targets.table import TargetTable
from wigeonfront.targets.target import Target

SCORE = Scored("mark")
CALL = RewardCall("call-s1", "Scores.example", "/score/1?x=2", b"in")
SAMPLE = Sample("s1", "/lots/1", (), b"", "g", reward_call=CALL)
LOTS_ROUTE = Route(
    "lots", "h", "/lots/", RouteKind.LOTS, (ServiceShare("engines", 1.0),), 9, 0.4, 2
)
SCORE_ROUTE = Route(
    "score",
    "scores.example",
    "/score/",
    RouteKind.IDEMPOTENT,
    (ServiceShare("scorers", 1.0),),
    3.0,
    0.8,
    3,
)


def make_lot(id="l1", *samples, **fields):
    fields.setdefault("submitted_at", SystemClock().time())
    terms = {"max_attempts": 2, "give_up_seconds": 40.0} | fields
    return Lot(id, "h", "/lots/", samples or (SAMPLE,), **terms)


class Runs:
    """Runs that generate two events at once."""

    def __init__(self):
        self.began = []

    def run(self, lot, sample, text, target, seconds, handle, on_event):
        self.began.append((lot.id, sample.id, text.last_id))
        for number in (1, 2):
            text.add(StreamEvent(number, b"e%d" % number), 4)
            on_event(4)
        return RunCompleted()


class Calls:
    """Reward calls that end with given outcomes; the last outcome is repeated."""

    def __init__(self, *outcomes):
        self.outcomes = list(outcomes) or [SCORE]
        self.sent = []
        self.held = threading.Event()
        self.held.set()
        self.silent = set()
        self.cancelled = []

    def send(self, call, view, deadline, run_seconds, handle):
        self.sent.append((call, view.target.id, run_seconds))
        while not self.held.wait(0.01) or view.target.id in self.silent:
            if handle.cancelled:
                self.cancelled.append(call.id)
                return CallCancelled()
            time.sleep(0.01)
        return self.outcomes.pop(0) if len(self.outcomes) > 1 else self.outcomes[0]


class Owner:
    """A `LotRunner` on two engines and three scoring targets."""

    def __init__(
        self, calls, routes=(LOTS_ROUTE, SCORE_ROUTE), repository=None, clock=None
    ):
        self.calls = calls
        self.runs = Runs()
        self.routes = routes
        clock = clock or SystemClock()
        table = TargetTable(clock, random.Random(1))
        table.set_targets(
            [Target(f"e{n}", "engines", f"h:{n}", "z", 4) for n in range(2)]
            + [Target(f"p{n}", "scorers", f"h:1{n}", "z", 4) for n in range(3)]
        )
        services = {"engines": Service("engines", "/health", 9, 4)}
        self.metrics = Registry()
        self.runner = LotRunner(
            repository,
            table,
            self.runs,
            calls,
            SpoolClient(clock),
            lambda: Configuration(1, self.routes, services),
            "z",
            random.Random(1),
            clock,
            self.metrics,
        )
        self.stop = threading.Event()
        loops = (self.runner.send_loop, self.runner.scoring.run)
        self.threads = [
            threading.Thread(target=loop, args=(self.stop,), daemon=True)
            for loop in loops
        ]
        for thread in self.threads:
            thread.start()

    def adopt(self, lot, texts=None):
        self.runner.adopt(lot, 1, InitialState(texts=texts or {}))
        return self.runner.owned(lot.id)

    def close(self):
        self.stop.set()
        self.runner.wake()
        for thread in self.threads:
            thread.join()


@pytest.fixture
def owners():
    made = []

    def make(*outcomes, **options):
        made.append(Owner(Calls(*outcomes), **options))
        return made[-1]

    yield make
    for owner in made:
        owner.calls.held.set()
        owner.close()


def result_of(progress):
    wait_for(lambda: not progress.open)
    (result,) = progress.unwritten
    return result


def test_a_sample_is_completed_only_once_it_has_its_score(owners):
    owner = owners()
    owner.calls.held.clear()
    progress = owner.adopt(make_lot())
    wait_for(lambda: owner.calls.sent)
    assert progress.unwritten == [] and "s1" in progress.open
    owner.calls.held.set()
    result = result_of(progress)
    assert (result.completed, result.text, result.score) == (True, b"e1\ne2", "mark")
    assert result.versions == (4,)


def test_a_sample_without_a_reward_call_has_no_score(owners):
    owner = owners()
    result = result_of(owner.adopt(make_lot("l1", replace(SAMPLE, reward_call=None))))
    assert (result.completed, result.score) == (True, "")
    assert owner.calls.sent == []


def test_a_whole_text_is_not_generated_again(owners):
    owner = owners()
    whole = Text([b"a", b"b"], {4}, whole=True)
    result = result_of(owner.adopt(make_lot(), {"s1": whole}))
    assert (result.text, result.score) == (b"a\nb", "mark")
    assert owner.runs.began == []


def test_a_whole_text_below_the_minimum_version_is_generated_again(owners):
    owner = owners()
    whole = Text([b"a", b"b"], {3}, whole=True)
    result = result_of(owner.adopt(make_lot(min_version=4), {"s1": whole}))
    assert result.text == b"e1\ne2"


def test_a_whole_text_without_a_reward_call_is_a_result_at_once(owners):
    owner = owners()
    lot = make_lot("l1", replace(SAMPLE, reward_call=None))
    result = result_of(owner.adopt(lot, {"s1": Text([b"a"], {4}, whole=True)}))
    assert (result.text, owner.runs.began) == (b"a", [])


def test_a_whole_text_is_scored_by_the_next_owner(owners):
    repository = LotRepository(make_store(), 100_000)
    lot = make_lot()
    revision = repository.accept(lot, "e1").revision
    first = owners()
    first.calls.held.clear()
    progress = first.adopt(lot)
    wait_for(lambda: first.calls.sent)
    assert texts_due(progress, progress.flushed_at + 2.0)
    repository.append(lot.id, revision, 0, [], progress.snapshots())
    progress.batch_kept(0, progress.snapshots())
    assert not texts_due(progress, progress.flushed_at + 2.0)
    second = owners()
    assert result_of(second.adopt(lot, repository.texts(lot.id))).score == "mark"
    assert second.runs.began == []


def test_each_lot_sends_its_own_reward_call(owners):
    """The trainer ends a Lot before the score, and sends the sample in another Lot."""
    owner = owners()
    owner.calls.held.clear()
    owner.adopt(make_lot("l1"))
    wait_for(lambda: owner.calls.sent)
    owner.runner.stop_lot("l1", "ended")
    owner.calls.held.set()
    again = replace(SAMPLE, reward_call=replace(CALL, id="call-2"))
    assert result_of(owner.adopt(make_lot("l2", again))).score == "mark"
    assert [call.id for call, _, _ in owner.calls.sent] == ["call-s1", "call-2"]
    assert [lot for lot, _, _ in owner.runs.began] == ["l1"]


@pytest.mark.parametrize(
    ("lot_limit", "route_limit", "sends"), [(2, 3, 3), (5, 3, 5), (1, 1, 1)]
)
def test_a_sample_is_given_up_after_failures_of_targets_past_both_limits(
    owners, lot_limit, route_limit, sends
):
    route = replace(SCORE_ROUTE, max_attempts=route_limit)
    failures = [CallFailed("status 500")] * (sends - 1)
    others = [CallRefused("full"), CallBroken("reset"), CallBroken("timeout")]
    owner = owners(
        *others, *failures, CallFailed("status 500"), routes=(LOTS_ROUTE, route)
    )
    result = result_of(owner.adopt(make_lot(max_attempts=lot_limit)))
    assert not result.completed
    assert len(owner.calls.sent) == len(others) + sends


def test_a_call_without_a_score_is_retried_at_another_target(owners):
    owner = owners(CallBroken("reset"), CallBroken("reset"), SCORE)
    result_of(owner.adopt(make_lot()))
    assert len({target for _, target, _ in owner.calls.sent}) == 3


def test_a_call_to_a_silent_target_is_repeated_elsewhere_and_cancelled(owners):
    owner = owners()
    owner.calls.silent = {"p0"}
    lot = make_lot(
        "l1",
        *(
            replace(SAMPLE, id=f"s{n}", reward_call=replace(CALL, id=f"c{n}"))
            for n in range(6)
        ),
    )
    started = time.monotonic()
    progress = owner.adopt(lot)
    wait_for(lambda: not progress.open)
    assert time.monotonic() - started < 2 * SLOW_SECONDS
    assert {result.score for result in progress.unwritten} == {"mark"}
    wait_for(lambda: not owner.runner.scoring._calls)
    sent = [call.id for call, target, _ in owner.calls.sent if target == "p0"]
    assert sent and set(owner.calls.cancelled) == set(sent)


def test_all_sends_of_a_call_have_the_same_deadline(owners):
    """A later try must not give a target more time than the first one."""
    owner = owners(CallBroken("reset"), CallFailed("status 500"), SCORE)
    result_of(owner.adopt(make_lot()))
    limits = [seconds for _, _, seconds in owner.calls.sent]
    assert limits == sorted(limits, reverse=True)
    assert limits[0] <= 40.0


@pytest.mark.parametrize(
    ("outcomes", "sends"),
    [
        ([Scored("m1", framed=False), Scored("m2", framed=False)], 2),
        ([Scored("m1", framed=False), Scored("m2")], 2),
        ([Scored("m2")], 1),
    ],
)
def test_a_first_answer_without_framing_is_requested_again(owners, outcomes, sends):
    owner = owners(*outcomes)
    assert result_of(owner.adopt(make_lot())).score == "m2"
    assert len(owner.calls.sent) == sends


def test_a_stopped_lot_sends_no_more_calls(owners):
    owner = owners(CallRefused("full"))
    samples = [
        replace(SAMPLE, id=f"s{n}", reward_call=replace(CALL, id=f"c{n}"))
        for n in range(12)
    ]
    owner.calls.held.clear()
    owner.adopt(make_lot("l1", *samples))
    wait_for(lambda: owner.calls.sent)
    owner.runner.stop_lot("l1", "ended")
    wait_for(lambda: not owner.runner.scoring._calls)
    sent = len(owner.calls.sent)
    owner.calls.held.set()
    assert not sent_more_within(owner, sent)


def sent_more_within(owner, sent, seconds=0.4):
    """Return whether more calls were sent within some time."""
    threading.Event().wait(seconds)
    return len(owner.calls.sent) > sent


def test_a_call_waits_for_a_route_that_serves_it(owners, caplog):
    owner = owners(routes=(LOTS_ROUTE,))
    with caplog.at_level("INFO"):
        progress = owner.adopt(make_lot())
        wait_for(lambda: "reward_call_unrouted" in caplog.text)
        assert not sent_more_within(owner, 0, 0.7)
        assert caplog.text.count("reward_call_unrouted") == 1
        owner.routes = (LOTS_ROUTE, SCORE_ROUTE)
        assert result_of(progress).completed


def test_calls_of_a_split_route_go_to_each_of_its_services(owners):
    shares = (ServiceShare("scorers", 1.0), ServiceShare("engines", 1.0))
    route = replace(SCORE_ROUTE, shares=shares)
    owner = owners(routes=(LOTS_ROUTE, route))
    samples = [
        replace(SAMPLE, id=f"s{n}", reward_call=replace(CALL, id=f"c{n}"))
        for n in range(24)
    ]
    progress = owner.adopt(make_lot("l1", *samples))
    wait_for(lambda: not progress.open)
    assert {target[0] for _, target, _ in owner.calls.sent} == {"p", "e"}


def test_a_sample_without_a_score_is_given_up_at_its_deadline(owners):
    owner = owners(CallRefused("full"))
    progress = owner.adopt(make_lot(give_up_seconds=0.5))
    result = result_of(progress)
    assert not result.completed
    assert owner.runner._clock.monotonic() >= progress.gives_up_at


def scored_samples(name, count, group=""):
    return [
        replace(
            SAMPLE,
            id=f"{name}{n}",
            group=group or f"{name}{n}",
            reward_call=replace(CALL, id=f"c{name}{n}"),
        )
        for n in range(count)
    ]


def test_a_second_send_without_a_target_does_not_delay_first_sends(owners):
    """Calls of higher urgency take six slots; the other calls need the free ones."""
    clock = ManualClock(100.0)
    owner = owners(clock=clock)
    owner.calls.held.clear()
    first = scored_samples("a", 3, "a")
    owner.adopt(make_lot("l1", *first, submitted_at=clock.time()))
    wait_for(lambda: len(owner.calls.sent) == 3)
    more = [*scored_samples("b", 6), *scored_samples("c", 5, "c")]
    progress = owner.adopt(make_lot("l2", *more, submitted_at=clock.time()))
    wait_for(lambda: all(state.text.whole for state in progress.open.values()))
    clock.advance(FULL_AFTER_SECONDS)
    wait_for(lambda: len(owner.calls.sent) == 12)


def test_calls_of_one_process_leave_slots_for_callers_until_they_have_waited(owners):
    clock = ManualClock(100.0)
    owner = owners(clock=clock)
    samples = [
        replace(SAMPLE, id=f"s{n}", reward_call=replace(CALL, id=f"c{n}"))
        for n in range(20)
    ]
    owner.calls.held.clear()
    progress = owner.adopt(make_lot("l1", *samples, submitted_at=clock.time()))
    # A third of the four slots, rounded down, at each of the three targets.
    wait_for(lambda: len(owner.calls.sent) == 3)
    assert not sent_more_within(owner, 3, 0.3)
    clock.advance(FULL_AFTER_SECONDS)
    wait_for(lambda: len(owner.calls.sent) == 12)
    assert not sent_more_within(owner, 12, 0.3)
    owner.calls.held.set()
    wait_for(lambda: not progress.open)
    assert len({result.id for result in progress.unwritten}) == 20
