"""The operators' calls of an entry: catalogue, status, drain, explain.

Reads are answered from what this entry has in force, so that they work while the
key-value service is down; only the history is read from the service.
"""

import logging
from collections.abc import Callable
from dataclasses import asdict, dataclass
from functools import singledispatch
from typing import Annotated, Any

import msgspec

from wigeonfront.catalogue import plain
from wigeonfront.entry.configuration import Catalogue, KnownRow
from wigeonfront.entry.directory import Directory
from wigeonfront.entry.edits import (
    Accepted,
    EditConflict,
    Editor,
    EditOutcome,
    EditRefused,
    EditRejected,
    EditUnknown,
    Stored,
)
from wigeonfront.entry.explain import DecisionLog
from wigeonfront.entry.history import History
from wigeonfront.http import Answer, Application, Call, Pool, Reply
from wigeonfront.logs import event
from wigeonfront.messages import CallerMessage, ErrorReply, Name
from wigeonfront.platform import Unavailable

logger = logging.getLogger(__name__)

DRAIN_TIMEOUT = 2.0
DEFAULT_WAIT = 8.0
MAX_WAIT = 60.0
"""Seconds for which an edit may wait until it is in force."""


class EditBody(CallerMessage, frozen=True, kw_only=True):
    """Body of ``PUT`` and ``DELETE /v1/catalogue/ENTRY``.

    Attributes
    ----------
    row : Raw
        The new row; left out for a deletion.
    expected : int
        Revision that the edit was made from; 0 for a new entry.
    operator : str
        Who edits, for the history.
    wait : float
        Seconds to wait until the change is in force.
    """

    expected: Annotated[int, msgspec.Meta(ge=0)]
    row: msgspec.Raw = msgspec.Raw(b"null")
    operator: Annotated[str, msgspec.Meta(max_length=200)] = ""
    wait: Annotated[float, msgspec.Meta(ge=0, le=MAX_WAIT)] = DEFAULT_WAIT


class DrainBody(CallerMessage, frozen=True, kw_only=True):
    """Body of ``POST /v1/drain``; `side` names the side to drain instead."""

    side: Name | None = None


@dataclass(frozen=True, slots=True)
class OperatorParts:
    """What the operators' calls speak for."""

    catalogue: Catalogue
    editor: Editor
    history: History
    directory: Directory
    decisions: DecisionLog
    status: Callable[[], dict[str, Any]]
    drain: Callable[[], None]


