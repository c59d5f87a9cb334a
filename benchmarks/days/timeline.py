"""Where the seconds of a trainer's step go, from the logs of a played or real day.

For each Lot the sample counts whose result made the last wanted group whole: the
trainer waited for it. Its time is split into the stages of its life. Usage::

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
"""Waiting for a place; runs; pauses between runs; whole until the first call; calls;
pauses between calls; scored until kept; kept until the trainer ended the Lot."""


@dataclass(frozen=True, slots=True)
class Event:
    """One line of a log."""

    at: float
    name: str
    fields: dict[str, str]


@dataclass(slots=True)
class Span:
    """Something that began and ended; without an end it was lost with its process."""

    began: float
    ended: float = 0.0
    target: str = ""
    outcome: str = "lost"


@dataclass(slots=True)
class SampleTimes:
    """A sample's runs and reward calls, and when it had a result."""

    runs: list[Span] = field(default_factory=list)
    calls: list[Span] = field(default_factory=list)
    finished: float = 0.0


@dataclass(slots=True)
class LotTimes:
    """What the logs tell of one Lot."""

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
        found = {
            "place": runs[0].began - self.submitted,
            "running": sum(one.ended - one.began for one in runs),
        }
        found["between"] = text_whole - runs[0].began - found["running"]
        if calls:
            found["call waits"] = calls[0].began - text_whole
            found["call"] = sum(one.ended - one.began for one in calls)
            found["between calls"] = calls[-1].ended - calls[0].began - found["call"]
        kept = min((at for at in self.kept if at >= self.whole_at), default=0.0)
        if kept:
            found["kept"] = kept - self.whole_at
            if self.ended > kept:
                found["read"] = self.ended - kept
        return found


def read_events(lines: Iterable[str]) -> Iterator[Event]:
    """Yield the events of a log, whatever stands before them on their lines."""
    for line in lines:
        if "event=" not in line:
            continue
        fields = {name: _plain(value) for name, value in FIELD.findall(line)}
        try:
            at = float(fields["time"])
        except (KeyError, ValueError):
            continue
        yield Event(at, fields.get("event", ""), fields)


def _plain(value: str) -> str:
    if not value.startswith('"'):
        return value
    try:
        return str(json.loads(value))
    except ValueError:
        return value


def collect(events: Iterable[Event]) -> dict[str, LotTimes]:
    """Return the Lots that events tell of, by their ids."""
    lots: dict[str, LotTimes] = {}
    for event in sorted(events, key=lambda one: one.at):
        lot_id = event.fields.get("lot", "")
        if lot_id:
            _take(lots.setdefault(lot_id, LotTimes(lot_id)), event)
    return {id: lot for id, lot in lots.items() if lot.submitted}


def _take(lot: LotTimes, event: Event) -> None:
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
        _end(sample.runs, at, fields["outcome"])
    elif event.name == "reward_call_sent":
        sample.calls.append(Span(at, target=fields["target"]))
    elif event.name == "reward_call":
        _end(sample.calls, at, fields["outcome"])
    elif event.name == "sample_finished":
        sample.finished = at
        whole = int(fields["whole_groups"]) >= int(fields["wanted_groups"])
        if whole and not lot.decisive:
            lot.decisive, lot.whole_at = fields["sample"], at


def _end(spans: list[Span], at: float, outcome: str) -> None:
    if spans and not spans[-1].ended:
        spans[-1].ended, spans[-1].outcome = at, outcome


def _ended(spans: list[Span]) -> list[Span]:
    return [one for one in spans if one.ended]


def summarize(lots: Iterable[LotTimes]) -> str:
    """Return a table of the stages, at the median and for the slowest tenth."""
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
    """Return one Lot on one line, and its decisive sample's runs and calls."""
    head = f"{lot.id} submitted {lot.submitted:.2f}"
    if not lot.decisive:
        end = f" ended {lot.ended - lot.submitted:.2f} s later" if lot.ended else ""
        return f"{head}{end}: wanted groups never whole"
    stages = lot.stages()
    parts = ", ".join(f"{name} {stages[name]:.2f}" for name in STAGES if name in stages)
    claims = f", claimed {len(lot.claimed)} times" if lot.claimed else ""
    times = lot.samples[lot.decisive]
    spans = " ".join(
        f"{kind}@{one.began - lot.submitted:.2f}:{one.outcome}:{one.target}"
        for kind, group in (("run", times.runs), ("call", times.calls))
        for one in group
    )
    took = lot.whole_at - lot.submitted
    return f"{head} whole {took:.2f} s later{claims}: {parts}\n    {spans}"


def main(argv: list[str] | None = None) -> int:
    """Print the table, and each Lot's line; return the exit code."""
    parser = argparse.ArgumentParser(description="Where the seconds of steps go.")
    parser.add_argument("log", type=Path, help="logs of all entries, in one file")
    parser.add_argument("--lot", default="", help="only Lots whose ids begin so")
    options = parser.parse_args(argv)
    with options.log.open(encoding="utf-8", errors="replace") as lines:
        lots = collect(read_events(lines))
    chosen = [lot for lot in lots.values() if lot.id.startswith(options.lot)]
    for lot in sorted(chosen, key=lambda one: one.submitted):
        print(describe(lot))
    print(summarize(chosen))
    return 0


if __name__ == "__main__":
    sys.exit(main())
