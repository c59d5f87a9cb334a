"""The calls of ``/v1`` for operators: the catalogue, the status, a planned stop."""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol
from urllib.parse import parse_qs, unquote

import msgspec

from wigeonfront.api.errors import Refused
from wigeonfront.api.messages import (
    CatalogueChange,
    CatalogueReply,
    CatalogueStored,
    CatalogueVersion,
    DutyStatus,
    EventsReply,
    InForceReply,
    LotStatus,
    MemberStatus,
    StatusReply,
    TargetStatus,
    decode_body,
)
from wigeonfront.configuration import Configuration
from wigeonfront.coordination.membership import Member
from wigeonfront.coordination.mirror import Mirror
from wigeonfront.coordination.rows import (
    Absent,
    Expect,
    Mismatch,
    Put,
    Row,
    RowStore,
    Stored,
    Unavailable,
)
from wigeonfront.http.pools import Pools
from wigeonfront.http.raw import RawCall
from wigeonfront.rollout.lots import Lots
from wigeonfront.targets.table import TargetTable
from wigeonfront.weights.plan import NamedVersion

CATALOGUE_PATH = "/v1/catalogue"
HISTORY_PATH = "/v1/catalogue/history"
IN_FORCE_PATH = "/v1/catalogue/in-force"
STATUS_PATH = "/v1/status"
EXPLAIN_PATH = "/v1/explain/"
DRAIN_PATH = "/v1/drain"

VERSION_PATH = "/configuration-version"
"""At which processes ask each other for the version that they use."""

HISTORY_PREFIX = "catalogue-history/"
MOST_DOCUMENT_BYTES = 900_000
CONNECT_SECONDS = 0.3
ANSWER_SECONDS = 1.0
RETRY_SECONDS = 0.5


@dataclass(frozen=True, slots=True)
class BadDocument:
    """A document that is no configuration."""

    reason: str


class CatalogueFormat(Protocol):
    """How the platform writes the configuration; its adapter knows."""

    @property
    def key(self) -> str:
        """The key of the row."""

    def decode(self, value: bytes) -> Configuration | BadDocument:
        """Return the configuration that a document holds."""

    def redact_keys(self, value: bytes) -> bytes:
        """Return a document with fingerprints in place of keys."""

    def contains_fingerprints(self, value: bytes) -> bool:
        """Tell whether a document names a key by its fingerprint."""

    def restore_keys(self, value: bytes, present: bytes) -> bytes | BadDocument:
        """Return a document with the keys that its fingerprints stand for."""


class VersionServer:
    """Tells other entries which version of the configuration is used here.

    Parameters
    ----------
    version : callable
    """

    def __init__(self, version: Callable[[], int]) -> None:
        self._version = version

    def answer(self, call: RawCall) -> None:
        """Answer one call over HTTP."""
        call.body(0)
        call.reply(200, msgspec.json.encode(self._version()))


class CatalogueCalls:
    """Reads and changes the configuration.

    Parameters
    ----------
    store : RowStore
    format : CatalogueFormat
    members : callable
        Returns the entries that live.
    version : callable
        Returns the version that this entry uses.
    me : callable
        Returns this entry as a member.
    """

    def __init__(
        self,
        store: RowStore,
        format: CatalogueFormat,
        members: Callable[[], list[Member]],
        version: Callable[[], int],
        me: Callable[[], Member],
    ) -> None:
        self._store = store
        self._format = format
        self._members = members
        self._version = version
        self._me = me
        self._pools = Pools(CONNECT_SECONDS)

    def get(self, call: RawCall) -> None:
        """Answer with the newest document."""
        row = self._row()
        if isinstance(row, Absent):
            raise Refused(404, "no_catalogue")
        configuration = self._format.decode(row.value)
        version = 0 if isinstance(configuration, BadDocument) else configuration.version
        document = msgspec.Raw(self._format.redact_keys(row.value))
        call.reply_json(200, CatalogueReply(version, row.revision, document))

    def put(self, call: RawCall) -> None:
        """Write a document over the one that the operator has seen."""
        change = decode_body(call.body(MOST_DOCUMENT_BYTES), CatalogueChange)
        value = self._restored(bytes(change.document))
        configuration = self._format.decode(value)
        if isinstance(configuration, BadDocument):
            raise Refused(422, "bad_document", configuration.reason)
        version = configuration.version
        if version <= self._version():
            raise Refused(422, "version_too_low", f"{self._version()} is in force")
        expected = (Expect(self._format.key, change.expected),)
        told = self._format.redact_keys(value)
        puts = (Put(self._format.key, value), Put(_history_key(version), told))
        outcome = self._store.write(expected, puts)
        if isinstance(outcome, Stored):
            call.reply_json(200, CatalogueStored(version, outcome.revision))
        elif isinstance(outcome, Mismatch):
            raise Refused(409, "conflict", "somebody else has changed it")
        elif isinstance(outcome, Unavailable):
            raise Refused(503, "not_written", outcome.reason, RETRY_SECONDS)
        else:
            raise Refused(504, "unknown", "it may have been written", RETRY_SECONDS)

    def _restored(self, value: bytes) -> bytes:
        """Return a document with the keys that the operator could not see."""
        if not self._format.contains_fingerprints(value):
            return value
        row = self._row()
        present = row.value if isinstance(row, Row) else b""
        restored = self._format.restore_keys(value, present)
        if isinstance(restored, BadDocument):
            raise Refused(422, "bad_document", restored.reason)
        return restored

    def history(self, call: RawCall) -> None:
        """Answer with the documents that were applied, the oldest first."""
        listing = self._store.list(HISTORY_PREFIX)
        if isinstance(listing, Unavailable):
            raise Refused(503, "unavailable", listing.reason, RETRY_SECONDS)
        versions = [
            CatalogueVersion(_version_of(row), row.revision, msgspec.Raw(row.value))
            for row in listing.rows
        ]
        call.reply_json(200, sorted(versions, key=lambda one: one.version))

    def in_force(self, call: RawCall) -> None:
        """Answer which entries use a version, or a newer one."""
        text = parse_qs(call.query).get("version", [""])[-1]
        if not text.isdigit():
            raise Refused(400, "bad_field", "version")
        wanted = int(text)
        using, behind = [], []
        for member in self._members():
            used = self._version_at(member)
            (using if used >= wanted else behind).append(member.name)
        call.reply_json(200, InForceReply(wanted, sorted(using), sorted(behind)))

    def _version_at(self, member: Member) -> int:
        """Return the version that an entry uses; -1 where it does not tell."""
        if member.name == self._me().name:
            return self._version()
        answer = self._pools.post(member.address, VERSION_PATH, b"", ANSWER_SECONDS)
        try:
            return msgspec.json.decode(getattr(answer, "body", b""), type=int)
        except msgspec.DecodeError:
            return -1

    def _row(self) -> Row | Absent:
        row = self._store.get(self._format.key)
        if isinstance(row, Unavailable):
            raise Refused(503, "unavailable", row.reason, RETRY_SECONDS)
        return row


