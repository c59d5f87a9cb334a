"""Usage as the platform gets it from entries in this process, over real sockets."""

import time
from collections import Counter
from dataclasses import replace

import pytest

import deployed as deployments
from deployed import BOUNDS, Deployment
from platform_standins.duties import DutyServer
from rows_fakes import free_address, wait_for
from test_account_calls import O1, S1, configure, plain, submit
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
    made = Deployment()
    configure(made, 2)
    yield made
    made.close()
    assert platform.judge.violations == []


def add_entry(deployed, platform, name):
    return deployed.add_entry(
        name,
        failure_domain="z1",
        duty_address=platform.address,
        duties=frozenset((Duty.USAGE,)),
    )


def reported(platform):
    total = Counter()
    for counts in platform.judge.reports.values():
        total.update(counts)
    return dict(total)


def whole(platform):
    """Tell whether each window was reported between the first and the last."""
    windows = sorted(platform.judge.reports)
    return windows == list(range(windows[0], windows[-1] + 1))


def test_what_began_is_reported_once_by_account(deployed, platform):
    entries = [add_entry(deployed, platform, name) for name in ("n1", "n2")]
    for number in range(5):
        entry = entries[number % 2]
        assert plain(entry, f"s{number}", **S1).status == 200
        assert plain(entry, f"o{number}", **(O1 if number else {})).status != 503
    deployed.plain.refuse = True
    assert plain(entries[0], "refused", **S1).status == 503
    assert submit(entries[0], "l1", **S1).status == 202
    wait_for(lambda: reported(platform) == {"studio": 5, "other": 4}, 10.0)
    seen = len(platform.judge.reports)
    wait_for(lambda: len(platform.judge.reports) > seen + 2, 10.0)
    assert reported(platform) == {"studio": 5, "other": 4}
    assert whole(platform)


def test_starts_outlive_the_entry_that_noted_them(deployed, platform):
    first, second = (add_entry(deployed, platform, name) for name in ("n1", "n2"))
    wait_for(lambda: platform.judge.calls, 10.0)
    holder = platform.judge.calls[0].holder
    dies, lives = (second, first) if holder == "n1" else (first, second)
    wait_for(lambda: len(dies._view.members()) == 2)
    wait_for(lambda: time.time() % WINDOW < WINDOW / 3)
    assert plain(dies, "s1", **S1).status == 200
    time.sleep(0.4)
    dies.close()
    assert plain(lives, "s2", **S1).status == 200
    wait_for(lambda: reported(platform) == {"studio": 2}, 15.0)


def test_a_report_is_repeated_as_it_was_until_it_is_taken(deployed, platform):
    entry = add_entry(deployed, platform, "n1")
    wait_for(lambda: platform.judge.reports, 10.0)
    platform.deaf = True
    assert plain(entry, "s1", **S1).status == 200
    calls = len(platform.judge.calls)
    wait_for(lambda: len(platform.judge.calls) > calls + 3, 10.0)
    platform.deaf = False
    platform.status = 429
    assert plain(entry, "s2", **S1).status == 200
    time.sleep(1.5)
    platform.status = 200
    wait_for(lambda: reported(platform) == {"studio": 2}, 10.0)


def test_another_machine_goes_on_where_the_holder_is_lost(deployed, platform):
    entries = [add_entry(deployed, platform, name) for name in ("n1", "n2", "n3")]
    for entry in entries:
        assert plain(entry, f"s-{entry._settings.name}", **S1).status == 200
    wait_for(lambda: reported(platform) == {"studio": 3}, 15.0)
    lost = platform.judge.calls[-1].holder
    for entry in entries:
        if entry._settings.name == lost:
            entry.close()
    live = next(entry for entry in entries if entry._settings.name != lost)
    assert plain(live, "s4", **S1).status == 200
    wait_for(lambda: reported(platform) == {"studio": 4}, 30.0)
    assert platform.judge.calls[-1].holder != lost
    # What is late is sent behind what is due.
    wait_for(lambda: whole(platform), 5.0)
