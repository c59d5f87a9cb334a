"""Decides whether a call is taken, by its key and the age of what is known of keys.

A key that is unknown here may have been added since this process last heard of the
configuration. Callers don't repeat a call that got 401, so an old copy of the
configuration refuses for a moment only, and callers find another entry. A key that is
known goes on being served from an old copy, unless the operators want revoked keys
stopped for certain (`AdmissionBounds.strict`).
"""

from dataclasses import dataclass

from wigeonfront.accounts.authorization import MalformedKey, NoKey, read_key
from wigeonfront.accounts.directory import AccountDirectory, fingerprint

RETRY_SECONDS = 0.5
"""When a call that can't be decided may come back: the pause after which an entry has
found another source of the configuration."""


@dataclass(frozen=True, slots=True)
class AdmissionBounds:
    """How old a copy of the configuration may be for decisions about keys.

    Attributes
    ----------
    fresh_seconds : float
        Age up to which an unknown key is unknown for certain.
    strict : bool
        Calls with a key are refused once the copy is older than `revoke_seconds`.
    revoke_seconds : float
    """

    fresh_seconds: float = 2.0
    strict: bool = False
    revoke_seconds: float = 5.0


@dataclass(frozen=True, slots=True)
class Admitted:
    """The call is taken.

    Attributes
    ----------
    account : str
        That it is made for; empty for none.
    priority : int or None
        Of the account.
    """

    account: str = ""
    priority: int | None = None


@dataclass(frozen=True, slots=True)
class Unauthenticated:
    """The call brings no key that counts; another try would not either.

    Attributes
    ----------
    reason : str
        ``no_key``, ``malformed`` or ``unknown_key``.
    fingerprint : str
        Of the key; empty for none.
    """

    reason: str
    fingerprint: str = ""


@dataclass(frozen=True, slots=True)
class Undecided:
    """The copy of the configuration is too old to tell.

    Attributes
    ----------
    reason : str
        ``unknown_key`` or ``unconfirmed``.
    fingerprint : str
    retry_after : float
        Seconds.
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
    """Return whether a call is taken, and for which account.

    Parameters
    ----------
    directory : AccountDirectory or None
        ``None`` where the configuration has no accounts: all calls are taken.
    public : bool
        The call needs no key; one that it brings still names its account.
    header : str
        Value of the call's ``Authorization`` header.
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
