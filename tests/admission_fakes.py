"""Entries that decide on Lots: the real parts that decide, without a network."""

import random
from types import SimpleNamespace

import msgspec

from platform_standins.rows import MemoryRows
from wigeonfront.capacity import DemandBook, LotDemand, trainer_key
from wigeonfront.configuration import (
    Configuration,
    Route,
    RouteKind,
    Service,
    ServiceShare,
)
from wigeonfront.coordination.membership import Member, Presence
from wigeonfront.http.client import Answer
from wigeonfront.observability.metrics import Registry
from wigeonfront.rollout.lot import Lot, Sample
from wigeonfront.rollout.lot_admission import LotAdmission, useful_seconds
from wigeonfront.rollout.lot_answers import LotUncertain
from wigeonfront.rollout.lots import Lots
from wigeonfront.rollout.overload import RATIO_WEIGHT, WorkEstimate
from wigeonfront.rollout.owner_calls import (
    NotTaken,
    decode_submitted,
    encode_submitted,
)
from wigeonfront.rollout.repository import LotRepository
from wigeonfront.rollout.scheduling import TOKEN_SECONDS
from wigeonfront.targets.table import TargetTable
from wigeonfront.targets.target import Target

SERVICE = "engines"
EMPTY_MIRROR = SimpleNamespace(
    state=lambda: SimpleNamespace(rows={}, revision=0), get=lambda key: None
)
"""A mirror that is far behind the store."""

HEAVY = "/heavy/"


def make_lot(id, trainer="a", groups=2, size=2, seconds=1.0, **fields):
    """Return a Lot whose samples take `seconds` each."""
    tokens = round(seconds / TOKEN_SECONDS)
    samples = tuple(
        Sample(f"{id}-{n}", "/x", (), b"", f"g{n // size}", "m", tokens)
        for n in range(groups * size)
    )
    times = {"due_seconds": 5.0, "give_up_seconds": 8.0} | fields
    return Lot(id, "h", f"/{trainer}/", samples, "m", **times)


def demand_of(lot, submitted_at, now, weight=1.0, share=1.0):
    """Return what an accepted Lot demands of which `share` of the work is left."""
    seconds = sum(sample.expected_tokens * TOKEN_SECONDS for sample in lot.samples)
    age = now - submitted_at
    return LotDemand(
        lot.id,
        trainer_key(lot),
        SERVICE,
        lot.model,
        weight,
        lot.due_seconds - age,
        useful_seconds(lot) - age,
        0,
        len(lot.samples),
        seconds * share,
    )


def route(prefix, weight=1.0):
    shares = (ServiceShare(SERVICE, 1.0),)
    return Route(
        prefix, "h", prefix, RouteKind.LOTS, shares, 1.0, 1.0, share_weight=weight
    )


class FakeRunner:
    """A `LotRunner` that runs nothing."""

    def __init__(self):
        self.lots = {}

    def adopt(self, lot, revision, left=None):
        self.lots[lot.id] = lot

    def owned(self, lot_id):
        return self.lots.get(lot_id)

    def deferred(self):
        return []

    def note_head_written(self, lot_id, revision):
        pass


class DirectOwners:
    """An `OwnerClient` that calls the other entries in this process.

    Attributes
    ----------
    lose_answers : bool
        Whether calls take effect and their answers are lost.
    """

    def __init__(self, entries):
        self._entries = entries
        self.lose_answers = False

    def avoids(self, address):
        return False

    def submit(self, address, lot):
        entry = self._entries.get(address)
        if entry is None:
            return NotTaken("refused")
        told = encode_submitted(entry.lots.submit_locally(lot))
        if self.lose_answers:
            return LotUncertain("reset")
        return decode_submitted(Answer(200, msgspec.msgpack.encode(told)))


class Entry:
    """One entry of a deployment whose entries are in `entries`, by their names."""

    def __init__(
        self, name, clock, entries, rows=None, slots=4, trainers="abc", admission=True
    ):
        self.name, self.clock, self.slots = name, clock, slots
        self.rows = rows or MemoryRows()
        self.book = DemandBook(clock)
        self.runner = FakeRunner()
        self.doubt = ""
        self.table = TargetTable(clock, random.Random(1))
        self.set_engines(1)
        work = WorkEstimate()
        for _ in range(round(1 / RATIO_WEIGHT)):
            work.note(1.0, 1.0)
        routes = [route(f"/{trainer}/") for trainer in trainers]
        self.configuration = Configuration(
            1,
            (*routes, route(HEAVY, 3.0)),
            {SERVICE: Service(SERVICE, "/", 100, slots)},
        )
        self.targets_known = True
        self.metrics = Registry()
        self.admission = LotAdmission(
            self.book,
            self.table,
            work,
            lambda: self.configuration,
            lambda: self.targets_known,
            clock,
            self.metrics,
        )
        self.admission.observe()
        self.owners = DirectOwners(entries)
        self.lots = Lots(
            LotRepository(self.rows, 1_000_000),
            self.runner,
            EMPTY_MIRROR,
            lambda: member(name),
            Presence,
            lambda: [member(other) for other in entries],
            SimpleNamespace(choose=lambda lot_id: ()),
            None,
            SimpleNamespace(doubt_reason=lambda lot_id: self.doubt),
            lambda: None,
            clock,
            self.admission if admission else None,
        )
        self.lots._owners = self.lots._known._owners = self.owners
        entries[name] = self

    def set_engines(self, count):
        engines = [
            Target(f"e{n}", SERVICE, f"h:{n}", "z", self.slots) for n in range(count)
        ]
        self.table.set_targets(engines)


def member(name):
    return Member(name, f"{name}.x", name, failure_domain="z", cores=1.0)
