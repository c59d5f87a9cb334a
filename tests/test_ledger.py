"""The attempt ledger: tables of single cases, and a state machine over a model."""

import threading
from random import Random

import msgspec
import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, precondition, rule

from wigeonfront.clock import ManualClock
from wigeonfront.coordination.keyed_work import (
    EARLIER_MAY_HAVE_RUN,
    KeyedWork,
    SlotKeys,
    StillRunning,
)
from wigeonfront.coordination.ledger import (
    Admitted,
    AttemptLedger,
    Dispatched,
    Duplicate,
    Joined,
    Refused,
    Replayed,
    SessionOpened,
)
from wigeonfront.coordination.ownership import LostRecords
from wigeonfront.coordination.sessions import Ended, StaleSession
from wigeonfront.messages import Attempt, Dispatch, Fate, OpenSession
from wigeonfront.outcomes import (
    Completed,
    Expired,
    Failed,
    NotRun,
    Unknown,
    VersionSpan,
)

RETENTION = 100.0
OWNED, LOST, FOREIGN = 1, 2, 3


def slot_of(key):
    return {"o": OWNED, "l": LOST}.get(key[0], FOREIGN)


def minted_epoch(key):
    return int(key[-1]) if key[-1].isdigit() else None


class Peer:
    """An entry as the side meets it."""

    def __init__(self, ledger, entry="e", incarnation="i"):
        self.ledger, self.entry, self.incarnation = ledger, entry, incarnation
        self.session, self.cursor, self.side = 0, 0, ""

    def open(self, outstanding=(), **changes):
        self.session += 1
        fields = {
            "entry": self.entry,
            "entry_incarnation": self.incarnation,
            "session": self.session,
            "cursor": self.cursor,
            "outstanding": list(outstanding),
            "side_incarnation": self.side,
        }
        opened = self.ledger.open(OpenSession(**(fields | changes)))
        if isinstance(opened, SessionOpened):
            self.side = "s"
        return opened

    def header(self, **changes):
        fields = {
            "entry": self.entry,
            "entry_incarnation": self.incarnation,
            "session": self.session,
            "side_incarnation": "s",
        }
        return Dispatch(**(fields | changes))

    def admit(self, name, **fields):
        attempt = Attempt(attempt=name, request=name, **fields)
        return self.ledger.admit(self.header(), attempt)

    def outcomes(self, after=0):
        found = self.ledger.results(self.entry, self.incarnation, self.session, after)
        return {one.attempt: one.outcome for one in found}


@pytest.fixture
def clock():
    return ManualClock()


@pytest.fixture
def ledger(clock):
    return AttemptLedger("s", clock, max_records=6, entry_retention=50.0)


@pytest.fixture
def peer(ledger):
    peer = Peer(ledger)
    peer.open()
    return peer


def completed(payload="answer", version=5):
    return Completed(payload, (VersionSpan(version, 0, 1),), "t")


@pytest.mark.parametrize(
    "stale",
    [
        {"session": 0},
        {"session": 2},
        {"entry": "other"},
        {"entry_incarnation": "other"},
        {"side_incarnation": "other"},
    ],
)
def test_only_the_newest_session_is_heard(ledger, peer, stale):
    message = peer.header(attempts=[Attempt(attempt="a", request="r")], **stale)
    assert isinstance(ledger.dispatch(message), StaleSession)
    assert len(ledger) == 0


def test_fates_after_a_new_session(ledger, peer):
    for name in ("done", "begun", "queued", "read"):
        peer.admit(name, idempotent=False)
    for name in ("read", "done"):
        ledger.start(name)
        ledger.finish(name, completed())
    ledger.start("begun")
    peer.cursor = 1
    old = peer.header(attempts=[Attempt(attempt="late", request="r")])
    opened = peer.open(["done", "begun", "queued", "late"])
    states = {fate.attempt: fate.state for fate in opened.fates}
    assert states == {
        "done": "done",
        "begun": "running",
        "queued": "running",
        "late": "never_seen",
    }
    assert ledger.dispatch(old) == StaleSession(2)
    assert peer.outcomes(peer.cursor) == {"done": completed()}
    assert ledger.unacknowledged == 1


def test_an_attempt_of_another_entry_is_never_seen(ledger, peer):
    peer.admit("a")
    other = Peer(ledger, "other")
    assert other.open(["a"]).fates == (Fate(attempt="a", state="never_seen"),)
    assert other.admit("a") == Refused(NotRun("attempt_identifier_taken"))


