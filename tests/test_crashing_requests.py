"""Requests that crash each target that runs them, sent to entries over real sockets."""

import base64
import itertools
import time

import msgspec
import pytest

from deployed import Deployment
from platform_standins import deployment
from platform_standins.crashing import CrashingService
from platform_standins.deployment import ENGINES, HOST, MODEL, PLAIN
from rows_fakes import free_address, wait_for
from wigeonfront.http.client import Answer, Pool
from wigeonfront.quarantine import policy

PROPAGATION_SECONDS = 3.0
MAX_RETRIES = 3
CRASHES = b"this one crashes you"
HARMLESS = b"this one does not"

_ids = itertools.count(1)


@pytest.fixture
def deployed():
    made = Deployment()
    made.rows.remove(f"servers/{made.plain.id}")
    yield made
    made.close()


def start_services(deployed, name):
    def started(id, address):
        deployment.register(deployed.rows, id, name, address, models=[])

    def ended(id):
        deployed.rows.remove(f"servers/{id}")

    made = [
        CrashingService(free_address(), f"i-c{number}", started, ended)
        for number in range(3)
    ]
    for service in made:
        service.crashing_bodies.add(CRASHES)
        service.start()
    return made


@pytest.fixture
def services(deployed):
    made = start_services(deployed, PLAIN)
    yield made
    for service in made:
        service.stop()


@pytest.fixture
def engines(deployed):
    for engine in deployed.engines:
        deployed.rows.remove(f"servers/{engine.id}")
    made = start_services(deployed, ENGINES)
    yield made
    for engine in made:
        engine.stop()


def send(entry, body, path="/plain/a"):
    """Send a request under a new attempt id, as a caller that retries does."""
    pool = Pool(entry._settings.front_address)
    headers = {"Host": HOST, "Wigeonfront-Attempt-Id": f"a{next(_ids)}"}
    answer = pool.call("POST", path, body, headers, timeout=4.0)
    pool.close()
    assert isinstance(answer, Answer)
    return answer


def arrivals(services, body):
    return sorted(
        arrival.at
        for service in services
        for arrival in service.arrivals
        if arrival.body == body
    )


def crashed_at(services):
    return sorted(at for service in services for at in service.crashed_at)


def crash_three_targets(entry, services):
    """Send a request to one entry until it has crashed three targets."""
    wait_for(lambda: send(entry, CRASHES) and len(crashed_at(services)) >= 3)


def wait_until_served(entry, body):
    return wait_for(lambda: send(entry, body).status == 200)


def test_sends_of_a_request_that_crashed_three_targets_are_bounded(deployed, services):
    entries = [deployed.add_entry(name) for name in ("n1", "n2")]
    for entry in entries:
        wait_until_served(entry, HARMLESS)
    entries_in_turn = itertools.cycle(entries)
    wait_for(
        lambda: send(next(entries_in_turn), CRASHES) and len(crashed_at(services)) >= 3
    )
    quarantined_from = crashed_at(services)[2] + PROPAGATION_SECONDS
    time.sleep(max(0.0, quarantined_from - time.monotonic()))
    for _ in range(12):
        assert send(next(entries_in_turn), CRASHES).status in (502, 503)
        time.sleep(0.2)
    late_arrivals = [at for at in arrivals(services, CRASHES) if at > quarantined_from]
    assert len(late_arrivals) <= MAX_RETRIES
    for entry in entries:
        wait_until_served(entry, HARMLESS)


@pytest.mark.parametrize("started_before", [True, False])
def test_an_entry_that_saw_no_crash_also_refuses_the_request(
    deployed, services, started_before
):
    first = deployed.add_entry("n1")
    second = deployed.add_entry("n2") if started_before else None
    wait_until_served(first, HARMLESS)
    crash_three_targets(first, services)
    second = second or deployed.add_entry("n2")
    wait_for(lambda: second._ledger.fingerprints())
    wait_until_served(second, HARMLESS)
    before = len(arrivals(services, CRASHES))
    answer = send(second, CRASHES)
    assert (answer.status, answer.retry_after > 500) == (503, True)
    assert len(arrivals(services, CRASHES)) == before


