"""Keys in headers, account directories, admission of calls, and the account gate."""

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
def test_key_is_parsed_from_authorization_header(header, key):
    assert read_key(header) == key


@pytest.mark.parametrize(
    ("accounts", "reason"),
    [
        ([(STUDIO, ["k1"]), (STUDIO, ["k2"])], "account studio stands twice"),
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
def test_invalid_accounts_are_rejected_with_a_reason(accounts, reason):
    result = make_directory(accounts)
    assert isinstance(result, BadAccounts)
    assert result.reason.startswith(reason)
    assert "k1" not in result.reason


def test_directory_stores_no_key_in_clear_text():
    assert isinstance(DIRECTORY, AccountDirectory)
    assert len(DIRECTORY) == 3
    assert "k1" not in repr(vars(DIRECTORY))
    assert DIRECTORY.find("k2") is STUDIO
    assert DIRECTORY.find("k4") is None


UNKNOWN_FINGERPRINT = fingerprint("k9")


@pytest.mark.parametrize(
    ("header", "age", "bounds", "admission"),
    [
        ("Bearer k1", 0.0, BOUNDS, Admitted("studio", 1)),
        ("Bearer k3", 0.0, BOUNDS, Admitted("other", None)),
        # A process that is cut off from the store still serves known keys.
        ("Bearer k1", 60.0, BOUNDS, Admitted("studio", 1)),
        ("Bearer k1", 5.0, STRICT, Admitted("studio", 1)),
        ("Bearer k1", 5.1, STRICT, Undecided("unconfirmed", fingerprint("k1"))),
        ("", 60.0, STRICT, Unauthenticated("no_key")),
        ("Basic k1", 60.0, STRICT, Unauthenticated("malformed")),
        ("Bearer k9", 2.0, BOUNDS, Unauthenticated("unknown_key", UNKNOWN_FINGERPRINT)),
        # The key may be newer than this copy of the configuration.
        ("Bearer k9", 2.1, BOUNDS, Undecided("unknown_key", UNKNOWN_FINGERPRINT)),
    ],
)
def test_admission_depends_on_key_and_configuration_age(header, age, bounds, admission):
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
def test_public_calls_are_admitted_without_a_key(directory, header, admission):
    assert admit(directory, True, header, 60.0, STRICT) == admission


def test_calls_need_no_key_if_no_accounts_are_configured():
    assert admit(None, False, "", 60.0, STRICT) == Admitted()


def test_refused_keys_are_all_counted_but_logged_at_a_limited_rate(caplog):
    caplog.set_level("INFO")
    clock, metrics = ManualClock(), Registry()
    gate = AccountGate(lambda: 0.0, BOUNDS, clock, metrics)
    for number in range(100):
        gate.check(DIRECTORY, 7, False, f"Bearer bad{number}")
    clock.advance(LOG_INTERVAL_SECONDS)
    gate.check(DIRECTORY, 7, False, "Bearer bad100")
    lines = [record.getMessage() for record in caplog.records]
    assert len(lines) == 2
    assert "unlogged=99" in lines[1]
    assert not any("bad" in line for line in lines)
    metric = 'calls_without_account_total{reason="unknown_key"} 101'
    assert metric in metrics.render_text()
