"""Calls with API keys to an entry over real sockets, and what targets and logs show."""

import logging
import socket

import msgspec
import pytest
import urllib3

from deployed import Deployment
from platform_standins import deployment
from platform_standins.deployment import HOST, MODEL
from rows_fakes import wait_for
from test_entry_node import SAMPLES, call, read_all, submission
from wigeonfront.http.client import Pool
from wigeonfront.observability.explain import RecentEvents

ACCOUNTS = {"studio": ["key-s1", "key-s2"], "other": ["key-o1"]}
S1, S2, O1 = (
    {"Authorization": f"Bearer {key}"} for key in ("key-s1", "key-s2", "key-o1")
)
KEYS = ("key-s1", "key-s2", "key-o1")


@pytest.fixture
def deployed():
    cluster = Deployment()
    configure(cluster, 2)
    yield cluster
    cluster.close()


def configure(deployed, version, accounts=ACCOUNTS, **changes):
    document = deployment.configuration(version, accounts=accounts, **changes)
    deployed.rows.put("op/config", document)


def call_plain(entry, id, **headers):
    return call(entry, "POST", "/plain/x", b"in", Wigeonfront_Attempt_Id=id, **headers)


def submit(entry, name, **headers):
    body = submission(name)
    path = f"/lots-in/{name}"
    return call(entry, "POST", path, body, Wigeonfront_Attempt_Id=name, **headers)


@pytest.mark.parametrize(
    ("headers", "status"),
    [
        ({}, 401),
        ({"Authorization": "Bearer key-x"}, 401),
        ({"Authorization": "Basic key-s1"}, 401),
        (S1, 200),
        (S2, 200),
        (O1, 200),
    ],
)
def test_requests_need_the_key_of_an_account(deployed, headers, status):
    entry = deployed.add_entry("n1")
    answer = urllib3.request(
        "POST",
        f"http://{entry._settings.front_address}/plain/x",
        headers={"Host": HOST, "Wigeonfront-Attempt-Id": "r1"} | headers,
        retries=False,
    )
    assert answer.status == status
    challenge = answer.headers.get("WWW-Authenticate")
    assert challenge == ("Bearer" if status == 401 else None)
    assert len(deployed.plain.requests) == (status == 200)


def test_targets_get_the_account_but_never_the_key(deployed):
    entry = deployed.add_entry("n1")
    forged = {"Wigeonfront_Tenant": "other"}
    assert call_plain(entry, "r1", **S1, **forged).status == 200
    stream = call(
        entry, "POST", "/stream/x", b"", Wigeonfront_Attempt_Id="r2", **O1, **forged
    )
    assert stream.status == 200
    assert submit(entry, "l1", **S1).status == 202
    wait_for(
        lambda: sum(map(len, (engine.headers for engine in deployed.engines))) > SAMPLES
    )
    seen = dict(deployed.plain.headers)
    for engine in deployed.engines:
        seen |= engine.headers
    assert seen.pop("r2")["wigeonfront-tenant"] == "other"
    assert len(seen) == 1 + SAMPLES
    for headers in seen.values():
        assert headers["wigeonfront-tenant"] == "studio"
        assert "authorization" not in headers


def test_key_in_the_headers_of_a_sample_reaches_no_engine(deployed):
    entry = deployed.add_entry("n1")
    body = msgspec.json.decode(submission("l1"))
    for item in body["items"]:
        item["headers"] |= S1 | {"wigeonfront-TENANT": "other"}
    data = msgspec.json.encode(body)
    answer = call(entry, "POST", "/lots-in/l1", data, Wigeonfront_Attempt_Id="l1", **S1)
    assert answer.status == 202
    seen = {}

    def all_samples_arrived():
        for engine in deployed.engines:
            seen.update(engine.headers)
        return len(seen) == SAMPLES

    wait_for(all_samples_arrived)
    for headers in seen.values():
        assert headers["wigeonfront-tenant"] == "studio"
        assert "authorization" not in headers


def test_public_routes_need_no_key(deployed):
    configure(deployed, 3, public=True)
    entry = deployed.add_entry("n1")
    assert call_plain(entry, "r1", Wigeonfront_Tenant="studio").status == 200
    assert "wigeonfront-tenant" not in deployed.plain.headers["r1"]
    assert call_plain(entry, "r2", **S1).status == 200
    assert deployed.plain.headers["r2"]["wigeonfront-tenant"] == "studio"
    assert "authorization" not in deployed.plain.headers["r2"]


