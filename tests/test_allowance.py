"""Shares of a limit under late messages, changing homes and lost members."""

from random import Random

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    precondition,
    rule,
)

from wigeonfront.clock import ManualClock
from wigeonfront.coordination.allowance import (
    TERM,
    AllowanceHome,
    Allowed,
    ConcurrencyLimiter,
    Exhausted,
    HeldShare,
    NotHome,
    RateLimiter,
    fair_level,
)
from wigeonfront.coordination.rendezvous import owner

NAMES = ("a", "b", "c")


@pytest.fixture
def clock():
    return ManualClock(100.0)


def rounds(home, shares, wants, count=4):
    for _ in range(count):
        for share, want in zip(shares, wants, strict=True):
            share.accept(home.handle(share.request(want)))
    return [round(share.fraction, 6) for share in shares]


@pytest.mark.parametrize(
    ("wants", "fractions"),
    [
        ((1.0, 1.0, 1.0, 1.0), (0.25, 0.25, 0.25, 0.25)),
        ((0.1, 0.2, 0.0, 0.3), (0.1, 0.2, 0.025, 0.3)),
        ((0.2, 1.0, 0.2, 1.0), (0.2, 0.3, 0.2, 0.3)),
    ],
)
def test_fractions_are_max_min_fair(clock, wants, fractions):
    home = AllowanceHome("abcd", 1, clock)
    shares = [HeldShare(name, 1, clock) for name in "abcd"]
    rounds(home, shares, wants)
    clock.advance(1.0)
    assert rounds(home, shares, wants) == list(fractions)


def test_without_a_home_the_share_runs_out_to_an_equal_part(clock):
    home = AllowanceHome("abcd", 1, clock)
    shares = [HeldShare(name, 1, clock) for name in "abcd"]
    rounds(home, shares, (0.9, 0.01, 0.0, 0.0))
    clock.advance(1.0)
    assert rounds(home, shares, (0.9, 0.01, 0.0, 0.0))[0] > 0.8
    clock.advance(TERM)
    assert [share.fraction for share in shares] == [0.25, 0.025, 0.025, 0.025]


def test_a_new_home_grants_nothing_until_all_have_reported(clock):
    old, new = (AllowanceHome("ab", generation, clock) for generation in (1, 2))
    first, second = (HeldShare(name, 1, clock) for name in "ab")
    rounds(old, [first, second], (0.9, 0.0))
    for _ in range(3):
        second.accept(new.handle(second.request(1.0)))
    assert not new.ready
    assert second.fraction < 0.1
    assert isinstance(old.handle(second.request(1.0)), NotHome)
    rounds(new, [first, second], (0.1, 0.9))
    assert new.ready
    assert second.fraction == pytest.approx(0.9)
    stranger = HeldShare("z", 1, clock)
    assert new.handle(stranger.request(1.0)) == NotHome()


def test_the_rate_of_all_members_stays_within_the_limit(clock):
    """Counted over every window, with the home lost in the middle."""
    home = AllowanceHome(NAMES, 1, clock)
    shares = [HeldShare(name, 1, clock) for name in NAMES]
    rounds(home, shares, (1.0, 0.3, 0.0))
    limiters = [RateLimiter(share, 30.0, clock) for share in shares]
    taken = []
    for tick in range(600):
        clock.advance(0.1)
        if tick % 20 == 0 and tick < 300:
            rounds(home, shares, Random(tick).choices((0.0, 0.3, 1.0), k=3), 1)
        for limiter in limiters:
            while isinstance(limiter.take(), Allowed):
                taken.append(tick)
    assert len(taken) > 0.5 * 30 * 60
    for start in range(0, 600, 7):
        for length in (10, 50, 200):
            window = sum(start <= tick < start + length for tick in taken)
            assert window <= 30 * (length * 0.1 + 1.0) + len(NAMES)


def test_a_rate_limiter_says_when_to_come_back_and_follows_an_edit(clock):
    home = AllowanceHome("a", 1, clock)
    share = HeldShare("a", 1, clock)
    rounds(home, [share], (1.0,))
    limiter = RateLimiter(share, 2.0, clock)
    assert limiter.take() == Exhausted(0.5)
    clock.advance(0.5)
    assert limiter.take() == Allowed()
    limiter.set_limit(0.5)
    assert limiter.take() == Exhausted(2.0)
    limiter.set_limit(0.0)
    assert limiter.take() == Exhausted(TERM)


