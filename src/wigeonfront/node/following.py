"""Follows rows of the store: the configuration, the named versions and the targets."""

import logging
import threading
from collections.abc import Callable, Collection, Container, Mapping

from wigeonfront.clock import Clock
from wigeonfront.configuration import Configuration
from wigeonfront.coordination.mirror import Mirror
from wigeonfront.coordination.rows import Row
from wigeonfront.observability.logs import event
from wigeonfront.platform import records
from wigeonfront.targets.table import TargetTable
from wigeonfront.targets.target import Target
from wigeonfront.weights.plan import NamedVersion

logger = logging.getLogger(__name__)

REREGISTRATION_SECONDS = 2.3
"""Time after the return of the store by which live targets have registered again. Until
then a registration that has vanished still counts as valid."""


class BadRowLog:
    """Logs invalid rows, once for each revision of a row."""

    def __init__(self) -> None:
        self._logged: dict[str, int] = {}

    def log_once(self, row: Row, bad: records.BadRow) -> None:
        """Log a row unless this revision of it has been logged."""
        if self._logged.get(row.key) == row.revision:
            return
        self._logged[row.key] = row.revision
        event(
            logger,
            "bad_row",
            level=logging.ERROR,
            key=row.key,
            revision=row.revision,
            reason=bad.reason,
        )

    def keep_only(self, keys: Container[str]) -> None:
        """Forget the rows whose keys are not among `keys`."""
        for key in [key for key in self._logged if key not in keys]:
            del self._logged[key]


class ConfigurationFollower:
    """Keeps the newest configuration and named versions, and ignores older ones.

    Parameters
    ----------
    clock : Clock
    on_configuration, on_version : callable
        Called with each newer configuration, and with each newer version of a model.
    with_accounts : bool
        Whether to decode the client accounts; a process without callers needs none.
    """

    def __init__(
        self,
        clock: Clock,
        on_configuration: Callable[[Configuration], None] = lambda new: None,
        on_version: Callable[[NamedVersion], None] = lambda named: None,
        with_accounts: bool = True,
    ) -> None:
        self._with_accounts = with_accounts
        self._clock = clock
        self._on_configuration = on_configuration
        self._on_version = on_version
        self._current: Configuration | None = None
        self._versions: dict[str, NamedVersion] = {}
        self._bad_rows = BadRowLog()

    @property
    def current(self) -> Configuration | None:
        """The configuration in force; ``None`` before the first is known."""
        return self._current

    @property
    def version(self) -> int:
        """Version of the configuration in force; 0 before the first is known."""
        return self._current.version if self._current else 0

    def services(self) -> list[str]:
        """Return the names of the services."""
        return sorted(self._current.services) if self._current else []

    def versions(self) -> list[NamedVersion]:
        """Return the newest named version of each model."""
        return list(self._versions.values())

    def update(self, mirror: Mirror) -> None:
        """Apply the current rows of the operator."""
        state = mirror.state()
        row = state.rows.get(records.CONFIGURATION_KEY)
        if row is not None:
            self._update_configuration(row, mirror.age)
        for key, row in state.rows.items():
            if key.startswith(records.VERSION_PREFIX):
                self._update_version(key.removeprefix(records.VERSION_PREFIX), row)

    def _update_configuration(self, row: Row, age: float) -> None:
        new = records.decode_configuration(row.value, self._with_accounts)
        if isinstance(new, records.BadRow):
            self._bad_rows.log_once(row, new)
            return
        if self._current is not None and new.version <= self._current.version:
            return
        event(
            logger,
            "configuration",
            version=new.version,
            previous=self.version,
            routes=len(new.routes),
            revision=row.revision,
            age=age,
        )
        self._current = new
        self._on_configuration(new)

    def _update_version(self, model: str, row: Row) -> None:
        version = records.decode_version(row.value)
        if isinstance(version, records.BadRow):
            self._bad_rows.log_once(row, version)
            return
        known = self._versions.get(model)
        if known is not None and version <= known.version:
            return
        named = NamedVersion(model, version, self._clock.monotonic())
        self._versions[model] = named
        event(
            logger,
            "version_named",
            model=model,
            version=version,
            revision=row.revision,
        )
        self._on_version(named)


