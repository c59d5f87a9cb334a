"""The calls of ``/v1`` about requests that crash targets."""

from urllib.parse import unquote

from wigeonfront.api.errors import Refused
from wigeonfront.api.messages import QuarantineReply, ReleasedReply, SuspectStatus
from wigeonfront.clock import Clock
from wigeonfront.http.raw import RawCall
from wigeonfront.quarantine import CrashLedger, quarantine_end

QUARANTINE_PATH = "/v1/quarantine"


class QuarantineCalls:
    """Shows operators which requests are kept from targets, and releases them.

    Parameters
    ----------
    ledger : CrashLedger
    clock : Clock
    """

    def __init__(self, ledger: CrashLedger, clock: Clock) -> None:
        self._ledger = ledger
        self._clock = clock

    def show(self, call: RawCall) -> None:
        """Answer with the requests under which targets have crashed."""
        suspects = [self._suspect(one) for one in self._ledger.fingerprints()]
        known = [one for one in suspects if one is not None]
        known.sort(key=lambda one: (-one.crashes, one.fingerprint))
        call.reply_json(200, QuarantineReply(known))

    def release(self, call: RawCall) -> None:
        """Forget the crashes of a request, which is then sent again."""
        digest = unquote(call.path.removeprefix(QUARANTINE_PATH + "/"))
        if not self._ledger.clear(digest):
            raise Refused(404, "not_quarantined", digest[:100])
        call.reply_json(200, ReleasedReply(digest))

    def _suspect(self, digest: str) -> SuspectStatus | None:
        crashes = self._ledger.crashes(digest)
        if not crashes:
            # It was released meanwhile.
            return None
        newest = max(crashes, key=lambda one: one.at)
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
