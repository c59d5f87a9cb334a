"""The storage process: serves the spool on its disk.

Its supervisor starts the server and the upkeep of the spool, the recovery of a disk
that has refused an operation, the registration by which entries find the process, the
recovery of Lots that are on the disk but not in the store, the metrics page, and a
mirror that tells when the machine is to be retired. Without a disk, the process only
answers the retirement.
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
from wigeonfront.http.budget import fit_budgets
from wigeonfront.http.raw import RawServer, close_all
from wigeonfront.node.caller_metrics import CallerMetrics
from wigeonfront.node.following import BadRowLog
from wigeonfront.node.metrics_page import METRICS_PORT, MetricsPage
from wigeonfront.node.process import run_node
from wigeonfront.node.settings import NodeSettings
from wigeonfront.observability.logs import event
from wigeonfront.observability.metrics import Registry
from wigeonfront.platform import records
from wigeonfront.platform.metadata_store import MetadataStore
from wigeonfront.rollout.repository import LotRepository
from wigeonfront.rollout.submissions import SubmissionRecovery
from wigeonfront.spool.file import (
    MIN_RECOVERY_PAUSE_SECONDS,
    SpoolFile,
    recovery_pause,
)
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

REGISTRATION_PAUSE_SECONDS = 0.1
"""Pause between two checks whether the id of the disk is known."""


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
        self._registration: Registration | None = None
        self._leaving = False
        if settings.data_folder:
            self._spool = SpoolFile(Path(settings.data_folder), clock)
            metrics = _spool_metrics(self._spool)
            self._server = RawServer(
                settings.peer_address,
                SpoolServer(self._spool).answer,
                SPOOL_THREADS,
                on_refusal=CallerMetrics(metrics).refusals_of("spool"),
            )
            self._page = MetricsPage(settings.host, METRICS_PORT, metrics)
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
            self._supervisor.start("spool-recovery", self._recover_spool)
            self._supervisor.start("registration", self._register)
            self._supervisor.start("submissions", self._submissions.run)
            self._supervisor.start("metrics", self._page.run)
        self._supervisor.start("upkeep", self._upkeep)
        self._supervisor.start("retire-mirror", self._mirror.run)

    def stop(self) -> None:
        """End all tasks."""
        if self._spool is not None:
            close_all([self._server, self._page.server], CLOSE_SECONDS)
        self._supervisor.stop()
        if self._spool is not None:
            self._spool.close()

    def _register(self, stop: threading.Event) -> None:
        """Keep the process registered once the id of its disk is known.

        With another id, entries would take a disk that can't be read for a lost one.
        """
        while not self._spool.disk:
            if stop.wait(REGISTRATION_PAUSE_SECONDS):
                return
        registration = self._make_registration(self._spool.disk)
        registration.set_refusing(self._spool.failure is not None)
        self._registration = registration
        if self._leaving:
            registration.leave()
        registration.run(stop)

    def _recover_spool(self, stop: threading.Event) -> None:
        """Try to use a disk again that has failed, and announce its state."""
        pause = MIN_RECOVERY_PAUSE_SECONDS
        while not stop.wait(pause):
            self._spool.recover()
            failed = self._spool.failure is not None
            pause = recovery_pause(pause, failed)
            if self._registration is not None:
                self._registration.set_refusing(failed)

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
        self._leaving = True
        if self._registration is not None:
            self._registration.leave()
        self._answer_retire()

    def _answer_retire(self) -> None:
        """Report the machine as retired if its disk has no items left.

        Items on the disk may exist nowhere else, so the report waits for them, and
        until the disk can be read.
        """
        if self._spool is not None and self._spool.item_count != 0:
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


def _spool_metrics(spool: SpoolFile) -> Registry:
    metrics = Registry()
    metrics.gauge(
        "spool_failed",
        "1 while the disk has failed and calls are refused, else 0.",
        lambda: float(spool.failure is not None),
    )
    metrics.gauge(
        "spool_refused_seconds",
        "Total time for which calls were refused because of the disk.",
        lambda: spool.refused_seconds,
    )
    metrics.gauge(
        "spool_items",
        "Items on the disk; 0 also while it can't be read.",
        lambda: float(spool.item_count or 0),
    )
    return metrics


def run(settings: NodeSettings) -> int:
    """Run a storage process until it gets a stop signal; return the exit code."""
    fit_budgets(settings.memory_bytes)
    return run_node(StorageNode(settings, SystemClock()), "storage", settings.name)
