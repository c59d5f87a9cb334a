"""Finds the client account of a call to ``/v1``."""

from collections.abc import Iterable
from functools import singledispatch

from wigeonfront.accounts import Admission, Admitted, Unauthenticated, Undecided
from wigeonfront.accounts.gate import AccountGate
from wigeonfront.api.errors import ApiError
from wigeonfront.configuration import Configuration, Route, RouteKind
from wigeonfront.http.raw import RawCall
from wigeonfront.rollout.scope import scoped_name

AUTHORIZATION_HEADER = "Authorization"


class CallAuthenticator:
    """Decides for which client account a call is made.

    Parameters
    ----------
    gate : AccountGate
        Checks the API key of a call.
    """

    def __init__(self, gate: AccountGate) -> None:
        self._gate = gate

    def admit(
        self, call: RawCall, configuration: Configuration, routes: Iterable[Route]
    ) -> Admitted:
        """Return the account for which a call that uses `routes` is made.

        A call that uses only public routes needs no account.

        Raises
        ------
        ApiError
            If the call needs an account and has none, or if the configuration is too
            old to decide on its API key.
        """
        admission = self._gate.check(
            configuration.accounts,
            configuration.version,
            all(route.public for route in routes),
            call.header(AUTHORIZATION_HEADER),
        )
        return _admitted(admission)

    def lot_id(self, call: RawCall, configuration: Configuration, name: str) -> str:
        """Return the id under which the caller's account submitted the Lot `name`.

        Raises
        ------
        ApiError
            As for `admit`.
        """
        routes = [
            route for route in configuration.routes if route.kind is RouteKind.LOTS
        ]
        return scoped_id(self.admit(call, configuration, routes), configuration, name)


def scoped_id(admitted: Admitted, configuration: Configuration, name: str) -> str:
    """Return the id of what the caller's account names `name`.

    Where the configuration has accounts, the same name stands for different things in
    different accounts, so the id contains the account.
    """
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
    raise ApiError(401, "no_account", admission.reason, headers=challenge)


@_admitted.register
def _(admission: Undecided) -> Admitted:
    raise ApiError(503, "not_ready", admission.reason, admission.retry_after)
