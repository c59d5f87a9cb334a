"""Reads KNOWN-RED.txt, the list of tests that fail because of a known fault."""

from pathlib import Path

LIST = Path(__file__).resolve().parent.parent / "KNOWN-RED.txt"


def entries(text):
    """Return the lines of `text` that name a test."""
    lines = (line.strip() for line in text.splitlines())
    return [line for line in lines if line and not line.startswith("#")]


def node_id(entry):
    """Return the pytest node id of the test that an entry names."""
    return entry.partition(", ")[0]


def read_entries():
    """Return the entries of KNOWN-RED.txt; none if there is no such file."""
    return entries(LIST.read_text()) if LIST.exists() else []