def test_a_new_incarnation_ends_the_earlier_one(ledger, peer):
    peer.admit("idempotent")
    peer.admit("begun")
    peer.admit("once", idempotent=False)
    peer.admit("booking", idempotent=False)
    peer.admit("keyed", key="k")
    ledger.start("begun")
    ledger.start("booking")
    again = Peer(ledger, incarnation="j")
    opened = again.open(["begun"])
    assert opened.fates == (Fate(attempt="begun", state="never_seen"),)
    assert sorted(opened.stop) == ["begun", "idempotent", "once"]
    assert [ledger.start(name) for name in ("idempotent", "once", "keyed")] == [
        False,
        False,
        True,
    ]
    ledger.finish("booking", completed())
    ledger.finish("keyed", completed())
    assert again.outcomes() == {}
    assert again.admit("again", key="k") == Replayed()
    assert peer.open() == Ended(replaced=True)
    assert peer.open(side_incarnation="") == Ended(replaced=True)


def test_a_forgotten_entry_learns_that_its_records_are_gone(ledger, peer, clock):
    peer.admit("a", idempotent=False)
    ledger.start("a")
    clock.advance(51.0)
    ledger.expire()
    assert peer.open(["a"]) == Ended(replaced=False)
    assert isinstance(peer.open(side_incarnation=""), SessionOpened)
    ledger.acknowledge("e", "i", 7)
    ledger.finish("a", completed())
    assert (peer.outcomes(), len(ledger)) == ({}, 0)


def test_same_key_joins_and_replays(ledger, peer):
    assert isinstance(peer.admit("a", key="k", payload="p"), Admitted)
    assert peer.admit("b", key="k", payload="p") == Joined("a")
    other = Refused(NotRun("key_used_for_another_request"))
    assert peer.admit("c", key="k", payload="other") == other
    assert peer.admit("a", key="k", payload="p") == Duplicate()
    ledger.start("a")
    assert ledger.start("a") is False
    ledger.finish("a", completed())
    assert peer.admit("d", key="k", payload="p") == Replayed()
    assert peer.admit("e", key="k", payload="other") == other
    assert peer.outcomes() == dict.fromkeys("abd", completed())


@pytest.mark.parametrize(
    ("idempotent", "outcome", "replayed"),
    [
        (True, completed(), True),
        (True, Failed("broken"), False),
        (True, NotRun("refused"), False),
        (True, Expired(started=True), False),
        (True, Unknown("cut"), False),
        (False, completed(), True),
        (False, Failed("broken"), True),
        (False, Unknown("cut"), True),
        (False, Expired(started=True), True),
        (False, Expired(started=False), False),
        (False, NotRun("refused"), False),
    ],
)
def test_which_outcomes_are_kept(ledger, peer, clock, idempotent, outcome, replayed):
    peer.admit("a", key="k", idempotent=idempotent)
    ledger.start("a")
    ledger.finish("a", outcome)
    again = peer.admit("b", key="k", idempotent=idempotent)
    assert isinstance(again, Replayed if replayed else Admitted)
    if replayed:
        assert peer.outcomes()["b"] == outcome


def test_too_old_a_sample_is_run_again(ledger, peer):
    peer.admit("a", key="k", min_version=4)
    peer.admit("b", key="k", min_version=6)
    peer.admit("c", key="k", min_version=7)
    ledger.start("a")
    (again,) = ledger.finish("a", completed(version=5))
    assert again.attempt.attempt == "b"
    assert peer.outcomes() == {"a": completed(version=5)}
    assert peer.admit("d", key="k", min_version=4) == Joined("b")
    assert ledger.start("b")
    assert ledger.finish("b", completed(version=7)) == ()
    assert isinstance(peer.admit("e", key="k", min_version=8), Admitted)
    ledger.start("e")
    ledger.finish("e", completed(version=7))
    assert peer.outcomes()["e"] == Failed("stale_weights", 409)


def test_a_shorter_deadline_does_not_end_a_waiter(ledger, peer, clock):
    peer.admit("short", key="k", remaining=1.0)
    peer.admit("long", key="k", remaining=9.0)
    clock.advance(1.0)
    assert ledger.expire() == ()
    assert peer.outcomes() == {"short": Expired(started=False)}
    assert ledger.start("short")
    (again,) = ledger.finish("short", Expired(started=True))
    assert again.attempt.attempt == "long"
    clock.advance(8.0)
    assert ledger.expire() == ("long",)
    assert peer.outcomes()["long"] == Expired(started=False)


