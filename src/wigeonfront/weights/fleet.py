"""The engines that one entry orders, with a mover for each of them."""

import logging
import threading
from collections.abc import Callable, Iterable, Mapping

from wigeonfront.clock import Clock
from wigeonfront.configuration import Configuration
from wigeonfront.coordination.assignment import Assignment, Holders
from wigeonfront.coordination.rights import Rights
from wigeonfront.observability.logs import event
from wigeonfront.observability.metrics import Registry
from wigeonfront.supervisor import Supervisor
from wigeonfront.targets.target import Target
from wigeonfront.weights.mover import Engine, WeightMover, order_counter
from wigeonfront.weights.plan import (
    NamedVersion,
    Place,
    engine_places,
    loading_engines,
)
from wigeonfront.weights.remote import RemoteEngine

logger = logging.getLogger(__name__)


class EnginePlaces:
    """The place of each engine in its service, as of the last named version.

    A place may be out of date: a missing or surplus engine only changes which half of
    the engines loads a version.

    Parameters
    ----------
    targets : callable
        Returns all registered targets.
    configuration : callable
        Returns the configuration in force, or ``None``.
    """

    def __init__(
        self,
        targets: Callable[[], Iterable[Target]],
        configuration: Callable[[], Configuration | None],
    ) -> None:
        self._targets = targets
        self._configuration = configuration
        self._places: Mapping[str, Mapping[str, Place]] = {}

    def refresh(self) -> None:
        """Compute the places of the engines that are registered now."""
        configuration = self._configuration()
        services = configuration.services.values() if configuration else ()
        addresses: dict[str, list[str]] = {}
        for target in self._targets():
            addresses.setdefault(target.service, []).append(target.address)
        self._places = {
            service.name: engine_places(addresses.get(service.name, ()), service.models)
            for service in services
            if service.models
        }

    def of(self, target: Target) -> Place:
        """Return the place of an engine."""
        place = self._places.get(target.service, {}).get(target.address)
        if place is None:
            self.refresh()
            place = self._places.get(target.service, {}).get(target.address)
        return place or Place()

    def loading(self, named: NamedVersion) -> set[str]:
        """Return the addresses of the engines that load a version once it is named."""
        return {
            address
            for places in self._places.values()
            for address in loading_engines(places, named.model, named.version)
        }


class EngineFleet:
    """Runs a mover for each engine that this entry orders.

    Parameters
    ----------
    name : str
        Name of this machine.
    supervisor : Supervisor
        Runs the movers.
    rights : Rights
    targets : callable
        Returns all registered targets.
    versions : callable
        Returns the newest named versions.
    configuration : callable
        Returns the configuration in force, or ``None``.
    connect : callable
        Returns an `Engine` for a registered target.
    clock : Clock
    metrics : Registry
    """

    def __init__(
        self,
        name: str,
        supervisor: Supervisor,
        rights: Rights,
        targets: Callable[[], list[Target]],
        versions: Callable[[], list[NamedVersion]],
        configuration: Callable[[], Configuration | None],
        connect: Callable[[Target], Engine],
        clock: Clock,
        metrics: Registry,
    ) -> None:
        self._name = name
        self._supervisor = supervisor
        self._rights = rights
        self._targets = targets
        self._versions = versions
        self._configuration = configuration
        self._connect = connect
        self._clock = clock
        self._orders_given = order_counter(metrics)
        self.places = EnginePlaces(targets, configuration)
        # Mirrors of targets, of the configuration and of live processes all update it.
        self._lock = threading.Lock()
        self._holders = Holders()
        self._is_mine: dict[str, bool] = {}
        self._known: dict[str, Target] = {}
        self._movers: dict[str, WeightMover] = {}

    def update_assignment(self, assignment: Assignment) -> None:
        """Apply a newer assignment: start and stop movers as it requires."""
        self._rights.update_assignment(assignment)
        with self._lock:
            if assignment.holders != self._holders:
                self._holders = assignment.holders
                self._is_mine = {}
            self._update()

    def update(self) -> None:
        """Start and stop movers to match the present engines and holders."""
        with self._lock:
            self._update()

    def _update(self) -> None:
        self._known = {
            target.id: target
            for target in self._targets()
            if self._orders_target(target)
        }
        for id in self._movers.keys() - self._known.keys():
            del self._movers[id]
            self._supervisor.stop_task(id)
            event(logger, "engine_left", engine=id)
        for id in self._known.keys() - self._movers.keys():
            self._start(self._known[id])

    def version_named(self) -> None:
        """Have all movers check at once whether their engine is to be moved."""
        self.places.refresh()
        with self._lock:
            movers = list(self._movers.values())
        for mover in movers:
            mover.wake()

    def _orders_target(self, target: Target) -> bool:
        """Return whether the target is an engine that this entry orders."""
        configuration = self._configuration()
        service = configuration and configuration.services.get(target.service)
        if not service or not service.models:
            return False
        if target.address not in self._is_mine:
            holder = self._holders.holder(target.address)
            self._is_mine[target.address] = holder == self._name
        return self._is_mine[target.address]

    def _start(self, target: Target) -> None:
        mover = WeightMover(
            target.id,
            RemoteEngine(
                self._connect(target), lambda: self._known.get(target.id), self._clock
            ),
            self._versions,
            lambda: self._rights.fence(target.address),
            lambda: self.places.of(target),
            lambda: self._keeps_runs(target.service),
            self._clock,
            self._orders_given,
        )
        self._movers[target.id] = mover
        self._supervisor.start(target.id, mover.run)
        event(logger, "engine_ordered", engine=target.id, address=target.address)

    def _keeps_runs(self, service: str) -> bool:
        configuration = self._configuration()
        return configuration is None or not configuration.requires_single_version(
            service
        )
