"""The history checker accepts good histories and rejects each kind of bad one."""

import msgspec
import pytest
from tests import histories

from standins.history import History, digest, token

PAYLOAD = {"book": "pour", "number": 1}
OWN = digest(PAYLOAD)
SAMPLE = digest({"sample": "s0"})
ECHO = {"digest": OWN, "echo": PAYLOAD}
TOKENS = {"tokens": [token(SAMPLE, place) for place in range(4)]}


def line(time, event, process="caller", **fields):
    return {"time": time, "event": event, "process": process, **fields}


def asked(time, name="1", idempotent=False, **fields):
    return line(time, "invoke", id=name, digest=OWN, idempotent=idempotent, **fields)


def told(time, kind, name="1", **outcome):
    return line(time, "response", id=name, kind=kind, outcome=outcome)


def ran(time, process="target-1", own=OWN):
    return line(time, "execute_start", process, id=f"a{time}", digest=own)


def lot(time, version=1, bound=0):
    samples, sizes = {"s0": SAMPLE}, {"s0": 4}
    fields = {"version": version, "bound": bound, "samples": samples, "sizes": sizes}
    return line(time, "invoke", "trainer", lot="l1", **fields)


def generated(time, version=1, start=0, end=4):
    fields = {"digest": SAMPLE, "version": version, "start": start, "end": end}
    return line(time, "execute_tokens", "engine-1", **fields)


def sample(time, *spans, payload=TOKENS, name="s0"):
    versions = [{"version": v, "start": start, "end": end} for v, start, end in spans]
    outcome = {"payload": payload, "versions": versions}
    fields = {"lot": "l1", "sample": name, "kind": "Completed", "outcome": outcome}
    return line(time, "sample", "trainer", **fields)


def lot_end(time, kind="LotAnswered"):
    return line(time, "response", "trainer", lot="l1", kind=kind)


def seen(time, revision, process="entry-1", asked=None, name="row"):
    fields = {"incarnation": "i", "revision": revision, "name": name}
    return line(time, "catalogue_seen", process, asked=asked or time, **fields)


def fault(time, process, kind):
    return line(time, "fault", process, kind=kind)


ENGINE_RAN = ran(2, "engine-1", SAMPLE)
WHOLE = (1, 0, 4)
DONE = [asked(1), ran(2), told(3, "Completed", payload=ECHO)]
LOT = [lot(1), ENGINE_RAN, generated(3), lot_end(4), sample(5, WHOLE)]
STOP = [fault(2, "entry-1", "stop"), line(6, "exited", "entry-1", code=0)]
CUT = [asked(1, entry="entry-1"), told(3, "Lost")]
LEAVE = [line(1, "leave", "side-1", target="target-side-1")]
ACCEPTED = [line(1, "catalogue_accepted", "entry-1", name="row", revision=5)]

GOOD = {
    "completed": DONE,
    "lot": LOT,
    "not run": [asked(1), told(2, "NotRun")],
    "unknown and ran": [asked(1), ran(2), told(3, "Unknown")],
    "unknown and ran later": [asked(1), told(3, "Unknown"), ran(4)],
    "repeat not sent": [*DONE, asked(4, "2"), told(5, "NotSent", "2")],
    "repeat warned": [*DONE, asked(4, "2"), told(5, "NotRun", "2", warning="may")],
    "idempotent twice": [
        asked(1, idempotent=True),
        ran(2),
        ran(3),
        told(4, "Completed", payload=ECHO),
    ],
    "two versions": [
        lot(1, version=2, bound=1),
        ENGINE_RAN,
        generated(3, 1, 0, 2),
        generated(3, 2, 2, 4),
        lot_end(4),
        sample(5, (1, 0, 2), (2, 2, 4)),
    ],
    "work in flight at a leaving target": [*LEAVE, asked(2), ran(3), told(5, "Lost")],
    "back after leaving": [
        *LEAVE,
        line(5, "healed", "side-1"),
        *[asked(6), ran(7, "target-side-1"), told(8, "Unknown")],
    ],
    "answered during a stop": [asked(1, entry="entry-1"), told(3, "NotRun"), *STOP],
    "lost in a stop and a crash": [*CUT, *STOP, fault(2, "side-1", "kill")],
    "catalogue goes on": [seen(1, 4), *ACCEPTED, seen(2, 5), seen(3, 6)],
    "answers that crossed": [seen(2, 5, asked=0.5), seen(2.5, 4, asked=0.6)],
}

