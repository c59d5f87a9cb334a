"""Execution at a side: admitted attempts, run by a fixed number of tasks.

The ledger decides whether an attempt may run, the admission queue when, and an
executor task runs it at the target and reports its one outcome to the ledger.
"""

import logging
import threading
from collections.abc import Iterable
from dataclasses import dataclass

from wigeonfront.clock import Clock
from wigeonfront.coordination.ledger import Admitted, AttemptLedger
from wigeonfront.logs import event
from wigeonfront.messages import Attempt
from wigeonfront.outcomes import (
    Completed,
    Expired,
    Failed,
    Interrupted,
    NotRun,
    Outcome,
    Unknown,
)
from wigeonfront.policy.admission import AdmissionItem, AdmissionQueue
from wigeonfront.side.target import PREEMPTED, UNREACHABLE, Run, Target
from wigeonfront.supervisor import BrokenInvariant

logger = logging.getLogger(__name__)

TAKE_SECONDS = 0.5
VERSION_RETRY_SECONDS = 2.0
RETRY_SECONDS = 1.0


@dataclass(frozen=True, slots=True)
class TargetCondition:
    """What the side knows of its target.

    Attributes
    ----------
    version : int
        Weight version served; -1 for a plain service or unusable weights.
    serving : bool
        ``False`` while the target takes no work.
    """

    version: int = -1
    serving: bool = True


