"""Decides which sample runs next, on which engine, and when results are written.

All functions are pure. A trainer's step ends when the groups that the trainer waits
for are whole, so the time until the last sample of the last such group counts. Samples
that generate for long decide that time. Samples therefore start in the order of their
latest start, which is the Lot's due time less the sample's expected duration.
"""

from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from statistics import median
from types import MappingProxyType

from wigeonfront.rollout.overload import GroupKey, GroupRank, group_key
from wigeonfront.rollout.progress import LotProgress, SampleState
from wigeonfront.targets.views import TargetView

TOKEN_SECONDS = 0.0008
"""Time for each token of a stream on an engine with most of its slots taken."""

UNKNOWN_TOKENS = 1000
"""Expected tokens of a sample for which the trainer gives no estimate."""

BATCH_SECONDS = 1.0
"""Interval between two writes of a Lot's results before its wanted groups are whole.

Results that are not written are lost if their owner is lost, but each batch costs a
write to the store.
"""

URGENT_BATCH_SECONDS = 0.0
"""Delay of the write that makes the wanted groups whole: the trainer waits for it."""

SNAPSHOT_EVENTS = 8
"""Events between two snapshots of the text of a run in progress.

Short samples end sooner, so that the store gets no snapshot of them.
"""

TEXT_SECONDS = 1.0
"""Interval between two writes that hold only snapshots of texts.

If the owner is lost without notice, what was generated since the last write is lost.
"""

SLOW_FACTOR = 2.0
"""Multiple of the fastest engine's time per event above which an engine counts as slow.

A slow engine gets samples only while no other engine has a free slot.
"""

MOVE_FACTOR = 2.0
"""Multiple of the other engines' time per event above which a run is moved.

The rest of the run then takes less than half as long on another engine.
"""

MIN_GAIN_SECONDS = 0.5
"""Time that a move to a faster engine with a free slot must save at least."""

QUICKER_FACTOR = 1.15
"""Multiple of another engine's time per event from which that engine counts as faster.

The value lies between the noise of a pace over six events and the difference in speed
between engines.
"""

FIRST_EVENT_SECONDS = 1.0
"""Timeout for the first event of a run on an engine with a free slot.

Such an engine usually begins far sooner, but it may accept a sample and never begin
it.
"""

MAX_FIRST_EVENT_SECONDS = 3.0
"""Timeout for the first event on a full engine, where a run waits for a slot.

It also limits the timeouts of one sample, which double with each silent run: where all
engines are slow, a run that leaves an engine only loses its position in the queue.
"""

FULL_ENGINE_SLOWDOWN = 0.25
"""Share by which an event takes longer on an engine with all slots taken."""

QUEUE_SLOWDOWN = 1.0
"""Share by which an event takes longer on a full engine at which others wait.

The share is multiplied by the number of waiting samples divided by the engine's slots:
one more sample waits until as many others have ended.
"""

PACE_EVENTS = 6
"""Events over which the pace of a run is measured.

They take a fifth of a second on a fast engine, which is long enough that one late event
does not make the run look slow.
"""

MIN_MOVE_SECONDS = 0.5
"""Remaining time of a run, at its present pace, below which it is not moved."""

MAX_MOVES = 3
"""Limit of the moves of one sample; after these it stays on its engine."""

URGENT_TOKENS = (2000, 1000, 500)
"""Expected tokens from which a sample gets priority 2, 3 and 4 at engines.

All other samples get priority 5. Long samples decide when a step ends, and a full
engine starts the samples with the lowest number first.
"""

FIRST_PRIORITY = 2
"""Priority at engines of the samples with the most expected tokens."""

GROUP_BONUS = 2
"""Slots by which an engine that runs a sample's group may be fuller than another one.

The engine that already runs the group processes the shared prompt only once.
"""

NO_RANKS: Mapping[GroupKey, GroupRank] = MappingProxyType({})
UNRANKED = GroupRank()

QUEUE_SHARE = 0.0
"""Samples sent to an engine beyond its slots, as a share of its slots.

No sample is sent beyond them, so that a slot that becomes free goes to the most urgent
sample of all.
"""


@dataclass(frozen=True, slots=True)
class WeightNeeds:
    """The requirements of a sample on the weights of its engine.

    Attributes
    ----------
    model : str
    min_version : int
        Engines that are known to hold older weights are left out.
    single_version : bool
        The whole sample must come from one version. An engine that is about to load
        other weights is left out, as it would have to wait for the sample or end it.
    text_version : int
        The version with which the text must be continued; 0 if any version will do.
    """

    model: str
    min_version: int = 0
    single_version: bool = False
    text_version: int = 0

    def met_by(self, view: TargetView) -> bool:
        """Return whether the weights of an engine fit, as far as they are known."""
        version = view.versions.get(self.model)
        if self.text_version:
            return version == self.text_version
        if self.single_version and self.model in view.loading:
            return False
        return version is None or version >= self.min_version