def test_a_non_idempotent_run_that_began_is_not_made_again(ledger, peer, clock):
    peer.admit("short", key="k", idempotent=False, remaining=1.0)
    peer.admit("long", key="k", idempotent=False, remaining=9.0)
    ledger.start("short")
    clock.advance(1.0)
    assert ledger.expire() == ()
    assert ledger.finish("short", Expired(started=True)) == ()
    assert peer.outcomes() == dict.fromkeys(("short", "long"), Expired(started=True))


def test_a_cursor_of_another_incarnation_of_the_side_is_ignored(ledger, peer):
    peer.admit("a")
    ledger.start("a")
    ledger.finish("a", completed())
    peer.open(cursor=1, side_incarnation="before")
    assert peer.outcomes() == {"a": completed()}


@pytest.mark.parametrize(
    ("idempotent", "begun", "stopped", "outcome"),
    [
        (True, False, ("a",), NotRun("cancelled")),
        (True, True, ("a",), Unknown("cancelled")),
        (False, False, ("a",), NotRun("cancelled")),
        (False, True, (), completed()),
    ],
)
def test_cancel(ledger, peer, idempotent, begun, stopped, outcome):
    peer.admit("a", idempotent=idempotent)
    if begun:
        ledger.start("a")
    assert ledger.cancel("e", "other", "a") == ()
    assert ledger.dispatch(peer.header(cancel=["a"])) == Dispatched((), stopped)
    assert ledger.cancel("e", "i", "a") == ()
    assert ledger.start("a") is False
    ledger.finish("a", completed())
    assert peer.outcomes() == {"a": outcome}


def test_cancel_leaves_a_run_that_others_wait_for(ledger, peer):
    peer.admit("a", key="k")
    peer.admit("b", key="k")
    assert ledger.cancel("e", "i", "a") == ()
    assert ledger.start("a")
    assert ledger.cancel("e", "i", "b") == ("a",)
    assert isinstance(peer.admit("c", key="k"), Admitted)


def test_a_full_ledger_refuses_and_keeps_what_must_not_run_again(ledger, peer, clock):
    for name in ("once", "sample"):
        peer.admit(name, key=name, idempotent=name == "sample")
        ledger.start(name)
        ledger.finish(name, completed())
    ledger.acknowledge("e", "i", 2)
    for number in range(5):
        assert isinstance(peer.admit(f"a{number}"), Admitted)
    assert peer.admit("b") == Refused(NotRun("ledger_full", 5.0))
    assert peer.admit("c", key="once", idempotent=False) == Refused(
        NotRun("ledger_full", 5.0)
    )
    ledger.cancel("e", "i", "a0")
    ledger.acknowledge("e", "i", 3)
    assert peer.admit("d", key="once", idempotent=False) == Replayed()


def test_stop_of_admission_and_the_admission_hook(clock):
    ledger = AttemptLedger(
        "s", clock, admission=lambda one: NotRun("busy") if one.prefix else None
    )
    peer = Peer(ledger)
    peer.open()
    assert peer.admit("a", prefix="p") == Refused(NotRun("busy"))
    assert isinstance(peer.admit("b", key="k"), Admitted)
    ledger.stop_admission("leaving", 2.0)
    assert peer.admit("c") == Refused(NotRun("leaving", 2.0))
    assert peer.admit("d", key="k") == Joined("b")
    assert peer.admit("e", remaining=-1.0) == Refused(Expired(started=False))
    assert (ledger.queued, ledger.running) == (1, 0)


