"""The entry process: builds its parts and supervises their tasks.

The tree::

    entry
    ├── server        callers, trainers and operators, one pool thread for each
    ├── vm_list       polls the VM list
    ├── catalogue     follows the catalogue
    ├── slot-tables   follows the slot tables
    ├── slot-mover    moves slots from sides that are gone
    ├── members       follows the other entries' leases
    ├── polling       asks other entries for what was missed
    ├── joining       keeps this entry's lease
    └── peers         one task for each side
"""

import logging
import threading
import uuid

from wigeonfront import logs
from wigeonfront.clock import Clock, SystemClock
from wigeonfront.coordination import slots
from wigeonfront.coordination.rendezvous import subset
from wigeonfront.entry.admission import EntryAdmission
from wigeonfront.entry.control import Control, ControlSettings
from wigeonfront.entry.directory import Announcements, Directory
from wigeonfront.entry.dispatch import Dispatcher
from wigeonfront.entry.explain import DecisionLog
from wigeonfront.entry.lots import Lots
from wigeonfront.entry.member_calls import HttpMemberCalls
from wigeonfront.entry.operators import OperatorParts, Operators
from wigeonfront.entry.peers import Identity
from wigeonfront.entry.requests import Requests
from wigeonfront.entry.server import EntryParts, EntryServer
from wigeonfront.entry.shares import equal_grant
from wigeonfront.entry.slots import SlotMover, SlotTables, Voters
from wigeonfront.entry.watch import PrefixWatch
from wigeonfront.http import Application, Server
from wigeonfront.metrics import Registry
from wigeonfront.platform import Vm
from wigeonfront.platform.key_value import HttpKeyValue
from wigeonfront.platform.metered import MeteredKeyValue
from wigeonfront.platform.vm_list import HttpVmList
from wigeonfront.policy.limits import Grant, LimitEnforcer
from wigeonfront.settings import EntrySettings
from wigeonfront.stopping import StopSignal, wait_until
from wigeonfront.supervisor import Supervisor

logger = logging.getLogger(__name__)

# Callers that come on a kept-alive connection meanwhile still get an answer.
LEAVING_SECONDS = 1.0
EXIT_FAILED = 1
SHARES_SECONDS = 1.0


