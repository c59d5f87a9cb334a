"""Tests which answers to a reward call count as a score, over real sockets."""

import threading
import time

import pytest

from platform_standins.engine import PlainService
from rows_fakes import free_address, make_forwarder_by
from test_forwarding import RawTarget, make_exchange
from test_quarantine import Guarded, RecordingExchange
from wigeonfront.clock import SystemClock
from wigeonfront.forwarding.fingerprint import fingerprint
from wigeonfront.forwarding.handle import CallHandle
from wigeonfront.platform.lot_calls import PlatformSamples
from wigeonfront.quarantine import Crash
from wigeonfront.quarantine.policy import ACCEPTED_PAUSE_SECONDS
from wigeonfront.rollout.lot import RewardCall
from wigeonfront.rollout.reward_call import (
    CallBroken,
    CallCancelled,
    CallFailed,
    CallRefused,
    RewardCaller,
    Scored,
)
from wigeonfront.targets.target import Target

CALL = RewardCall("c1", "h.example", "/score/a%2Fb?q=1", b"in")


def answer(
    status="200 OK", id="c1", seal="m1", framing="Content-Length: 2", body="ok", more=""
):
    lines = [f"HTTP/1.1 {status}", f"Wigeonfront-Attempt-Id: {id}"]
    lines += [f"Wigeonfront-Server-Seal: {seal}"] if seal else []
    lines += [line for line in (framing, more) if line]
    return ("\r\n".join(lines) + "\r\n\r\n" + body).encode()


WHOLE = answer()


def make_caller(address):
    _, exchange = make_exchange()
    targets = [Target("i-1", "s", address, "z", 4)]
    forwarder, table, registry = make_forwarder_by(
        exchange, SystemClock(), targets, "z"
    )
    return RewardCaller(forwarder, PlatformSamples()), table, registry


def send(caller, table, seconds=0.4, handle=None, call=CALL):
    (view,) = table.views("s")
    deadline = time.monotonic() + seconds
    return caller.send(call, view, deadline, 20.0, handle or CallHandle())


@pytest.mark.parametrize(
    ("script", "expected"),
    [
        (WHOLE, Scored("m1")),
        (answer("201 Created"), Scored("m1")),
        (
            answer(framing="Transfer-Encoding: chunked", body="2\r\nok\r\n0\r\n\r\n"),
            Scored("m1"),
        ),
        ((answer(framing="Connection: close"), "close"), Scored("m1", framed=False)),
        ((answer(framing="Connection: close"), "reset"), CallBroken),
        (answer(seal=""), CallBroken),
        (answer(id="c2"), CallBroken),
        (answer(more="Content-Encoding: gzip"), CallBroken),
        (answer(more="Wigeonfront-Server-Seal: m2"), CallBroken),
        ((answer(framing="Content-Length: 9"), "close"), CallBroken),
        ((answer(framing="Content-Length: 9"), "reset"), CallBroken),
        (answer(framing="Content-Length: 9"), CallBroken),
        (b"\x00\xff nothing in the protocol\r\n\r\n", CallBroken),
        ((b"HTTP/1.1 200 OK\r\nWigeonfront-At", "close"), CallBroken),
        (answer("500 Internal Server Error"), CallFailed),
        (answer("500 Internal Server Error", seal=""), CallBroken),
        (answer("404 Not Found"), CallBroken),
        (answer("302 Found"), CallBroken),
        (answer("504 Gateway Timeout"), CallBroken),
        (answer("503 Busy", more="Wigeonfront-Not-Executed: 1"), CallRefused),
        (answer("429 Busy", more="Wigeonfront-Not-Executed: 1"), CallRefused),
        (answer("421 Misdirected Request"), CallRefused),
    ],
)
def test_only_a_complete_answer_to_the_call_gives_a_score(script, expected):
    caller, table, _ = make_caller(RawTarget(script).address)
    outcome = send(caller, table)
    if isinstance(expected, type):
        assert isinstance(outcome, expected)
    else:
        assert outcome == expected


def test_extra_bytes_after_an_answer_are_not_read_by_the_next_call():
    extra = answer(id="c1", seal="stray")
    target = RawTarget((WHOLE, extra), answer(seal="m2"))
    caller, table, _ = make_caller(target.address)
    assert send(caller, table) == Scored("m1")
    time.sleep(0.15)
    assert send(caller, table) == Scored("m2")


def test_a_call_reaches_its_target_unchanged():
    service = PlainService(free_address(), "i-1")
    service.start()
    try:
        caller, table, registry = make_caller(service.address)
        outcome = send(caller, table)
        assert isinstance(outcome, Scored)
        assert service.requests == [("POST", "/score/a%2Fb?q=1", b"in")]
        assert service.seals["c1"] == [outcome.score]
    finally:
        service.stop()
    assert "sends_total" in registry.render_text()


def test_a_call_to_an_unreachable_target_counts_as_refused():
    caller, table, _ = make_caller(free_address())
    assert isinstance(send(caller, table), CallRefused)


@pytest.mark.parametrize("pause", [0.0, 0.1])
def test_a_cancelled_call_ends_at_once_and_is_not_sent_afterwards(pause):
    target = RawTarget((b"", "keep"))
    caller, table, _ = make_caller(target.address)
    handle = CallHandle()
    if pause:
        threading.Timer(pause, handle.cancel).start()
    else:
        handle.cancel()
    started = time.monotonic()
    assert send(caller, table, 2.0, handle) == CallCancelled()
    assert time.monotonic() - started < 1.0
    assert target.requests == (1 if pause else 0)


def test_a_late_cancellation_does_not_end_another_call():
    service = PlainService(free_address(), "i-1")
    service.start()
    try:
        caller, table, _ = make_caller(service.address)
        handle = CallHandle()
        send(caller, table, handle=handle)
        service.run_seconds = 0.2
        threading.Timer(0.1, handle.cancel).start()
        other = RewardCall("c2", "h.example", "/score/b", b"")
        assert isinstance(send(caller, table, 1.0, call=other), Scored)
    finally:
        service.stop()


def test_a_reward_call_under_which_many_targets_crashed_is_sent_again():
    """After three crashes a reward call was held back for ten minutes and more."""
    guarded = Guarded()
    samples = PlatformSamples()
    digest = fingerprint(samples.reward_request(CALL))
    for n in range(10):
        guarded.ledger.add(Crash(digest, f"old-{n}", 900.0 + n, 900.5 + n))
    exchange = RecordingExchange(guarded.guard)
    forwarder, table, _ = make_forwarder_by(
        exchange, guarded.clock, guarded.targets[:1], "z", guarded.guard
    )
    caller = RewardCaller(forwarder, samples, guarded.guard)
    guarded.clock.advance(-guarded.clock.time() + 910.0)
    (view,) = table.views("desk")
    for wait, sent in ((0.0, 0), (ACCEPTED_PAUSE_SECONDS, 1)):
        guarded.clock.advance(wait)
        until = guarded.clock.monotonic() + 1.0
        caller.send(CALL, view, until, 20.0, CallHandle())
        assert len(exchange.sent) == sent