def test_a_lapse_between_two_takes_is_not_paid_at_the_higher_rate(clock):
    home = AllowanceHome("ab", 1, clock)
    shares = [HeldShare(name, 1, clock) for name in "ab"]
    rounds(home, shares, (0.9, 0.0))
    limiter = RateLimiter(shares[0], 10.0, clock, burst=100.0)
    clock.advance(2 * TERM)
    rounds(home, shares, (0.9, 0.0))
    taken = 0
    while limiter.take() == Allowed():
        taken += 1
    assert taken == 2 * TERM * 5.0


def test_an_unused_share_is_saved_for_the_burst_only(clock):
    share = HeldShare("a", 1, clock)
    rounds(AllowanceHome("a", 1, clock), [share], (1.0,))
    limiter = RateLimiter(share, 5.0, clock, burst=2.0)
    clock.advance(9.0)
    assert sum(limiter.take() == Allowed() for _ in range(50)) == 10


def test_a_lost_reply_leaves_the_higher_claim_counted(clock):
    home = AllowanceHome("ab", 1, clock)
    first, second = (HeldShare(name, 1, clock) for name in "ab")
    rounds(home, [first, second], (0.9, 0.0))
    home.handle(first.request(0.0))
    clock.advance(TERM + 1)
    assert first.fraction == 0.5
    second.accept(home.handle(second.request(1.0)))
    assert second.fraction == 0.5
    assert first.accept(home.handle(first.request(0.0))) is True
    assert first.fraction == 0.05


def test_places_for_running_requests(clock):
    home = AllowanceHome("ab", 1, clock, lapses=False)
    first, second = (HeldShare(name, 1, clock, lapses=False) for name in "ab")
    rounds(home, [first, second], (0.75, 0.25))
    limiter = ConcurrencyLimiter(first, 4)
    assert [limiter.acquire() for _ in range(4)] == [Allowed()] * 3 + [Exhausted(1.0)]
    assert limiter.in_use == 0.75
    clock.advance(TERM + 1)
    second.accept(home.handle(second.request(1.0)))
    assert second.fraction == 0.25
    for _ in range(2):
        first.accept(home.handle(first.request(0.0, limiter.in_use)))
    assert limiter.acquire() == Exhausted(1.0)
    second.accept(home.handle(second.request(1.0)))
    assert second.fraction == 0.25
    limiter.release()
    limiter.set_limit(60)
    assert limiter.acquire() == Allowed()


def test_places_reported_before_a_new_home_is_ready_stay_counted(clock):
    old, new = (AllowanceHome("ab", n, clock, lapses=False) for n in (1, 2))
    first, second = (HeldShare(name, 1, clock, lapses=False) for name in "ab")
    rounds(old, [first, second], (0.75, 0.25))
    for _ in range(2):
        first.accept(new.handle(first.request(0.75)))
    limiter = ConcurrencyLimiter(first, 4)
    while limiter.acquire() == Allowed():
        pass
    clock.advance(TERM + 1)
    for _ in range(2):
        second.accept(new.handle(second.request(1.0)))
    assert limiter.in_use + second.fraction == 1.0


def test_levels():
    assert fair_level([]) == 1.0
    assert fair_level([2.0]) == 1.0


class Node:
    """One member, which may also be, or think it is, the limit's home."""

    def __init__(self, name, incarnation, clock, lapses):
        self.name = name
        self.share = HeldShare(name, incarnation, clock, lapses)
        self.view = (0, ())
        self.home = None
        self.in_use = 0.0


