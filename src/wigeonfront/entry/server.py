"""The entry's HTTP surface: callers, trainers and operators."""

import logging
import threading
import uuid
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass, replace
from math import ceil
from typing import Any

from wigeonfront.catalogue import CatalogueEntry
from wigeonfront.clock import Clock
from wigeonfront.coordination import slots
from wigeonfront.coordination.keyed_work import EARLIER_MAY_HAVE_RUN
from wigeonfront.entry.admission import EntryAdmission, Ticket
from wigeonfront.entry.control import Control
from wigeonfront.entry.directory import Announcements, Directory
from wigeonfront.entry.dispatch import Work
from wigeonfront.entry.lots import Lots, LotTerms
from wigeonfront.entry.peers import Identity
from wigeonfront.entry.progress import CallProgress, ProgressTable
from wigeonfront.entry.requests import Requests
from wigeonfront.entry.slots import (
    TABLES_PATH,
    SlotMover,
    SlotTables,
    TablesQuestion,
)
from wigeonfront.http import Application, Call, Reply
from wigeonfront.logs import event
from wigeonfront.messages import (
    DeliveryRequest,
    ErrorReply,
    KeyBody,
    KeyReply,
    LotAcknowledgement,
    LotBody,
    LotReply,
    RequestBody,
    RequestReply,
    to_wire,
)
from wigeonfront.metrics import Registry
from wigeonfront.outcomes import Expired, NotRun, Outcome, http_status

logger = logging.getLogger(__name__)

LOT_STATUSES = {
    "complete": 200,
    "partial": 504,
    "superseded": 409,
    "already_delivered": 410,
    "not_run": 503,
}
MAX_KEY_LENGTH = 200
RETRY_SECONDS = 1.0


@dataclass(frozen=True, slots=True)
class EntryParts:
    """What the server of an entry speaks for."""

    identity: Identity
    clock: Clock
    max_callers: int
    control: Control
    admission: EntryAdmission
    directory: Directory
    announcements: Announcements
    requests: Requests
    lots: Lots
    slots: SlotTables
    mover: SlotMover
    metrics: Registry


