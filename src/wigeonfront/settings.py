"""Settings of the processes: flags and environment variables, checked at start.

A setting is declared once, as a field of the data class of the role that uses it,
with its parser, default, accepted values and help. From the field follow the flag
(``--drain-seconds``), the environment variable (``WIGEONFRONT_DRAIN_SECONDS``) and
the line that is printed for a bad value. A flag goes before the environment, the
environment before the file that a platform lays down, and that before the default.
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
"""Where a platform names the file of settings that it lays down."""


@dataclass(frozen=True, slots=True)
class BadSetting:
    """A setting whose value is missing or not accepted.

    Attributes
    ----------
    name : str
        The setting.
    source : str
        Flag or environment variable that gave `value`.
    value : str or None
        What was given; ``None`` when the setting is required and missing.
    accepted : str
        What would have been accepted.
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
    """The settings were not accepted; every bad one is named."""

    errors: tuple[BadSetting, ...]


# --- declarations ------------------------------------------------------------


@dataclass(frozen=True, slots=True)
class Declaration:
    """How a setting is read: kept in the metadata of its field."""

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
    """Settings of all processes; ``None`` is left to the file or the default."""

    name: str | None = _setting(
        parse_name,
        "1 to 63 letters, digits, '.', '_' or '-'",
        "name of this machine, unique among all",
        None,
    )
    host: str | None = _setting(
        parse_name, "an IP number", "IP number of this machine", None
    )
    failure_domain: str | None = _setting(
        parse_name,
        "1 to 63 letters, digits, '.', '_' or '-'",
        "failure domain of this machine",
        None,
    )
    store: Address | None = _optional_address("the platform's store")  # noqa: RUF009
    seeds: tuple[Address, ...] | None = _setting(
        parse_addresses,
        "host:port, or several separated by commas",
        "peer addresses of some entries, the same list for all processes",
        None,
    )
    memory_mb: int | None = _optional_integer(
        16, 1_000_000, "memory above which the process is killed, in MiB"
    )
    cores: float | None = _optional_decimal(
        0.01, 1024, "processor time that the machine gives, in cores"
    )
    stop_seconds: float | None = _optional_decimal(
        1, 3600, "from the stop signal until the process is killed"
    )
    drain_seconds: float | None = _optional_decimal(
        0.5, 3600, "within which a leaving target gets no new work"
    )
    configuration_seconds: float | None = _optional_decimal(
        0.5, 3600, "within which a changed configuration is in force"
    )
    order_seconds: float | None = _optional_decimal(
        0.1, 3600, "between the orders of two machines to one engine"
    )
    result_seconds: float | None = _optional_decimal(
        1, 86_400, "for which results stay readable"
    )
    lease_seconds: float | None = _optional_decimal(
        1, 600, "term of the lease by which a busy process is known to live"
    )
    log_level: str = _setting(
        one_of(*_LOG_LEVELS), ", ".join(_LOG_LEVELS), "lowest level logged", "info"
    )


@dataclass(frozen=True, slots=True, kw_only=True)
class EntrySettings(ProcessSettings):
    """Settings of ``wigeonfront entry``."""

    front_address: Address | None = _optional_address(  # noqa: RUF009
        "where the platform's callers connect"
    )
    api_address: Address | None = _optional_address(  # noqa: RUF009
        "where callers of /v1 connect"
    )
    ready_address: Address | None = _optional_address(  # noqa: RUF009
        "where a balancer asks for readiness"
    )
    peer_address: Address | None = _optional_address(  # noqa: RUF009
        "where the system's other processes connect"
    )
    strict_revoke: bool | None = _setting(
        parse_switch,
        "yes or no",
        "refuse calls with API keys while the configuration is older than "
        "--revoke-seconds",
        None,
    )
    revoke_seconds: float | None = _optional_decimal(
        0.5, 3600, "age of the configuration beyond which --strict-revoke holds"
    )
    duty_address: Address | None = _optional_address(  # noqa: RUF009
        "the platform's interface for duties of one machine at a time"
    )
    duties: frozenset[Duty] | None = _setting(
        parse_duties,
        ", ".join(sorted(one.value for one in Duty)) + ", or several with commas",
        "duties that one machine at a time does for all",
        None,
    )
    usage_window_seconds: float | None = _optional_decimal(
        0.5, 3600, "length of the windows in which usage is counted"
    )
    usage_due_seconds: float | None = _optional_decimal(
        1, 3600, "after a window's end, within which its usage is due"
    )
    tolerated_losses: int | None = _optional_integer(
        0, 10, "disks that may be lost at the same time"
    )


