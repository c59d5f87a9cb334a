"""Slopes of the control path: peers, catalogue, VM list, calls to the platform."""

import time

from benchmarks.capacity.clients import CountingRelay, FakeEntry
from benchmarks.capacity.figures import Figure, Line, fit, slope_figures
from benchmarks.capacity.fleet import (
    KEY_VALUE,
    SERVICE,
    VM_LIST,
    Fleet,
    side_row,
)
from benchmarks.capacity.trial import Spent, Trial, spend
from standins.vm_list import VmRow

PEERS = (1, 8, 32, 64)
SESSIONS = (0, 1, 8, 32, 64)
RELAYED_PEERS = 16
ROWS = (1, 500, 1000, 2000)
CHANGES_PER_SECOND = 5.0
VMS = (0, 1000, 4000, 10_000)
START_SECONDS = 10.0
COUNT_SECONDS = 180.0
"""Long enough for two listings of a prefix that is watched."""

HOUR = 3600.0

KIB = 1024


# --- peers -------------------------------------------------------------------


def peers(trial: Trial) -> list[Figure]:
    """Measure what a session costs an entry and a side, each idle."""
    with trial.fleet() as fleet:
        fleet.platform()
        target = fleet.target()
        sides = fleet.sides(max(PEERS), target)
        figures = _entry_peers(trial, fleet, sides)
        figures += _peer_bytes(trial, fleet, sides[:RELAYED_PEERS])
    return figures + _side_peers(trial)


def _entry_peers(trial: Trial, fleet: Fleet, sides: list[str]) -> list[Figure]:
    loads, sizes = [], []
    for _ in trial.each():
        fleet.list_sides(sides[:0])
        fleet.entry("entry")
        spent = []
        for count in PEERS:
            fleet.list_sides(sides[:count])
            fleet.wait_connected("entry", count)
            trial.wait()
            spent += spend(fleet, ["entry"], trial.window)
        fleet.stop("entry")
        loads.append(_load_line(PEERS, spent))
        sizes.append(_size_line(PEERS, spent))
    note = f"{PEERS} sides, a beat a second, idle"
    return [
        *slope_figures("entry", "CPU per peer", "% of a core per peer", loads, note),
        *slope_figures("entry", "memory per peer", "KiB per peer", sizes, note),
    ]


def _side_peers(trial: Trial) -> list[Figure]:
    loads, sizes, flows = [], [], []
    for _ in trial.each():
        with trial.fleet() as fleet:
            fleet.platform()
            fleet.sides(1, fleet.target(), "--max-peers", 128)
            entries: list[FakeEntry] = []
            spent = []
            for count in SESSIONS:
                while len(entries) < count:
                    name = f"entry-{len(entries)}"
                    entries.append(FakeEntry(fleet.address("side-0"), name))
                trial.wait()
                before = sum(entry.stream_bytes for entry in entries)
                spent += spend(fleet, ["side-0"], trial.window)
            passed = sum(entry.stream_bytes for entry in entries) - before
            flows.append(passed / spent[-1].seconds / len(entries))
            for entry in entries:
                entry.close()
            loads.append(_load_line(SESSIONS, spent))
            sizes.append(_size_line(SESSIONS, spent))
    note = f"{SESSIONS} entries, a beat a second, idle"
    return [
        *slope_figures("side", "CPU per entry", "% of a core per entry", loads, note),
        *slope_figures("side", "memory per entry", "KiB per entry", sizes, note),
        Figure("side", "beats per entry", "bytes/s", tuple(flows), note),
    ]


