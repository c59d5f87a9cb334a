"""The operators' commands, on real entries with stand-ins for the platform."""

import json
import logging
import os
import threading
import time

import pytest

from deployed import Deployment
from platform_standins import deployment
from platform_standins.deployment import MODEL
from platform_standins.ports import free_port
from platform_standins.server import StandInServer
from rows_fakes import free_address, wait_for
from wigeonfront import cli
from wigeonfront.commands import exit_codes
from wigeonfront.coordination.membership import ENTRY_PREFIX
from wigeonfront.platform.catalogue import PlatformCatalogue
from wigeonfront.quarantine import Crash
from wigeonfront.quarantine.record import encode_crash

LOT = {
    "trainer": "t",
    "lot": "l1",
    "route": "lots",
    "model": MODEL,
    "version": 1,
    "timeout": 6,
    "samples": [{"sample": f"s{n}", "payload": {"n": n}} for n in range(4)],
}


class CommandRunner:
    """Runs commands and keeps what they print."""

    def __init__(self, entries, capture):
        self.entries = entries
        self._capture = capture
        self.output = self.errors = ""

    def __call__(self, *arguments, entries=None):
        settings = []
        if entries or self.entries:
            settings = ["--entry", ",".join(entries or self.entries)]
        code = cli.main([*map(str, arguments), *settings])
        self.output, self.errors = self._capture.readouterr()
        return code

    def json(self, *arguments):
        assert self(*arguments, "--json") == exit_codes.OK, self.errors
        return json.loads(self.output)


@pytest.fixture(autouse=True)
def no_settings_in_the_environment(monkeypatch):
    for name in [name for name in os.environ if name.startswith("WIGEONFRONT_")]:
        monkeypatch.delenv(name)


@pytest.fixture
def deployed():
    started = Deployment()
    yield started
    started.close()


@pytest.fixture
def run(deployed, capsys):
    drained = threading.Event()
    addresses = []
    for name in ("n1", "n2"):
        addresses.append(f"127.0.0.1:{free_port('127.0.0.1')}")
        deployed.add_entry(name, api_address=addresses[-1], drain=drained.set)
    runner = CommandRunner(addresses, capsys)
    runner.drained = drained
    return runner


@pytest.fixture
def offline(capsys):
    return CommandRunner([], capsys)


@pytest.fixture
def file(tmp_path):
    def write(document, name="file.json"):
        path = tmp_path / name
        path.write_text(document if isinstance(document, str) else json.dumps(document))
        return path

    return write


def catalogue(version):
    return json.loads(deployment.configuration(version))


# --- catalogue ---------------------------------------------------------------


def test_a_catalogue_is_read_and_changed_and_comes_into_force(run, file):
    wait_for(lambda: len(run.json("status")["members"]) == 2)
    document = run.json("catalogue", "get")
    assert document["version"] == 1
    path = file(catalogue(3))
    assert run("catalogue", "diff", path) == exit_codes.FAILED
    assert "version  1    3" in run.output
    assert run("catalogue", "apply", path) == exit_codes.OK
    assert "in force everywhere" in run.errors
    assert run("catalogue", "diff", path) == exit_codes.OK
    assert run.output == ""
    (applied,) = run.json("catalogue", "history")
    assert applied["version"] == 3
    assert run("catalogue", "history") == exit_codes.OK
    assert "version" in run.output


def test_a_concurrent_change_is_a_conflict_and_is_shown(run, file):
    revision = run.json("catalogue", "get")["revision"]
    assert run("catalogue", "apply", file(catalogue(3))) == exit_codes.OK
    mine = file(catalogue(4))
    code = run("catalogue", "apply", mine, "--expected", revision)
    assert code == exit_codes.CONFLICT
    assert "version  3       4" in run.output
    assert run.json("catalogue", "get")["version"] == 3


def test_a_change_that_an_entry_does_not_use_is_not_in_force(deployed, run, file):
    silent = {"incarnation": "n3.1", "address": free_address()}
    deployed.rows.put(f"{ENTRY_PREFIX}n3", json.dumps(silent).encode())
    wait_for(lambda: len(run.json("status")["members"]) == 3)
    code = run("catalogue", "apply", file(catalogue(3)), "--wait", 1)
    assert code == exit_codes.NOT_IN_FORCE
    assert "stored: version 3" in run.errors
    assert "not yet in force at n3" in run.errors


@pytest.mark.parametrize(
    ("document", "code", "message"),
    [
        ("{", exit_codes.USAGE, "not JSON"),
        ("[]", exit_codes.USAGE, "an object is expected"),
        ({"version": "x"}, exit_codes.FAILED, "bad_document"),
    ],
)
def test_a_bad_catalogue_is_not_applied(run, file, document, code, message):
    assert run("catalogue", "apply", file(document)) == code
    assert message in run.errors
    assert run.json("catalogue", "get")["version"] == 1


