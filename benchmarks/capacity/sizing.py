"""The target size, worked out from measured slopes.

``python -m benchmarks.capacity.sizing FIGURES.json`` reads what
``python -m benchmarks.capacity --json`` has written, and prints for one entry and one
side what the control path takes at the size of the users' first letter. Every line
is a product of a measured slope (its median) and a number of the letter.
"""

import argparse
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import msgspec

from wigeonfront.coordination.slots import MOST_SLOTS, count_for

ENTRIES = 930
SIDES = 10_000
REQUESTS = 62_000
CATALOGUE_ROWS = 1000
CHANGES_PER_DAY = 71_000
VMS_LOST_PER_DAY = 110
VMS_REPLACED_PER_DAY = 720
SUBSET = 32
SIDE_TABLE_SECONDS = 60.0
WRITES_PER_CHANGE = 2
"""The row and its version in the history."""

TABLE_WRITES_PER_VM = 3
"""A move, its confirmation and the claim of the new incarnation."""

READS, WRITES = "key-value reads", "key-value writes and leases"
HOUR, DAY = 3600.0, 86_400.0
CPU_ALLOWED, MEMORY_ALLOWED, FLOW_ALLOWED = 1.4, 32.0, 9000.0
READS_ALLOWED, WRITES_ALLOWED = 2000.0, 400.0
SERVICES = (1, 20)
KIB, MIB = 1024.0, 1024.0**2


@dataclass(frozen=True, slots=True)
class Item:
    """One part of what a node takes, or of what the key-value service is asked.

    Attributes
    ----------
    cpu, memory, flow : float
        Percent of a core, MiB, bytes a second.
    reads, writes : float
        Calls a second of all nodes together.
    """

    name: str
    cpu: float = 0.0
    memory: float = 0.0
    flow: float = 0.0
    reads: float = 0.0
    writes: float = 0.0


class Figures:
    """Medians of measured figures by role and name."""

    def __init__(self, measured: dict[str, Any]) -> None:
        self._medians: dict[tuple[str, str, str], float] = {}
        for what, experiment in measured["experiments"].items():
            for figure in experiment["figures"]:
                key = (what, figure["role"], figure["name"])
                self._medians.setdefault(key, figure["median"])

    def get(self, what: str, role: str, name: str) -> float:
        """Return a median; `KeyError` if it was not measured."""
        return self._medians[what, role, name]

    @property
    def table_bytes(self) -> float:
        """Bytes of a slot, as a table is read from the key-value service."""
        kib = self.get("slots", "entry", "bytes per table change")
        return kib * KIB / MOST_SLOTS


def entry(figures: Figures, services: int) -> list[Item]:
    """Return the parts of an entry that has peers in `services` services."""

    def get(what: str, name: str) -> float:
        return figures.get(what, "entry", name)

    peers = SUBSET * services
    changes = CHANGES_PER_DAY / DAY
    claims = (VMS_LOST_PER_DAY + 2 * VMS_REPLACED_PER_DAY) / DAY
    vms = ENTRIES + SIDES
    slots = services * _slots_of(services)
    share = _slots_of(services) / MOST_SLOTS
    return [
        Item(
            "process, without peers",
            get("peers", "CPU per peer, without any"),
            get("peers", "memory per peer, without any") / KIB,
        ),
        Item(
            f"{peers} peers",
            get("peers", "CPU per peer") * peers,
            get("peers", "memory per peer") * peers / KIB,
            get("peers", "control per peer") * peers,
        ),
        Item(
            f"{CATALOGUE_ROWS} catalogue rows, {changes:.2f} changes/s",
            get("catalogue", "CPU per change") * changes / 10,
            get("catalogue", "memory per row") * CATALOGUE_ROWS / KIB,
            get("catalogue", "bytes per change") * changes,
        ),
        Item(
            f"{slots} slots, {claims:.3f} changes/s",
            get("slots", "CPU per table change") * share * claims / 10,
            get("slots", "memory per slot") * slots / KIB,
            figures.table_bytes * _slots_of(services) * claims,
        ),
        Item(
            f"{ENTRIES} members, polls",
            2 * get("members", "CPU per poll") / 10,
            get("members", "memory per member") * ENTRIES / KIB,
            get("members", "key-value bytes"),
        ),
        Item(
            f"{vms} VMs listed",
            get("catalogue", "CPU per listed VM") * vms,
            get("catalogue", "memory per listed VM") * vms / KIB,
            get("catalogue", "bytes per listed VM") * vms,
        ),
    ]


