"""Tests of entries in this process, over real sockets, with platform stand-ins."""

import base64
import threading
import time
from collections import Counter

import msgspec
import pytest

from deployed import Deployment
from platform_standins import deployment
from platform_standins.deployment import ENGINES, HOST, MODEL, PLAIN
from rows_fakes import free_address, wait_for
from wigeonfront.http.client import Answer, Pool
from wigeonfront.rollout import owner_calls, runner
from wigeonfront.rollout.head import LotState

SAMPLES = 6


@pytest.fixture
def deployed():
    started = Deployment()
    yield started
    started.close()


def call(entry, method, path, body=None, **headers):
    names = {"Host": HOST} | {
        name.replace("_", "-"): value for name, value in headers.items()
    }
    pool = Pool(entry._settings.front_address)
    answer = pool.call(method, path, body, names, timeout=4.0)
    pool.close()
    return answer


def scorer(sample_id, **changes):
    body = base64.b64encode(b"score this").decode()
    path = f"/plain/score%2F{sample_id}?q=1"
    return {"id": f"c-{sample_id}", "host": HOST, "path": path, "body": body} | changes


def submission(lot_id, samples=SAMPLES, scored=False, **fields):
    items = [
        {
            "id": f"{lot_id}-{number}",
            "path": f"/lots-in/{number}",
            "headers": {"Wigeonfront-Model": MODEL},
            "body": base64.b64encode(b"in%d" % number).decode(),
            "tokens": 100,
            "group": f"g{number // 2}",
        }
        | ({"scorer": scorer(f"{lot_id}-{number}")} if scored else {})
        for number in range(samples)
    ]
    body = {"step": 0, "model": MODEL, "minVersion": 1, "items": items}
    return msgspec.json.encode(body | fields)


def submit(entry, lot_id, **fields):
    path = f"/lots-in/{lot_id}"
    body = submission(lot_id, **fields)
    return call(entry, "POST", path, body, Wigeonfront_Attempt_Id=lot_id)


def read(entry, lot_id, after=0):
    answer = call(entry, "GET", f"/lots/{lot_id}?after={after}")
    assert isinstance(answer, Answer)
    return answer.status, msgspec.json.decode(answer.body) if answer.body else None


def read_all(entry, lot_id, total=SAMPLES):
    """Read page after page, as trainers do, until there are `total` results."""
    results = []

    def read_page():
        status, page = read(entry, lot_id, len(results))
        if status == 200:
            results.extend(page["results"])
            assert page["next"] == len(results)
        return page | {"results": results} if len(results) == total else None

    return wait_for(read_page, 15.0)


def check_results(deployed, page):
    engine = deployed.engines[0]
    assert len({result["id"] for result in page["results"]}) == page["total"]
    for result in page["results"]:
        assert result["state"] == "completed"
        assert result["output"] == engine.text(result["id"])
        assert result["versions"] == [1]


def test_every_entry_returns_all_results_of_a_lot(deployed):
    first = deployed.add_entry("n1")
    second = deployed.add_entry("n2")
    assert submit(first, "l1").status == 202
    page = read_all(first, "l1")
    check_results(deployed, page)
    assert read_all(second, "l1") == page
    assert read(second, "l1", 4)[1]["results"] == page["results"][4:]
    assert read(first, "l1", SAMPLES)[1]["next"] == SAMPLES


def test_a_lot_submitted_repeatedly_runs_once(deployed):
    first = deployed.add_entry("n1")
    second = deployed.add_entry("n2")
    assert [submit(entry, "l1").status for entry in (first, first, second)] == [202] * 3
    read_all(first, "l1")
    ran = deployed.engines[0].run_counts + deployed.engines[1].run_counts
    assert set(ran.values()) == {1}


def owners_of(deployed, lots):
    return {
        entry._settings.name
        for entry in deployed.entries
        for lot in lots
        if entry._lots._runner.owned(lot)
    }


