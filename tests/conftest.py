"""Setup of all tests: profiles, known failures, and a check that no thread is left."""

import gc
import os
import sys
import threading
import time

import pytest
from hypothesis import settings

import known_red

# Random examples are the same in each run, so that the results of two runs can be
# compared. HYPOTHESIS_PROFILE=explore draws new ones. There is no deadline, as the time
# that an example takes depends on the machine.
settings.register_profile("same", derandomize=True, deadline=None)
settings.register_profile("explore", max_examples=1_000, deadline=None)
settings.load_profile(os.environ.get("HYPOTHESIS_PROFILE", "same"))

GRACE_SECONDS = 5.0


def _blocking_threads():
    """Return the names of the threads that the interpreter would wait for."""
    main = threading.main_thread()
    threads = (thread for thread in threading.enumerate() if thread is not main)
    return [thread.name for thread in threads if not thread.daemon]


@pytest.fixture(scope="session", autouse=True)
def no_thread_outlives_the_tests():
    # Threads of the test runner itself, such as a worker's channel, are allowed.
    before = set(_blocking_threads())
    yield
    deadline = time.monotonic() + GRACE_SECONDS
    while set(_blocking_threads()) - before and time.monotonic() < deadline:
        time.sleep(0.05)
    assert set(_blocking_threads()) - before == set()


def pytest_addoption(parser):
    parser.addoption(
        "--known-red",
        action="store_true",
        help="run also the tests that KNOWN-RED.txt lists",
    )


def pytest_collection_modifyitems(config, items):
    """Deselect the tests that are known to fail, and no others."""
    if config.getoption("known_red"):
        return
    names = {known_red.node_id(entry) for entry in known_red.read_entries()}
    deselected = [item for item in items if item.nodeid in names]
    config.hook.pytest_deselected(items=deselected)
    items[:] = [item for item in items if item.nodeid not in names]


def pytest_terminal_summary(terminalreporter, config):
    """Print the deselected tests."""
    entries = known_red.read_entries()
    if entries and not config.getoption("known_red"):
        terminalreporter.section("passed over, known to fail (--known-red runs them)")
        terminalreporter.write_line("\n".join(entries))


def pytest_collection_finish(session):
    """Exclude loaded objects from full garbage collections, which stop all threads."""
    gc.collect()
    gc.freeze()


def pytest_unconfigure(config):
    """Exit a process that threads would keep alive; its tests have failed already."""
    if _blocking_threads() and not hasattr(config, "workerinput"):
        sys.stdout.flush()
        os._exit(1)
