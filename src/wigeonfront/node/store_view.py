"""An entry's view of the platform's store, kept up to date by three mirrors."""

import logging
from collections.abc import Callable, Mapping, Sequence

from wigeonfront.clock import Clock
from wigeonfront.coordination.feed import (
    DirectRows,
    FollowedRows,
    RowSource,
    feed_sources,
    rotated,
)
from wigeonfront.coordination.membership import (
    DISK_PREFIX,
    ENTRY_PREFIX,
    STORAGE_PREFIX,
    Member,
    Registration,
    decode_member,
)
from wigeonfront.coordination.mirror import Mirror, OnChange
from wigeonfront.coordination.rows import Row, RowStore
from wigeonfront.node.settings import NodeSettings
from wigeonfront.observability.logs import event
from wigeonfront.platform import records
from wigeonfront.rollout.disks import DiskRegistrations
from wigeonfront.supervisor import Supervisor

logger = logging.getLogger(__name__)

LIVE_PREFIX = "live/"

TARGET_PAUSE_SECONDS = 0.4
"""Pause between two watches of the targets, which coalesces their changes: a fifth of
the time after which a draining target must get no new work."""

LIVE_PAUSE_SECONDS = 0.3
LIVE_WATCH_SECONDS = 3.0
"""Time that one watch of owners and members waits, after which a missed change is
noticed, such as the end of a Lot: a trainer's end of a Lot must hold within 3 s."""

WATCH_SHARE = 0.5
"""Time that one watch waits, as a share of the time in which a change must be in
force."""