BAD = {
    "no end": ("ended", [asked(1)]),
    "another's echo": (
        "whole_answers",
        [asked(1), ran(2), told(3, "Completed", payload={"digest": SAMPLE})],
    ),
    "changed echo": (
        "whole_answers",
        [asked(1), ran(2), told(3, "Completed", payload=ECHO | {"echo": 5})],
    ),
    "cut tokens": (
        "whole_answers",
        [*LOT[:4], sample(5, WHOLE, payload={"tokens": TOKENS["tokens"][:3]})],
    ),
    "another's tokens": (
        "whole_answers",
        [*LOT[:4], sample(5, WHOLE, payload={"tokens": ["x"] * 4})],
    ),
    "wrong version": ("true_versions", [*LOT[:4], sample(5, (2, 0, 4))]),
    "version left out": (
        "true_versions",
        [*LOT[:2], generated(3, 1, 0, 2), generated(3, 2, 2, 4), *LOT[3:]],
    ),
    "tokens without version": ("true_versions", [*LOT[:4], sample(5, (1, 0, 3))]),
    "no version at all": ("true_versions", [*LOT[:4], sample(5)]),
    "under the bound": ("fresh_weights", [lot(1, version=3, bound=1), *LOT[1:]]),
    "received twice": ("delivered_once", [*LOT, sample(6, WHOLE)]),
    "lot with a gap": ("whole_lots", LOT[:4]),
    "ran after not run": ("not_run", [asked(1), told(2, "NotRun"), ran(3)]),
    "ran though not sent": ("not_run", [asked(1), told(2, "NotSent"), ran(3)]),
    "ran before not run": ("not_run", [asked(1), ran(1.5), told(2, "NotRun")]),
    "ran though not started": (
        "not_run",
        [asked(1), ran(1.5), told(2, "Expired", started=False)],
    ),
    "ran before any repeat": (
        "not_run",
        [
            *[asked(1), told(2, "NotRun"), ran(3)],
            *[asked(4, "2"), told(5, "Unknown", "2")],
        ],
    ),
    "ran without request": ("not_run", [ran(1)]),
    "no warning to the repeat": (
        "not_run_for_key",
        [*DONE, asked(4, "2"), told(5, "NotRun", "2")],
    ),
    "ran twice": ("at_most_once", [*DONE, ran(4)]),
    "ran twice for two submissions": (
        "at_most_once",
        [*DONE, asked(4, "2"), ran(5, "target-2"), told(6, "Unknown", "2")],
    ),
    "completed, never ran": (
        "completed_ran",
        [asked(1), told(3, "Completed", payload=ECHO)],
    ),
    "new work at a leaving target": (
        "leaving",
        [*LEAVE, asked(5), ran(6, "target-side-1"), told(7, "Unknown")],
    ),
    "cut by a planned stop": ("planned_stop", [*CUT, *STOP]),
    "unknown through a side's stop": (
        "planned_stop",
        [
            *[asked(1), ran(2, "target-side-1"), told(4, "Unknown")],
            fault(3, "side-1", "stop"),
            line(5, "exited", "side-1", code=0, target="target-side-1"),
        ],
    ),
    "bad exit code": ("planned_stop", [STOP[0], STOP[1] | {"code": 1}]),
    "catalogue goes back": ("catalogue_forward", [seen(1, 5), seen(2, 4)]),
    "accepted, not in force": (
        "catalogue_in_force",
        [seen(0.5, 4, "entry-2"), *ACCEPTED, seen(2, 4, "entry-2")],
    ),
}


def events(lines):
    decoded = [
        msgspec.json.decode(msgspec.json.encode(each), type=histories.AnyEvent)
        for each in lines
    ]
    return sorted(decoded, key=lambda event: event.time)


@pytest.mark.parametrize("name", GOOD)
def test_good_history_is_accepted(name):
    assert histories.check(events(GOOD[name])) == []


@pytest.mark.parametrize("name", BAD)
def test_bad_history_is_rejected_by_its_rule(name):
    rule, lines = BAD[name]
    assert [found.rule for found in histories.check(events(lines))] == [rule]


def test_every_rule_rejects_something():
    rejecting = {rule for rule, _ in BAD.values()}
    assert rejecting == {rule.__name__ for rule in histories.RULES}


def test_read_passes_over_other_events_and_sorts_by_time(tmp_path):
    for name, lines in {"a": [DONE[2], DONE[0]], "b": [DONE[1]]}.items():
        encoded = [msgspec.json.encode(each) for each in lines]
        (tmp_path / f"{name}.jsonl").write_bytes(b"\n".join(encoded) + b"\n")
    History(str(tmp_path / "c.jsonl"), "engine-1").write("load_start", version=2)
    assert histories.read(tmp_path) == events(DONE)