class EntryServer:
    """Handlers of an entry's calls.

    Parameters
    ----------
    parts : EntryParts
    """

    def __init__(self, parts: EntryParts) -> None:
        self._parts = parts
        self._lock = threading.Lock()
        self._callers = 0
        self._leaving = False
        self._progress = ProgressTable(parts.identity.name, parts.clock)
        metrics = parts.metrics
        self._answers = metrics.counter(
            "wigeonfront_answers_total",
            "Requests and Lots answered, by outcome.",
            ("service", "outcome"),
        )
        self._seconds = metrics.histogram(
            "wigeonfront_answer_seconds",
            "Seconds from a call to its answer.",
            ("service", "kind"),
        )

    @property
    def in_flight(self) -> int:
        """Callers being served."""
        with self._lock:
            return self._callers

    @property
    def leaving(self) -> bool:
        """Whether nothing new is admitted."""
        return self._leaving

    def leave(self) -> None:
        """Admit nothing new from now on."""
        self._leaving = True
        event(logger, "leaving", in_flight=self.in_flight)

    def caller_routes(self, application: Application) -> None:
        """Add the callers' routes."""
        application.route("POST", "/v1/services/*/requests", self.request)
        application.route("POST", "/v1/lots", self.lot)
        application.route("POST", "/v1/lots/acknowledge", self.acknowledge)
        application.route("GET", "/v1/lots/*/*", self.lot_progress)
        application.route("GET", "/v1/requests/*", self.request_progress)
        application.route("POST", "/v1/services/*/keys", self.mint_key)
        application.route("POST", TABLES_PATH, self.slot_tables)
        application.route("GET", "/health", self.health)
        application.route("GET", "/ready", self.ready)
        application.route("GET", "/metrics", self.metrics)

    # --- callers -------------------------------------------------------------

    def request(self, call: Call) -> Reply:
        """Answer one request."""
        service = call.arguments[0]
        body = call.decode(RequestBody)
        key = call.header("Idempotency-Key")
        if len(key) > MAX_KEY_LENGTH:
            return _bad(422, "bad_key", f"at most {MAX_KEY_LENGTH} characters")
        request = call.header("X-Request-Id")[:MAX_KEY_LENGTH] or uuid.uuid4().hex[:16]
        row = self._terms(body.catalogue_entry, service)
        if isinstance(row, NotRun):
            return _outcome_reply(request, _for_key(row, key, body))
        if isinstance(row, Reply):
            return row
        started = self._parts.clock.monotonic()
        with self._progress.call(request), self._caller() as refusal:
            outcome = refusal
            if refusal is None:
                work = self._work(service, body, row, key, request, started)
                outcome = self._run_request(work, body, row, call)
        self._note(service, "request", type(outcome).__name__, started)
        return _outcome_reply(request, _for_key(outcome, key, body))

    def lot(self, call: Call) -> Reply:
        """Answer a Lot whole."""
        body = call.decode(LotBody)
        names = {sample.sample for sample in body.samples}
        if len(names) != len(body.samples):
            return _bad(422, "duplicate_sample", "a sample stands twice in the Lot")
        row = self._terms(body.catalogue_entry, body.service)
        if isinstance(row, NotRun):
            return _lot_reply(_lot_not_run(body, row), "")
        if isinstance(row, Reply):
            return row
        if row.work_class != "rollout":
            return _bad(403, "not_a_rollout_entry", body.catalogue_entry)
        most = row.limits.concurrency
        if most is not None and len(body.samples) > most:
            return _bad(422, "lot_over_concurrency_limit", f"at most {most} samples")
        started = self._parts.clock.monotonic()
        holder = f"lot-{uuid.uuid4().hex[:16]}"
        key = (body.trainer, body.lot, body.submission)
        progress = self._progress.call(key, len(body.samples))
        with progress as standing, self._caller() as refusal:
            if refusal is None:
                reply = self._admit_lot(body, row, holder, call, standing)
            else:
                reply = _lot_not_run(body, refusal)
        if reply is None:
            return Reply(499, ErrorReply(error="caller_gone"))
        self._note(body.service, "lot", reply.status, started)
        return _lot_reply(reply, holder)

    def acknowledge(self, call: Call) -> Reply:
        """End a Lot: its trainer has the whole answer."""
        body = call.decode(LotAcknowledgement)
        key = f"{body.trainer}/{body.lot}"
        owner = self._parts.slots.owner(body.service, key)
        peer = self._parts.directory.reach(owner.side) if owner else None
        status = "unreachable"
        if peer is not None:
            request = DeliveryRequest(
                step="acknowledge", key=key, service=body.service, epoch=owner.epoch
            )
            reply = peer.deliver(request)
            status = status if reply is None else reply.status
        event(logger, "acknowledged", lot=key, status=status)
        if status in ("granted", "already_delivered"):
            return Reply(200, {"status": "acknowledged"})
        return Reply(
            503,
            ErrorReply(error="not_acknowledged", detail=status),
            _retry_header(RETRY_SECONDS),
        )

    def lot_progress(self, call: Call) -> Reply:
        """Answer how a submission of a Lot stands at this entry."""
        trainer, lot = (_segment(each) for each in call.arguments)
        submission = call.query("submission", "1")
        if not submission.isdecimal():
            return _bad(422, "bad_submission", submission[:MAX_KEY_LENGTH])
        return Reply(200, self._progress.reply((trainer, lot, int(submission))))

    def request_progress(self, call: Call) -> Reply:
        """Answer how a request stands at this entry, by its ``X-Request-Id``."""
        return Reply(200, self._progress.reply(_segment(call.arguments[0])))

    def mint_key(self, call: Call) -> Reply:
        """Answer with a new idempotency key, which carries its slot's epoch."""
        service = call.arguments[0]
        body = call.decode(KeyBody)
        row = self._terms(body.catalogue_entry, service)
        if isinstance(row, NotRun):
            return _outcome_reply("", row)
        if isinstance(row, Reply):
            return row
        known = self._parts.slots.known(service)
        if known is None:
            return _outcome_reply("", NotRun("no_slot_owner", RETRY_SECONDS))
        prefix = f"{body.catalogue_entry}/"
        key = slots.mint(prefix, uuid.uuid4().hex, known.table)
        return Reply(200, KeyReply(key=key))

    def slot_tables(self, call: Call) -> Reply:
        """Answer another entry which slot table is in force here."""
        return Reply(200, self._parts.mover.answer(call.decode(TablesQuestion)))

    # --- operators -----------------------------------------------------------

    def health(self, call: Call) -> Reply:
        """Answer that the process runs."""
        return Reply(200, {"status": "ok", "name": self._parts.identity.name})

    def ready(self, call: Call) -> Reply:
        """Answer whether new work is admitted, for the balancer."""
        reason = self._not_ready()
        body = {"ready": not reason, "reason": reason or "ok"}
        return Reply(503 if reason else 200, body)

    def metrics(self, call: Call) -> Reply:
        """Answer with the metrics as text for a scraper."""
        text = self._parts.metrics.render_text()
        return Reply(200, text.encode(), content_type="text/plain; version=0.0.4")

    def describe(self) -> dict[str, Any]:
        """Return what an operator asks of an entry, as JSON data."""
        parts = self._parts
        sides = [
            view
            for service in sorted(parts.directory.services)
            for view in parts.directory.views(service)
        ]
        return {
            "name": parts.identity.name,
            "incarnation": parts.identity.incarnation,
            "leaving": self._leaving,
            "in_flight": self.in_flight,
            **parts.control.describe(),
            "sides_behind": parts.directory.behind(),
            "sides": sides,
            "metrics": parts.metrics.snapshot(),
        }

    # --- helpers -------------------------------------------------------------

    def _terms(self, name: str, service: str) -> CatalogueEntry | NotRun | Reply:
        """Return the catalogue entry if it may draw on `service`."""
        starting = self._parts.control.starting
        if starting:
            return NotRun(starting, RETRY_SECONDS)
        row = self._parts.control.catalogue.get(name)
        if row is None:
            return _bad(403, "no_such_catalogue_entry", name)
        if not row.enabled:
            return _bad(403, "catalogue_entry_disabled", name)
        if service not in row.services:
            if service not in self._parts.directory.services:
                return _bad(404, "no_such_service", service)
            return _bad(403, "service_not_in_catalogue_entry", service)
        refusal = self._parts.control.membership.refusal(row.work_class)
        return refusal or row

    def _work(
        self,
        service: str,
        body: RequestBody,
        row: CatalogueEntry,
        key: str,
        request: str,
        started: float,
    ) -> Work:
        min_version = -1
        if body.version is not None:
            min_version = max(0, body.version - _bound(row, body.bound))
            self._parts.announcements.announce(service, body.version)
        return Work(
            request=request,
            service=service,
            payload=body.payload,
            work_class=row.work_class,
            deadline=started + body.timeout,
            idempotent=body.idempotent,
            key=f"{body.catalogue_entry}/{key}" if key else "",
            unsent_at=body.slot_epoch if body.submission == 1 else 0,
            prefix=body.prefix,
            max_tokens=body.max_tokens,
            min_version=min_version,
        )

    def _run_request(
        self, work: Work, body: RequestBody, row: CatalogueEntry, call: Call
    ) -> Outcome:
        admission = self._parts.admission
        ticket = admission.admit(
            work.request, body.catalogue_entry, row, work.service, body.timeout
        )
        if not isinstance(ticket, Ticket):
            return ticket
        outcome = None
        try:
            outcome = self._parts.requests.run(work, call.caller_gone)
            return outcome
        finally:
            admission.finished(ticket, outcome)

    def _admit_lot(
        self,
        body: LotBody,
        row: CatalogueEntry,
        holder: str,
        call: Call,
        standing: CallProgress,
    ) -> LotReply | None:
        admission = self._parts.admission
        ticket = admission.admit(
            holder,
            body.catalogue_entry,
            row,
            body.service,
            body.timeout,
            len(body.samples),
        )
        if not isinstance(ticket, Ticket):
            return _lot_not_run(body, ticket)
        try:
            return self._run_lot(body, row, holder, call, standing)
        finally:
            admission.finished(ticket, None)

    def _run_lot(
        self,
        body: LotBody,
        row: CatalogueEntry,
        holder: str,
        call: Call,
        standing: CallProgress,
    ) -> LotReply | None:
        self._parts.announcements.announce(body.service, body.version)
        min_version = max(0, body.version - _bound(row, body.bound))
        terms = LotTerms(body.catalogue_entry, min_version)
        return self._parts.lots.run(
            body, terms, holder, call.caller_gone, standing.tell
        )

    def _not_ready(self) -> str:
        if self._leaving:
            return "leaving"
        return self._parts.control.starting

    @contextmanager
    def _caller(self) -> Iterator[NotRun | None]:
        """Count a caller in, or say why it is refused."""
        with self._lock:
            refusal = None
            if self._leaving:
                refusal = NotRun("leaving", RETRY_SECONDS)
            elif self._callers >= self._parts.max_callers:
                refusal = NotRun("entry_full", RETRY_SECONDS)
            else:
                self._callers += 1
        try:
            yield refusal
        finally:
            if refusal is None:
                with self._lock:
                    self._callers -= 1

    def _note(self, service: str, kind: str, outcome: str, started: float) -> None:
        seconds = self._parts.clock.monotonic() - started
        self._answers.increment(service=service, outcome=outcome.lower())
        self._seconds.observe(seconds, service=service, kind=kind)


