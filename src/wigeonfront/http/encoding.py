"""Bodies as JSON, and addresses as text."""

from typing import Any

import msgspec

JSON_TYPE = "application/json"

_encoder = msgspec.json.Encoder()


def encode(value: Any) -> bytes:
    """Return `value` as JSON."""
    return _encoder.encode(value)


def parse_address(address: str) -> tuple[str, int]:
    """Return host and port of ``host:port``."""
    host, _, port = address.rpartition(":")
    return host, int(port)
