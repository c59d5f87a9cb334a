"""The configuration's row, as an `api.operations.CatalogueFormat`.

Operators see an API key by its fingerprint. A document that they write may name a key
so, too: it stands for the key of the document that it replaces.
"""

from collections.abc import Callable, Iterator
from typing import Any

import msgspec

from wigeonfront.accounts import fingerprint
from wigeonfront.api.operations import BadDocument
from wigeonfront.configuration import Configuration
from wigeonfront.platform import records

FINGERPRINT_MARK = "fingerprint:"
"""Begins a key that is named by its fingerprint; no key contains a colon."""


class PlatformCatalogue:
    """The row that the platform's operators write."""

    key = records.CONFIGURATION_KEY

    def decode(self, value: bytes) -> Configuration | BadDocument:
        """Return the configuration that a document holds."""
        found = records.decode_configuration(value)
        if isinstance(found, records.BadRow):
            return BadDocument(found.reason)
        return found

    def redact_keys(self, value: bytes) -> bytes:
        """Return a document with fingerprints in place of keys."""
        return _with_keys(value, _mark)

    def contains_fingerprints(self, value: bytes) -> bool:
        """Tell whether a document names a key by its fingerprint."""
        return any(key.startswith(FINGERPRINT_MARK) for key in _keys(value))

    def restore_keys(self, value: bytes, present: bytes) -> bytes | BadDocument:
        """Return a document with the keys that its fingerprints stand for.

        Parameters
        ----------
        present : bytes
            The document that it replaces.
        """
        known = {_mark(key): key for key in _keys(present)}
        unknown = [
            key
            for key in _keys(value)
            if key.startswith(FINGERPRINT_MARK) and key not in known
        ]
        if unknown:
            return BadDocument(f"no key has the {unknown[0]}")
        return _with_keys(value, lambda key: known.get(key, key))


def _mark(key: str) -> str:
    if key.startswith(FINGERPRINT_MARK):
        return key
    return FINGERPRINT_MARK + fingerprint(key)


def _accounts(document: Any) -> Iterator[dict[str, Any]]:
    """Yield the accounts of a document that have keys; a malformed one has none."""
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


def _with_keys(value: bytes, replaced: Callable[[str], str]) -> bytes:
    document = _decoded(value)
    accounts = list(_accounts(document))
    if not accounts:
        return value
    for account in accounts:
        account["apiKeys"] = [
            replaced(key) if isinstance(key, str) else key for key in account["apiKeys"]
        ]
    return msgspec.json.encode(document)


def _decoded(value: bytes) -> Any:
    try:
        return msgspec.json.decode(value)
    except (msgspec.DecodeError, UnicodeDecodeError):
        return None
