"""Format of the configuration's row: an `api.operations.CatalogueFormat`.

Operators see the fingerprint of an API key in place of the key. A document that they
write may contain such a fingerprint as well. It stands for the key with that
fingerprint in the document that is replaced.
"""

from collections.abc import Callable, Iterator
from typing import Any

import msgspec

from wigeonfront.accounts import fingerprint
from wigeonfront.api.operations import BadDocument
from wigeonfront.configuration import Configuration
from wigeonfront.platform import records

FINGERPRINT_MARK = "fingerprint:"
"""Prefix of a fingerprint that stands for a key. No key contains a colon."""


class PlatformCatalogue:
    """Format of the row that the platform's operators write."""

    key = records.CONFIGURATION_KEY

    def decode(self, value: bytes) -> Configuration | BadDocument:
        """Return the configuration in a document, or why there is none."""
        decoded = records.decode_configuration(value)
        if isinstance(decoded, records.BadRow):
            return BadDocument(decoded.reason)
        return decoded

    def redact_keys(self, value: bytes) -> bytes:
        """Return a document with each key replaced by its fingerprint."""
        return _with_keys(value, _to_fingerprint)

    def contains_fingerprints(self, value: bytes) -> bool:
        """Return whether a document contains a fingerprint in place of a key."""
        return any(key.startswith(FINGERPRINT_MARK) for key in _keys(value))

    def restore_keys(self, value: bytes, present: bytes) -> bytes | BadDocument:
        """Return a document with each fingerprint replaced by the key it stands for.

        Parameters
        ----------
        value : bytes
        present : bytes
            The document that is replaced. It contains the keys.

        Returns
        -------
        bytes or BadDocument
            `BadDocument` if no key in `present` has one of the fingerprints.
        """
        known = {_to_fingerprint(key): key for key in _keys(present)}
        unknown = [
            key
            for key in _keys(value)
            if key.startswith(FINGERPRINT_MARK) and key not in known
        ]
        if unknown:
            return BadDocument(f"no key has the {unknown[0]}")
        return _with_keys(value, lambda key: known.get(key, key))


def _to_fingerprint(key: str) -> str:
    """Return the marked fingerprint of a key; a fingerprint is returned unchanged."""
    if key.startswith(FINGERPRINT_MARK):
        return key
    return FINGERPRINT_MARK + fingerprint(key)


def _accounts(document: Any) -> Iterator[dict[str, Any]]:
    """Yield the accounts of a document that have a list of keys.

    Yields nothing for a malformed document.
    """
    accounts = document.get("tenants") if isinstance(document, dict) else None
    for account in accounts if isinstance(accounts, list) else ():
        if isinstance(account, dict) and isinstance(account.get("apiKeys"), list):
            yield account


def _keys(value: bytes) -> list[str]:
    return [
        key
        for account in _accounts(_decoded(value))
        for key in account["apiKeys"]
        if isinstance(key, str)
    ]


def _with_keys(value: bytes, replace: Callable[[str], str]) -> bytes:
    """Return a document with `replace` applied to each key.

    A document without keys is returned byte for byte.
    """
    document = _decoded(value)
    accounts = list(_accounts(document))
    if not accounts:
        return value
    for account in accounts:
        account["apiKeys"] = [
            replace(key) if isinstance(key, str) else key for key in account["apiKeys"]
        ]
    return msgspec.json.encode(document)


def _decoded(value: bytes) -> Any:
    """Return the decoded document, or ``None`` if it is not JSON."""
    try:
        return msgspec.json.decode(value)
    except (msgspec.DecodeError, UnicodeDecodeError):
        return None
