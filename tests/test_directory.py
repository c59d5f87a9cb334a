import pytest

from wigeonfront.clock import ManualClock
from wigeonfront.entry.directory import VISIT_SECONDS, Announcements, Directory
from wigeonfront.entry.peers import Identity
from wigeonfront.platform import Vm


class Tasks:
    """A supervisor that notes its tasks and runs none."""

    def __init__(self):
        self.names = set()

    def start(self, name, run):
        self.names.add(name)

    def stop_task(self, name):
        self.names.discard(name)


def vm(name, service="desk", role="side"):
    return Vm(name, role, service, "a", "127.0.0.1:1")


@pytest.fixture
def clock():
    return ManualClock()


@pytest.fixture
def directory(clock):
    def select(service, vms):
        return [one for one in vms if one.name != "far"]

    return Directory(
        Tasks(), Identity("e", "i"), clock, 1.0, Announcements(), select=select
    )


def test_side_outside_the_subset_is_reached_while_it_is_used(directory, clock):
    listed = [vm("near"), vm("far"), vm("e", "", "entry")]
    directory.update(listed)
    assert directory.peer("far") is None
    assert directory.reach("far") is directory.peer("far") is not None
    # With a session open it goes as well, once nothing is outstanding there.
    directory.peer("far")._connected = True
    directory.peer("far")._disconnected_since = None
    clock.advance(VISIT_SECONDS / 2)
    directory.update(listed)
    assert directory.peer("far") is not None
    clock.advance(VISIT_SECONDS)
    directory.update(listed)
    assert directory.peer("far") is None
    assert directory.peer("near") is not None


@pytest.mark.parametrize("name", ["e", "unknown"])
def test_no_peer_is_made_of_what_is_no_side(directory, name):
    directory.update([vm("near"), vm("e", "", "entry")])
    assert directory.reach(name) is None


def test_side_off_the_list_goes_once_it_is_silent(directory, clock):
    directory.update([vm("near")])
    directory.update([])
    assert directory.peer("near") is not None
    clock.advance(11.0)
    directory.update([])
    assert directory.peer("near") is None


def test_peer_is_made_and_ended_once_whoever_comes_in_between(directory, clock):
    """Two threads may reach a side at once, or one while its peer is removed."""
    started = []

    class Watched(Tasks):
        def start(self, name, run):
            assert directory._lock.locked()
            started.append(name)

        def stop_task(self, name):
            assert directory._lock.locked()

    directory._supervisor = Watched()
    directory.update([vm("near")])
    directory._add(vm("near"))
    assert started == ["near"]
    assert len(directory.peers("desk")) == 1
    directory._remove(directory.peer("near"))
    assert directory.peers("desk") == []
