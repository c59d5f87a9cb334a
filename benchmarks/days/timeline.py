"""Shows where the time of a trainer's steps goes, from the logs of a day.

The day may be played or real. In each Lot the decisive sample is the one whose result
made the last wanted group whole, as the trainer waited for it. Its time is split into
stages. Usage::

    python -m benchmarks.days.timeline LOG [--lot LOT]
"""

import argparse
import json
import re
import sys
from collections import defaultdict
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field
from pathlib import Path
from statistics import median

FIELD = re.compile(r'(\w+)=("(?:[^"\\]|\\.)*"|\S+)')

STAGES = (
    "place",
    "running",
    "between",
    "call waits",
    "call",
    "between calls",
    "kept",
    "read",
)
"""The stages of the decisive sample, in order.

``place``
    From the submission of the Lot until the first run, while the sample waits for a
    slot.
``running``, ``between``
    The runs, and the pauses between them.
``call waits``
    From the end of the last run until the first reward call.
``call``, ``between calls``
    The reward calls, and the pauses between them.
``kept``
    From the end of the sample until its result is kept.
``read``
    From then until the trainer ends the Lot.
"""


@dataclass(frozen=True, slots=True)
class Event:
    """One event of a log, with its Unix time in seconds."""

    at: float
    name: str
    fields: dict[str, str]


@dataclass(slots=True)
class Span:
    """A run or a reward call.

    `ended` is 0 if no end is in the logs: the span was lost with its process.
    """

    began: float
    ended: float = 0.0
    target: str = ""
    outcome: str = "lost"


@dataclass(slots=True)
class SampleTimes:
    """The runs and reward calls of a sample, and the time of its result."""

    runs: list[Span] = field(default_factory=list)
    calls: list[Span] = field(default_factory=list)
    finished: float = 0.0


@dataclass(slots=True)
class LotTimes:
    """The times of one Lot according to the logs; 0 for a time that is not known.

    Attributes
    ----------
    id : str
    submitted : float
    claimed : list of float
        Times at which an entry took the Lot over.
    kept : list of float
        Times at which results were written.
    ended : float
    decisive : str
        Id of the sample that made the last wanted group whole; empty if none did.
    whole_at : float
        Time of that sample's result.
    samples : dict of str to SampleTimes
        By the sample's id.
    """

    id: str
    submitted: float = 0.0
    claimed: list[float] = field(default_factory=list)
    kept: list[float] = field(default_factory=list)
    ended: float = 0.0
    decisive: str = ""
    whole_at: float = 0.0
    samples: dict[str, SampleTimes] = field(
        default_factory=lambda: defaultdict(SampleTimes)
    )

    def stages(self) -> dict[str, float]:
        """Return the seconds of each stage of the decisive sample."""
        times = self.samples[self.decisive]
        runs, calls = _ended(times.runs), _ended(times.calls)
        if not runs:
            return {}
        text_whole = runs[-1].ended
        stages = {
            "place": runs[0].began - self.submitted,
            "running": sum(run.ended - run.began for run in runs),
        }
        stages["between"] = text_whole - runs[0].began - stages["running"]
        if calls:
            stages["call waits"] = calls[0].began - text_whole
            stages["call"] = sum(call.ended - call.began for call in calls)
            stages["between calls"] = calls[-1].ended - calls[0].began - stages["call"]
        kept = min((at for at in self.kept if at >= self.whole_at), default=0.0)
        if kept:
            stages["kept"] = kept - self.whole_at
            if self.ended > kept:
                stages["read"] = self.ended - kept
        return stages


def read_events(lines: Iterable[str]) -> Iterator[Event]:
    """Yield the events of a log; a line may have other text before its event."""
    for line in lines:
        if "event=" not in line:
            continue
        fields = {name: _unquoted(value) for name, value in FIELD.findall(line)}
        try:
            at = float(fields["time"])
        except (KeyError, ValueError):
            continue
        yield Event(at, fields.get("event", ""), fields)


def _unquoted(value: str) -> str:
    if not value.startswith('"'):
        return value
    try:
        return str(json.loads(value))
    except ValueError:
        return value


def collect(events: Iterable[Event]) -> dict[str, LotTimes]:
    """Return the Lots whose submission is among the events, by their ids."""
    lots: dict[str, LotTimes] = {}
    for event in sorted(events, key=lambda event: event.at):
        lot_id = event.fields.get("lot", "")
        if lot_id:
            _apply_event(lots.setdefault(lot_id, LotTimes(lot_id)), event)
    return {id: lot for id, lot in lots.items() if lot.submitted}


