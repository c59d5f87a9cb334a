"""Tells whether two requests are the same one under different ids."""

from hashlib import blake2b

from wigeonfront.forwarding.attempt import ForwardRequest

DIGEST_BYTES = 16


def fingerprint(request: ForwardRequest) -> str:
    """Return a digest of what makes a request do what it does at a target.

    That is its client account, host, method, path, query and body. Each attempt has an
    id of its own, and other headers differ between attempts as well.

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
    """Return the host that a request names; empty if it names none."""
    for name, value in request.headers:
        if name.lower() == "host":
            return value
    return ""
