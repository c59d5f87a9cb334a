"""Parsers for the values of settings.

Each parser takes the text of a setting and returns its value, or raises `ValueError`
where the text is not accepted.
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
    """A TCP address; `host` is an IP address or a host name, without brackets."""

    host: str
    port: int

    def __str__(self) -> str:
        host = f"[{self.host}]" if ":" in self.host else self.host
        return f"{host}:{self.port}"


def parse_name(text: str) -> str:
    """Return `text` if it is 1 to 63 letters, digits, dots, underscores or hyphens."""
    if not _NAME.fullmatch(text):
        raise ValueError(text)
    return text


def parse_folder(text: str) -> str:
    """Return `text` if it is an absolute path."""
    if not PurePath(text).is_absolute():
        raise ValueError(text)
    return text


def parse_address(text: str) -> Address:
    """Return the address that is written as ``host:port``."""
    host, _, port = text.rpartition(":")
    if not _HOST.fullmatch(host) or not (port.isascii() and port.isdigit()):
        raise ValueError(text)
    number = int(port)
    if not 1 <= number <= MAX_PORT:
        raise ValueError(text)
    return Address(host.strip("[]"), number)


def parse_addresses(text: str) -> tuple[Address, ...]:
    """Return the addresses of a comma-separated list with at least one entry."""
    return tuple(parse_address(part.strip()) for part in text.split(","))


def one_of(*choices: str) -> Callable[[str], str]:
    """Return a parser that accepts only `choices`."""

    def parse(text: str) -> str:
        if text not in choices:
            raise ValueError(text)
        return text

    return parse


def parse_duties(text: str) -> frozenset[Duty]:
    """Return the duties of a comma-separated list with at least one entry."""
    return frozenset(Duty(part.strip()) for part in text.split(","))


def parse_switch(text: str) -> bool:
    """Return whether `text` is ``yes``; only ``yes`` and ``no`` are accepted."""
    return one_of("yes", "no")(text) == "yes"


def integer(low: int, high: int) -> Callable[[str], int]:
    """Return a parser for integers from `low` to `high`, both included."""

    def parse(text: str) -> int:
        number = int(text)
        if not low <= number <= high:
            raise ValueError(text)
        return number

    return parse


def decimal(low: float, high: float) -> Callable[[str], float]:
    """Return a parser for decimal numbers from `low` to `high`, both included."""

    def parse(text: str) -> float:
        number = float(text)
        if not low <= number <= high:
            raise ValueError(text)
        return number

    return parse
