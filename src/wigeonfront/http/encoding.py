"""Encodes JSON bodies and parses addresses."""

from typing import Any

import msgspec

JSON_TYPE = "application/json"

_encoder = msgspec.json.Encoder()


def encode(value: Any) -> bytes:
    """Return `value` as JSON."""
    return _encoder.encode(value)


def parse_address(address: str) -> tuple[str, int]:
    """Return the host and the port of ``host:port``.

    Raises
    ------
    ValueError
        If the port is not a number.
    """
    host, _, port = address.rpartition(":")
    return host, int(port)
