"""Which requests count as the same one."""

from dataclasses import replace

import pytest

from wigeonfront.forwarding import ForwardRequest
from wigeonfront.forwarding.fingerprint import fingerprint

REQUEST = ForwardRequest(
    "r1", "POST", "/a?x=1", (("Host", "h.example"),), b"in", True, "studio"
)


@pytest.mark.parametrize(
    ("change", "same"),
    [
        ({"id": "r2"}, True),
        ({"headers": (("host", "H.example"), ("Wigeonfront-Deadline-Ms", "1"))}, True),
        ({"priority": 3, "repeatable": False}, True),
        ({"method": "PUT"}, False),
        ({"target": "/a?x=2"}, False),
        ({"headers": (("Host", "other.example"),)}, False),
        ({"body": b"in2"}, False),
        ({"account": "farm"}, False),
        # Where one part ends and the next begins matters.
        ({"method": "POS", "target": "T/a?x=1"}, False),
        ({"target": "/a?x=1i", "body": b"n"}, False),
    ],
)
def test_what_makes_a_request_the_same_one(change, same):
    other = replace(REQUEST, **change)
    assert (fingerprint(other) == fingerprint(REQUEST)) is same
