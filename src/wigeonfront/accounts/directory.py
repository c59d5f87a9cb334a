"""Lookup of the client accounts of a configuration by their API keys.

Keys are held only as digests: a directory that is logged or dumped shows no key, and a
lookup takes the same time whichever part of a key is wrong.

Examples
--------
>>> account = ClientAccount("studio", priority=1)
>>> directory = make_directory([(account, ["k-1", "k-2"])])
>>> directory.find("k-2").name
'studio'
>>> directory.find("k-3") is None
True
>>> make_directory([(account, ["k-1"]), (ClientAccount("other"), ["k-1"])])
BadAccounts(reason='accounts studio and other share the key be98cc81')
"""

import re
from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from hashlib import blake2b

DIGEST_BYTES = 16
FINGERPRINT_BYTES = 4

MAX_KEY_LENGTH = 1_024
"""Maximum number of characters of a key: a quarter of what many servers accept as one
header."""

MAX_NAME_LENGTH = 64
"""Maximum number of characters of an account's name, which is part of store keys."""

KEY_PATTERN = re.compile(r"[A-Za-z0-9._~+/-]+=*")
"""Syntax of a bearer token in a header (RFC 6750, section 2.1)."""

NAME_PATTERN = re.compile(r"[!-~]+")


@dataclass(frozen=True, slots=True)
class ClientAccount:
    """An account on whose behalf callers call.

    Attributes
    ----------
    name : str
    priority : int or None
        Priority of the account's requests, which overrides that of a route; 0 is the
        most urgent. ``None`` for the route's priority.
    """

    name: str
    priority: int | None = None


@dataclass(frozen=True, slots=True)
class BadAccounts:
    """The accounts contradict each other, or have names or keys that no call can use.

    Attributes
    ----------
    reason : str
    """

    reason: str


class AccountDirectory:
    """Immutable map from keys to accounts; `make_directory` builds it.

    Parameters
    ----------
    by_digest : mapping of bytes to ClientAccount
        The accounts by the digests of their keys.
    """

    def __init__(self, by_digest: Mapping[bytes, ClientAccount]) -> None:
        self._by_digest = by_digest

    def __len__(self) -> int:
        return len(self._by_digest)

    def find(self, key: str) -> ClientAccount | None:
        """Return the account that holds `key`, or ``None``."""
        return self._by_digest.get(_digest(key))


def make_directory(
    accounts: Iterable[tuple[ClientAccount, Iterable[str]]],
) -> AccountDirectory | BadAccounts:
    """Return the directory of accounts and their keys, or why they are invalid."""
    by_digest: dict[bytes, ClientAccount] = {}
    names: set[str] = set()
    for account, keys in accounts:
        reason = _invalid_name_reason(account.name, names)
        if reason:
            return BadAccounts(reason)
        names.add(account.name)
        for key in keys:
            reason = _invalid_key_reason(account, key, by_digest)
            if reason:
                return BadAccounts(reason)
            by_digest[_digest(key)] = account
    return AccountDirectory(by_digest)


def fingerprint(key: str) -> str:
    """Return eight hexadecimal digits that stand for a key in logs and listings."""
    return blake2b(key.encode(), digest_size=FINGERPRINT_BYTES).hexdigest()


def _invalid_name_reason(name: str, names: set[str]) -> str:
    if not NAME_PATTERN.fullmatch(name) or len(name) > MAX_NAME_LENGTH:
        return f"account name {name[:MAX_NAME_LENGTH]!r} is empty, too long or unfit"
    return f"account {name} stands twice" if name in names else ""


def _invalid_key_reason(
    account: ClientAccount, key: str, known: Mapping[bytes, ClientAccount]
) -> str:
    if not KEY_PATTERN.fullmatch(key) or len(key) > MAX_KEY_LENGTH:
        return f"account {account.name} has a key that is empty, too long or unfit"
    other = known.get(_digest(key))
    if other is None:
        return ""
    if other.name == account.name:
        return f"account {account.name} has the key {fingerprint(key)} twice"
    return f"accounts {other.name} and {account.name} share the key {fingerprint(key)}"


def _digest(key: str) -> bytes:
    return blake2b(key.encode(), digest_size=DIGEST_BYTES).digest()
