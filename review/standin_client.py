"""A client of the platform: sends requests to the front of an entry."""

import http.client
from dataclasses import dataclass


@dataclass(frozen=True)
class Reply:
    """An answer; status 0 stands for a connection that ended without one."""

    status: int
    body: bytes = b""
    seal: str = ""


def call(
    address: str,
    method: str,
    path: str,
    headers: dict[str, str],
    body: bytes = b"",
    seconds: float = 5.0,
) -> Reply:
    """Send one request on a new connection and return the answer."""
    host, _, port = address.rpartition(":")
    connection = http.client.HTTPConnection(host, int(port), timeout=seconds)
    try:
        connection.request(method, path, body or None, headers)
        response = connection.getresponse()
        seal = response.headers.get("Wigeonfront-Server-Seal", "")
        return Reply(response.status, response.read(), seal)
    except (OSError, http.client.HTTPException):
        return Reply(0)
    finally:
        connection.close()
