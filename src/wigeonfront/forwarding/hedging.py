"""Decides when a plain request is sent to a second target while the first is awaited.

The load that these decisions answer: some targets of a service accept requests and stay
silent while callers want answers within a fraction of a second. A hedged request goes
to a second target once it has waited noticeably longer than the service's recent
answers took. A token bucket per service bounds the additional sends, so that a service
that is slow because of overload doesn't get more work.

Nothing here waits, sends or reads a clock; `hedging_state` keeps what a process knows.
"""

from collections import deque
from collections.abc import Collection, Sequence
from dataclasses import dataclass, field

from wigeonfront.forwarding.steps import UNRESPONSIVE_SECONDS
from wigeonfront.targets.circuit import Evidence
from wigeonfront.targets.views import TargetView

HEDGE_PERCENTILE = 0.95
"""Share of the recent answers that the hedge delay exceeds at least."""

HEDGE_FACTOR = 1.5
"""Hedge delay as a multiple of that percentile, so that ordinary variation of the
latency causes few second sends."""

MIN_HEDGE_SECONDS = 0.05
"""Minimum hedge delay: pauses of processes and retransmissions take this long."""

OBJECTIVE_SHARE = 0.5
"""Share of a route's latency objective that is the hedge delay while the service's
latency is unknown: half is left for the second answer."""

MAX_ANSWERS = 256
"""Recent answers of a service from which the percentile is taken."""

MIN_ANSWERS = 10
"""Number of recent answers below which a service's latency counts as unknown."""

ANSWER_TTL_SECONDS = 30.0
"""Time for which an answer counts as recent."""

PERCENTILE_TTL_SECONDS = 0.1
"""Time for which a computed percentile is reused."""

BUDGET_SHARE = 0.1
"""Tokens that each first send of a request adds to its service's budget."""

BUDGET_BURST = 10.0
"""Maximum number of tokens in a budget, with which it also begins."""

SUSPICION_SECONDS = 0.5
"""Time for which a target that lets a request wait for the hedge delay gets no first
sends, unless it answers. One request then probes it, so that a silent target's circuit
opens about as soon as without hedging."""

UNPROVEN_SECONDS = 10.0
"""Time for which such a target gets no second sends, unless it answers."""

MIN_SILENT_WAITS = 3
"""Number of waits in a row without an answer from which on they count as a failure: a
target that answers as usual seldom exceeds the hedge delay even once."""

SILENCE_TTL_SECONDS = 10.0
"""Time after which an observed silence no longer counts, if no request was sent."""


# --- decisions ---------------------------------------------------------------


@dataclass(frozen=True, slots=True)
class SendAgain:
    """Send the request to a second target now."""


@dataclass(frozen=True, slots=True)
class KeepWaiting:
    """Wait for the first target only.

    Attributes
    ----------
    reason : str
    """

    reason: str


Decision = SendAgain | KeepWaiting

SPENT = KeepWaiting("budget")


@dataclass(frozen=True, slots=True)
class HedgeState:
    """State of a request whose first send has waited for the hedge delay.

    Attributes
    ----------
    suspect : bool
        Whether targets have crashed under the request.
    other_available : bool
        Whether another target is available and has a free slot.
    may_send : bool
        Whether the request may be repeated, and sends and time are left.
    tokens : float
        Tokens in the service's budget.
    """

    suspect: bool
    other_available: bool
    may_send: bool
    tokens: float


def decide(state: HedgeState) -> Decision:
    """Return whether a request that waits for one target goes to a second one."""
    if not state.may_send:
        return KeepWaiting("no sends left")
    if state.suspect:
        # It would run on two targets at once and might crash both.
        return KeepWaiting("suspect")
    if not state.other_available:
        return KeepWaiting("no other target")
    return SendAgain() if state.tokens >= 1 else SPENT


def hedge_delay(percentile: float | None, objective: float) -> float | None:
    """Return the seconds after which a second send is considered.

    Parameters
    ----------
    percentile : float or None
        `HEDGE_PERCENTILE` of the service's latency in seconds; ``None`` if unknown.
    objective : float
        Latency objective of the route in seconds; 0 if it has none.

    Returns
    -------
    float or None
        ``None`` if there is to be no second send.

    Examples
    --------
    >>> hedge_delay(0.2, 1.0), hedge_delay(0.001, 1.0), hedge_delay(None, 1.0)
    (0.30000000000000004, 0.05, 0.5)
    """
    if percentile is not None:
        return max(MIN_HEDGE_SECONDS, HEDGE_FACTOR * percentile)
    if objective <= 0:
        return None
    return max(MIN_HEDGE_SECONDS, OBJECTIVE_SHARE * objective)


