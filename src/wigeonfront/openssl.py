"""Keeps OpenSSL out of a process that uses plain HTTP only.

Python's `ssl` and the OpenSSL variants of `hashlib` map libssl and libcrypto. These
take 5 MiB of resident memory, of the 32 MiB that the control processes may use on a
node. urllib3, http.client, hashlib and hmac all work where the modules can't be
imported: hashlib has its own implementations of the hashes used here, such as BLAKE2.
"""

import sys

MODULES = ("ssl", "_ssl", "_hashlib")


def block_imports() -> bool:
    """Make every later import of Python's OpenSSL modules fail.

    Returns
    -------
    bool
        Whether imports are blocked; ``False``, with nothing changed, where one of the
        modules is already imported.
    """
    if any(sys.modules.get(name) for name in MODULES):
        return False
    sys.modules.update(dict.fromkeys(MODULES))
    return True
