"""The product's own interface on real entries, over stand-ins of the platform."""

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
    """An entry's own interface."""

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
        found = []

        def whole():
            status, page = self.call("GET", f"{path}?after={len(found)}&wait=0.5")
            assert status == 200
            found.extend(page["results"])
            return len(found) == total

        wait_for(whole, 15.0)
        return found


@pytest.fixture
def deployed():
    made = Deployment()
    yield made
    made.close()


@pytest.fixture
def apis(deployed):
    def add(name):
        host = "127.0.0.1"
        address = f"{host}:{free_port(host)}"
        return Api(deployed.add_entry(name, api_address=address))

    return add


def test_a_lot_is_run_and_read_at_every_entry_until_it_is_acknowledged(deployed, apis):
    first, second = apis("n1"), apis("n2")
    assert first.call("POST", "/v1/lots", LOT) == (202, {"lot": "step 8", "samples": 6})
    assert second.call("POST", "/v1/lots", LOT)[0] == 202
    for api in (first, second):
        results = api.results()
        assert {one["sample"] for one in results} == {f"s/{n}" for n in range(6)}
        assert {one["kind"] for one in results} == {"completed"}
        assert all(one["text"] and one["versions"] == [1] for one in results)
    name = {"trainer": "t/1", "lot": "step 8"}
    for api in (second, first):
        assert api.call("POST", "/v1/lots/acknowledge", name)[0] == 200
    for api in (first, second):
        status, error = api.call("POST", "/v1/lots", LOT)
        assert (status, error["error"]) == (410, "already_delivered")
    assert len(first.results()) == 6
    assert sum(sum(engine.ran.values()) for engine in deployed.engines) == 6


def test_a_lot_that_was_delivered_elsewhere_just_now_is_not_delivered_again(apis):
    """The second entry has not heard of it."""
    first, second = apis("n1"), apis("n2")
    second.entry._lots.knows = lambda lot_id: False
    assert first.call("POST", "/v1/lots", LOT)[0] == 202
    first.results()
    name = {"trainer": "t/1", "lot": "step 8"}
    assert first.call("POST", "/v1/lots/acknowledge", name)[0] == 200
    assert second.call("POST", "/v1/lots", LOT)[0] == 410


def test_a_sample_is_scored_by_its_reward_call(deployed, apis):
    api = apis("n1")
    samples = [
        one | {"reward_call": {"route": "plain", "path": "score", "payload": one}}
        for one in LOT["samples"]
    ]
    assert api.call("POST", "/v1/lots", LOT | {"samples": samples})[0] == 202
    results = api.results()
    given = {mark for marks in deployed.plain.marks.values() for mark in marks}
    assert {one["score"] for one in results} == given
    bodies = {body for _, _, body in deployed.plain.seen}
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
def test_a_bad_lot_is_refused_with_what_is_wrong(apis, changes, status, error):
    api = apis("n1")
    found = api.call("POST", "/v1/lots", LOT | changes)
    assert (found[0], found[1]["error"]) == (status, error)
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
def test_calls_that_are_not_there(apis, method, path, status):
    assert apis("n1").call(method, path)[0] == status


def test_a_lot_that_is_not_kept_is_not_run_and_says_when_to_come_back(deployed, apis):
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


def test_a_request_has_an_outcome(deployed, apis):
    api = apis("n1")
    status, reply = api.call("POST", "/v1/requests", REQUEST, X_Request_Id="r1")
    assert status == 200
    assert reply["request"] == "r1"
    assert reply["outcome"] == {"kind": "completed", "payload": {"x": 1}}
    ((method, target, _),) = deployed.plain.seen
    assert (method, target) == ("POST", "/plain/a%20b")


@pytest.mark.parametrize(
    ("status", "expected"), [(500, (500, "failed")), (418, (418, "failed"))]
)
def test_a_target_that_fails_is_told(deployed, apis, status, expected):
    deployed.plain.status = status
    found, reply = apis("n1").call("POST", "/v1/requests", REQUEST)
    assert (found, reply["outcome"]["kind"]) == expected


def test_without_a_target_a_request_was_not_run(deployed, apis):
    api = apis("n1")
    deployed.plain.refuse = True
    status, reply = api.call("POST", "/v1/requests", REQUEST)
    assert (status, reply["outcome"]["kind"]) == (503, "not_run")
    assert reply["outcome"]["retry_after"] > 0


def test_what_the_only_target_refuses_late_was_not_run(deployed, apis):
    """It was given up at half of the time, and called unknown."""
    api = apis("n1")
    deployed.plain.refuse = True
    deployed.plain.refusal_pause = 0.9
    status, reply = api.call("POST", "/v1/requests", REQUEST)
    assert (status, reply["outcome"]["kind"]) == (503, "not_run")


