"""Merges flags, the environment and a platform's file into a process's settings."""

from dataclasses import fields, replace

from wigeonfront.node.settings import Bounds, NodeSettings
from wigeonfront.setting_values import Address
from wigeonfront.settings import (
    BadSetting,
    EntrySettings,
    ProcessSettings,
    Rejected,
    SideSettings,
    StorageSettings,
    flag,
    variable,
)

MEBIBYTE = 1024 * 1024

_REQUIRED = {
    EntrySettings: ("name", "host", "store", "ready_address", "peer_address"),
    SideSettings: ("name", "host", "store", "target", "service"),
}
_ALWAYS = ("name", "host", "store")
_FIELDS = {
    "name": "name",
    "host": "host",
    "failure_domain": "failure_domain",
    "store": "store_address",
    "front_address": "front_address",
    "api_address": "api_address",
    "ready_address": "ready_address",
    "peer_address": "peer_address",
    "target": "target_address",
    "service": "service",
    "cores": "cores",
    "duty_address": "duty_address",
    "duties": "duties",
    "tolerated_losses": "tolerated_losses",
    "lot_admission": "lot_admission",
    "data_folder": "data_folder",
    "log_level": "log_level",
}
"""Field of `NodeSettings` that each setting sets."""


def node_settings(
    given: ProcessSettings, from_platform: NodeSettings | None
) -> NodeSettings | Rejected:
    """Return the settings of a process, or the required settings that are missing.

    Parameters
    ----------
    given : ProcessSettings
        Settings from flags and the environment; these take precedence.
    from_platform : NodeSettings or None
        Settings from a platform's file; ``None`` if there is no such file.
    """
    if from_platform is None:
        missing = tuple(_missing(given))
        if missing:
            return Rejected(missing)
    base = from_platform or NodeSettings(name="", host="", failure_domain="default")
    changes: dict[str, object] = {}
    for setting, field in _FIELDS.items():
        value = getattr(given, setting, None)
        if value is not None:
            changes[field] = str(value) if isinstance(value, Address) else value
    if given.seeds is not None:
        changes["seed_addresses"] = tuple(map(str, given.seeds))
    if given.memory_mb is not None:
        changes["memory_bytes"] = given.memory_mb * MEBIBYTE
    bounds = {
        bound.name: value
        for bound in fields(Bounds)
        if (value := getattr(given, bound.name, None)) is not None
    }
    return replace(base, bounds=replace(base.bounds, **bounds), **changes)


def _missing(given: ProcessSettings) -> list[BadSetting]:
    required = _REQUIRED.get(type(given), _ALWAYS)
    if isinstance(given, StorageSettings) and given.data_folder is not None:
        required += ("peer_address",)
    accepted = {
        field.name: field.metadata["setting"].accepted for field in fields(type(given))
    }
    missing = [
        BadSetting(name, f"{flag(name)} or {variable(name)}", None, accepted[name])
        for name in required
        if getattr(given, name) is None
    ]
    fronts = ("front_address", "api_address")
    if isinstance(given, EntrySettings) and not any(
        getattr(given, name) for name in fronts
    ):
        sources = " or ".join(map(flag, fronts))
        name = fronts[1]
        missing.append(BadSetting(name, sources, None, accepted[name]))
    return missing
