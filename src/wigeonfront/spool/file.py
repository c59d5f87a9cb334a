"""A log file of the calls that a disk has accepted; replayed at the start.

A call counts once its record is synced, and only then changes the contents in memory.
The memory is therefore what the file must hold, and repairs a file whose disk has
refused an operation:

- A write that failed may have left a part of its record. The file is cut back to the
  end of the last synced record.
- After a sync that failed, the operating system may show data that the disk lacks. The
  same may hold for a file that an earlier process has left. The contents are written to
  a new file, which is synced and renamed.

Until then all calls that have to write are refused.
"""

import logging
import math
import secrets
import struct
import threading
import zlib
from collections.abc import Iterator
from contextlib import suppress
from dataclasses import dataclass
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
from wigeonfront.spool.folder import SpoolFolder

logger = logging.getLogger(__name__)

FILE_NAME = "spool"
NEW_FILE_NAME = "spool.new"
DISK_ID_BYTES = 8

BUSY_SECONDS = 0.4
"""Longest wait of a call for the calls before it, after which it is refused: less than
the time for which its caller waits, so that a disk that hangs blocks few threads."""

CLOSE_SECONDS = 0.5
"""Longest wait for a call in progress when the file is closed."""

MIN_RECOVERY_PAUSE_SECONDS = 0.25
MAX_RECOVERY_PAUSE_SECONDS = 2.0
"""Shortest and longest pause between two attempts to use a disk again. An attempt may
write all of the contents."""

REWRITE_RETRY_SECONDS = 10.0
"""Pause after the file could not be shortened. It stays in use meanwhile."""

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
    """A random id made with the file, so a new disk has a new id.

    It is the first record. It is repeated to find out whether the disk accepts data.
    """

    disk: str


_Record = _DiskId | SpoolCall


@dataclass(frozen=True, slots=True)
class DiskFailure:
    """Why the disk accepts no calls.

    Attributes
    ----------
    reason : str
    since : float
        Monotonic time of the first operation that the disk refused.
    """

    reason: str
    since: float


def recovery_pause(previous: float, failed: bool) -> float:
    """Return the pause in seconds before the next attempt to use a disk again.

    Parameters
    ----------
    previous : float
        Pause before the last attempt, in seconds.
    failed : bool
        Whether the disk has refused an operation again.
    """
    if not failed:
        return MIN_RECOVERY_PAUSE_SECONDS
    return min(2 * previous, MAX_RECOVERY_PAUSE_SECONDS)


