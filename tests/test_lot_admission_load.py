"""Plays Lots that come faster than the engines can finish them.

Each trainer submits a Lot, waits until a number of its groups is whole or the Lot is of
no more use, and then goes on to the next Lot. A trainer that is refused returns when it
was told to. Free slots go to a group that has begun, then to the trainer that has had
the least work.
"""

import random
from dataclasses import dataclass, field

import pytest

from admission_fakes import Entry, demand_of, make_lot
from wigeonfront.clock import ManualClock
from wigeonfront.rollout.lot_admission import useful_seconds
from wigeonfront.rollout.lot_answers import Accepted

STEP = 0.05
SLOTS = 8
GROUPS, SIZE, SECONDS, WANTED = 4, 4, 1.0, 2
PLAY_SECONDS = 60.0
TRAINERS = "abcdefghijklmnopqrstuvwx"


@dataclass
class OpenLot:
    lot: object
    first_at: float
    accepted_at: float | None = None
    whole: int = 0
    # Seconds that each open group still takes once it has its slots.
    begun: list[float] = field(default_factory=list)
    left: int = GROUPS
    return_at: float = 0.0
    refused_at: float | None = None
    told_at: float | None = None


@dataclass
class Trainer:
    name: str
    asks_at: float
    lots: list[OpenLot] = field(default_factory=list)
    work: float = 0.0


class Play:
    """A play of one service; `admission` says whether Lots may be refused."""

    def __init__(self, trainers, admission, seed, groups=GROUPS):
        rng = random.Random(seed)
        self.clock = ManualClock(100.0)
        self.entry = Entry(
            "n1", self.clock, {}, slots=SLOTS, trainers=TRAINERS, admission=admission
        )
        self.trainers = [Trainer(t, 100.0 + 4 * rng.random()) for t in trainers]
        self.rng, self.groups = rng, groups

    def run(self):
        while self.clock.monotonic() < 100.0 + PLAY_SECONDS:
            now = self.clock.monotonic()
            self._serve(now)
            for trainer in self.trainers:
                self._act(trainer, now)
            self.entry.book.set_own(self._demands(now))
            self.entry.admission.observe()
            self.clock.advance(STEP)
        return self

    def _act(self, trainer, now):
        current = trainer.lots[-1] if trainer.lots else None
        if current is not None and not self._over(current, now):
            if current.accepted_at is None and now >= current.return_at:
                self._submit(trainer, current, now)
        elif now >= trainer.asks_at:
            id = f"{trainer.name}{len(trainer.lots)}"
            lot = make_lot(id, trainer.name, self.groups, SIZE, SECONDS)
            lot_of = OpenLot(lot, now, left=self.groups)
            trainer.lots.append(lot_of)
            self._submit(trainer, lot_of, now)

    def _over(self, lot, now):
        over = lot.whole >= WANTED or now - lot.first_at >= useful_seconds(lot.lot)
        if over and lot.told_at is None:
            lot.told_at = now
            self.entry.runner.lots.pop(lot.lot.id, None)
        return over

    def _submit(self, trainer, lot, now):
        outcome = self.entry.lots.submit(lot.lot)
        if isinstance(outcome, Accepted):
            lot.accepted_at = now
        else:
            lot.refused_at = lot.refused_at or now
            lot.return_at = now + outcome.retry_after + 0.2 * self.rng.random()

    def _open(self):
        return [
            (trainer, lot)
            for trainer in self.trainers
            for lot in trainer.lots[-1:]
            if lot.accepted_at is not None and lot.told_at is None
        ]

    def _serve(self, now):
        for trainer, lot in self._open():
            trainer.work += len(lot.begun) * SIZE * STEP
            lot.begun = [seconds - STEP for seconds in lot.begun]
            lot.whole += sum(seconds <= 0 for seconds in lot.begun)
            lot.begun = [seconds for seconds in lot.begun if seconds > 0]
        taken = sum(len(lot.begun) * SIZE for _, lot in self._open())
        waiting = sorted(
            (
                (trainer.work, lot.first_at, lot)
                for trainer, lot in self._open()
                if now + SECONDS < lot.first_at + useful_seconds(lot.lot)
            ),
            key=lambda found: found[:2],
        )
        for _, _, lot in waiting:
            wanted = WANTED - lot.whole - len(lot.begun)
            while taken + SIZE <= SLOTS and lot.left and wanted > 0:
                lot.begun.append(SECONDS)
                lot.left, taken, wanted = lot.left - 1, taken + SIZE, wanted - 1

    def _demands(self, now):
        return [
            demand_of(
                lot.lot,
                lot.first_at,
                now,
                share=(max(0, WANTED - lot.whole)) / self.groups,
            )
            for _, lot in self._open()
        ]

    @property
    def lots(self):
        return [lot for trainer in self.trainers for lot in trainer.lots]

    @property
    def accepted_in_vain(self):
        return [
            lot
            for lot in self.lots
            if lot.accepted_at and lot.told_at and not lot.whole
        ]

    @property
    def steps(self):
        return [lot.whole > 0 for lot in self.lots if lot.told_at]


@pytest.mark.parametrize("seed", range(3))
@pytest.mark.parametrize("trainers", [4, 8])
def test_no_lot_is_refused_while_every_trainer_can_have_a_group(trainers, seed):
    """8 trainers have 6.4 s of work each while a Lot is of use, and a group takes 4."""
    play = Play(TRAINERS[:trainers], True, seed).run()
    assert [lot for lot in play.lots if lot.refused_at] == []


@pytest.mark.parametrize("seed", range(3))
def test_lots_that_come_faster_than_the_engines_finish_them(seed):
    """24 trainers for whom 2.1 s of work are left each: not even one group of 4 s."""
    plays = [Play(TRAINERS, admission, seed).run() for admission in (False, True)]
    without, admitted = plays
    figures = [
        (sum(play.steps), len(play.accepted_in_vain), len(play.lots)) for play in plays
    ]
    print(f"seed {seed}: steps with a whole group, in vain, Lots: {figures}")
    # Fewer trainers learn only at the end of the time that nothing comes.
    assert len(admitted.accepted_in_vain) < len(without.accepted_in_vain)
    assert sum(admitted.steps) >= 0.95 * sum(without.steps)
    # Whoever is refused is told when it asks, and each trainer gets its turn.
    assert any(lot.refused_at for lot in admitted.lots)
    for trainer in admitted.trainers:
        assert any(lot.whole for lot in trainer.lots), trainer.name


def test_refused_lots_are_accepted_in_the_order_of_their_refusal():
    admitted = Play(TRAINERS, True, 1).run()
    waited = [lot for lot in admitted.lots if lot.refused_at and lot.accepted_at]
    assert waited
    # A return takes a quarter of a second longer than the time that was told.
    overtaken = [
        (first, second)
        for first in waited
        for second in waited
        if first.refused_at + 1.0 < second.refused_at
        and second.accepted_at + 2.0 < first.accepted_at
    ]
    print(f"{len(overtaken)} of {len(waited)}")
    assert not overtaken
