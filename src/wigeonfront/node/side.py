"""The side process: makes the engine beside it load the named versions of its models.

Its supervisor starts the mirror of the operator's rows, which have the named versions,
the registration, the mover and the metrics page.
"""

import logging
from random import Random

from wigeonfront.clock import Clock, SystemClock
from wigeonfront.coordination.assignment import PINNED_TERM_SECONDS
from wigeonfront.coordination.feed import DirectRows, FollowedRows, rotated
from wigeonfront.coordination.membership import SIDE_PREFIX, Registration
from wigeonfront.coordination.meter import MeteredStore
from wigeonfront.coordination.mirror import Mirror
from wigeonfront.coordination.relay import RoutedStore
from wigeonfront.coordination.rights import Rights
from wigeonfront.coordination.rows import Unavailable
from wigeonfront.http.budget import fit_budgets
from wigeonfront.node.engine_place import EnginePlace
from wigeonfront.node.following import ConfigurationFollower
from wigeonfront.node.metrics_page import METRICS_PORT, MetricsPage
from wigeonfront.node.process import run_node
from wigeonfront.node.settings import NodeSettings
from wigeonfront.observability.metrics import Registry
from wigeonfront.platform import records
from wigeonfront.platform.engine_calls import PlatformEngine
from wigeonfront.platform.metadata_store import MetadataStore
from wigeonfront.supervisor import Supervisor
from wigeonfront.targets.target import Target
from wigeonfront.weights.mover import WeightMover, order_counter
from wigeonfront.weights.plan import NamedVersion, Place, engine_places

logger = logging.getLogger(__name__)

VERSION_PAUSE_SECONDS = 0.1
VERSION_WATCH_SECONDS = 4.0
"""Time that one watch waits: about a step, after which a missed version is noticed."""


class SideNode:
    """One side process.

    Parameters
    ----------
    settings : NodeSettings
    clock : Clock
    """

    def __init__(self, settings: NodeSettings, clock: Clock) -> None:
        self._supervisor = Supervisor("side", clock)
        metrics = Registry()
        self._meter = MeteredStore(MetadataStore(settings.store_address), metrics)
        store = self._store = RoutedStore(
            self._meter,
            lambda: settings.seed_addresses,
            clock,
            Random(),
        )
        self._address = settings.target_address
        self._service = settings.service
        self._place = EnginePlace(self._read_place, clock)
        self._follower = ConfigurationFollower(
            clock, on_version=self._on_version, with_accounts=False
        )
        sources = rotated(settings.seed_addresses, settings.target_address)
        self._mirror = Mirror(
            FollowedRows(
                DirectRows(store), lambda: sources, clock, VERSION_WATCH_SECONDS
            ),
            records.OPERATOR_PREFIX,
            clock,
            self._follower.update,
            VERSION_PAUSE_SECONDS,
            VERSION_WATCH_SECONDS,
        )
        self._registration = Registration(
            store,
            settings.name,
            settings.target_address,
            PINNED_TERM_SECONDS,
            clock,
            prefix=SIDE_PREFIX,
        )
        self._rights = Rights(
            store, settings.name, PINNED_TERM_SECONDS, clock, receives_updates=False
        )
        self._mover = WeightMover(
            settings.target_address,
            PlatformEngine(settings.target_address, settings.name),
            self._follower.versions,
            lambda: self._rights.fence(settings.target_address),
            self._place.find,
            self._keeps_runs,
            clock,
            order_counter(metrics),
        )
        self._page = MetricsPage(settings.host, METRICS_PORT, metrics)

    @property
    def failed(self) -> bool:
        """Whether a task has failed for good."""
        return self._supervisor.failed

    def start(self) -> None:
        """Start all tasks."""
        self._supervisor.start("version-mirror", self._mirror.run)
        self._supervisor.start("registration", self._registration.run)
        self._supervisor.start("mover", self._mover.run)
        self._supervisor.start("metrics", self._page.run)
        self._supervisor.start("call-log", self._meter.log_loop)

    def stop(self) -> None:
        """End all tasks; the engine completes an order in progress by itself."""
        self._supervisor.stop()

    def _on_version(self, named: NamedVersion) -> None:
        self._mover.wake()

    def _read_place(self) -> Place | None:
        """Return the engine's place in its service, or ``None`` without an answer.

        The listing may be stale: an engine too many or too few only shifts which half
        of the engines loads first.
        """
        listing = self._store.list(records.TARGET_PREFIX, stale=True)
        if isinstance(listing, Unavailable):
            return None
        # A target that is gone may still be registered beside its successor at the same
        # address.
        targets = [
            records.decode_target(
                row.key.removeprefix(records.TARGET_PREFIX), row.value
            )
            for row in listing.rows
        ]
        addresses = [
            target.address
            for target in targets
            if isinstance(target, Target) and target.service == self._service
        ]
        return engine_places(addresses, self._models()).get(self._address)

    def _keeps_runs(self) -> bool:
        configuration = self._follower.current
        return configuration is None or not configuration.requires_single_version(
            self._service
        )

    def _models(self) -> tuple[str, ...]:
        configuration = self._follower.current
        service = configuration and configuration.services.get(self._service)
        return service.models if service else ()


def run(settings: NodeSettings) -> int:
    """Run a side until it gets a stop signal; return the exit code."""
    fit_budgets(settings.memory_bytes)
    return run_node(SideNode(settings, SystemClock()), "side", settings.name)