class Operators:
    """Handlers of the operators' calls.

    Parameters
    ----------
    parts : OperatorParts
    """

    def __init__(self, parts: OperatorParts) -> None:
        self._parts = parts

    def routes(self, application: Application) -> None:
        """Add the operators' routes."""
        route = application.route
        route("GET", "/v1/catalogue", self.entries)
        route("GET", "/v1/catalogue/*", self.entry)
        route("PUT", "/v1/catalogue/*", self.put)
        route("DELETE", "/v1/catalogue/*", self.delete)
        route("GET", "/v1/catalogue/*/history", self.history)
        route("GET", "/v1/catalogue/*/in-force", self.in_force)
        route("GET", "/v1/status", self.status)
        route("POST", "/v1/drain", self.drain)
        route("GET", "/v1/explain/*", self.explain)

    # --- catalogue -----------------------------------------------------------

    def entries(self, call: Call) -> Reply:
        """Answer with all rows as known here."""
        catalogue = self._parts.catalogue
        rows = [_described(row) for row in catalogue.all_known()]
        return Reply(200, {"entries": rows, "revision": catalogue.revision})

    def entry(self, call: Call) -> Reply:
        """Answer with one row as known here."""
        row = self._parts.catalogue.known(call.arguments[0])
        if row is None or row.deleted:
            return _unknown_entry(call.arguments[0])
        return Reply(200, _described(row))

    def put(self, call: Call) -> Reply:
        """Write a row and wait until it is in force."""
        body = call.decode(EditBody)
        row = bytes(body.row)
        if row == b"null":
            return Reply(422, ErrorReply(error="bad_field", detail="row is missing"))
        outcome = self._parts.editor.put(
            call.arguments[0], row, body.expected, body.operator, body.wait
        )
        return _edit_reply(outcome)

    def delete(self, call: Call) -> Reply:
        """Delete a row and wait until that is in force."""
        body = call.decode(EditBody)
        outcome = self._parts.editor.delete(
            call.arguments[0], body.expected, body.operator, body.wait
        )
        return _edit_reply(outcome)

    def history(self, call: Call) -> Reply:
        """Answer with the earlier rows of an entry, oldest first."""
        name = call.arguments[0]
        versions = self._parts.history.read(name)
        if isinstance(versions, Unavailable):
            detail = "key-value service: " + versions.reason
            return Reply(503, ErrorReply(error="unavailable", detail=detail))
        if not versions:
            return _unknown_entry(name)
        return Reply(200, {"entry": name, "history": versions})

    def in_force(self, call: Call) -> Reply:
        """Ask anew whether the present row of an entry is in force everywhere."""
        return _edit_reply(self._parts.editor.confirm(call.arguments[0]))

    # --- processes -----------------------------------------------------------

    def status(self, call: Call) -> Reply:
        """Answer with what this entry knows of the system."""
        return Reply(200, self._parts.status())

    def drain(self, call: Call) -> Reply:
        """Begin a planned stop of this entry, or pass it on to a side."""
        body = call.decode(DrainBody)
        if body.side is None:
            event(logger, "drain_asked")
            self._parts.drain()
            return Reply(202, {"draining": "entry"})
        return self._drain_side(body.side)

    def explain(self, call: Call) -> Reply:
        """Answer with the recent events of a request."""
        request = call.arguments[0]
        events = self._parts.decisions.find(request)
        if not events:
            return Reply(404, ErrorReply(error="unknown_request", detail=request))
        return Reply(200, {"request": request, "events": events})

    def _drain_side(self, name: str) -> Reply:
        peer = self._parts.directory.peer(name)
        if peer is None:
            return Reply(404, ErrorReply(error="unknown_side", detail=name))
        pool = Pool(peer.vm.address)
        answer = pool.call("POST", "/control/drain", {}, timeout=DRAIN_TIMEOUT)
        pool.close()
        event(logger, "drain_side", side=name, answer=type(answer).__name__)
        if isinstance(answer, Answer) and answer.status in (200, 202):
            return Reply(202, {"draining": name})
        return Reply(502, ErrorReply(error="side_unreachable", detail=name))


def _unknown_entry(name: str) -> Reply:
    return Reply(404, ErrorReply(error="unknown_catalogue_entry", detail=name))


def _described(row: KnownRow) -> dict[str, Any]:
    """Return a row as operators see it; what is in force differs if it is bad."""
    described = {
        "entry": row.name,
        "revision": row.revision,
        "row": plain(row.value),
        "state": "bad" if row.reason else "in_force",
    }
    if row.reason:
        described["reason"] = row.reason
        described["in_force_revision"] = row.in_force
        described["in_force_row"] = plain(row.good)
    return described


# --- outcomes of an edit -------------------------------------------------------


@singledispatch
def _edit_reply(outcome: EditOutcome) -> Reply:
    raise TypeError(f"not an outcome of an edit: {outcome!r}")


@_edit_reply.register
def _(outcome: Accepted) -> Reply:
    body = {
        "status": "accepted",
        "revision": outcome.revision,
        "seconds": outcome.seconds,
        "fenced": list(outcome.fenced),
    }
    return Reply(200, body)


@_edit_reply.register
def _(outcome: Stored) -> Reply:
    body = {
        "status": "stored",
        "revision": outcome.revision,
        "waiting": sorted(outcome.waiting),
        "reasons": outcome.waiting,
    }
    return Reply(202, body)


@_edit_reply.register
def _(outcome: EditConflict) -> Reply:
    body = {
        "status": "conflict",
        "revision": outcome.revision,
        "row": outcome.row,
        "differences": [asdict(change) for change in outcome.differences],
    }
    return Reply(409, body)


@_edit_reply.register
def _(outcome: EditRejected) -> Reply:
    return Reply(422, {"status": "rejected", "reason": outcome.reason})


@_edit_reply.register
def _(outcome: EditRefused) -> Reply:
    body = ErrorReply(error=outcome.reason, detail=outcome.detail)
    return Reply(503, body, {"Retry-After": "1"})


@_edit_reply.register
def _(outcome: EditUnknown) -> Reply:
    body = {"status": "unknown", "reason": outcome.reason}
    return Reply(504, body, {"Retry-After": "1"})
