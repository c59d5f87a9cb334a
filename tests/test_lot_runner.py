"""Tests the decisions of `LotRunner` about samples, with scripted runs."""

import random
import threading
from dataclasses import replace

import pytest

from rows_fakes import wait_for
from wigeonfront.clock import ManualClock
from wigeonfront.configuration import (
    Configuration,
    Route,
    RouteKind,
    Service,
    ServiceShare,
)
from wigeonfront.observability.metrics import Registry
from wigeonfront.rollout import result_writer
from wigeonfront.rollout.events import StreamEvent, Text
from wigeonfront.rollout.initial_state import InitialState
from wigeonfront.rollout.lot import Lot, Sample, SampleResult
from wigeonfront.rollout.placement import SamplePlacer
from wigeonfront.rollout.progress import LotProgress
from wigeonfront.rollout.repository import Kept
from wigeonfront.rollout.run_outcomes import (
    RunBroken,
    RunCompleted,
    RunRefused,
    RunSilent,
    RunTooOld,
)
from wigeonfront.rollout.runner import MIN_RUN_SECONDS, LotRunner
from wigeonfront.rollout.scheduling import OpenSample
from wigeonfront.spool import SpoolClient
from wigeonfront.targets.table import PROBE_SECONDS, TargetTable
from wigeonfront.targets.target import Target
from wigeonfront.targets.views import EngineState, OtherOwnersReport

MODEL = "m"
SAMPLE = Sample("s1", "/x", (), b"", "g", MODEL)
LOT = Lot(
    "l",
    "h",
    "/",
    (SAMPLE,),
    model=MODEL,
    min_version=4,
    give_up_seconds=100.0,
    submitted_at=100.0,
    single_version=True,
)


class ScriptedRuns:
    """Runs that each add events of one version and end with a given outcome."""

    def __init__(self, *steps):
        self.steps = list(steps)
        self.began = []
        self.seconds = []

    def run(self, lot, sample, text, target, seconds, handle, on_event):
        events, version, outcome = self.steps.pop(0)
        self.seconds.append(seconds)
        self.began.append((target.id, text.last_id))
        for _ in range(events):
            text.add(StreamEvent(text.last_id + 1, b"x", version), version)
            on_event(version)
        return outcome


def make_runner(samples, versions, caller=None):
    clock = ManualClock(100.0)
    table = TargetTable(clock, random.Random(1))
    table.set_targets(
        Target(id, "s", f"h:{id}", "z", 2, versions={MODEL: version})
        for id, version in versions.items()
    )
    route = Route("r", "h", "/", RouteKind.LOTS, (ServiceShare("s", 1.0),), 1.0, 0.4, 3)
    services = {"s": Service("s", "/health", 100, 2, (MODEL,))}
    configuration = Configuration(1, (route,), services)
    return LotRunner(
        None,
        table,
        samples,
        caller,
        SpoolClient(clock),
        lambda: configuration,
        "z",
        random.Random(1),
        clock,
        Registry(),
    )


@pytest.fixture
def sending():
    stop = threading.Event()
    threads = []

    def start(runner):
        thread = threading.Thread(target=runner.send_loop, args=(stop,), daemon=True)
        thread.start()
        threads.append((runner, thread))

    yield start
    stop.set()
    for runner, thread in threads:
        runner.wake()
        thread.join()


def placed(waited, events, slots_taken=2):
    """Place a sample whose text only version 4 can continue.

    Engines take 0.8 ms per token and generate 1 token per event. Return the id of the
    chosen engine and the number of events that the sample keeps.
    """
    clock = ManualClock(100.0)
    table = TargetTable(clock, random.Random(1))
    table.set_targets(
        Target(id, "s", f"h:{id}", "z", 2, versions={MODEL: version})
        for id, version in {"old": 4, "new": 5}.items()
    )
    for _ in range(slots_taken):
        table.record_started("old", MODEL)
    progress = LotProgress(LOT, 1, [])
    state = progress.open["s1"]
    state.text = Text([b"x"] * events, {4})
    state.waiting_since = clock.monotonic()
    clock.advance(waited)
    placer = SamplePlacer(table, lambda: None, clock)
    view = placer.place(OpenSample(progress, state), "s", frozenset())
    return view and view.target.id, state.text.last_id


def test_a_text_is_dropped_after_long_refusals_as_at_a_full_engine():
    assert placed(0.0, 10, slots_taken=0) == ("old", 10)
    assert placed(0.0081, 10, slots_taken=0) == ("old", 0)
    assert placed(0.0081, 10, slots_taken=1) == ("new", 0)


@pytest.mark.parametrize(
    ("waited", "events", "expected"),
    [
        (0.0, 10, (None, 10)),
        (0.0079, 10, (None, 10)),
        (0.0081, 10, ("new", 0)),
        (0.0081, 100, (None, 100)),
    ],
)
def test_a_text_waits_at_most_as_long_as_its_generation_takes(waited, events, expected):
    assert placed(waited, events) == expected


