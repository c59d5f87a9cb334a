"""Crashes, and their encoding as rows of the store.

Each crash has its own row, whose key names the request and the target. Entries that
report crashes at the same time therefore neither conflict nor count a crash twice.
"""

from dataclasses import dataclass

import msgspec

from wigeonfront.coordination.rows import Row

CRASH_PREFIX = "live/crash/"

MAX_SUMMARY_LENGTH = 200


@dataclass(frozen=True, slots=True)
class Crash:
    """A target that crashed while it ran a request.

    Attributes
    ----------
    fingerprint : str
        Fingerprint of the request; see `wigeonfront.forwarding.fingerprint`.
    target : str
        Id of the target's incarnation.
    sent_at, at : float
        Unix times, in seconds, at which the request was sent and at which the
        connection was lost.
    service : str
    account : str
        Client account of the request; empty for none.
    request : str
        Method, host and path of the request, for operators.
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
        """Key of the crash's row."""
        return f"{CRASH_PREFIX}{self.fingerprint}/{self.target}"


class _CrashRow(msgspec.Struct, frozen=True):
    sent_at: float
    at: float
    service: str = ""
    account: str = ""
    request: str = ""


def encode_crash(crash: Crash) -> bytes:
    """Return the value of a crash's row."""
    row = _CrashRow(
        crash.sent_at,
        crash.at,
        crash.service,
        crash.account,
        crash.request[:MAX_SUMMARY_LENGTH],
    )
    return msgspec.json.encode(row)


def decode_crash(row: Row) -> Crash | None:
    """Return the crash that a row holds, or ``None`` if the row is malformed."""
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
