"""Wires the fleet of engines to which an entry gives orders."""

from wigeonfront.clock import Clock
from wigeonfront.coordination.assignment import TERM_SECONDS
from wigeonfront.coordination.rights import Rights
from wigeonfront.coordination.rows import RowStore
from wigeonfront.node.following import ConfigurationFollower
from wigeonfront.node.settings import NodeSettings
from wigeonfront.observability.metrics import Registry
from wigeonfront.platform.engine_calls import PlatformEngine
from wigeonfront.supervisor import Supervisor
from wigeonfront.targets.table import TargetTable
from wigeonfront.weights.fleet import EngineFleet


def make_fleet(
    settings: NodeSettings,
    store: RowStore,
    table: TargetTable,
    configuration: ConfigurationFollower,
    supervisor: Supervisor,
    clock: Clock,
    metrics: Registry,
) -> EngineFleet:
    """Return the fleet; its tasks run in a child of `supervisor`."""
    return EngineFleet(
        settings.name,
        supervisor.child("engines"),
        Rights(store, settings.name, TERM_SECONDS, clock),
        table.all_targets,
        configuration.versions,
        lambda: configuration.current,
        lambda target: PlatformEngine(target.address, settings.name, target.name),
        clock,
        metrics,
    )