def test_removed_key_is_refused_on_open_connections(deployed):
    entry = deployed.add_entry("n1")
    pool = Pool(entry._settings.front_address)
    headers = {"Host": HOST, "Wigeonfront-Attempt-Id": "r1"} | S1
    assert pool.call("POST", "/plain/x", b"", headers, timeout=4.0).status == 200
    configure(deployed, 3, {"studio": ["key-s2", "key-s3"], "other": ["key-o1"]})
    wait_for(
        lambda: pool.call("POST", "/plain/x", b"", headers, timeout=4.0).status == 401
    )
    assert call_plain(entry, "r2", Authorization="Bearer key-s3").status == 200
    pool.close()


def test_old_configuration_refuses_unknown_keys_only_temporarily(deployed):
    """The key may have been added since the entry last read the configuration."""
    entry = deployed.add_entry("n1")
    deployed.rows.faults.down = True
    fresh = entry._settings.bounds.configuration_seconds
    wait_for(lambda: entry._view.operator.age > fresh, 10.0)
    answer = call_plain(entry, "r1", Authorization="Bearer key-x")
    assert answer.status == 503
    assert answer.retry_after > 0
    assert call_plain(entry, "r2", **S1).status == 200


def test_lot_is_visible_only_to_its_account(deployed):
    first, second = deployed.add_entry("n1"), deployed.add_entry("n2")
    assert submit(first, "l1", **S1).status == 202
    for entry in (first, second):
        for method, path in (
            ("GET", "/lots/l1?after=0"),
            ("GET", "/items/l1?id=l1-0"),
            ("DELETE", "/lots/l1"),
        ):
            assert call(entry, method, path, **O1).status == 404
            assert call(entry, method, path).status == 401
    assert call(second, "GET", "/items/l1?id=l1-0", **S2).body == b"in0"
    assert submit(second, "l1", **S2).status == 202
    # Each account has its own namespace of Lots.
    assert submit(first, "l1", **O1).status == 202
    wait_for(lambda: results(second, "l1", S2) == SAMPLES)
    wait_for(lambda: results(second, "l1", O1) == SAMPLES)
    assert call(second, "DELETE", "/lots/l1", **O1).status == 200
    assert call(first, "DELETE", "/lots/l1", **S2).status == 200


def results(entry, name, headers):
    """Return the number of results on all pages of a Lot."""
    after = 0
    while True:
        answer = call(entry, "GET", f"/lots/{name}?after={after}", **headers)
        if answer.status != 200:
            return after
        page = msgspec.json.decode(answer.body)
        if page["next"] == after:
            return after
        after = page["next"]


def test_removing_a_key_ends_no_lot(deployed):
    entry = deployed.add_entry("n1")
    for engine in deployed.engines:
        engine.faults.hang = True
    assert submit(entry, "l1", **S1).status == 202
    configure(deployed, 3, {"studio": ["key-s2"], "other": ["key-o1"]})
    wait_for(lambda: call_plain(entry, "r", **S1).status == 401)
    for engine in deployed.engines:
        engine.faults.hang = False
        engine.release.set()
    wait_for(lambda: results(entry, "l1", S2) == SAMPLES)


def test_owner_that_takes_over_sends_the_same_account(deployed):
    first = deployed.add_entry("n1")
    for engine in deployed.engines:
        engine.faults.hang = True
    assert submit(first, "l1", **S1).status == 202
    second = deployed.add_entry("n2")
    first.close()
    for engine in deployed.engines:
        engine.headers.clear()
        engine.faults.hang = False
        engine.release.set()
    wait_for(lambda: results(second, "l1", S1) == SAMPLES, 20.0)
    seen = deployed.engines[0].headers | deployed.engines[1].headers
    assert seen
    assert {headers["wigeonfront-tenant"] for headers in seen.values()} == {"studio"}


def test_lot_from_before_accounts_were_configured_stays_readable(deployed):
    configure(deployed, 3, None)
    entry = deployed.add_entry("n1")
    wait_for(lambda: entry._configuration.version == 3)
    assert submit(entry, "l1").status == 202
    assert submit(entry, "studio@l2").status == 202
    read_all(entry, "l1")
    configure(deployed, 4)
    wait_for(lambda: call(entry, "GET", "/lots/l1?after=0").status == 401)
    assert results(entry, "l1", O1) == SAMPLES


