"""Logs: lines of key=value pairs, which `explain` can parse."""

import io
import logging

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from wigeonfront.observability import logs
from wigeonfront.observability.explain import parse_line


@pytest.mark.parametrize(
    ("value", "text"),
    [
        ("judge-llm-3", "judge-llm-3"),
        (7, "7"),
        (0.123456789, "0.1235"),
        (True, "True"),
        ("", '""'),
        ("two words", '"two words"'),
        ('say "no"', r'"say \"no\""'),
        ("a=b", '"a=b"'),
        ("line\nbreak", r'"line\nbreak"'),
        ("ljóð", r'"lj\u00f3\u00f0"'),
    ],
)
def test_a_value_with_special_characters_is_quoted(value, text):
    assert logs.format_value(value) == text


@settings(derandomize=True, max_examples=200)
@given(st.dictionaries(st.from_regex(r"[a-z_]{1,9}", fullmatch=True), st.text()))
def test_a_parsed_line_equals_the_logged_fields(fields):
    line = logs.format_pairs(fields)
    assert "\n" not in line
    assert parse_line(line) == fields


def test_a_configured_process_writes_one_line_for_each_event(monkeypatch):
    output = io.StringIO()
    monkeypatch.setattr("sys.stdout", output)
    root = logging.getLogger()
    handlers, level = root.handlers[:], root.level
    try:
        logs.configure("entry%a", "info")
        logs.event(logging.getLogger("x"), "placed", request="r1", reason="a b")
        logs.event(logging.getLogger("x"), "unseen", level=logging.DEBUG)
        logs.flush(3.0)
    finally:
        root.handlers[:] = handlers
        root.setLevel(level)
    (line,) = output.getvalue().splitlines()
    pairs = parse_line(line)
    assert float(pairs.pop("time")) > 0
    assert pairs == {
        "level": "INFO",
        "process": "entry%a",
        "event": "placed",
        "request": "r1",
        "reason": "a b",
    }