def _history_key(version: int) -> str:
    return f"{HISTORY_PREFIX}{version:012d}"


def _version_of(row: Row) -> int:
    text = row.key.removeprefix(HISTORY_PREFIX)
    return int(text) if text.isdigit() else 0


@dataclass(frozen=True, slots=True)
class Deployment:
    """What an entry tells of the deployment.

    Attributes
    ----------
    me : callable
        Returns this entry as a member.
    ready : callable
    version : callable
        Returns the version of the configuration in force.
    members : callable
    mirror : Mirror
        Tells whether the store is reached.
    named_versions : callable
        Returns the newest named versions.
    order_holders : callable
        Returns the machines that order engines.
    duties : callable
        Returns what is known of the duties of one machine at a time.
    services : callable
        Returns the names of the services.
    table : TargetTable
    lots : Lots
    """

    me: Callable[[], Member]
    ready: Callable[[], bool]
    version: Callable[[], int]
    members: Callable[[], list[Member]]
    mirror: Mirror
    named_versions: Callable[[], list[NamedVersion]]
    order_holders: Callable[[], list[str]]
    duties: Callable[[], list[DutyStatus]]
    services: Callable[[], list[str]]
    table: TargetTable
    lots: Lots

    def status(self) -> StatusReply:
        """Return what is known now."""
        return StatusReply(
            name=self.me().name,
            ready=self.ready(),
            configuration_version=self.version(),
            store_reached=self.mirror.ready and not self.mirror.failing,
            named_versions={one.model: one.version for one in self.named_versions()},
            order_holders=self.order_holders(),
            duties=self.duties(),
            members=sorted(
                (
                    MemberStatus(one.name, one.address, one.failure_domain, one.leaving)
                    for one in self.members()
                ),
                key=lambda one: one.name,
            ),
            targets=self._targets(),
            lots=[
                LotStatus(id, head.owner, head.state.value, head.total)
                for id, head in sorted(self.lots.heads().items())
            ],
        )

    def _targets(self) -> list[TargetStatus]:
        return [
            TargetStatus(
                id=view.target.id,
                service=view.target.service,
                address=view.target.address,
                failure_domain=view.target.failure_domain,
                draining=view.draining,
                available=view.available,
                in_flight=view.in_flight,
                others=view.others,
                versions=dict(view.versions),
            )
            for service in self.services()
            for view in self.table.views(service)
        ]


class OperatorCalls:
    """Answers about the entry itself.

    Parameters
    ----------
    deployment : Deployment
    explain : callable
        Returns the remembered events that name a request, Lot or sample.
    drain : callable
        Begins a planned stop.
    """

    def __init__(
        self,
        deployment: Deployment,
        explain: Callable[[str], list[dict[str, str]]],
        drain: Callable[[], None],
    ) -> None:
        self._deployment = deployment
        self._explain = explain
        self._drain = drain

    def status(self, call: RawCall) -> None:
        """Answer with what is known of the deployment."""
        call.reply_json(200, self._deployment.status())

    def explain(self, call: RawCall) -> None:
        """Answer with the remembered events of a request."""
        events = self._explain(unquote(call.path.removeprefix(EXPLAIN_PATH)))
        call.reply_json(200, EventsReply(events))

    def drain(self, call: RawCall) -> None:
        """Begin a planned stop, as a stop signal does."""
        call.reply_json(202, {"draining": self._deployment.me().name})
        self._drain()