def test_lots_of_a_trainer_go_to_one_entry_of_a_failure_domain(deployed):
    """Lots may arrive at any entry, and any entry returns their results."""
    for engine in deployed.engines:
        engine.faults.hang = True
    entries = [
        deployed.add_entry(name, failure_domain="z1") for name in ("n1", "n2", "n3")
    ]
    wait_for(lambda: all(len(entry._view.members()) == 3 for entry in entries))
    lots = [f"l{number}" for number in range(3)]
    for entry, lot in zip(entries, lots, strict=True):
        assert submit(entry, lot).status == 202
        assert submit(entry, lot).status == 202
    wait_for(lambda: owners_of(deployed, lots))
    assert len(owners_of(deployed, lots)) == 1
    for engine in deployed.engines:
        engine.release.set()
        engine.faults.hang = False
    for entry, lot in zip(entries, lots, strict=True):
        check_results(deployed, read_all(entry, lot))
    ran = sum((engine.run_counts for engine in deployed.engines), Counter())
    assert set(ran.values()) == {1}
    assert len(ran) == SAMPLES * len(lots)


@pytest.mark.parametrize("state", ["gone", "silent", "leaving"])
def test_a_lot_is_accepted_at_once_although_its_preferred_owner_is_not_available(
    deployed, state
):
    entries = [deployed.add_entry(name, failure_domain="z1") for name in ("n1", "n2")]
    wait_for(lambda: all(len(entry._view.members()) == 2 for entry in entries))
    assert submit(entries[0], "l0").status == 202
    (name,) = owners_of(deployed, ["l0"])
    owner, other = sorted(entries, key=lambda entry: entry._settings.name != name)
    if state == "gone":
        owner._servers["peer"].close(0.0)
    elif state == "leaving":
        owner._lots.leave()
    else:
        owner._lots.submit_locally = lambda lot: time.sleep(2.0)
        owner._lots._accept = lambda lot: time.sleep(2.0)
    began = time.monotonic()
    assert submit(other, "l1").status == 202
    assert time.monotonic() - began < 1.0
    assert owners_of(deployed, ["l1"]) == {other._settings.name}
    check_results(deployed, read_all(other, "l1"))


def test_results_are_read_at_their_owner_from_the_requested_position(deployed):
    """Open or ended: earlier results are not sent again, nor is the store read."""
    entries = [
        deployed.add_entry(name, failure_domain="z1") for name in ("n1", "n2", "n3")
    ]
    wait_for(lambda: all(len(entry._view.members()) == 3 for entry in entries))
    assert submit(entries[0], "l1").status == 202
    (name,) = owners_of(deployed, ["l1"])
    owner, other, third = sorted(
        entries, key=lambda entry: entry._settings.name != name
    )
    expected = read_all(owner, "l1")
    wait_for(lambda: other._lots.heads() and third._lots.heads())
    for entry in (other, third):
        entry._lots._repository.results = lambda *_: pytest.fail("the store was read")
    reads = []
    answer = owner._lots.read_locally
    read = other._lots._owners.read

    def record_read(address, lot, after, wait):
        found = read(address, lot, after, wait)
        reads.append((after, len(found.results)))
        return found

    other._lots._owners.read = record_read
    for after in (4, 0, 2, 6):
        assert results_after(other, "l1", after) == expected["results"][after:]
    assert reads == [(4, 2), (0, 6)]
    assert call(owner, "DELETE", "/lots/l1").status == 200
    wait_for(lambda: answer("l1", 0, 0.0) is not None)
    assert results_after(third, "l1", 1) == expected["results"][1:]


def test_a_lot_that_was_read_in_parts_at_its_owner_is_complete_after_its_end(
    deployed, monkeypatch
):
    """A part may end within a stored batch; the rest is then read from the store."""
    owner, reader = (deployed.add_entry(name) for name in ("n1", "n2"))
    for count in range(1, 8):
        lot = f"l{count}"
        assert submit(owner, lot, samples=8).status == 202
        expected = read_all(owner, lot, 8)["results"]
        wait_for(lambda lot=lot: lot in reader._lots.heads())
        size = sum(len(result["output"]) for result in expected[:count])
        monkeypatch.setattr(owner_calls, "ANSWER_BYTES", size)
        assert len(results_after(reader, lot, 0)) == count
        assert call(owner, "DELETE", f"/lots/{lot}").status == 200
        wait_for(lambda lot=lot: reader._lots.heads()[lot].state is LotState.ENDED)
        for after in (7, 3, 0):
            assert results_after(reader, lot, after) == expected[after:]


def results_after(entry, lot_id, after):
    answer = call(entry, "GET", f"/lots/{lot_id}?after={after}")
    return msgspec.json.decode(answer.body)["results"]


