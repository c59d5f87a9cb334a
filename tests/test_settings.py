"""Settings: sources, checks and the line for a bad value."""

from dataclasses import fields

import pytest

from wigeonfront.settings import (
    Address,
    EntrySettings,
    OperatorSettings,
    Rejected,
    SideSettings,
    flag,
    load,
    unknown_variables,
    variable,
)

REQUIRED = {
    "name": "entry-a",
    "listen": "127.0.0.1:7700",
    "failure_domain": "hall-a",
    "key_value": "http://127.0.0.1:7001/",
    "vm_list": "http://127.0.0.1:7002",
}
REQUIRED_SIDE = REQUIRED | {"service": "judge-llm", "target": "http://127.0.0.1:9000"}


@pytest.mark.parametrize(
    ("flags", "environ", "expected"),
    [
        ({}, {}, 1.0),
        ({}, {"WIGEONFRONT_BEAT_SECONDS": "2.5"}, 2.5),
        ({"beat_seconds": "0.5"}, {}, 0.5),
        ({"beat_seconds": "0.5"}, {"WIGEONFRONT_BEAT_SECONDS": "2.5"}, 0.5),
        ({"beat_seconds": "0.5"}, {"WIGEONFRONT_BEAT_SECONDS": "bad"}, 0.5),
    ],
)
def test_flag_before_environment_before_default(flags, environ, expected):
    settings = load(EntrySettings, REQUIRED | flags, environ)
    assert settings.beat_seconds == expected


@pytest.mark.parametrize(
    ("name", "text", "value"),
    [
        ("listen", "[::1]:80", Address("::1", 80)),
        ("listen", "vm-7.internal:65535", Address("vm-7.internal", 65535)),
        ("advertise", "10.0.0.7:81", Address("10.0.0.7", 81)),
        ("key_value", "https://kv.internal/v1/", "https://kv.internal/v1"),
        ("weight_store", "", ""),
        ("headroom", "0", 0.0),
        ("target_kind", "plain", "plain"),
        ("capacity", "4096", 4096),
    ],
)
def test_accepted_values(name, text, value):
    settings = load(SideSettings, REQUIRED_SIDE | {name: text}, {})
    assert getattr(settings, name) == value


@pytest.mark.parametrize(
    ("name", "text"),
    [
        ("name", ""),
        ("name", "a b"),
        ("name", "a" * 64),
        ("listen", "127.0.0.1"),
        ("listen", "127.0.0.1:0"),
        ("listen", "127.0.0.1:65536"),
        ("listen", "127.0.0.1:-1"),
        ("listen", ":80"),
        ("listen", "127.0.0.1:²"),
        ("key_value", "ftp://10.0.0.1"),
        ("key_value", "http://"),
        ("key_value", "http://10.0.0.1:port"),
        ("key_value", "http://user@10.0.0.1"),
        ("vm_list", ""),
        ("target", "https://127.0.0.1:9000"),
        ("target", "http://127.0.0.1"),
        ("target", "http://127.0.0.1:9000/v1"),
        ("log_level", "INFO"),
        ("log_file", "/no/such/directory/log"),
        ("log_file", "/"),
        ("beat_seconds", "nan"),
        ("beat_seconds", "inf"),
        ("beat_seconds", "0"),
        ("drain_seconds", "-1"),
        ("capacity", "0"),
        ("capacity", "1.5"),
        ("headroom", "1"),
        ("target_kind", "engines"),
    ],
)
def test_bad_value_is_named_with_what_is_accepted(name, text):
    environ = {variable(name): text}
    given = {key: value for key, value in REQUIRED_SIDE.items() if key != name}
    rejected = load(SideSettings, given, environ)
    assert isinstance(rejected, Rejected)
    (error,) = rejected.errors
    assert (error.name, error.value, error.source) == (name, text, variable(name))
    line = str(error)
    assert name in line and repr(text) in line and error.accepted in line
    assert "\n" not in line


def test_every_missing_setting_is_named():
    rejected = load(SideSettings, {}, {})
    assert {error.name for error in rejected.errors} == set(REQUIRED_SIDE)
    assert all("is missing" in str(error) for error in rejected.errors)


def test_advertise_is_listen_by_default():
    settings = load(EntrySettings, REQUIRED, {})
    assert settings.advertise == settings.listen
    assert str(settings.advertise) == "127.0.0.1:7700"


def test_operator_tries_several_entries():
    settings = load(OperatorSettings, {"entry": "10.0.0.1:1, 10.0.0.2:2"}, {})
    assert [str(address) for address in settings.entry] == ["10.0.0.1:1", "10.0.0.2:2"]


@pytest.mark.parametrize("role", [EntrySettings, SideSettings, OperatorSettings])
def test_every_default_is_accepted_by_its_own_parser(role):
    for each in fields(role):
        parse = each.metadata["setting"].parse
        if isinstance(each.default, str | int | float) and each.default != "":
            assert parse(str(each.default)) == each.default
        assert flag(each.name).startswith("--")


def test_unknown_variables_are_found():
    environ = {
        "WIGEONFRONT_BEAT_SECOND": "1",
        "WIGEONFRONT_BEAT_SECONDS": "1",
        "PATH": "",
    }
    assert unknown_variables(environ) == ("WIGEONFRONT_BEAT_SECOND",)
