"""Requests that crash each target that runs them, at entries over real sockets."""

import itertools
import time

import pytest

from deployed import Deployment
from platform_standins import deployment
from platform_standins.crashing import CrashingService
from platform_standins.deployment import HOST, PLAIN
from rows_fakes import free_address, wait_for
from wigeonfront.http.client import Answer, Pool

CONTACT_SECONDS = 3.0
MOST_RETRIES = 3
CRASHES = b"this one crashes you"
HARMLESS = b"this one does not"

_ids = itertools.count(1)


@pytest.fixture
def deployed():
    made = Deployment()
    made.rows.remove(f"servers/{made.plain.id}")
    yield made
    made.close()


@pytest.fixture
def services(deployed):
    def started(id, address):
        deployment.register(deployed.rows, id, PLAIN, address)

    def ended(id):
        deployed.rows.remove(f"servers/{id}")

    made = [
        CrashingService(free_address(), f"i-c{number}", started, ended)
        for number in range(3)
    ]
    for service in made:
        service.crashes.add(CRASHES)
        service.start()
    yield made
    for service in made:
        service.stop()


def send(entry, body, path="/plain/a"):
    """Send a request under a new id, as a caller that tries again does."""
    pool = Pool(entry._settings.front_address)
    headers = {"Host": HOST, "Wigeonfront-Attempt-Id": f"a{next(_ids)}"}
    answer = pool.call("POST", path, body, headers, timeout=4.0)
    pool.close()
    assert isinstance(answer, Answer)
    return answer


def arrivals(services, body):
    return sorted(
        one.at for service in services for one in service.arrivals if one.body == body
    )


def crashed_at(services):
    return sorted(at for service in services for at in service.crashed_at)


def serves(entry, body):
    return wait_for(lambda: send(entry, body).status == 200)


def test_a_request_that_crashed_three_targets_is_not_sent_on_and_on(deployed, services):
    entries = [deployed.add_entry(name) for name in ("n1", "n2")]
    for entry in entries:
        serves(entry, HARMLESS)
    turns = itertools.cycle(entries)
    wait_for(lambda: send(next(turns), CRASHES) and len(crashed_at(services)) >= 3)
    bounded_from = crashed_at(services)[2] + CONTACT_SECONDS
    time.sleep(max(0.0, bounded_from - time.monotonic()))
    for _ in range(12):
        assert send(next(turns), CRASHES).status in (502, 503)
        time.sleep(0.2)
    late = [at for at in arrivals(services, CRASHES) if at > bounded_from]
    assert len(late) <= MOST_RETRIES
    for entry in entries:
        serves(entry, HARMLESS)
