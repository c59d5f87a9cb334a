"""Runs the tests of each mutation, which must detect it.

Usage: ``make bench BENCH=mutations``. Each mutation is applied to a scratch copy. If
all its tests pass, its name is printed and the exit code is 1.
"""

import argparse
import os
import shutil
import subprocess
import sys
import tempfile
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

from tqdm import tqdm

from benchmarks.mutations.decisions import MUTATIONS, Mutation

ROOT = Path(__file__).resolve().parents[2]
COPIED_PATHS = ("src", "tests", "examples", "benchmarks", "pyproject.toml")
IGNORED_FILES = shutil.ignore_patterns("__pycache__", "*.egg-info")
TEST_TIMEOUT_SECONDS = 300
"""Timeout for the tests of one mutation."""

FAILED_TESTS = 1
"""Exit code of pytest if tests have failed and nothing else went wrong."""


def is_detected(mutation: Mutation) -> bool:
    """Apply a mutation to a scratch copy; return whether one of its tests fails.

    Raises
    ------
    RuntimeError
        If the tests could not be run.
    """
    with tempfile.TemporaryDirectory(prefix="mutation-") as folder:
        copy = Path(folder)
        _copy(copy)
        mutation.change.apply(copy)
        ended = _run_tests(copy, mutation.tests)
    if ended.returncode not in (0, FAILED_TESTS):
        raise RuntimeError(f"{mutation.change.name}: {ended.stdout[-2000:]}")
    return ended.returncode == FAILED_TESTS


def _copy(folder: Path) -> None:
    for name in COPIED_PATHS:
        source = ROOT / name
        if source.is_dir():
            shutil.copytree(source, folder / name, ignore=IGNORED_FILES)
        else:
            shutil.copy(source, folder / name)


def _run_tests(copy: Path, tests: tuple[str, ...]) -> subprocess.CompletedProcess:
    paths = os.pathsep.join([str(copy / "src"), str(copy / "examples"), str(copy)])
    return subprocess.run(
        [
            sys.executable,
            "-m",
            "pytest",
            "-x",
            "-q",
            *(f"tests/{test}" for test in tests),
        ],
        cwd=copy,
        env=os.environ | {"PYTHONPATH": paths},
        capture_output=True,
        text=True,
        timeout=TEST_TIMEOUT_SECONDS,
    )


def main() -> int:
    """Run all mutations, or those whose names contain a word."""
    flags = argparse.ArgumentParser("python -m benchmarks.mutations", None, __doc__)
    flags.add_argument(
        "word", nargs="?", default="", help="run only mutations whose names contain it"
    )
    flags.add_argument("--jobs", type=int, default=4)
    arguments = flags.parse_args()
    chosen = [
        mutation for mutation in MUTATIONS if arguments.word in mutation.change.name
    ]
    with ThreadPoolExecutor(arguments.jobs) as executor:
        results = executor.map(is_detected, chosen)
        detected = list(tqdm(results, total=len(chosen), unit="change"))
    missed = [
        mutation.change.name
        for mutation, found in zip(chosen, detected, strict=True)
        if not found
    ]
    print(f"{len(chosen) - len(missed)} of {len(chosen)} detected")
    for name in missed:
        print(f"not detected: {name}")
    return 1 if missed else 0


if __name__ == "__main__":
    sys.exit(main())
