"""HTTP by library: servers over cheroot (`server`), calls over urllib3 (`client`)."""

from wigeonfront.http.client import Answer, Lost, NotSent, Pool, lines
from wigeonfront.http.encoding import JSON_TYPE, encode, parse_address
from wigeonfront.http.server import (
    Application,
    BadCall,
    Call,
    Handler,
    Reply,
    Server,
    Stream,
)

__all__ = [
    "JSON_TYPE",
    "Answer",
    "Application",
    "BadCall",
    "Call",
    "Handler",
    "Lost",
    "NotSent",
    "Pool",
    "Reply",
    "Server",
    "Stream",
    "encode",
    "lines",
    "parse_address",
]
