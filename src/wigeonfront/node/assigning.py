"""An entry's part in the assignment of subjects to the machines that act for them."""

from collections.abc import Callable

from wigeonfront.clock import Clock
from wigeonfront.coordination.assignment import (
    Assignment,
    MembershipView,
    decode_assignment,
)
from wigeonfront.coordination.membership import (
    ENTRY_PREFIX,
    SIDE_PREFIX,
    Member,
    decode_member,
)
from wigeonfront.coordination.mirror import Mirror
from wigeonfront.coordination.rights import ASSIGNMENT_KEY, AssignmentWriter
from wigeonfront.coordination.rows import RowStore
from wigeonfront.node.following import ConfigurationFollower
from wigeonfront.node.settings import NodeSettings
from wigeonfront.supervisor import Supervisor
from wigeonfront.targets.table import TargetTable


class MembershipTracker:
    """Tracks who is registered, and for how long holders have been missing.

    Parameters
    ----------
    mirror : Mirror
        Mirror of the rows of live processes.
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

    def view(self, assignment: Assignment | None) -> MembershipView | None:
        """Return the current view; ``None`` while the mirror may be out of date."""
        now = self._clock.monotonic()
        mirror = self._mirror
        if not mirror.ready or mirror.failing:
            return None
        entries = self._members(ENTRY_PREFIX)
        sides = self._members(SIDE_PREFIX)
        registered = {member.name for member in (*entries, *sides)}
        self._note_missing(assignment, registered, now)
        return MembershipView(
            entries=frozenset(member.name for member in entries),
            staying=frozenset(member.name for member in entries if not member.leaving),
            pinned={member.address: member.name for member in sides},
            subjects=self._engines(),
            # Leases may expire during an outage of the store, so the time that a holder
            # has to return counts from the end of the outage.
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
        members = [decode_member(row, prefix) for row in of_kind]
        return [member for member in members if member is not None]

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
    """The assignment as this entry knows it, and the task that changes it.

    Parameters
    ----------
    settings : NodeSettings
    store : RowStore
    mirror : Mirror
        Mirror of the rows of live processes.
    table : TargetTable
    configuration : ConfigurationFollower
    clock : Clock
    on_change : callable
        Called with each newer assignment.
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
        self._writer = AssignmentWriter(
            store,
            settings.name,
            lambda: tracker.view(self._current),
            settings.bounds.order_seconds,
            clock,
            self._adopt,
        )

    @property
    def holds(self) -> bool:
        """Whether this entry is one of the holders that subjects are divided among."""
        current = self._current
        return current is not None and self._name in current.holders.entries

    @property
    def revision(self) -> int:
        """Revision of the assignment, which is the fencing token; 0 while unknown."""
        return self._current.revision if self._current else 0

    @property
    def holders(self) -> list[str]:
        """Names of the machines that act for any subject, sorted."""
        holders = self._current.holders if self._current else None
        names = {*holders.entries, *holders.pinned.values()} if holders else set()
        return sorted(names)

    def holder(self, subject: str) -> str | None:
        """Return the machine that acts for a subject; ``None`` while it is moved."""
        return self._current.holder(subject) if self._current else None

    def start(self, supervisor: Supervisor) -> None:
        """Start the task that keeps the assignment up to date in the store."""
        supervisor.start("assignment", self._writer.run)

    def on_live(self) -> None:
        """Adopt the assignment in the mirror if it is newer than the known one."""
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
            self._writer.update_assignment(assignment)
            self._on_change(assignment)
