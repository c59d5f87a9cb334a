"""The control budget of a node, held against real processes beside 32 peers."""

from benchmarks.capacity.clients import CountingRelay, FakeEntry, RunningLoad
from benchmarks.capacity.data import PAYLOAD, REQUEST, REQUEST_PATH
from benchmarks.capacity.figures import Figure
from benchmarks.capacity.fleet import KEY_VALUE, VM_LIST, Fleet, side_row
from benchmarks.capacity.trial import MIB, Spent, Trial, spend

PEERS = 32
ENTRIES_OF_A_SIDE = 3
ENTRY_RATE = 67.0
SIDE_RATE = 6.2
MIB_ALLOWED, CPU_ALLOWED, BYTES_ALLOWED = 32.0, 1.4, 9000.0


def budget(trial: Trial) -> list[Figure]:
    """Measure an entry beside 32 sides, idle and at 67 requests a second."""
    with trial.fleet() as fleet:
        fleet.platform()
        sides = fleet.sides(PEERS, fleet.target(), "--capacity", 16)
        relays = _relays(fleet, sides)
        rows = [side_row(name, relays[name].listens) for name in sides]
        fleet.post_vms(rows)
        fleet.entry(
            "entry",
            key_value=relays[KEY_VALUE].listens,
            vm_list=relays[VM_LIST].listens,
        )
        fleet.wait_connected("entry", PEERS)
        trial.wait()
        idle = [_idle(trial, fleet, relays) for _ in trial.each()]
        busy = [_loaded(trial, fleet) for _ in trial.each()]
        for relay in relays.values():
            relay.close()
    entry = _figures("entry", f"idle beside {PEERS} sides", [one[0] for one in idle])
    flows = tuple(one[1] for one in idle)
    entry.append(Figure("entry", "control bytes", "bytes/s", flows, "idle, both ways"))
    note = f"{ENTRY_RATE:g} requests/s beside {PEERS} sides"
    return [*entry, *_figures("entry", note, busy), *_side(trial)]


def _relays(fleet: Fleet, sides: list[str]) -> dict[str, CountingRelay]:
    names = [*sides, KEY_VALUE, VM_LIST]
    return {name: CountingRelay(fleet.address(name)) for name in names}


def _idle(
    trial: Trial, fleet: Fleet, relays: dict[str, CountingRelay]
) -> tuple[Spent, float]:
    before = sum(relay.passed for relay in relays.values())
    (spent,) = spend(fleet, ["entry"], trial.window)
    passed = sum(relay.passed for relay in relays.values()) - before
    return spent, passed / spent.seconds


def _loaded(trial: Trial, fleet: Fleet) -> Spent:
    load = RunningLoad(
        fleet.address("entry"),
        REQUEST_PATH,
        REQUEST,
        trial.settle + trial.seconds + 1,
        ENTRY_RATE,
        seed=trial.seed,
    )
    trial.wait()
    (spent,) = spend(fleet, ["entry"], trial.window)
    report = load.report()
    if set(report.statuses) != {"200"}:
        raise RuntimeError(f"not all answered: {report.statuses}")
    return spent


def _side(trial: Trial) -> list[Figure]:
    """Measure a side with its share of the entries, idle and at its share of load."""
    idle, busy = [], []
    with trial.fleet() as fleet:
        fleet.platform()
        fleet.sides(1, fleet.target(), "--capacity", 16)
        address = fleet.address("side-0")
        entries = [
            FakeEntry(address, f"entry-{number}") for number in range(ENTRIES_OF_A_SIDE)
        ]
        trial.wait()
        for _ in trial.each():
            idle += spend(fleet, ["side-0"], trial.window)
        for _ in trial.each():
            busy += spend(fleet, ["side-0"], lambda: _share(trial, entries))
        for entry in entries:
            entry.close()
    quiet = f"idle, {ENTRIES_OF_A_SIDE} entries"
    note = f"{SIDE_RATE:g} attempts/s from {ENTRIES_OF_A_SIDE} entries"
    return _figures("side", quiet, idle) + _figures("side", note, busy)


def _share(trial: Trial, entries: list[FakeEntry]) -> None:
    """Dispatch single attempts at the side's share of the rate."""
    count = round(trial.seconds * SIDE_RATE)
    for number in range(count):
        entry = entries[number % len(entries)]
        entry.dispatch(entry.attempts(1, payload=PAYLOAD))
        trial.pause(1 / SIDE_RATE)


def _figures(role: str, note: str, spent: list[Spent]) -> list[Figure]:
    memory = tuple(one.end.memory for one in spent)
    return [
        Figure(role, "CPU", "% of a core", tuple(one.share for one in spent), note),
        Figure(role, "RSS", "MiB", tuple(one.rss / MIB for one in memory), note),
        Figure(role, "PSS", "MiB", tuple(one.pss / MIB for one in memory), note),
    ]
