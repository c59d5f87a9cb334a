"""Only the tests that KNOWN-RED.txt lists are deselected."""

import pytest

from conftest import pytest_collection_modifyitems
from known_red import LIST, entries, node_id

LISTED = """
# test, cause, issue
tests/test_a.py::test_one[512], a cause, with a comma, issue 3; command

tests/test_b.py::test_two, not traced, issue 4; command
"""


def test_an_entry_begins_with_the_id_of_its_test():
    names = [node_id(entry) for entry in entries(LISTED)]
    assert names == ["tests/test_a.py::test_one[512]", "tests/test_b.py::test_two"]


class Item:
    def __init__(self, nodeid):
        self.nodeid = nodeid


class Config:
    def __init__(self, known_red):
        self.known_red = known_red
        self.hook = self
        self.deselected = []

    def getoption(self, name):
        return self.known_red

    def pytest_deselected(self, items):
        self.deselected.extend(item.nodeid for item in items)


@pytest.mark.parametrize(
    ("asked", "deselected"),
    [
        (False, ["tests/test_a.py::test_one[512]", "tests/test_b.py::test_two"]),
        (True, []),
    ],
)
def test_only_listed_tests_are_deselected(monkeypatch, tmp_path, asked, deselected):
    path = tmp_path / LIST.name
    path.write_text(LISTED)
    monkeypatch.setattr("known_red.LIST", path)
    names = ["a.py::test_one[512]", "a.py::test_one[5120]", "b.py::test_two", "b.py::x"]
    names = [f"tests/test_{name}" for name in names]
    items = [Item(name) for name in names]
    config = Config(asked)
    pytest_collection_modifyitems(config, items)
    assert config.deselected == deselected
    assert [item.nodeid for item in items] == [
        name for name in names if name not in deselected
    ]