def _bound(row: CatalogueEntry, asked: int) -> int:
    return asked if row.bound is None else min(asked, row.bound)


def _segment(text: str) -> str:
    """Return a name from a path, of which the server has left ``%2F`` encoded."""
    return text.encode("latin-1").decode("utf-8", "replace").replace("%2F", "/")


def _for_key(outcome: Outcome, key: str, body: RequestBody) -> Outcome:
    """Return `outcome` so that it speaks of earlier submissions of a key as it may."""
    if not key or body.idempotent:
        return outcome
    if body.submission == 1:
        # Its caller knows of no earlier one.
        return _for_first(outcome)
    if isinstance(outcome, NotRun) and not outcome.warning:
        return replace(outcome, warning=EARLIER_MAY_HAVE_RUN)
    if isinstance(outcome, Expired):
        return replace(outcome, started=True)
    return outcome


def _for_first(outcome: Outcome) -> Outcome:
    """Return a refusal without the warning; one for lost records ends at once."""
    if not isinstance(outcome, NotRun):
        return outcome
    retry_after = RETRY_SECONDS if outcome.slot_epoch else outcome.retry_after
    return replace(outcome, warning="", retry_after=retry_after)


def _bad(status: int, error: str, detail: str) -> Reply:
    return Reply(status, ErrorReply(error=error, detail=detail))


def _retry_header(seconds: float) -> dict[str, str]:
    return {"Retry-After": str(max(1, ceil(seconds)))} if seconds > 0 else {}


def _outcome_reply(request: str, outcome: Outcome) -> Reply:
    retry_after = 0.0
    if isinstance(outcome, NotRun | Expired):
        retry_after = outcome.retry_after
    headers = {"X-Request-Id": request, **_retry_header(retry_after)}
    reply = RequestReply(request=request, outcome=to_wire(outcome))
    return Reply(http_status(outcome), reply, headers)


def _lot_reply(reply: LotReply, holder: str) -> Reply:
    headers = {"X-Request-Id": holder, **_retry_header(reply.retry_after)}
    return Reply(LOT_STATUSES[reply.status], reply, headers)


def _lot_not_run(body: LotBody, refusal: NotRun | Expired) -> LotReply:
    return LotReply(
        trainer=body.trainer,
        lot=body.lot,
        submission=body.submission,
        status="not_run",
        missing=len(body.samples),
        reason=getattr(refusal, "reason", "expired"),
        retry_after=refusal.retry_after,
    )
