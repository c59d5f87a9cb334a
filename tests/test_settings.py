"""Settings: their sources, checks, and the error message for a bad value."""

from dataclasses import fields

import pytest

from wigeonfront.node.loading import node_settings
from wigeonfront.node.settings import NodeSettings
from wigeonfront.setting_values import Address
from wigeonfront.settings import (
    ROLES,
    EntrySettings,
    OperatorSettings,
    Rejected,
    SideSettings,
    StorageSettings,
    flag,
    load,
    unknown_variables,
    variable,
)

ENTRY = {
    "name": "entry-a",
    "host": "127.0.0.1",
    "store": "127.0.0.1:7001",
    "api_address": "127.0.0.1:7700",
    "ready_address": "127.0.0.1:7701",
    "peer_address": "127.0.0.1:7702",
}
SIDE = {
    "name": "side-a",
    "host": "127.0.0.1",
    "store": "127.0.0.1:7001",
    "target": "127.0.0.1:9000",
    "service": "judge-llm",
}
STORAGE = {name: ENTRY[name] for name in ("name", "host", "store")}


@pytest.mark.parametrize(
    ("flags", "environ", "expected"),
    [
        ({}, {}, 2.0),
        ({}, {"WIGEONFRONT_DRAIN_SECONDS": "2.5"}, 2.5),
        ({"drain_seconds": "0.5"}, {}, 0.5),
        ({"drain_seconds": "0.5"}, {"WIGEONFRONT_DRAIN_SECONDS": "2.5"}, 0.5),
        ({"drain_seconds": "0.5"}, {"WIGEONFRONT_DRAIN_SECONDS": "bad"}, 0.5),
    ],
)
def test_a_flag_overrides_the_environment_and_that_the_default(
    flags, environ, expected
):
    given = load(EntrySettings, ENTRY | flags, environ)
    assert node_settings(given, None).bounds.drain_seconds == expected


def test_a_platform_file_ranks_between_environment_and_default():
    from_platform = NodeSettings("n", "10.0.0.1", "z1", "10.0.0.9:1", cores=0.4)
    given = load(EntrySettings, {"name": "m"}, {"WIGEONFRONT_LEASE_SECONDS": "7"})
    found = node_settings(given, from_platform)
    assert (found.name, found.host, found.cores) == ("m", "10.0.0.1", 0.4)
    assert found.bounds.lease_seconds == 7.0
    assert found.store_address == "10.0.0.9:1"


@pytest.mark.parametrize(
    ("name", "text", "field", "value"),
    [
        ("store", "[::1]:80", "store_address", "[::1]:80"),
        ("peer_address", "vm-7.internal:65535", "peer_address", "vm-7.internal:65535"),
        ("seeds", "10.0.0.1:1, 10.0.0.2:2", "seed_addresses", ("10.0.0.1:1",)),
        ("memory_mb", "64", "memory_bytes", 64 * 1024 * 1024),
        ("cores", "0.387", "cores", 0.387),
        ("log_level", "debug", "log_level", "debug"),
    ],
)
def test_an_accepted_value_reaches_the_node_settings(name, text, field, value):
    settings = node_settings(load(EntrySettings, ENTRY | {name: text}, {}), None)
    found = getattr(settings, field)
    assert found[: len(value)] == value if isinstance(value, tuple) else found == value


@pytest.mark.parametrize(
    ("name", "text"),
    [
        ("name", ""),
        ("name", "a b"),
        ("name", "a" * 64),
        ("store", "127.0.0.1"),
        ("store", "127.0.0.1:0"),
        ("store", "127.0.0.1:65536"),
        ("store", "127.0.0.1:-1"),
        ("store", ":80"),
        ("store", "127.0.0.1:²"),
        ("target", "http://127.0.0.1:9000"),
        ("seeds", ""),
        ("seeds", "127.0.0.1:1,"),
        ("log_level", "INFO"),
        ("drain_seconds", "nan"),
        ("drain_seconds", "inf"),
        ("drain_seconds", "0"),
        ("lease_seconds", "-1"),
        ("memory_mb", "1.5"),
        ("cores", "0"),
    ],
)
def test_a_bad_value_is_reported_with_the_accepted_values(name, text):
    environ = {variable(name): text}
    given = {key: value for key, value in SIDE.items() if key != name}
    rejected = load(SideSettings, given, environ)
    assert isinstance(rejected, Rejected)
    (error,) = rejected.errors
    assert (error.name, error.value, error.source) == (name, text, variable(name))
    message = str(error)
    assert name in message and repr(text) in message and error.accepted in message
    assert "\n" not in message


@pytest.mark.parametrize(
    ("role", "required"),
    [(EntrySettings, ENTRY), (SideSettings, SIDE), (StorageSettings, STORAGE)],
)
def test_every_missing_setting_is_reported(role, required):
    rejected = node_settings(load(role, {}, {}), None)
    assert {error.name for error in rejected.errors} == set(required)
    assert all("is missing" in str(error) for error in rejected.errors)
    complete = node_settings(load(role, required, {}), None)
    assert complete.name == required["name"]


def test_a_storage_process_with_a_disk_needs_a_peer_address():
    given = STORAGE | {"data_folder": "/data"}
    assert isinstance(node_settings(load(StorageSettings, given, {}), None), Rejected)
    given["peer_address"] = "127.0.0.1:7703"
    found = node_settings(load(StorageSettings, given, {}), None)
    assert (found.data_folder, found.peer_address) == ("/data", "127.0.0.1:7703")


@pytest.mark.parametrize("front", ["front_address", "api_address"])
def test_an_entry_needs_a_front_address_or_an_api_address(front):
    given = {name: text for name, text in ENTRY.items() if name != "api_address"}
    assert isinstance(node_settings(load(EntrySettings, given, {}), None), Rejected)
    given[front] = "127.0.0.1:7703"
    found = node_settings(load(EntrySettings, given, {}), None)
    assert getattr(found, front) == "127.0.0.1:7703"


def test_an_operator_may_name_several_entries():
    settings = load(OperatorSettings, {"entry": "10.0.0.1:1, 10.0.0.2:2"}, {})
    assert settings.entry == (Address("10.0.0.1", 1), Address("10.0.0.2", 2))


@pytest.mark.parametrize("role", ROLES)
def test_every_default_is_accepted_by_the_parser_of_its_setting(role):
    for setting in fields(role):
        parse = setting.metadata["setting"].parse
        if isinstance(setting.default, str | int | float) and setting.default != "":
            assert parse(str(setting.default)) == setting.default
        assert flag(setting.name).startswith("--")


def test_unknown_variables_are_found():
    environ = {
        "WIGEONFRONT_DRAIN_SECOND": "1",
        "WIGEONFRONT_DRAIN_SECONDS": "1",
        "WIGEONFRONT_BOOT": "/x",
        "PATH": "",
    }
    assert unknown_variables(environ) == ("WIGEONFRONT_DRAIN_SECOND",)
