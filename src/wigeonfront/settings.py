"""Settings of the processes: flags and environment variables, checked at start.

A setting is declared once, as a field of the data class of the role that uses it,
with its parser, default, accepted values and help. From the field follow the flag
(``--beat-seconds``), the environment variable (``WIGEONFRONT_BEAT_SECONDS``) and
the line that is printed for a bad value. A flag goes before the environment, the
environment before the default.
"""

import argparse
import os
import re
from collections.abc import Callable, Mapping
from dataclasses import MISSING, Field, dataclass, field, fields
from typing import Any, TypeVar

ENVIRONMENT_PREFIX = "WIGEONFRONT_"
MEBIBYTE = 1024 * 1024

_NAME = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,62}")
_HOST = re.compile(r"[A-Za-z0-9][A-Za-z0-9.-]*|\[[0-9A-Fa-f:.]+\]")
_URL = re.compile(r"https?://(?P<authority>[^/?#\s@]+)(?P<path>/[^?#\s]*)?")
_MAX_PORT = 65_535
_MAX_OPERATOR = 200


@dataclass(frozen=True, slots=True)
class Address:
    """A TCP address; `host` is an IP number or a host name, without brackets."""

    host: str
    port: int

    def __str__(self) -> str:
        host = f"[{self.host}]" if ":" in self.host else self.host
        return f"{host}:{self.port}"


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


# --- parsers: text to value, ValueError when not accepted --------------------


def parse_name(text: str) -> str:
    """Return `text` if it is a name of the system."""
    if not _NAME.fullmatch(text):
        raise ValueError(text)
    return text


def parse_address(text: str) -> Address:
    """Return the address that ``host:port`` names."""
    host, _, port = text.rpartition(":")
    if not _HOST.fullmatch(host) or not (port.isascii() and port.isdigit()):
        raise ValueError(text)
    number = int(port)
    if not 1 <= number <= _MAX_PORT:
        raise ValueError(text)
    return Address(host.strip("[]"), number)


def parse_addresses(text: str) -> tuple[Address, ...]:
    """Return the addresses of a comma-separated list, at least one."""
    return tuple(parse_address(part.strip()) for part in text.split(","))


def parse_url(text: str) -> str:
    """Return an HTTP URL without a closing slash."""
    match = _URL.fullmatch(text)
    if match is None:
        raise ValueError(text)
    authority = match["authority"]
    parse_address(authority if _has_port(authority) else f"{authority}:80")
    return text.rstrip("/")


def parse_target(text: str) -> str:
    """Return the URL of a target: plain HTTP, with a port and without a path."""
    scheme, _, authority = text.rstrip("/").partition("://")
    if scheme != "http":
        raise ValueError(text)
    return f"http://{parse_address(authority)}"


def _has_port(authority: str) -> bool:
    return ":" in authority.rpartition("]")[2]


def parse_log_file(text: str) -> str:
    """Return a path whose directory exists, or the empty string."""
    directory = os.path.dirname(text) or "."
    if text and (os.path.isdir(text) or not os.access(directory, os.W_OK)):
        raise ValueError(text)
    return text


def parse_operator(text: str) -> str:
    """Return `text` if it is short enough for the catalogue's history."""
    if len(text) > _MAX_OPERATOR:
        raise ValueError(text)
    return text


def one_of(*choices: str) -> Callable[[str], str]:
    """Return a parser that accepts just `choices`."""

    def parse(text: str) -> str:
        if text not in choices:
            raise ValueError(text)
        return text

    return parse


def integer(low: int, high: int) -> Callable[[str], int]:
    """Return a parser for whole numbers from `low` to `high`."""

    def parse(text: str) -> int:
        number = int(text)
        if not low <= number <= high:
            raise ValueError(text)
        return number

    return parse


def decimal(low: float, high: float) -> Callable[[str], float]:
    """Return a parser for numbers from `low` to `high`."""

    def parse(text: str) -> float:
        number = float(text)
        if not low <= number <= high:
            raise ValueError(text)
        return number

    return parse


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


def _url(help: str, default: Any = MISSING) -> Any:
    return _setting(parse_url, "a URL such as http://10.0.0.1:8080", help, default)


def _address(help: str, default: Any = MISSING) -> Any:
    accepted = f"host:port with a port from 1 to {_MAX_PORT}"
    return _setting(parse_address, accepted, help, default)


def _integer(low: int, high: int, default: int, help: str) -> Any:
    accepted = f"a whole number from {low} to {high}"
    return _setting(integer(low, high), accepted, help, default)


def _decimal(low: float, high: float, default: float, help: str) -> Any:
    accepted = f"a number from {low:g} to {high:g}"
    return _setting(decimal(low, high), accepted, help, default)


_LOG_LEVELS = ("debug", "info", "warning", "error")
_TARGET_KINDS = ("engine", "plain")


