"""The history checker: judges a run by what the stand-ins recorded of it.

Callers and trainers record each submission and its end, engines and plain services
what they executed, and the fault injector what it did. Nothing written by the code
under test is read. All processes of a run are on one machine, so that their times
can be compared.

Examples
--------
>>> events = read(folder)  # doctest: +SKIP
>>> [violation.rule for violation in check(events)]  # doctest: +SKIP
[]
"""

from collections import Counter, defaultdict
from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass, field
from functools import cached_property
from itertools import pairwise
from pathlib import Path
from typing import Any, TypeVar

import msgspec

from standins.history import digest, token
from standins.recording import NOT_SENT

LEAVING_SECONDS = 3.0
PLANNED = "stop"
ENDED_LOT = "LotAnswered"


# --- what is recorded ---------------------------------------------------------


class Event(msgspec.Struct, frozen=True, kw_only=True, tag_field="event"):
    """Base of the records: when, and by or about which process."""

    time: float
    process: str


class ExecuteStart(Event, frozen=True, kw_only=True, tag="execute_start"):
    """A target began a request; `digest` is of the request's payload."""

    id: str
    digest: str


class ExecuteTokens(Event, frozen=True, kw_only=True, tag="execute_tokens"):
    """An engine generated the tokens `start` to `end` with one version."""

    digest: str
    version: int
    start: int
    end: int


class ExecuteEnd(Event, frozen=True, kw_only=True, tag="execute_end"):
    """A target ended a request whole."""

    id: str
    digest: str


class Invoke(Event, frozen=True, kw_only=True, tag="invoke"):
    """A caller submits a request, or a trainer a Lot (`samples` not empty).

    Attributes
    ----------
    id : str
        Of this submission; the same in its `Response`.
    entry : str
        The entry it was sent to, where just one was.
    tokens : int
        Tokens asked for; 0 at a plain service.
    samples : dict
        Digest of each sample, and in `sizes` the tokens asked for.
    """

    id: str = ""
    digest: str = ""
    idempotent: bool = True
    key: str = ""
    entry: str = ""
    tokens: int = 0
    lot: str = ""
    version: int | None = None
    bound: int = 0
    samples: dict[str, str] = {}
    sizes: dict[str, int] = {}


class Span(msgspec.Struct, frozen=True):
    """A range of tokens and the version said to have produced them."""

    version: int
    start: int
    end: int


class Ended(msgspec.Struct, frozen=True):
    """An outcome as a caller got it."""

    payload: Any = None
    versions: list[Span] = []
    target: str = ""
    reason: str = ""
    warning: str = ""
    started: bool = False
    retry_after: float = 0.0


class Response(Event, frozen=True, kw_only=True, tag="response"):
    """The end of a submission.

    `kind` is the outcome's class, ``Lost`` where no whole answer came, or
    ``NotSent`` where the caller could not reach the entry.
    """

    id: str = ""
    kind: str
    lot: str = ""
    outcome: Ended = Ended()


class Sample(Event, frozen=True, kw_only=True, tag="sample"):
    """A trainer received one sample of a Lot."""

    lot: str
    sample: str
    kind: str
    outcome: Ended


class Leave(Event, frozen=True, kw_only=True, tag="leave"):
    """A side was told to leave; `target` is beside it."""

    target: str


class Fault(Event, frozen=True, kw_only=True, tag="fault"):
    """A fault at a process began; ``stop`` is a planned stop."""

    kind: str


class Healed(Event, frozen=True, kw_only=True, tag="healed"):
    """The faults at a process ended: it was started again, woken or healed."""


class Exited(Event, frozen=True, kw_only=True, tag="exited"):
    """A process ended by itself after a planned stop."""

    code: int
    target: str = ""


class Accepted(Event, frozen=True, kw_only=True, tag="catalogue_accepted"):
    """An edit of a catalogue entry was answered as accepted."""

    name: str
    revision: int


class Seen(Event, frozen=True, kw_only=True, tag="catalogue_seen"):
    """A process said which revision it has in force, of a row or in all."""

    incarnation: str
    revision: int
    asked: float
    name: str = ""


