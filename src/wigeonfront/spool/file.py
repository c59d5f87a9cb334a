"""A log file of the calls that a disk has accepted; replayed at the start."""

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
"""Time after which an unchanged key is dropped: many times what a Lot takes."""

MAX_FILE_BYTES = 64 * 1024 * 1024
"""Largest size of the file; above it, appends are refused as the disk is full. From
half of this size on, a file that still has items is rewritten with those alone."""

REWRITE_BYTES = 8 * 1024 * 1024
"""The same for a file without items: it is rewritten from half of this size on."""

_HEADER = struct.Struct(">II")
"""Length and CRC-32 of a record, before its body."""


class _DiskId(msgspec.Struct, frozen=True, tag="disk"):
    """The first record: a random id made with the file, so a new disk has a new id."""

    disk: str


_Record = _DiskId | SpoolCall


class SpoolFile:
    """The spool of one disk; each change is synced to the disk before it is answered.

    Parameters
    ----------
    folder : Path
        Folder on the disk in which the file is.
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
        """Number of items on the disk."""
        with self._lock:
            return self._contents.item_count

    def apply(self, call: SpoolCall) -> SpoolAnswer:
        """Apply a call and make it durable."""
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
        """Return the items of the keys that begin with `prefix`, without empty keys."""
        with self._lock:
            return self._contents.items_by_key(prefix)

    def forget(self, key: str) -> None:
        """Drop the items of a key, which are stored elsewhere."""
        with self._lock:
            call = self._contents.forget_call(self.disk, key)
        self.apply(call)

    def upkeep(self) -> None:
        """Drop keys that nobody changes, and rewrite the file if it has grown long."""
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
        file = _open_file(self._path)
        valid_end = 0
        for record, end in _read_records(file.read()):
            valid_end = end
            if isinstance(record, _DiskId):
                self.disk = record.disk
            else:
                self._contents.apply(record, self._clock.monotonic())
        # A record that a power failure has torn was never answered.
        file.truncate(valid_end)
        file.seek(valid_end)
        if not self.disk:
            self.disk = secrets.token_hex(8)
            _append_record(file, _DiskId(self.disk))
        os.fsync(file.fileno())
        event(
            logger,
            "spool_opened",
            disk=self.disk,
            items=self._contents.item_count,
            size=valid_end,
        )
        return file

    def _size(self) -> int:
        return os.fstat(self._file.fileno()).st_size

    def _write(self, record: _Record) -> bool:
        """Write a record and sync it; after a failure, refuse all further calls.

        The record may then be torn, and a replay would miss all records after it.
        """
        try:
            _append_record(self._file, record)
            os.fsync(self._file.fileno())
        except OSError as error:
            self._failed = True
            event(logger, "spool_failed", reason=str(error))
            return False
        return True

    def _rewrite(self) -> None:
        """Replace the file by a shorter one with the same contents."""
        new = self._path.with_suffix(".new")
        try:
            file = _open_file(new)
            file.truncate(0)
            _append_record(file, _DiskId(self.disk))
            for call in self._contents.snapshot_calls(self.disk):
                _append_record(file, call)
            os.fsync(file.fileno())
            new.rename(self._path)
            _sync_folder(self._path.parent)
            self._file.close()
            self._file = file
        except OSError as error:
            self._failed = True
            event(logger, "spool_failed", reason=str(error))


def _open_file(path: Path) -> BinaryIO:
    """Open a file for reading and writing; create it if there is none."""
    descriptor = os.open(path, os.O_RDWR | os.O_CREAT, 0o600)
    return os.fdopen(descriptor, "r+b", buffering=0)


def _append_record(file: BinaryIO, record: _Record) -> None:
    data = msgspec.msgpack.encode(record)
    framed = _HEADER.pack(len(data), zlib.crc32(data)) + data
    if file.write(framed) != len(framed):
        raise OSError("record was written only in part")


def _read_records(data: bytes) -> Iterator[tuple[_Record, int]]:
    """Yield the records up to the first that is torn, each with its end offset."""
    start = 0
    while start + _HEADER.size <= len(data):
        length, checksum = _HEADER.unpack_from(data, start)
        body_start = start + _HEADER.size
        body = data[body_start : body_start + length]
        if len(body) < length or zlib.crc32(body) != checksum:
            return
        try:
            record = msgspec.msgpack.decode(body, type=_Record)
        except msgspec.DecodeError:
            return
        start = body_start + length
        yield record, start


def _sync_folder(folder: Path) -> None:
    descriptor = os.open(folder, os.O_RDONLY)
    try:
        os.fsync(descriptor)
    finally:
        os.close(descriptor)
