"""How an entry takes part in agreeing which machine acts for what."""

from collections.abc import Callable

from wigeonfront.clock import Clock
from wigeonfront.coordination.assignment import Assignment, Present, decode_assignment
from wigeonfront.coordination.membership import (
    ENTRY_PREFIX,
    SIDE_PREFIX,
    Member,
    decode_member,
)
from wigeonfront.coordination.mirror import Mirror
from wigeonfront.coordination.rights import ASSIGNMENT_KEY, AssignmentKeeper
from wigeonfront.coordination.rows import RowStore
from wigeonfront.node.following import ConfigurationFollower
from wigeonfront.node.settings import NodeSettings
from wigeonfront.supervisor import Supervisor
from wigeonfront.targets.table import TargetTable


class MembershipTracker:
    """Who is registered, and for how long holders have been missing.

    Parameters
    ----------
    mirror : Mirror
        Of the rows of live processes.
    table : TargetTable
    configuration : ConfigurationFollower
    clock : Clock
    """

    def __init__(
        self,
        mirror: Mirror,
        table: TargetTable,
        configuration: ConfigurationFollower,
        clock: Clock,
    ) -> None:
        self._mirror = mirror
        self._table = table
        self._configuration = configuration
        self._clock = clock
        self._missing_since: dict[str, float] = {}

    def view(self, assignment: Assignment | None) -> Present | None:
        """Return what is seen now; ``None`` while it may be out of date."""
        now = self._clock.monotonic()
        mirror = self._mirror
        if not mirror.ready or mirror.failing:
            return None
        entries = self._members(ENTRY_PREFIX)
        sides = self._members(SIDE_PREFIX)
        registered = {member.name for member in (*entries, *sides)}
        self._note_missing(assignment, registered, now)
        return Present(
            entries=frozenset(member.name for member in entries),
            staying=frozenset(one.name for one in entries if not one.leaving),
            pinned={member.address: member.name for member in sides},
            subjects=self._engines(),
            # Leases may have run out while the store was away.
            absent={
                name: now - max(at, mirror.regained_at)
                for name, at in self._missing_since.items()
            },
        )

    def _members(self, prefix: str) -> list[Member]:
        """Return the registered processes of a kind, the newest registration last."""
        rows = self._mirror.state().rows
        of_kind = [row for key, row in rows.items() if key.startswith(prefix)]
        of_kind.sort(key=lambda row: row.revision)
        found = [decode_member(row, prefix) for row in of_kind]
        return [member for member in found if member is not None]

    def _note_missing(
        self, assignment: Assignment | None, registered: set[str], now: float
    ) -> None:
        holders = assignment.holders if assignment else None
        names = {*holders.entries, *holders.pinned.values()} if holders else set()
        self._missing_since = {
            name: self._missing_since.get(name, now) for name in names - registered
        }

    def _engines(self) -> frozenset[str]:
        configuration = self._configuration.current
        services = configuration.services.values() if configuration else ()
        with_models = {service.name for service in services if service.models}
        return frozenset(
            target.address
            for target in self._table.all_targets()
            if target.service in with_models
        )


class EntryAssignment:
    """The agreed row as this entry knows it, and its part in changing it.

    Parameters
    ----------
    settings : NodeSettings
    store : RowStore
    mirror : Mirror
        Of the rows of live processes.
    table : TargetTable
    configuration : ConfigurationFollower
    clock : Clock
    on_change : callable
        Called with each newer row.
    """

    def __init__(
        self,
        settings: NodeSettings,
        store: RowStore,
        mirror: Mirror,
        table: TargetTable,
        configuration: ConfigurationFollower,
        clock: Clock,
        on_change: Callable[[Assignment], None],
    ) -> None:
        self._name = settings.name
        self._mirror = mirror
        self._on_change = on_change
        self._current: Assignment | None = None
        tracker = MembershipTracker(mirror, table, configuration, clock)
        self._keeper = AssignmentKeeper(
            store,
            settings.name,
            lambda: tracker.view(self._current),
            settings.bounds.order_seconds,
            clock,
            self._adopt,
        )

    @property
    def holds(self) -> bool:
        """Whether this entry is one of those that subjects are divided among."""
        current = self._current
        return current is not None and self._name in current.holders.entries

    @property
    def revision(self) -> int:
        """Revision of the agreed row, and the fencing token; 0 while none is known."""
        return self._current.revision if self._current else 0

    @property
    def holders(self) -> list[str]:
        """The machines that act for anything."""
        holders = self._current.holders if self._current else None
        names = {*holders.entries, *holders.pinned.values()} if holders else set()
        return sorted(names)

    def holder(self, subject: str) -> str | None:
        """Return the machine that acts for a subject; ``None`` while it moves."""
        return self._current.holder(subject) if self._current else None

    def start(self, supervisor: Supervisor) -> None:
        """Start the task that keeps the row."""
        supervisor.start("assignment", self._keeper.run)

    def on_live(self) -> None:
        """Take the row that the mirror shows, if it is newer."""
        row = self._mirror.get(ASSIGNMENT_KEY)
        if row is None or row.revision <= self.revision:
            return
        assignment = decode_assignment(row.value, row.revision)
        if assignment is not None:
            self._adopt(assignment)

    def _adopt(self, assignment: Assignment) -> None:
        known = self._current
        if known is None or assignment.revision > known.revision:
            self._current = assignment
            self._keeper.take(assignment)
            self._on_change(assignment)
