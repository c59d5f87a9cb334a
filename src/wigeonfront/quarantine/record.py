"""A crash as a row of the store.

Each crash is a row of its own, named by the request and the target, so that entries
which report at once neither conflict nor count a crash twice.
"""

from dataclasses import dataclass

import msgspec

from wigeonfront.coordination.rows import Row

CRASH_PREFIX = "live/crash/"

MOST_SUMMARY_LENGTH = 200


@dataclass(frozen=True, slots=True)
class Crash:
    """A target that crashed while it ran a request.

    Attributes
    ----------
    fingerprint : str
        Of the request; see `wigeonfront.forwarding.fingerprint`.
    target : str
        Id of the target's incarnation.
    sent_at, at : float
        When the request was sent, and when the connection was lost; Unix times in
        seconds.
    service : str
    account : str
        Client account of the request; empty for none.
    request : str
        Method, host and path, for operators.
    """

    fingerprint: str
    target: str
    sent_at: float
    at: float
    service: str = ""
    account: str = ""
    request: str = ""

    @property
    def key(self) -> str:
        """The key of its row."""
        return f"{CRASH_PREFIX}{self.fingerprint}/{self.target}"


class _CrashRow(msgspec.Struct, frozen=True):
    sent_at: float
    at: float
    service: str = ""
    account: str = ""
    request: str = ""


def encode_crash(crash: Crash) -> bytes:
    """Return the value of the row."""
    row = _CrashRow(
        crash.sent_at,
        crash.at,
        crash.service,
        crash.account,
        crash.request[:MOST_SUMMARY_LENGTH],
    )
    return msgspec.json.encode(row)


def decode_crash(row: Row) -> Crash | None:
    """Return the crash that a row tells of, or ``None`` where it is malformed."""
    fingerprint, _, target = row.key.removeprefix(CRASH_PREFIX).partition("/")
    if not fingerprint or not target:
        return None
    try:
        wire = msgspec.json.decode(row.value, type=_CrashRow)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError):
        return None
    return Crash(
        fingerprint,
        target,
        wire.sent_at,
        wire.at,
        wire.service,
        wire.account,
        wire.request,
    )
