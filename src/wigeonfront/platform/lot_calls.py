"""Decodes the platform's calls about Lots and encodes their answers."""

from dataclasses import dataclass
from hashlib import blake2b
from typing import Annotated

import msgspec
from urllib3 import HTTPHeaderDict

from wigeonfront.configuration import Route
from wigeonfront.forwarding.attempt import Answered, ForwardRequest
from wigeonfront.platform import headers as names
from wigeonfront.rollout.lot import (
    Headers,
    Lot,
    RewardCall,
    Sample,
    SampleResult,
)
from wigeonfront.rollout.scheduling import engine_priority


@dataclass(frozen=True, slots=True)
class BadLot:
    """A submission that can't be decoded."""

    reason: str


Id = Annotated[str, msgspec.Meta(min_length=1)]
RequestTarget = Annotated[str, msgspec.Meta(pattern=r"\A/[!-~]*\Z")]


class _Scorer(msgspec.Struct, frozen=True):
    id: Id
    host: Id
    path: RequestTarget
    # JSON has no bytes: bodies are base64 text, which the decoder checks.
    body: bytes = b""


class _Item(msgspec.Struct, frozen=True):
    id: str
    path: str
    headers: dict[str, str] = {}
    body: bytes = b""
    # Prompt tokens plus the largest number of output tokens.
    tokens: int = 0
    group: str = ""
    # The sample's reward call. It is not the service or target that gives the score.
    scorer: _Scorer | None = None


class _Submission(msgspec.Struct, frozen=True, rename="camel"):
    items: list[_Item]
    step: int = 0
    model: str = ""
    # Oldest version of the weights that may generate the samples.
    min_version: int = 0
    target_groups: int = 0


class _Result(msgspec.Struct, frozen=True):
    id: str
    state: str
    output: str
    versions: list[int]
    score: str | msgspec.UnsetType = msgspec.UNSET


class _Page(msgspec.Struct, frozen=True):
    total: int
    results: list[_Result]
    # Position of the first result after this page.
    next: int


PAGE_BYTES = 900_000
"""Largest size of the texts in one answer. The platform allows a megabyte in total."""

BYTES_PER_TOKEN = 4
"""Approximate bytes per token of a prompt whose tokens nobody has counted."""

DEFAULT_TOKENS = 1_000
"""Largest number of tokens that a sample is told to generate if its trainer states
none."""

OK = 200
MULTIPLE_CHOICES = 300

_SYSTEM_SAMPLE_HEADERS = (
    names.ATTEMPT_ID,
    names.LAST_EVENT_ID,
    names.PRIORITY,
    "host",
)
"""Headers of a sample that the system sets. The trainer's own values are dropped."""

_COMPLETED = "completed"
_GIVEN_UP = "terminated"


def decode_lot(
    id: str, route: Route, body: bytes, now: float, account: str = ""
) -> Lot | BadLot:
    """Return the Lot that was submitted as `id`, or why `body` contains none.

    Parameters
    ----------
    id : str
    route : Route
        Route on which the Lot was submitted.
    body : bytes
        The submission in the platform's JSON format, which calls samples items.
    now : float
        Time of the submission: Unix time in seconds.
    account : str
        Client account that submits the Lot; empty if there is none.
    """
    try:
        wire = msgspec.json.decode(body, type=_Submission)
        samples = tuple(_sample(item, wire.model) for item in wire.items)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        return BadLot(str(error)[:200])
    if len({sample.id for sample in samples}) != len(samples):
        return BadLot("two items have the same id")
    return Lot(
        id=id,
        host=route.host,
        prefix=route.prefix,
        samples=samples,
        model=wire.model,
        min_version=wire.min_version,
        target_groups=wire.target_groups,
        submitted_at=now,
        due_seconds=route.lot_deadline,
        give_up_seconds=route.max_queue,
        max_attempts=route.max_attempts,
        single_version=route.single_version,
        account=account,
    )


