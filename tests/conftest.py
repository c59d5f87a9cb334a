"""What holds for all tests: a run ends, and says which threads would have kept it."""

import gc
import os
import sys
import threading
import time

import pytest
from hypothesis import settings

import known_red

# Walks at random are the same in each run, so that a run says what the last one said.
# HYPOTHESIS_PROFILE=explore draws new ones. The time of an example is no promise.
settings.register_profile("same", derandomize=True, deadline=None)
settings.register_profile("explore", max_examples=1_000, deadline=None)
settings.load_profile(os.environ.get("HYPOTHESIS_PROFILE", "same"))

GRACE_SECONDS = 5.0


def _kept():
    """Return the names of the threads that the interpreter would wait for."""
    main = threading.main_thread()
    threads = (each for each in threading.enumerate() if each is not main)
    return [each.name for each in threads if not each.daemon]


@pytest.fixture(scope="session", autouse=True)
def no_thread_outlives_the_tests():
    # Those that the test runner itself has started, such as a worker's channel.
    before = set(_kept())
    yield
    deadline = time.monotonic() + GRACE_SECONDS
    while set(_kept()) - before and time.monotonic() < deadline:
        time.sleep(0.05)
    assert set(_kept()) - before == set()


def pytest_addoption(parser):
    parser.addoption(
        "--known-red",
        action="store_true",
        help="run the tests that KNOWN-RED.txt lists, too",
    )


def pytest_collection_modifyitems(config, items):
    """Pass over the tests that are known to fail, and no other."""
    if config.getoption("known_red"):
        return
    names = {known_red.node_id(entry) for entry in known_red.read_entries()}
    over = [item for item in items if item.nodeid in names]
    config.hook.pytest_deselected(items=over)
    items[:] = [item for item in items if item.nodeid not in names]


def pytest_terminal_summary(terminalreporter, config):
    """Print what was passed over."""
    entries = known_red.read_entries()
    if entries and not config.getoption("known_red"):
        terminalreporter.section("passed over, known to fail (--known-red runs them)")
        terminalreporter.write_line("\n".join(entries))


def pytest_collection_finish(session):
    """Leave what is loaded by now out of full collections, which stop all threads."""
    gc.collect()
    gc.freeze()


def pytest_unconfigure(config):
    """End a process that would wait for ever; the fixture has failed its tests."""
    if _kept() and not hasattr(config, "workerinput"):
        sys.stdout.flush()
        os._exit(1)
