"""What an entry says of calls in progress, and of calls refused early."""

from types import SimpleNamespace

import msgspec
import pytest

from fakes import wsgi_call
from wigeonfront.catalogue import CatalogueEntry
from wigeonfront.clock import ManualClock
from wigeonfront.entry.progress import ProgressTable
from wigeonfront.entry.server import EntryServer
from wigeonfront.http import Application
from wigeonfront.metrics import Registry
from wigeonfront.outcomes import NotRun

LOT = {
    "trainer": "t/1",
    "lot": "é",
    "submission": 3,
    "service": "judge-llm",
    "catalogue_entry": "scoring",
    "version": 1,
    "samples": [{"sample": "a"}, {"sample": "b"}],
}
REQUEST = {"catalogue_entry": "scoring"}
REQUEST_PATH = "/v1/services/judge-llm/requests"
KEYS_PATH = "/v1/services/judge-llm/keys"
# As the HTTP server hands it on: decoded but for the slash.
LOT_PATH = "/v1/lots/t%2F1/é".encode().decode("latin-1")
ROW = CatalogueEntry(owner="farm", work_class="rollout", services=["judge-llm"])


class Entry:
    """The handlers of an entry, without what is behind them."""

    def __init__(self, starting="", max_callers=1):
        self.clock = ManualClock()
        self.seen = []
        admission = SimpleNamespace(admit=self.refuse)
        membership = SimpleNamespace(refusal=lambda work_class: None)
        control = SimpleNamespace(
            starting=starting, catalogue={"scoring": ROW}, membership=membership
        )
        parts = SimpleNamespace(
            identity=SimpleNamespace(name="entry-1"),
            clock=self.clock,
            max_callers=max_callers,
            control=control,
            admission=admission,
            metrics=Registry(),
            announcements=SimpleNamespace(announce=lambda *announced: None),
        )
        self.application = Application()
        self.server = EntryServer(parts)
        self.server.caller_routes(self.application)

    def refuse(self, *arguments):
        """See how the call stands while it is in progress."""
        self.seen = [self.lot_progress(), self.request_progress()]
        return NotRun("limit", 2.0)

    def call(self, method, path, body=None, **environ):
        status, headers, chunks = wsgi_call(
            self.application, method, path, body, **environ
        )
        return status, headers, msgspec.json.decode(chunks[0])

    def lot_progress(self, query="submission=3"):
        found = self.call("GET", LOT_PATH, QUERY_STRING=query)[2]
        return found["status"], found.get("missing", 0)

    def request_progress(self):
        return self.call("GET", "/v1/requests/r1")[2]["status"]


@pytest.mark.parametrize(
    ("options", "leaving", "reason"),
    [
        ({"starting": "no_catalogue"}, False, "no_catalogue"),
        ({"max_callers": 0}, False, "entry_full"),
        ({}, True, "leaving"),
        ({}, False, "limit"),
    ],
)
def test_refused_lot_has_the_shape_of_a_lot_reply(options, leaving, reason):
    entry = Entry(**options)
    if leaving:
        entry.server.leave()
    status, headers, body = entry.call("POST", "/v1/lots", LOT)
    assert status == 503 and int(headers["Retry-After"]) >= 1
    assert body.pop("retry_after") > 0
    named = {name: LOT[name] for name in ("trainer", "lot", "submission")}
    assert body == named | {"status": "not_run", "missing": 2, "reason": reason}


@pytest.mark.parametrize("path", [REQUEST_PATH, KEYS_PATH])
def test_call_before_the_catalogue_is_loaded_was_not_run(path):
    entry = Entry(starting="no_catalogue")
    status, headers, body = entry.call("POST", path, REQUEST, HTTP_X_REQUEST_ID="r1")
    assert (status, body["outcome"]["kind"]) == (503, "not_run")
    assert headers["Retry-After"] == "1"


def test_calls_are_in_progress_until_answered():
    entry = Entry()
    unknown = [("unknown", 0), "unknown"]
    assert [entry.lot_progress(), entry.request_progress()] == unknown
    entry.call("POST", "/v1/lots", LOT)
    assert entry.seen == [("in_progress", 2), "unknown"]
    entry.call("POST", REQUEST_PATH, REQUEST, HTTP_X_REQUEST_ID="r1")
    assert entry.seen == [("answered", 2), "in_progress"]
    assert entry.request_progress() == "answered"


@pytest.mark.parametrize(
    ("query", "status"),
    [
        ("", "unknown"),
        ("submission=3", "answered"),
        ("submission=2", "unknown"),
        ("submission=4", "unknown"),
        ("submission=x", None),
    ],
)
def test_submission_asked_for(query, status):
    entry = Entry()
    entry.call("POST", "/v1/lots", LOT)
    code, _, body = entry.call("GET", LOT_PATH, QUERY_STRING=query)
    assert (code, body.get("status")) == (200 if status else 422, status)


def test_table_is_bounded_and_counts():
    clock = ManualClock()
    table = ProgressTable("entry-1", clock, kept=2)
    for key in "abc":
        with table.call(key, missing=3) as call:
            call.tell(1)
            clock.advance(2.0)
            reply = table.reply(key)
            assert (reply.finished, reply.missing, reply.seconds) == (2, 1, 2.0)
    assert [table.reply(key).status for key in "abc"] == ["unknown", *["answered"] * 2]
    assert table.reply("b").seconds == 2.0


def test_later_call_takes_the_place_of_an_earlier_one_with_its_key():
    table = ProgressTable("entry-1", ManualClock())
    with table.call("lot"):
        with table.call("lot", missing=2):
            pass
        assert table.reply("lot").missing == 2
    assert table.reply("lot").missing == 2
