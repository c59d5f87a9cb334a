"""Reads the settings file that the platform provides for each process."""

import tomllib
from pathlib import Path
from typing import Any

import msgspec

from wigeonfront.duties import Duty
from wigeonfront.node.settings import Bounds, NodeSettings

_DUTIES = {"usage_report": Duty.USAGE, "autoscale": Duty.SCALING}


class _Listen(msgspec.Struct, frozen=True):
    # Addresses on which clients connect and the platform asks for readiness.
    front: str = ""
    ready: str = ""
    # Address on which the system's own processes call this one.
    control: str = ""


class _Limits(msgspec.Struct, frozen=True, rename="camel"):
    # Share of a processor that is as fast as `cores` cores.
    cpu_share: float = 1.0
    cores: float = 1.0
    memory_mb: float = 128
    max_fds: int = 1024
    disk_mb: float = 0


class _Bounds(msgspec.Struct, frozen=True, rename="camel"):
    # Time between the platform's stop signal and the kill.
    grace_s: float = msgspec.field(name="graceS", default=8)
    drain_ms: float = 2000
    config_ms: float = 2000
    lease_ms: float = 3000
    pass_ms: float = 120
    # Time after a Lot's submission for which its results stay readable.
    status_ttl_s: float = msgspec.field(name="statusTtlS", default=120)
    cancel_ms: float = 3000
    require_fence: bool = False
    # The platform does not explain this field. It is read as `Bounds` describes it,
    # see docs/design/accounts-and-duties.md.
    strict_revoke: bool = False
    revoke_ms: float = 5000
    report_window_s: float = msgspec.field(name="reportWindowS", default=5)
    usage_late_s: float = msgspec.field(name="usageLateS", default=10)


class _FaultTolerance(msgspec.Struct, frozen=True):
    # Number of machines that may be lost at the same time, of those that have a disk
    # or that count for another reason.
    machines: int = 1


class _Cloud(msgspec.Struct, frozen=True):
    # Where the calls go that are the duty of one machine at a time.
    address: str = ""
    duties: list[str] = []


class _Platform(msgspec.Struct, frozen=True, rename="camel"):
    address: str
    value_bytes: int = 1_048_576
    ttl_min_ms: float = 1000


class _Boot(msgspec.Struct, frozen=True, rename="camel"):
    node: str
    ip: str
    platform: _Platform
    zone: str = ""
    machine_class: str = ""
    # First and last port on which the system's processes may call each other.
    port_range: tuple[int, int] = (7720, 7735)
    seeds: list[str] = []
    listen: _Listen = _Listen()
    limits: _Limits = _Limits()
    bounds: _Bounds = _Bounds()
    cloud: _Cloud = _Cloud()
    fault_tolerance: _FaultTolerance = _FaultTolerance()
    data_dir: str = ""
    # Address and service of the target on this machine; empty if there is none.
    app: str = ""
    service: str = ""


def read_boot(path: str) -> NodeSettings:
    """Return the settings in the TOML file at `path`.

    Raises
    ------
    ValueError
        If the file can't be read, or a field is missing or malformed.
    """
    try:
        fields: dict[str, Any] = tomllib.loads(Path(path).read_text())
        wire = msgspec.convert(fields, _Boot)
    except (OSError, tomllib.TOMLDecodeError, msgspec.ValidationError) as error:
        raise ValueError(f"{path}: {error}") from error
    return NodeSettings(
        name=wire.node,
        host=wire.ip,
        failure_domain=wire.zone,
        front_address=wire.listen.front,
        ready_address=wire.listen.ready,
        peer_address=wire.listen.control or f"{wire.ip}:{wire.port_range[0]}",
        seed_addresses=tuple(wire.seeds),
        store_address=wire.platform.address,
        store_value_bytes=wire.platform.value_bytes,
        target_address=wire.app,
        service=wire.service,
        data_folder=wire.data_dir,
        duty_address=wire.cloud.address,
        duties=frozenset(
            _DUTIES[name] for name in wire.cloud.duties if name in _DUTIES
        ),
        tolerated_losses=wire.fault_tolerance.machines,
        memory_bytes=int(wire.limits.memory_mb * 1024 * 1024),
        cores=wire.limits.cpu_share * wire.limits.cores,
        bounds=Bounds(
            stop_seconds=wire.bounds.grace_s,
            drain_seconds=wire.bounds.drain_ms / 1000,
            configuration_seconds=wire.bounds.config_ms / 1000,
            order_seconds=wire.bounds.lease_ms / 1000,
            result_seconds=wire.bounds.status_ttl_s,
            lease_seconds=max(2.0, wire.platform.ttl_min_ms / 1000),
            fenced=wire.bounds.require_fence,
            strict_revoke=wire.bounds.strict_revoke,
            revoke_seconds=wire.bounds.revoke_ms / 1000,
            usage_window_seconds=wire.bounds.report_window_s,
            usage_due_seconds=wire.bounds.usage_late_s,
        ),
    )
