"""Calls to the platform that are the duty of one machine at a time."""

from collections.abc import Mapping

from wigeonfront.duties import DutyOutcome, NotTaken, Taken
from wigeonfront.platform import headers as names
from wigeonfront.platform.json_client import OK, Answer, JsonClient

CONNECT_SECONDS = 0.3
CALL_SECONDS = 0.6
"""Longest wait for an answer; with that for the connection below the time in which an
act must have arrived after its right was checked."""


class PlatformDuties:
    """The platform's interface for duties at `address`.

    Parameters
    ----------
    address : str
        ``host:port``.
    """

    def __init__(self, address: str) -> None:
        # What is not answered in time is reset, so that it does not arrive later.
        self._client = JsonClient(
            address, CONNECT_SECONDS, CALL_SECONDS, reset_on_close=True
        )

    def report_usage(
        self, window: int, counts: Mapping[str, int], holder: str, fence: int
    ) -> DutyOutcome:
        """Send the counts of a window, once."""
        body = {"window": window, "counts": dict(counts)}
        return self._send("/usage", body, holder, fence)

    def _send(
        self, path: str, body: Mapping[str, object], holder: str, fence: int
    ) -> DutyOutcome:
        headers = {names.DUTY_HOLDER: holder, names.FENCING_TOKEN: str(fence)}
        answer = self._client.post(path, body, headers)
        if not isinstance(answer, Answer):
            return NotTaken(answer.reason)
        return Taken() if answer.status == OK else NotTaken(f"status {answer.status}")
