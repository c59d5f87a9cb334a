"""Decoding of the platform's rows and of its settings file."""

import json

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from platform_standins import deployment
from wigeonfront.configuration import RouteKind
from wigeonfront.coordination.membership import decode_member
from wigeonfront.coordination.rows import Row
from wigeonfront.platform import records
from wigeonfront.platform.boot import read_boot
from wigeonfront.rollout.head import decode_head

BOOT = """
node = "edge-1"
ip = "10.0.0.1"
zone = "z1"
seeds = ["10.0.0.1:8166", "10.0.0.2:8166"]
newField = 3
app = ""
[listen]
front = "10.0.0.1:8161"
ready = "10.0.0.1:8167"
control = "10.0.0.1:8166"
[limits]
memoryMb = 300
[bounds]
graceS = 8
configMs = 2000
requireFence = true
[platform]
address = "10.9.0.1:8169"
ttlMinMs = 1000
"""


def test_a_configuration_is_decoded():
    found = records.decode_configuration(deployment.configuration(7))
    assert found.version == 7
    kinds = {route.name: route.kind for route in found.routes}
    assert kinds == {
        "plain": RouteKind.IDEMPOTENT,
        "booking": RouteKind.NON_IDEMPOTENT,
        "stream": RouteKind.STREAMING,
        "lots": RouteKind.LOTS,
    }
    lots = found.routes[3]
    assert (lots.lot_deadline, lots.max_queue, lots.max_attempts) == (7.5, 40, 3)
    assert found.services[deployment.ENGINES].models == (deployment.MODEL,)
    assert found.services[deployment.ENGINES].event_tokens == 50
    assert found.limits.body_bytes == 100_000


def with_share_weight(weight):
    document = msgspec.json.decode(deployment.configuration(7))
    document["routes"][3]["shareWeight"] = weight
    return records.decode_configuration(msgspec.json.encode(document))


@pytest.mark.parametrize("weight", [0.25, 1, 1000])
def test_a_route_for_lots_has_a_share_weight(weight):
    assert with_share_weight(weight).routes[3].share_weight == weight


@pytest.mark.parametrize("weight", [0, -1, 1000.5, "2", None])
def test_a_bad_share_weight_is_refused_with_its_place(weight):
    found = with_share_weight(weight)
    assert isinstance(found, records.BadRow)
    assert "$.routes[3].shareWeight" in found.reason


@pytest.mark.parametrize("tokens", [0, 64_898])
def test_the_memory_of_an_engine_is_decoded(tokens):
    document = msgspec.json.decode(deployment.configuration(7))
    for service in document["services"]:
        if service["name"] == deployment.ENGINES:
            service["engine"]["kvCapacityTokens"] = tokens
    found = records.decode_configuration(msgspec.json.encode(document))
    assert found.services[deployment.ENGINES].engine_tokens == tokens


@pytest.mark.parametrize("kind", ["", "something new", "non_idempotent"])
def test_requests_of_an_unknown_kind_are_not_repeatable(kind):
    found = records.decode_configuration(deployment.configuration(kind=kind))
    assert found.routes[0].kind is RouteKind.NON_IDEMPOTENT
    assert not found.routes[0].repeatable


@pytest.mark.parametrize("value", [b"", b"{", b"[]", b'{"version":"x"}', b"\xff\xfe"])
def test_a_malformed_row_is_a_bad_row_with_a_reason(value):
    for found in (
        records.decode_configuration(value),
        records.decode_target("i-1", value),
        records.decode_version(value),
    ):
        assert isinstance(found, records.BadRow)
        assert found.reason


def registration_row(**changes):
    """Return the row of a registration; a field changed to `MISSING` is left out."""
    fields = deployment.registration("s", "1.2.3.4:5") | changes
    return msgspec.json.encode(
        {name: value for name, value in fields.items() if value != MISSING}
    )


MISSING = "(missing)"


@pytest.mark.parametrize(("state", "draining"), [("ready", False), ("draining", True)])
def test_a_target_drains_unless_its_state_is_ready(state, draining):
    assert (
        records.decode_target("i-1", registration_row(state=state)).draining is draining
    )


def test_each_start_of_a_target_has_its_own_id():
    first = records.decode_target("i-1", registration_row(born=1_700_000_000_000))
    second = records.decode_target("i-1", registration_row(born=1_700_000_000_001))
    assert first.id != second.id
    assert first.name == second.name == "i-1"
    assert first.started_ms == 1_700_000_000_000
    assert records.decode_target("i-1", registration_row()).id == "i-1"


