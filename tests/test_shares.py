import pytest

from wigeonfront.catalogue import Limits
from wigeonfront.entry.shares import equal_grant
from wigeonfront.policy.limits import Grant


@pytest.mark.parametrize("entries", [["a"], ["a", "b"], list("abcdefg")])
@pytest.mark.parametrize(("rate", "concurrency"), [(10.0, 5), (0.5, 64), (None, 1)])
def test_parts_add_up_to_the_limit(entries, rate, concurrency):
    limits = Limits(rate=rate, concurrency=concurrency)
    grants = [equal_grant(limits, name, entries) for name in entries]
    assert sum(grant.concurrency for grant in grants) == concurrency
    if rate is not None:
        assert sum(grant.rate for grant in grants) == pytest.approx(rate)


def test_no_limit_stays_none():
    assert equal_grant(Limits(), "a", ["b"]) == Grant()