def test_no_key_is_logged_or_stored(deployed, caplog):
    caplog.set_level(logging.DEBUG)
    remembered = RecentEvents("n1")
    logging.getLogger("wigeonfront").addHandler(remembered)
    entry = deployed.add_entry("n1")
    assert call_plain(entry, "r1", **S1).status == 200
    assert call_plain(entry, "r2", Authorization="Bearer key-x").status == 401
    assert submit(entry, "l1", **S1).status == 202
    wait_for(lambda: results(entry, "l1", S1) == SAMPLES)
    logging.getLogger("wigeonfront").removeHandler(remembered)
    output = "".join(record.getMessage() for record in caplog.records)
    output += entry._metrics.render_text()
    for key in (*KEYS, "key-x"):
        assert key not in output
        for row in deployed.rows.list("").rows:
            assert row.key.startswith("op/") or key.encode() not in row.value
    assert remembered.find("l1")


def test_body_of_a_refused_request_is_not_read_as_a_request(deployed):
    """An unread chunked body must not be parsed as the next request."""
    entry = deployed.add_entry("n1")
    inner = (
        f"POST /plain/inner HTTP/1.1\r\nHost: {HOST}\r\n"
        "Authorization: Bearer key-s1\r\nWigeonfront-Attempt-Id: inner\r\n"
        "Content-Length: 0\r\n\r\n"
    )
    outer = (
        f"POST /plain/outer HTTP/1.1\r\nHost: {HOST}\r\n"
        "Wigeonfront-Attempt-Id: outer\r\nTransfer-Encoding: chunked\r\n\r\n"
    )
    host, _, port = entry._settings.front_address.partition(":")
    with socket.create_connection((host, int(port)), timeout=4.0) as sock:
        sock.sendall((outer + inner).encode())
        response = b""
        while chunk := sock.recv(65_536):
            response += chunk
    assert response.count(b"HTTP/1.1 ") == 1
    assert response.startswith(b"HTTP/1.1 401")
    assert not deployed.plain.requests


def test_repeated_authorization_header_is_malformed(deployed):
    entry = deployed.add_entry("n1")
    request = (
        f"POST /plain/x HTTP/1.1\r\nHost: {HOST}\r\n"
        "Authorization: Bearer key-o1\r\nAuthorization: Bearer key-s1\r\n"
        "Wigeonfront-Attempt-Id: r1\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
    )
    host, _, port = entry._settings.front_address.partition(":")
    with socket.create_connection((host, int(port)), timeout=4.0) as sock:
        sock.sendall(request.encode())
        assert sock.recv(65_536).startswith(b"HTTP/1.1 401")


def test_priority_of_an_account_overrides_that_of_the_route(deployed):
    accounts = deployment.configuration(3, accounts=ACCOUNTS)
    document = msgspec.json.decode(accounts)
    document["tenants"][0]["priority"] = 1
    document["routes"][2]["priority"] = 4
    deployed.rows.put("op/config", msgspec.json.encode(document))
    entry = deployed.add_entry("n1")
    for id, key in (("r1", S1), ("r2", O1)):
        headers = {"Wigeonfront_Attempt_Id": id, "Wigeonfront_Model": MODEL} | key
        assert call(entry, "POST", "/stream/x", b"", **headers).status == 200
    seen = deployed.engines[0].headers | deployed.engines[1].headers
    priorities = [seen[id]["wigeonfront-request-priority"] for id in ("r1", "r2")]
    assert priorities == ["1", "4"]


def test_a_route_that_an_old_configuration_lacks_is_refused_only_temporarily(deployed):
    """The route may have been added since the entry last read the configuration."""
    entry = deployed.add_entry("n1")
    assert call(entry, "POST", "/added/x", **S1).status == 404
    deployed.rows.faults.down = True
    fresh = entry._settings.bounds.configuration_seconds
    wait_for(lambda: entry._view.operator.age > fresh, 10.0)
    assert call(entry, "POST", "/added/x", **S1).status == 503
    deployed.rows.faults.down = False
    wait_for(lambda: call(entry, "POST", "/added/x", **S1).status == 404)