def _sample(item: _Item, model: str) -> Sample:
    fields = {name.lower(): value for name, value in item.headers.items()}
    return Sample(
        id=item.id,
        path=item.path,
        headers=tuple(item.headers.items()),
        body=item.body,
        group=item.group,
        model=fields.get(names.MODEL.lower(), model),
        expected_tokens=_expected_tokens(fields),
        reward_call=_reward_call(item.scorer),
    )


def _reward_call(wire: _Scorer | None) -> RewardCall | None:
    if wire is None:
        return None
    return RewardCall(wire.id, wire.host, wire.path, wire.body)


def _expected_tokens(fields: dict[str, str]) -> int:
    """Return the expected number of output tokens; 0 if the trainer states none."""
    hint = fields.get(names.LENGTH_HINT.lower(), "")
    return int(hint) if hint.isdigit() else 0


def encode_page(total: int, after: int, results: list[SampleResult]) -> bytes:
    """Return a page of results, which are read from position `after` on.

    The page ends before the result with which its texts would exceed `PAGE_BYTES`, but
    contains at least one result if there is any.
    """
    page: list[_Result] = []
    size = 0
    for result in results:
        size += len(result.text)
        if page and size > PAGE_BYTES:
            break
        state = _COMPLETED if result.completed else _GIVEN_UP
        text = result.text.decode("utf-8", "surrogateescape")
        score = result.score or msgspec.UNSET
        page.append(_Result(result.id, state, text, list(result.versions), score))
    return msgspec.json.encode(_Page(total, page, after + len(page)))


class PlatformSamples:
    """Format of requests for samples and of reward calls.

    Implements `rollout.sample_run.SampleProtocol` and
    `rollout.reward_call.RewardProtocol`.
    """

    version_field = names.VERSION_FIELD

    def sample_request(self, lot: Lot, sample: Sample, after: int) -> ForwardRequest:
        """Return the request that generates the events after `after`."""
        system_headers = (
            (*_SYSTEM_SAMPLE_HEADERS, names.AUTHORIZATION)
            if lot.account
            else (_SYSTEM_SAMPLE_HEADERS)
        )
        dropped = {name.lower() for name in system_headers}
        headers = [
            (name, value)
            for name, value in sample.headers
            if name.lower() not in dropped
        ]
        headers.append(("Host", lot.host))
        headers.append((names.ATTEMPT_ID, sample.id))
        priority = engine_priority(sample.expected_tokens)
        headers.append((names.PRIORITY, str(priority)))
        if after:
            headers.append((names.LAST_EVENT_ID, str(after)))
        return ForwardRequest(
            sample.id,
            "POST",
            sample.path,
            tuple(headers),
            sample.body,
            True,
            lot.account,
        )

    def sample_headers(self, model: str, expected_tokens: int, body: bytes) -> Headers:
        """Return the headers of a sample that was submitted by another interface."""
        prompt = max(1, len(body) // BYTES_PER_TOKEN)
        counts = f"{prompt},{expected_tokens or DEFAULT_TOKENS}"
        digest = blake2b(body, digest_size=4).hexdigest()
        hint = ((names.LENGTH_HINT, str(expected_tokens)),) if expected_tokens else ()
        return (
            (names.MODEL, model),
            (names.TOKEN_COUNTS, counts),
            (names.PROMPT_PREFIX, f"{digest}:{prompt}"),
            *hint,
        )

    def reward_request(self, call: RewardCall) -> ForwardRequest:
        """Return the request to a target for a sample's score."""
        headers = (("Host", call.host), (names.ATTEMPT_ID, call.id))
        return ForwardRequest(call.id, "POST", call.path, headers, call.body, True)

    def score(self, answer: Answered) -> str:
        """Return the score in a target's answer; empty if there is none.

        The score is the value of the seal header, which must occur once.
        """
        if not OK <= answer.status < MULTIPLE_CHOICES:
            return ""
        scores = [
            value
            for name, value in answer.headers
            if name.lower() == names.SEAL.lower()
        ]
        return scores[0] if len(scores) == 1 else ""

    def answer_version(self, headers: HTTPHeaderDict) -> int:
        """Return the weights' version at which an answer begins; 0 if it names none."""
        text = headers.get(names.VERSION, "")
        return int(text) if text.isdigit() else 0
