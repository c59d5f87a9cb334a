"""Which requests have the same fingerprint."""

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
        # The boundaries between the parts of a request matter.
        ({"method": "POS", "target": "T/a?x=1"}, False),
        ({"target": "/a?x=1i", "body": b"n"}, False),
    ],
)
def test_only_what_determines_the_effect_changes_the_fingerprint(change, same):
    other = replace(REQUEST, **change)
    assert (fingerprint(other) == fingerprint(REQUEST)) is same
