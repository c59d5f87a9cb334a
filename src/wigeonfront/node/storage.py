"""The storage process: serves the spool on its disk.

Its supervisor starts the server and the upkeep of the spool, the registration by which
entries find the process, the recovery of Lots that are on the disk but not in the
store, and a mirror that tells when the machine is to be retired. Without a disk, the
process only answers the retirement.
"""

import logging
import threading
from pathlib import Path
from random import Random

from wigeonfront.clock import Clock, SystemClock
from wigeonfront.coordination.feed import DirectRows, FollowedRows, rotated
from wigeonfront.coordination.membership import (
    DISK_PREFIX,
    STORAGE_PREFIX,
    Registration,
)
from wigeonfront.coordination.mirror import Mirror
from wigeonfront.coordination.relay import RoutedStore
from wigeonfront.coordination.rows import Put, Stored
from wigeonfront.http.bounded import fit_budget
from wigeonfront.http.raw import RawServer, close_all
from wigeonfront.node.following import BadRowLog
from wigeonfront.node.process import run_node
from wigeonfront.node.settings import NodeSettings
from wigeonfront.observability.logs import event
from wigeonfront.platform import records
from wigeonfront.platform.metadata_store import MetadataStore
from wigeonfront.rollout.repository import LotRepository
from wigeonfront.rollout.submissions import SubmissionRecovery
from wigeonfront.spool.file import SpoolFile
from wigeonfront.spool.server import SpoolServer
from wigeonfront.supervisor import Supervisor

logger = logging.getLogger(__name__)

WATCH_PAUSE_SECONDS = 0.2
WATCH_SECONDS = 4.0
"""Time that one watch waits: less than half of the time given to retire a machine."""

CLOSE_SECONDS = 0.5
"""Time in which calls may end at a stop: the time for which their callers wait."""

SPOOL_THREADS = 32
UPKEEP_INTERVAL_SECONDS = 1.0


class StorageNode:
    """One storage process.

    Parameters
    ----------
    settings : NodeSettings
    clock : Clock
    """

    def __init__(self, settings: NodeSettings, clock: Clock) -> None:
        self._settings = settings
        self._clock = clock
        self._store = RoutedStore(
            MetadataStore(settings.store_address),
            lambda: settings.seed_addresses,
            clock,
            Random(),
        )
        self._supervisor = Supervisor("storage", clock)
        self._answered: set[int] = set()
        self._bad_rows = BadRowLog()
        self._retired_at = 0
        sources = rotated(settings.seed_addresses, settings.host)
        self._mirror = Mirror(
            FollowedRows(
                DirectRows(self._store), lambda: sources, clock, WATCH_SECONDS
            ),
            records.OPERATOR_PREFIX,
            clock,
            self._on_change,
            WATCH_PAUSE_SECONDS,
            WATCH_SECONDS,
        )
        self._spool: SpoolFile | None = None
        if settings.data_folder:
            self._spool = SpoolFile(Path(settings.data_folder), clock)
            self._server = RawServer(
                settings.peer_address, SpoolServer(self._spool).answer, SPOOL_THREADS
            )
            self._registration = self._make_registration(self._spool.disk)
            self._submissions = SubmissionRecovery(
                self._spool,
                LotRepository(self._store, settings.store_value_bytes),
                clock,
            )

    def _make_registration(self, disk: str) -> Registration:
        settings = self._settings
        return Registration(
            self._store,
            settings.name,
            settings.peer_address,
            settings.bounds.lease_seconds,
            self._clock,
            prefix=STORAGE_PREFIX,
            failure_domain=settings.failure_domain,
            # Never busy: a Lot names its disks, so no other process takes over the work
            # of a lost one.
            busy=lambda: False,
            incarnation=disk,
            lasting_prefix=DISK_PREFIX,
        )

    @property
    def failed(self) -> bool:
        """Whether a task has failed for good."""
        return self._supervisor.failed

    def start(self) -> None:
        """Start all tasks."""
        if self._spool is not None:
            self._server.bind()
            self._supervisor.start("spool", self._server.run)
            self._supervisor.start("registration", self._registration.run)
            self._supervisor.start("submissions", self._submissions.run)
        self._supervisor.start("upkeep", self._upkeep)
        self._supervisor.start("retire-mirror", self._mirror.run)

    def stop(self) -> None:
        """End all tasks."""
        if self._spool is not None:
            close_all([self._server], CLOSE_SECONDS)
        self._supervisor.stop()
        if self._spool is not None:
            self._spool.close()

    def _upkeep(self, stop: threading.Event) -> None:
        """Maintain the spool file, and answer a retirement once the disk is empty."""
        while not stop.wait(UPKEEP_INTERVAL_SECONDS):
            if self._spool is not None:
                self._spool.upkeep()
            if self._retired_at:
                self._answer_retire()

    def _on_change(self, mirror: Mirror) -> None:
        row = mirror.get(records.RETIRE_PREFIX + self._settings.name)
        if row is None or row.revision in self._answered:
            return
        seconds = records.decode_retire(row.value)
        if isinstance(seconds, records.BadRow):
            self._bad_rows.log_once(row, seconds)
            return
        self._retired_at = row.revision
        if self._spool is not None:
            self._registration.leave()
        self._answer_retire()

    def _answer_retire(self) -> None:
        """Report the machine as retired if its disk has no items left.

        Items on the disk may exist nowhere else, so the report waits for them.
        """
        held = self._spool.item_count if self._spool is not None else 0
        if held:
            return
        name = self._settings.name
        put = Put(
            records.RETIRE_STATUS_PREFIX + name,
            records.encode_retire_status(done=True),
        )
        outcome = self._store.write((), (put,), (DISK_PREFIX + name,))
        event(logger, "retired", node=name, outcome=type(outcome).__name__)
        if isinstance(outcome, Stored):
            self._answered.add(self._retired_at)
            self._retired_at = 0


def run(settings: NodeSettings) -> int:
    """Run a storage process until it gets a stop signal; return the exit code."""
    fit_budget(settings.memory_bytes)
    return run_node(StorageNode(settings, SystemClock()), "storage", settings.name)