class Entry:
    """One entry process.

    Parameters
    ----------
    settings : EntrySettings
    clock : Clock
    """

    def __init__(self, settings: EntrySettings, clock: Clock | None = None) -> None:
        self._settings = settings
        self._clock = clock or SystemClock()
        self._identity = Identity(settings.name, uuid.uuid4().hex[:12])
        self._supervisor = Supervisor("entry", self._clock)
        self._metrics = Registry()
        self._key_value = MeteredKeyValue(
            HttpKeyValue(settings.key_value), self._metrics
        )
        self._vm_list = HttpVmList(settings.vm_list)
        self._limits = LimitEnforcer(self._clock)
        self._grants: dict[str, Grant] = {}
        self._grants_lock = threading.Lock()
        self._slots = SlotTables(self._may_use_slots)
        self._slots_watch = PrefixWatch(
            slots.PREFIX, self._slots, self._key_value, self._clock
        )
        calls = HttpMemberCalls()
        self._control = Control(
            self._identity,
            ControlSettings(
                str(settings.advertise),
                settings.failure_domain,
                settings.lease_seconds,
                settings.freshness_seconds,
            ),
            self._key_value,
            calls,
            self._clock,
            self._follow_catalogue,
            self._listed_entries,
            lambda: self._directory.behind(),
            also_listed=[self._slots_watch],
        )
        self._catalogue = self._control.catalogue
        announcements = Announcements()
        self._directory = Directory(
            self._supervisor.child("peers"),
            self._identity,
            self._clock,
            settings.beat_seconds,
            announcements,
            self._select,
            policy=self._catalogue.policy,
        )
        self._subsets: dict[str, tuple[object, list[str]]] = {}
        self._mover = SlotMover(
            self._slots,
            self._key_value,
            lambda: self._directory.vms,
            self._directory.silent_seconds,
            self._voters,
            calls,
            self._clock,
            self._control.contacts.polled_lately,
        )
        dispatcher = Dispatcher(
            self._directory, self._identity, self._clock, settings.failure_domain
        )
        requests = Requests(
            self._directory,
            dispatcher,
            self._slots,
            self._clock,
            settings.max_attempts,
            settings.retry_budget,
            settings.hedge_budget,
        )
        lots = Lots(
            self._directory, dispatcher, self._slots, self._clock, settings.hedge_budget
        )
        self._server = EntryServer(
            EntryParts(
                identity=self._identity,
                clock=self._clock,
                max_callers=settings.threads,
                control=self._control,
                admission=EntryAdmission(self._limits, self._clock),
                directory=self._directory,
                announcements=announcements,
                requests=requests,
                lots=lots,
                slots=self._slots,
                mover=self._mover,
                metrics=self._metrics,
            )
        )
        application = Application(settings.max_body_bytes)
        self._server.caller_routes(application)
        self._control.server.routes(application)
        self._decisions = DecisionLog(settings.name)
        self._operators().routes(application)
        threads = settings.threads + settings.control_threads
        self._http = Server(str(settings.listen), application, threads)

    def run(self, stop: StopSignal) -> int:
        """Serve until `stop`; return the exit code."""
        self._http.bind()
        start = self._supervisor.start
        start("server", self._http.run)
        start("vm_list", lambda end: self._directory.watch(self._vm_list, end))
        start("slot-tables", self._slots_watch.run)
        start("slot-mover", self._mover.run)
        start("shares", self._follow_members)
        for name, task in self._control.tasks().items():
            start(name, task)
        logging.getLogger().addHandler(self._decisions)
        logs.event(
            logger,
            "started",
            role="entry",
            incarnation=self._identity.incarnation,
            address=self._settings.listen,
        )
        while not stop.wait(0.2) and not self._server.leaving:
            if self._supervisor.failed:
                return EXIT_FAILED
        self._drain()
        return 0

    def _drain(self) -> None:
        """Answer every caller, then stop."""
        self._server.leave()
        self._http.close_kept_alive()
        self._control.leave()
        self._clock.sleep(LEAVING_SECONDS)
        wait_until(
            lambda: self._server.in_flight == 0,
            self._settings.drain_seconds,
            self._clock,
            "callers",
        )
        self._control.end()
        self._http.close()
        self._supervisor.stop()
        logging.getLogger().removeHandler(self._decisions)
        logs.event(logger, "stopped", role="entry")

    def _operators(self) -> Operators:
        control = self._control
        return Operators(
            OperatorParts(
                catalogue=control.catalogue,
                editor=control.editor,
                history=control.history,
                directory=self._directory,
                decisions=self._decisions,
                status=self._server.describe,
                drain=self._server.leave,
            )
        )

    def _follow_catalogue(self) -> None:
        """Put this entry's part of the catalogue's limits in force."""
        with self._grants_lock:
            self._divide_limits()

    def _divide_limits(self) -> None:
        view = self._control.view
        others = [member.name for member in (*view.present(), *view.former())]
        rows = self._catalogue.rows()
        for name, row in rows.items():
            grant = equal_grant(row.limits, self._identity.name, others)
            if self._grants.get(name) != grant:
                self._limits.set_grant(name, grant)
                self._grants[name] = grant
        for name in [name for name in self._grants if name not in rows]:
            del self._grants[name]
            self._limits.forget(name)

    def _follow_members(self, stop: threading.Event) -> None:
        """Divide the limits anew when entries come or go (a task)."""
        while not stop.wait(SHARES_SECONDS):
            self._follow_catalogue()

    def _select(self, service: str, sides: list[Vm]) -> list[Vm]:
        """Return this entry's subset of a service's sides."""
        by_name = {vm.name: vm for vm in sides}
        asked = (frozenset(self._listed_entries() or []), frozenset(by_name))
        known = self._subsets.get(service)
        if known is None or known[0] != asked:
            # A few hashes for each side: done again only when the lists change.
            size = self._settings.subset_size
            chosen = subset(self._identity.name, asked[0], asked[1], size)
            known = self._subsets[service] = (asked, chosen)
        return [by_name[name] for name in known[1]]

    def _may_use_slots(self) -> bool:
        """Tell whether a move of slots waits for this entry.

        Not if its lease has lapsed and it isn't in touch with most entries.
        """
        return self._control.membership.standing.name != "fenced"

    def _voters(self, revision: int) -> Voters | None:
        """Return the other entries, for a move of slots at `revision`."""
        view = self._control.view
        if view.revision < revision:
            self._control.members_watch.list_now()
        if not view.loaded or view.revision < revision:
            return None
        return Voters(view.present(), view.former())

    def _listed_entries(self) -> list[str] | None:
        listed = self._directory.vms
        return [vm.name for vm in listed if vm.role == "entry"] if listed else None


def run(settings: EntrySettings) -> int:
    """Run an entry until it is told to stop; return the exit code."""
    logs.configure(settings.name, settings.log_level, settings.log_file)
    stop = StopSignal()
    stop.install()
    return Entry(settings).run(stop)
