"""Reads the API key of a call from its ``Authorization`` header (RFC 6750).

Examples
--------
>>> read_key("Bearer abc")
'abc'
>>> read_key("bearer   abc ")
'abc'
>>> read_key("")
NoKey()
>>> read_key("Bearer abc, Bearer def")
MalformedKey()
"""

from dataclasses import dataclass

from wigeonfront.accounts.directory import KEY_PATTERN, MAX_KEY_LENGTH

SCHEME = "bearer"


@dataclass(frozen=True, slots=True)
class NoKey:
    """The call has no key."""


@dataclass(frozen=True, slots=True)
class MalformedKey:
    """The header has another scheme, comes more than once or can't be parsed."""


def read_key(header: str) -> str | NoKey | MalformedKey:
    """Return the key in the value of an ``Authorization`` header.

    Parameters
    ----------
    header : str
        Value of the header; empty if there is none. The values of several headers are
        joined by commas.
    """
    text = header.strip(" \t")
    if not text:
        return NoKey()
    scheme, _, rest = text.partition(" ")
    key = rest.strip(" \t")
    if scheme.lower() != SCHEME or len(key) > MAX_KEY_LENGTH:
        return MalformedKey()
    return key if KEY_PATTERN.fullmatch(key) else MalformedKey()
