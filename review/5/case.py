"""Slow workers, of whose answers a few have no length and end with the connection."""

import os
import sys
import threading
import time
from pathlib import Path
from random import Random

from standins_2.engine import Engine, start_engines
from standins_2.trainer import Trainer, lot_configuration
from standins_2.world import CannotRun, Record, World

FOLDER = Path("review/5")
ENGINES = 5
SLOTS = 12
EVENT_SECONDS = 0.025
RUN_SECONDS = 84.0
STEP_SECONDS = 3.0
SLOW_FACTOR, SLOW_SECONDS = 4.0, 8.0
UNFRAMED_SHARE, UNFRAMED_WORKERS, UNFRAMED_SECONDS = 0.03, 3, 6.0
ALL_TROUBLES = ("slow", "unframed")
TROUBLES = {"0": (), "slow": ("slow",), "unframed": ("unframed",)}
"""The disruptions by the value of the variable `TROUBLE`; else there are all."""


def disrupt(
    engines: list[Engine], until: float, parts: tuple[str, ...], record: Record
) -> None:
    """Have one worker of five slow at a time, and three without some lengths."""
    turn = 0
    while time.monotonic() < until:
        slow = engines[turn % len(engines)]
        turn += 1
        record.write(f"slow: {slow.name}")
        slow.slowness = SLOW_FACTOR if "slow" in parts else 1.0
        others = [engine for engine in engines if engine is not slow]
        for engine in [slow, *others[: UNFRAMED_WORKERS - 1]]:
            engine.unframed_share = UNFRAMED_SHARE if "unframed" in parts else 0.0
        time.sleep(UNFRAMED_SECONDS)
        for engine in engines:
            engine.unframed_share = 0.0
        time.sleep(SLOW_SECONDS - UNFRAMED_SECONDS)
        slow.slowness = 1.0


def main() -> int:
    """Run the case; return 1 if the rule was broken, 0 if it held."""
    parts = TROUBLES.get(os.environ.get("TROUBLE", "1"), ALL_TROUBLES)
    record = Record(Path(os.environ.get("RECORD", FOLDER / "record.txt")))
    world = World(lot_configuration(SLOTS))
    engines = start_engines(
        world, ENGINES, SLOTS, EVENT_SECONDS, Random(), record.write
    )
    with world:
        trainer = Trainer(world.fronts, record)
        until = time.monotonic() + RUN_SECONDS
        if parts:
            arguments = (engines, until, parts, record)
            threading.Thread(target=disrupt, args=arguments, daemon=True).start()
        steps = trainer.run(until, STEP_SECONDS)
    unframed = sum(engine.unframed for engine in engines)
    summary = (
        f"{len(trainer.accepted)} of {steps} Lots accepted; {trainer.completed} "
        f"results completed, {trainer.terminated} terminated; {unframed} answers "
        f"without a length; {len(trainer.broken)} completed results not whole"
    )
    record.write(summary)
    print(summary)
    if not trainer.completed:
        raise CannotRun("no result was read")
    return 1 if trainer.broken else 0


if __name__ == "__main__":
    try:
        sys.exit(main())
    except (CannotRun, OSError) as error:
        print("cannot run:", error)
        sys.exit(2)