class StoreView:
    """The mirrors of an entry, and the processes that are known from them.

    Parameters
    ----------
    settings : NodeSettings
    store : RowStore
    registration : Registration
        Registration of this process.
    clock : Clock
    on_operator, on_targets, on_live : callable
        Called with a mirror whose rows have changed: of the configuration and the named
        versions, of the registered targets, or of the live processes.
    """

    def __init__(
        self,
        settings: NodeSettings,
        store: RowStore,
        registration: Registration,
        clock: Clock,
        on_operator: OnChange,
        on_targets: OnChange,
        on_live: OnChange,
    ) -> None:
        self._settings = settings
        self._store = store
        self._registration = registration
        self._clock = clock
        self._started_at = clock.monotonic()
        self.operator = self._operator_mirror(on_operator)
        self.targets = self._target_mirror(on_targets)
        self.live = self._live_mirror(on_live)

    @property
    def mirrors(self) -> dict[str, Mirror]:
        """All mirrors, by the prefix of their keys."""
        return {
            mirror.prefix: mirror for mirror in (self.operator, self.targets, self.live)
        }

    def start(self, supervisor: Supervisor) -> None:
        """Start a task for each mirror."""
        supervisor.start("operator-mirror", self.operator.run)
        supervisor.start("target-mirror", self.targets.run)
        supervisor.start("live-mirror", self.live.run)

    def members(self) -> list[Member]:
        """Return the live entries."""
        rows = self.live.state().rows
        found = {
            member.name: member
            for key, row in rows.items()
            if key.startswith(ENTRY_PREFIX)
            and (member := decode_member(row)) is not None
        }
        # The mirror shows this entry up to 0.3 s late, for which its Lots would wait.
        if self._registration.registered:
            own_member = self._registration.member
            found[own_member.name] = own_member
        return list(found.values())

    def disks(self) -> list[Member]:
        """Return the registered storage processes."""
        found, _ = _members(self.live.state().rows, STORAGE_PREFIX)
        return found

    def disk_registrations(self) -> DiskRegistrations:
        """Return what the live mirror shows of the processes that have a disk."""
        followed_for = self._live_followed_for()
        state = self.live.state()
        registered, _ = _members(state.rows, STORAGE_PREFIX)
        recorded, malformed = _members(state.rows, DISK_PREFIX)
        names = {member.name for member in registered}
        ever = {member.name for member in recorded} | malformed
        disks = frozenset(member.incarnation for member in recorded)
        return DiskRegistrations(
            addresses=tuple(member.address for member in registered),
            absent=tuple(sorted(ever - names)),
            followed_for=followed_for,
            registered={member.incarnation: member.address for member in registered},
            recorded=None if malformed else disks,
            revision=state.revision,
        )

    def _live_followed_for(self) -> float | None:
        if self.live.failing or not self.live.ready:
            return None
        since = max(self._started_at, self.live.regained_at)
        return self._clock.monotonic() - since

    def relays(self) -> list[str]:
        """Return the addresses of the other entries that may reach the store."""
        known = [member.address for member in self.members()]
        own = self._settings.peer_address
        candidates = dict.fromkeys((*known, *self._settings.seed_addresses))
        return [address for address in candidates if address != own]

    def restore_registration(self) -> None:
        """Register this process again if its row is missing."""
        if not self._registration_missing():
            return
        incarnation = self._registration.member.incarnation
        event(logger, "registration_missing", incarnation=incarnation)
        self._registration.restore()

    def _registration_missing(self) -> bool:
        """Return whether the mirror lacks a registration that it should have.

        A mirror older than the registration says nothing: it has the row of the last
        incarnation, or none.
        """
        registration = self._registration
        if not registration.registered or self.live.revision < registration.revision:
            return False
        row = self.live.get(ENTRY_PREFIX + registration.member.name)
        known = row and decode_member(row)
        return known is None or known.incarnation != registration.member.incarnation

    # --- mirrors -------------------------------------------------------------

    def _operator_mirror(self, on_change: OnChange) -> Mirror:
        seconds = self._settings.bounds.configuration_seconds * WATCH_SHARE
        return Mirror(
            self._rows(seconds),
            records.OPERATOR_PREFIX,
            self._clock,
            on_change,
            wait=seconds,
            outdated_seconds=self._settings.bounds.configuration_seconds,
        )

    def _target_mirror(self, on_change: OnChange) -> Mirror:
        seconds = self._settings.bounds.drain_seconds * WATCH_SHARE
        return Mirror(
            self._rows(seconds, self._peers),
            records.TARGET_PREFIX,
            self._clock,
            on_change,
            TARGET_PAUSE_SECONDS,
            seconds - TARGET_PAUSE_SECONDS,
            self._settings.bounds.drain_seconds,
        )

    def _live_mirror(self, on_change: OnChange) -> Mirror:
        return Mirror(
            self._rows(LIVE_PAUSE_SECONDS + LIVE_WATCH_SECONDS),
            LIVE_PREFIX,
            self._clock,
            on_change,
            LIVE_PAUSE_SECONDS,
            LIVE_WATCH_SECONDS,
        )

    def _rows(
        self, interval: float, peers: Callable[[], Sequence[str]] = tuple
    ) -> RowSource:
        """Return the source of a mirror: another entry's mirror, or the store."""
        direct = DirectRows(self._store)
        return FollowedRows(
            direct, self._sources, self._clock, interval, peers, self._peers
        )

    def _peers(self) -> list[str]:
        """Return the other entries, in an order that differs between entries."""
        return rotated(self.relays(), self._settings.peer_address)

    def _sources(self) -> list[str]:
        """Return the addresses of the entries whose mirrors to follow."""
        seeds = self._settings.seed_addresses
        return feed_sources(self._registration.member, self.members(), seeds)


def _members(rows: Mapping[str, Row], prefix: str) -> tuple[list[Member], set[str]]:
    """Return the members in the rows with a prefix, and the names in malformed rows."""
    members: list[Member] = []
    malformed: set[str] = set()
    for key, row in rows.items():
        if not key.startswith(prefix):
            continue
        member = decode_member(row, prefix)
        if member is None:
            malformed.add(key.removeprefix(prefix))
        else:
            members.append(member)
    return members, malformed
