"""Tests of the HTTP API under ``/v1`` on real entries with a simulated platform."""

import json
import logging
import threading

import msgspec
import pytest

from deployed import Deployment
from platform_standins import deployment
from platform_standins.deployment import MODEL
from platform_standins.ports import free_port
from rows_fakes import wait_for
from wigeonfront.http.client import Pool

LOT = {
    "trainer": "t/1",
    "lot": "step 8",
    "route": "lots",
    "model": MODEL,
    "version": 1,
    "samples": [
        {"sample": f"s/{n}", "payload": {"n": n}, "group": f"g{n // 2}"}
        for n in range(6)
    ],
}
LOT_PATH = "/v1/lots/t%2F1/step%208"


class Api:
    """A client of the HTTP API of one entry."""

    def __init__(self, entry):
        self.entry = entry
        self.address = entry._settings.api_address

    def call(self, method, path, body=None, **headers):
        pool = Pool(self.address)
        names = {name.replace("_", "-"): value for name, value in headers.items()}
        answer = pool.call(method, path, body, names, timeout=6.0)
        pool.close()
        data = msgspec.json.decode(answer.body) if answer.body else None
        return answer.status, data

    def results(self, path=LOT_PATH, total=6):
        results = []

        def all_read():
            status, page = self.call("GET", f"{path}?after={len(results)}&wait=0.5")
            assert status == 200
            results.extend(page["results"])
            return len(results) == total

        wait_for(all_read, 15.0)
        return results


@pytest.fixture
def deployed():
    running = Deployment()
    yield running
    running.close()


@pytest.fixture
def apis(deployed):
    def add(name):
        host = "127.0.0.1"
        address = f"{host}:{free_port(host)}"
        return Api(deployed.add_entry(name, api_address=address))

    return add


def test_lot_runs_once_and_every_entry_serves_it_until_acknowledged(deployed, apis):
    first, second = apis("n1"), apis("n2")
    assert first.call("POST", "/v1/lots", LOT) == (202, {"lot": "step 8", "samples": 6})
    assert second.call("POST", "/v1/lots", LOT)[0] == 202
    for api in (first, second):
        results = api.results()
        assert {result["sample"] for result in results} == {f"s/{n}" for n in range(6)}
        assert {result["kind"] for result in results} == {"completed"}
        assert all(result["text"] and result["versions"] == [1] for result in results)
    name = {"trainer": "t/1", "lot": "step 8"}
    for api in (second, first):
        assert api.call("POST", "/v1/lots/acknowledge", name)[0] == 200
    for api in (first, second):
        status, error = api.call("POST", "/v1/lots", LOT)
        assert (status, error["error"]) == (410, "already_delivered")
    assert len(first.results()) == 6
    assert sum(sum(engine.run_counts.values()) for engine in deployed.engines) == 6


def test_entry_without_knowledge_of_a_delivered_lot_refuses_to_run_it_again(apis):
    """The mirror of the second entry lacks the Lot, so only the store tells of it."""
    first, second = apis("n1"), apis("n2")
    second.entry._lots.knows = lambda lot_id: False
    assert first.call("POST", "/v1/lots", LOT)[0] == 202
    first.results()
    name = {"trainer": "t/1", "lot": "step 8"}
    assert first.call("POST", "/v1/lots/acknowledge", name)[0] == 200
    assert second.call("POST", "/v1/lots", LOT)[0] == 410


def test_reward_call_scores_a_sample(deployed, apis):
    api = apis("n1")
    samples = [
        sample | {"reward_call": {"route": "plain", "path": "score", "payload": sample}}
        for sample in LOT["samples"]
    ]
    assert api.call("POST", "/v1/lots", LOT | {"samples": samples})[0] == 202
    results = api.results()
    expected = {mark for marks in deployed.plain.seals.values() for mark in marks}
    assert {result["score"] for result in results} == expected
    bodies = {body for _, _, body in deployed.plain.requests}
    assert json.dumps(samples[0]["payload"]).encode().replace(b" ", b"") in b"".join(
        bodies
    )


