"""Which of the calls that wait for bytes is shed, and when."""

import pytest

from wigeonfront.http.waiting import STALL_SECONDS, Wait, Waits, is_shed

NOW = 100.0
LONG, LONGER, LONGEST = NOW - 1, NOW - 2, NOW - 3
SHORT = NOW - STALL_SECONDS / 2


@pytest.mark.parametrize(
    ("since", "others", "shortage", "expected"),
    [
        (LONG, [], 0, False),
        (LONG, [], 1, True),
        (SHORT, [], 1, False),
        (LONG, [LONGER], 1, False),
        (LONGER, [LONG, SHORT], 1, True),
        (LONG, [LONGER], 2, True),
        (LONG, [LONGER, LONGEST], 2, False),
        (LONG, [LONGER, LONGEST], 9, True),
    ],
)
def test_the_calls_that_have_stalled_longest_are_shed(
    since, others, shortage, expected
):
    wait = Wait("server", since)
    rivals = [wait, *(Wait("server", other) for other in others)]
    assert is_shed(wait, rivals, NOW, shortage) is expected


@pytest.mark.parametrize(
    ("other", "short_of_memory", "short_of_threads", "expected"),
    [
        # Only calls of the same server occupy its threads.
        (Wait("other", LONGEST, held=1), 0, 1, True),
        (Wait("server", LONGEST), 0, 1, False),
        # The memory is that of the whole process.
        (Wait("other", LONGEST, held=1), 1, 0, False),
        (Wait("server", LONGEST), 1, 0, True),
    ],
)
def test_only_calls_that_occupy_what_others_need_are_compared(
    other, short_of_memory, short_of_threads, expected
):
    wait = Wait("server", LONG, held=1)
    waits = Waits()
    waits.add(wait)
    waits.add(other)
    waits.change_short_of_memory(short_of_memory)
    assert waits.is_shed(wait, NOW, short_of_threads) is expected


@pytest.mark.parametrize(
    ("held", "short_of_memory", "short_of_threads", "expected"),
    [
        (0, 0, 0, False),
        (0, 1, 0, False),
        (1, 1, 0, True),
        (0, 0, 1, True),
        (1, 0, 0, False),
    ],
)
def test_a_call_is_shed_for_a_thread_or_for_memory(
    held, short_of_memory, short_of_threads, expected
):
    waits = Waits()
    wait = Wait("server", LONG, held)
    waits.add(wait)
    waits.change_short_of_memory(short_of_memory)
    assert waits.is_shed(wait, NOW, short_of_threads) is expected
    waits.remove(wait)
    assert waits.count == 0
