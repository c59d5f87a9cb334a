"""Values of settings: what a text must be to be accepted.

Each parser returns the value, or raises `ValueError`.
"""

import re
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import PurePath

from wigeonfront.duties import Duty

_NAME = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,62}")
_HOST = re.compile(r"[A-Za-z0-9][A-Za-z0-9.-]*|\[[0-9A-Fa-f:.]+\]")
MAX_PORT = 65_535


@dataclass(frozen=True, slots=True)
class Address:
    """A TCP address; `host` is an IP number or a host name, without brackets."""

    host: str
    port: int

    def __str__(self) -> str:
        host = f"[{self.host}]" if ":" in self.host else self.host
        return f"{host}:{self.port}"


def parse_name(text: str) -> str:
    """Return `text` if it is a name of the system."""
    if not _NAME.fullmatch(text):
        raise ValueError(text)
    return text


def parse_folder(text: str) -> str:
    """Return `text` if it is an absolute path."""
    if not PurePath(text).is_absolute():
        raise ValueError(text)
    return text


def parse_address(text: str) -> Address:
    """Return the address that ``host:port`` names."""
    host, _, port = text.rpartition(":")
    if not _HOST.fullmatch(host) or not (port.isascii() and port.isdigit()):
        raise ValueError(text)
    number = int(port)
    if not 1 <= number <= MAX_PORT:
        raise ValueError(text)
    return Address(host.strip("[]"), number)


def parse_addresses(text: str) -> tuple[Address, ...]:
    """Return the addresses of a comma-separated list, at least one."""
    return tuple(parse_address(part.strip()) for part in text.split(","))


def one_of(*choices: str) -> Callable[[str], str]:
    """Return a parser that accepts just `choices`."""

    def parse(text: str) -> str:
        if text not in choices:
            raise ValueError(text)
        return text

    return parse


def parse_duties(text: str) -> frozenset[Duty]:
    """Return the duties of a comma-separated list, at least one."""
    return frozenset(Duty(part.strip()) for part in text.split(","))


def parse_switch(text: str) -> bool:
    """Return whether `text` says yes."""
    return one_of("yes", "no")(text) == "yes"


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