def test_a_request_with_a_key_runs_once_wherever_it_is_repeated(deployed, apis):
    first, second = apis("n1"), apis("n2")
    deployed.plain.pause = 0.3
    booking = REQUEST | {"route": "booking"}
    answers = []

    def ask(api):
        answers.append(api.call("POST", "/v1/requests", booking, Idempotency_Key="k 1"))

    asking = [threading.Thread(target=ask, args=(api,)) for api in (first, second)]
    for thread in asking:
        thread.start()
    for thread in asking:
        thread.join()
    ask(second)
    assert [status for status, _ in answers] == [200] * 3
    outcomes = [reply["outcome"] for _, reply in answers]
    assert outcomes[0] == outcomes[1] == outcomes[2]
    assert len(deployed.plain.seen) == 1
    first.call("POST", "/v1/requests", booking, Idempotency_Key="k 2")
    assert len(deployed.plain.seen) == 2


def test_a_stream_goes_through_as_it_comes(apis):
    api = apis("n1")
    pool = Pool(api.address)
    body = {"route": "stream", "path": "s1", "payload": {}, "model": MODEL}
    answer = pool.call("POST", "/v1/requests", body, {"X-Request-Id": "s1"})
    pool.close()
    assert answer.status == 200
    assert b"s1:5" in answer.body


def test_the_status_tells_of_the_deployment(deployed, apis):
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
    assert [one["samples"] for one in status["lots"]] == [6]
    wait_for(lambda: other.call("GET", "/v1/status")[1]["order_holders"])


def test_what_happened_to_a_sample_is_remembered(apis, caplog):
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


def test_a_catalogue_is_checked_written_and_in_force_everywhere(apis):
    first, second = apis("n1"), apis("n2")
    wait_for(lambda: len(first.call("GET", "/v1/status")[1]["members"]) == 2)
    present = first.call("GET", "/v1/catalogue")[1]
    assert present["version"] == 1
    change = {"expected": present["revision"], "document": document(4)}
    status, stored = first.call("PUT", "/v1/catalogue", change)
    assert (status, stored["version"]) == (200, 4)

    def in_force():
        found = second.call("GET", "/v1/catalogue/in-force?version=4")[1]
        return found["in_force"] == ["n1", "n2"] and not found["behind"]

    wait_for(in_force)
    behind = second.call("GET", "/v1/catalogue/in-force?version=5")[1]["behind"]
    assert behind == ["n1", "n2"]
    history = first.call("GET", "/v1/catalogue/history")[1]
    assert [one["version"] for one in history] == [4]


@pytest.mark.parametrize(
    ("expected", "changed", "status", "error"),
    [
        (0, document(9), 409, "conflict"),
        (None, document(1), 422, "version_too_low"),
        (None, {"version": "x"}, 422, "bad_document"),
        (None, {"version": 9, "routes": [{}]}, 422, "bad_document"),
    ],
)
def test_a_bad_catalogue_is_not_written(apis, expected, changed, status, error):
    api = apis("n1")
    present = api.call("GET", "/v1/catalogue")[1]
    revision = present["revision"] if expected is None else expected
    change = {"expected": revision, "document": changed}
    found = api.call("PUT", "/v1/catalogue", change)
    assert (found[0], found[1]["error"]) == (status, error)
    assert api.call("GET", "/v1/catalogue")[1] == present


def test_of_two_operators_the_first_wins(apis):
    api = apis("n1")
    revision = api.call("GET", "/v1/catalogue")[1]["revision"]
    answers = []

    def put(version):
        change = {"expected": revision, "document": document(version)}
        answers.append(api.call("PUT", "/v1/catalogue", change)[0])

    putting = [threading.Thread(target=put, args=(n,)) for n in range(2, 8)]
    for thread in putting:
        thread.start()
    for thread in putting:
        thread.join()
    assert answers.count(200) == 1
    assert set(answers) <= {200, 409, 422}


def test_a_drain_is_a_planned_stop(deployed, apis):
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
def keyed(deployed, apis):
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
def test_calls_need_a_key_where_there_are_accounts(keyed, method, path, body, headers):
    status, reply = keyed.call(method, path, body, **headers)
    assert (status, reply["error"]) == (401, "no_account")


def test_a_lot_is_unknown_to_other_accounts(deployed, keyed):
    assert keyed.call("POST", "/v1/lots", LOT, **S1)[0] == 202
    assert keyed.call("GET", LOT_PATH, **O1)[0] == 404
    name = {"trainer": LOT["trainer"], "lot": LOT["lot"]}
    assert keyed.call("POST", "/v1/lots/acknowledge", name, **O1)[0] == 404
    assert keyed.call("GET", LOT_PATH, **S1)[0] == 200
    wait_for(lambda: any(engine.headers for engine in deployed.engines))
    seen = [one for engine in deployed.engines for one in engine.headers.values()]
    assert {one["wigeonfront-tenant"] for one in seen} == {"studio"}


def test_an_idempotency_key_is_of_one_account(deployed, keyed):
    booking = REQUEST | {"route": "booking"}
    for headers in (S1, O1, S1):
        status, _ = keyed.call(
            "POST", "/v1/requests", booking, Idempotency_Key="k1", **headers
        )
        assert status == 200
    assert len(deployed.plain.seen) == 2