def unsuspected_targets(
    views: Sequence[TargetView], slow: Collection[str]
) -> list[TargetView]:
    """Return the available targets that are not suspected of being silent.

    Parameters
    ----------
    views : sequence of TargetView
    slow : collection of str
        Ids of the suspected targets.
    """
    return [view for view in views if view.available and view.target.id not in slow]


def second_targets(
    views: Sequence[TargetView], slow: Collection[str], answered: Collection[str]
) -> list[TargetView]:
    """Return the targets among which that of a second send is chosen.

    Several targets may be silent for the same reason. Those that have answered since
    the first send are therefore preferred, and suspected ones aren't used.

    Parameters
    ----------
    views : sequence of TargetView
        Targets that did not get the request.
    slow : collection of str
        Ids of the suspected targets.
    answered : collection of str
        Ids of the targets that have answered since the first send.
    """
    free = [view for view in views if view.available and view.free_slots > 0]
    alive = [view for view in free if view.target.id in answered]
    return alive or unsuspected_targets(free, slow)


# --- observations ------------------------------------------------------------


class RecentLatencies:
    """The latencies of a service's recent successful answers, in seconds."""

    def __init__(self) -> None:
        self._answers: deque[tuple[float, float]] = deque(maxlen=MAX_ANSWERS)
        self._percentile: float | None = None
        self._computed_at = float("-inf")

    def add(self, now: float, seconds: float) -> None:
        """Record an answer that arrived at `now` and took `seconds`."""
        self._answers.append((now, seconds))

    def percentile(self, now: float) -> float | None:
        """Return `HEDGE_PERCENTILE` of the latency; ``None`` if it is unknown."""
        if now - self._computed_at >= PERCENTILE_TTL_SECONDS:
            self._computed_at = now
            self._percentile = self._compute(now)
        return self._percentile

    def _compute(self, now: float) -> float | None:
        while self._answers and self._answers[0][0] < now - ANSWER_TTL_SECONDS:
            self._answers.popleft()
        if len(self._answers) < MIN_ANSWERS:
            return None
        ordered = sorted(seconds for _, seconds in self._answers)
        return ordered[int(HEDGE_PERCENTILE * (len(ordered) - 1))]


class RetryBudget:
    """A token bucket that bounds the additional sends to one service.

    Each first send of a request adds `BUDGET_SHARE` tokens and each additional send
    takes one. A retry after a silent target is never refused, because the request would
    fail without it, but it takes a token if there is one: hedges wait until the retries
    are paid for.

    Examples
    --------
    >>> budget = RetryBudget()
    >>> [budget.take() for _ in range(11)].count(True)
    10
    """

    def __init__(self) -> None:
        self._tokens = BUDGET_BURST

    @property
    def tokens(self) -> float:
        """Number of tokens; not negative."""
        return self._tokens

    def add_first_send(self) -> None:
        """Record the first send of a request."""
        self._tokens = min(BUDGET_BURST, self._tokens + BUDGET_SHARE)

    def take(self) -> bool:
        """Take a token for a hedge; return ``False`` if there is none."""
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True

    def charge(self) -> None:
        """Take a token, or what is left of one, for a retry that is made anyway."""
        self._tokens = max(0.0, self._tokens - 1)


@dataclass(slots=True)
class Silence:
    """Sends to a target in a row that were cut without an answer.

    A hedged request leaves a silent target long before one wait counts as a failure.
    Several waits, each of which began after the one before, count as one if they span
    that time and the target has answered no request meanwhile. In an overload, waits
    overlap and answers come between them.

    Attributes
    ----------
    waits : int
        Number of waits since the target's last answer that don't overlap.
    since, until : float
        Monotonic times at which the first of them started and the last one ended.
    """

    waits: int = 0
    since: float = 0.0
    until: float = field(default=float("-inf"))

    def add(self, started: float, ended: float) -> Evidence:
        """Add a wait that ended without an answer; return what the silence shows."""
        if started - self.until > SILENCE_TTL_SECONDS:
            self.waits = 0
        if not self.waits:
            self.since = started
        if not self.waits or started >= self.until:
            self.waits += 1
            self.until = ended
        silent = self.until - self.since >= UNRESPONSIVE_SECONDS
        return "failure" if silent and self.waits >= MIN_SILENT_WAITS else "none"
