"""The record of a trial: what was sent, answered and run."""

import threading
import time
from pathlib import Path


class Record:
    """Lines with the seconds since the start, written to a file at the end."""

    def __init__(self, folder: Path) -> None:
        self._path = folder / "record.txt"
        self._lock = threading.Lock()
        self._began = time.monotonic()
        self._lines: list[str] = []

    def note(self, text: str) -> None:
        """Add a line."""
        seconds = time.monotonic() - self._began
        with self._lock:
            self._lines.append(f"{seconds:8.3f} {text}")

    def conclude(self, text: str) -> None:
        """Add a last line, show it and write the file."""
        self.note(text)
        print(text, flush=True)
        self._path.write_text("\n".join(self._lines) + "\n")
