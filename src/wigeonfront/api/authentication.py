"""Finds the client account of a call of ``/v1``."""

from collections.abc import Iterable
from functools import singledispatch

from wigeonfront.accounts import Admission, Admitted, Unauthenticated, Undecided
from wigeonfront.accounts.gate import AccountGate
from wigeonfront.api.errors import Refused
from wigeonfront.configuration import Configuration, Route, RouteKind
from wigeonfront.http.raw import RawCall
from wigeonfront.rollout.scope import scoped_name

AUTHORIZATION_HEADER = "Authorization"


class CallAuthenticator:
    """Admits calls.

    Parameters
    ----------
    gate : AccountGate
    """

    def __init__(self, gate: AccountGate) -> None:
        self._gate = gate

    def admit(
        self, call: RawCall, configuration: Configuration, routes: Iterable[Route]
    ) -> Admitted:
        """Return the account that a call over `routes` is made for.

        Raises
        ------
        Refused
            Where the call has no account and needs one.
        """
        admission = self._gate.check(
            configuration.accounts,
            configuration.version,
            all(route.public for route in routes),
            call.header(AUTHORIZATION_HEADER),
        )
        return _admitted(admission)

    def lot_id(self, call: RawCall, configuration: Configuration, name: str) -> str:
        """Return the id of a Lot that the caller has submitted before as `name`.

        Raises
        ------
        Refused
            As for `admit`.
        """
        routes = [one for one in configuration.routes if one.kind is RouteKind.LOTS]
        return scoped_id(self.admit(call, configuration, routes), configuration, name)


def scoped_id(admitted: Admitted, configuration: Configuration, name: str) -> str:
    """Return the id of what a caller calls `name`; other accounts have their own."""
    if configuration.accounts is None:
        return name
    return scoped_name(admitted.account, name)


@singledispatch
def _admitted(admission: Admission) -> Admitted:
    raise TypeError(f"not an admission: {admission!r}")


@_admitted.register
def _(admission: Admitted) -> Admitted:
    return admission


@_admitted.register
def _(admission: Unauthenticated) -> Admitted:
    challenge = (("WWW-Authenticate", "Bearer"),)
    raise Refused(401, "no_account", admission.reason, headers=challenge)


@_admitted.register
def _(admission: Undecided) -> Admitted:
    raise Refused(503, "not_ready", admission.reason, admission.retry_after)
