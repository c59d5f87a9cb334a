"""Runs the program with a wall clock that is wrong by the number of seconds in a file.

The monotonic clock stays as it is, as on a machine whose time of day is set anew.
"""

import os
import sys
import time
from pathlib import Path

from wigeonfront.cli import main

CLOCK_FILE = "CLOCK_FILE"
READ_SECONDS = 0.2
"""Maximum age of the error that was last read from the file."""


class SkewedTime:
    """A replacement for `time.time` that adds an error read from a file.

    Parameters
    ----------
    path : Path
        Holds the error in seconds, as text.
    """

    def __init__(self, path: Path) -> None:
        self._path = path
        self._true = time.time
        self._error = 0.0
        self._read_at = -READ_SECONDS

    def __call__(self) -> float:
        """Return the skewed time of day, in seconds since the epoch."""
        now = time.monotonic()
        if now - self._read_at >= READ_SECONDS:
            self._read_at = now
            text = self._path.read_text()
            # The file is empty for a moment while it is being written.
            self._error = float(text) if text else self._error
        return self._true() + self._error


if __name__ == "__main__":
    time.time = SkewedTime(Path(os.environ[CLOCK_FILE]))
    sys.exit(main())