class TargetFollower:
    """Keeps the target table in line with the registered targets.

    Parameters
    ----------
    table : TargetTable
    clock : Clock
    on_change : callable
        Called after each change.
    on_gone : callable
        Called with the id of each target that has certainly ended: it has started
        again under a new id, or another target has its address.
    """

    def __init__(
        self,
        table: TargetTable,
        clock: Clock,
        on_change: Callable[[], None],
        on_gone: Callable[[str], None] = lambda id: None,
    ) -> None:
        self._table = table
        self._clock = clock
        self._on_change = on_change
        self._on_gone = on_gone
        self._lock = threading.Lock()
        self._known: dict[str, Target] = {}
        # Ids of the known targets without a registration.
        self._kept: frozenset[str] = frozenset()
        # Newest known start of each target in Unix ms, also of targets that are gone.
        self._starts: dict[str, int] = {}
        self._bad_rows = BadRowLog()

    def update(self, mirror: Mirror) -> None:
        """Apply the current rows of the targets."""
        rows = mirror.state().rows
        with self._lock:
            registered = self._registered(rows)
            kept = self._still_valid(registered, mirror)
            self._log(registered, kept, mirror)
            gone = replaced_targets(self._known.values(), registered.values())
            self._known = {**kept, **registered}
            self._kept = frozenset(kept)
            targets = list(self._known.values())
        self._table.set_targets(targets)
        for id in gone:
            event(logger, "target_restarted", id=id)
            self._on_gone(id)
        self._on_change()

    def _registered(self, rows: Mapping[str, Row]) -> dict[str, Target]:
        """Return the targets that the rows register, by their ids."""
        self._bad_rows.keep_only(rows)
        known = {target.name: target for target in self._known.values()}
        found: dict[str, Target] = {}
        revisions: dict[str, int] = {}
        for key, row in rows.items():
            target = records.decode_target(
                key.removeprefix(records.TARGET_PREFIX), row.value
            )
            if isinstance(target, records.BadRow):
                self._bad_rows.log_once(row, target)
                continue
            if target.started_ms < self._starts.get(target.name, 0):
                # A late write of an incarnation that has ended.
                self._bad_rows.log_once(
                    row, records.BadRow("written by an earlier incarnation")
                )
                if target.name not in known:
                    continue
                target = known[target.name]
            elif target.started_ms:
                self._starts[target.name] = target.started_ms
            found[target.id] = target
            revisions[target.id] = row.revision
        return newest_at_address(found, revisions)

    def expire(self, mirror: Mirror) -> None:
        """Drop registrations that were not renewed in time after an outage."""
        with self._lock:
            waiting = bool(self._kept)
        if waiting:
            self.update(mirror)

    def _still_valid(
        self, registered: dict[str, Target], mirror: Mirror
    ) -> dict[str, Target]:
        """Return vanished targets whose lease may only have expired in an outage."""
        now = self._clock.monotonic()
        if not may_lack_registrations(mirror.failing, mirror.store_returned_at, now):
            return {}
        kept = {
            id: target for id, target in self._known.items() if id not in registered
        }
        taken = {target.address for target in registered.values()}
        return {
            id: target for id, target in kept.items() if target.address not in taken
        }

    def _log(
        self,
        registered: Mapping[str, Target],
        kept: Collection[str],
        mirror: Mirror,
    ) -> None:
        """Log a summary of the changes, and each change of a target that was used here.

        Each process learns of each target, so a line for every change of a target would
        make the number of lines grow with the square of the deployment's size.
        """
        changed = [
            target for id, target in registered.items() if self._known.get(id) != target
        ]
        gone = [id for id in self._known if id not in registered and id not in kept]
        newly_kept = [id for id in kept if id not in self._kept]
        for target in changed:
            if self._table.was_used(target.id):
                _log_target(target)
        for id in newly_kept:
            if self._table.was_used(id):
                self._log_kept(id, mirror)
        for id in gone:
            if self._table.was_used(id):
                event(logger, "target_gone", id=id)
        added = sum(target.id not in self._known for target in changed)
        if added or gone or newly_kept:
            event(
                logger,
                "targets",
                known=len(registered),
                come=added,
                gone=len(gone),
                kept=len(kept),
                draining=sum(target.draining for target in registered.values()),
            )

    def _log_kept(self, id: str, mirror: Mirror) -> None:
        """Log that a target without a registration is still used, and why."""
        now = self._clock.monotonic()
        event(
            logger,
            "target_kept",
            id=id,
            store_failing=mirror.failing,
            returned_seconds_ago=now - mirror.store_returned_at,
        )


def _log_target(target: Target) -> None:
    event(
        logger,
        "target",
        id=target.id,
        service=target.service,
        address=target.address,
        draining=target.draining,
    )


def may_lack_registrations(failing: bool, returned_at: float, now: float) -> bool:
    """Return whether live targets may lack a registration because of an outage.

    The time counts from the return of the store, not from the moment at which a
    registration vanishes: a target that leaves soon after an outage would otherwise be
    used for as long as one that lost its lease.

    Parameters
    ----------
    failing : bool
        Whether the store does not answer now.
    returned_at : float
        Monotonic time by which the last outage of the store had ended.
    now : float
        Monotonic time.
    """
    return failing or now < returned_at + REREGISTRATION_SECONDS


def newest_at_address(
    targets: dict[str, Target], revisions: dict[str, int]
) -> dict[str, Target]:
    """Return the targets; of several at one address, only the newest.

    A target that lost power stays registered until its lease expires, up to 3.6 s after
    its successor has registered at the same address. Only the newest target at an
    address still writes its row.

    Parameters
    ----------
    targets : dict of str to Target
        Targets by their ids.
    revisions : dict of str to int
        Revision of the last write of each registration, by the target's id.
    """
    newest: dict[str, str] = {}
    for id, target in targets.items():
        known = newest.get(target.address)
        if known is None or revisions[known] < revisions[id]:
            newest[target.address] = id
    alive = set(newest.values())
    return {id: target for id, target in targets.items() if id in alive}


def replaced_targets(
    known: Collection[Target], registered: Collection[Target]
) -> list[str]:
    """Return the ids of the targets that have certainly been replaced.

    A registration that merely vanishes proves nothing: its target may still serve.
    """
    by_name = {target.name: target for target in registered}
    by_address = {target.address: target for target in registered}
    ids = {target.id for target in registered}
    return [
        target.id
        for target in known
        if target.id not in ids
        and (target.name in by_name or target.address in by_address)
    ]
