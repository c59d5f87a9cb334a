"""Calls of ``/v1`` that are not taken."""

from collections.abc import Iterable

from wigeonfront.api.messages import ErrorReply
from wigeonfront.http.raw import RawCall


class Refused(Exception):  # noqa: N818
    """A call that is answered with an error; raised before anything was done.

    Parameters
    ----------
    status : int
    error : str
        A short word for programs.
    detail : str
    retry_after : float
        Seconds; 0 to give none.
    headers : iterable of pairs
        Further headers of the answer.
    """

    def __init__(
        self,
        status: int,
        error: str,
        detail: str = "",
        retry_after: float = 0.0,
        headers: Iterable[tuple[str, str]] = (),
    ) -> None:
        super().__init__(error, detail)
        self.status = status
        self.headers = tuple(headers)
        self.reply = ErrorReply(error, detail, retry_after)

    def answer(self, call: RawCall) -> None:
        """Send the error."""
        after = self.reply.retry_after
        headers = [*self.headers]
        if after:
            headers.append(("Retry-After", f"{after:g}"))
        call.reply_json(self.status, self.reply, headers)