@pytest.mark.parametrize(
    ("key", "epoch", "at", "expected"),
    [
        ("o", 4, 0.0, None),
        ("o", 3, 0.0, NotRun("not_owner", 0.5, EARLIER_MAY_HAVE_RUN)),
        ("x", 4, 0.0, NotRun("not_owner", 0.5, EARLIER_MAY_HAVE_RUN)),
        ("o5", 4, 0.0, NotRun("not_owner", 0.5, EARLIER_MAY_HAVE_RUN)),
        ("o", 0, 0.0, NotRun("not_owner", 0.5, EARLIER_MAY_HAVE_RUN)),
        ("l", 6, 10.0, NotRun("key_records_lost", 20.0, EARLIER_MAY_HAVE_RUN, 6)),
        ("l5", 6, 10.0, NotRun("key_records_lost", 20.0, EARLIER_MAY_HAVE_RUN, 6)),
        ("l6", 6, 10.0, None),
        ("l", 6, 30.0, None),
    ],
)
def test_ownership_of_keys(clock, key, epoch, at, expected):
    keys = KeyedWork(RETENTION, slot_of, minted_epoch)
    ledger = AttemptLedger("s", clock, keys=keys)
    ledger.own(OWNED, 4)
    ledger.own(LOST, 6, LostRecords(before=6, remaining=30.0))
    peer = Peer(ledger)
    peer.open()
    clock.advance(at)
    admission = peer.admit("a", key=key, epoch=epoch, idempotent=False)
    if expected is None:
        assert isinstance(admission, Admitted)
    else:
        assert admission == Refused(expected)


def test_a_key_may_not_run_longer_than_a_lost_owner_is_waited_for(clock):
    keys = KeyedWork(RETENTION, slot_of, longest_run=60.0)
    ledger = AttemptLedger("s", clock, keys=keys)
    ledger.own(OWNED, 1)
    peer = Peer(ledger)
    peer.open()
    long = peer.admit("a", key="o", epoch=1, idempotent=False, remaining=61.0)
    assert long == Refused(NotRun("timeout_too_long", 0.0))
    assert isinstance(peer.admit("b", key="o", epoch=1, idempotent=False), Admitted)


@pytest.mark.parametrize(("unsent_at", "admitted"), [(0, False), (5, False), (6, True)])
def test_key_never_sent_before_a_loss_runs(clock, unsent_at, admitted):
    ledger = AttemptLedger("s", clock, keys=KeyedWork(RETENTION, slot_of))
    ledger.own(LOST, 6, LostRecords(before=6, remaining=30.0))
    peer = Peer(ledger)
    peer.open()
    fields = {"key": "l", "epoch": 6, "idempotent": False, "unsent_at": unsent_at}
    assert isinstance(peer.admit("a", **fields), Admitted) == admitted


def test_hand_over_of_keys(clock):
    keys = [KeyedWork(RETENTION, slot_of, minted_epoch) for _ in range(2)]
    old, new = (AttemptLedger("s", clock, keys=one) for one in keys)
    old.own(OWNED, 1, LostRecords(before=1, remaining=RETENTION))
    peer = Peer(old)
    peer.open()
    for name in ("o1", "ob1"):
        peer.admit(name, key=name, epoch=1, idempotent=False)
        old.start(name)
    peer.admit("o3", key="o3")
    old.finish("o1", Unknown("cut"))
    old.seal(OWNED)
    refused = peer.admit("o4", key="o1", epoch=1, idempotent=False)
    assert refused.outcome.reason == "not_owner"
    assert old.export(OWNED) == StillRunning(1)
    old.finish("ob1", completed())
    clock.advance(RETENTION / 2)
    handed = msgspec.json.encode(old.export(OWNED))
    new.adopt(OWNED, 2, msgspec.json.decode(handed, type=SlotKeys))
    peer = Peer(new)
    peer.open()
    lost = peer.admit("c", key="o", epoch=2, idempotent=False)
    assert lost.outcome.reason == "key_records_lost"
    for name in ("o1", "ob1"):
        again = peer.admit(name, key=name, epoch=2, idempotent=False)
        assert again == Replayed()
    assert peer.outcomes() == {"o1": Unknown("cut"), "ob1": completed()}
    clock.advance(RETENTION / 2)
    new.expire()
    assert isinstance(peer.admit("b", key="o1", epoch=2, idempotent=False), Admitted)


def test_wait_ends_with_a_result_or_a_newer_session(ledger, peer):
    found = []

    def stream(session):
        found.append(ledger.wait("e", "i", session, 0, 30.0))

    threads = [threading.Thread(target=stream, args=(1,)) for _ in range(2)]
    peer.admit("a")
    threads[0].start()
    ledger.finish("a", completed())
    threads[0].join()
    ledger.acknowledge("e", "i", 7)
    assert peer.outcomes(after=0) == {"a": completed()}
    assert peer.outcomes(after=1) == {}
    ledger.acknowledge("e", "i", 1)
    threads[1].start()
    peer.open()
    threads[1].join()
    assert found[0][0].outcome == completed()
    assert found[1] == StaleSession(2)
    assert ledger.wait("e", "i", 2, 1, 0.0) == ()


