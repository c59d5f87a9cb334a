"""Messages at the borders: callers' bodies and the peer session's frames.

All are `msgspec` structs, so that decoding validates types and ranges. Inside
the processes, outcomes travel as the data classes of `wigeonfront.outcomes`;
`to_wire` and `from_wire` convert. Times are remaining seconds, never points in
time, because clocks of two VMs differ.
"""

from functools import singledispatch
from typing import Annotated, Any, Literal

import msgspec

from wigeonfront.outcomes import (
    Completed,
    Expired,
    Failed,
    Interrupted,
    NotRun,
    Outcome,
    Unknown,
    VersionSpan,
)

Name = Annotated[str, msgspec.Meta(min_length=1, max_length=200)]
Seconds = Annotated[float, msgspec.Meta(gt=0, le=86_400)]
Count = Annotated[int, msgspec.Meta(ge=0)]
WorkClass = Literal["interactive", "booking", "rollout"]

MAX_LOT_SAMPLES = 4096
# Why a Lot is ``partial``: the next submission can be answered at once.
RECORDS_LOST = "delivery_records_lost"


class Message(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """Base of the messages; unknown fields are ignored for rolling upgrades."""


class CallerMessage(Message, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Base of callers' bodies; a misspelt field is an error."""


# --- callers -----------------------------------------------------------------


class RequestBody(CallerMessage, frozen=True, kw_only=True):
    """One request of a caller to a service.

    Attributes
    ----------
    payload : Any
        JSON data handed to the target.
    catalogue_entry : str
        The catalogue entry under which the caller draws.
    idempotent : bool
        ``False``: runs at most once, whatever fails.
    timeout : float
        Seconds within which the caller wants its answer.
    submission : int
        1 when this is the first time that the caller sends its idempotency key,
        higher when it repeats it, 0 when it doesn't say.
    slot_epoch : int
        From a refusal of a first submission as ``key_records_lost``: sent again
        as the first with this number, the key runs although older records are
        lost. Without it a first submission doesn't, because it may have been
        under way since before the loss, and a repeat may have overtaken it.
    prefix : str
        Requests of the same prefix share cached prompt tokens.
    max_tokens : int
        Most tokens to generate; ignored by plain services.
    version, bound : int
        The caller's weight version and how many versions older an answer may be.
    """

    payload: Any = None
    catalogue_entry: Name
    idempotent: bool = True
    timeout: Seconds = 30.0
    submission: Count = 0
    slot_epoch: Count = 0
    prefix: str = ""
    max_tokens: Annotated[int, msgspec.Meta(ge=1, le=1_000_000)] = 64
    version: Count | None = None
    bound: Count = 0


class KeyBody(CallerMessage, frozen=True, kw_only=True):
    """A caller asks for an idempotency key."""

    catalogue_entry: Name


class KeyReply(Message, frozen=True, kw_only=True):
    """A key never given before; it runs at once even after its owner was lost."""

    key: str


class LotSample(CallerMessage, frozen=True, kw_only=True):
    """One sample of a Lot.

    Attributes
    ----------
    sample : str
        Identifier, unique within the Lot.
    payload : Any
        JSON data handed to the engine.
    group : str
        Samples of a group share a prompt and so a cached prefix.
    max_tokens : int
        Most tokens to generate.
    """

    sample: Name
    payload: Any = None
    group: str = ""
    max_tokens: Annotated[int, msgspec.Meta(ge=1, le=1_000_000)] = 64


class LotBody(CallerMessage, frozen=True, kw_only=True):
    """A Lot: samples that one trainer wants answered together.

    Attributes
    ----------
    trainer, lot : str
        Together the Lot's key.
    submission : int
        Rises each time that the trainer posts the Lot again. Posting a higher
        number says that no answer to a lower one will be read.
    service, catalogue_entry : str
        Where the samples run and on whose account.
    version : int
        The trainer's present weight version.
    bound : int
        How many versions older than `version` a sample's weights may be.
    timeout : float
        Seconds within which the whole Lot is wanted.
    samples : list of LotSample
    """

    trainer: Name
    lot: Name
    submission: Annotated[int, msgspec.Meta(ge=1)] = 1
    service: Name
    catalogue_entry: Name
    version: Count
    bound: Count = 0
    timeout: Seconds = 300.0
    samples: Annotated[
        list[LotSample], msgspec.Meta(min_length=1, max_length=MAX_LOT_SAMPLES)
    ]

    @property
    def key(self) -> str:
        """The Lot's key among all trainers."""
        return f"{self.trainer}/{self.lot}"

    @property
    def min_version(self) -> int:
        """The oldest weight version that may produce a sample."""
        return max(0, self.version - self.bound)


class SpanFrame(Message, frozen=True, kw_only=True):
    """A `VersionSpan` on the wire."""

    version: int
    start: int
    end: int


class OutcomeFrame(Message, frozen=True, kw_only=True):
    """An outcome on the wire; `kind` names its class."""

    kind: Literal["completed", "not_run", "unknown", "failed", "expired", "interrupted"]
    payload: Any = None
    versions: list[SpanFrame] = []
    target: str = ""
    reason: str = ""
    retry_after: float = 0.0
    warning: str = ""
    slot_epoch: int = 0
    status: int = 0
    started: bool = False


class RequestReply(Message, frozen=True, kw_only=True):
    """The answer to one request."""

    request: str
    outcome: OutcomeFrame


class SampleReply(Message, frozen=True, kw_only=True):
    """The answer to one sample of a Lot."""

    sample: str
    outcome: OutcomeFrame


class LotReply(Message, frozen=True, kw_only=True):
    """The whole answer to a Lot.

    Attributes
    ----------
    status : str
        ``complete``; ``partial`` when the deadline passed first (nothing is
        delivered and finished samples are kept); ``superseded`` when a higher
        submission exists; ``already_delivered`` after the acknowledgement.
    """

    trainer: str
    lot: str
    submission: int
    status: Literal["complete", "partial", "superseded", "already_delivered", "not_run"]
    samples: list[SampleReply] = []
    missing: int = 0
    reason: str = ""
    retry_after: float = 0.0


class ProgressReply(Message, frozen=True, kw_only=True):
    """How a call stands at one entry.

    Attributes
    ----------
    status : str
        ``in_progress``; ``answered`` when its answer has been handed to its
        connection; ``unknown`` when this entry has no such call, or no longer.
    entry : str
        The entry that says so.
    finished, missing : int
        Samples of a Lot in progress.
    seconds : float
        Since the call began or, once ``answered``, since its answer.
    """

    status: Literal["in_progress", "answered", "unknown"]
    entry: str
    finished: int = 0
    missing: int = 0
    seconds: float = 0.0


class LotAcknowledgement(CallerMessage, frozen=True, kw_only=True):
    """The trainer has the whole Lot; nothing of it is delivered again."""

    trainer: Name
    lot: Name
    service: Name


class ErrorReply(Message, frozen=True, kw_only=True):
    """A refusal of a malformed call."""

    error: str
    detail: str = ""


# --- peer session: entry to side ---------------------------------------------


class Attempt(Message, frozen=True, kw_only=True):
    """One try of one request or sample, dispatched to one side.

    Attributes
    ----------
    attempt : str
        Unique for ever: entry, incarnation and a counter.
    request : str
        Identifier of the caller's request, for logs.
    idempotent : bool
        ``False``: the side may run it at most once.
    key : str
        Idempotency key, or the Lot's key and the sample, or empty.
    epoch : int
        Epoch of the key's slot, as the entry knows it; 0 without ownership.
    unsent_at : int
        The caller had heard of this epoch of the slot when it had never sent the
        key before; 0 where it doesn't say so.
    work_class : str
        Decides admission and engine priority.
    trainer : str
        Account for fair shares; empty for other callers.
    remaining : float
        Seconds until the caller's deadline.
    min_version : int
        Oldest weight version that may take part; -1 where there is no bound.
    prior : list
        Tokens produced before by another engine, to resume from.
    prior_versions : list of SpanFrame
        Which versions produced `prior`.
    """

    attempt: str
    request: str
    payload: Any = None
    idempotent: bool = True
    key: str = ""
    epoch: int = 0
    unsent_at: int = 0
    work_class: WorkClass = "interactive"
    trainer: str = ""
    remaining: float = 30.0
    min_version: int = -1
    prefix: str = ""
    max_tokens: int = 64
    prior: list[Any] = []
    prior_versions: list[SpanFrame] = []


class PolicyRow(Message, frozen=True, kw_only=True):
    """What a side follows of one catalogue entry.

    Attributes
    ----------
    revision : int
        Of the catalogue row.
    weight : float
        Weight of its trainers in the fair share.
    wave : float
        Share of the service's engines that may load weights at once.
    """

    revision: int
    weight: float = 1.0
    wave: float = 0.34


class ServicePolicy(Message, frozen=True, kw_only=True):
    """What a side follows of the catalogue.

    Attributes
    ----------
    revision : int
        Highest revision of a row that the sender knows.
    rows : dict of str to PolicyRow
        The catalogue entries that draw rollouts from the service.
    """

    revision: int
    rows: dict[str, PolicyRow] = {}


class OpenSession(Message, frozen=True, kw_only=True):
    """An entry opens a session; sessions with a lower number end.

    Attributes
    ----------
    entry, entry_incarnation : str
        Who opens; a new incarnation knows nothing of earlier attempts.
    session : int
        Rises with each opening by the same incarnation.
    cursor : int
        Last result sequence number that the entry has seen.
    outstanding : list of str
        Attempts that the entry believes to be at this side.
    side_incarnation : str
        The side's incarnation at the last session, or empty.
    versions : dict
        Newest weight version announced, for each service.
    """

    entry: str
    entry_incarnation: str
    session: int
    cursor: int = 0
    outstanding: list[str] = []
    side_incarnation: str = ""
    versions: dict[str, int] = {}
    policy: ServicePolicy | None = None


class Fate(Message, frozen=True, kw_only=True):
    """What became of one attempt that the entry listed."""

    attempt: str
    state: Literal["running", "done", "never_seen"]


class Opened(Message, frozen=True, kw_only=True, tag="opened"):
    """First frame of a session's stream."""

    side: str
    incarnation: str
    session: int
    fates: list[Fate] = []


class Beat(Message, frozen=True, kw_only=True, tag="beat"):
    """Heartbeat of a side with its load.

    Attributes
    ----------
    running, queued : int
        Attempts at the target and waiting for it.
    queued_tokens : int
        Tokens still to be generated by attempts running and queued.
    capacity : int
        Attempts that the target runs at once.
    version : int
        Weight version that the target serves; -1 where it has none.
    serving : bool
        ``False`` while a swap is in progress or the target is unusable.
    leaving : bool
        ``True`` once the side takes no new work.
    revision : int
        Highest catalogue revision in force at the side.
    """

    incarnation: str
    session: int
    running: int = 0
    queued: int = 0
    queued_tokens: int = 0
    capacity: int = 0
    version: int = -1
    serving: bool = True
    leaving: bool = False
    revision: int = 0


class Result(Message, frozen=True, kw_only=True, tag="result"):
    """The outcome of an attempt, repeated from the cursor until acknowledged."""

    incarnation: str
    session: int
    sequence: int
    attempt: str
    outcome: OutcomeFrame


StreamFrame = Opened | Beat | Result


class Dispatch(Message, frozen=True, kw_only=True):
    """Attempts for a side, under a session, with the cursor acknowledged."""

    entry: str
    entry_incarnation: str
    session: int
    side_incarnation: str
    cursor: int = 0
    attempts: list[Attempt] = []
    cancel: list[str] = []
    versions: dict[str, int] = {}
    policy: ServicePolicy | None = None


class Refusal(Message, frozen=True, kw_only=True):
    """An attempt that a side did not take; it has not run."""

    attempt: str
    outcome: OutcomeFrame


class DispatchReply(Message, frozen=True, kw_only=True):
    """What a side took.

    Attributes
    ----------
    stale : bool
        The session is not current: nothing was taken.
    """

    stale: bool = False
    refused: list[Refusal] = []


class DeliveryRequest(Message, frozen=True, kw_only=True):
    """An entry speaks for a Lot to the side that owns its slot.

    Attributes
    ----------
    step : {"begin", "take", "acknowledge"}
        ``begin`` registers a submission, ``take`` asks for the right to write
        the answer, ``acknowledge`` ends the Lot.
    holder : str
        The entry's identifier of this very POST.
    """

    step: Literal["begin", "take", "acknowledge"]
    key: str
    service: str
    submission: int = 1
    holder: str = ""
    epoch: int = 0


class DeliveryReply(Message, frozen=True, kw_only=True):
    """The owner's answer to a `DeliveryRequest`."""

    status: Literal[
        "granted", "superseded", "already_delivered", "not_owner", "unavailable"
    ]


# --- conversion --------------------------------------------------------------


def to_span_frames(spans: tuple[VersionSpan, ...]) -> list[SpanFrame]:
    """Return `spans` as messages."""
    return [
        SpanFrame(version=span.version, start=span.start, end=span.end)
        for span in spans
    ]


def from_span_frames(frames: list[SpanFrame]) -> tuple[VersionSpan, ...]:
    """Return the spans that `frames` carry."""
    return tuple(VersionSpan(frame.version, frame.start, frame.end) for frame in frames)


@singledispatch
def to_wire(outcome: Outcome) -> OutcomeFrame:
    """Return `outcome` as a message.

    Raises
    ------
    TypeError
        If `outcome` is not one of the outcome classes.
    """
    raise TypeError(f"not an outcome: {outcome!r}")


@to_wire.register
def _(outcome: Completed) -> OutcomeFrame:
    return OutcomeFrame(
        kind="completed",
        payload=outcome.payload,
        versions=to_span_frames(outcome.versions),
        target=outcome.target,
    )


@to_wire.register
def _(outcome: Interrupted) -> OutcomeFrame:
    return OutcomeFrame(
        kind="interrupted",
        payload=list(outcome.tokens),
        versions=to_span_frames(outcome.versions),
        reason=outcome.reason,
    )


@to_wire.register
def _(outcome: NotRun) -> OutcomeFrame:
    return OutcomeFrame(
        kind="not_run",
        reason=outcome.reason,
        retry_after=outcome.retry_after,
        warning=outcome.warning,
        slot_epoch=outcome.slot_epoch,
    )


@to_wire.register
def _(outcome: Unknown) -> OutcomeFrame:
    return OutcomeFrame(kind="unknown", reason=outcome.reason)


@to_wire.register
def _(outcome: Failed) -> OutcomeFrame:
    return OutcomeFrame(kind="failed", reason=outcome.reason, status=outcome.status)


@to_wire.register
def _(outcome: Expired) -> OutcomeFrame:
    return OutcomeFrame(
        kind="expired", started=outcome.started, retry_after=outcome.retry_after
    )


def from_wire(frame: OutcomeFrame) -> Outcome:
    """Return the outcome that `frame` carries."""
    if frame.kind == "completed":
        spans = from_span_frames(frame.versions)
        return Completed(frame.payload, spans, frame.target)
    if frame.kind == "interrupted":
        spans = from_span_frames(frame.versions)
        return Interrupted(frame.reason, tuple(frame.payload or ()), spans)
    if frame.kind == "not_run":
        return NotRun(frame.reason, frame.retry_after, frame.warning, frame.slot_epoch)
    if frame.kind == "unknown":
        return Unknown(frame.reason)
    if frame.kind == "failed":
        return Failed(frame.reason, frame.status)
    return Expired(frame.started, frame.retry_after)
