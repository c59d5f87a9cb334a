"""Lots: answered whole or not at all, each sample once, from new enough weights."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from fakes import ScriptedSides, table_of
from wigeonfront.clock import ManualClock
from wigeonfront.entry.dispatch import Dispatcher
from wigeonfront.entry.lots import Lots, LotTerms, _LotRun
from wigeonfront.entry.peers import Identity
from wigeonfront.messages import LotBody, LotSample, SpanFrame, from_wire
from wigeonfront.outcomes import (
    Completed,
    Expired,
    Failed,
    Interrupted,
    NotRun,
    Unknown,
    VersionSpan,
)

BOUND = 7
TIMEOUT = 20.0
SILENT = None


def generated(attempt, version=8, tokens=3):
    """Finish a sample, resuming from what its attempt brings."""
    spans = [
        VersionSpan(one.version, one.start, one.end) for one in attempt.prior_versions
    ]
    made = [f"{attempt.payload}.{n}" for n in range(len(attempt.prior), tokens)]
    if made:
        spans.append(VersionSpan(version, len(attempt.prior), tokens))
    return Completed({"tokens": [*attempt.prior, *made]}, tuple(spans), "t")


def cut(attempt, version=8):
    return Interrupted("cut", (f"{attempt.payload}.0",), (VersionSpan(version, 0, 1),))


STEPS = {
    "whole": generated,
    "mixed": lambda one: generated(one, version=7),
    "stale": lambda one: generated(one, version=6),
    "cut": cut,
    "stale_cut": lambda one: cut(one, version=6),
    "busy": NotRun("queue_full", 0.1),
    "moved": NotRun("swapping", 0.0),
    "lost": Unknown("peer_lost"),
    "broken": Failed("broken", 502),
    "stale_told": Failed("stale_version", 502),
    "refused": Failed("bad payload", 422),
    "expired": Expired(started=True),
    "empty": Completed({"tokens": []}, (), "t"),
    "silent": SILENT,
}


class Entry:
    """The Lots of one entry over scripted sides, one of which owns the Lot's slot."""

    def __init__(self, *script, hedge_ratio=0.2, owner="s1"):
        self.clock = ManualClock(100.0)
        self.sides = ScriptedSides(self.clock, ("s1", "s2", "s3"))
        self.script = [STEPS.get(step, step) for step in script]
        self.sides.default = self.end
        self.ends = {}
        self.lots = Lots(
            self.sides,
            Dispatcher(self.sides, Identity("e", "i"), self.clock, "a"),
            table_of(owner),
            self.clock,
            hedge_ratio,
        )

    def end(self, attempt):
        step = self.script.pop(0) if self.script else generated
        outcome = step(attempt) if callable(step) else step
        self.ends.setdefault(attempt.payload, []).append(outcome)
        return outcome

    def run(self, count=2, submission=1, timeout=TIMEOUT):
        self.body = LotBody(
            trainer="t",
            lot="l",
            submission=submission,
            service="desk",
            catalogue_entry="c",
            version=8,
            bound=1,
            timeout=timeout,
            samples=[LotSample(sample=f"s{n}", payload=f"p{n}") for n in range(count)],
        )
        terms = LotTerms("c", BOUND)
        gone = self.sides.caller_gone
        self.run_ = _LotRun(self.lots, self.body, terms, "h", gone, lambda missing: 0)
        with self.sides.passing():
            reply = self.run_.run()
        self.check(reply)
        return reply

    def check(self, reply):
        """Nothing is left behind, and what is delivered is whole and fresh."""
        kept = self.sides.gone
        assert kept or set(self.run_._at_side.values()) <= {0}
        assert kept or not self.run_._by_attempt
        if reply is None or reply.status != "complete":
            assert reply is None or reply.samples == []
            return
        assert reply.missing == 0
        names = [one.sample for one in reply.samples]
        assert names == [one.sample for one in self.body.samples]
        for place, sample in enumerate(reply.samples):
            self.check_sample(f"p{place}", from_wire(sample.outcome))

    def check_sample(self, payload, outcome):
        if isinstance(outcome, Failed):
            assert outcome in self.ends[payload] or outcome.reason == "no_version_named"
            return
        tokens = outcome.payload["tokens"]
        assert tokens == [f"{payload}.{n}" for n in range(len(tokens))]
        assert all(span.version >= BOUND for span in outcome.versions)
        ends = [span.end for span in outcome.versions]
        assert [span.start for span in outcome.versions] == [0, *ends[:-1]]
        assert ends[-1] == len(tokens)


@pytest.mark.parametrize(
    ("script", "attempts"),
    [
        (["whole"], 1),
        (["mixed"], 1),
        (["refused"], 1),
        *(
            ([step, "whole"], 2)
            for step in ("stale", "cut", "busy", "moved", "lost", "broken", "expired")
        ),
        (["stale_told", "whole"], 2),
        (["cut", "stale", "whole"], 3),
        (["stale_cut", "whole"], 2),
        (["broken"] * 5, 5),
        (["empty"] * 5, 5),
    ],
)
def test_what_a_sample_goes_through(script, attempts):
    entry = Entry(*script)
    assert entry.run(count=1).status == "complete"
    assert len(entry.sides.attempts) == attempts


