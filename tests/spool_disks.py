"""A disk in memory that refuses operations, and forgets what was not synced."""

import errno
import os
from dataclasses import dataclass, field
from itertools import product
from typing import ClassVar

from wigeonfront.spool.folder import SpoolFolder

FAULTS = {
    "read": ("nothing",),
    "create": ("nothing",),
    "write": ("nothing", "half"),
    "truncate": ("nothing", "all"),
    # The system calls data clean that it could not write, or has written it after all.
    "sync": ("nothing", "all"),
    "rename": ("nothing", "all"),
    "remove": ("nothing",),
    "sync_names": ("nothing", "all"),
    "close": ("all",),
}
"""How much a failed operation has done, by the name of the operation."""

POWER_LOSSES = tuple(product(("none", "half", "all"), ("durable", "current")))
"""Which unsynced changes of files, and which names, survive a power loss."""


@dataclass(eq=False)
class StoredFile:
    """What a file shows, what its disk has, and the changes that were not synced."""

    shown: bytearray = field(default_factory=bytearray)
    durable: bytearray = field(default_factory=bytearray)
    unsynced: list = field(default_factory=list)

    def change(self, position, data):
        """Write `data` at a position, or cut the file there if it is ``None``."""
        _change(self.shown, position, data)
        self.unsynced.append((position, data))


def _change(content, position, data):
    if data is None:
        del content[position:]
        return
    content.extend(bytes(max(0, position - len(content))))
    content[position : position + len(data)] = data


class FaultyDisk(SpoolFolder):
    """A folder in memory in which chosen operations fail.

    Parameters
    ----------
    failing : dict of int to str
        How much each operation that fails has done, by its number.

    Attributes
    ----------
    performed : list of str
        Names of the operations so far.
    full : bool
        Whether the disk takes no more bytes.
    """

    errors: ClassVar = {"half": errno.ENOSPC, "nothing": errno.EIO, "all": errno.EIO}

    def __init__(self, failing=None):
        self.failing = failing or {}
        self.performed = []
        self.full = False
        self.names = {}
        self.durable_names = {}

    @property
    def has_failed(self):
        return any(number < len(self.performed) for number in self.failing)

    def lose_power(self, data, names):
        """Forget what was not synced, except for a part of it."""
        self.names = dict(self.durable_names if names == "durable" else self.names)
        for stored in {*self.names.values(), *self.durable_names.values()}:
            changes = stored.unsynced if data != "none" else []
            if data == "half" and changes:
                *changes, (position, last) = changes
                if last is not None:
                    changes.append((position, last[: len(last) // 2]))
            for position, change in changes:
                _change(stored.durable, position, change)
            stored.shown, stored.unsynced = bytearray(stored.durable), []
        self.durable_names = dict(self.names)

    def make(self):
        pass

    def read(self, name):
        self._perform("read", lambda part: None)
        stored = self.names.get(name)
        return bytes(stored.shown) if stored else b""

    def create(self, name):
        self._perform("create", lambda part: self._create(name))
        return self.names[name]

    def write(self, file, position, data):
        def write(part):
            file.change(position, data[: int(len(data) * part)])

        self._perform("write", write)

    def truncate(self, file, size):
        self._perform("truncate", lambda part: file.change(size, None))

    def sync(self, file):
        self._perform("sync", lambda part: self._sync(file), lambda: self._drop(file))

    def close(self, file):
        self._perform("close", lambda part: None)

    def rename(self, old, new):
        def rename(part):
            self.names[new] = self.names.pop(old)

        self._perform("rename", rename)

    def remove(self, name):
        self._perform("remove", lambda part: self.names.pop(name, None))

    def sync_names(self):
        def sync(part):
            self.durable_names = dict(self.names)

        self._perform("sync_names", sync)

    def _create(self, name):
        stored = self.names.setdefault(name, StoredFile())
        stored.change(0, None)

    def _sync(self, file):
        for position, data in file.unsynced:
            _change(file.durable, position, data)
        file.unsynced = []
        for name, stored in self.names.items():
            if stored is file and name not in self.durable_names:
                self.durable_names[name] = file

    def _drop(self, file):
        file.unsynced = []

    def _perform(self, operation, effect, drop=lambda: None):
        done = self.failing.get(len(self.performed))
        if self.full and operation in ("create", "write", "sync"):
            done = "nothing"
        self.performed.append(operation)
        if done in (None, "all", "half"):
            effect(0.5 if done == "half" else 1)
        elif done == "nothing":
            drop()
        if done is not None:
            code = self.errors[done]
            raise OSError(code, os.strerror(code))
