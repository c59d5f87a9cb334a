"""Decodes rows that operators, trainers and targets write into the platform's store."""

from collections.abc import Iterator
from dataclasses import dataclass
from functools import lru_cache
from ipaddress import AddressValueError, IPv4Address
from typing import Annotated, Literal, TypeVar

import msgspec

from wigeonfront.accounts import (
    AccountDirectory,
    BadAccounts,
    ClientAccount,
    make_directory,
)
from wigeonfront.configuration import (
    CallerLimits,
    Configuration,
    Route,
    RouteKind,
    Service,
    ServiceShare,
)
from wigeonfront.targets.target import Target

OPERATOR_PREFIX = "op/"
CONFIGURATION_KEY = "op/config"
VERSION_PREFIX = "op/version/"
RETIRE_PREFIX = "op/retire/"
RETIRE_STATUS_PREFIX = "status/retire/"
TARGET_PREFIX = "servers/"

_KINDS = {
    "idempotent": RouteKind.IDEMPOTENT,
    "non_idempotent": RouteKind.NON_IDEMPOTENT,
    "streaming": RouteKind.STREAMING,
    "rollout": RouteKind.LOTS,
    "batch": RouteKind.LOTS,
}

DRAINING = "draining"

DEFAULT_TIMEOUT_MS = 30_000

MAX_SLOTS = 100_000
MAX_COLD_MS = 3_600_000
MAX_RETIRE_SECONDS = 86_400
"""Largest numbers that are accepted in a row; a larger one is a mistake of its writer.
They are ten times the requests that any machine runs at once, an hour, and a day."""

MAX_SHARE_WEIGHT = 1_000
"""Largest weight of a trainer: a larger one leaves the others without a slot."""

MAX_PORT = 65_535


class _Split(msgspec.Struct, frozen=True):
    service: str
    weight: float = 1.0


class _Route(msgspec.Struct, frozen=True, rename="camel"):
    name: str
    host: str
    prefix: str
    # Requests on a route of an unknown kind are treated as non-idempotent.
    kind: str = ""
    service: str = ""
    traffic_split: list[_Split] = []
    timeout_ms: float = DEFAULT_TIMEOUT_MS
    target_latency_ms: float = 0.0
    max_attempts: int = 1
    priority: int = 0
    public: bool = False
    resumable: bool = False
    # For Lots: time from the first submission until all results are due.
    deadline_ms: float = 0.0
    max_queue_s: float = msgspec.field(name="maxQueueS", default=0.0)
    single_version: bool = False
    share_weight: Annotated[float, msgspec.Meta(gt=0, le=MAX_SHARE_WEIGHT)] = 1.0


class _Model(msgspec.Struct, frozen=True):
    name: str
    version: int = 0


class _Engine(msgspec.Struct, frozen=True, rename="camel"):
    slot_count: int = 0
    # Tokens that running requests and cached prompts occupy together at most.
    kv_capacity_tokens: int = 0
    # Number of tokens in one event of a stream.
    stride: int = 1
    models: list[_Model] = []


class _Service(msgspec.Struct, frozen=True, rename="camel"):
    name: str
    health_path: str = "/health"
    max_conns: int = 0
    engine: _Engine | None = None


class _Limits(msgspec.Struct, frozen=True, rename="camel"):
    max_header_bytes: int = 16_384
    max_body_bytes: int = 33_554_432
    header_timeout_ms: float = 3_000
    idle_timeout_ms: float = 15_000


class _Tenant(msgspec.Struct, frozen=True, rename="camel"):
    # The platform calls a client account a tenant.
    name: str
    api_keys: list[str] = []
    priority: Annotated[int, msgspec.Meta(ge=0)] | None = None


class _Configuration(msgspec.Struct, frozen=True):
    version: int
    routes: list[_Route] = []
    services: list[_Service] = []
    limits: _Limits = _Limits()
    # The client accounts, undecoded, because few versions change them.
    tenants: msgspec.Raw | msgspec.UnsetType = msgspec.UNSET


class _Target(msgspec.Struct, frozen=True, rename="camel"):
    # Every field that a target writes is required: a row that lacks one was written by
    # something else.
    service: Annotated[str, msgspec.Meta(min_length=1)]
    address: str
    zone: str
    # Version of the target's software, not of the weights.
    version: str
    slot_count: Annotated[int, msgspec.Meta(ge=1, le=MAX_SLOTS)]
    state: Literal["ready", "draining"]
    cold_left_ms: Annotated[float, msgspec.Meta(ge=0, le=MAX_COLD_MS)]
    seq: Annotated[int, msgspec.Meta(ge=0)]
    models: list[_Model] = []
    # Unix time of the target's start, in milliseconds. Together with the id it
    # identifies the incarnation.
    born: Annotated[int, msgspec.Meta(ge=0)] = 0


class _Version(msgspec.Struct, frozen=True):
    version: Annotated[int, msgspec.Meta(ge=1)]
    # Repeats the end of the row's key. A row without it was written by something else.
    model: Annotated[str, msgspec.Meta(min_length=1)]


