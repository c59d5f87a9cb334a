"""Usage reports of in-process entries to a platform stand-in, over real sockets."""

import time
from collections import Counter
from dataclasses import replace

import pytest

import deployed as deployments
from deployed import BOUNDS, Deployment
from platform_standins.duties import DutyServer
from rows_fakes import free_address, wait_for
from test_account_calls import O1, S1, call_plain, configure, submit
from wigeonfront.duties import Duty

WINDOW = 1.0
DUE = 6.0


@pytest.fixture
def platform(monkeypatch):
    bounds = replace(BOUNDS, usage_window_seconds=WINDOW, usage_due_seconds=DUE)
    monkeypatch.setattr(deployments, "BOUNDS", bounds)
    server = DutyServer(free_address())
    server.start()
    yield server
    server.stop()


@pytest.fixture
def deployed(platform):
    deployment = Deployment()
    configure(deployment, 2)
    yield deployment
    deployment.close()
    assert platform.checker.violations == []


def add_entry(deployed, platform, name):
    return deployed.add_entry(
        name,
        failure_domain="z1",
        duty_address=platform.address,
        duties=frozenset((Duty.USAGE,)),
    )


def reported_counts(platform):
    total = Counter()
    for counts in platform.checker.reports.values():
        total.update(counts)
    return dict(total)


def has_all_windows(platform):
    """Return whether every window between the first and the last was reported."""
    windows = sorted(platform.checker.reports)
    return windows == list(range(windows[0], windows[-1] + 1))


def test_started_requests_are_reported_once_by_account(deployed, platform):
    entries = [add_entry(deployed, platform, name) for name in ("n1", "n2")]
    for number in range(5):
        entry = entries[number % 2]
        assert call_plain(entry, f"s{number}", **S1).status == 200
        assert call_plain(entry, f"o{number}", **(O1 if number else {})).status != 503
    deployed.plain.refuse = True
    assert call_plain(entries[0], "refused", **S1).status == 503
    assert submit(entries[0], "l1", **S1).status == 202
    wait_for(lambda: reported_counts(platform) == {"studio": 5, "other": 4}, 10.0)
    reports = len(platform.checker.reports)
    wait_for(lambda: len(platform.checker.reports) > reports + 2, 10.0)
    assert reported_counts(platform) == {"studio": 5, "other": 4}
    assert has_all_windows(platform)


def test_starts_survive_the_end_of_the_entry_that_recorded_them(deployed, platform):
    first, second = (add_entry(deployed, platform, name) for name in ("n1", "n2"))
    wait_for(lambda: platform.checker.calls, 10.0)
    holder = platform.checker.calls[0].holder
    closed, live = (second, first) if holder == "n1" else (first, second)
    wait_for(lambda: len(closed._view.members()) == 2)
    wait_for(lambda: time.time() % WINDOW < WINDOW / 3)
    assert call_plain(closed, "s1", **S1).status == 200
    time.sleep(0.4)
    closed.close()
    assert call_plain(live, "s2", **S1).status == 200
    wait_for(lambda: reported_counts(platform) == {"studio": 2}, 15.0)


def test_report_is_repeated_unchanged_until_it_is_accepted(deployed, platform):
    entry = add_entry(deployed, platform, "n1")
    wait_for(lambda: platform.checker.reports, 10.0)
    platform.drop_answers = True
    assert call_plain(entry, "s1", **S1).status == 200
    calls = len(platform.checker.calls)
    wait_for(lambda: len(platform.checker.calls) > calls + 3, 10.0)
    platform.drop_answers = False
    platform.status = 429
    assert call_plain(entry, "s2", **S1).status == 200
    time.sleep(1.5)
    platform.status = 200
    wait_for(lambda: reported_counts(platform) == {"studio": 2}, 10.0)


def test_another_machine_takes_over_the_duty_of_a_lost_holder(deployed, platform):
    entries = [add_entry(deployed, platform, name) for name in ("n1", "n2", "n3")]
    for entry in entries:
        assert call_plain(entry, f"s-{entry._settings.name}", **S1).status == 200
    wait_for(lambda: reported_counts(platform) == {"studio": 3}, 15.0)
    lost = platform.checker.calls[-1].holder
    for entry in entries:
        if entry._settings.name == lost:
            entry.close()
    live = next(entry for entry in entries if entry._settings.name != lost)
    assert call_plain(live, "s4", **S1).status == 200
    wait_for(lambda: reported_counts(platform) == {"studio": 4}, 30.0)
    assert platform.checker.calls[-1].holder != lost
    # Late windows are sent after those that are still due.
    wait_for(lambda: has_all_windows(platform), 5.0)