def test_the_same_body_on_another_path_is_a_different_request(deployed, services):
    entry = deployed.add_entry("n1")
    wait_until_served(entry, HARMLESS)
    crash_three_targets(entry, services)
    wait_until_served(entry, HARMLESS)
    before = len(arrivals(services, CRASHES))
    send(entry, CRASHES, path="/plain/b")
    assert len(arrivals(services, CRASHES)) > before


def test_an_answer_clears_the_crashes_of_a_harmless_request(deployed, services):
    entry = deployed.add_entry("n1")
    wait_until_served(entry, HARMLESS)
    services[2].crashing_bodies.clear()
    wait_for(lambda: send(entry, CRASHES).status == 200 and crashed_at(services))
    wait_for(lambda: entry._ledger.empty)
    wait_for(lambda: not deployed.rows.list("live/crash/").rows)


def test_a_stream_that_crashed_its_targets_is_refused(deployed, services):
    changed = deployment.configuration(2, kind="streaming", resumable=True)
    deployed.rows.put("op/config", changed)
    entry = deployed.add_entry("n1")
    wait_for(lambda: len(entry._table.views(PLAIN)) == len(services))
    crash_three_targets(entry, services)
    wait_for(lambda: send(entry, CRASHES).status == 503)
    before = len(arrivals(services, CRASHES))
    answer = send(entry, CRASHES)
    assert (answer.status, answer.retry_after > 500) == (503, True)
    assert len(arrivals(services, CRASHES)) == before


def submit(entry, lot_id, body):
    sample = {
        "id": f"{lot_id}-0",
        "path": "/lots-in/0",
        "headers": {"Wigeonfront-Model": MODEL},
        "body": base64.b64encode(body).decode(),
        "tokens": 10,
        "group": "g0",
    }
    lot = {"step": 0, "model": MODEL, "minVersion": 1, "items": [sample]}
    headers = {"Host": HOST, "Wigeonfront-Attempt-Id": lot_id}
    pool = Pool(entry._settings.front_address)
    answer = pool.call(
        "POST", f"/lots-in/{lot_id}", msgspec.json.encode(lot), headers, timeout=4.0
    )
    pool.close()
    return answer.status


def engines_known(entry, engines):
    wait_for(lambda: len(entry._table.views(ENGINES)) == len(engines))


def test_a_sample_that_crashes_its_engines_takes_them_down_one_by_one_with_pauses(
    deployed, engines, monkeypatch
):
    monkeypatch.setattr(policy, "ACCEPTED_PAUSE_SECONDS", 0.5)
    entry = deployed.add_entry("n1")
    engines_known(entry, engines)
    assert submit(entry, "l1", CRASHES) == 202
    wait_for(lambda: len(crashed_at(engines)) >= 9, 30.0)
    for before, after in itertools.pairwise(arrivals(engines, CRASHES)[2:]):
        assert after - before > 0.5


@pytest.mark.parametrize("restarted", ["none", "owner", "all entries"])
def test_a_sample_under_which_many_engines_crashed_runs_again_after_the_calm(
    deployed, engines, monkeypatch, restarted
):
    """After six crashes a sample was held back for a day, though it is owed."""
    monkeypatch.setattr(policy, "ACCEPTED_PAUSE_SECONDS", 0.5)
    entries = [deployed.add_entry(name) for name in ("n1", "n2")]
    for entry in entries:
        engines_known(entry, engines)
    assert submit(entries[0], "l1", CRASHES) == 202
    wait_for(lambda: len(crashed_at(engines)) >= 10, 30.0)
    for engine in engines:
        engine.crashing_bodies.clear()
    calm_from = time.monotonic()
    if restarted != "none":
        stopped = entries if restarted == "all entries" else entries[:1]
        for entry in stopped:
            entry.close()
        for name in ("n1", "n2")[: len(stopped)]:
            deployed.add_entry(name)
    wait_for(lambda: arrivals(engines, CRASHES)[-1] > calm_from, 8.0)