@settings(derandomize=True, deadline=None, max_examples=150)
@given(
    script=st.lists(st.sampled_from(sorted(STEPS)), max_size=20),
    count=st.integers(1, 8),
    seconds=st.lists(st.sampled_from((0.1, 0.7, 3.0)), min_size=3, max_size=3),
    hedged=st.booleans(),
)
def test_a_lot_is_answered_whole_or_not_at_all(script, count, seconds, hedged):
    entry = Entry(*script, hedge_ratio=1.0 if hedged else 0.0)
    for side, each in zip(entry.sides.sides.values(), seconds, strict=True):
        side.seconds = each
    reply = entry.run(count)
    assert reply.status in ("complete", "partial")
    assert entry.clock.monotonic() <= 100.0 + TIMEOUT + 1.0


def test_an_interrupted_sample_resumes_with_its_spans():
    entry = Entry(lambda one: cut(one, version=7), "whole")
    (sample,) = entry.run(count=1).samples
    assert sample.outcome.versions == [
        SpanFrame(version=7, start=0, end=1),
        SpanFrame(version=8, start=1, end=3),
    ]


def test_a_lot_that_is_late_is_told_at_once_and_its_attempts_end():
    entry = Entry("silent")
    reply = entry.run(timeout=5.0)
    assert (reply.status, reply.missing, reply.samples) == ("partial", 1, [])
    assert reply.retry_after > 0
    assert entry.clock.monotonic() == pytest.approx(105.0)
    assert len(entry.sides.cancelled) >= 1


def test_a_sample_waits_for_room():
    entry = Entry()
    for view in entry.sides.views_by_name.values():
        view.capacity = 1
    most = []
    end = entry.end

    def watched(attempt):
        most.append(max(entry.run_._at_side.values()))
        return end(attempt)

    entry.sides.default = watched
    assert entry.run(count=30).status == "complete"
    assert max(most) <= 2


def test_a_straggler_is_hedged_and_its_loser_dropped():
    entry = Entry("silent")
    reply = entry.run(count=10)
    assert reply.status == "complete"
    assert len(entry.sides.attempts) == 11
    assert len(entry.sides.cancelled) == 1


@pytest.mark.parametrize("late", ["whole", "broken"])
def test_a_loser_that_ends_all_the_same_changes_nothing(late):
    """Its end and the winner's come together."""
    entry = Entry(*["whole"] * 9, late)
    for side in entry.sides.sides.values():
        side.seconds = 1.5
    assert entry.run(count=10).status == "complete"


def test_hedges_are_earned_by_samples():
    """They don't run out after the first ten of a process."""
    entry = Entry(hedge_ratio=0.1)
    for submission in range(1, 31):
        entry.script = [SILENT]
        reply = entry.run(count=10, submission=submission)
        assert reply.status == "complete"


def test_no_hedge_while_most_of_a_lot_is_out():
    entry = Entry(*["silent"] * 5)
    assert entry.run(count=10, timeout=5.0).status == "partial"
    assert len(entry.sides.attempts) == 10


@pytest.mark.parametrize(
    ("answers", "status", "reason"),
    [
        (["superseded"], "superseded", ""),
        (["already_delivered"], "already_delivered", ""),
        (["unavailable"], "partial", "delivery_records_lost"),
        (["handled", "superseded"], "superseded", ""),
        (["handled", "already_delivered"], "already_delivered", ""),
        (["handled", "not_owner", "handled"], "complete", ""),
        (["not_owner", "handled", "handled"], "complete", ""),
        ([None, None, "handled", "handled"], "complete", ""),
        (["handled", None, "handled"], "complete", ""),
        (["handled", "unavailable", "handled", "handled"], "complete", ""),
        (["handled", "unavailable", "unavailable"], "partial", "delivery_records_lost"),
        ([None] * 999, "partial", "delivery_owner_unreachable"),
    ],
)
def test_the_right_to_deliver_comes_before_the_answer(answers, status, reason):
    entry = Entry()
    entry.sides.sides["s1"].delivery.extend(answers)
    reply = entry.run()
    assert (reply.status, reply.reason) == (status, reason)


def test_an_unowned_lot_is_not_delivered():
    entry = Entry(owner="elsewhere")
    assert entry.run(timeout=2.0).reason == "delivery_owner_unreachable"


def test_two_posts_of_one_submission_deliver_once():
    entry = Entry()
    assert entry.run().status == "complete"
    entry.run_._holder = "other"
    with entry.sides.passing():
        assert entry.run_._finish().status == "superseded"


@pytest.mark.parametrize("script", [["silent"] * 2, ["whole"] * 2])
def test_a_trainer_that_goes_leaves_its_samples_running(script):
    entry = Entry(*script)
    entry.sides.gone = True
    assert entry.run() is None
    assert entry.sides.cancelled == []
