"""The ways in which a process reads answers, each as a function of no arguments."""

import time
from dataclasses import replace

from rows_fakes import make_forwarder_by, make_lot
from wigeonfront.clock import SystemClock
from wigeonfront.forwarding import (
    Broken,
    CallHandle,
    Connections,
    Exchange,
    ForwardRequest,
)
from wigeonfront.http.client import Pool
from wigeonfront.platform.engine_calls import PlatformEngine
from wigeonfront.platform.json_client import JsonClient
from wigeonfront.platform.lot_calls import PlatformSamples
from wigeonfront.platform.metadata_store import MetadataStore
from wigeonfront.platform.target_calls import PlatformTargets
from wigeonfront.rollout.events import Text
from wigeonfront.rollout.lot import RewardCall
from wigeonfront.rollout.reward_call import RewardCaller
from wigeonfront.rollout.sample_run import RunHandle, SampleRunner
from wigeonfront.targets.target import Target

SECONDS = 0.6
"""Deadline of each call."""

SEALED_HEAD = (
    b"HTTP/1.1 200 OK\r\nWigeonfront-Attempt-Id: r1\r\nWigeonfront-Server-Seal: s\r\n"
)
"""Beginning of an answer to `REQUEST`."""

REQUEST = ForwardRequest("r1", "POST", "/a", (("Host", "h"),), b"in", True, "")


def make_target(address):
    return Target("i-1", "s", address, "z", 4)


def make_exchange(connections=None):
    connections = connections or Connections(SystemClock())
    return Exchange(connections, PlatformTargets(), SystemClock())


def plain(address):
    exchange = make_exchange()
    request = replace(REQUEST, repeatable=False)
    return lambda: exchange.send(
        request, make_target(address), time.monotonic() + SECONDS
    )


def hedged(address, exchange=None, handle=None):
    exchange = exchange or make_exchange()
    return lambda: exchange.send(
        REQUEST,
        make_target(address),
        time.monotonic() + SECONDS,
        handle=handle or CallHandle(),
    )


def streamed(address, exchange=None, handle=None):
    exchange = exchange or make_exchange()

    def read():
        until = time.monotonic() + SECONDS
        opened = exchange.open(REQUEST, make_target(address), until, handle=handle)
        if not hasattr(opened, "pieces"):
            return opened
        try:
            for _ in opened.pieces(SECONDS):
                pass
        except Exception as error:
            opened.close()
            return Broken(type(error).__name__)
        opened.finish()
        return opened

    return read


def sample(address, exchange=None, handle=None):
    exchange = exchange or make_exchange()
    runner = SampleRunner(exchange, PlatformSamples(), SystemClock())
    lot = make_lot()
    request = replace(lot.samples[0], id="r1")
    return lambda: runner.run(
        lot,
        request,
        Text(),
        make_target(address),
        SECONDS,
        handle or RunHandle(SECONDS),
        lambda version: None,
    )


def reward_call(address, exchange=None, handle=None):
    exchange = exchange or make_exchange()
    targets = [make_target(address)]
    forwarder, table, _ = make_forwarder_by(exchange, SystemClock(), targets, "z")
    (view,) = table.views("s")
    caller = RewardCaller(forwarder, PlatformSamples())
    call = RewardCall("r1", "h.example", "/score", b"in")
    return lambda: caller.send(
        call, view, time.monotonic() + SECONDS, 20.0, handle or CallHandle()
    )


def process(address):
    pool = Pool(address, read_seconds=SECONDS / 2)
    return lambda: pool.call("POST", "/x", b"in")


def json_service(address):
    client = JsonClient(address, read_timeout=SECONDS / 2)
    return lambda: client.post("/x", None)


def store(address):
    client = MetadataStore(address)
    return lambda: client.get("op/a")


def engine_order(address):
    engine = PlatformEngine(address, "n1")
    return engine.report


READERS = [
    plain,
    hedged,
    streamed,
    sample,
    reward_call,
    process,
    json_service,
    store,
    engine_order,
]
NOT_WHOLE = {
    *("Broken", "TimedOut", "NotExecuted", "CallBroken", "CallRefused"),
    *("RunBroken", "RunSilent", "RunRefused", "Unanswered", "Unavailable"),
}
"""Types of the outcomes that aren't a whole answer."""