class AllowanceMachine(RuleBasedStateMachine):
    """What members may use together never passes the limit."""

    def __init__(self):
        super().__init__()
        self.clock = ManualClock(100.0)
        self.lapses = True
        self.revision = 0
        self.listed = set()
        self.nodes = {}
        self.requests = []
        self.replies = []
        for name in NAMES:
            self.change_member(name)
        for name in NAMES:
            self.refresh(name)

    @rule(name=st.sampled_from(NAMES))
    def change_member(self, name):
        """A member's lease lapses, or a new process of that name begins."""
        self.revision += 1
        if name in self.listed:
            self.listed.discard(name)
        else:
            self.listed.add(name)
            self.nodes[name] = Node(name, self.revision, self.clock, self.lapses)

    @rule(name=st.sampled_from(NAMES))
    def refresh(self, name):
        node = self.nodes[name]
        if node.view[0] == self.revision:
            return
        node.view = (self.revision, tuple(sorted(self.listed)))
        is_home = owner("limit", node.view[1]) == name
        node.home = None
        if is_home:
            node.home = AllowanceHome(
                node.view[1], self.revision, self.clock, lapses=self.lapses
            )

    @rule(name=st.sampled_from(NAMES), want=st.sampled_from((0.0, 0.2, 0.6, 1.0)))
    def ask(self, name, want):
        node = self.nodes[name]
        home = owner("limit", node.view[1])
        if home is not None:
            request = node.share.request(want, node.in_use)
            self.requests.append((home, request))

    @precondition(lambda self: self.requests)
    @rule(at=st.integers(0, 9), repeat=st.booleans())
    def deliver_request(self, at, repeat):
        at %= len(self.requests)
        name, request = self.requests[at] if repeat else self.requests.pop(at)
        home = self.nodes[name].home
        if home is not None:
            reply = home.handle(request)
            self.replies.append((self.nodes[request.member], reply))

    @precondition(lambda self: self.replies)
    @rule(at=st.integers(0, 9), repeat=st.booleans())
    def deliver_reply(self, at, repeat):
        at %= len(self.replies)
        node, reply = self.replies[at] if repeat else self.replies.pop(at)
        node.share.accept(reply)

    @rule(name=st.sampled_from(NAMES), want=st.sampled_from((0.0, 0.2, 0.6, 1.0)))
    def call(self, name, want):
        """A request and its reply without delay."""
        self.ask(name, want)
        if self.requests:
            self.deliver_request(len(self.requests) - 1, repeat=False)
            if self.replies:
                self.deliver_reply(len(self.replies) - 1, repeat=False)

    @rule(name=st.sampled_from(NAMES), busy=st.booleans())
    def use(self, name, busy):
        node = self.nodes[name]
        if not self.lapses:
            node.in_use = max(node.in_use, node.share.fraction) if busy else 0.0

    @rule(seconds=st.sampled_from((0.6, 6.0, 11.0)))
    def advance(self, seconds):
        self.clock.advance(seconds)

    @invariant()
    def limit_is_kept(self):
        used = (
            max(self.nodes[name].share.fraction, self.nodes[name].in_use)
            for name in self.listed
        )
        assert sum(used) <= 1.0 + 1e-9

    def teardown(self):
        """Once the lists agree, the limit is shared out again."""
        self.change_member(next(iter(set(NAMES) - self.listed), "a"))
        if "a" not in self.listed:
            self.change_member("a")
        for name in self.listed:
            self.nodes[name].in_use = 0.0
            self.refresh(name)
        for _ in range(5):
            for name in sorted(self.listed):
                self.call(name, 1.0)
            self.advance(0.6)
        total = sum(self.nodes[name].share.fraction for name in self.listed)
        assert total >= 0.99
        self.limit_is_kept()


AllowanceMachine.TestCase.settings = settings(
    derandomize=True, deadline=None, max_examples=60, stateful_step_count=40
)
TestAllowanceMachine = AllowanceMachine.TestCase

WANTS = (0.0, 0.2, 0.6, 1.0)
STEPS = {
    "change_member": lambda r: (r.choice(NAMES),),
    "refresh": lambda r: (r.choice(NAMES),),
    "ask": lambda r: (r.choice(NAMES), r.choice(WANTS)),
    "call": lambda r: (r.choice(NAMES), r.choice(WANTS)),
    "deliver_request": lambda r: (r.randrange(9), r.random() < 0.2),
    "deliver_reply": lambda r: (r.randrange(9), r.random() < 0.2),
    "use": lambda r: (r.choice(NAMES), r.random() < 0.7),
    "advance": lambda r: (r.choice((0.6, 6.0, 11.0)),),
}
WEIGHTS = (0.5, 1.5, 5, 3, 6, 4, 1, 1)


@pytest.mark.parametrize("lapses", [True, False])
def test_random_walks(lapses):
    for seed in range(1000):
        random = Random(seed)
        machine = AllowanceMachine()
        machine.lapses = lapses
        for name in NAMES * 2:
            machine.change_member(name)
        for name in random.choices(list(STEPS), WEIGHTS, k=80):
            waiting = {"deliver_request": "requests", "deliver_reply": "replies"}
            if name not in waiting or getattr(machine, waiting[name]):
                getattr(machine, name)(*STEPS[name](random))
            machine.limit_is_kept()
        machine.teardown()
