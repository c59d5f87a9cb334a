"""Time to recover when a caller's open connections to an entry go silent for good.

    make bench BENCH=silent_connections ARGS="--runs 5"

Each run silences the connections from the clients to both entries, one way or both
ways, either while a call is open or while its connection is kept idle before the
call. New connections work. The time from the later of silence and call to the answer
is printed, and the history checker judges all runs.
"""

import argparse
import tempfile
import threading
import time
from collections.abc import Callable
from pathlib import Path

from benchmarks.fault_bench import (
    BOOKINGS,
    CALLER,
    PLAIN,
    TRAINER,
    Bench,
    make_lot,
    small,
)
from standins.recording import record_call, record_lot
from wigeonfront.client import (
    LotAnswered,
    Request,
    RequestClient,
    TrainerClient,
)
from wigeonfront.outcomes import Completed

WAYS = {
    "none": (False, False),
    "both": (True, True),
    "to entry": (True, False),
    "to client": (False, True),
}
IN_FLIGHT, KEPT = "in flight", "kept idle"
SILENCE_AFTER = 0.4
LOT_SECONDS = 30.0
BOOKING_SECONDS = 15.0
SAMPLES, TOKENS = 8, 100
TARGET_SECONDS = 1.0


def run_lots(bench: Bench, name: str, silence: Callable[[], None], when: str) -> object:
    """Submit and acknowledge a Lot; with a small one before to open connections."""
    history = bench.history(TRAINER)
    trainer = TrainerClient(bench.addresses, TRAINER)
    if when == KEPT:
        first = make_lot(f"{name}-first", bench.version, 2, 4)
        record_lot(history, trainer, first, LOT_SECONDS)
        trainer.acknowledge(first)
        silence()
    lot = make_lot(name, bench.version, SAMPLES, TOKENS)
    outcome = record_lot(history, trainer, lot, LOT_SECONDS)
    if isinstance(outcome, LotAnswered):
        trainer.acknowledge(lot)
    trainer.close()
    return outcome


def run_booking(
    bench: Bench, name: str, silence: Callable[[], None], when: str
) -> object:
    """Send a keyed booking; with another one before to open connections."""
    history = bench.history(CALLER)
    client = RequestClient(bench.addresses)
    if when == KEPT:
        for number in range(2):
            record_call(history, client, _booking(f"{name}-{number}", 0.0), 5.0)
        silence()
    outcome = record_call(
        history, client, _booking(name, TARGET_SECONDS), BOOKING_SECONDS
    )
    client.close()
    return outcome


def _booking(name: str, seconds: float) -> Request:
    payload = {"work": name, "seconds": seconds}
    return Request(PLAIN, BOOKINGS, payload, idempotent=False, key=name)


def measure(bench: Bench, name: str, run: Callable, way: str, when: str) -> str:
    """Return the seconds from fault to answer, or how the call ended."""
    to_target, to_client = WAYS[way]
    started = []

    def silence() -> None:
        started.append(time.monotonic())
        for entry in bench.cluster.entries:
            bench.caller_relay(entry).silence(to_target, to_client)

    timer = threading.Timer(SILENCE_AFTER, silence)
    if when == IN_FLIGHT:
        timer.start()
    outcome = run(bench, name, silence, when)
    ended = time.monotonic()
    if when == IN_FLIGHT:
        timer.join()
    seconds = f"{ended - started[0]:.2f}"
    if isinstance(outcome, LotAnswered | Completed):
        return seconds
    return f"{type(outcome).__name__} {seconds}"


KINDS = {"Lot": run_lots, "booking": run_booking}


def main() -> None:
    """Run all cases and print a table."""
    flags = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    flags.add_argument("--runs", type=int, default=5)
    flags.add_argument("--kinds", default="Lot,booking")
    arguments = flags.parse_args()
    runs, kinds = arguments.runs, arguments.kinds.split(",")
    folder = Path(tempfile.mkdtemp(prefix="silent-"))
    with Bench(small(), folder) as bench:
        for kind, run in KINDS.items():
            if kind not in kinds:
                continue
            for when in (IN_FLIGHT, KEPT):
                for way in WAYS:
                    names = [f"{kind}-{when}-{way}-{one}" for one in range(runs)]
                    times = [
                        measure(bench, name.replace(" ", "-"), run, way, when)
                        for name in names
                    ]
                    print(f"{kind:8} {when:10} {way:10} {'  '.join(times)}", flush=True)
        violations = bench.violations()
        print(f"violations: {len(violations)}", *violations, sep="\n")


if __name__ == "__main__":
    main()