@pytest.mark.parametrize(
    ("steps", "versions", "began"),
    [
        # The engine has loaded other weights; another one can continue the text.
        (
            [(3, 4, RunBroken("x")), (0, 5, RunTooOld(5)), (2, 4, RunCompleted())],
            {"a": 4, "b": 4, "c": 4},
            [0, 3, 3],
        ),
        # No engine has that version any more: the sample is generated again.
        (
            [(3, 4, RunBroken("x")), (0, 5, RunTooOld(5)), (5, 5, RunCompleted())],
            {"a": 4, "b": 5},
            [0, 3, 0],
        ),
    ],
)
def test_a_text_of_one_version_is_kept_while_an_engine_can_continue_it(
    sending, steps, versions, began
):
    runs = ScriptedRuns(*steps)
    runner = make_runner(runs, versions)
    runner.adopt(LOT, 1)
    sending(runner)
    progress = runner.owned("l")
    wait_for(lambda: not progress.open)
    (result,) = progress.unwritten
    assert [after for _, after in runs.began] == began
    assert len(result.versions) == 1
    assert result.text.count(b"x") == 5


@pytest.mark.parametrize(
    ("others", "open"), [(0, True), (2, False)], ids=["free", "full"]
)
def test_silence_counts_as_failure_only_if_a_slot_was_free(sending, others, open):
    runs = ScriptedRuns(
        (0, 4, RunSilent()), (0, 4, RunSilent()), (2, 4, RunCompleted())
    )
    runner = make_runner(runs, {"a": 4, "b": 4, "c": 4})
    table = runner._table
    states = [EngineState(id, others, 0.0, 0.0) for id in "abc"]
    table.set_other_owners(OtherOwnersReport(1, states))
    lot = replace(LOT, single_version=False)
    runner.adopt(lot, 1)
    sending(runner)
    progress = runner.owned("l")
    wait_for(lambda: not progress.open)
    assert len({target for target, _ in runs.began}) >= 2
    failed = [view for view in table.views("s") if view.target.id == runs.began[0][0]]
    circuits = table._circuits_of("s")._circuits
    assert (circuits[failed[0].target.id].consecutive > 0) is open


def test_refusals_do_not_restart_the_wait_of_a_text(sending):
    """The engine with the text's version lets its runs end and refuses new ones."""
    refused = (0, 4, RunRefused("status 503", True))
    runs = ScriptedRuns(
        (5, 4, RunBroken("x")), refused, refused, (5, 5, RunCompleted())
    )
    runner = make_runner(runs, {"a": 4, "b": 5})
    runner.adopt(LOT, 1)
    sending(runner)
    for began in range(2, 4):
        wait_for(lambda began=began: len(runs.began) >= began)
        runner._clock.advance(PROBE_SECONDS)
        runner.wake()
    progress = runner.owned("l")
    wait_for(lambda: not progress.open)
    assert [after for _, after in runs.began] == [0, 5, 0, 0]


def test_a_whole_text_of_too_old_weights_is_generated_again(sending):
    runs = ScriptedRuns((5, 3, RunCompleted()), (5, 4, RunCompleted()))
    runner = make_runner(runs, {"a": 4, "b": 4})
    runner.adopt(LOT, 1)
    sending(runner)
    progress = runner.owned("l")
    wait_for(lambda: not progress.open)
    (result,) = progress.unwritten
    assert result.versions == (4,)
    assert [after for _, after in runs.began] == [0, 0]


class SlowRuns(ScriptedRuns):
    """Runs that each take a given time in seconds."""

    clock = None
    durations = ()

    def run(self, *arguments):
        outcome = super().run(*arguments)
        self.clock.advance(self.durations[len(self.began) - 1])
        return outcome


def test_a_run_gets_the_remaining_time_of_its_sample(sending):
    broken = (1, 4, RunBroken("x"))
    runs = SlowRuns(broken, broken, (1, 4, RunCompleted()))
    runner = make_runner(runs, {"a": 4, "b": 4, "c": 4})
    runs.clock, runs.durations = runner._clock, (60.0, 39.8, 0.1)
    runner.adopt(LOT, 1)
    sending(runner)
    wait_for(lambda: len(runs.began) == 3)
    assert runs.seconds == pytest.approx([100.0, 40.0, MIN_RUN_SECONDS])


class RecordingRepository:
    """A repository that records the batches that it is given."""

    def __init__(self):
        self.batches = []

    def append(self, lot_id, head_revision, position, batch, texts):
        self.batches.append((lot_id, position, [result.id for result in batch]))
        return Kept(head_revision)


def test_results_from_a_disk_are_written_as_soon_as_a_lot_is_adopted(monkeypatch):
    """Until then they can't be shown, although the last owner has shown them."""
    monkeypatch.setattr(result_writer, "IDLE_WAIT_SECONDS", 60.0)
    runner = make_runner(ScriptedRuns(), {"a": 1})
    repository = runner.result_writer._repository = RecordingRepository()
    stop = threading.Event()
    thread = threading.Thread(
        target=runner.result_writer.run, args=(stop,), daemon=True
    )
    thread.start()
    wait_for(lambda: runner._results._waiters)
    lot = Lot("l1", "h", "/", (Sample("s1", "/x", (), b""),))
    runner.adopt(lot, 7, InitialState(spooled=(SampleResult("s1", True),)))
    wait_for(lambda: repository.batches)
    assert repository.batches == [("l1", 0, ["s1"])]
    stop.set()
    with runner._results:
        runner._results.notify_all()
    thread.join()
