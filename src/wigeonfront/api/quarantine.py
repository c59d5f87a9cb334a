"""The calls to ``/v1`` about requests that crash targets."""

from urllib.parse import unquote

from wigeonfront.api.errors import ApiError
from wigeonfront.api.messages import QuarantineReply, ReleasedReply, SuspectStatus
from wigeonfront.clock import Clock
from wigeonfront.http.raw import RawCall
from wigeonfront.quarantine import CrashLedger, quarantine_end

QUARANTINE_PATH = "/v1/quarantine"


class QuarantineCalls:
    """Shows operators which requests are quarantined, and releases them.

    Parameters
    ----------
    ledger : CrashLedger
    clock : Clock
    """

    def __init__(self, ledger: CrashLedger, clock: Clock) -> None:
        self._ledger = ledger
        self._clock = clock

    def show(self, call: RawCall) -> None:
        """Answer with the requests that targets were running when they crashed."""
        suspects = [self._suspect(digest) for digest in self._ledger.fingerprints()]
        known = [suspect for suspect in suspects if suspect is not None]
        known.sort(key=lambda suspect: (-suspect.crashes, suspect.fingerprint))
        call.reply_json(200, QuarantineReply(known))

    def release(self, call: RawCall) -> None:
        """Remove a request's crash records, so that it is sent to targets again."""
        digest = unquote(call.path.removeprefix(QUARANTINE_PATH + "/"))
        if not self._ledger.clear(digest):
            raise ApiError(404, "not_quarantined", digest[:100])
        call.reply_json(200, ReleasedReply(digest))

    def _suspect(self, digest: str) -> SuspectStatus | None:
        crashes = self._ledger.crashes(digest)
        if not crashes:
            # The request was released after its fingerprint was listed.
            return None
        newest = max(crashes, key=lambda crash: crash.at)
        blocked = quarantine_end(crashes) - self._clock.time()
        return SuspectStatus(
            fingerprint=digest,
            request=newest.request,
            account=newest.account,
            service=newest.service,
            crashes=len(crashes),
            last_crash=newest.at,
            blocked_seconds=max(0.0, blocked),
        )
