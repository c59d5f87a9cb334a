"""Leaves OpenSSL out of a daemon that speaks plain HTTP only.

Python's `ssl` and the OpenSSL variants of `hashlib` map libssl and libcrypto, which
take 5 MiB of resident memory of the 32 that control may use on a node. urllib3,
http.client, hashlib and hmac all go without them where they can't be imported;
hashlib has the hashes used here, such as BLAKE2, built in.
"""

import sys

MODULES = ("ssl", "_ssl", "_hashlib")


def block_imports() -> bool:
    """Make the import of OpenSSL's modules fail from now on.

    Returns
    -------
    bool
        ``False``, and nothing is changed, where one of them is imported already.
    """
    if any(sys.modules.get(name) for name in MODULES):
        return False
    sys.modules.update(dict.fromkeys(MODULES))
    return True