@dataclass(frozen=True, slots=True, kw_only=True)
class SideSettings(ProcessSettings):
    """Settings of ``wigeonfront side``."""

    target: Address | None = _optional_address(  # noqa: RUF009
        "the engine beside this process"
    )
    service: str | None = _setting(
        parse_name, "the name of a service", "service of that engine", None
    )


@dataclass(frozen=True, slots=True, kw_only=True)
class StorageSettings(ProcessSettings):
    """Settings of ``wigeonfront storage``."""

    peer_address: Address | None = _optional_address(  # noqa: RUF009
        "where the system's other processes connect"
    )
    data_folder: str | None = _setting(
        parse_folder, "an absolute path", "folder of its disk", None
    )


@dataclass(frozen=True, slots=True, kw_only=True)
class OperatorSettings:
    """Settings of the operators' commands."""

    entry: tuple[Address, ...] = _setting(
        parse_addresses,
        "host:port, or several separated by commas",
        "entries to call (their --api-address), tried in this order",
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
    """Return the variables with the system's prefix that no role knows."""
    known = {variable(each.name) for role in ROLES for each in fields(role)}
    known.add(PLATFORM_FILE_VARIABLE)
    own = (name for name in environ if name.startswith(ENVIRONMENT_PREFIX))
    return tuple(sorted(name for name in own if name not in known))


def add_flags(parser: argparse.ArgumentParser, role: type) -> None:
    """Add a flag to `parser` for each setting of `role`; values stay text."""
    for each in fields(role):
        parser.add_argument(
            flag(each.name),
            dest=each.name,
            metavar="VALUE",
            help=_help_text(each).replace("%", "%%"),
        )


def _help_text(each: Field) -> str:
    declaration: Declaration = each.metadata["setting"]
    return f"{declaration.help} ({declaration.accepted}; {_default_text(each)})"


def _default_text(each: Field) -> str:
    if each.default is MISSING:
        return "required"
    if each.default is None or each.default == "":
        return "optional"
    if isinstance(each.default, tuple):
        return "default " + ",".join(map(str, each.default))
    return f"default {each.default}"


def load(
    role: type[Settings], flags: Mapping[str, str | None], environ: Mapping[str, str]
) -> Settings | Rejected:
    """Read and check the settings of `role`.

    Parameters
    ----------
    role : type
        One of `ROLES`.
    flags : mapping of str to str or None
        Text given for each setting on the command line; ``None`` if not given.
    environ : mapping of str to str
        The environment variables.

    Returns
    -------
    Settings or Rejected
        An instance of `role`, or every setting that is bad.
    """
    values: dict[str, Any] = {}
    errors: list[BadSetting] = []
    for each in fields(role):
        value = _read(each, flags.get(each.name), environ.get(variable(each.name)))
        if isinstance(value, BadSetting):
            errors.append(value)
        elif value is not MISSING:
            values[each.name] = value
    if errors:
        return Rejected(tuple(errors))
    return role(**values)


def _read(each: Field, given: str | None, inherited: str | None) -> Any:
    declaration: Declaration = each.metadata["setting"]
    source = flag(each.name) if given is not None else variable(each.name)
    text = given if given is not None else inherited
    if text is None and each.default is MISSING:
        sources = f"{flag(each.name)} or {variable(each.name)}"
        return BadSetting(each.name, sources, None, declaration.accepted)
    if text is None or (text == "" and each.default == ""):
        return MISSING
    try:
        return declaration.parse(text)
    except ValueError:
        return BadSetting(each.name, source, text, declaration.accepted)
