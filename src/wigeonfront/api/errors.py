"""Errors with which calls to ``/v1`` are answered."""

from collections.abc import Iterable

from wigeonfront.api.messages import ErrorReply
from wigeonfront.http.raw import RawCall


class ApiError(Exception):
    """An error with which a call is answered.

    It is raised before any part of an answer has been sent.

    Parameters
    ----------
    status : int
        HTTP status.
    error : str
        Short error code for programs.
    detail : str
        Explanation for people.
    retry_after : float
        Seconds after which the caller may retry; 0 sends no ``Retry-After`` header.
    headers : iterable of pairs
        Additional headers of the answer.
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
        """Send the error as the answer to `call`."""
        retry_after = self.reply.retry_after
        headers = [*self.headers]
        if retry_after:
            headers.append(("Retry-After", f"{retry_after:g}"))
        call.reply_json(self.status, self.reply, headers)


class UnknownRouteError(ApiError):
    """The configuration in force has no route with this name, or one of another kind.

    Parameters
    ----------
    name : str
    """

    def __init__(self, name: str) -> None:
        super().__init__(404, "no_route", name)
