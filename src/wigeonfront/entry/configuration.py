"""The catalogue as this entry has it in force."""

import logging
import threading
from collections.abc import Callable

from wigeonfront import catalogue
from wigeonfront.catalogue import BadRow, CatalogueEntry
from wigeonfront.clock import Clock
from wigeonfront.logs import event
from wigeonfront.messages import ServicePolicy
from wigeonfront.platform import Changes, KeyValue, Listing

logger = logging.getLogger(__name__)

WATCH_SECONDS = 30.0
PAUSE_SECONDS = 1.0


class Catalogue:
    """Rows in force; a lower revision is never applied, a bad row is passed over.

    Parameters
    ----------
    clock : Clock
    on_change : callable
        Told after rows have changed.
    """

    def __init__(
        self, clock: Clock, on_change: Callable[[], None] = lambda: None
    ) -> None:
        self._clock = clock
        self._on_change = on_change
        self._lock = threading.Lock()
        self._rows: dict[str, CatalogueEntry] = {}
        self._revisions: dict[str, int] = {}
        self._bad: dict[str, str] = {}
        self._revision = 0
        self._loaded = threading.Event()
        self._heard_at = clock.monotonic()

    @property
    def revision(self) -> int:
        """Highest revision seen."""
        return self._revision

    @property
    def loaded(self) -> bool:
        """Whether the whole catalogue was read at least once."""
        return self._loaded.is_set()

    @property
    def age(self) -> float:
        """Seconds since the key-value service was last heard."""
        return self._clock.monotonic() - self._heard_at

    @property
    def bad_rows(self) -> dict[str, str]:
        """Rows not in force, and why."""
        with self._lock:
            return dict(self._bad)

    def get(self, name: str) -> CatalogueEntry | None:
        """Return the entry `name` as in force."""
        with self._lock:
            return self._rows.get(name)

    def rows(self) -> dict[str, CatalogueEntry]:
        """Return all entries in force."""
        with self._lock:
            return dict(self._rows)

    def policy(self, service: str) -> ServicePolicy:
        """Return what the sides of `service` follow."""
        with self._lock:
            rollouts = {
                name: row
                for name, row in self._rows.items()
                if service in row.services and row.work_class == "rollout"
            }
            revision = self._revision
        waves = [row.wave for row in rollouts.values()]
        return ServicePolicy(
            revision=revision,
            wave=min(waves, default=catalogue.DEFAULT_WAVE),
            weights={name: row.weight for name, row in rollouts.items()},
        )

    def watch(self, key_value: KeyValue, stop: threading.Event) -> None:
        """Follow the key-value service until `stop` (a supervisor's task)."""
        listed = False
        while not stop.is_set():
            if not listed:
                listed = self._list(key_value)
                if not listed:
                    stop.wait(PAUSE_SECONDS)
                continue
            changes = key_value.watch(catalogue.PREFIX, self._revision, WATCH_SECONDS)
            if not isinstance(changes, Changes):
                event(logger, "catalogue_watch_lost", reason=changes.reason)
                stop.wait(PAUSE_SECONDS)
                listed = False
            elif changes.compacted:
                listed = False
            else:
                self._take(changes)

    def _list(self, key_value: KeyValue) -> bool:
        listing = key_value.list(catalogue.PREFIX)
        if not isinstance(listing, Listing):
            return False
        self._heard_at = self._clock.monotonic()
        present = {row.key for row in listing.rows}
        with self._lock:
            absent = [key for key in self._revisions if key not in present]
        for row in listing.rows:
            self._apply(row.key, row.value, row.revision)
        for key in absent:
            self._apply(key, None, listing.revision)
        self._reached(listing.revision)
        self._loaded.set()
        return True

    def _take(self, changes: Changes) -> None:
        self._heard_at = self._clock.monotonic()
        for change in changes.changes:
            self._apply(change.key, change.value, change.revision)
        self._reached(changes.revision)

    def _reached(self, revision: int) -> None:
        with self._lock:
            changed = revision > self._revision
            self._revision = max(self._revision, revision)
        if changed:
            self._on_change()

    def _apply(self, key: str, value: bytes | None, revision: int) -> None:
        name = key.removeprefix(catalogue.PREFIX)
        row = None if value is None else catalogue.check(value)
        with self._lock:
            if revision <= self._revisions.get(key, 0):
                return
            self._revisions[key] = revision
            if isinstance(row, BadRow):
                self._bad[name] = row.reason
            else:
                self._bad.pop(name, None)
                if row is None:
                    self._rows.pop(name, None)
                else:
                    self._rows[name] = row
        reason = row.reason if isinstance(row, BadRow) else ""
        event(
            logger,
            "catalogue_bad_row" if reason else "catalogue_applied",
            catalogue_entry=name,
            revision=revision,
            deleted=row is None,
            reason=reason,
        )
