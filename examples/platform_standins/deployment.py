"""What an operator and the targets write into the store of a small deployment."""

import msgspec

from platform_standins.rows import MemoryRows

HOST = "calls.example"
PLAIN_PREFIX = "/plain/"
BOOKING_PREFIX = "/booking/"
STREAM_PREFIX = "/stream/"
LOT_PREFIX = "/lots-in/"
PLAIN = "plain-service"
ENGINES = "engine-service"
MODEL = "model-a"


def configuration(
    version: int = 1,
    single_version: bool = False,
    accounts: dict[str, list[str]] | None = None,
    **changes: object,
) -> bytes:
    """Return a configuration.

    Parameters
    ----------
    single_version : bool
        Each sample of a Lot must come from one version of the weights.
    accounts : dict, optional
        API keys of each client account; without it calls need none.
    **changes
        They replace fields of the plain route.
    """
    plain = {
        "name": "plain",
        "host": HOST,
        "prefix": PLAIN_PREFIX,
        "kind": "idempotent",
        "timeoutMs": 1500,
        "targetLatencyMs": 200,
        "service": PLAIN,
        "maxAttempts": 2,
    }
    routes = [
        plain | changes,
        plain | {"name": "booking", "prefix": BOOKING_PREFIX, "kind": "non_idempotent"},
        plain
        | {
            "name": "stream",
            "prefix": STREAM_PREFIX,
            "kind": "streaming",
            "service": ENGINES,
            "resumable": True,
            "timeoutMs": 8000,
            "maxAttempts": 3,
        },
        plain
        | {
            "name": "lots",
            "prefix": LOT_PREFIX,
            "kind": "rollout",
            "service": ENGINES,
            "maxAttempts": 3,
            "maxQueueS": 40,
            "deadlineMs": 7500,
            "singleVersion": single_version,
        },
    ]
    services = [
        {"name": PLAIN, "healthPath": "/health", "maxConns": 90},
        {
            "name": ENGINES,
            "healthPath": "/health",
            "maxConns": 90,
            "engine": {"slotCount": 4, "stride": 50, "models": [{"name": MODEL}]},
        },
    ]
    document = {"version": version, "routes": routes, "services": services}
    if accounts is not None:
        document["tenants"] = [
            {"name": name, "apiKeys": keys} for name, keys in accounts.items()
        ]
    return msgspec.json.encode(document | {"limits": {"maxBodyBytes": 100_000}})


def registration(service: str, address: str, **changes: object) -> dict[str, object]:
    """Return what a target writes of itself, with `changes` of its fields."""
    return {
        "service": service,
        "address": address,
        "zone": "z1",
        "version": "v1",
        "slotCount": 4,
        "state": "ready",
        "coldLeftMs": 0,
        "seq": 1,
    } | changes


def register(
    rows: MemoryRows, id: str, service: str, address: str, state: str = "ready", **more
) -> None:
    """Register a target as it does itself."""
    entry = registration(service, address, state=state, **more)
    rows.put(f"servers/{id}", msgspec.json.encode(entry))


def name_version(rows: MemoryRows, version: int, model: str = MODEL) -> None:
    """Name a version as a trainer does."""
    value = msgspec.json.encode({"model": model, "version": version})
    rows.put(f"op/version/{model}", value)