AnyEvent = (
    ExecuteStart
    | ExecuteTokens
    | ExecuteEnd
    | Invoke
    | Response
    | Sample
    | Leave
    | Fault
    | Healed
    | Exited
    | Accepted
    | Seen
)
KNOWN = {kind.__struct_config__.tag for kind in AnyEvent.__args__}
E = TypeVar("E", bound=Event)


class _Named(msgspec.Struct):
    event: str


def read(folder: Path) -> list[Event]:
    """Return the events of all history files in `folder`, in order of time."""
    lines = (
        line
        for path in sorted(folder.glob("*.jsonl"))
        for line in path.read_bytes().splitlines()
    )
    events = [
        msgspec.json.decode(line, type=AnyEvent)
        for line in lines
        if msgspec.json.decode(line, type=_Named).event in KNOWN
    ]
    return sorted(events, key=lambda event: event.time)


# --- the history as the rules look at it --------------------------------------


@dataclass(frozen=True, slots=True)
class Submission:
    """One submission with its end; `response` is ``None`` where none came."""

    invoke: Invoke
    response: Response | None

    @property
    def kind(self) -> str:
        """How it ended."""
        return self.response.kind if self.response else ""

    @property
    def until(self) -> float:
        """When it ended."""
        return self.response.time if self.response else float("inf")

    @property
    def told_not_run(self) -> bool:
        """Whether its caller knows that it did not run."""
        if self.kind == "Expired":
            return not self.response.outcome.started
        return self.kind in ("NotRun", NOT_SENT)


@dataclass(frozen=True)
class History:
    """Events, with what the rules ask of them."""

    events: list[Event] = field(default_factory=list)

    def of(self, kind: type[E]) -> list[E]:
        """Return the events of one kind."""
        return [event for event in self.events if isinstance(event, kind)]

    @cached_property
    def submissions(self) -> list[Submission]:
        """Every submission of a request or a Lot."""
        ends = {_name(event): event for event in self.of(Response)}
        return [Submission(one, ends.get(_name(one))) for one in self.of(Invoke)]

    @cached_property
    def requests(self) -> dict[str, list[Submission]]:
        """Submissions of ordinary requests, by digest."""
        return _grouped((one.invoke.digest, one) for one in self.submissions)

    @cached_property
    def by_sample(self) -> dict[str, list[Submission]]:
        """Submissions of Lots, by the digest of each sample."""
        return _grouped(
            (own, one)
            for one in self.submissions
            for own in one.invoke.samples.values()
        )

    @cached_property
    def starts(self) -> dict[str, list[ExecuteStart]]:
        """Executions begun, by digest."""
        return _grouped((event.digest, event) for event in self.of(ExecuteStart))

    @cached_property
    def produced(self) -> dict[str, set[tuple[int, int]]]:
        """Pairs of position and version that engines recorded, by digest."""
        found: dict[str, set[tuple[int, int]]] = defaultdict(set)
        for event in self.of(ExecuteTokens):
            positions = range(event.start, event.end)
            found[event.digest].update((each, event.version) for each in positions)
        return found

    def answers(self) -> Iterator[tuple[str, int, Invoke, Ended]]:
        """Return digest, size, submission and outcome of each completed answer."""
        lots = {}
        for one in self.submissions:
            if one.invoke.lot:
                lots[one.invoke.process, one.invoke.lot] = one.invoke
            elif one.kind == "Completed":
                invoke = one.invoke
                yield invoke.digest, invoke.tokens, invoke, one.response.outcome
        for event in self.of(Sample):
            invoke = lots.get((event.process, event.lot))
            if invoke and event.kind == "Completed" and event.sample in invoke.samples:
                own = invoke.samples[event.sample]
                yield own, invoke.sizes[event.sample], invoke, event.outcome


def _name(event: Invoke | Response) -> tuple[str, str, str]:
    return event.process, event.id, event.lot


def _grouped(pairs: Iterable[tuple[str, Any]]) -> dict[str, list[Any]]:
    groups: dict[str, list[Any]] = defaultdict(list)
    for key, value in pairs:
        if key:
            groups[key].append(value)
    return groups


# --- the rules ----------------------------------------------------------------


