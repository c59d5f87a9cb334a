"""Answers calls to a disk of the spool."""

import logging

import msgspec

from wigeonfront.http.raw import RawCall
from wigeonfront.observability.logs import event
from wigeonfront.spool.calls import (
    SPOOL_PATH,
    Keys,
    ListKeys,
    Refused,
    SpoolAnswer,
    SpoolCall,
    SpoolRequest,
)
from wigeonfront.spool.file import SpoolFile

logger = logging.getLogger(__name__)

OK = 200
BAD_CALL = 400
UNKNOWN_PATH = 404

MAX_CALL_BYTES = 8 * 1024 * 1024


class SpoolServer:
    """Serves the spool of a disk over HTTP.

    Parameters
    ----------
    file : SpoolFile
    """

    def __init__(self, file: SpoolFile) -> None:
        self._file = file

    def answer(self, call: RawCall) -> None:
        """Answer one call."""
        if call.path != SPOOL_PATH:
            call.reply(UNKNOWN_PATH)
            return
        try:
            body = call.body(MAX_CALL_BYTES)
            request = msgspec.msgpack.decode(body, type=SpoolRequest)
        except msgspec.DecodeError as error:
            event(logger, "bad_spool_call", reason=str(error)[:200])
            call.reply(BAD_CALL)
            return
        if isinstance(request, ListKeys):
            answer = self._list_keys(request)
        else:
            answer = self._apply(request)
        call.reply(OK, msgspec.msgpack.encode(answer))

    def _list_keys(self, request: ListKeys) -> Keys | Refused:
        held = self._file.items_by_key(request.prefix)
        return held if isinstance(held, Refused) else Keys(tuple(held))

    def _apply(self, request: SpoolCall) -> SpoolAnswer:
        answer = self._file.apply(request)
        event(
            logger,
            "spool_call",
            call=type(request).__name__,
            key=request.key,
            fence=request.fence,
            answer=type(answer).__name__,
            reason=getattr(answer, "reason", ""),
            held=self._file.item_count,
        )
        return answer
