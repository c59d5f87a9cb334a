"""Which of the calls that wait for bytes gives way, and when."""

import pytest

from wigeonfront.http.waiting import STANDSTILL_SECONDS, Wait, Waits, gives_way

NOW = 100.0
LONG, LONGER, LONGEST = NOW - 1, NOW - 2, NOW - 3
SHORT = NOW - STANDSTILL_SECONDS / 2


@pytest.mark.parametrize(
    ("since", "others", "lacking", "expected"),
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
@pytest.mark.parametrize("holding", [False, True])
def test_the_calls_that_have_waited_longest_give_way(
    since, others, lacking, expected, holding
):
    wait = Wait("server", since, held=1)
    waits = [wait, *(Wait("server", other, held=1) for other in others)]
    assert gives_way(wait, waits, NOW, lacking, holding) is expected


@pytest.mark.parametrize(
    ("other", "holding", "expected"),
    [
        # Only calls of the same server use its threads.
        (Wait("other", LONGEST, held=1), False, True),
        (Wait("server", LONGEST), False, False),
        # The memory is that of the whole process.
        (Wait("other", LONGEST, held=1), True, False),
        (Wait("server", LONGEST), True, True),
    ],
)
def test_only_calls_that_hold_what_others_lack_are_compared(other, holding, expected):
    wait = Wait("server", LONG, held=1)
    assert gives_way(wait, [wait, other], NOW, 1, holding) is expected


@pytest.mark.parametrize(
    ("held", "without_room", "lacking_threads", "expected"),
    [
        (0, 0, 0, False),
        (0, 1, 0, False),
        (1, 1, 0, True),
        (0, 0, 1, True),
        (1, 0, 0, False),
    ],
)
def test_a_call_gives_way_for_a_thread_or_for_room(
    held, without_room, lacking_threads, expected
):
    waits = Waits()
    wait = Wait("server", LONG, held)
    waits.add(wait)
    waits.change_without_room(without_room)
    assert waits.gives_way(wait, NOW, lacking_threads) is expected
    waits.remove(wait)
    assert waits.count == 0
