"""Starts the command line: ``python -m wigeonfront``, or the single file."""

import os
import sys
from pathlib import Path


def start_from_archive() -> None:
    """Start the program from the single file; does not return.

    The archive's loader has unpacked the packages and is replaced, in the same
    process, by a plain interpreter, so that none of it stays in memory.
    """
    packages = Path(__file__).resolve().parent.parent
    os.environ["PYTHONPATH"] = str(packages)
    interpreter = [sys.executable, "-P", "-m", "wigeonfront"]
    os.execv(sys.executable, [*interpreter, *sys.argv[1:]])


if __name__ == "__main__":
    from wigeonfront.cli import main

    sys.exit(main())
