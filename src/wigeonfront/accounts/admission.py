"""Decides whether a call is accepted, by its key and the age of the configuration.

A key that is unknown here may have been added since this process last read the
configuration. Callers don't retry a call that got 401. So with an old copy of the
configuration an unknown key gets only a temporary refusal, and callers find another
entry. Calls with a known key are still served from an old copy, unless the operators
require that revoked keys stop working (`AdmissionBounds.strict`).
"""

from dataclasses import dataclass

from wigeonfront.accounts.authorization import MalformedKey, NoKey, read_key
from wigeonfront.accounts.directory import AccountDirectory, fingerprint

RETRY_SECONDS = 0.5
"""Time after which a caller may retry a call that can't be decided: by then the entry
has found another source of the configuration."""


@dataclass(frozen=True, slots=True)
class AdmissionBounds:
    """How old a copy of the configuration may be for decisions about keys.

    Attributes
    ----------
    fresh_seconds : float
        Maximum age at which a key or a route that the copy lacks counts as unknown for
        good.
    strict : bool
        Whether calls with a key are refused once the copy is older than
        `revoke_seconds`.
    revoke_seconds : float
        Maximum age of the copy if `strict` is set.
    """

    fresh_seconds: float = 2.0
    strict: bool = False
    revoke_seconds: float = 5.0


@dataclass(frozen=True, slots=True)
class Admitted:
    """The call is accepted.

    Attributes
    ----------
    account : str
        Name of the client account; empty if the call has none.
    priority : int or None
        Priority of the account; ``None`` for that of the route.
    """

    account: str = ""
    priority: int | None = None


@dataclass(frozen=True, slots=True)
class Unauthenticated:
    """The call has no valid key, so a retry can't succeed.

    Attributes
    ----------
    reason : str
        ``no_key``, ``malformed`` or ``unknown_key``.
    fingerprint : str
        Fingerprint of the key; empty if no key could be read.
    """

    reason: str
    fingerprint: str = ""


@dataclass(frozen=True, slots=True)
class Undecided:
    """The copy of the configuration is too old to decide about the key.

    Attributes
    ----------
    reason : str
        ``unknown_key``, ``unconfirmed`` where `AdmissionBounds.strict` is set, or
        ``unknown_route``.
    fingerprint : str
        Fingerprint of the key; empty for a route.
    retry_after : float
        Seconds after which the caller may retry.
    """

    reason: str
    fingerprint: str
    retry_after: float = RETRY_SECONDS


Admission = Admitted | Unauthenticated | Undecided


def admit(
    directory: AccountDirectory | None,
    public: bool,
    header: str,
    age: float,
    bounds: AdmissionBounds,
) -> Admission:
    """Return whether a call is accepted, and for which account.

    Parameters
    ----------
    directory : AccountDirectory or None
        ``None`` if the configuration has no accounts; then all calls are accepted.
    public : bool
        Whether the call needs no key. A known key still sets the call's account.
    header : str
        Value of the call's ``Authorization`` header; empty if it has none.
    age : float
        Seconds by which the directory may be behind the store.
    bounds : AdmissionBounds
    """
    if directory is None:
        return Admitted()
    key = read_key(header)
    account = directory.find(key) if isinstance(key, str) else None
    if public:
        return Admitted(account.name, account.priority) if account else Admitted()
    if isinstance(key, NoKey):
        return Unauthenticated("no_key")
    if isinstance(key, MalformedKey):
        return Unauthenticated("malformed")
    if bounds.strict and age > bounds.revoke_seconds:
        return Undecided("unconfirmed", fingerprint(key))
    if account is not None:
        return Admitted(account.name, account.priority)
    if age > bounds.fresh_seconds:
        return Undecided("unknown_key", fingerprint(key))
    return Unauthenticated("unknown_key", fingerprint(key))