NAMES = ("e1", "e2")
KEY_NAMES = ("", "", "ks", "kt", "kb", "kc")
KEYS = st.sampled_from(KEY_NAMES)
VERSIONS = st.integers(0, 3)
PLACES = st.integers(0, 19)


class LedgerMachine(RuleBasedStateMachine):
    """Entries, a network that delays and repeats, and a runner, as a model."""

    def __init__(self):
        super().__init__()
        self.clock = ManualClock()
        keys = KeyedWork(RETENTION)
        self.ledger = AttemptLedger(
            "s", self.clock, keys=keys, max_records=12, entry_retention=1e6
        )
        self.peers = {name: Peer(self.ledger, name, "0") for name in NAMES}
        self.network = []
        self.taken = {}
        self.ever_taken = set()
        self.not_run = set()
        self.begun = {}
        self.open_runs = set()
        self.reported = set()
        self.key_ends = {}
        self.seen = {}
        self.counter = 0
        for peer in self.peers.values():
            peer.open()

    def outstanding(self, peer):
        mine = (peer.entry, peer.incarnation)
        return [name for name, one in self.taken.items() if one[0] == mine]

    @rule(name=st.sampled_from(NAMES), key=KEYS, version=VERSIONS, left=VERSIONS)
    def send(self, name, key, version, left):
        self.counter += 1
        attempt = Attempt(
            attempt=f"a{self.counter}",
            request="r",
            payload=key or f"a{self.counter}",
            key=key,
            idempotent=key in ("ks", "kt") or (not key and self.counter % 2 == 0),
            min_version=version,
            remaining=1.0 + 5 * left,
        )
        self.network.append((self.peers[name].header(), attempt))

    @precondition(lambda self: self.network)
    @rule(at=PLACES, repeat=st.booleans())
    def deliver(self, at, repeat):
        at %= len(self.network)
        header, attempt = self.network[at]
        if not repeat:
            del self.network[at]
        if attempt.attempt in self.seen:
            return
        peer = self.peers[header.entry]
        current = (peer.incarnation, peer.session)
        admission = self.ledger.admit(header, attempt)
        if (header.entry_incarnation, header.session) != current:
            assert isinstance(admission, StaleSession)
        elif attempt.attempt in self.taken:
            assert admission == Duplicate()
        elif not isinstance(admission, Refused):
            self.taken[attempt.attempt] = ((peer.entry, peer.incarnation), attempt)
            self.ever_taken.add(attempt.attempt)
        if attempt.attempt not in self.ever_taken:
            self.not_run.add(attempt.attempt)

    @rule(name=st.sampled_from(NAMES), restart=st.booleans())
    def reopen(self, name, restart):
        peer = self.peers[name]
        if restart:
            peer.incarnation = str(int(peer.incarnation) + 1)
            peer.session, peer.cursor, peer.side = 0, 0, ""
        listed = self.outstanding(peer)
        sent = [
            one.attempt
            for header, one in self.network
            if header.entry == name and header.entry_incarnation == peer.incarnation
        ]
        opened = peer.open(listed + [one for one in sent if one not in listed])
        for fate in opened.fates:
            if fate.attempt not in listed:
                assert fate.state == "never_seen"
                self.not_run.add(fate.attempt)
            else:
                done = fate.attempt in peer.outcomes()
                assert fate.state == ("done" if done else "running")

    @precondition(lambda self: self.taken)
    @rule(at=PLACES)
    def start(self, at):
        run = list(self.taken)[at % len(self.taken)]
        if self.ledger.start(run):
            self.begin(run)

    def begin(self, run):
        attempt = self.taken[run][1]
        assert run not in self.begun
        assert run not in self.not_run
        if attempt.key and not attempt.idempotent:
            ended = self.key_ends.get(attempt.key, -RETENTION)
            assert ended is not None
            assert self.clock.monotonic() >= ended + RETENTION
            self.key_ends[attempt.key] = None
        self.begun[run] = attempt
        self.open_runs.add(run)

    @precondition(lambda self: self.open_runs)
    @rule(at=PLACES, kind=st.integers(0, 5), version=VERSIONS)
    def finish(self, at, kind, version):
        run = sorted(self.open_runs)[at % len(self.open_runs)]
        attempt = self.begun[run]
        outcome = (
            completed(attempt.payload, version),
            completed(attempt.payload, version),
            Failed("broken"),
            Unknown("cut"),
            NotRun("no connection"),
            Expired(started=kind % 2 == 1),
        )[kind]
        self.open_runs.discard(run)
        self.reported.add(run)
        if attempt.key and not attempt.idempotent:
            ran = kind != 4
            ended = self.clock.monotonic()
            self.key_ends[attempt.key] = ended if ran else -RETENTION
        for again in self.ledger.finish(run, outcome):
            assert again.attempt.key == attempt.key

    @rule(name=st.sampled_from(NAMES), at=PLACES)
    def cancel(self, name, at):
        peer = self.peers[name]
        mine = self.outstanding(peer)
        if mine:
            one = mine[at % len(mine)]
            self.stopped(self.ledger.cancel(name, peer.incarnation, one))

    @rule(seconds=st.sampled_from((0.5, 3.0, 8.0, 60.0)))
    def advance(self, seconds):
        self.clock.advance(seconds)
        self.stopped(self.ledger.expire())

    def stopped(self, runs):
        for run in runs:
            begun = self.begun.get(run)
            assert begun is None or begun.idempotent

    @rule(
        name=st.sampled_from(NAMES), upto=st.integers(0, 9), acknowledge=st.booleans()
    )
    def read(self, name, upto, acknowledge):
        peer = self.peers[name]
        found = self.ledger.results(name, peer.incarnation, peer.session, peer.cursor)
        for number, one in enumerate(found[:upto], peer.cursor + 1):
            assert one.sequence == number
            self.check_result(peer, one)
            if acknowledge:
                peer.cursor = number
                del self.taken[one.attempt]
        self.ledger.acknowledge(name, peer.incarnation, peer.cursor)

    def check_result(self, peer, one):
        owner, attempt = self.taken[one.attempt]
        assert owner == (peer.entry, peer.incarnation)
        assert self.seen.setdefault(one.attempt, one.outcome) == one.outcome
        if isinstance(one.outcome, Completed):
            assert one.outcome.payload == attempt.payload
            assert one.outcome.versions[0].version >= attempt.min_version
        certain = one.outcome in (NotRun("cancelled"), Expired(started=False))
        if certain and not attempt.key and one.attempt not in self.reported:
            assert one.attempt not in self.begun
            self.not_run.add(one.attempt)

    def teardown(self):
        """Every attempt taken from a live incarnation ends in a result."""
        self.clock.advance(1000.0)
        for peer in self.peers.values():
            peer.open()
        self.ledger.expire()
        for run in list(self.open_runs):
            again = self.ledger.finish(run, Unknown("cut"))
            assert again == ()
        for peer in self.peers.values():
            lost = set(self.outstanding(peer)) - set(peer.outcomes())
            assert not lost