@dataclass(frozen=True, slots=True)
class Violation:
    """A rule that the history breaks, and where."""

    rule: str
    detail: str


Rule = Callable[[History], Iterator[str]]


def ended(history: History) -> Iterator[str]:
    """Every submission ends: it is answered, or its caller saw the call fail."""
    for one in history.submissions:
        if one.response is None:
            yield f"{one.invoke.process} {one.invoke.id or one.invoke.lot}"


def whole_answers(history: History) -> Iterator[str]:
    """A completed answer is the whole answer to its own request."""
    for own, size, _, outcome in history.answers():
        if not _is_own(own, size, outcome.payload):
            yield f"request {own} got {str(outcome.payload)[:200]}"


def _is_own(own: str, size: int, payload: Any) -> bool:
    if size:
        return payload == {"tokens": [token(own, place) for place in range(size)]}
    if not isinstance(payload, dict) or payload.get("digest") != own:
        return False
    return digest(payload.get("echo")) == own


def true_versions(history: History) -> Iterator[str]:
    """An answer names for each token a version that an engine produced it with."""
    for own, size, _, outcome in history.answers():
        claimed = [
            (place, span.version)
            for span in outcome.versions
            for place in range(span.start, span.end)
        ]
        if [place for place, _ in claimed] != list(range(size)):
            yield f"request {own}: {outcome.versions} for {size} tokens"
        elif not set(claimed) <= history.produced[own]:
            yield f"request {own}: {outcome.versions} not as recorded"


def fresh_weights(history: History) -> Iterator[str]:
    """No answer comes from weights older than its caller's bound."""
    for own, _, invoke, outcome in history.answers():
        if invoke.version is None:
            continue
        oldest = invoke.version - invoke.bound
        for span in outcome.versions:
            if span.version < oldest:
                yield f"request {own}: version {span.version} under {oldest}"


def delivered_once(history: History) -> Iterator[str]:
    """Each sample reaches its trainer at most once, over all submissions."""
    received = Counter(
        (event.process, event.lot, event.sample) for event in history.of(Sample)
    )
    for sample, count in received.items():
        if count > 1:
            yield f"{sample} received {count} times"


def whole_lots(history: History) -> Iterator[str]:
    """A Lot answered as complete holds an answer for each of its samples."""
    received = defaultdict(set)
    for event in history.of(Sample):
        if event.kind in ("Completed", "Failed"):
            received[event.process, event.lot].add(event.sample)
    for one in history.submissions:
        invoke = one.invoke
        if one.kind == ENDED_LOT:
            missing = set(invoke.samples) - received[invoke.process, invoke.lot]
            if missing:
                yield f"{invoke.lot} without {sorted(missing)}"


def not_run(history: History) -> Iterator[str]:
    """What callers were told was not run did not run, then or later.

    Each execution must be explained by a submission that was made before it and
    whose caller was not told that it did not run.
    """
    for own, starts in history.starts.items():
        submissions = history.requests.get(own, []) + history.by_sample.get(own, [])
        for start in starts:
            if not any(_explains(one, start) for one in submissions):
                kinds = [one.kind for one in submissions]
                yield f"request {own} ran at {start.process} but was told {kinds}"


def _explains(one: Submission, start: ExecuteStart) -> bool:
    return one.invoke.time <= start.time and not one.told_not_run


def not_run_for_key(history: History) -> Iterator[str]:
    """A refusal without a warning holds for the key's earlier submissions too."""
    for own, submissions in history.requests.items():
        for one in submissions:
            said_so = one.told_not_run and one.kind != NOT_SENT
            if not said_so or one.response.outcome.warning:
                continue
            starts = history.starts.get(own, [])
            if any(start.time < one.invoke.time for start in starts):
                yield f"request {own} had run before {one.invoke.id} was told it hadn't"


def at_most_once(history: History) -> Iterator[str]:
    """A non-idempotent request runs at most once, over all its submissions."""
    for own, submissions in history.requests.items():
        if submissions[0].invoke.idempotent:
            continue
        starts = history.starts.get(own, [])
        if len(starts) > 1:
            yield f"request {own} ran at {[start.process for start in starts]}"