def test_a_lot_that_is_not_stored_is_refused_and_never_runs(deployed):
    entry = deployed.add_entry("n1")
    deployed.rows.faults.down = True
    answer = submit(entry, "l1")
    assert (answer.status, answer.retry_after > 0) == (503, True)
    deployed.rows.faults.down = False
    time.sleep(0.5)
    assert not deployed.engines[0].run_counts
    assert read(entry, "l1")[0] == 404


def test_a_lot_whose_write_is_in_doubt_is_not_refused(deployed):
    entry = deployed.add_entry("n1")
    deployed.rows.faults.lose_writes = 99
    deployed.rows.faults.apply_lost_writes = False
    assert submit(entry, "l1").status == 504


def test_unknown_lots_and_samples_get_404_only_if_the_store_answers(deployed):
    entry = deployed.add_entry("n1")
    submit(entry, "l1")
    assert read(entry, "l2")[0] == 404
    assert call(entry, "GET", "/items/l1?id=nothing").status == 404
    found = call(entry, "GET", "/items/l1?id=l1-3")
    assert (found.status, found.body) == (200, b"in3")
    assert call(entry, "DELETE", "/lots/l2").status == 404
    deployed.rows.faults.down = True
    assert read(entry, "l3")[0] == 503


def test_an_entry_learns_from_others_which_engines_are_fast(deployed):
    first = deployed.add_entry("n1")
    second = deployed.add_entry("n2")
    fast, slow = deployed.engines
    fast.events = slow.events = 20
    fast.faults.event_seconds, slow.faults.event_seconds = 0.01, 0.04
    submit(first, "l1")
    read_all(first, "l1")
    wait_for(lambda: len(second._table.engine_states()) == 2)
    # As many samples as the fast engine has slots.
    submit(second, "l2", samples=4)
    read_all(second, "l2", 4)
    assert sum(id.startswith("l2") for id in slow.run_counts) == 0


def test_an_ended_lot_starts_no_more_runs(deployed):
    first = deployed.add_entry("n1")
    second = deployed.add_entry("n2")
    for engine in deployed.engines:
        engine.faults.event_seconds = 0.3
    submit(first, "l1", samples=12)
    time.sleep(0.3)
    assert call(second, "DELETE", "/lots/l1").status == 200
    assert call(first, "DELETE", "/lots/l1").status == 200
    wait_for(lambda: all(not engine.running for engine in deployed.engines))
    before = sum(engine.run_counts.total() for engine in deployed.engines)
    time.sleep(0.6)
    assert sum(engine.run_counts.total() for engine in deployed.engines) == before


def test_a_broken_run_resumes_after_its_last_event(deployed):
    entry = deployed.add_entry("n1")
    for engine in deployed.engines:
        engine.faults.cut_after = 2
        engine.faults.cuts = 3
    submit(entry, "l1")
    check_results(deployed, read_all(entry, "l1"))


def test_every_entry_lists_a_sample_with_its_score(deployed):
    first, second = deployed.add_entry("n1"), deployed.add_entry("n2")
    assert submit(first, "l1", scored=True).status == 202
    page = read_all(first, "l1")
    check_results(deployed, page)
    assert read_all(second, "l1") == page
    for result in page["results"]:
        call = f"c-{result['id']}"
        assert deployed.plain.seals[call] == [result["score"]]
        assert deployed.plain.arrived[call][0] >= deployed.ended_at(result["id"])
        sent = ("POST", f"/plain/score%2F{result['id']}?q=1", b"score this")
        assert sent in deployed.plain.requests


def test_a_sample_whose_reward_call_always_fails_is_given_up(deployed):
    entry = deployed.add_entry("n1")
    deployed.plain.statuses["c-l1-2"] = 500
    submit(entry, "l1", scored=True)
    page = read_all(entry, "l1")
    states = {result["id"]: result["state"] for result in page["results"]}
    assert states.pop("l1-2") == "terminated"
    assert set(states.values()) == {"completed"}
    assert len(deployed.plain.arrived["c-l1-2"]) == 3


