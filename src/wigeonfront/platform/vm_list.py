"""The platform's VM list over HTTP and JSON."""

from typing import Literal

import msgspec

from wigeonfront.platform import Unavailable, Vm
from wigeonfront.platform.json_client import (
    CONNECT_TIMEOUT,
    READ_TIMEOUT,
    JsonClient,
    read,
)


class _VmReply(msgspec.Struct):
    name: str
    role: Literal["entry", "side"]
    address: str
    service: str = ""
    failure_domain: str = ""
    leaving: bool = False


class _VmsReply(msgspec.Struct):
    vms: list[_VmReply]


class HttpVmList:
    """`wigeonfront.platform.VmList` over HTTP.

    Parameters
    ----------
    url : str
        ``http://host:port`` or ``host:port`` of the service.
    connect_timeout, read_timeout : float
        Seconds to wait for a connection and for an answer.
    """

    def __init__(
        self,
        url: str,
        connect_timeout: float = CONNECT_TIMEOUT,
        read_timeout: float = READ_TIMEOUT,
    ) -> None:
        self._client = JsonClient(url, connect_timeout, read_timeout)

    def vms(self) -> tuple[Vm, ...] | Unavailable:
        """Return the VMs now listed."""
        reply = read(self._client.get("/vms"), _VmsReply)
        if isinstance(reply, Unavailable):
            return reply
        return tuple(_vm(vm) for vm in reply.vms)

    def close(self) -> None:
        """Close all connections."""
        self._client.close()


def _vm(reply: _VmReply) -> Vm:
    return Vm(
        name=reply.name,
        role=reply.role,
        service=reply.service,
        failure_domain=reply.failure_domain,
        address=reply.address,
        leaving=reply.leaving,
    )
