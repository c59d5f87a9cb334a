"""Wire protocol of the platform's targets: a `forwarding.TargetProtocol`."""

from dataclasses import replace

from urllib3 import HTTPHeaderDict

from wigeonfront.forwarding.attempt import ForwardRequest, Headers
from wigeonfront.platform import headers as names
from wigeonfront.targets.target import Target

MISDIRECTED = 421
LOWEST_PRIORITY = 9
"""Largest number that a priority header may have; 0 is the most urgent."""

_REFUSALS = frozenset((400, 429, 503))


class PlatformTargets:
    """Sets the headers of requests to targets and interprets their answers."""

    version_field = names.VERSION_FIELD

    def resumed(self, request: ForwardRequest, after: int) -> ForwardRequest:
        """Return the request that resumes the stream after event `after`."""
        kept = tuple(
            (name, value)
            for name, value in request.headers
            if name.lower() != names.LAST_EVENT_ID.lower()
        )
        return replace(request, headers=(*kept, (names.LAST_EVENT_ID, str(after))))

    def resume_point(self, request: ForwardRequest) -> int:
        """Return the event after which the caller asks to resume; 0 for the start."""
        for name, value in request.headers:
            if name.lower() == names.LAST_EVENT_ID.lower() and value.isdigit():
                return int(value)
        return 0

    def request_headers(
        self, request: ForwardRequest, target: Target, remaining: float
    ) -> HTTPHeaderDict:
        """Return the headers to send; `remaining` is in seconds."""
        sent = HTTPHeaderDict()
        for name, value in request.headers:
            sent.add(name, value)
        sent.discard(names.TENANT)
        if request.account:
            sent[names.TENANT] = request.account
        if request.priority is not None:
            sent[names.PRIORITY] = str(min(request.priority, LOWEST_PRIORITY))
        if request.id:
            sent[names.ATTEMPT_ID] = request.id
        sent[names.DEADLINE_MS] = str(max(1, int(remaining * 1000)))
        sent[names.EXPECT_INSTANCE] = target.name
        return sent

    def not_executed(self, status: int, headers: HTTPHeaderDict) -> bool:
        """Return whether the answer says that the request did not run."""
        if status == MISDIRECTED:
            return True
        return status in _REFUSALS and names.NOT_EXECUTED in headers

    def replaced(self, status: int) -> bool:
        """Return whether an incarnation other than the intended one answered."""
        return status == MISDIRECTED

    def is_answer_to(self, request: ForwardRequest, headers: HTTPHeaderDict) -> bool:
        """Return whether a target sent the answer in response to this request.

        A target repeats the attempt's id and sets the seal header. Requests ask for
        bodies without a content encoding, so no target answers with one.
        """
        return (
            headers.get(names.ATTEMPT_ID) == request.id
            and names.SEAL in headers
            and "Content-Encoding" not in headers
        )

    def response_headers(self, headers: HTTPHeaderDict) -> Headers:
        """Return those headers of the answer that are passed on to the caller."""
        dropped = names.HOP_BY_HOP | names.FRAMING
        return tuple(
            (name, value)
            for name, value in headers.iteritems()
            if name.lower() not in dropped
        )


def forwarded_headers(headers: Headers, keyed: bool = False) -> Headers:
    """Return a caller's headers without those that apply to one connection.

    Parameters
    ----------
    headers : tuple of (str, str)
    keyed : bool
        Whether calls carry API keys. Targets must not see them.
    """
    dropped = set(names.HOP_BY_HOP) | {"content-length"}
    if keyed:
        dropped.add(names.AUTHORIZATION.lower())
    for name, value in headers:
        if name.lower() == "connection":
            dropped.update(token.strip().lower() for token in value.split(","))
    return tuple(
        (name, value) for name, value in headers if name.lower() not in dropped
    )
