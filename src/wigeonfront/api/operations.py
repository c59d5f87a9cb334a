"""The calls to ``/v1`` for operators: the catalogue, the status and a planned stop."""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol
from urllib.parse import parse_qs, unquote

import msgspec

from wigeonfront.api.errors import ApiError
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
    RefusedLotStatus,
    ShareStatus,
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
from wigeonfront.rollout.engine_shares import TrainerShare
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
"""Path at which an entry tells other entries which configuration version it uses."""

HISTORY_PREFIX = "catalogue-history/"
MAX_DOCUMENT_BYTES = 900_000
CONNECT_SECONDS = 0.3
ANSWER_SECONDS = 1.0
RETRY_SECONDS = 0.5


@dataclass(frozen=True, slots=True)
class BadDocument:
    """The result of decoding a document that is not a valid configuration.

    Attributes
    ----------
    reason : str
    """

    reason: str


class CatalogueFormat(Protocol):
    """The format in which the platform stores the configuration."""

    @property
    def key(self) -> str:
        """The key of the configuration's row in the store."""

    def decode(self, value: bytes) -> Configuration | BadDocument:
        """Return the configuration that a document holds."""

    def redact_keys(self, value: bytes) -> bytes:
        """Return a document in which fingerprints replace the API keys."""

    def contains_fingerprints(self, value: bytes) -> bool:
        """Return whether a document names an API key by its fingerprint."""

    def restore_keys(self, value: bytes, current: bytes) -> bytes | BadDocument:
        """Return a document in which API keys replace their fingerprints.

        Parameters
        ----------
        value : bytes
            The document.
        current : bytes
            The stored document, which contains the keys.
        """


class VersionServer:
    """Tells other entries which configuration version this entry uses.

    Parameters
    ----------
    version : callable
        Returns the version of the configuration in force.
    """

    def __init__(self, version: Callable[[], int]) -> None:
        self._version = version

    def answer(self, call: RawCall) -> None:
        """Answer an HTTP call with the version as JSON."""
        call.body(0)
        call.reply(200, msgspec.json.encode(self._version()))


class CatalogueCalls:
    """Reads and changes the configuration.

    Parameters
    ----------
    store : RowStore
    format : CatalogueFormat
    members : callable
        Returns the live entries.
    version : callable
        Returns the version that this entry uses.
    own_member : callable
        Returns the membership record of this process.
    """

    def __init__(
        self,
        store: RowStore,
        format: CatalogueFormat,
        members: Callable[[], list[Member]],
        version: Callable[[], int],
        own_member: Callable[[], Member],
    ) -> None:
        self._store = store
        self._format = format
        self._members = members
        self._version = version
        self._own_member = own_member
        self._pools = Pools(CONNECT_SECONDS)

    def get(self, call: RawCall) -> None:
        """Answer with the stored document, its API keys redacted."""
        row = self._row()
        if isinstance(row, Absent):
            raise ApiError(404, "no_catalogue")
        configuration = self._format.decode(row.value)
        version = 0 if isinstance(configuration, BadDocument) else configuration.version
        document = msgspec.Raw(self._format.redact_keys(row.value))
        call.reply_json(200, CatalogueReply(version, row.revision, document))

    def put(self, call: RawCall) -> None:
        """Replace the stored document if it is still the one that the operator read."""
        change = decode_body(call.body(MAX_DOCUMENT_BYTES), CatalogueChange)
        value = self._restore_keys(bytes(change.document))
        configuration = self._format.decode(value)
        if isinstance(configuration, BadDocument):
            raise ApiError(422, "bad_document", configuration.reason)
        version = configuration.version
        if version <= self._version():
            raise ApiError(
                422, "version_too_low", f"version {self._version()} is in force"
            )
        expected = (Expect(self._format.key, change.expected),)
        redacted = self._format.redact_keys(value)
        puts = (Put(self._format.key, value), Put(_history_key(version), redacted))
        outcome = self._store.write(expected, puts)
        if isinstance(outcome, Stored):
            call.reply_json(200, CatalogueStored(version, outcome.revision))
        elif isinstance(outcome, Mismatch):
            raise ApiError(409, "conflict", "somebody else has changed it")
        elif isinstance(outcome, Unavailable):
            raise ApiError(503, "not_written", outcome.reason, RETRY_SECONDS)
        else:
            raise ApiError(504, "unknown", "it may have been written", RETRY_SECONDS)

    def _restore_keys(self, value: bytes) -> bytes:
        """Return a document in which API keys replace the fingerprints.

        Operators see fingerprints only, and may write a document that contains them.
        """
        if not self._format.contains_fingerprints(value):
            return value
        row = self._row()
        current = row.value if isinstance(row, Row) else b""
        restored = self._format.restore_keys(value, current)
        if isinstance(restored, BadDocument):
            raise ApiError(422, "bad_document", restored.reason)
        return restored

    def history(self, call: RawCall) -> None:
        """Answer with the documents that were stored, oldest first."""
        listing = self._store.list(HISTORY_PREFIX)
        if isinstance(listing, Unavailable):
            raise ApiError(503, "unavailable", listing.reason, RETRY_SECONDS)
        versions = [
            CatalogueVersion(_version_of(row), row.revision, msgspec.Raw(row.value))
            for row in listing.rows
        ]
        call.reply_json(200, sorted(versions, key=lambda version: version.version))

    def in_force(self, call: RawCall) -> None:
        """Answer which entries use the queried version or a newer one."""
        text = parse_qs(call.query).get("version", [""])[-1]
        if not text.isdigit():
            raise ApiError(400, "bad_field", "version")
        wanted = int(text)
        using, behind = [], []
        for member in self._members():
            version = self._version_at(member)
            (using if version >= wanted else behind).append(member.name)
        call.reply_json(200, InForceReply(wanted, sorted(using), sorted(behind)))

    def _version_at(self, member: Member) -> int:
        """Return the version that an entry uses; -1 if it does not answer."""
        if member.name == self._own_member().name:
            return self._version()
        answer = self._pools.post(member.address, VERSION_PATH, b"", ANSWER_SECONDS)
        try:
            return msgspec.json.decode(getattr(answer, "body", b""), type=int)
        except msgspec.DecodeError:
            return -1

    def _row(self) -> Row | Absent:
        row = self._store.get(self._format.key)
        if isinstance(row, Unavailable):
            raise ApiError(503, "unavailable", row.reason, RETRY_SECONDS)
        return row