def _apply_event(lot: LotTimes, event: Event) -> None:
    fields, at = event.fields, event.at
    sample = lot.samples[fields["sample"]] if "sample" in fields else None
    if event.name == "lot_submitted":
        lot.submitted = lot.submitted or at
    elif event.name == "lot_claimed":
        lot.claimed.append(at)
    elif event.name == "lot_ended":
        lot.ended = lot.ended or at
    elif event.name == "results_kept" and fields.get("outcome") == "Kept":
        if fields.get("count") != "0":
            lot.kept.append(at)
    elif sample is None:
        return
    elif event.name == "sample_sent":
        sample.runs.append(Span(at, target=fields["target"]))
    elif event.name == "sample_run":
        _end_last_span(sample.runs, at, fields["outcome"])
    elif event.name == "reward_call_sent":
        sample.calls.append(Span(at, target=fields["target"]))
    elif event.name == "reward_call":
        _end_last_span(sample.calls, at, fields["outcome"])
    elif event.name == "sample_finished":
        sample.finished = at
        whole = int(fields["whole_groups"]) >= int(fields["wanted_groups"])
        if whole and not lot.decisive:
            lot.decisive, lot.whole_at = fields["sample"], at


def _end_last_span(spans: list[Span], at: float, outcome: str) -> None:
    if spans and not spans[-1].ended:
        spans[-1].ended, spans[-1].outcome = at, outcome


def _ended(spans: list[Span]) -> list[Span]:
    return [span for span in spans if span.ended]


def summarize(lots: Iterable[LotTimes]) -> str:
    """Return a table of the stages: median, mean, and mean of the slowest tenth."""
    whole = [lot for lot in lots if lot.decisive and lot.stages()]
    if not whole:
        return "no Lot whose wanted groups became whole"
    whole.sort(key=lambda lot: lot.whole_at - lot.submitted)
    slowest = whole[-max(1, len(whole) // 10) :]
    lines = [f"{'seconds':15}{'median':>9}{'mean':>9}{'slowest tenth':>15}"]
    for stage in STAGES:
        of_all = [lot.stages().get(stage, 0.0) for lot in whole]
        of_slow = [lot.stages().get(stage, 0.0) for lot in slowest]
        mean, slow = sum(of_all) / len(of_all), sum(of_slow) / len(of_slow)
        lines.append(f"{stage:15}{median(of_all):9.3f}{mean:9.3f}{slow:15.3f}")
    totals = [lot.whole_at - lot.submitted for lot in whole]
    slow = sum(lot.whole_at - lot.submitted for lot in slowest) / len(slowest)
    mean = sum(totals) / len(totals)
    lines.append(f"{'until whole':15}{median(totals):9.3f}{mean:9.3f}{slow:15.3f}")
    return "\n".join(lines)


def describe(lot: LotTimes) -> str:
    """Return a line on a Lot, and one on the runs and calls of its decisive sample."""
    head = f"{lot.id} submitted {lot.submitted:.2f}"
    if not lot.decisive:
        end = f" ended {lot.ended - lot.submitted:.2f} s later" if lot.ended else ""
        return f"{head}{end}: wanted groups never whole"
    stages = lot.stages()
    parts = ", ".join(f"{name} {stages[name]:.2f}" for name in STAGES if name in stages)
    claims = f", claimed {len(lot.claimed)} times" if lot.claimed else ""
    times = lot.samples[lot.decisive]
    spans = " ".join(
        f"{kind}@{span.began - lot.submitted:.2f}:{span.outcome}:{span.target}"
        for kind, group in (("run", times.runs), ("call", times.calls))
        for span in group
    )
    took = lot.whole_at - lot.submitted
    return f"{head} whole {took:.2f} s later{claims}: {parts}\n    {spans}"


def main(argv: list[str] | None = None) -> int:
    """Print the lines of each Lot and the table; return the exit code."""
    parser = argparse.ArgumentParser(
        description="Show where the time of a trainer's steps goes."
    )
    parser.add_argument("log", type=Path, help="file with the logs of all entries")
    parser.add_argument(
        "--lot", default="", help="show only Lots whose ids have this prefix"
    )
    options = parser.parse_args(argv)
    with options.log.open(encoding="utf-8", errors="replace") as lines:
        lots = collect(read_events(lines))
    chosen = [lot for lot in lots.values() if lot.id.startswith(options.lot)]
    for lot in sorted(chosen, key=lambda lot: lot.submitted):
        print(describe(lot))
    print(summarize(chosen))
    return 0


if __name__ == "__main__":
    sys.exit(main())