def _peer_bytes(trial: Trial, fleet: Fleet, sides: list[str]) -> list[Figure]:
    """Count the bytes between an idle entry, its sides and the platform."""
    relays = {name: CountingRelay(fleet.address(name)) for name in sides}
    platform = {name: CountingRelay(fleet.address(name)) for name in _PLATFORM}
    rows = [side_row(name, relay.listens) for name, relay in relays.items()]
    fleet.post_vms(rows)
    fleet.entry(
        "counted",
        key_value=platform[KEY_VALUE].listens,
        vm_list=platform[VM_LIST].listens,
    )
    fleet.wait_connected("counted", len(sides))
    trial.wait()
    rates = []
    for _ in trial.each():
        before = sum(relay.passed for relay in relays.values())
        started = time.monotonic()
        trial.window()
        passed = sum(relay.passed for relay in relays.values()) - before
        rates.append(passed / (time.monotonic() - started) / len(sides))
    fleet.stop("counted")
    for relay in (*relays.values(), *platform.values()):
        relay.close()
    note = f"both ways, {len(sides)} sides, idle, without TCP/IP headers"
    return [Figure("entry", "control per peer", "bytes/s", tuple(rates), note)]


_PLATFORM = (KEY_VALUE, VM_LIST)


def _load_line(counts: tuple[int, ...], spent: list[Spent]) -> Line:
    return fit(zip(counts, (one.share for one in spent), strict=True))


def _size_line(counts: tuple[int, ...], spent: list[Spent]) -> Line:
    sizes = (one.end.memory.rss / KIB for one in spent)
    return fit(zip(counts, sizes, strict=True))


# --- catalogue, VM list and calls --------------------------------------------


def catalogue(trial: Trial) -> list[Figure]:
    """Measure what rows, changes and listed VMs cost, and count the calls."""
    with trial.fleet() as fleet:
        fleet.platform()
        side = fleet.sides(1, fleet.target())
        fleet.list_sides(side)
        figures = _rows(trial, fleet)
        figures += _changes(trial, fleet)
        figures += _calls(fleet)
        return figures + _vms(trial, fleet, side)


def _rows(trial: Trial, fleet: Fleet) -> list[Figure]:
    sizes, written = [], 1
    starts: list[list[tuple[float, float]]] = [[] for _ in trial.each()]
    for count in ROWS:
        while written < count:
            fleet.put_row(f"row-{written}", _row(written))
            written += 1
        for points in starts:
            fleet.entry("entry")
            fleet.wait_connected("entry", 1)
            trial.wait()
            points.append((count, fleet.usage("entry").memory.rss / KIB))
            fleet.stop("entry")
    sizes = [fit(points) for points in starts]
    note = f"{ROWS} rows, entry started with them"
    return slope_figures("entry", "memory per row", "KiB per row", sizes, note)


def _row(number: int, weight: float = 1.0) -> dict:
    return {
        "owner": f"team-{number}",
        "class": "rollout",
        "services": [SERVICE],
        "limits": {"rate": 200, "concurrency": 64, "share": 0.8},
        "weight": weight,
        "bound": 2,
    }


def _changes(trial: Trial, fleet: Fleet) -> list[Figure]:
    """Change one row after the other, and compare with an idle window."""
    relay = CountingRelay(fleet.address(KEY_VALUE))
    fleet.entry("entry", key_value=relay.listens)
    fleet.wait_connected("entry", 1)
    costs, flows, calls = [], [], []
    for _ in trial.each():
        trial.wait()
        (idle,) = spend(fleet, ["entry"], trial.window)
        passed, watches = relay.passed, _key_value_calls(fleet)
        count = round(trial.seconds * CHANGES_PER_SECOND)
        (busy,) = spend(fleet, ["entry"], lambda: _change_rows(fleet, count))  # noqa: B023
        idle_cpu = idle.share / 100 * busy.seconds
        costs.append(1000 * (busy.cpu - idle_cpu) / count)
        flows.append((relay.passed - passed) / count)
        calls.append((_key_value_calls(fleet) - watches) / count)
    fleet.stop("entry")
    relay.close()
    note = f"{CHANGES_PER_SECOND:g} changes/s among {max(ROWS)} rows"
    return [
        Figure("entry", "CPU per change", "ms", tuple(costs), note),
        Figure("entry", "bytes per change", "bytes", tuple(flows), note),
        Figure("entry", "key-value calls per change", "calls", tuple(calls), note),
    ]