@dataclass(frozen=True, slots=True)
class EngineRoom:
    """What a trainer's samples may use of the engines while slots are divided.

    Attributes
    ----------
    quotas : mapping of str to int
        Runs of the trainer that each engine takes, by the engine's id.
    runs : mapping of str to int
        Runs of the trainer in progress, by the engine's id.
    starved : bool
        The trainer has waited so long for a first slot that it no longer waits for
        the runs of other owners to end.
    """

    quotas: Mapping[str, int]
    runs: Mapping[str, int]
    starved: bool = False


@dataclass(frozen=True, slots=True)
class OpenSample:
    """A sample without a result, with the progress of its Lot."""

    progress: LotProgress
    state: SampleState

    @property
    def needs(self) -> "WeightNeeds":
        """The requirements of the sample on the weights of its engine."""
        lot = self.progress.lot
        text_version = self.state.text_version if lot.single_version else 0
        return WeightNeeds(
            self.state.sample.model, lot.min_version, lot.single_version, text_version
        )

    @property
    def group_key(self) -> GroupKey:
        """The key of the sample's group."""
        return group_key(self.progress, self.state.sample)

    @property
    def latest_start(self) -> float:
        """Monotonic time at which the sample must start in order to end in time."""
        return self.progress.due_at - expected_seconds(self.state)


def expected_seconds(state: SampleState) -> float:
    """Return the seconds that a whole sample is expected to take."""
    tokens = state.sample.expected_tokens or UNKNOWN_TOKENS
    return tokens * TOKEN_SECONDS


def waiting_samples(
    lots: Sequence[LotProgress],
    now: float,
    ranks: Mapping[GroupKey, GroupRank] = NO_RANKS,
) -> list[OpenSample]:
    """Return the samples that may be sent, the most urgent first.

    Parameters
    ----------
    lots : sequence of LotProgress
    now : float
        Monotonic time.
    ranks : mapping of GroupKey to GroupRank, optional
        Ranks of groups, which take precedence over the latest start.
    """
    waiting = [
        OpenSample(progress, state)
        for progress in lots
        if not progress.ended
        for state in progress.open.values()
        if state.wants_run and state.not_before <= now
    ]
    waiting.sort(
        key=lambda sample: (ranks.get(sample.group_key, UNRANKED), sample.latest_start)
    )
    return waiting


def usable_engines(
    views: Sequence[TargetView], needs: WeightNeeds, now: float
) -> list[TargetView]:
    """Return the engines that take samples with the given requirements.

    Parameters
    ----------
    views : sequence of TargetView
    needs : WeightNeeds
    now : float
        Monotonic time.
    """
    return [
        view
        for view in views
        if not view.draining
        and view.available
        and view.refused_until.get(needs.model, 0.0) <= now
        and needs.met_by(view)
    ]


def event_seconds(view: TargetView, typical: float, bonus: int = 0) -> float:
    """Return the expected seconds per event of one more sample on an engine.

    Parameters
    ----------
    view : TargetView
    typical : float
        Seconds per event on an engine whose pace is unknown.
    bonus : int
        Slots that count as free though they are taken.
    """
    crowded = (view.load - bonus) / max(1, view.target.slots)
    queued = max(0.0, crowded - 1)
    return (view.latency or typical) * (
        1 + FULL_ENGINE_SLOWDOWN * crowded + QUEUE_SLOWDOWN * queued
    )


def choose_engine(
    views: Sequence[TargetView],
    needs: WeightNeeds,
    group_targets: frozenset[str],
    avoid: str,
    now: float,
    shared: bool = False,
    room: EngineRoom | None = None,
    isolated: bool = False,
) -> TargetView | None:
    """Return the engine that should run a sample fastest, or ``None`` if all are full.

    Parameters
    ----------
    views : sequence of TargetView
    needs : WeightNeeds
    group_targets : frozenset of str
        Ids of the engines that run samples of the same group.
    avoid : str
        Id of the engine on which the sample's last run broke; that engine is chosen
        only if no other one is usable.
    now : float
        Monotonic time.
    shared : bool
        Slots are short, and other owners get their share of them.
    room : EngineRoom, optional
        Quotas of the sample's trainer, in place of `shared`.
    isolated : bool
        The sample should run apart from others, so that the emptiest engine is chosen.
    """
    usable = usable_engines(views, needs, now)
    healthy = [view for view in usable if view.target.id != avoid] or usable
    if room is not None:
        with_room = engines_in_quota(healthy, room)
    else:
        own_room = has_shared_room if shared else has_room
        with_room = [view for view in healthy if own_room(view)]
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

    if isolated:
        return min(with_room, key=lambda view: (view.load, cost(view)), default=None)
    return min(fast or with_room, key=cost, default=None)


