"""The thread pool of a server grows with concurrent calls and shrinks afterwards."""

import threading
import time

import pytest

from rows_fakes import free_address
from wigeonfront.http import threads as thread_pool
from wigeonfront.http.client import Answer, Pool, Unanswered
from wigeonfront.http.raw import RawServer
from wigeonfront.supervisor import Supervisor

MAX_WAIT_SECONDS = 20.0


class Gate:
    """A handler whose calls wait until the gate is opened."""

    def __init__(self):
        self.opened = threading.Event()
        self.reached = threading.Semaphore(0)

    def handle(self, call):
        self.reached.release()
        self.opened.wait(MAX_WAIT_SECONDS)
        call.reply(200)


@pytest.fixture
def gate():
    gate = Gate()
    yield gate
    gate.opened.set()


@pytest.fixture
def serve(gate):
    tasks = Supervisor("test")
    servers = []

    def start(threads):
        address = free_address()
        servers.append(RawServer(address, gate.handle, threads))
        servers[-1].bind()
        tasks.start("server", servers[-1].run)
        return address

    yield start
    gate.opened.set()
    for server in servers:
        server.close(0.5)
    tasks.stop()


def pool_threads():
    return sum("CP Server" in thread.name for thread in threading.enumerate())


def start_calls(address, calls):
    """Start `calls` calls, and return a function that waits for their answers."""
    answers = []

    def call():
        answers.append(
            Pool(address, read_seconds=MAX_WAIT_SECONDS).call("GET", "/held")
        )

    threads = [threading.Thread(target=call) for _ in range(calls)]
    for thread in threads:
        thread.start()

    def wait():
        for thread in threads:
            thread.join()
        return answers

    return wait


@pytest.mark.parametrize(
    ("threads", "calls"), [(1, 1), (4, 4), (40, 8), (40, 9), (40, 40)]
)
def test_calls_up_to_the_thread_limit_run_at_once(serve, gate, threads, calls):
    wait = start_calls(serve(threads), calls)
    for _ in range(calls):
        assert gate.reached.acquire(timeout=MAX_WAIT_SECONDS)
    gate.opened.set()
    answers = wait()
    assert [type(answer) for answer in answers] == [Answer] * calls


def test_a_call_above_the_thread_limit_waits_and_is_answered(serve, gate):
    wait = start_calls(serve(2), 3)
    for _ in range(2):
        assert gate.reached.acquire(timeout=MAX_WAIT_SECONDS)
    gate.opened.set()
    assert [answer.status for answer in wait()] == [200] * 3


def test_unneeded_idle_threads_end(monkeypatch, serve, gate):
    monkeypatch.setattr(thread_pool, "POOL_CHECK_SECONDS", 0.02)
    before = pool_threads()
    wait = start_calls(serve(60), 50)
    for _ in range(50):
        assert gate.reached.acquire(timeout=MAX_WAIT_SECONDS)
    assert pool_threads() - before >= 50
    gate.opened.set()
    wait()
    deadline = time.monotonic() + MAX_WAIT_SECONDS
    while pool_threads() - before > 2 * thread_pool.SPARE_THREADS:
        assert time.monotonic() < deadline
        time.sleep(0.02)


def test_threads_of_an_open_server_do_not_keep_the_process_alive(serve, gate):
    wait = start_calls(serve(4), 2)
    for _ in range(2):
        assert gate.reached.acquire(timeout=MAX_WAIT_SECONDS)
    threads = [thread for thread in threading.enumerate() if "CP Server" in thread.name]
    assert threads
    assert all(thread.daemon for thread in threads)
    gate.opened.set()
    wait()


def test_calls_beyond_the_queue_are_refused_and_do_not_run(monkeypatch, gate, serve):
    """What callers send while they wait for a thread is held in memory."""
    monkeypatch.setattr(thread_pool, "MAX_QUEUED", 2)
    address = serve(threads=1)
    running = start_calls(address, 1)
    assert gate.reached.acquire(timeout=MAX_WAIT_SECONDS)
    others = start_calls(address, 12)
    time.sleep(0.5)
    gate.opened.set()
    answers = running() + others()
    refused = [answer for answer in answers if not _served(answer)]
    assert len(refused) >= 6
    assert all(isinstance(answer, Answer | Unanswered) for answer in refused)
    # One call has been counted above.
    runs = 1
    while gate.reached.acquire(blocking=False):
        runs += 1
    assert runs == len(answers) - len(refused)


def _served(answer):
    return isinstance(answer, Answer) and answer.status == 200
