"""What runs next and where, and when results are kept; pure functions.

A step of a trainer ends when the groups that it waits for are whole, so what counts
is the time to the last sample of the last such group. A sample that generates long
decides it: samples start in the order of the latest moment at which they may start,
which is the Lot's due time less the sample's expected duration.
"""

from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from statistics import median
from types import MappingProxyType

from wigeonfront.rollout.overload import GroupKey, GroupRank, group_key
from wigeonfront.rollout.progress import LotProgress, SampleState
from wigeonfront.targets.views import TargetView

TOKEN_SECONDS = 0.0008
"""Seconds for each token of a stream on an engine with most places taken."""

UNKNOWN_TOKENS = 1000
"""Tokens assumed where a trainer gives no estimate."""

BATCH_SECONDS = 1.0
"""Time between two batches of results of one Lot before its wanted groups are whole:
what was generated is lost with its owner until then, and each batch is a write.
"""

URGENT_BATCH_SECONDS = 0.0
"""Time until results are kept that make the wanted groups whole: the trainer waits."""

SNAPSHOT_EVENTS = 8
"""Events after which the text of a run in progress is copied for the store: short
samples end sooner and cost no bytes."""

TEXT_SECONDS = 1.0
"""Time between two writes that hold texts alone: an owner that is lost without notice
takes with it what was generated since."""

SLOW_FACTOR = 2.0
"""Multiple of the fastest target's time for an event from which a target counts as
slow and takes samples only while no other has a place."""

MOVE_FACTOR = 2.0
"""Multiple of the other engines' time for an event from which a run is moved off an
engine: the rest of the run then takes less than half as long elsewhere."""

LEAST_GAIN_SECONDS = 0.5
"""Time that a run must save to go on at a quicker engine with a free place."""

QUICKER_FACTOR = 1.15
"""Multiple of another engine's time for an event from which it counts as quicker:
between the noise of six events and the difference of engines."""

FIRST_EVENT_SECONDS = 1.0
"""Wait for the first event of a run on an engine with a free place, which begins far
sooner; an engine may take a sample and never begin it."""

MOST_FIRST_EVENT_SECONDS = 3.0
"""Wait for the first event on a full engine, where a run waits for a place, and the
longest wait to which those for one sample double: where all are slow, leaving them
would only cost places in their queues."""

CROWDING = 0.25
"""Share by which an event takes longer on an engine with all places taken."""

QUEUEING = 1.0
"""Share by which an event takes longer for each sample that waits at a full engine, as
a share of its places: it waits until as many have ended."""

PACE_EVENTS = 6
"""Events over which the pace of a run is taken: a fifth of a second on a quick engine,
so that one late event does not count as slowness."""

LEAST_MOVE_SECONDS = 0.5
"""Rest of a run, at its present pace, from which a move is worth it."""

MOST_MOVES = 3
"""Moves of one sample, after which it stays where it is."""

URGENT_TOKENS = (2000, 1000, 500)
"""Estimates from which a sample gets priority 2, 3 and 4 at engines, the rest 5: the
long ones decide when a step ends, and an engine that is full starts them first."""

FIRST_PRIORITY = 2

GROUP_BONUS = 2
"""Places by which a target may be fuller than another and still get a sample whose
group it has: the shared prompt is then read once."""

NO_RANKS: Mapping[GroupKey, GroupRank] = MappingProxyType({})
UNRANKED = GroupRank()

QUEUE_SHARE = 0.0
"""Samples sent beyond the places of an engine, as a share of these: none, so that a
place that falls free goes to the sample that needs it most, wherever that is."""


@dataclass(frozen=True, slots=True)
class Needs:
    """What a sample asks of an engine's weights.

    Attributes
    ----------
    model : str
    min_version : int
        Engines known to hold older weights are left out.
    single_version : bool
        It must come from one version: an engine that is about to change its weights
        would have to wait for it, or break it off.
    text_version : int
        The version that it must go on from; 0 if any will do.
    """

    model: str
    min_version: int = 0
    single_version: bool = False
    text_version: int = 0

    def fit(self, view: TargetView) -> bool:
        """Tell whether the weights of an engine fit, as far as they are known."""
        version = view.versions.get(self.model)
        if self.text_version:
            return version == self.text_version
        if self.single_version and self.model in view.loading:
            return False
        return version is None or version >= self.min_version


@dataclass(frozen=True, slots=True)
class Waiting:
    """A sample that waits, with its Lot."""

    progress: LotProgress
    state: SampleState

    @property
    def needs(self) -> "Needs":
        """What it asks of an engine's weights."""
        lot = self.progress.lot
        bound = self.state.text_version if lot.single_version else 0
        return Needs(
            self.state.sample.model, lot.min_version, lot.single_version, bound
        )

    @property
    def group_key(self) -> GroupKey:
        """The key of its group."""
        return group_key(self.progress, self.state.sample)

    @property
    def latest_start(self) -> float:
        """Monotonic time at which it must start to end in time."""
        return self.progress.due_at - expected_seconds(self.state)


def expected_seconds(state: SampleState) -> float:
    """Return how long the rest of a sample should take, in seconds."""
    tokens = state.sample.expected_tokens or UNKNOWN_TOKENS
    return tokens * TOKEN_SECONDS


def waiting_samples(
    lots: Sequence[LotProgress],
    now: float,
    ranks: Mapping[GroupKey, GroupRank] = NO_RANKS,
) -> list[Waiting]:
    """Return the samples that may be sent, the most urgent first.

    Parameters
    ----------
    now : float
        Monotonic time.
    ranks : mapping
        Order of groups that goes first, where there is one.
    """
    waiting = [
        Waiting(progress, state)
        for progress in lots
        if not progress.ended
        for state in progress.open.values()
        if state.wants_run and state.not_before <= now
    ]
    waiting.sort(key=lambda one: (ranks.get(one.group_key, UNRANKED), one.latest_start))
    return waiting


