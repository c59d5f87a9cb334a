"""Bodies of the calls of ``/v1``, checked as they are decoded."""

from typing import Annotated, Any, TypeVar

import msgspec

MOST_SECONDS = 86_400

Name = Annotated[str, msgspec.Meta(min_length=1, max_length=200)]
Seconds = Annotated[float, msgspec.Meta(gt=0, le=MOST_SECONDS)]
Count = Annotated[int, msgspec.Meta(ge=0)]
Tokens = Annotated[int, msgspec.Meta(ge=0, le=10_000_000)]


class RewardBody(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The request that scores a sample: a route's name, a path below it, JSON data."""

    route: Name
    path: str = ""
    payload: Any = None


class SampleBody(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A sample of a Lot.

    Attributes
    ----------
    sample : str
        Unique within the Lot.
    payload : Any
        JSON data that the engine gets.
    group : str
        Samples of one group share a prompt and count only together.
    max_tokens : int
        Tokens that it is expected to generate at most; 0 if unknown.
    reward_call : RewardBody or None
    """

    sample: Name
    payload: Any = None
    group: str = ""
    max_tokens: Tokens = 0
    reward_call: RewardBody | None = None


class LotBody(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A Lot.

    Attributes
    ----------
    trainer, lot : str
        Together they name the Lot for ever.
    route : str
        By its name in the configuration.
    model : str
    version : int
        The trainer's present version of the weights.
    bound : int
        Versions that a sample's weights may be older.
    wanted_groups : int
        Groups that the trainer waits for; 0 for all.
    timeout : float or None
        Seconds after which samples may be given up; by the route if not given.
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
    """The Lot is kept and runs."""

    lot: str
    samples: int


class SampleResult(msgspec.Struct, frozen=True):
    """What became of a sample: ``completed`` or ``given_up``."""

    sample: str
    kind: str
    text: str = ""
    versions: tuple[int, ...] = ()
    score: str = ""


class LotPage(msgspec.Struct, frozen=True):
    """Results from a position on; `next` is the position behind them."""

    total: int
    results: list[SampleResult]
    next: int


class LotName(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Names a Lot that is acknowledged."""

    trainer: Name
    lot: Name


class RequestBody(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A request: a route's name, a path below it, JSON data.

    `model` and `max_tokens` go with requests to engines.
    """

    route: Name
    path: str = ""
    payload: Any = None
    timeout: Seconds = 30.0
    model: str = ""
    max_tokens: Tokens = 0


class OutcomeBody(msgspec.Struct, frozen=True, omit_defaults=True):
    """How a request ended; see `wigeonfront.outcomes`."""

    kind: str
    payload: Any = None
    status: int = 0
    reason: str = ""
    retry_after: float = 0.0
    started: bool = False


class RequestReply(msgspec.Struct, frozen=True):
    """The answer to a request."""

    request: str
    outcome: OutcomeBody


class ErrorReply(msgspec.Struct, frozen=True, omit_defaults=True):
    """A call that was not taken, and why."""

    error: str
    detail: str = ""
    retry_after: float = 0.0


class CatalogueReply(msgspec.Struct, frozen=True):
    """The configuration's document, its version and the revision of its row."""

    version: int
    revision: int
    document: msgspec.Raw


class CatalogueChange(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A document to be written over the row at `expected`."""

    expected: Count
    document: msgspec.Raw


class CatalogueStored(msgspec.Struct, frozen=True):
    """The change is written; entries take it within seconds."""

    version: int
    revision: int


class CatalogueVersion(msgspec.Struct, frozen=True):
    """A version that was applied, and what it held."""

    version: int
    revision: int
    document: msgspec.Raw


class InForceReply(msgspec.Struct, frozen=True):
    """Which entries use a version, and which don't or didn't say."""

    version: int
    in_force: list[str]
    behind: list[str]


class MemberStatus(msgspec.Struct, frozen=True):
    """An entry that lives."""

    name: str
    address: str
    failure_domain: str
    leaving: bool


class TargetStatus(msgspec.Struct, frozen=True):
    """A target as this entry sees it."""

    id: str
    service: str
    address: str
    failure_domain: str
    draining: bool
    available: bool
    in_flight: int
    others: int
    versions: dict[str, int]


class LotStatus(msgspec.Struct, frozen=True):
    """A Lot that an entry knows."""

    lot: str
    owner: str
    state: str
    samples: int


class DutyStatus(msgspec.Struct, frozen=True):
    """A duty of one machine at a time.

    Attributes
    ----------
    duty : str
    holder : str
        Empty while it moves from one machine to another.
    token : int
        Fencing token of what is done under the agreed row.
    last : int
        Newest window of usage that was taken from this entry; 0 for none.
    """

    duty: str
    holder: str
    token: int
    last: int = 0


class StatusReply(msgspec.Struct, frozen=True):
    """What an entry knows of the deployment."""

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


class SuspectStatus(msgspec.Struct, frozen=True):
    """A request under which targets have crashed.

    Attributes
    ----------
    fingerprint : str
    request : str
        Method, host and path of the last one.
    account : str
    service : str
    crashes : int
        Targets that crashed.
    last_crash : float
        Unix time in seconds.
    blocked_seconds : float
        Time for which it is not sent to targets; 0 if it is.
    """

    fingerprint: str
    request: str
    account: str
    service: str
    crashes: int
    last_crash: float
    blocked_seconds: float


class QuarantineReply(msgspec.Struct, frozen=True):
    """Requests under which targets have crashed, those with most crashes first."""

    suspects: list[SuspectStatus]


class ReleasedReply(msgspec.Struct, frozen=True):
    """A request whose crashes are forgotten."""

    released: str


class EventsReply(msgspec.Struct, frozen=True):
    """Log lines of a request that the entry still remembers."""

    events: list[dict[str, str]]


Body = TypeVar("Body")


class BadBody(Exception):  # noqa: N818
    """A body that is not what the call takes."""


def decode_body(data: bytes, kind: type[Body]) -> Body:
    """Return the message that `data` holds.

    Raises
    ------
    BadBody
        With what is wrong.
    """
    try:
        return msgspec.json.decode(data, type=kind)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
        raise BadBody(str(error)[:200]) from error
