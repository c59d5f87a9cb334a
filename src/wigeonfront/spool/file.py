"""A file of calls that a disk has taken, from which its contents are made anew."""

import logging
import os
import secrets
import struct
import threading
import zlib
from collections.abc import Iterator
from pathlib import Path
from typing import BinaryIO

import msgspec

from wigeonfront.clock import Clock
from wigeonfront.observability.logs import event
from wigeonfront.spool.calls import (
    Append,
    Done,
    Held,
    Refused,
    SpoolAnswer,
    SpoolCall,
)
from wigeonfront.spool.contents import SpoolContents

logger = logging.getLogger(__name__)

FILE_NAME = "spool"

RETENTION_SECONDS = 600.0
"""Time after which what nobody has changed is dropped: many times what a Lot takes."""

MAX_FILE_BYTES = 64 * 1024 * 1024
"""Size from which the file is written anew with what it holds; a refused call then
tells its writer that the disk has no room."""

REWRITE_BYTES = 8 * 1024 * 1024
"""Size from which the file is written anew as soon as it holds nothing."""

_HEADER = struct.Struct(">II")
"""Length and checksum of a record."""


class _DiskId(msgspec.Struct, frozen=True, tag="disk"):
    """The first record: made with the file, so that a lost disk has another."""

    disk: str


_Record = _DiskId | SpoolCall


class SpoolFile:
    """The spool of one disk; every change is synced before it is answered.

    Parameters
    ----------
    folder : Path
        Of the disk.
    clock : Clock

    Attributes
    ----------
    disk : str
        Id of the file.
    """

    def __init__(self, folder: Path, clock: Clock) -> None:
        folder.mkdir(parents=True, exist_ok=True)
        self._path = folder / FILE_NAME
        self._clock = clock
        self._lock = threading.Lock()
        self._contents = SpoolContents()
        self._failed = False
        self.disk = ""
        self._file = self._open()

    @property
    def item_count(self) -> int:
        """Items that are held."""
        with self._lock:
            return self._contents.item_count

    def apply(self, call: SpoolCall) -> SpoolAnswer:
        """Carry out a call."""
        with self._lock:
            if call.disk != self.disk:
                return Refused("other disk")
            if self._failed:
                return Refused("disk failed")
            if isinstance(call, Append) and self._size() > MAX_FILE_BYTES:
                return Refused("disk full")
            answer = self._contents.apply(call, self._clock.monotonic())
            if isinstance(answer, Done | Held) and not self._write(call):
                return Refused("disk failed")
            return answer

    def items_by_key(self, prefix: str) -> dict[str, tuple[bytes, ...]]:
        """Return the items of the keys that begin with `prefix` and have any."""
        with self._lock:
            return self._contents.items_by_key(prefix)

    def forget(self, key: str) -> None:
        """Drop the items of a key, which are kept elsewhere."""
        with self._lock:
            call = self._contents.forget_call(self.disk, key)
        self.apply(call)

    def upkeep(self) -> None:
        """Drop what is old, and shorten the file where that is worth it."""
        with self._lock:
            before = self._clock.monotonic() - RETENTION_SECONDS
            dropped = self._contents.drop_untouched(before)
            limit = MAX_FILE_BYTES if self._contents.item_count else REWRITE_BYTES
            if not self._failed and self._size() > limit // 2:
                self._rewrite()
                event(logger, "spool_rewritten", dropped=dropped, size=self._size())

    def close(self) -> None:
        """Close the file."""
        with self._lock:
            self._failed = True
            self._file.close()

    # --- the file ------------------------------------------------------------

    def _open(self) -> BinaryIO:
        file = _opened(self._path)
        good = 0
        for record, end in _records(file.read()):
            good = end
            if isinstance(record, _DiskId):
                self.disk = record.disk
            else:
                self._contents.apply(record, self._clock.monotonic())
        # What a loss of power has torn was never answered.
        file.truncate(good)
        file.seek(good)
        if not self.disk:
            self.disk = secrets.token_hex(8)
            _put(file, _DiskId(self.disk))
        os.fsync(file.fileno())
        event(
            logger,
            "spool_opened",
            disk=self.disk,
            items=self._contents.item_count,
            size=good,
        )
        return file

    def _size(self) -> int:
        return os.fstat(self._file.fileno()).st_size

    def _write(self, record: _Record) -> bool:
        """Write a record and sync it; nothing more is taken after a failure.

        A record that was torn would hide those behind it.
        """
        try:
            _put(self._file, record)
            os.fsync(self._file.fileno())
        except OSError as error:
            self._failed = True
            event(logger, "spool_failed", reason=str(error))
            return False
        return True

    def _rewrite(self) -> None:
        """Put a new file with the same contents in the place of this one."""
        new = self._path.with_suffix(".new")
        try:
            file = _opened(new)
            file.truncate(0)
            _put(file, _DiskId(self.disk))
            for call in self._contents.snapshot_calls(self.disk):
                _put(file, call)
            os.fsync(file.fileno())
            new.rename(self._path)
            _sync_folder(self._path.parent)
            self._file.close()
            self._file = file
        except OSError as error:
            self._failed = True
            event(logger, "spool_failed", reason=str(error))


def _opened(path: Path) -> BinaryIO:
    """Return a file for reading and writing, made where there is none."""
    descriptor = os.open(path, os.O_RDWR | os.O_CREAT, 0o600)
    return os.fdopen(descriptor, "r+b", buffering=0)


def _put(file: BinaryIO, record: _Record) -> None:
    data = msgspec.msgpack.encode(record)
    whole = _HEADER.pack(len(data), zlib.crc32(data)) + data
    if file.write(whole) != len(whole):
        raise OSError("record cut short")


def _records(data: bytes) -> Iterator[tuple[_Record, int]]:
    """Yield the records up to the first that is torn, each with its end."""
    start = 0
    while start + _HEADER.size <= len(data):
        length, checksum = _HEADER.unpack_from(data, start)
        begin = start + _HEADER.size
        body = data[begin : begin + length]
        if len(body) < length or zlib.crc32(body) != checksum:
            return
        try:
            record = msgspec.msgpack.decode(body, type=_Record)
        except msgspec.DecodeError:
            return
        start = begin + length
        yield record, start


def _sync_folder(folder: Path) -> None:
    descriptor = os.open(folder, os.O_RDONLY)
    try:
        os.fsync(descriptor)
    finally:
        os.close(descriptor)
