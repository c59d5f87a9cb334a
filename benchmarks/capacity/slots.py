"""Slopes of the slot tables: memory of a slot, cost of a change of a table."""

import time

from benchmarks.capacity.clients import CountingRelay
from benchmarks.capacity.figures import Figure, Line, fit, slope_figures
from benchmarks.capacity.fleet import KEY_VALUE, SERVICE, Fleet
from benchmarks.capacity.trial import Trial, spend
from wigeonfront.coordination import slots as slot_tables
from wigeonfront.coordination.slots import Slot, SlotTable

KIB = 1024
TABLES = (0, 2, 4, 8)
TABLE_SLOTS = slot_tables.MOST_SLOTS
SIDE_SLOTS = (64, 1024, 4096)
CHANGES_PER_SECOND = 1.0
DECODINGS = 20


def slots(trial: Trial) -> list[Figure]:
    """Measure what slot tables cost an entry and a side."""
    with trial.fleet() as fleet:
        fleet.platform()
        fleet.list_sides(fleet.sides(1, fleet.target()))
        figures = _entry_slots(trial, fleet)
        figures += _changes(trial, fleet)
    return figures + _side_slots(trial) + [_decoding(trial)]


def _table(service: str, count: int, epoch: int = 1) -> SlotTable:
    """Return a table of a service of many sides, each with its incarnation."""
    owners = max(1, count // slot_tables.SLOTS_PER_SIDE)
    return SlotTable(
        service=service,
        slots=[
            Slot(
                owner=f"{service}-{number % owners:04}",
                epoch=epoch,
                incarnation=f"{number % owners:012x}",
            )
            for number in range(count)
        ],
    )


def _put(fleet: Fleet, table: SlotTable) -> None:
    body = {"key": slot_tables.PREFIX + table.service, "value": table}
    fleet.call(KEY_VALUE, "POST", "/kv/put", body)


def _entry_slots(trial: Trial, fleet: Fleet) -> list[Figure]:
    points: list[list[tuple[float, float]]] = [[] for _ in trial.each()]
    written = 0
    for count in TABLES:
        while written < count:
            _put(fleet, _table(f"service-{written}", TABLE_SLOTS))
            written += 1
        for repeat in points:
            fleet.entry("entry")
            fleet.wait_connected("entry", 1)
            trial.wait()
            size = fleet.usage("entry").memory.rss / KIB
            repeat.append((count * TABLE_SLOTS, size))
            fleet.stop("entry")
    lines = [fit(repeat) for repeat in points]
    note = f"{TABLES} tables of {TABLE_SLOTS} slots, entry started with them"
    return slope_figures("entry", "memory per slot", "KiB per slot", lines, note)


def _changes(trial: Trial, fleet: Fleet) -> list[Figure]:
    """Change one large table again and again, and compare with an idle window."""
    relay = CountingRelay(fleet.address(KEY_VALUE))
    fleet.entry("entry", key_value=relay.listens)
    fleet.wait_connected("entry", 1)
    costs, flows = [], []
    count = max(1, round(trial.seconds * CHANGES_PER_SECOND))
    for _ in trial.each():
        trial.wait()
        (idle,) = spend(fleet, ["entry"], trial.window)
        passed = relay.passed
        (busy,) = spend(fleet, ["entry"], lambda: _change(fleet, count))
        idle_cpu = idle.share / 100 * busy.seconds
        costs.append(1000 * (busy.cpu - idle_cpu) / count)
        flows.append((relay.passed - passed) / count / KIB)
    fleet.stop("entry")
    relay.close()
    note = f"a table of {TABLE_SLOTS} slots written {CHANGES_PER_SECOND:g} times a s"
    return [
        Figure("entry", "CPU per table change", "ms", tuple(costs), note),
        Figure("entry", "bytes per table change", "KiB", tuple(flows), note),
    ]


def _change(fleet: Fleet, count: int) -> None:
    start = time.monotonic()
    for number in range(count):
        _put(fleet, _table("service-0", TABLE_SLOTS, epoch=number + 2))
        due = start + (number + 1) / CHANGES_PER_SECOND
        time.sleep(max(0.0, due - time.monotonic()))


def _side_slots(trial: Trial) -> list[Figure]:
    lines: list[Line] = []
    for _ in trial.each():
        points = []
        for count in SIDE_SLOTS:
            with trial.fleet() as fleet:
                fleet.platform()
                _put(fleet, _table(SERVICE, count))
                fleet.sides(1, fleet.target())
                trial.wait()
                points.append((count, fleet.usage("side-0").memory.rss / KIB))
        lines.append(fit(points))
    note = f"{SIDE_SLOTS} slots in its service's table, none of them its own"
    return slope_figures("side", "memory per slot", "KiB per slot", lines, note)


def _decoding(trial: Trial) -> Figure:
    """Time a reading of the largest table, as a side makes it now and then."""
    value = slot_tables.encode(_table(SERVICE, TABLE_SLOTS))
    times = []
    for _ in trial.each():
        started = time.process_time()
        for _ in range(DECODINGS):
            table = slot_tables.decode(value)
            slot_tables.claim(table, "side-0", "incarnation")
            slot_tables.owned(table, "side-0", "incarnation")
        times.append(1000 * (time.process_time() - started) / DECODINGS)
    note = f"{TABLE_SLOTS} slots, {len(value) / KIB:.0f} KiB, in this process"
    return Figure("side", "CPU per reading of a table", "ms", tuple(times), note)