def side(figures: Figures, services: int) -> list[Item]:
    """Return the parts of a side where the sides are spread over `services`."""

    def get(what: str, name: str) -> float:
        return figures.get(what, "side", name)

    entries = round(ENTRIES * SUBSET * services / SIDES)
    slots = _slots_of(services)
    readings = 1 / SIDE_TABLE_SECONDS
    reading = get("slots", "CPU per reading of a table") * slots / MOST_SLOTS
    return [
        Item(
            "process, without entries",
            get("peers", "CPU per entry, without any"),
            get("peers", "memory per entry, without any") / KIB,
        ),
        Item(
            f"{entries} entries",
            get("peers", "CPU per entry") * entries,
            get("peers", "memory per entry") * entries / KIB,
            get("peers", "beats per entry") * entries,
        ),
        Item(
            f"table of {slots:.0f} slots, read each {SIDE_TABLE_SECONDS:g} s",
            reading * readings / 10,
            get("slots", "memory per slot") * slots / KIB,
            figures.table_bytes * slots * readings,
        ),
    ]


def _slots_of(services: int) -> int:
    """Return the slots of one of `services` equal services."""
    return count_for(SIDES // services)


def key_value_calls(figures: Figures) -> list[Item]:
    """Return the calls a second at the key-value service at the target size."""
    changes = CHANGES_PER_DAY / DAY
    replaced = (VMS_LOST_PER_DAY + VMS_REPLACED_PER_DAY) / DAY

    def idle(role: str, name: str) -> float:
        return figures.get("catalogue", role, name) / HOUR

    told = figures.get("catalogue", "entry", "key-value calls per change")
    return [
        Item(
            "entries, idle",
            reads=ENTRIES * idle("entry", READS),
            writes=ENTRIES * idle("entry", WRITES),
        ),
        Item("sides, idle", reads=SIDES * idle("side", READS)),
        Item(
            f"{changes:.2f} catalogue changes/s",
            reads=ENTRIES * told * changes,
            writes=WRITES_PER_CHANGE * changes,
        ),
        Item(
            f"{replaced:.4f} VMs replaced/s",
            reads=ENTRIES * replaced * TABLE_WRITES_PER_VM,
            writes=TABLE_WRITES_PER_VM * replaced,
        ),
    ]


# --- printing ----------------------------------------------------------------


def node_table(title: str, items: list[Item]) -> str:
    """Return what a node takes as a Markdown table, with its sum and the budget."""
    rows = [(item.name, item.cpu, item.memory, item.flow) for item in items]
    rows.append(("sum", *(sum(row[column] for row in rows) for column in (1, 2, 3))))
    rows.append(("budget", CPU_ALLOWED, MEMORY_ALLOWED, FLOW_ALLOWED))
    head = f"| {title} | CPU, % of a core | memory, MiB | bytes/s |\n|---|---|---|---|"
    return "\n".join([head, *(_row(row) for row in rows)])


def calls_table(items: list[Item]) -> str:
    """Return the calls at the key-value service as a Markdown table."""
    rows = [(item.name, item.reads, item.writes) for item in items]
    rows.append(("sum", *(sum(row[column] for row in rows) for column in (1, 2))))
    rows.append(("budget", READS_ALLOWED, WRITES_ALLOWED))
    head = "| key-value service | reads/s | writes/s |\n|---|---|---|"
    return "\n".join([head, *(_row(row) for row in rows)])


def _row(row: tuple[Any, ...]) -> str:
    numbers = (
        f"{number:,.2f}" if number < 100 else f"{number:,.0f}" for number in row[1:]
    )
    return f"| {row[0]} | " + " | ".join(numbers) + " |"


def main() -> None:
    """Print the tables for the figures of a file."""
    flags = argparse.ArgumentParser(
        "python -m benchmarks.capacity.sizing", None, __doc__
    )
    flags.add_argument(
        "figures", type=Path, help="written by benchmarks.capacity --json"
    )
    figures = Figures(msgspec.json.decode(flags.parse_args().figures.read_bytes()))
    for services in SERVICES:
        spread = f"the sides in {services} service" + "s" * (services > 1)
        print(node_table(f"an entry, {spread}", entry(figures, services)), "\n")
        print(node_table(f"a side, {spread}", side(figures, services)), "\n")
    print(calls_table(key_value_calls(figures)))


if __name__ == "__main__":
    main()