def _history_key(version: int) -> str:
    return f"{HISTORY_PREFIX}{version:012d}"


def _version_of(row: Row) -> int:
    text = row.key.removeprefix(HISTORY_PREFIX)
    return int(text) if text.isdigit() else 0


@dataclass(frozen=True, slots=True)
class Deployment:
    """Sources of what an entry tells about the deployment.

    Attributes
    ----------
    own_member : callable
        Returns the membership record of this process.
    ready : callable
        Returns whether callers may be sent to this entry.
    version : callable
        Returns the version of the configuration in force.
    members : callable
        Returns the live entries.
    mirror : Mirror
        Mirror of the store, which knows whether the store is reached.
    named_versions : callable
        Returns the newest weight version that was named for each model.
    order_holders : callable
        Returns the names of the VMs that may send orders to engines.
    duties : callable
        Returns the state of the duties that one VM holds at a time.
    services : callable
        Returns the names of the services.
    table : TargetTable
    lots : Lots
    engine_shares : callable
        Returns what is known about each trainer's use of engine slots.
    """

    own_member: Callable[[], Member]
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
    engine_shares: Callable[[], list[TrainerShare]]

    def status(self) -> StatusReply:
        """Return what is known at present."""
        return StatusReply(
            name=self.own_member().name,
            ready=self.ready(),
            configuration_version=self.version(),
            store_reached=self.mirror.ready and not self.mirror.failing,
            named_versions={
                named.model: named.version for named in self.named_versions()
            },
            order_holders=self.order_holders(),
            duties=self.duties(),
            members=sorted(
                (
                    MemberStatus(
                        member.name,
                        member.address,
                        member.failure_domain,
                        member.leaving,
                    )
                    for member in self.members()
                ),
                key=lambda member: member.name,
            ),
            targets=self._targets(),
            lots=[
                LotStatus(id, head.owner, head.state.value, head.total)
                for id, head in sorted(self.lots.heads().items())
            ],
            shares=[
                ShareStatus(
                    known.service,
                    known.trainer,
                    known.weight,
                    known.share,
                    known.running,
                    known.waiting,
                    round(known.age, 3),
                )
                for known in self.engine_shares()
            ],
            refused_lots=[
                RefusedLotStatus(
                    refused.lot,
                    refused.trainer,
                    refused.service,
                    refused.reason,
                    refused.at,
                    refused.retry_after,
                    refused.needed,
                    refused.available,
                )
                for refused in self.lots.refused_lots()
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
                suspected_by=list(view.suspected_by),
            )
            for service in self.services()
            for view in self.table.views(service)
        ]


class OperatorCalls:
    """Answers operators' calls about the entry and the deployment.

    Parameters
    ----------
    deployment : Deployment
    explain : callable
        Returns the remembered log events that name a request, Lot or sample.
    drain : callable
        Starts a planned stop of this entry.
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
        """Answer with the status of the deployment."""
        call.reply_json(200, self._deployment.status())

    def explain(self, call: RawCall) -> None:
        """Answer with the remembered log events of a request, Lot or sample."""
        events = self._explain(unquote(call.path.removeprefix(EXPLAIN_PATH)))
        call.reply_json(200, EventsReply(events))

    def drain(self, call: RawCall) -> None:
        """Start a planned stop, as a stop signal does."""
        call.reply_json(202, {"draining": self._deployment.own_member().name})
        self._drain()
