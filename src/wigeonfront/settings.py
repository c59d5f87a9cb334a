"""Settings of the processes: flags and environment variables, checked at start.

A setting is declared once, as a field of the dataclass of the role that uses it, with
its parser, default, accepted values and help. The field determines the flag
(``--drain-seconds``), the environment variable (``WIGEONFRONT_DRAIN_SECONDS``) and the
error message for a bad value. A flag takes precedence over the environment variable,
that over the file of settings that a platform provides, and the file over the default.
"""

import argparse
from collections.abc import Callable, Mapping
from dataclasses import MISSING, Field, dataclass, field, fields
from typing import Any, TypeVar

from wigeonfront.duties import Duty
from wigeonfront.setting_values import (
    MAX_PORT,
    Address,
    decimal,
    integer,
    one_of,
    parse_address,
    parse_addresses,
    parse_duties,
    parse_folder,
    parse_name,
    parse_switch,
)

ENVIRONMENT_PREFIX = "WIGEONFRONT_"
PLATFORM_FILE_VARIABLE = "WIGEONFRONT_BOOT"
"""Environment variable with the path of a file of settings that a platform provides."""


@dataclass(frozen=True, slots=True)
class BadSetting:
    """A setting that is missing or has a value that is not accepted.

    Attributes
    ----------
    name : str
        Name of the setting.
    source : str
        Flag or environment variable that gave `value`, or that would give it.
    value : str or None
        The text that was given; ``None`` when the setting is required and missing.
    accepted : str
        Description of the accepted values.
    """

    name: str
    source: str
    value: str | None
    accepted: str

    def __str__(self) -> str:
        if self.value is None:
            fault = f"is missing (set {self.source})"
        else:
            fault = f"has the bad value {self.value!r} (from {self.source})"
        return f"setting {self.name} {fault}; accepted: {self.accepted}"


@dataclass(frozen=True, slots=True)
class Rejected:
    """The settings are not accepted; `errors` names every bad one."""

    errors: tuple[BadSetting, ...]


# --- declarations ------------------------------------------------------------


@dataclass(frozen=True, slots=True)
class Declaration:
    """How a setting is read and described; stored in the metadata of its field."""

    parse: Callable[[str], Any]
    accepted: str
    help: str


def _setting(
    parse: Callable[[str], Any], accepted: str, help: str, default: Any = MISSING
) -> Any:
    declaration = Declaration(parse, accepted, help)
    return field(default=default, metadata={"setting": declaration})


def _name(help: str) -> Any:
    return _setting(parse_name, "1 to 63 letters, digits, '.', '_' or '-'", help)


def _address(help: str, default: Any = MISSING) -> Any:
    accepted = f"host:port with a port from 1 to {MAX_PORT}"
    return _setting(parse_address, accepted, help, default)


def _decimal(low: float, high: float, default: float, help: str) -> Any:
    accepted = f"a number from {low:g} to {high:g}"
    return _setting(decimal(low, high), accepted, help, default)


def _optional_integer(low: int, high: int, help: str) -> Any:
    accepted = f"a whole number from {low} to {high}"
    return _setting(integer(low, high), accepted, help, None)


def _optional_decimal(low: float, high: float, help: str) -> Any:
    accepted = f"a number from {low:g} to {high:g}"
    return _setting(decimal(low, high), accepted, help, None)


_LOG_LEVELS = ("debug", "info", "warning", "error")


def _optional_address(help: str) -> Any:
    return _address(help, None)