BAD_FIELDS = [
    *({name: MISSING} for name in deployment.registration("s", "1.2.3.4:5")),
    {"service": ""},
    {"service": 3},
    {"address": "1.2.3.4"},
    {"address": "1.2.3.4:"},
    {"address": "1.2.3.4:0"},
    {"address": "1.2.3.4:65536"},
    {"address": "1.2.3.4:99999999999999999999"},
    {"address": "1.2.3.4:+5"},
    {"address": "1.2.3.4:\u0663"},
    {"address": "1.2.3.400:5"},
    {"address": "host.example:5"},
    {"address": ["1.2.3.4:5"]},
    {"zone": None},
    {"version": 1},
    {"slotCount": 0},
    {"slotCount": -1},
    {"slotCount": 10**9},
    {"slotCount": "4"},
    {"slotCount": 4.5},
    {"slotCount": True},
    {"state": "other"},
    {"state": None},
    {"coldLeftMs": -1},
    {"coldLeftMs": 1e300},
    {"coldLeftMs": "0"},
    {"seq": "1"},
    {"seq": None},
    {"models": {}},
    {"models": [3]},
    {"models": [{"name": "m", "version": "1"}]},
    {"born": "1700000000000"},
    {"born": 1.5},
    {"born": -1},
    {"born": None},
    {"born": {}},
]


@pytest.mark.parametrize("changes", BAD_FIELDS, ids=repr)
def test_a_registration_with_a_malformed_field_is_a_bad_row(changes):
    assert isinstance(
        records.decode_target("i-1", registration_row(**changes)), records.BadRow
    )


@pytest.mark.parametrize("id", ["", "a/b", "/a", "a/"])
def test_a_registration_under_a_malformed_id_is_a_bad_row(id):
    assert isinstance(records.decode_target(id, registration_row()), records.BadRow)


DEEP = b"[" * 100_000


@pytest.mark.parametrize(
    "value",
    [
        b"",
        b"\xff\xfe\x00",
        b"nul",
        b"null",
        b"3",
        b'"text"',
        b"[]",
        b"{",
        DEEP,
        b'{"service":' + DEEP,
        b'{"coldLeftMs":1e999}',
        b'{"slotCount":' + b"9" * 400 + b"}",
    ],
)
@pytest.mark.parametrize(
    "decode",
    [
        records.decode_configuration,
        lambda value: records.decode_target("i-1", value),
        records.decode_version,
        lambda value: decode_member(Row("live/entry/n", value, 1)),
        lambda value: decode_head(Row("live/lot/l", value, 1)),
    ],
)
def test_undecodable_bytes_are_no_row(decode, value):
    found = decode(value)
    assert found is None or isinstance(found, records.BadRow)


JSON = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(max_size=8),
    lambda inner: (
        st.lists(inner, max_size=3)
        | st.dictionaries(
            st.sampled_from(
                [*deployment.registration("s", "a"), "models", "born", "routes"]
            ),
            inner,
            max_size=6,
        )
    ),
    max_leaves=12,
)


@settings(max_examples=300, deadline=None)
@given(
    st.one_of(
        st.binary(max_size=60),
        JSON.map(lambda value: json.dumps(value).encode()),
        st.dictionaries(
            st.sampled_from([*deployment.registration("s", "a"), "models", "born"]),
            JSON,
            max_size=3,
        ).map(lambda changes: json.dumps(changes | {}).encode()),
    ),
    st.text(max_size=5),
)
def test_any_row_is_decoded_or_a_bad_row(value, id):
    target = records.decode_target(id, value)
    if not isinstance(target, records.BadRow):
        assert target.service and target.slots > 0
    found = records.decode_configuration(value)
    assert isinstance(found, records.BadRow) or found.version is not None
    version = records.decode_version(value)
    assert isinstance(version, records.BadRow) or version >= 1
    seconds = records.decode_retire(value)
    assert isinstance(seconds, records.BadRow) or seconds >= 0
    decode_member(Row("live/entry/n", value, 1))
    decode_head(Row("live/lot/l", value, 1))


def test_the_settings_file_is_decoded_and_unknown_fields_are_ignored(tmp_path):
    path = tmp_path / "local.toml"
    path.write_text(BOOT)
    settings = read_boot(str(path))
    assert settings.name == "edge-1"
    assert settings.peer_address == "10.0.0.1:8166"
    assert settings.seed_addresses == ("10.0.0.1:8166", "10.0.0.2:8166")
    assert settings.bounds.stop_seconds == 8
    assert settings.bounds.configuration_seconds == 2.0
    assert settings.bounds.fenced


@pytest.mark.parametrize(
    "text", ["", "node = 3", 'node = "a"\nip = "b"', "node = ", BOOT + "\nx"]
)
def test_the_error_of_a_bad_settings_file_names_the_file(tmp_path, text):
    path = tmp_path / "local.toml"
    path.write_text(text)
    with pytest.raises(ValueError, match=r"local\.toml"):
        read_boot(str(path))