def usable_engines(
    views: Sequence[TargetView], needs: Needs, now: float
) -> list[TargetView]:
    """Return the engines that take samples with such needs.

    Parameters
    ----------
    now : float
        Monotonic time.
    """
    return [
        view
        for view in views
        if not view.draining
        and view.available
        and view.refused_until.get(needs.model, 0.0) <= now
        and needs.fit(view)
    ]


def event_seconds(view: TargetView, typical: float, bonus: int = 0) -> float:
    """Return the seconds that an event of one more sample should take at an engine.

    Parameters
    ----------
    typical : float
        Seconds for an event at an engine of which nothing is known.
    bonus : int
        Places that count as free though they are taken.
    """
    crowded = (view.load - bonus) / max(1, view.target.slots)
    queued = max(0.0, crowded - 1)
    return (view.latency or typical) * (1 + CROWDING * crowded + QUEUEING * queued)


def choose_engine(
    views: Sequence[TargetView],
    needs: Needs,
    group_targets: frozenset[str],
    avoid: str,
    now: float,
    shared: bool = False,
) -> TargetView | None:
    """Return the engine that should run a sample fastest, or ``None`` if none has room.

    Parameters
    ----------
    views : sequence of TargetView
    needs : Needs
    group_targets : frozenset of str
        Engines that have samples of the same group.
    avoid : str
        Engine that broke off the sample's last run; used only if it is the last.
    now : float
        Monotonic time.
    shared : bool
        Places are short, and other owners get their share of them.
    """
    usable = usable_engines(views, needs, now)
    healthy = [view for view in usable if view.target.id != avoid] or usable
    room = has_shared_room if shared else has_room
    with_room = [view for view in healthy if room(view)]
    known = [view.latency for view in healthy if view.latency > 0]
    fastest = min(known, default=0.0)
    fast = [
        view
        for view in with_room
        if not view.latency or view.latency <= SLOW_FACTOR * fastest
    ]

    typical = median(known) if known else 1.0

    def cost(view: TargetView) -> float:
        bonus = GROUP_BONUS if view.target.id in group_targets else 0
        return event_seconds(view, typical, bonus)

    return min(fast or with_room, key=cost, default=None)


def should_move(
    others: Sequence[TargetView],
    pace: float,
    tokens_left: float,
    token_seconds: float,
    moves: int,
) -> bool:
    """Tell whether a run should go on at another engine.

    Parameters
    ----------
    others : sequence of TargetView
        The other engines that take such samples.
    pace : float
        Seconds for each of the run's last events.
    tokens_left : float
        Tokens that the run still has to generate, as expected.
    token_seconds : float
        Seconds for each token at that pace.
    moves : int
        Times that it was moved.
    """
    seconds_left = tokens_left * token_seconds
    known = [view for view in others if view.latency > 0]
    if moves >= MOST_MOVES or seconds_left < LEAST_MOVE_SECONDS or not known:
        return False
    typical = median(view.latency for view in known)
    if pace > MOVE_FACTOR * typical:
        return True
    free = [view for view in known if view.load < view.target.slots]
    quickest = min((event_seconds(view, typical) for view in free), default=pace)
    saved = seconds_left * (1 - quickest / pace)
    return pace >= QUICKER_FACTOR * quickest and saved >= LEAST_GAIN_SECONDS


def first_event_wait(view: TargetView, silent_runs: int) -> float:
    """Return the seconds for which a run's first event is waited for.

    Parameters
    ----------
    view : TargetView
        The engine as it was when the run was sent there.
    silent_runs : int
        Runs of the sample that ended so before.
    """
    if view.load >= view.target.slots:
        return MOST_FIRST_EVENT_SECONDS
    return min(FIRST_EVENT_SECONDS * 2**silent_runs, MOST_FIRST_EVENT_SECONDS)


def engine_priority(expected_tokens: int) -> int:
    """Return the priority of a sample at its engine, where 0 is the most urgent."""
    for step, least in enumerate(URGENT_TOKENS):
        if expected_tokens >= least:
            return FIRST_PRIORITY + step
    return FIRST_PRIORITY + len(URGENT_TOKENS)


def has_room(view: TargetView) -> bool:
    """Tell whether the engine gets one more sample.

    Own samples alone count: what others have there is known late, and a place that
    falls free would wait for the next round. What is too much waits at the engine.
    """
    return view.free_slots + int(QUEUE_SHARE * view.target.slots) > 0


def has_shared_room(view: TargetView) -> bool:
    """Tell whether the engine gets one more sample while places are short.

    What would wait there is better kept here, where its order can still change; half
    of the places are this owner's though others take them all.
    """
    own_share = max(1, view.target.slots // 2)
    return view.load < view.target.slots or view.in_flight < own_share


def batch_due(progress: LotProgress, now: float) -> bool:
    """Tell whether the Lot's results should be kept now.

    Parameters
    ----------
    now : float
        Monotonic time.
    """
    if not progress.unkept and not progress.in_doubt:
        return False
    if progress.ended:
        return False
    all_done = not progress.open
    groups_done = progress.whole_groups >= progress.wanted_groups
    pause = URGENT_BATCH_SECONDS if all_done or groups_done else BATCH_SECONDS
    return now - progress.flushed_at >= pause


def texts_due(progress: LotProgress, now: float) -> bool:
    """Tell whether texts of runs in progress should be kept now, without a batch.

    Parameters
    ----------
    now : float
        Monotonic time.
    """
    if progress.ended or now - progress.flushed_at < TEXT_SECONDS:
        return False
    return any(state.unsaved for state in progress.open.values())
