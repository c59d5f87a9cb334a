"""The bodies of calls to ``/v1`` and of their answers, validated when decoded."""

from typing import Annotated, Any, TypeVar

import msgspec

MAX_TIMEOUT_SECONDS = 86_400

Name = Annotated[str, msgspec.Meta(min_length=1, max_length=200)]
Seconds = Annotated[float, msgspec.Meta(gt=0, le=MAX_TIMEOUT_SECONDS)]
Count = Annotated[int, msgspec.Meta(ge=0)]
Tokens = Annotated[int, msgspec.Meta(ge=0, le=10_000_000)]


class RewardBody(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The request that scores a sample.

    Attributes
    ----------
    route : str
        Name of the route.
    path : str
        Path below the route's prefix.
    payload : Any
        JSON data that the target gets.
    """

    route: Name
    path: str = ""
    payload: Any = None


class SampleBody(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A sample of a Lot.

    Attributes
    ----------
    sample : str
        Name of the sample, unique within the Lot.
    payload : Any
        JSON data that the engine gets.
    group : str
        Name of the sample's group. Samples of one group share a prompt and count only
        together; empty if the sample is a group by itself.
    max_tokens : int
        Expected upper bound of the number of generated tokens; 0 if unknown.
    reward_call : RewardBody or None
        Request that scores the sample; ``None`` if the sample needs no score.
    """

    sample: Name
    payload: Any = None
    group: str = ""
    max_tokens: Tokens = 0
    reward_call: RewardBody | None = None


class LotBody(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A Lot to submit.

    Attributes
    ----------
    trainer, lot : str
        Names that identify the Lot together; they are never used for another Lot.
    route : str
        Name of the route in the configuration.
    model : str
    samples : list of SampleBody
    version : int
        Current weight version of the trainer.
    bound : int
        Number of versions by which a sample's weights may be older than `version`.
    wanted_groups : int
        Number of groups that the trainer waits for; 0 for all.
    timeout : float or None
        Seconds after which samples may be given up; ``None`` for the route's limit.
    """

    trainer: Name
    lot: Name
    route: Name
    model: Name
    samples: Annotated[list[SampleBody], msgspec.Meta(min_length=1)]
    version: Count = 0
    bound: Count = 0
    wanted_groups: Count = 0
    timeout: Seconds | None = None


class LotAccepted(msgspec.Struct, frozen=True):
    """The answer to a submission: the Lot is stored and will run.

    Attributes
    ----------
    lot : str
        Name of the Lot.
    samples : int
        Number of its samples.
    """

    lot: str
    samples: int


class SampleResult(msgspec.Struct, frozen=True):
    """The result of a sample.

    Attributes
    ----------
    sample : str
        Name of the sample.
    kind : str
        ``completed`` or ``given_up``.
    text : str
    versions : tuple of int
        Weight versions that generated the text.
    score : str
        Answer of the reward call; empty if the sample has none.
    """

    sample: str
    kind: str
    text: str = ""
    versions: tuple[int, ...] = ()
    score: str = ""


class LotPage(msgspec.Struct, frozen=True):
    """Results of a Lot from a requested position on.

    Attributes
    ----------
    total : int
        Number of samples of the Lot.
    results : list of SampleResult
    next : int
        Position of the first result after this page.
    """

    total: int
    results: list[SampleResult]
    next: int


class LotName(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The names of a Lot that the trainer acknowledges."""

    trainer: Name
    lot: Name


class RequestBody(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A single request.

    Attributes
    ----------
    route : str
        Name of the route in the configuration.
    path : str
        Path below the route's prefix.
    payload : Any
        JSON data that the target gets.
    timeout : float
        Seconds until the deadline; the route's timeout applies as well.
    model : str
        Model of the engine; empty for plain services.
    max_tokens : int
        Expected upper bound of the number of generated tokens; 0 if unknown.
    """

    route: Name
    path: str = ""
    payload: Any = None
    timeout: Seconds = 30.0
    model: str = ""
    max_tokens: Tokens = 0


class OutcomeBody(msgspec.Struct, frozen=True, omit_defaults=True):
    """The outcome of a request, see `wigeonfront.outcomes`."""

    kind: str
    payload: Any = None
    status: int = 0
    reason: str = ""
    retry_after: float = 0.0
    started: bool = False


class RequestReply(msgspec.Struct, frozen=True):
    """The answer to a request: its id and its outcome."""

    request: str
    outcome: OutcomeBody


class ErrorReply(msgspec.Struct, frozen=True, omit_defaults=True):
    """The answer to a call that failed.

    Attributes
    ----------
    error : str
        Short error code for programs.
    detail : str
        Explanation for people.
    retry_after : float
        Seconds after which the caller may retry; 0 if not given.
    """

    error: str
    detail: str = ""
    retry_after: float = 0.0


class CatalogueReply(msgspec.Struct, frozen=True):
    """The stored configuration document, its version and the revision of its row."""

    version: int
    revision: int
    document: msgspec.Raw


class CatalogueChange(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A new configuration document.

    Attributes
    ----------
    expected : int
        Revision of the row that the document replaces; another revision is a conflict.
    document : msgspec.Raw
    """

    expected: Count
    document: msgspec.Raw


class CatalogueStored(msgspec.Struct, frozen=True):
    """The change is stored; the entries use it within seconds."""

    version: int
    revision: int


class CatalogueVersion(msgspec.Struct, frozen=True):
    """A version of the configuration that was stored, with its document."""

    version: int
    revision: int
    document: msgspec.Raw


class InForceReply(msgspec.Struct, frozen=True):
    """Which entries use a version of the configuration.

    Attributes
    ----------
    version : int
    in_force : list of str
        Names of the entries that use `version` or a newer one.
    behind : list of str
        Names of the entries that use an older one or did not answer.
    """

    version: int
    in_force: list[str]
    behind: list[str]


class MemberStatus(msgspec.Struct, frozen=True):
    """A live entry.

    Attributes
    ----------
    name, address, failure_domain : str
    leaving : bool
        Whether the entry is about to stop.
    """

    name: str
    address: str
    failure_domain: str
    leaving: bool


class TargetStatus(msgspec.Struct, frozen=True):
    """A target as this entry sees it.

    Attributes
    ----------
    id, service, address, failure_domain : str
    draining : bool
    available : bool
    in_flight : int
        Requests of this entry that the target runs.
    others : int
        Runs that other owners of Lots have on the target, as far as known.
    versions : dict of str to int
        Weight version for each model.
    suspected_by : list of str
        Names of the entries whose reports make this entry choose the target last.
    """

    id: str
    service: str
    address: str
    failure_domain: str
    draining: bool
    available: bool
    in_flight: int
    others: int
    versions: dict[str, int]
    suspected_by: list[str] = []


class LotStatus(msgspec.Struct, frozen=True):
    """A Lot that an entry knows.

    Attributes
    ----------
    lot : str
        Id of the Lot.
    owner : str
        Incarnation of the entry that runs the Lot; empty for none.
    state : str
    samples : int
        Number of its samples.
    """

    lot: str
    owner: str
    state: str
    samples: int


class DutyStatus(msgspec.Struct, frozen=True):
    """A duty that one VM holds at a time.

    Attributes
    ----------
    duty : str
    holder : str
        Name of the VM; empty while the duty moves from one VM to another.
    token : int
        Fencing token of the duty: the revision of the assignment row.
    last : int
        Newest usage window that the platform has accepted from this entry; 0 for none.
    """

    duty: str
    holder: str
    token: int
    last: int = 0


class ShareStatus(msgspec.Struct, frozen=True):
    """A trainer's use of the engine slots of one service.

    Attributes
    ----------
    service : str
    trainer : str
        Client account, route and model of the trainer's Lots.
    weight : float
        Weight of the trainer while slots are short.
    share : int or None
        Slots that the trainer may use; null while the slots are not divided.
    running, waiting : int
        Samples at engines, and wanted samples that are at none.
    age : float
        Seconds since the oldest report about the trainer's Lots.
    """

    service: str
    trainer: str
    weight: float
    share: int | None
    running: int
    waiting: int
    age: float


class RefusedLotStatus(msgspec.Struct, frozen=True):
    """A Lot that an entry has refused, as the engines could not serve it in time.

    Attributes
    ----------
    lot : str
        Id of the Lot.
    trainer : str
        Account, route and model of its trainer.
    service : str
    reason : str
    at : float
        Unix time in seconds.
    retry_after : float
        Seconds after which the trainer was told to return.
    needed : float
        Seconds of engine slots until the Lot's first group would be whole.
    available : float
        Seconds of engine slots that its trainer would get while the Lot is of use.
    """

    lot: str
    trainer: str
    service: str
    reason: str
    at: float
    retry_after: float
    needed: float
    available: float


class StatusReply(msgspec.Struct, frozen=True):
    """What an entry knows about the deployment.

    Attributes
    ----------
    name : str
        Name of the entry.
    ready : bool
        Whether callers may be sent to the entry.
    configuration_version : int
        Version of the configuration that the entry uses.
    store_reached : bool
        Whether the entry can reach the store.
    named_versions : dict of str to int
        For each model, the newest weight version that was named to the entry.
    order_holders : list of str
        Names of the VMs that may send orders to engines.
    duties : list of DutyStatus
    members : list of MemberStatus
    targets : list of TargetStatus
    lots : list of LotStatus
    shares : list of ShareStatus
        Trainers with open work, as far as the entry knows.
    refused_lots : list of RefusedLotStatus
        The Lots that this entry has refused lately for want of engines, newest first.
    """

    name: str
    ready: bool
    configuration_version: int
    store_reached: bool
    named_versions: dict[str, int]
    order_holders: list[str]
    duties: list[DutyStatus]
    members: list[MemberStatus]
    targets: list[TargetStatus]
    lots: list[LotStatus]
    shares: list[ShareStatus] = []
    refused_lots: list[RefusedLotStatus] = []


class SuspectStatus(msgspec.Struct, frozen=True):
    """A request that targets were running when they crashed.

    Attributes
    ----------
    fingerprint : str
    request : str
        Method, host and path of the request at the last crash.
    account : str
    service : str
    crashes : int
        Number of targets that crashed.
    last_crash : float
        Unix time in seconds.
    blocked_seconds : float
        Time left in quarantine, during which the request is not sent to targets; 0 if
        it is not quarantined.
    """

    fingerprint: str
    request: str
    account: str
    service: str
    crashes: int
    last_crash: float
    blocked_seconds: float


class QuarantineReply(msgspec.Struct, frozen=True):
    """Requests that targets were running when they crashed, most crashes first."""

    suspects: list[SuspectStatus]


class ReleasedReply(msgspec.Struct, frozen=True):
    """The fingerprint of a request whose crash records were removed."""

    released: str


class EventsReply(msgspec.Struct, frozen=True):
    """Log events about a request, sample or Lot that the entry still remembers."""

    events: list[dict[str, str]]


Body = TypeVar("Body")


class BodyError(Exception):
    """The body of a call is malformed or has fields that the call does not accept."""


def decode_body(data: bytes, kind: type[Body]) -> Body:
    """Decode the JSON text `data` as a message of type `kind`.

    Raises
    ------
    BodyError
        If `data` is no such message; its text says what is wrong.
    """
    try:
        return msgspec.json.decode(data, type=kind)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
        raise BodyError(str(error)[:200]) from error
