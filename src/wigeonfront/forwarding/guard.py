"""Interface through which forwarding is told which requests crash targets."""

from collections.abc import Collection, Iterator
from contextlib import AbstractContextManager, contextmanager
from typing import Protocol

from wigeonfront.forwarding.attempt import ForwardRequest
from wigeonfront.targets.target import Target


class RequestGuard(Protocol):
    """Remembers which requests crash the targets that run them."""

    def blocked_for(self, request: ForwardRequest) -> float:
        """Return the seconds for which `request` must not be sent; 0 if it may be."""

    def needs_isolation(self, request: ForwardRequest) -> bool:
        """Return whether accepted work must run apart from other requests."""

    def accepted_run(
        self, request: ForwardRequest, target: Target
    ) -> AbstractContextManager[float]:
        """Return a context manager that spans the run of accepted work at `target`.

        Accepted work is the samples of accepted Lots and their reward calls. The value
        is 0 if the request may be sent, or the seconds to wait otherwise.
        """

    def is_suspect(self, request: ForwardRequest) -> bool:
        """Return whether targets have crashed under `request`."""

    def targets_to_avoid(self, request: ForwardRequest) -> Collection[str]:
        """Return the ids of targets that another request may be about to crash."""

    def running(
        self, request: ForwardRequest, target: Target
    ) -> AbstractContextManager[None]:
        """Return a context manager that spans the run of `request` at `target`."""

    def connection_lost(
        self, request: ForwardRequest, target: Target, seconds: float
    ) -> None:
        """Record that the connection to `target` was lost during `request`.

        Parameters
        ----------
        seconds : float
            Seconds since the request was sent.
        """

    def answered(self, request: ForwardRequest) -> None:
        """Record that a target has answered `request` completely."""


class NoGuard:
    """Allows every request, for tools that send only their own requests."""

    def blocked_for(self, request: ForwardRequest) -> float:
        """Return 0."""
        return 0.0

    def needs_isolation(self, request: ForwardRequest) -> bool:
        """Return ``False``."""
        return False

    @contextmanager
    def accepted_run(self, request: ForwardRequest, target: Target) -> Iterator[float]:
        """Allow the run."""
        yield 0.0

    def is_suspect(self, request: ForwardRequest) -> bool:
        """Return ``False``."""
        return False

    def targets_to_avoid(self, request: ForwardRequest) -> Collection[str]:
        """Return no targets."""
        return ()

    @contextmanager
    def running(self, request: ForwardRequest, target: Target) -> Iterator[None]:
        """Do nothing when the run begins and ends."""
        yield

    def connection_lost(
        self, request: ForwardRequest, target: Target, seconds: float
    ) -> None:
        """Ignore the loss."""

    def answered(self, request: ForwardRequest) -> None:
        """Ignore the answer."""


NO_GUARD = NoGuard()
