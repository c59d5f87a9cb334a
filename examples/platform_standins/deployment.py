"""Rows that the operator, targets and trainers of a small deployment write."""

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
    """Return the document of a configuration.

    It has a plain, a booking (non-idempotent), a stream and a Lot route.

    Parameters
    ----------
    version : int
        Version of the configuration.
    single_version : bool
        Whether each sample of a Lot must come from one version of the weights.
    accounts : dict of str to list of str, optional
        API keys of each client account. Without it, calls need no API key.
    **changes
        Fields that replace those of the plain route.

    Returns
    -------
    bytes
        The document as JSON.
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
    """Return the registration that a target writes, with `changes` to its fields."""
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
    rows: MemoryRows,
    id: str,
    service: str,
    address: str,
    state: str = "ready",
    **changes: object,
) -> None:
    """Write the registration of a target as the target itself does."""
    document = registration(service, address, state=state, **changes)
    rows.put(f"servers/{id}", msgspec.json.encode(document))


def name_version(rows: MemoryRows, version: int, model: str = MODEL) -> None:
    """Write the version of a model's weights, as a trainer does."""
    value = msgspec.json.encode({"model": model, "version": version})
    rows.put(f"op/version/{model}", value)