def completed_ran(history: History) -> Iterator[str]:
    """What was answered as completed had run."""
    for own, _, invoke, _ in history.answers():
        if own not in history.starts:
            yield f"request {own} of {invoke.process} never ran"


def leaving(history: History) -> Iterator[str]:
    """A target whose side was told to leave gets no new work after seconds."""
    until: dict[str, float] = {}
    for event in history.events:
        if isinstance(event, Leave):
            until.setdefault(event.target, event.time + LEAVING_SECONDS)
        elif isinstance(event, Healed):
            until.pop(f"target-{event.process}", None)
        elif isinstance(event, ExecuteStart):
            late = event.time - until.get(event.process, float("inf"))
            if late > 0:
                yield f"{event.process} began {event.digest} {late:.1f} s late"


def planned_stop(history: History) -> Iterator[str]:
    """A planned stop ends with code 0 and cuts no request in flight.

    Submissions that another fault overlaps are left out, as it may be the cause.
    """
    for stop, exit_ in _stops(history):
        if exit_.code:
            yield f"{stop.process} exited with {exit_.code}"
        for one in history.submissions:
            overlaps = one.invoke.time < exit_.time and one.until > stop.time
            if overlaps and _is_cut(one, stop, exit_, history):
                yield f"{stop.process} cut {one.invoke.id} ({one.kind})"


def _stops(history: History) -> Iterator[tuple[Fault, Exited]]:
    begun: dict[str, Fault] = {}
    for event in history.events:
        if isinstance(event, Fault) and event.kind == PLANNED:
            begun[event.process] = event
        elif isinstance(event, Exited) and event.process in begun:
            yield begun.pop(event.process), event


def _is_cut(one: Submission, stop: Fault, exit_: Exited, history: History) -> bool:
    if one.kind not in ("Lost", "Unknown") or _faulty(one, history):
        return False
    at_entry = one.invoke.entry == stop.process
    starts = history.starts.get(one.invoke.digest, [])
    return at_entry or any(start.process == exit_.target for start in starts)


def _faulty(one: Submission, history: History) -> bool:
    """Tell whether an unplanned fault was in force during a submission."""
    begun: dict[str, float] = {}
    for event in history.events:
        if isinstance(event, Fault) and event.kind != PLANNED:
            begun.setdefault(event.process, event.time)
        elif isinstance(event, Healed):
            since = begun.pop(event.process, float("inf"))
            if since < one.until and event.time > one.invoke.time:
                return True
    return any(since < one.until for since in begun.values())


def catalogue_forward(history: History) -> Iterator[str]:
    """No process goes back to an earlier revision of the catalogue."""
    seen = _grouped(
        (f"{event.process} {event.incarnation} {event.name}", event)
        for event in history.of(Seen)
    )
    for who, events in seen.items():
        for earlier, later in pairwise(events):
            if later.revision < earlier.revision and later.asked > earlier.time:
                yield f"{who}: {earlier.revision}, then {later.revision}"


def catalogue_in_force(history: History) -> Iterator[str]:
    """After an edit was accepted, no process follows an earlier revision."""
    accepted: dict[str, Accepted] = {}
    for event in sorted(history.events, key=_asked):
        if isinstance(event, Accepted):
            known = accepted.get(event.name)
            if known is None or event.revision > known.revision:
                accepted[event.name] = event
        elif isinstance(event, Seen):
            edit = accepted.get(event.name)
            if edit and event.revision < edit.revision:
                yield f"{event.process}: {event.revision} after {edit.revision}"


def _asked(event: Event) -> float:
    return event.asked if isinstance(event, Seen) else event.time


RULES: tuple[Rule, ...] = (
    ended,
    whole_answers,
    true_versions,
    fresh_weights,
    delivered_once,
    whole_lots,
    not_run,
    not_run_for_key,
    at_most_once,
    completed_ran,
    leaving,
    planned_stop,
    catalogue_forward,
    catalogue_in_force,
)


def check(events: list[Event]) -> list[Violation]:
    """Return what in `events` breaks a rule, by the rules' names."""
    history = History(events)
    return [
        Violation(rule.__name__, detail) for rule in RULES for detail in rule(history)
    ]
