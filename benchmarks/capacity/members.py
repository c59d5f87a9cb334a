"""Slopes of membership: memory of a member, cost of a poll between entries."""

import time

from benchmarks.capacity.clients import CountingRelay
from benchmarks.capacity.figures import Figure, Line, fit, slope_figures
from benchmarks.capacity.fleet import KEY_VALUE, Fleet
from benchmarks.capacity.trial import Spent, Trial, spend

KIB = 1024
MEMBERS = (0, 100, 300, 900)
LISTING_SECONDS = 120.0
"""Longer than the time between two listings of the members."""


def members(trial: Trial) -> list[Figure]:
    """Measure what other entries cost an entry that follows and polls them.

    The members are rows that all name the address of one other entry, so that the
    polls are real and go to a process that answers.
    """
    sizes: list[Line] = []
    alone: list[Spent] = []
    polling: list[Spent] = []
    for _ in trial.each():
        with trial.fleet() as fleet:
            fleet.platform()
            fleet.sides(1, fleet.target())
            fleet.list_sides(["side-0"])
            fleet.entry("entry")
            fleet.wait_connected("entry", 1)
            points = []
            address = ""
            for count in MEMBERS:
                if count and not address:
                    address = fleet.entry("answering")
                _write(fleet, address, count)
                trial.wait()
                (spent,) = spend(fleet, ["entry"], trial.window)
                points.append((count, spent.end.memory.rss / KIB))
                (polling if count else alone).append(spent)
            sizes.append(fit(points))
    note = f"{MEMBERS} rows, one poll a second"
    costs = [10 * (_mean(polling) - one.share) for one in alone]
    figures = slope_figures("entry", "memory per member", "KiB per member", sizes, note)
    figures.append(Figure("entry", "CPU per poll", "ms", tuple(costs), note))
    return [*figures, _listing_bytes(trial)]


def _mean(spent: list[Spent]) -> float:
    return sum(one.share for one in spent) / len(spent)


def _write(fleet: Fleet, address: str, count: int) -> None:
    for number in range(count):
        value = {
            "address": address,
            "incarnation": f"{number:012x}",
            "failure_domain": "domain-07",
        }
        body = {"key": f"members/entry-{number:03}", "value": value}
        fleet.call(KEY_VALUE, "POST", "/kv/put", body)


def _listing_bytes(trial: Trial) -> Figure:
    """Count the bytes for which an idle entry lists the members now and then."""
    with trial.fleet() as fleet:
        fleet.platform()
        fleet.list_sides([])
        _write(fleet, fleet.entry("answering"), MEMBERS[-1])
        relay = CountingRelay(fleet.address(KEY_VALUE))
        fleet.entry("entry", key_value=relay.listens)
        trial.wait()
        passed, started = relay.passed, time.monotonic()
        time.sleep(LISTING_SECONDS)
        rate = (relay.passed - passed) / (time.monotonic() - started)
        relay.close()
    note = f"{MEMBERS[-1]} members, over {LISTING_SECONDS:g} s, idle"
    return Figure("entry", "key-value bytes", "bytes/s", (rate,), note)
