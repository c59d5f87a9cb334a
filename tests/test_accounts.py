"""Who calls: keys in headers, directories of accounts, and which calls are taken."""

import pytest

from wigeonfront.accounts import (
    AccountDirectory,
    AdmissionBounds,
    Admitted,
    BadAccounts,
    ClientAccount,
    MalformedKey,
    NoKey,
    Unauthenticated,
    Undecided,
    admit,
    fingerprint,
    make_directory,
    read_key,
)
from wigeonfront.accounts.directory import MAX_KEY_LENGTH, MAX_NAME_LENGTH
from wigeonfront.accounts.gate import LOG_INTERVAL_SECONDS, AccountGate
from wigeonfront.clock import ManualClock
from wigeonfront.observability.metrics import Registry

STUDIO = ClientAccount("studio", priority=1)
OTHER = ClientAccount("other")
DIRECTORY = make_directory([(STUDIO, ["k1", "k2"]), (OTHER, ["k3"])])
BOUNDS = AdmissionBounds(fresh_seconds=2.0, revoke_seconds=5.0)
STRICT = AdmissionBounds(fresh_seconds=2.0, strict=True, revoke_seconds=5.0)


@pytest.mark.parametrize(
    ("header", "key"),
    [
        ("Bearer k1", "k1"),
        ("bearer k1", "k1"),
        ("BEARER   k1\t", "k1"),
        ("Bearer a.b_c~d+e/f-0==", "a.b_c~d+e/f-0=="),
        ("", NoKey()),
        ("  ", NoKey()),
        ("k1", MalformedKey()),
        ("Basic k1", MalformedKey()),
        ("Bearer", MalformedKey()),
        ("Bearer ", MalformedKey()),
        ("Bearer\tk1", MalformedKey()),
        ("Bearer k1 k2", MalformedKey()),
        ("Bearer k1, Bearer k1", MalformedKey()),
        ("Bearer k1=2", MalformedKey()),
        ("Bearer " + "k" * (MAX_KEY_LENGTH + 1), MalformedKey()),
    ],
)
def test_a_key_is_read_as_http_has_it(header, key):
    assert read_key(header) == key


@pytest.mark.parametrize(
    ("accounts", "reason"),
    [
        ([(STUDIO, ["k1"]), (STUDIO, ["k2"])], "account studio is defined twice"),
        ([(STUDIO, ["k1"]), (OTHER, ["k1"])], "accounts studio and other share"),
        ([(STUDIO, ["k1", "k1"])], "account studio has the key"),
        ([(STUDIO, [""])], "account studio has a key that is empty"),
        ([(STUDIO, ["k 1"])], "account studio has a key that is empty"),
        ([(STUDIO, ["k" * (MAX_KEY_LENGTH + 1)])], "account studio has a key"),
        ([(ClientAccount(""), ["k1"])], "account name ''"),
        ([(ClientAccount("n" * (MAX_NAME_LENGTH + 1)), [])], "account name"),
        ([(ClientAccount("a b"), [])], "account name 'a b'"),
    ],
)
def test_accounts_that_contradict_each_other_are_refused(accounts, reason):
    found = make_directory(accounts)
    assert isinstance(found, BadAccounts)
    assert found.reason.startswith(reason)
    assert "k1" not in found.reason


def test_a_directory_holds_no_key():
    assert isinstance(DIRECTORY, AccountDirectory)
    assert len(DIRECTORY) == 3
    assert "k1" not in repr(vars(DIRECTORY))
    assert DIRECTORY.find("k2") is STUDIO
    assert DIRECTORY.find("k4") is None


K9 = fingerprint("k9")


@pytest.mark.parametrize(
    ("header", "age", "bounds", "admission"),
    [
        ("Bearer k1", 0.0, BOUNDS, Admitted("studio", 1)),
        ("Bearer k3", 0.0, BOUNDS, Admitted("other", None)),
        # What was known goes on being served by a process that is cut off.
        ("Bearer k1", 60.0, BOUNDS, Admitted("studio", 1)),
        ("Bearer k1", 5.0, STRICT, Admitted("studio", 1)),
        ("Bearer k1", 5.1, STRICT, Undecided("unconfirmed", fingerprint("k1"))),
        ("", 60.0, STRICT, Unauthenticated("no_key")),
        ("Basic k1", 60.0, STRICT, Unauthenticated("malformed")),
        ("Bearer k9", 2.0, BOUNDS, Unauthenticated("unknown_key", K9)),
        # It may be newer than what is known here.
        ("Bearer k9", 2.1, BOUNDS, Undecided("unknown_key", K9)),
    ],
)
def test_calls_are_taken_by_their_keys(header, age, bounds, admission):
    assert admit(DIRECTORY, False, header, age, bounds) == admission


@pytest.mark.parametrize(
    ("directory", "header", "admission"),
    [
        (None, "", Admitted()),
        (None, "Bearer k9", Admitted()),
        (DIRECTORY, "", Admitted()),
        (DIRECTORY, "Bearer k9", Admitted()),
        (DIRECTORY, "Bearer k1", Admitted("studio", 1)),
    ],
)
def test_public_calls_need_no_key(directory, header, admission):
    assert admit(directory, True, header, 60.0, STRICT) == admission


def test_without_accounts_no_call_needs_a_key():
    assert admit(None, False, "", 60.0, STRICT) == Admitted()


def test_a_flood_of_bad_keys_is_counted_and_logged_now_and_then(caplog):
    caplog.set_level("INFO")
    clock, metrics = ManualClock(), Registry()
    gate = AccountGate(lambda: 0.0, BOUNDS, clock, metrics)
    for number in range(100):
        gate.check(DIRECTORY, 7, False, f"Bearer bad{number}")
    clock.advance(LOG_INTERVAL_SECONDS)
    gate.check(DIRECTORY, 7, False, "Bearer bad100")
    lines = [one.getMessage() for one in caplog.records]
    assert len(lines) == 2
    assert "unlogged=99" in lines[1]
    assert not any("bad" in line for line in lines)
    counted = 'calls_without_account_total{reason="unknown_key"} 101'
    assert counted in metrics.render_text()
