"""The earlier rows of catalogue entries, kept in the key-value service.

Each accepted write adds ``history/<entry>/<revision>``. A version is recorded after
its row was written, so that an entry killed between the two leaves a gap; the row
now in force is always given.
"""

import logging
import random
from typing import Any

import msgspec

from wigeonfront.catalogue import plain
from wigeonfront.clock import Clock
from wigeonfront.entry.configuration import Catalogue
from wigeonfront.logs import event
from wigeonfront.messages import Message
from wigeonfront.platform import Conflict, KeyValue, Listing, Row, Stored, Unavailable

logger = logging.getLogger(__name__)

PREFIX = "history/"
MAX_VERSIONS = 50
PRUNE_ONE_IN = 8
"""Writes for one listing that looks for versions to delete."""


class Version(Message, frozen=True, kw_only=True):
    """One version of a row, as kept.

    Attributes
    ----------
    revision : int
    row : Any
        JSON data; ``None`` for a deletion.
    operator : str
        Who edited, as they said.
    entry : str
        The entry process that took the edit.
    time : float
        Seconds since the Unix epoch, by that entry's clock.
    """

    revision: int
    row: Any = None
    operator: str = ""
    entry: str = ""
    time: float = 0.0


class History:
    """Records versions and reads them back.

    Parameters
    ----------
    key_value : KeyValue
    catalogue : Catalogue
        Gives the present row.
    entry : str
        Name of this entry process.
    clock : Clock
    generator : random.Random
        Chooses when to look for versions to delete.
    """

    def __init__(
        self,
        key_value: KeyValue,
        catalogue: Catalogue,
        entry: str,
        clock: Clock,
        generator: random.Random | None = None,
    ) -> None:
        self._key_value = key_value
        self._catalogue = catalogue
        self._entry = entry
        self._clock = clock
        self._random = generator or random.Random()

    def record(
        self, name: str, row: bytes | None, revision: int, operator: str
    ) -> None:
        """Keep one version; a failure is logged and leaves a gap."""
        version = Version(
            revision=revision,
            row=plain(row),
            operator=operator,
            entry=self._entry,
            time=self._clock.time(),
        )
        key = f"{PREFIX}{name}/{revision}"
        stored = self._key_value.put(key, msgspec.json.encode(version), expected=0)
        if isinstance(stored, Conflict):
            return  # It was recorded before.
        if not isinstance(stored, Stored):
            event(logger, "history_gap", catalogue_entry=name, revision=revision)
        elif self._random.randrange(PRUNE_ONE_IN) == 0:
            self._prune(name)

    def read(self, name: str) -> list[Version] | Unavailable:
        """Return the versions of a row, oldest first, the present one included."""
        listing = self._key_value.list(f"{PREFIX}{name}/")
        if not isinstance(listing, Listing):
            return listing
        versions = {one.revision: one for one in map(_decoded, listing.rows) if one}
        known = self._catalogue.known(name)
        if known is not None and not known.deleted:
            present = Version(revision=known.revision, row=plain(known.value))
            versions.setdefault(known.revision, present)
        return [versions[revision] for revision in sorted(versions)]

    def _prune(self, name: str) -> None:
        listing = self._key_value.list(f"{PREFIX}{name}/")
        if isinstance(listing, Listing):
            rows = sorted(listing.rows, key=lambda row: row.revision)
            for row in rows[:-MAX_VERSIONS]:
                self._key_value.delete(row.key, row.revision)


def _decoded(row: Row) -> Version | None:
    try:
        return msgspec.json.decode(row.value, type=Version)
    except msgspec.DecodeError:
        return None
