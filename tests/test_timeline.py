"""The stages of a step's time, read from logs."""

import pytest

from benchmarks.days.timeline import collect, describe, main, read_events, summarize

LOG = """
 0.01 edge-1 time=100.0 level=INFO process=edge-1 event=lot_submitted lot=l1 samples=2
 0.01 edge-1 time=100.5 level=INFO event=sample_sent lot=l1 sample=a target=e1
time=100.6 level=INFO event=sample_sent lot=l1 sample=b target=e2 detail="a \\"b\\" c"
time=101.0 level=INFO event=sample_run lot=l1 sample=a outcome=RunBroken
time=101.2 level=INFO event=sample_sent lot=l1 sample=a target=e2
time=103.2 level=INFO event=sample_run lot=l1 sample=a outcome=RunCompleted
time=103.3 level=INFO event=reward_call_sent lot=l1 sample=a target=p1
time=103.5 level=INFO event=reward_call lot=l1 sample=a outcome=CallBroken
time=103.6 level=INFO event=reward_call_sent lot=l1 sample=a target=p2
time=103.9 level=INFO event=reward_call lot=l1 sample=a outcome=Scored
time=103.9 event=sample_finished lot=l1 sample=a whole_groups=1 wanted_groups=1
time=104.0 level=INFO event=results_kept lot=l1 count=1 outcome=Kept
time=104.5 level=INFO event=lot_ended lot=l1 outcome=Kept
time=105.0 level=INFO event=sample_sent lot=other sample=x target=e1
time=nonsense event=lot_submitted lot=l2
a line that is no event
"""

STAGES = {
    "place": 0.5,
    "running": 2.5,
    "between": 0.2,
    "call waits": 0.1,
    "call": 0.5,
    "between calls": 0.1,
    "kept": 0.1,
    "read": 0.5,
}


def test_the_time_of_a_decisive_sample_is_split_into_stages():
    lots = collect(read_events(LOG.splitlines()))
    assert set(lots) == {"l1"}
    assert lots["l1"].decisive == "a"
    assert lots["l1"].stages() == pytest.approx(STAGES)
    assert sum(lots["l1"].stages().values()) == pytest.approx(4.5)


def test_the_command_prints_each_lot_and_a_table(tmp_path, capsys):
    path = tmp_path / "day.log"
    path.write_text(LOG)
    assert main([str(path)]) == 0
    printed = capsys.readouterr().out
    assert "l1 submitted 100.00 whole 3.90 s later" in printed
    assert "run@0.50:RunBroken:e1" in printed
    assert "until whole" in printed


def test_a_lot_that_never_became_whole_is_reported_as_such():
    lines = LOG.replace("sample_finished", "other").splitlines()
    (lot,) = collect(read_events(lines)).values()
    assert "never whole" in describe(lot)
    assert summarize([lot]) == "no Lot whose wanted groups became whole"