@dataclass(frozen=True, slots=True, kw_only=True)
class ProcessSettings:
    """Settings of all processes; the file or the default replaces ``None``."""

    name: str | None = _setting(
        parse_name,
        "1 to 63 letters, digits, '.', '_' or '-'",
        "name of this machine, unique in the deployment",
        None,
    )
    host: str | None = _setting(
        parse_name, "an IP address", "IP address of this machine", None
    )
    failure_domain: str | None = _setting(
        parse_name,
        "1 to 63 letters, digits, '.', '_' or '-'",
        "failure domain of this machine",
        None,
    )
    store: Address | None = _optional_address("address of the platform's store")  # noqa: RUF009
    seeds: tuple[Address, ...] | None = _setting(
        parse_addresses,
        "host:port, or several separated by commas",
        "peer addresses of some entries, the same list in all processes",
        None,
    )
    memory_mb: int | None = _optional_integer(
        16, 1_000_000, "memory limit above which the process is killed, in MiB"
    )
    cores: float | None = _optional_decimal(
        0.01, 1024, "processor time that this machine provides, in cores"
    )
    stop_seconds: float | None = _optional_decimal(
        1, 3600, "seconds from the stop signal until the process is killed"
    )
    drain_seconds: float | None = _optional_decimal(
        0.5, 3600, "seconds within which new work to a draining target ends"
    )
    configuration_seconds: float | None = _optional_decimal(
        0.5, 3600, "seconds within which a changed configuration is in force"
    )
    order_seconds: float | None = _optional_decimal(
        0.1, 3600, "seconds within which two machines must not both order an engine"
    )
    result_seconds: float | None = _optional_decimal(
        1, 86_400, "seconds for which results remain readable"
    )
    lease_seconds: float | None = _optional_decimal(
        1,
        600,
        "term in seconds of the lease by which a busy process is known to be alive",
    )
    log_level: str = _setting(
        one_of(*_LOG_LEVELS),
        ", ".join(_LOG_LEVELS),
        "lowest level that is logged",
        "info",
    )


@dataclass(frozen=True, slots=True, kw_only=True)
class EntrySettings(ProcessSettings):
    """Settings of ``wigeonfront entry``."""

    front_address: Address | None = _optional_address(  # noqa: RUF009
        "address for the platform's callers"
    )
    api_address: Address | None = _optional_address(  # noqa: RUF009
        "address for callers of /v1"
    )
    ready_address: Address | None = _optional_address(  # noqa: RUF009
        "address for readiness checks of a load balancer"
    )
    peer_address: Address | None = _optional_address(  # noqa: RUF009
        "address for the other processes of the deployment"
    )
    strict_revoke: bool | None = _setting(
        parse_switch,
        "yes or no",
        "refuse calls with API keys while the configuration is older than "
        "--revoke-seconds",
        None,
    )
    revoke_seconds: float | None = _optional_decimal(
        0.5,
        3600,
        "age of the configuration, in seconds, beyond which --strict-revoke holds",
    )
    duty_address: Address | None = _optional_address(  # noqa: RUF009
        "address of the platform's interface for duties"
    )
    duties: frozenset[Duty] | None = _setting(
        parse_duties,
        ", ".join(sorted(duty.value for duty in Duty)) + ", or several with commas",
        "duties that one machine at a time performs for the deployment",
        None,
    )
    usage_window_seconds: float | None = _optional_decimal(
        0.5, 3600, "length in seconds of the windows in which usage is counted"
    )
    usage_due_seconds: float | None = _optional_decimal(
        1, 3600, "seconds after the end of a window by which its usage must be reported"
    )
    tolerated_losses: int | None = _optional_integer(
        0, 10, "disks whose loss at the same time is tolerated"
    )
    lot_admission: bool | None = _setting(
        parse_switch,
        "yes or no",
        "refuse Lots at once that the engines can't serve in time; default no",
        None,
    )


@dataclass(frozen=True, slots=True, kw_only=True)
class SideSettings(ProcessSettings):
    """Settings of ``wigeonfront side``."""

    target: Address | None = _optional_address(  # noqa: RUF009
        "address of the engine beside this process"
    )
    service: str | None = _setting(
        parse_name, "the name of a service", "service of that engine", None
    )