@dataclass(frozen=True, slots=True, kw_only=True)
class CommonSettings:
    """Settings of both roles."""

    name: str = _name("name of this process, unique among all")
    # The linter takes the helpers' calls for shared defaults; they return fields.
    listen: Address = _address("address to listen on")  # noqa: RUF009
    advertise: Address = _address(  # noqa: RUF009
        "address told to the others; as --listen if not given", None
    )
    failure_domain: str = _name("failure domain of this VM")
    key_value: str = _url("the platform's key-value service")
    vm_list: str = _url("the platform's VM list")
    weight_store: str = _url("the platform's weight store, if there is one", "")
    log_level: str = _setting(
        one_of(*_LOG_LEVELS), ", ".join(_LOG_LEVELS), "lowest level logged", "info"
    )
    log_file: str = _setting(
        parse_log_file,
        "a file in a directory that can be written to",
        "file to append logs to; standard error if empty",
        "",
    )
    beat_seconds: float = _decimal(
        0.05, 60, 1.0, "seconds between two heartbeats of a peer session"
    )
    drain_seconds: float = _decimal(
        0, 3600, 330.0, "most seconds a planned stop waits for work in flight"
    )
    control_threads: int = _integer(
        1, 64, 4, "threads kept for health, drain and control calls"
    )

    def __post_init__(self) -> None:
        if self.advertise is None:
            object.__setattr__(self, "advertise", self.listen)


@dataclass(frozen=True, slots=True, kw_only=True)
class EntrySettings(CommonSettings):
    """Settings of ``wigeonfront entry``."""

    threads: int = _integer(1, 4096, 256, "most callers' connections served at once")
    max_body_bytes: int = _integer(
        1024, 256 * MEBIBYTE, 8 * MEBIBYTE, "largest body accepted from a caller"
    )
    subset_size: int = _integer(
        1, 1024, 32, "most sides of a service that this entry keeps sessions with"
    )
    max_attempts: int = _integer(
        1, 16, 4, "most attempts of one request, the first included"
    )
    retry_budget: float = _decimal(
        0, 1, 0.1, "retries allowed, as a share of first attempts"
    )
    hedge_budget: float = _decimal(
        0, 1, 0.05, "hedged attempts allowed, as a share of first attempts"
    )
    lease_seconds: float = _decimal(
        1, 3600, 15.0, "term of this entry's membership lease"
    )
    freshness_seconds: float = _decimal(
        1,
        3600,
        30.0,
        "an entry cut off for longer than this admits no new rollouts",
    )


@dataclass(frozen=True, slots=True, kw_only=True)
class SideSettings(CommonSettings):
    """Settings of ``wigeonfront side``."""

    service: str = _name("service that the target belongs to")
    target: str = _setting(
        parse_target,
        "a URL such as http://127.0.0.1:8080, without a path",
        "the target beside this process",
    )
    target_kind: str = _setting(
        one_of(*_TARGET_KINDS),
        " or ".join(_TARGET_KINDS),
        "model engine or plain service",
        "engine",
    )
    capacity: int = _integer(1, 4096, 8, "attempts that the target runs at once")
    headroom: float = _decimal(
        0, 0.95, 0.25, "share of the capacity that rollouts may not take"
    )
    queue_limit: int = _integer(
        0, 65_536, 256, "most attempts that wait for the target"
    )
    max_peers: int = _integer(1, 4096, 64, "most entries with a session at once")
    retention_seconds: float = _decimal(
        1, 86_400, 600.0, "seconds for which finished results and keys are kept"
    )


@dataclass(frozen=True, slots=True, kw_only=True)
class OperatorSettings:
    """Settings of the operators' commands."""

    entry: tuple[Address, ...] = _setting(
        parse_addresses,
        "host:port, or several separated by commas",
        "entries to call, tried in this order",
        (Address("127.0.0.1", 7700),),
    )
    timeout_seconds: float = _decimal(
        0.1, 3600, 10.0, "seconds to wait for an entry's answer"
    )
    operator: str = _setting(
        parse_operator,
        f"at most {_MAX_OPERATOR} characters",
        "who edits the catalogue, for its history",
        "",
    )


Settings = TypeVar("Settings", CommonSettings, OperatorSettings)


# --- reading -----------------------------------------------------------------


def flag(name: str) -> str:
    """Return the command-line flag of the setting `name`."""
    return "--" + name.replace("_", "-")


def variable(name: str) -> str:
    """Return the environment variable of the setting `name`."""
    return ENVIRONMENT_PREFIX + name.upper()


def unknown_variables(environ: Mapping[str, str]) -> tuple[str, ...]:
    """Return the variables with the system's prefix that no role knows."""
    roles = (EntrySettings, SideSettings, OperatorSettings)
    known = {variable(each.name) for role in roles for each in fields(role)}
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
        `EntrySettings`, `SideSettings` or `OperatorSettings`.
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