def test_the_loss_of_an_owner_between_text_and_score_repeats_no_generation(deployed):
    first, second = deployed.add_entry("n1"), deployed.add_entry("n2")
    deployed.plain.refuse = True
    submit(first, "l1", scored=True)
    wait_for(lambda: not any(engine.running for engine in deployed.engines))
    time.sleep(1.5)
    first._supervisor._signal_stop()
    first._runner.stop_lot("l1", "killed by the test")
    deployed.plain.refuse = False
    page = read_all(second, "l1")
    check_results(deployed, page)
    ran = deployed.engines[0].run_counts + deployed.engines[1].run_counts
    assert set(ran.values()) == {1}
    marks = {result["score"] for result in page["results"]}
    assert marks == {mark for marks in deployed.plain.seals.values() for mark in marks}


def test_an_ended_lot_makes_no_more_reward_calls(deployed):
    first, second = deployed.add_entry("n1"), deployed.add_entry("n2")
    deployed.plain.run_seconds = 0.4
    submit(first, "l1", samples=12, scored=True)
    wait_for(lambda: deployed.plain.arrived)
    assert call(second, "DELETE", "/lots/l1").status == 200
    assert call(first, "DELETE", "/lots/l1").status == 200
    time.sleep(0.2)
    before = len(deployed.plain.requests)
    time.sleep(0.8)
    assert len(deployed.plain.requests) == before


@pytest.mark.parametrize(
    "changes",
    [
        {"id": ""},
        {"id": 3},
        {"host": ""},
        {"path": "score"},
        {"path": ""},
        {"path": "/a b"},
        {"path": "/a\r\nX: y"},
        {"body": "%"},
        {"body": 3},
    ],
)
def test_a_lot_with_an_invalid_reward_call_is_refused_with_400(deployed, changes):
    entry = deployed.add_entry("n1")
    good = submission("l1", scored=True)
    items = msgspec.json.decode(good)
    items["items"][3]["scorer"] = scorer("l1-3", **changes)
    body = msgspec.json.encode(items)
    answer = call(entry, "POST", "/lots-in/x", body, Wigeonfront_Attempt_Id="l1")
    assert answer.status == 400
    assert read(entry, "l1")[0] == 404
    assert not deployed.engines[0].run_counts and not deployed.engines[1].run_counts


def test_runs_are_moved_as_soon_as_their_engine_has_restarted(deployed, monkeypatch):
    # Otherwise the silence of the engine alone would end the runs.
    monkeypatch.setattr(runner, "first_event_wait", lambda view, silent_runs: 10.0)
    entry = deployed.add_entry("n1")
    silent, other = deployed.engines
    deployment.register(
        deployed.rows, silent.id, ENGINES, silent.address, born=1_000_000
    )
    wait_for(lambda: entry._table.get(f"{silent.id}@1000000"))
    silent.faults.hang = other.faults.hang = True
    submit(entry, "l1")
    wait_for(lambda: silent.running)
    began = time.monotonic()
    silent.faults.hang = other.faults.hang = False
    deployment.register(
        deployed.rows, silent.id, ENGINES, silent.address, born=2_000_000
    )
    first = [id for id in silent.run_counts if id not in other.run_counts]
    wait_for(
        lambda: all((silent.run_counts + other.run_counts)[id] >= 2 for id in first)
    )
    assert time.monotonic() - began < 1.5
    for engine in (silent, other):
        engine.release.set()
    check_results(deployed, read_all(entry, "l1"))


def test_samples_leave_an_engine_that_sends_no_first_event_within_a_second(deployed):
    entry = deployed.add_entry("n1")
    deployed.engines[0].faults.hang = True
    started = time.monotonic()
    submit(entry, "l1", samples=4)
    check_results(deployed, read_all(entry, "l1", 4))
    # The samples waited for the engine at the same time, not one after another.
    assert time.monotonic() - started < 2.9
    deployed.engines[0].release.set()


def test_samples_leave_an_engine_that_falls_silent(deployed):
    entry = deployed.add_entry("n1")
    deployed.engines[0].faults.silent = True
    submit(entry, "l1")
    check_results(deployed, read_all(entry, "l1"))