@pytest.mark.parametrize(
    ("changes", "status", "error"),
    [
        ({"trainer": ""}, 400, "bad_body"),
        ({"samples": []}, 400, "bad_body"),
        ({"bound": -1}, 400, "bad_body"),
        ({"wanted": 3}, 400, "bad_body"),
        ({"timeout": 0}, 400, "bad_body"),
        ({"route": "plain"}, 404, "no_route"),
        ({"route": "nowhere"}, 404, "no_route"),
        ({"samples": [{"sample": "a"}, {"sample": "a"}]}, 422, "bad_field"),
        (
            {"samples": [{"sample": "a", "reward_call": {"route": "lots"}}]},
            404,
            "no_route",
        ),
    ],
)
def test_invalid_lot_is_refused_with_an_error_code(apis, changes, status, error):
    api = apis("n1")
    answer = api.call("POST", "/v1/lots", LOT | changes)
    assert (answer[0], answer[1]["error"]) == (status, error)
    assert api.call("GET", LOT_PATH)[0] == 404


@pytest.mark.parametrize(
    ("method", "path", "status"),
    [
        ("GET", "/v1/lots/t", 404),
        ("GET", "/v1/lots/t/l/x", 404),
        ("GET", LOT_PATH + "?after=x", 400),
        ("GET", LOT_PATH + "?wait=nan", 400),
        ("POST", "/v1/nothing", 404),
        ("DELETE", "/v1/lots", 404),
        ("GET", "/health", 200),
        ("GET", "/ready", 200),
    ],
)
def test_status_of_invalid_paths_and_of_probes(apis, method, path, status):
    assert apis("n1").call(method, path)[0] == status


def test_lot_that_cannot_be_stored_is_refused_with_retry_after(deployed, apis):
    api = apis("n1")
    deployed.rows.faults.down = True
    pool = Pool(api.address)
    answer = pool.call("POST", "/v1/lots", LOT, timeout=8.0)
    pool.close()
    deployed.rows.faults.down = False
    assert answer.status == 503
    assert answer.retry_after > 0
    assert msgspec.json.decode(answer.body)["error"] == "not_run"


REQUEST = {"route": "plain", "path": "a b", "payload": {"x": 1}, "timeout": 3}


def test_request_is_forwarded_and_answered_with_its_outcome(deployed, apis):
    api = apis("n1")
    status, reply = api.call("POST", "/v1/requests", REQUEST, X_Request_Id="r1")
    assert status == 200
    assert reply["request"] == "r1"
    assert reply["outcome"] == {"kind": "completed", "payload": {"x": 1}}
    ((method, target, _),) = deployed.plain.requests
    assert (method, target) == ("POST", "/plain/a%20b")


@pytest.mark.parametrize(
    ("status", "expected"), [(500, (500, "failed")), (418, (418, "failed"))]
)
def test_error_of_a_target_is_the_outcome_failed(deployed, apis, status, expected):
    deployed.plain.status = status
    answered, reply = apis("n1").call("POST", "/v1/requests", REQUEST)
    assert (answered, reply["outcome"]["kind"]) == expected


def test_request_refused_by_every_target_is_not_run(deployed, apis):
    api = apis("n1")
    deployed.plain.refuse = True
    status, reply = api.call("POST", "/v1/requests", REQUEST)
    assert (status, reply["outcome"]["kind"]) == (503, "not_run")
    assert reply["outcome"]["retry_after"] > 0


def test_request_refused_late_by_the_only_target_is_not_run(deployed, apis):
    """The request must not be abandoned at half of its time and reported as unknown."""
    api = apis("n1")
    deployed.plain.refuse = True
    deployed.plain.refusal_seconds = 0.9
    status, reply = api.call("POST", "/v1/requests", REQUEST)
    assert (status, reply["outcome"]["kind"]) == (503, "not_run")


