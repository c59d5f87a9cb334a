"""Tests that a process runs until it gets a stop signal or has failed."""

import os
import signal
import threading

import pytest

from wigeonfront.node import process


class FakeNode:
    def __init__(self, failed):
        self.failed = failed
        self.calls = []

    def start(self):
        self.calls.append("start")
        if not self.failed:
            threading.Timer(0.1, os.kill, (os.getpid(), signal.SIGTERM)).start()

    def stop(self):
        self.calls.append("stop")


@pytest.mark.parametrize(("failed", "code"), [(False, 0), (True, 1)])
def test_a_node_is_started_once_and_stopped_once(monkeypatch, failed, code):
    monkeypatch.setattr(process, "FAILURE_POLL_SECONDS", 0.05)
    before = [signal.getsignal(number) for number in (signal.SIGTERM, signal.SIGINT)]
    node = FakeNode(failed)
    try:
        assert process.run_node(node, "entry", "n1") == code
    finally:
        signal.signal(signal.SIGTERM, before[0])
        signal.signal(signal.SIGINT, before[1])
    assert node.calls == ["start", "stop"]
