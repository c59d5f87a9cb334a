"""Recovers items for processes that do not reach the members of a spool."""

import logging

import msgspec

from wigeonfront.http.raw import RawCall
from wigeonfront.observability.logs import event
from wigeonfront.spool.calls import Held, NotReached, Recover
from wigeonfront.spool.client import Recovered, SpoolClient

logger = logging.getLogger(__name__)

OK = 200
BAD_CALL = 400

MAX_CALL_BYTES = 64 * 1024


class SpoolRelayServer:
    """Calls members of a spool in the place of another process.

    It calls them directly, so that no call goes in circles.

    Parameters
    ----------
    spool : SpoolClient
    """

    def __init__(self, spool: SpoolClient) -> None:
        self._spool = spool

    def answer(self, call: RawCall) -> None:
        """Answer one call over HTTP."""
        try:
            body = call.body(MAX_CALL_BYTES)
            request = msgspec.msgpack.decode(body, type=Recover)
        except msgspec.DecodeError as error:
            event(logger, "bad_spool_call", reason=str(error)[:200])
            call.reply(BAD_CALL)
            return
        found = self._spool.recover_directly(
            request.members, request.key, request.fence
        )
        answer: Held | NotReached = NotReached()
        if isinstance(found, Recovered):
            answer = Held(found.position, found.items)
        call.reply(OK, msgspec.msgpack.encode(answer))