def test_request_with_a_key_runs_once_when_repeated_at_any_entry(deployed, apis):
    first, second = apis("n1"), apis("n2")
    deployed.plain.run_seconds = 0.3
    booking = REQUEST | {"route": "booking"}
    answers = []

    def send(api):
        answers.append(api.call("POST", "/v1/requests", booking, Idempotency_Key="k 1"))

    threads = [threading.Thread(target=send, args=(api,)) for api in (first, second)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    send(second)
    assert [status for status, _ in answers] == [200] * 3
    outcomes = [reply["outcome"] for _, reply in answers]
    assert outcomes[0] == outcomes[1] == outcomes[2]
    assert len(deployed.plain.requests) == 1
    first.call("POST", "/v1/requests", booking, Idempotency_Key="k 2")
    assert len(deployed.plain.requests) == 2


def test_stream_is_forwarded_whole(apis):
    api = apis("n1")
    pool = Pool(api.address)
    body = {"route": "stream", "path": "s1", "payload": {}, "model": MODEL}
    answer = pool.call("POST", "/v1/requests", body, {"X-Request-Id": "s1"})
    pool.close()
    assert answer.status == 200
    assert b"s1:5" in answer.body


def test_status_shows_the_deployment(deployed, apis):
    api, other = apis("n1"), apis("n2")
    deployment.name_version(deployed.rows, 2)
    api.call("POST", "/v1/lots", LOT)
    wait_for(lambda: len(api.call("GET", "/v1/status")[1]["members"]) == 2)
    wait_for(lambda: api.call("GET", "/v1/status")[1]["lots"])
    status = api.call("GET", "/v1/status")[1]
    assert (status["name"], status["ready"], status["store_reached"]) == (
        "n1",
        True,
        True,
    )
    assert status["configuration_version"] == 1
    assert status["named_versions"] == {MODEL: 2}
    assert len(status["targets"]) == 3
    assert [lot["samples"] for lot in status["lots"]] == [6]
    wait_for(lambda: other.call("GET", "/v1/status")[1]["order_holders"])


def test_explain_returns_the_events_of_a_sample_in_order(apis, caplog):
    caplog.set_level(logging.INFO)
    api = apis("n1")
    api.call("POST", "/v1/lots", LOT)
    api.results()
    sample = "t%252F1!step%25208!s%252F0"
    events = api.call("GET", f"/v1/explain/{sample}")[1]["events"]
    names = [event["event"] for event in events]
    assert names.index("lot_submitted") < names.index("sample_sent")
    assert names.index("sample_sent") < names.index("sample_finished")
    assert api.call("GET", "/v1/explain/nothing")[1]["events"] == []


def document(version):
    return msgspec.json.decode(deployment.configuration(version))


def test_stored_catalogue_comes_into_force_at_every_entry(apis):
    first, second = apis("n1"), apis("n2")
    wait_for(lambda: len(first.call("GET", "/v1/status")[1]["members"]) == 2)
    current = first.call("GET", "/v1/catalogue")[1]
    assert current["version"] == 1
    change = {"expected": current["revision"], "document": document(4)}
    status, stored = first.call("PUT", "/v1/catalogue", change)
    assert (status, stored["version"]) == (200, 4)

    def in_force():
        reply = second.call("GET", "/v1/catalogue/in-force?version=4")[1]
        return reply["in_force"] == ["n1", "n2"] and not reply["behind"]

    wait_for(in_force)
    behind = second.call("GET", "/v1/catalogue/in-force?version=5")[1]["behind"]
    assert behind == ["n1", "n2"]
    history = first.call("GET", "/v1/catalogue/history")[1]
    assert [stored["version"] for stored in history] == [4]


@pytest.mark.parametrize(
    ("expected", "changed", "status", "error"),
    [
        (0, document(9), 409, "conflict"),
        (None, document(1), 422, "version_too_low"),
        (None, {"version": "x"}, 422, "bad_document"),
        (None, {"version": 9, "routes": [{}]}, 422, "bad_document"),
    ],
)
def test_invalid_catalogue_is_not_stored(apis, expected, changed, status, error):
    api = apis("n1")
    current = api.call("GET", "/v1/catalogue")[1]
    revision = current["revision"] if expected is None else expected
    change = {"expected": revision, "document": changed}
    answer = api.call("PUT", "/v1/catalogue", change)
    assert (answer[0], answer[1]["error"]) == (status, error)
    assert api.call("GET", "/v1/catalogue")[1] == current


def test_only_the_first_of_concurrent_catalogue_changes_is_stored(apis):
    api = apis("n1")
    revision = api.call("GET", "/v1/catalogue")[1]["revision"]
    answers = []

    def put(version):
        change = {"expected": revision, "document": document(version)}
        answers.append(api.call("PUT", "/v1/catalogue", change)[0])

    threads = [threading.Thread(target=put, args=(n,)) for n in range(2, 8)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    assert answers.count(200) == 1
    assert set(answers) <= {200, 409, 422}


def test_drain_call_starts_a_planned_stop(deployed, apis):
    stopped = threading.Event()
    host = "127.0.0.1"
    entry = deployed.add_entry(
        "n1", api_address=f"{host}:{free_port(host)}", drain=stopped.set
    )
    assert Api(entry).call("POST", "/v1/drain", {}) == (202, {"draining": "n1"})
    assert stopped.wait(2.0)


ACCOUNTS = {"studio": ["key-s1"], "other": ["key-o1"]}
S1, O1 = ({"Authorization": f"Bearer {key}"} for key in ("key-s1", "key-o1"))


@pytest.fixture
def api_with_accounts(deployed, apis):
    value = deployment.configuration(2, accounts=ACCOUNTS)
    deployed.rows.put("op/config", value)
    return apis("n1")


@pytest.mark.parametrize(
    ("method", "path", "body"),
    [
        ("POST", "/v1/lots", LOT),
        ("GET", LOT_PATH, None),
        ("POST", "/v1/lots/acknowledge", {"trainer": "t/1", "lot": "step 8"}),
        ("POST", "/v1/requests", REQUEST),
    ],
)
@pytest.mark.parametrize("headers", [{}, {"Authorization": "Bearer key-x"}])
def test_call_without_a_valid_api_key_is_refused(
    api_with_accounts, method, path, body, headers
):
    status, reply = api_with_accounts.call(method, path, body, **headers)
    assert (status, reply["error"]) == (401, "no_account")


def test_lot_is_unknown_to_other_accounts(deployed, api_with_accounts):
    assert api_with_accounts.call("POST", "/v1/lots", LOT, **S1)[0] == 202
    assert api_with_accounts.call("GET", LOT_PATH, **O1)[0] == 404
    name = {"trainer": LOT["trainer"], "lot": LOT["lot"]}
    assert api_with_accounts.call("POST", "/v1/lots/acknowledge", name, **O1)[0] == 404
    assert api_with_accounts.call("GET", LOT_PATH, **S1)[0] == 200
    wait_for(lambda: any(engine.headers for engine in deployed.engines))
    sent = [
        headers for engine in deployed.engines for headers in engine.headers.values()
    ]
    assert {headers["wigeonfront-tenant"] for headers in sent} == {"studio"}


def test_idempotency_keys_of_accounts_are_separate(deployed, api_with_accounts):
    booking = REQUEST | {"route": "booking"}
    for headers in (S1, O1, S1):
        status, _ = api_with_accounts.call(
            "POST", "/v1/requests", booking, Idempotency_Key="k1", **headers
        )
        assert status == 200
    assert len(deployed.plain.requests) == 2


def test_an_old_configuration_refuses_an_unknown_route_only_temporarily(apis, deployed):
    api = apis("n1")
    assert api.call("POST", "/v1/lots", LOT | {"route": "added"})[0] == 404
    deployed.rows.faults.down = True
    wait_for(lambda: api.entry._gate.outdated, 10.0)
    status, error = api.call("POST", "/v1/lots", LOT | {"route": "added"})
    assert (status, error["error"]) == (503, "not_ready")