def _change_rows(fleet: Fleet, count: int) -> None:
    start = time.monotonic()
    for number in range(count):
        fleet.put_row(f"row-{number + 1}", _row(number, 2.0))
        due = start + (number + 1) / CHANGES_PER_SECOND
        time.sleep(max(0.0, due - time.monotonic()))


def _key_value_calls(fleet: Fleet) -> int:
    """Return the calls at the key-value service, but for the benchmark's puts."""
    calls = fleet.call(KEY_VALUE, "GET", "/stats")["calls"]
    return sum(calls.values()) - calls.get("POST /kv/put", 0)


def _calls(fleet: Fleet) -> list[Figure]:
    """Count the calls of an idle entry and an idle side to the platform."""
    fleet.entry("entry")
    fleet.wait_connected("entry", 1)
    time.sleep(START_SECONDS)
    both = _calls_per_hour(fleet)
    fleet.stop("entry")
    side = _calls_per_hour(fleet)
    note = f"idle, counted over {COUNT_SECONDS:g} s"
    return [
        Figure(role, name, "calls/h", (rate,), note)
        for role, rates in (("entry", _less(both, side)), ("side", side))
        for name, rate in rates.items()
    ]


def _calls_per_hour(fleet: Fleet) -> dict[str, float]:
    before = _counts(fleet)
    time.sleep(COUNT_SECONDS)
    after = _counts(fleet)
    return {name: (after[name] - before[name]) * HOUR / COUNT_SECONDS for name in after}


def _counts(fleet: Fleet) -> dict[str, int]:
    calls = fleet.call(KEY_VALUE, "GET", "/stats")["calls"]
    reads = sum(count for call, count in calls.items() if call.startswith("GET"))
    return {
        "key-value reads": reads,
        "key-value writes and leases": sum(calls.values()) - reads,
        "VM list reads": sum(fleet.call(VM_LIST, "GET", "/stats")["calls"].values()),
    }


def _less(both: dict[str, float], one: dict[str, float]) -> dict[str, float]:
    return {name: rate - one[name] for name, rate in both.items()}


def _vms(trial: Trial, fleet: Fleet, sides: list[str]) -> list[Figure]:
    """Measure what the length of the VM list costs an entry that polls it."""
    relay = CountingRelay(fleet.address(VM_LIST))
    loads, sizes, flows = [], [], []
    for _ in trial.each():
        fleet.list_sides(sides)
        fleet.entry("entry", vm_list=relay.listens)
        spent, rates = [], []
        for count in VMS:
            fleet.post_vms([*_side_rows(fleet, sides), *_padding(count)])
            trial.wait()
            passed = relay.passed
            spent += spend(fleet, ["entry"], trial.window)
            rates.append((relay.passed - passed) / spent[-1].seconds)
        fleet.stop("entry")
        loads.append(_load_line(VMS, spent))
        sizes.append(_size_line(VMS, spent))
        flows.append(fit(zip(VMS, rates, strict=True)))
    relay.close()
    note = f"{VMS} VMs besides one side"
    cpu_unit = "% of a core per VM"
    return [
        *slope_figures("entry", "CPU per listed VM", cpu_unit, loads, note),
        *slope_figures("entry", "memory per listed VM", "KiB per VM", sizes, note),
        *slope_figures("entry", "bytes per listed VM", "bytes/s per VM", flows, note),
    ]


def _side_rows(fleet: Fleet, sides: list[str]) -> list[VmRow]:
    return [side_row(name, fleet.address(name)) for name in sides]


def _padding(count: int) -> list[VmRow]:
    """Return VMs that an entry reads and has no session with."""
    return [
        VmRow(f"vm-{number:05}", "entry", SERVICE, "domain-07", "10.20.30.40:7700")
        for number in range(count)
    ]
