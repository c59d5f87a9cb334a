"""Calls to the platform that only one machine at a time may make."""

from collections.abc import Mapping

from wigeonfront.duties import DutyOutcome, NotTaken, Taken
from wigeonfront.platform import headers as names
from wigeonfront.platform.json_client import OK, Answer, JsonClient

CONNECT_SECONDS = 0.3
CALL_SECONDS = 0.6
"""Longest wait for an answer. Together with the wait for a connection it is shorter
than the time within which a call must arrive after the right to it was checked."""


class PlatformDuties:
    """Client of the platform's interface for duties.

    Parameters
    ----------
    address : str
        ``host:port``.
    """

    def __init__(self, address: str) -> None:
        # A call that is not answered in time must not arrive later: its connection is
        # reset.
        self._client = JsonClient(
            address, CONNECT_SECONDS, CALL_SECONDS, reset_on_close=True
        )

    def report_usage(
        self, window: int, counts: Mapping[str, int], holder: str, fence: int
    ) -> DutyOutcome:
        """Send the usage counts of a window, without a retry.

        Parameters
        ----------
        window : int
        counts : mapping of str to int
        holder : str
            Name of the machine that holds the duty.
        fence : int
            Fencing token of the duty.
        """
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