def should_move(
    others: Sequence[TargetView],
    pace: float,
    tokens_left: float,
    token_seconds: float,
    moves: int,
    room: EngineRoom | None = None,
) -> bool:
    """Return whether a run should be continued on another engine.

    Parameters
    ----------
    others : sequence of TargetView
        The other engines that could run the sample.
    pace : float
        Seconds per event over the run's last events.
    tokens_left : float
        Tokens that the run is still expected to generate.
    token_seconds : float
        Seconds per token at that pace.
    moves : int
        How often the sample was moved already.
    room : EngineRoom, optional
        Quotas of the sample's trainer. Only slots within them count as free, as the
        sample would wait for others.
    """
    seconds_left = tokens_left * token_seconds
    known = [view for view in others if view.latency > 0]
    if moves >= MAX_MOVES or seconds_left < MIN_MOVE_SECONDS or not known:
        return False
    typical = median(view.latency for view in known)
    if pace > MOVE_FACTOR * typical:
        return True
    free = [
        view
        for view in known
        if view.load < view.target.slots and (room is None or _in_quota(view, room))
    ]
    quickest = min((event_seconds(view, typical) for view in free), default=pace)
    saved = seconds_left * (1 - quickest / pace)
    return pace >= QUICKER_FACTOR * quickest and saved >= MIN_GAIN_SECONDS


def first_event_wait(view: TargetView, silent_runs: int) -> float:
    """Return the timeout in seconds for a run's first event.

    Parameters
    ----------
    view : TargetView
        The engine as it was when the run was sent there.
    silent_runs : int
        Earlier runs of the sample that ended because no event came in time.
    """
    if view.load >= view.target.slots:
        return MAX_FIRST_EVENT_SECONDS
    return min(FIRST_EVENT_SECONDS * 2**silent_runs, MAX_FIRST_EVENT_SECONDS)


def engine_priority(expected_tokens: int) -> int:
    """Return the priority of a sample at its engine, where 0 is the most urgent."""
    for step, min_tokens in enumerate(URGENT_TOKENS):
        if expected_tokens >= min_tokens:
            return FIRST_PRIORITY + step
    return FIRST_PRIORITY + len(URGENT_TOKENS)


def has_room(view: TargetView) -> bool:
    """Return whether the engine gets one more sample.

    Only the samples of this owner count. The samples of other owners are known with a
    delay, so that a slot that becomes free would stay unused until the next exchange
    of loads. Samples beyond the engine's slots wait at the engine.
    """
    return view.free_slots + int(QUEUE_SHARE * view.target.slots) > 0


def has_shared_room(view: TargetView) -> bool:
    """Return whether the engine gets one more sample while slots are short.

    A sample that would wait at the engine is kept here, where its rank can still
    change. This owner may use half of the slots even if other owners take them all.
    """
    own_share = max(1, view.target.slots // 2)
    return view.load < view.target.slots or view.in_flight < own_share


def engines_in_quota(views: Sequence[TargetView], room: EngineRoom) -> list[TargetView]:
    """Return the engines with room for one more sample while slots are divided.

    Within its quota a trainer needs only the reports of other owners, which are above
    their quotas until runs end. A slot beyond the quota is used if no engine has room
    within it and the slot is free even if other owners send as many runs as this one.

    Parameters
    ----------
    views : sequence of TargetView
    room : EngineRoom
    """
    if room.starved:
        return [view for view in views if has_room(view)]
    in_quota = [view for view in views if _in_quota(view, room)]
    if in_quota:
        return in_quota
    return [
        view
        for view in views
        if max(view.load, view.in_flight + view.reported_lately) < view.target.slots
    ]


def _in_quota(view: TargetView, room: EngineRoom) -> bool:
    id = view.target.id
    below_quota = room.runs.get(id, 0) < room.quotas.get(id, 0)
    return below_quota and view.in_flight + view.reported < view.target.slots


def batch_due(progress: LotProgress, now: float) -> bool:
    """Return whether the Lot's results should be written now.

    Parameters
    ----------
    progress : LotProgress
    now : float
        Monotonic time.
    """
    if not progress.unwritten and not progress.in_doubt:
        return False
    if progress.ended:
        return False
    all_done = not progress.open
    groups_done = progress.whole_groups >= progress.wanted_groups
    pause = URGENT_BATCH_SECONDS if all_done or groups_done else BATCH_SECONDS
    return now - progress.flushed_at >= pause


def texts_due(progress: LotProgress, now: float) -> bool:
    """Return whether snapshots of texts should be written now, without results.

    Parameters
    ----------
    progress : LotProgress
    now : float
        Monotonic time.
    """
    if progress.ended or now - progress.flushed_at < TEXT_SECONDS:
        return False
    return any(state.unsaved for state in progress.open.values())