@pytest.mark.parametrize("status", [422, 500])
def test_a_sample_that_always_fails_is_given_up(deployed, status):
    entry = deployed.add_entry("n1")
    for engine in deployed.engines:
        engine.faults.statuses["l1-2"] = status
    submit(entry, "l1")
    page = read_all(entry, "l1")
    states = {result["id"]: result["state"] for result in page["results"]}
    assert states.pop("l1-2") == "terminated"
    assert set(states.values()) == {"completed"}
    runs = sum(engine.run_counts["l1-2"] for engine in deployed.engines)
    assert runs == (1 if status == 422 else 3)


def test_no_sample_is_generated_with_too_old_weights(deployed):
    entry = deployed.add_entry("n1")
    deployed.engines[0].versions[MODEL] = 5
    submit(entry, "l1", minVersion=5)
    page = read_all(entry, "l1")
    assert all(result["versions"] == [5] for result in page["results"])


def test_an_entry_is_a_member_as_soon_as_it_is_registered(deployed):
    """After a restart, its own Lots need not wait until its mirror shows the row."""
    entry = deployed.make_entry("n1")
    seen = []
    entry._lots.owners_changed = lambda: seen.append(entry._view.members())
    assert entry._view.members() == []
    assert entry._registration._register()
    assert seen == [[entry._registration.member]]


def test_a_mirror_older_than_the_registration_does_not_report_it_missing(deployed):
    """After a restart the mirror may still show the last incarnation."""
    entry = deployed.make_entry("n1")
    registration, mirror = entry._registration, entry._view.live
    assert mirror._list()
    assert registration._register()
    entry._on_live(mirror)
    assert registration.registered
    assert mirror._list()
    assert registration.registered
    deployed.rows.remove("live/entry/n1")
    assert mirror._list()
    assert not registration.registered


def test_a_lost_owner_is_replaced(deployed):
    first = deployed.add_entry("n1")
    second = deployed.add_entry("n2")
    for engine in deployed.engines:
        engine.faults.event_seconds = 0.4
    submit(first, "l1")
    wait_for(lambda: first._runner.owned("l1"))
    first._supervisor._signal_stop()
    first._runner.stop_lot("l1", "killed by the test")
    for engine in deployed.engines:
        engine.faults.event_seconds = 0.002
    check_results(deployed, read_all(second, "l1"))


def test_text_generated_by_a_lost_owner_is_not_generated_again(deployed):
    first = deployed.add_entry("n1")
    second = deployed.add_entry("n2")
    for engine in deployed.engines:
        engine.events = 60
        engine.faults.event_seconds = 0.05
    submit(first, "l1", samples=2)
    wait_for(lambda: sum(engine.running for engine in deployed.engines) == 2)
    time.sleep(2.0)
    first._supervisor._signal_stop()
    first._runner.stop_lot("l1", "killed by the test")
    page = read_all(second, "l1", 2)
    check_results(deployed, page)
    began = deployed.engines[0].began_after | deployed.engines[1].began_after
    # 40 events were generated before the loss; those of the last second may be lost.
    assert all(after >= 8 for after in began.values())


def test_a_leaving_entry_hands_over_finished_results(deployed):
    first = deployed.add_entry("n1")
    second = deployed.add_entry("n2")
    # Half of the Lot finishes at once, and the rest within the time of the stop.
    for engine, seconds in zip(deployed.engines, (0.02, 0.5), strict=True):
        engine.faults.event_seconds = seconds
    stopping = threading.Thread(target=first.stop)
    submit(first, "l1")
    wait_for(lambda: first._runner.owned("l1").unwritten)
    deployed.rows.faults.down = True
    stopping.start()
    # By now the entry has tried once to hand over.
    time.sleep(3.4)
    deployed.rows.faults.down = False
    stopping.join(8.0)
    check_results(deployed, read_all(second, "l1"))
    ran = deployed.engines[0].run_counts + deployed.engines[1].run_counts
    assert set(ran.values()) == {1}


def test_a_leaving_entry_hands_over_and_closes_within_its_stop_time(deployed):
    first = deployed.add_entry("n1")
    second = deployed.add_entry("n2")
    for engine in deployed.engines:
        engine.faults.event_seconds = 1.2
    submit(first, "l1")
    time.sleep(0.2)
    stopping = threading.Thread(target=first.stop)
    started = time.monotonic()
    stopping.start()
    wait_for(lambda: not first.ready)
    stopping.join(8.0)
    assert time.monotonic() - started < 6.0
    for engine in deployed.engines:
        engine.faults.event_seconds = 0.002
    check_results(deployed, read_all(second, "l1"))