class Execution:
    """The attempts queued and running at one side.

    Parameters
    ----------
    queue : AdmissionQueue
    target : Target
    clock : Clock
    generates : bool
        The target is a model engine.

    Attributes
    ----------
    unreachable : threading.Event
        Set when a run found that nothing listens at the target's address.
    """

    def __init__(
        self, queue: AdmissionQueue, target: Target, clock: Clock, generates: bool
    ) -> None:
        self._queue = queue
        self._target = target
        self._clock = clock
        self._generates = generates
        self._ledger: AttemptLedger | None = None
        self._lock = threading.Lock()
        self._runs: dict[str, Run] = {}
        self._condition = TargetCondition()
        self._serving = threading.Event()
        self._serving.set()
        self._closed = threading.Event()
        self.unreachable = threading.Event()

    @property
    def condition(self) -> TargetCondition:
        """What is known of the target."""
        return self._condition

    @condition.setter
    def condition(self, condition: TargetCondition) -> None:
        self._condition = condition
        if condition.serving:
            self._serving.set()
            self.release()
        else:
            self._serving.clear()
            self.hold("not_serving")

    @property
    def in_flight(self) -> int:
        """Attempts queued and running."""
        with self._lock:
            return len(self._runs)

    @property
    def urgent_running(self) -> int:
        """Interactive and booking attempts at the target."""
        return self._queue.urgent_running

    def connect(self, ledger: AttemptLedger) -> None:
        """Set the ledger to which outcomes go; called once while building."""
        self._ledger = ledger

    def admit(self, attempt: Attempt) -> NotRun | None:
        """Queue `attempt`, or say why not; the ledger calls it under its lock."""
        if attempt.min_version > self._condition.version and self._generates:
            return NotRun("version_behind", VERSION_RETRY_SECONDS)
        deadline = self._clock.monotonic() + attempt.remaining
        refusal = self._offer(Run.of(attempt, deadline))
        if refusal is not None:
            self._forget(attempt.attempt)
        return refusal

    def again(self, admissions: Iterable[Admitted]) -> None:
        """Queue runs that the ledger wants made again."""
        for admitted in admissions:
            name = admitted.attempt.attempt
            refusal = self._offer(Run.of(admitted.attempt, admitted.deadline))
            if refusal is not None:
                self._finish(name, refusal)
                self._forget(name)

    def expired(self, item: AdmissionItem, outcome: Expired) -> None:
        """Tell the ledger that `item` expired while waiting."""
        self._finish(item.id, _as_begun(item.payload, outcome))
        self._forget(item.id)

    def stop_runs(self, names: Iterable[str], reason: str = "cancelled") -> None:
        """Stop runs that nobody waits for any more."""
        for name in names:
            if self._queue.cancel(name) == "queued":
                self._forget(name)
                continue
            with self._lock:
                run = self._runs.get(name)
                if run is not None:
                    run.cancel(reason)

    def hold(self, reason: str) -> None:
        """Refuse interactive and booking work, and send back what of it waits."""
        for item in self._queue.hold_urgent(reason):
            self._finish(item.id, NotRun(reason, 0.0))
            self._forget(item.id)

    def hand_back(self, reason: str) -> None:
        """Take nothing more, and send back all that waits, to go on elsewhere."""
        self._closed.set()
        for item in self._queue.close():
            not_run = NotRun(reason, RETRY_SECONDS)
            self._finish(item.id, _as_begun(item.payload, not_run))
            self._forget(item.id)

    def release(self) -> None:
        """Take all classes again."""
        self._queue.release_urgent()

    def run(self, stop: threading.Event) -> None:
        """Run attempts one after the other until `stop` (a supervisor's task).

        It also ends once all that waited was handed back.
        """
        while not stop.is_set() and not self._closed.is_set():
            if self._serving.wait(TAKE_SECONDS):
                self.step(TAKE_SECONDS)

    def step(self, timeout: float) -> bool:
        """Run the next attempt, waiting for it at most `timeout` seconds.

        Returns
        -------
        bool
            Whether there was one.
        """
        item = self._queue.take(timeout)
        if item is not None:
            self._execute(item)
        return item is not None

    def _offer(self, run: Run) -> NotRun | None:
        """Queue a run; where it is refused, the caller has it forgotten."""
        attempt = run.attempt
        item = AdmissionItem(
            id=attempt.attempt,
            work_class=attempt.work_class,
            deadline=run.deadline,
            tokens=self._tokens(run),
            trainer=attempt.trainer,
            idempotent=attempt.idempotent,
            payload=run,
        )
        with self._lock:
            self._runs[attempt.attempt] = run
        decision = self._queue.offer(item)
        admitted = not isinstance(decision, NotRun)
        event(
            logger,
            "admitted" if admitted else "refused",
            request=attempt.request,
            attempt=attempt.attempt,
            reason=decision.reason,
            **(decision.figures if admitted else {"work_class": attempt.work_class}),
        )
        if not admitted:
            return decision
        for yielding in decision.preempt:
            self._preempt(yielding)
        return None

    def _preempt(self, item: AdmissionItem) -> None:
        run: Run = item.payload
        event(logger, "preempted", request=run.attempt.request, attempt=item.id)
        run.cancel(PREEMPTED)

    def _execute(self, item: AdmissionItem) -> None:
        run: Run = item.payload
        if not run.started and not self._ledger.start(item.id):
            self._queue.finished(item)
            self._forget(item.id)
            return
        outcome = self._run_target(run)
        run.started = True
        if getattr(outcome, "reason", "") == UNREACHABLE:
            self.unreachable.set()
        produced = _tokens_of(outcome) if self._generates else 1.0
        self._queue.finished(item, produced if _measures(outcome) else None)
        if self._resumes_here(run, outcome):
            return
        self._finish(item.id, outcome)
        self._forget(item.id)
        event(
            logger,
            "ran",
            request=run.attempt.request,
            attempt=item.id,
            outcome=type(outcome).__name__,
            reason=getattr(outcome, "reason", ""),
            tokens=len(run.tokens),
        )

    def _run_target(self, run: Run) -> Outcome:
        try:
            outcome = self._target.run(run)
        except BrokenInvariant:
            raise
        except Exception:
            # The attempt's end must reach the ledger whatever went wrong here.
            logger.exception("event=target_failed attempt=%s", run.attempt.attempt)
            outcome = Unknown("side_error")
        outcome = _as_begun(run, outcome)
        if isinstance(outcome, Interrupted) and not run.attempt.idempotent:
            return Unknown(outcome.reason)
        return outcome

    def _resumes_here(self, run: Run, outcome: Outcome) -> bool:
        """Queue a preempted run again, with the tokens that it has."""
        if not isinstance(outcome, Interrupted) or outcome.reason != PREEMPTED:
            return False
        with self._lock:
            if run.reason != PREEMPTED:
                # Nobody waits for it any more.
                return False
            run.cancelled.clear()
        return self._offer(run) is None

    def _finish(self, name: str, outcome: Outcome) -> None:
        self.again(self._ledger.finish(name, outcome))

    def _forget(self, name: str) -> None:
        with self._lock:
            self._runs.pop(name, None)

    def _tokens(self, run: Run) -> float:
        if not self._generates:
            return 1.0
        return max(1.0, run.attempt.max_tokens - len(run.tokens))


def _as_begun(run: Run, outcome: Outcome) -> Outcome:
    """Return `outcome`, without saying that a run did not begin that has before."""
    if not run.started:
        return outcome
    if isinstance(outcome, Expired):
        return Expired(started=True, retry_after=outcome.retry_after)
    if isinstance(outcome, NotRun):
        return run.interrupted(outcome.reason)
    return outcome


def _tokens_of(outcome: Outcome) -> float:
    if isinstance(outcome, Completed):
        return float(len(outcome.payload["tokens"]))
    return 0.0


def _measures(outcome: Outcome) -> bool:
    return isinstance(outcome, Completed | Failed)
