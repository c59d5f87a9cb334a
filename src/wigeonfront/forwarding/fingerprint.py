"""Fingerprints of requests, which recognise the same request under different ids."""

from hashlib import blake2b

from wigeonfront.forwarding.attempt import ForwardRequest

DIGEST_BYTES = 16


def fingerprint(request: ForwardRequest) -> str:
    """Return a digest of the parts of a request that determine its effect at a target.

    These are its client account, host, method, path, query and body. The id is left
    out because each attempt has its own, and the other headers because they also differ
    between attempts.

    Examples
    --------
    >>> first = ForwardRequest("1", "GET", "/a", (("Host", "h"),), b"")
    >>> again = ForwardRequest("2", "GET", "/a", (("host", "H"),), b"")
    >>> fingerprint(first) == fingerprint(again)
    True
    """
    digest = blake2b(digest_size=DIGEST_BYTES)
    host = host_of(request).lower()
    for text in (request.account, host, request.method, request.target):
        part = text.encode()
        digest.update(len(part).to_bytes(4))
        digest.update(part)
    digest.update(request.body)
    return digest.hexdigest()


def host_of(request: ForwardRequest) -> str:
    """Return the value of the ``Host`` header; empty if the request has none."""
    for name, value in request.headers:
        if name.lower() == "host":
            return value
    return ""
