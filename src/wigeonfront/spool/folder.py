"""The file operations that a spool needs, in one folder of a disk."""

import os
from pathlib import Path
from typing import BinaryIO


class SpoolFolder:
    """The folder of a spool; each operation raises ``OSError`` if the disk refuses it.

    Parameters
    ----------
    path : Path
    """

    def __init__(self, path: Path) -> None:
        self._path = path

    def make(self) -> None:
        """Create the folder if it is missing, so that it survives a power loss."""
        missing = [
            path for path in (self._path, *self._path.parents) if not path.exists()
        ]
        for path in reversed(missing):
            path.mkdir(exist_ok=True)
            _sync_folder(path.parent)

    def read(self, name: str) -> bytes:
        """Return the content of a file; empty if it does not exist."""
        try:
            return (self._path / name).read_bytes()
        except FileNotFoundError:
            return b""

    def create(self, name: str) -> BinaryIO:
        """Open an empty file for writing, in place of one with the same name."""
        descriptor = os.open(
            self._path / name, os.O_WRONLY | os.O_CREAT | os.O_TRUNC, 0o600
        )
        return os.fdopen(descriptor, "wb", buffering=0)

    def write(self, file: BinaryIO, position: int, data: bytes) -> None:
        """Write all of `data` at a byte position."""
        file.seek(position)
        if file.write(data) != len(data):
            raise OSError("data was written only in part")

    def truncate(self, file: BinaryIO, size: int) -> None:
        """Cut a file to `size` bytes."""
        file.truncate(size)

    def sync(self, file: BinaryIO) -> None:
        """Make the data of a file durable."""
        os.fsync(file.fileno())

    def close(self, file: BinaryIO) -> None:
        """Close a file."""
        file.close()

    def rename(self, old: str, new: str) -> None:
        """Rename a file, in place of one with the new name."""
        (self._path / old).rename(self._path / new)

    def remove(self, name: str) -> None:
        """Remove a file."""
        (self._path / name).unlink(missing_ok=True)

    def sync_names(self) -> None:
        """Make the names in the folder durable."""
        _sync_folder(self._path)


def _sync_folder(path: Path) -> None:
    descriptor = os.open(path, os.O_RDONLY)
    try:
        os.fsync(descriptor)
    finally:
        os.close(descriptor)
