"""Dispatch: from one piece of work to an attempt at a side.

`Work` is a request or a sample of a Lot while the entry answers for it. The
dispatcher places it, logs the decision with the figures that it was made from,
and sends the attempt through the side's peer.
"""

import itertools
import logging
import random
from dataclasses import dataclass, field
from typing import Any

from wigeonfront.clock import Clock
from wigeonfront.entry.directory import Directory
from wigeonfront.entry.peers import Identity, Sink
from wigeonfront.logs import event
from wigeonfront.messages import Attempt, WorkClass, to_span_frames
from wigeonfront.outcomes import Interrupted, NotRun, VersionSpan
from wigeonfront.policy.placement import (
    Placed,
    PlacementRequest,
    Refused,
    SideView,
    Strategy,
    choose,
)

logger = logging.getLogger(__name__)


@dataclass(slots=True)
class Work:
    """A request or a sample, and what has been tried for it.

    Attributes
    ----------
    deadline : float
        Reading of the monotonic clock.
    tried : set of str
        Sides that ended an attempt without an answer.
    attempts : int
        Attempts made so far.
    may_have_run : bool
        Some attempt ended without proof that it did not run.
    prior, prior_versions : tuple
        Tokens kept from an interrupted attempt, and their versions.
    """

    request: str
    service: str
    payload: Any
    work_class: WorkClass
    deadline: float
    idempotent: bool = True
    key: str = ""
    epoch: int = 0
    unsent_at: int = 0
    trainer: str = ""
    prefix: str = ""
    max_tokens: int = 64
    min_version: int = -1
    tried: set[str] = field(default_factory=set)
    attempts: int = 0
    may_have_run: bool = False
    prior: tuple[Any, ...] = ()
    prior_versions: tuple[VersionSpan, ...] = ()

    def keep_prior(self, outcome: Interrupted) -> None:
        """Keep what an interrupted attempt produced, if it is more than before.

        Tokens from weights that are too old may come from a run that was joined, and
        whatever resumed from them would be thrown away at its end.
        """
        fresh = all(span.version >= self.min_version for span in outcome.versions)
        if fresh and len(outcome.tokens) > len(self.prior):
            self.prior = outcome.tokens
            self.prior_versions = outcome.versions


class Dispatcher:
    """Places work and sends its attempts.

    Parameters
    ----------
    directory : Directory
    identity : Identity
        Of this entry; part of each attempt's name.
    clock : Clock
    failure_domain : str
        Where this entry stands.
    strategy : Strategy
        How a side is chosen.
    """

    def __init__(
        self,
        directory: Directory,
        identity: Identity,
        clock: Clock,
        failure_domain: str,
        strategy: Strategy = choose,
    ) -> None:
        self._directory = directory
        self._identity = identity
        self._clock = clock
        self._failure_domain = failure_domain
        self._strategy = strategy
        self._random = random.Random()
        self._numbers = itertools.count(1)

    def place(
        self,
        work: Work,
        excluded: frozenset[str] = frozenset(),
        views: list[SideView] | None = None,
    ) -> Placed | Refused:
        """Choose a side for `work` and log why.

        Parameters
        ----------
        work : Work
        excluded : frozenset of str
            Sides that may not be chosen.
        views : list of SideView, optional
            The service's sides, where several are placed at once; read if left out.
        """
        request = PlacementRequest(
            request=work.request,
            service=work.service,
            work_class=work.work_class,
            prefix=work.prefix,
            tokens=max(1, work.max_tokens - len(work.prior)),
            min_version=work.min_version,
            failure_domain=self._failure_domain,
            excluded=excluded,
            key=work.key,
        )
        if views is None:
            views = self._directory.views(work.service)
        decision = self._strategy(request, views, self._random)
        side = decision.side if isinstance(decision, Placed) else "-"
        event(
            logger,
            "placed" if isinstance(decision, Placed) else "not_placed",
            request=work.request,
            service=work.service,
            side=side,
            reason=decision.reason,
            attempt=work.attempts + 1,
            **decision.figures,
        )
        return decision

    def attempt(self, work: Work) -> Attempt:
        """Return a new attempt of `work`, under a name that is never used again."""
        work.attempts += 1
        number = next(self._numbers)
        return Attempt(
            attempt=f"{self._identity.name}.{self._identity.incarnation}.{number}",
            request=work.request,
            payload=work.payload,
            idempotent=work.idempotent,
            key=work.key,
            epoch=work.epoch,
            unsent_at=work.unsent_at,
            work_class=work.work_class,
            trainer=work.trainer,
            remaining=max(0.001, work.deadline - self._clock.monotonic()),
            min_version=work.min_version,
            prefix=work.prefix,
            max_tokens=work.max_tokens,
            prior=list(work.prior),
            prior_versions=to_span_frames(work.prior_versions),
        )

    def send(self, side: str, attempts: list[Attempt], sink: Sink) -> None:
        """Send `attempts` to `side`; each gets one outcome at `sink`."""
        peer = self._directory.reach(side)
        if peer is None:
            for attempt in attempts:
                sink.put(attempt.attempt, NotRun("side_gone", 0.0), side)
            return
        peer.dispatch(attempts, sink)

    def cancel(self, side: str, attempts: list[str]) -> None:
        """Tell `side` that nobody waits for `attempts`."""
        peer = self._directory.peer(side)
        if peer is not None:
            peer.cancel(attempts)