class _Retire(msgspec.Struct, frozen=True, rename="camel"):
    duration_s: Annotated[float, msgspec.Meta(ge=0, le=MAX_RETIRE_SECONDS)] = (
        msgspec.field(name="durationS", default=10.0)
    )


@dataclass(frozen=True, slots=True)
class BadRow:
    """A row that can't be decoded, or whose writer is not the expected one."""

    reason: str


def decode_configuration(
    value: bytes, with_accounts: bool = True
) -> Configuration | BadRow:
    """Return the configuration, or why `value` contains none.

    Parameters
    ----------
    value : bytes
    with_accounts : bool
        Whether to decode the client accounts. Only processes that answer callers need
        them.
    """
    wire = _decode(value, _Configuration)
    if isinstance(wire, BadRow):
        return wire
    accounts = None
    if with_accounts and wire.tenants is not msgspec.UNSET:
        accounts = _directory(bytes(wire.tenants))
    if isinstance(accounts, BadRow):
        return accounts
    limits = CallerLimits(
        header_bytes=wire.limits.max_header_bytes,
        body_bytes=wire.limits.max_body_bytes,
        header_seconds=wire.limits.header_timeout_ms / 1000,
        idle_seconds=wire.limits.idle_timeout_ms / 1000,
    )
    services = {service.name: _service(service) for service in wire.services}
    return Configuration(
        wire.version, tuple(map(_route, wire.routes)), services, limits, accounts
    )


@lru_cache(maxsize=1)
def _directory(tenants: bytes) -> AccountDirectory | BadRow:
    """Return the client accounts.

    The result is cached, because most versions of the configuration share it.
    """
    wire = _decode(tenants, list[_Tenant])
    if isinstance(wire, BadRow):
        return wire
    directory = make_directory(_accounts(wire))
    return BadRow(directory.reason) if isinstance(directory, BadAccounts) else directory


def _accounts(wire: list[_Tenant]) -> Iterator[tuple[ClientAccount, list[str]]]:
    for tenant in wire:
        yield ClientAccount(tenant.name, tenant.priority), tenant.api_keys


def decode_target(id: str, value: bytes) -> Target | BadRow:
    """Return the target that registered as `id`, or why the row is malformed."""
    if not id or "/" in id:
        return BadRow("the key contains no valid id")
    wire = _decode(value, _Target)
    if isinstance(wire, BadRow):
        return wire
    if not _is_address(wire.address):
        return BadRow("the address is not an IPv4 address and a port")
    return Target(
        id=f"{id}@{wire.born}" if wire.born else id,
        service=wire.service,
        address=wire.address,
        failure_domain=wire.zone,
        slots=wire.slot_count,
        draining=wire.state == DRAINING,
        cold_seconds=wire.cold_left_ms / 1000,
        versions={model.name: model.version for model in wire.models},
        registered_id=id,
        started_ms=wire.born,
    )


def _is_address(text: str) -> bool:
    host, _, port = text.partition(":")
    try:
        IPv4Address(host)
    except AddressValueError:
        return False
    return port.isascii() and port.isdigit() and 0 < int(port[:6]) <= MAX_PORT


def decode_version(value: bytes) -> int | BadRow:
    """Return the version of a model's weights that a trainer has named."""
    wire = _decode(value, _Version)
    return wire if isinstance(wire, BadRow) else wire.version


def decode_retire(value: bytes) -> float | BadRow:
    """Return the seconds within which a machine with a disk is to be emptied."""
    wire = _decode(value, _Retire)
    return wire if isinstance(wire, BadRow) else wire.duration_s


def encode_retire_status(done: bool) -> bytes:
    """Return the row that tells the operator whether the machine is emptied."""
    return msgspec.json.encode({"state": "completed" if done else "running"})


_Wire = TypeVar("_Wire")


def _decode(value: bytes, kind: type[_Wire]) -> _Wire | BadRow:
    try:
        return msgspec.json.decode(value, type=kind)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
        return BadRow(str(error)[:200])


def _route(wire: _Route) -> Route:
    shares = tuple(
        ServiceShare(split.service, split.weight) for split in wire.traffic_split
    )
    return Route(
        name=wire.name,
        host=wire.host.lower(),
        prefix=wire.prefix,
        kind=_KINDS.get(wire.kind, RouteKind.NON_IDEMPOTENT),
        shares=shares or (ServiceShare(wire.service, 1.0),),
        timeout=wire.timeout_ms / 1000,
        objective=wire.target_latency_ms / 1000,
        max_attempts=wire.max_attempts,
        priority=wire.priority,
        public=wire.public,
        resumable=wire.resumable,
        lot_deadline=wire.deadline_ms / 1000,
        max_queue=wire.max_queue_s,
        single_version=wire.single_version,
        share_weight=wire.share_weight,
    )


def _service(wire: _Service) -> Service:
    engine = wire.engine or _Engine()
    return Service(
        name=wire.name,
        health_path=wire.health_path,
        max_connections=wire.max_conns,
        slots=engine.slot_count,
        models=tuple(model.name for model in engine.models),
        event_tokens=max(1, engine.stride),
        engine_tokens=max(0, engine.kv_capacity_tokens),
    )
