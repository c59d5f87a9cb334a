"""From flags, environment and a platform's file to the settings of a process."""

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
    "data_folder": "data_folder",
    "log_level": "log_level",
}
"""Field of `NodeSettings` that a setting gives."""


def node_settings(
    given: ProcessSettings, from_platform: NodeSettings | None
) -> NodeSettings | Rejected:
    """Return the settings of a process, or what is missing.

    Parameters
    ----------
    given : ProcessSettings
        What flags and environment say.
    from_platform : NodeSettings or None
        What a platform's file says.
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
        each.name: value
        for each in fields(Bounds)
        if (value := getattr(given, each.name, None)) is not None
    }
    return replace(base, bounds=replace(base.bounds, **bounds), **changes)


def _missing(given: ProcessSettings) -> list[BadSetting]:
    required = _REQUIRED.get(type(given), _ALWAYS)
    if isinstance(given, StorageSettings) and given.data_folder is not None:
        required += ("peer_address",)
    accepted = {
        each.name: each.metadata["setting"].accepted for each in fields(type(given))
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