LedgerMachine.TestCase.settings = settings(
    derandomize=True, deadline=None, max_examples=150, stateful_step_count=50
)
TestLedgerMachine = LedgerMachine.TestCase

STEPS = {
    "send": lambda r: (
        r.choice(NAMES),
        r.choice(KEY_NAMES),
        r.randrange(4),
        r.randrange(4),
    ),
    "deliver": lambda r: (r.randrange(20), r.random() < 0.2),
    "reopen": lambda r: (r.choice(NAMES), r.random() < 0.4),
    "start": lambda r: (r.randrange(20),),
    "finish": lambda r: (r.randrange(20), r.randrange(6), r.randrange(4)),
    "cancel": lambda r: (r.choice(NAMES), r.randrange(20)),
    "advance": lambda r: (r.choice((0.5, 3.0, 8.0, 60.0)),),
    "read": lambda r: (r.choice(NAMES), r.randrange(10), r.random() < 0.7),
}
WEIGHTS = (6, 8, 0.5, 8, 4, 1, 1, 2)
NEEDS = {"deliver": "network", "start": "taken", "finish": "open_runs"}


@pytest.mark.parametrize("block", range(4))
def test_random_walks(block):
    """The machine's rules, evenly drawn: reaches what the shrinker seldom does."""
    for seed in range(1000 * block, 1000 * (block + 1)):
        random = Random(seed)
        machine = LedgerMachine()
        for name in random.choices(list(STEPS), WEIGHTS, k=60):
            if name not in NEEDS or getattr(machine, NEEDS[name]):
                getattr(machine, name)(*STEPS[name](random))
        machine.teardown()