def test_a_lot_that_a_leaving_entry_accepts_runs_elsewhere(deployed):
    first = deployed.add_entry("n1")
    second = deployed.add_entry("n2")
    stopping = threading.Thread(target=first.stop)
    stopping.start()
    wait_for(lambda: not first.ready)
    lots = [f"l{number}" for number in range(4)]
    assert [submit(first, lot).status for lot in lots] == [202] * 4
    # The leaving entry is not a candidate, whichever entry the hash would prefer.
    wait_for(lambda: all(map(second._runner.owned, lots)), 2.0)
    check_results(deployed, read_all(second, "l1"))
    stopping.join(8.0)


def test_an_entry_that_can_not_reach_the_store_uses_another_as_relay(deployed):
    first = deployed.add_entry("n1")
    seeds = (first._settings.peer_address,)
    cut_off = deployed.add_entry("n2", seeds, store=free_address())
    assert submit(cut_off, "l1").status == 202
    check_results(deployed, read_all(cut_off, "l1"))
    deployed.rows.put("op/config", deployment.configuration(2, prefix="/moved/"))
    wait_for(
        lambda: (
            call(cut_off, "POST", "/moved/x", b"in", Wigeonfront_Attempt_Id="a").status
            == 200
        ),
        3.0,
    )


def test_plain_requests_unknown_routes_and_too_large_bodies(deployed):
    entry = deployed.add_entry("n1")
    sent = {"Wigeonfront_Attempt_Id": "a1", "Wigeonfront_Deadline_Ms": "1000"}
    answer = call(entry, "POST", "/plain/x%20y?q=1", b"in", **sent)
    assert (answer.status, answer.body) == (200, b"in")
    assert deployed.plain.requests == [("POST", "/plain/x%20y?q=1", b"in")]
    assert call(entry, "GET", "/nowhere/").status == 404
    assert call(entry, "POST", "/plain/x", b"x" * 100_001, **sent).status == 413


def test_a_configuration_change_is_in_force_in_time_and_is_never_reverted(deployed):
    entry = deployed.add_entry("n1")
    deployed.rows.put("op/config", deployment.configuration(5, prefix="/new/"))
    wait_for(lambda: entry._configuration.current.version == 5, 2.0)
    deployed.rows.put("op/config", deployment.configuration(4))
    time.sleep(0.4)
    assert entry._configuration.current.version == 5


def test_a_draining_target_gets_no_new_work(deployed):
    entry = deployed.add_entry("n1")
    plain = deployed.plain
    deployment.register(deployed.rows, plain.id, PLAIN, plain.address, "draining")

    def refused():
        answer = call(entry, "POST", "/plain/x", b"in", Wigeonfront_Attempt_Id="a")
        return answer.status == 503

    wait_for(refused, 2.0)
    seen = len(plain.requests)
    call(entry, "POST", "/plain/x", b"in", Wigeonfront_Attempt_Id="b")
    assert len(plain.requests) == seen


def test_a_stream_is_resumed_within_one_answer(deployed):
    entry = deployed.add_entry("n1")
    for engine in deployed.engines:
        engine.faults.cut_after = 2
        engine.faults.cuts = 1
    answer = call(entry, "POST", "/stream/x", b"in", Wigeonfront_Attempt_Id="s1")
    expected = "".join(
        f"id: {n}\ndata: s1:{n}\n\n" for n in range(1, deployed.engines[0].events + 1)
    )
    assert (answer.status, answer.body.decode()) == (200, expected)


@pytest.mark.parametrize(
    "body",
    [
        b"",
        b"{",
        b"[]",
        b'{"items": 3}',
        b'{"items":[{"id":"a","path":"/","body":"%"}]}',
    ],
)
def test_a_malformed_lot_is_refused_with_400(deployed, body):
    entry = deployed.add_entry("n1")
    answer = call(entry, "POST", "/lots-in/x", body, Wigeonfront_Attempt_Id="l1")
    assert answer.status == 400
    duplicate = submission("l1").replace(b"l1-1", b"l1-0")
    answer = call(entry, "POST", "/lots-in/x", duplicate, Wigeonfront_Attempt_Id="l1")
    assert answer.status == 400
    assert read(entry, "l1")[0] == 404