ACCOUNTS = {"studio": ["key-s1"], "other": ["key-o1"]}


def keyed_catalogue(version, accounts=ACCOUNTS):
    return json.loads(deployment.configuration(version, accounts=accounts))


def test_operators_see_fingerprints_of_api_keys_and_can_write_them_back(
    deployed, run, file
):
    path = file(keyed_catalogue(2))
    assert run("catalogue", "apply", path) == exit_codes.OK
    shown = run.json("catalogue", "get")["document"]
    redacted = PlatformCatalogue().redact_keys(file(keyed_catalogue(2)).read_bytes())
    assert shown == json.loads(redacted)
    assert run("catalogue", "diff", path) == exit_codes.OK
    shown["version"] = 3
    shown["tenants"][0]["apiKeys"].append("key-s2")
    assert run("catalogue", "apply", file(shown)) == exit_codes.OK
    row = json.loads(deployed.rows.get("op/config").value)
    assert row["tenants"][0]["apiKeys"] == ["key-s1", "key-s2"]
    assert run("catalogue", "history") == exit_codes.OK
    listed = run.output + json.dumps(run.json("catalogue", "history"))
    assert "fingerprint:" in listed
    assert not any(key in listed for key in ("key-s1", "key-s2", "key-o1"))
    for row in deployed.rows.list("catalogue-history/").rows:
        assert b"key-s1" not in row.value


@pytest.mark.parametrize(
    ("accounts", "message"),
    [
        ({"studio": ["key-s1"], "other": ["key-s1"]}, "share the key"),
        ({"studio": [""]}, "empty, too long or unfit"),
        ({"": ["key-s1"]}, "account name"),
        ({"studio": ["fingerprint:00000000"]}, "no key has the fingerprint:00000000"),
    ],
)
def test_a_catalogue_with_bad_accounts_is_not_applied(run, file, accounts, message):
    code = run("catalogue", "apply", file(keyed_catalogue(2, accounts)))
    assert code == exit_codes.FAILED
    assert message in run.errors
    assert "key-s1" not in run.errors
    assert run.json("catalogue", "get")["version"] == 1


# --- status, drain, explain --------------------------------------------------


def test_the_status_is_printed_as_tables(run):
    assert run("status") == exit_codes.OK
    assert "configuration_version: 1" in run.output
    assert "i-e0" in run.output


def test_drain_starts_a_planned_stop(run):
    assert run.json("drain") == {"draining": "n1"}
    assert run.drained.wait(2.0)


def test_a_quarantined_request_is_listed_and_released(run, deployed):
    now = time.time()
    for n in range(3):
        crash = Crash("f1", f"i-{n}", now + n, now + n + 1, "desk", "acc", "POST h/a")
        deployed.rows.put(crash.key, encode_crash(crash))
    wait_for(lambda: run.json("quarantine", "list")["suspects"])
    (suspect,) = run.json("quarantine", "list")["suspects"]
    assert suspect["crashes"] == 3
    assert suspect["request"] == "POST h/a"
    assert suspect["blocked_seconds"] > 500
    assert run("quarantine", "list") == exit_codes.OK
    assert "f1" in run.output
    assert run.json("quarantine", "release", "f1") == {"released": "f1"}
    assert run.json("quarantine", "list") == {"suspects": []}
    wait_for(lambda: not deployed.rows.list("live/crash/").rows)
    assert run("quarantine", "release", "f1") == exit_codes.FAILED


def test_explain_shows_the_events_of_a_sample(run, file, caplog):
    caplog.set_level(logging.INFO)
    assert run("lot", "submit", file(LOT)) == exit_codes.OK
    events = run.json("explain", "t!l1!s0")
    names = [event["event"] for event in events]
    assert names.index("sample_sent") < names.index("sample_finished")
    assert run("explain", "t!l1!s0") == exit_codes.OK
    assert "sample_finished" in run.output
    assert run("explain", "nothing") == exit_codes.FAILED


def test_explain_reads_log_files(offline, file):
    log = file(
        "time=2.0 process=a event=send request=r1 target=p\n"
        "no line of ours\n"
        "time=1.0 process=b event=api_call request=r1\n"
        "time=1.5 process=b event=send request=r2\n",
        "a.log",
    )
    assert offline("explain", "r1", "--json", "--log", log) == exit_codes.OK
    assert [event["process"] for event in json.loads(offline.output)] == ["b", "a"]
    code = offline("explain", "r1", "--log", log.parent / "none")
    assert code == exit_codes.USAGE
    assert "No such file" in offline.errors


