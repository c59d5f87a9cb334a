"""Tests of a storage process whose disk refuses operations."""

import errno
import os

import pytest

from deployed import Deployment
from rows_fakes import wait_for
from wigeonfront.clock import SystemClock
from wigeonfront.coordination.membership import STORAGE_PREFIX, decode_member
from wigeonfront.coordination.rows import Row
from wigeonfront.node.storage import _spool_metrics
from wigeonfront.spool import Recovered, SpoolClient, SpoolMember, Unreached
from wigeonfront.spool.folder import SpoolFolder


@pytest.fixture
def deployed():
    running = Deployment()
    yield running
    running.close()


@pytest.fixture
def refusals(monkeypatch):
    """Names of the folder operations that every disk refuses while they are in it."""
    names = set()

    def guarded(name, operation):
        def perform(*arguments):
            if name in names:
                raise OSError(errno.ENOSPC, os.strerror(errno.ENOSPC))
            return operation(*arguments)

        return perform

    for name in ("read", "create", "write", "sync"):
        operation = getattr(SpoolFolder, name)
        monkeypatch.setattr(SpoolFolder, name, guarded(name, operation))
    return names


def registered(deployed, name="s0"):
    row = deployed.rows.get(STORAGE_PREFIX + name)
    return decode_member(row, STORAGE_PREFIX) if isinstance(row, Row) else None


def member_of(disk):
    return SpoolMember(disk._settings.peer_address, disk._spool.disk)


def test_a_disk_that_refused_one_sync_serves_again(deployed, tmp_path, monkeypatch):
    # A disk that had refused one write was out of use until its process restarted.
    member = member_of(deployed.add_disk("s0", tmp_path))
    spool = SpoolClient(SystemClock())
    assert spool.append([member], "lot", 5, 0, 0, [b"a"])
    with monkeypatch.context() as patched:
        patched.setattr("os.fsync", refuse)
        assert not spool.append([member], "lot", 5, 0, 1, [b"a", b"refused"])
    recovered = wait_for(lambda: found(spool.recover([member], "lot", 6)))
    assert recovered == Recovered(0, (b"a",))


def refuse(descriptor):
    raise OSError(errno.ENOSPC, os.strerror(errno.ENOSPC))


def found(recovered):
    return recovered if isinstance(recovered, Recovered) else None


def test_entries_learn_whether_a_disk_accepts_data(deployed, tmp_path, refusals):
    disk = deployed.add_disk("s0", tmp_path)
    entry = deployed.add_entry("n1")
    wait_for(entry._view.disks)
    refusals.add("write")
    spool = SpoolClient(SystemClock())
    assert not spool.append([member_of(disk)], "lot", 5, 0, 0, [b"a"])
    wait_for(lambda: [member.refusing for member in entry._view.disks()] == [True])
    unreached = spool.recover([member_of(disk)], "lot", 6)
    assert isinstance(unreached, Unreached)
    assert os.strerror(errno.ENOSPC) in unreached.reason
    refusals.clear()
    wait_for(lambda: [member.refusing for member in entry._view.disks()] == [False])


@pytest.mark.parametrize("operation", ["read", "create", "write", "sync"])
def test_a_process_starts_on_a_disk_that_refuses(
    deployed, tmp_path, refusals, operation
):
    disk = deployed.add_disk("s0", tmp_path)
    member = member_of(disk)
    spool = SpoolClient(SystemClock())
    assert spool.append([member], "lot", 5, 0, 0, [b"a"])
    disk.stop()
    refusals.add(operation)
    port = int(member.address.rpartition(":")[2])
    disk = deployed.add_disk("s0", tmp_path, disk._settings.host, port)
    unreached = spool.recover([member], "lot", 6)
    assert isinstance(unreached, Unreached)
    assert not disk.failed
    if operation == "read":
        # Entries must not take the disk for a lost one, or for one without items.
        assert registered(deployed) is None
        assert isinstance(spool.keys(member.address, ""), Unreached)
        disk._retired_at = 1
        disk._answer_retire()
        assert not disk._answered
        disk._retired_at = 0
    else:
        wait_for(lambda: registered(deployed) and registered(deployed).refusing)
    refusals.clear()
    recovered = wait_for(lambda: found(spool.recover([member], "lot", 6)))
    assert recovered == Recovered(0, (b"a",))
    wait_for(lambda: registered(deployed) and not registered(deployed).refusing)
    assert registered(deployed).incarnation == member.disk


def test_the_metrics_tell_whether_the_disk_fails(deployed, tmp_path, refusals):
    disk = deployed.add_disk("s0", tmp_path)
    metrics = _spool_metrics(disk._spool)
    assert "spool_failed 0" in metrics.render_text()
    refusals.add("write")
    disk._spool.forget("lot")
    assert "spool_failed 1" in metrics.render_text()
    refusals.clear()
    wait_for(lambda: "spool_failed 0" in metrics.render_text())
    assert disk._spool.refused_seconds > 0