class SpoolFile:
    """The spool of one disk; each change is synced to the disk before it is answered.

    No method raises ``OSError``: while the disk refuses an operation, calls are
    refused, until `recover` succeeds.

    Parameters
    ----------
    folder : Path
        Folder on the disk in which the file is.
    clock : Clock
    files : SpoolFolder, optional
        Operations on the files in `folder`.
    """

    def __init__(
        self, folder: Path, clock: Clock, files: SpoolFolder | None = None
    ) -> None:
        self._files = files or SpoolFolder(folder)
        self._clock = clock
        # Held while the file is read or changed. `_lock` guards the attributes, and is
        # never held during an operation of the disk, so that reads don't wait for it.
        self._writing = threading.Lock()
        self._lock = threading.Lock()
        self._contents = SpoolContents()
        self._disk = ""
        self._loaded = False
        # Whether the file has all records up to `_end` on the disk, whatever was
        # written behind them.
        self._sound = False
        self._file: BinaryIO | None = None
        self._end = 0
        self._closed = False
        self._rewrite_at = clock.monotonic()
        self._refused_seconds = 0.0
        self._failure: DiskFailure | None = DiskFailure("", clock.monotonic())
        self.recover()

    @property
    def disk(self) -> str:
        """Id of the file; empty until the file was read, or a new one was written."""
        with self._lock:
            return self._disk

    @property
    def failure(self) -> DiskFailure | None:
        """The failure because of which calls are refused, if any."""
        with self._lock:
            return self._failure

    @property
    def refused_seconds(self) -> float:
        """Total time for which calls were refused, in seconds."""
        with self._lock:
            failure = self._failure
            current = self._clock.monotonic() - failure.since if failure else 0.0
            return self._refused_seconds + current

    @property
    def item_count(self) -> int | None:
        """Number of items on the disk; ``None`` if the file could not be read."""
        with self._lock:
            return self._contents.item_count if self._loaded else None

    def apply(self, call: SpoolCall) -> SpoolAnswer:
        """Apply a call and make it durable."""
        refusal = self._refusal(call)
        if refusal:
            return Refused(refusal)
        if not self._writing.acquire(timeout=BUSY_SECONDS):
            return Refused("disk busy")
        try:
            # The disk may have failed during the wait.
            refusal = self._refusal(call)
            return Refused(refusal) if refusal else self._apply(call)
        finally:
            self._writing.release()

    def items_by_key(self, prefix: str) -> dict[str, tuple[bytes, ...]] | Refused:
        """Return the items of the keys that begin with `prefix`, without empty keys."""
        with self._lock:
            if not self._loaded:
                return Refused(_refusal_reason(self._failure))
            return self._contents.items_by_key(prefix)

    def forget(self, key: str) -> None:
        """Drop the items of a key, which are stored elsewhere."""
        with self._lock:
            call = self._contents.forget_call(self._disk, key)
        self.apply(call)

    def upkeep(self) -> None:
        """Drop keys that nobody changes, and rewrite the file if it has grown long."""
        if not self._writing.acquire(blocking=False):
            return
        try:
            self._shorten()
        finally:
            self._writing.release()

    def recover(self) -> None:
        """Try once to make a disk accept calls again that has refused an operation."""
        if self.failure is None:
            return
        with self._writing:
            if self._closed or self._failure is None:
                return
            try:
                self._repair()
            except OSError as error:
                self._fail(error)
                return
            self._note_recovery()

    def close(self) -> None:
        """Close the file for good."""
        with self._lock:
            self._closed = True
        if not self._writing.acquire(timeout=CLOSE_SECONDS):
            return
        try:
            self._close_file(self._file)
        finally:
            self._writing.release()

    # --- state ---------------------------------------------------------------

    def _refusal(self, call: SpoolCall) -> str:
        """Return why a call can't be applied now; empty if it can."""
        with self._lock:
            if self._closed:
                return "closed"
            if self._failure is not None:
                return _refusal_reason(self._failure)
            if call.disk != self._disk:
                return "other disk"
            if isinstance(call, Append) and self._end > MAX_FILE_BYTES:
                return "disk full"
            return ""

    def _fail(self, error: OSError) -> None:
        """Refuse all calls from now on; log the failure unless it is the same again.

        Each attempt to recover may fail with the same error.
        """
        with self._lock:
            known = self._failure
            since = known.since if known else self._clock.monotonic()
            self._failure = DiskFailure(str(error), since)
        if known is None or known.reason != str(error):
            event(
                logger,
                "spool_failed",
                level=logging.WARNING,
                disk=self._disk,
                reason=str(error),
                sound=self._sound,
            )

    def _note_recovery(self) -> None:
        with self._lock:
            failure, self._failure = self._failure, None
            seconds = self._clock.monotonic() - failure.since if failure else 0.0
            self._refused_seconds += seconds
        event(
            logger,
            "spool_ready",
            disk=self._disk,
            items=self._contents.item_count,
            size=self._end,
            refused_seconds=seconds,
            reason=failure.reason if failure else "",
        )

    # --- the file, with `_writing` held ----------------------------------------

    def _apply(self, call: SpoolCall) -> SpoolAnswer:
        answer = self._contents.answer(call)
        if not isinstance(answer, Done | Held):
            return answer
        try:
            self._write(call)
        except OSError as error:
            self._fail(error)
            return Refused(_refusal_reason(self._failure))
        with self._lock:
            self._contents.apply(call, self._clock.monotonic())
        return answer

    def _write(self, record: _Record) -> None:
        """Write a record behind the others and sync it."""
        data = _framed(record)
        self._files.write(self._file, self._end, data)
        self._sound = False
        self._files.sync(self._file)
        self._sound = True
        self._end += len(data)

    def _repair(self) -> None:
        if not self._loaded:
            self._load()
        if not self._sound:
            self._rewrite()
            return
        self._sound = False
        self._files.truncate(self._file, self._end)
        self._sound = True
        self._write(_DiskId(self._disk))

    def _load(self) -> None:
        """Read the records up to the first that is torn, which was never answered."""
        self._files.make()
        contents, disk = SpoolContents(), ""
        for record in _read_records(self._files.read(FILE_NAME)):
            if isinstance(record, _DiskId):
                disk = record.disk
            else:
                contents.apply(record, self._clock.monotonic())
        with self._lock:
            self._contents, self._disk = contents, disk
            self._loaded = True

    def _shorten(self) -> None:
        now = self._clock.monotonic()
        if self._closed or self._failure is not None or now < self._rewrite_at:
            return
        since = now - RETENTION_SECONDS
        limit = MAX_FILE_BYTES if self._contents.item_count else REWRITE_BYTES
        if self._end <= limit // 2 and not self._contents.has_untouched(since):
            return
        try:
            self._rewrite(since)
        except OSError as error:
            if not self._sound:
                self._fail(error)
            self._rewrite_at = now + REWRITE_RETRY_SECONDS
            event(logger, "spool_not_rewritten", reason=str(error))
            return
        with self._lock:
            dropped = self._contents.drop_untouched(since)
        event(logger, "spool_rewritten", dropped=dropped, size=self._end)

    def _rewrite(self, since: float = -math.inf) -> None:
        """Replace the file by one with the contents that were changed after `since`.

        The present file stays in use if the new one can't be written.
        """
        disk = self._disk or secrets.token_hex(DISK_ID_BYTES)
        new = self._files.create(NEW_FILE_NAME)
        try:
            end = self._write_contents(new, disk, since)
            # Which of the two files has the name is unknown until the names are synced.
            self._sound = False
            self._files.rename(NEW_FILE_NAME, FILE_NAME)
            self._files.sync_names()
        except OSError:
            self._close_file(new)
            with suppress(OSError):
                self._files.remove(NEW_FILE_NAME)
            raise
        old, self._file = self._file, new
        self._sound = True
        with self._lock:
            self._end, self._disk = end, disk
        self._close_file(old)

    def _write_contents(self, file: BinaryIO, disk: str, since: float) -> int:
        """Write the contents to an empty file and sync it; return its size."""
        end = 0
        for record in (
            _DiskId(disk),
            *self._contents.snapshot_calls(disk, since),
        ):
            data = _framed(record)
            self._files.write(file, end, data)
            end += len(data)
        self._files.sync(file)
        return end

    def _close_file(self, file: BinaryIO | None) -> None:
        if file is None:
            return
        try:
            self._files.close(file)
        except OSError as error:
            event(logger, "spool_close_failed", reason=str(error))


def _refusal_reason(failure: DiskFailure | None) -> str:
    return f"disk failed: {failure.reason}" if failure else "disk failed"


def _framed(record: _Record) -> bytes:
    data = msgspec.msgpack.encode(record)
    return _HEADER.pack(len(data), zlib.crc32(data)) + data


def _read_records(data: bytes) -> Iterator[_Record]:
    """Yield the records up to the first that is torn."""
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
        yield record