# --- Lots --------------------------------------------------------------------


@pytest.mark.parametrize("source", ["file", "environment"])
def test_a_lot_is_submitted_with_an_api_key(run, file, tmp_path, monkeypatch, source):
    assert run("catalogue", "apply", file(keyed_catalogue(2))) == exit_codes.OK
    assert run("lot", "submit", file(LOT)) == exit_codes.FAILED
    assert "401" in run.errors or "no_account" in run.errors
    key_arguments = []
    if source == "environment":
        monkeypatch.setenv("WIGEONFRONT_API_KEY", "key-s1")
    else:
        path = tmp_path / "key"
        path.write_text("key-s1\n")
        key_arguments = ["--api-key-file", path]
    assert run("lot", "submit", file(LOT), *key_arguments) == exit_codes.OK
    missing_file = ["--api-key-file", tmp_path / "none"]
    assert run("lot", "submit", file(LOT), *missing_file) == exit_codes.USAGE


def test_a_lot_is_submitted_written_and_acknowledged(run, file, tmp_path):
    output = tmp_path / "answer.json"
    assert run("lot", "submit", file(LOT), "--output", output) == exit_codes.OK
    samples = json.loads(output.read_text())["samples"]
    assert {sample["kind"] for sample in samples} == {"completed"}
    assert "4 completed" in run.errors
    assert run("lot", "submit", file(LOT)) == exit_codes.FAILED
    assert "LotAlreadyDelivered" in run.errors


def test_the_refusal_of_a_lot_is_reported(run, file):
    document = LOT | {"route": "nowhere"}
    assert run("lot", "submit", file(document), "--json") == exit_codes.FAILED
    assert json.loads(run.output)["end"] == "CallRejected"


@pytest.mark.parametrize(
    ("document", "message"),
    [({"lot": 1}, "Expected"), ("{", "truncated"), ({}, "missing")],
)
def test_a_file_that_contains_no_lot_is_bad_usage(run, file, document, message):
    assert run("lot", "submit", file(document)) == exit_codes.USAGE
    assert message in run.errors


# --- settings ----------------------------------------------------------------


def test_the_settings_of_a_role_are_checked(offline, file, monkeypatch):
    role = ("check-config", "side", "--name", "s", "--host", "127.0.0.1")
    rest = ("--store", "127.0.0.1:1", "--target", "127.0.0.1:2", "--service", "e")
    good = file(catalogue(1))
    assert offline(*role, *rest, "--catalogue", good) == exit_codes.OK
    assert "target_address" in offline.output
    assert offline(*role) == exit_codes.USAGE
    for name in ("store", "target", "service"):
        assert f"setting {name} is missing" in offline.errors
    bad = file({"version": 1, "routes": [{}]}, "bad.json")
    assert offline(*role, *rest, "--catalogue", bad) == exit_codes.USAGE
    monkeypatch.setenv("WIGEONFRONT_SERVCIE", "x")
    assert offline(*role, *rest) == exit_codes.USAGE
    assert "WIGEONFRONT_SERVCIE" in offline.errors


def test_a_bad_setting_is_reported(offline):
    assert offline("entry", "--stop-seconds", "0", "--cores", "x") == exit_codes.USAGE
    message = "setting stop_seconds has the bad value '0' (from --stop-seconds)"
    assert message in offline.errors
    assert "setting cores has the bad value 'x'" in offline.errors


@pytest.mark.parametrize(
    "arguments", [(), ("nothing",), ("catalogue",), ("status", "x")]
)
def test_bad_usage_has_its_exit_code(offline, arguments):
    assert offline(*arguments) == exit_codes.USAGE


# --- entries that can't be reached -------------------------------------------


@pytest.mark.parametrize(
    "arguments", [("status",), ("drain",), ("explain", "r"), ("catalogue", "get")]
)
def test_a_command_that_reaches_no_entry_says_so(offline, arguments):
    assert offline(*arguments, entries=[free_address()]) == exit_codes.UNREACHABLE
    assert "no entry could be reached" in offline.errors


def test_after_a_lost_answer_only_a_read_is_sent_to_the_next_entry(run, offline):
    silent = StandInServer(free_address(), lambda call: call.abort(), threads=2)
    silent.start()
    entries = [silent.address, run.entries[0]]
    assert offline("status", entries=entries) == exit_codes.OK
    assert offline("drain", entries=entries) == exit_codes.UNREACHABLE
    assert "may have taken effect" in offline.errors
    assert not run.drained.is_set()
    silent.stop()
