"""The command ``python -m benchmarks.capacity``."""

import argparse
import os
import platform
import sys
import time
from pathlib import Path
from typing import Any

import msgspec

from benchmarks.capacity.budget import budget
from benchmarks.capacity.control import catalogue, peers
from benchmarks.capacity.data import baseline, requests, samples
from benchmarks.capacity.figures import Figure, table
from benchmarks.capacity.members import members
from benchmarks.capacity.slots import slots
from benchmarks.capacity.state import attempts, ledger, memory
from benchmarks.capacity.trial import Experiment, Trial

EXPERIMENTS: dict[str, Experiment] = {
    "memory": memory,
    "peers": peers,
    "requests": requests,
    "samples": samples,
    "attempts": attempts,
    "ledger": ledger,
    "catalogue": catalogue,
    "slots": slots,
    "members": members,
    "baseline": baseline,
    "budget": budget,
}
ALL = "all"


def main() -> None:
    """Run the measurements that were asked for."""
    arguments = _parser().parse_args()
    trial = Trial(
        arguments.seconds, arguments.settle, arguments.repeats, arguments.seed
    )
    names = list(EXPERIMENTS) if arguments.what == ALL else [arguments.what]
    results = {name: _run(name, trial) for name in names}
    if arguments.json:
        Path(arguments.json).write_bytes(_encoded(results, trial))


def _parser() -> argparse.ArgumentParser:
    parser = argparse.ArgumentParser("python -m benchmarks.capacity", None, __doc__)
    parser.add_argument("--what", choices=[*EXPERIMENTS, ALL], default=ALL)
    parser.add_argument("--seconds", type=float, default=10.0, help="of each window")
    parser.add_argument("--settle", type=float, default=3.0, help="seconds before it")
    parser.add_argument("--repeats", type=int, default=3)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--json", default="", help="file for the figures")
    return parser


def _run(name: str, trial: Trial) -> dict[str, Any]:
    before = os.getloadavg()[0]
    started = time.monotonic()
    figures = EXPERIMENTS[name](trial)
    result = {
        "seconds": time.monotonic() - started,
        "load_average": [before, os.getloadavg()[0]],
        "figures": [figure.to_json() for figure in figures],
    }
    _print(name, figures, result)
    return result


def _print(name: str, figures: list[Figure], result: dict[str, Any]) -> None:
    before, after = result["load_average"]
    print(f"\n{name}: {result['seconds']:.0f} s, load {before:.1f} to {after:.1f}")
    print(table(figures))
    sys.stdout.flush()


def _encoded(results: dict[str, Any], trial: Trial) -> bytes:
    whole = {
        "python": platform.python_version(),
        "cores": os.cpu_count(),
        "trial": trial,
        "experiments": results,
    }
    return msgspec.json.format(msgspec.json.encode(whole), indent=1)


if __name__ == "__main__":
    main()
