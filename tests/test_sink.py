import pytest

from wigeonfront.entry.sink import KEY_REUSED, as_told
from wigeonfront.outcomes import Completed, Failed, Interrupted, NotRun, Unknown


@pytest.mark.parametrize(
    ("outcome", "told"),
    [
        (NotRun(KEY_REUSED), Failed(KEY_REUSED, 422)),
        (NotRun("queue_full"), NotRun("queue_full")),
        (Failed("stale_weights", 409), Interrupted("stale_weights")),
        (Failed("stale_version"), Interrupted("stale_version")),
        (Failed("engine error"), Failed("engine error")),
        (Unknown("peer_lost"), Unknown("peer_lost")),
        (Completed("answer"), Completed("answer")),
    ],
)
def test_what_an_attempt_counts_for(outcome, told):
    assert as_told(outcome) == told
