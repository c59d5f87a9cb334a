"""The duties that one machine holds at a time, as an entry carries them out."""

from collections.abc import Callable

from wigeonfront.clock import Clock
from wigeonfront.coordination.assignment import TERM_SECONDS, Assignment
from wigeonfront.coordination.membership import Member
from wigeonfront.coordination.rights import Rights
from wigeonfront.coordination.rows import RowStore
from wigeonfront.duties import Duty
from wigeonfront.http.raw import RawCall
from wigeonfront.node.settings import NodeSettings
from wigeonfront.observability.metrics import Registry
from wigeonfront.platform.duty_calls import PlatformDuties
from wigeonfront.supervisor import Supervisor
from wigeonfront.usage.backup import StartBackup
from wigeonfront.usage.calls import COLLECT_PATH, COPY_PATH, StartClient, StartServer
from wigeonfront.usage.collection import StartCollector
from wigeonfront.usage.held import HeldStarts
from wigeonfront.usage.ledger import UsageLedger
from wigeonfront.usage.reporting import SUBJECT, UsageReporter
from wigeonfront.usage.starts import StartLog
from wigeonfront.usage.windows import UsageBounds


class UsageDuty:
    """An entry's part in the duty of reporting usage.

    Parameters
    ----------
    settings : NodeSettings
    store : RowStore
    log : StartLog
    own_member : callable
        Returns the membership record of this process.
    members : callable
        Returns the live entries.
    holder : callable
        Returns the name of the machine that holds a duty; ``None`` if unknown.
    clock : Clock
    metrics : Registry
    """

    def __init__(
        self,
        settings: NodeSettings,
        store: RowStore,
        log: StartLog,
        own_member: Callable[[], Member],
        members: Callable[[], list[Member]],
        holder: Callable[[str], str | None],
        clock: Clock,
        metrics: Registry,
    ) -> None:
        held = HeldStarts()
        client = StartClient()
        self._rights = Rights(store, settings.name, TERM_SECONDS, clock)
        self._server = StartServer(log, held, lambda: own_member().incarnation, clock)
        self._backup = StartBackup(log, client, own_member, members, clock)
        self._reporter = UsageReporter(
            settings.name,
            holder,
            self._rights,
            UsageLedger(store),
            StartCollector(client, clock),
            log,
            held,
            own_member,
            members,
            PlatformDuties(settings.duty_address),
            UsageBounds(
                settings.bounds.usage_window_seconds, settings.bounds.usage_due_seconds
            ),
            clock,
            metrics,
        )

    subject = SUBJECT

    @property
    def last(self) -> int:
        """Newest window that the platform accepted from this entry; 0 before any."""
        return self._reporter.last_sent

    @property
    def answers(self) -> dict[str, Callable[[RawCall], None]]:
        """Handlers of the calls of other entries, by path."""
        return {COLLECT_PATH: self._server.collect, COPY_PATH: self._server.copy}

    def update_assignment(self, assignment: Assignment) -> None:
        """Use a newer assignment from now on."""
        self._rights.update_assignment(assignment)

    def start(self, supervisor: Supervisor) -> None:
        """Start the tasks of this duty."""
        supervisor.start("usage-copies", self._backup.run)
        supervisor.start("usage-reports", self._reporter.run)

    def leave(self) -> None:
        """Copy the remaining starts to other entries, as this process ends."""
        self._backup.copy()


def make_duties(
    settings: NodeSettings,
    store: RowStore,
    log: StartLog,
    own_member: Callable[[], Member],
    members: Callable[[], list[Member]],
    holder: Callable[[str], str | None],
    clock: Clock,
    metrics: Registry,
) -> list[UsageDuty]:
    """Return the duties that the settings ask for; parameters as of `UsageDuty`."""
    if not settings.duty_address or Duty.USAGE not in settings.duties:
        return []
    return [
        UsageDuty(settings, store, log, own_member, members, holder, clock, metrics),
    ]
