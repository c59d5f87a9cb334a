import pytest

from wigeonfront.rollout.events import EventReader, StreamEvent, Text

FIELD = b"weight-version:"
STREAM = b"id: 1\ndata: one\n\nweight-version: 7\nid: 2\ndata: two\ndata: more\n\n"
EVENTS = [StreamEvent(1, b"one"), StreamEvent(2, b"two\nmore", 7)]


@pytest.mark.parametrize("size", [1, 2, 3, 7, 20, 1000])
def test_events_are_parsed_whole_from_pieces_of_any_size(size):
    reader = EventReader(FIELD)
    found = []
    for start in range(0, len(STREAM), size):
        found += reader.feed(STREAM[start : start + size])
    assert found == EVENTS
    assert reader.rest == b""


def test_an_incomplete_event_at_the_end_is_not_returned():
    reader = EventReader(FIELD)
    assert reader.feed(STREAM + b"id: 3\ndata: to") == EVENTS
    assert reader.rest.startswith(b"id: 3")


@pytest.mark.parametrize("id", [0, 1, 3])
def test_a_text_accepts_only_the_event_with_the_next_id(id):
    text = Text([b"one"], {1})
    assert not text.add(StreamEvent(id, b"x"), 2)
    assert text.add(StreamEvent(2, b"two"), 2)
    assert text.joined() == b"one\ntwo"
    assert text.versions == {1, 2}


@pytest.mark.parametrize(
    ("versions", "min_version", "single", "fits"),
    [
        (set(), 5, True, True),
        ({4}, 5, False, False),
        ({5, 6}, 5, False, True),
        ({5, 6}, 5, True, False),
        ({6}, 5, True, True),
        ({4, 6}, 5, False, False),
    ],
)
def test_a_text_fits_only_if_all_its_versions_do(versions, min_version, single, fits):
    assert Text([b"x"], versions).fits(min_version, single) is fits