@dataclass(frozen=True, slots=True, kw_only=True)
class StorageSettings(ProcessSettings):
    """Settings of ``wigeonfront storage``."""

    peer_address: Address | None = _optional_address(  # noqa: RUF009
        "address for the other processes of the deployment"
    )
    data_folder: str | None = _setting(
        parse_folder, "an absolute path", "folder on the disk of this machine", None
    )


@dataclass(frozen=True, slots=True, kw_only=True)
class OperatorSettings:
    """Settings of the operators' commands."""

    entry: tuple[Address, ...] = _setting(
        parse_addresses,
        "host:port, or several separated by commas",
        "addresses of the entries to call (their --api-address), in order",
        (Address("127.0.0.1", 7700),),
    )
    timeout_seconds: float = _decimal(
        0.1, 3600, 10.0, "seconds to wait for an entry's answer"
    )


ROLES = (EntrySettings, SideSettings, StorageSettings, OperatorSettings)

Settings = TypeVar("Settings", ProcessSettings, OperatorSettings)


# --- reading -----------------------------------------------------------------


def flag(name: str) -> str:
    """Return the command-line flag of the setting `name`."""
    return "--" + name.replace("_", "-")


def variable(name: str) -> str:
    """Return the environment variable of the setting `name`."""
    return ENVIRONMENT_PREFIX + name.upper()


def unknown_variables(environ: Mapping[str, str]) -> tuple[str, ...]:
    """Return the variables with the common prefix that belong to no setting."""
    known = {variable(setting.name) for role in ROLES for setting in fields(role)}
    known.add(PLATFORM_FILE_VARIABLE)
    with_prefix = (name for name in environ if name.startswith(ENVIRONMENT_PREFIX))
    return tuple(sorted(name for name in with_prefix if name not in known))


def add_flags(parser: argparse.ArgumentParser, role: type) -> None:
    """Add a flag to `parser` for each setting of `role`; the values remain text."""
    for setting in fields(role):
        parser.add_argument(
            flag(setting.name),
            dest=setting.name,
            metavar="VALUE",
            help=_help_text(setting).replace("%", "%%"),
        )


def _help_text(setting: Field) -> str:
    declaration: Declaration = setting.metadata["setting"]
    return f"{declaration.help} ({declaration.accepted}; {_default_text(setting)})"


def _default_text(setting: Field) -> str:
    if setting.default is MISSING:
        return "required"
    if setting.default is None or setting.default == "":
        return "optional"
    if isinstance(setting.default, tuple):
        return "default " + ",".join(map(str, setting.default))
    return f"default {setting.default}"


def load(
    role: type[Settings], flags: Mapping[str, str | None], environ: Mapping[str, str]
) -> Settings | Rejected:
    """Read and check the settings of `role`.

    Parameters
    ----------
    role : type
        One of `ROLES`.
    flags : mapping of str to str or None
        Text of each setting on the command line; ``None`` if it was not given.
    environ : mapping of str to str
        The environment variables.

    Returns
    -------
    Settings or Rejected
        An instance of `role`, or the list of all bad settings.
    """
    values: dict[str, Any] = {}
    errors: list[BadSetting] = []
    for setting in fields(role):
        value = _read(
            setting, flags.get(setting.name), environ.get(variable(setting.name))
        )
        if isinstance(value, BadSetting):
            errors.append(value)
        elif value is not MISSING:
            values[setting.name] = value
    if errors:
        return Rejected(tuple(errors))
    return role(**values)


def _read(setting: Field, given: str | None, from_environment: str | None) -> Any:
    declaration: Declaration = setting.metadata["setting"]
    source = flag(setting.name) if given is not None else variable(setting.name)
    text = given if given is not None else from_environment
    if text is None and setting.default is MISSING:
        sources = f"{flag(setting.name)} or {variable(setting.name)}"
        return BadSetting(setting.name, sources, None, declaration.accepted)
    if text is None or (text == "" and setting.default == ""):
        return MISSING
    try:
        return declaration.parse(text)
    except ValueError:
        return BadSetting(setting.name, source, text, declaration.accepted)
