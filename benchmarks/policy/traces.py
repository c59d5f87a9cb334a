"""Seeded traces: deployments, callers' arrivals, Lots and faults.

Everything random about the load is drawn here from the seed, by identifiers and
not in the order of events, so that every variant of the policy meets the same load.
"""

import math
from dataclasses import dataclass, field, replace
from random import Random

from benchmarks.policy.engine import EngineProfile

MAX_TOKENS = 700.0
PLAIN_SLOTS = 8
PLAIN_STEP = 0.001
"""A plain service's work is counted in milliseconds, as tokens of one each."""


@dataclass(frozen=True)
class TrainerTrace:
    """One trainer.

    Attributes
    ----------
    groups, group_size : int
        Shape of a Lot.
    train_seconds : float
        Time to train on a Lot.
    ahead : int
        Lots in flight at once.
    bound : int
        How many versions older than its own a sample may be.
    timeout : float
        Seconds within which a Lot is wanted.
    weight : float
        Fair-share weight.
    publishes_every : int
        Training steps between two weight versions; 0 for a trainer that follows.
    """

    name: str
    groups: int = 16
    group_size: int = 8
    train_seconds: float = 14.0
    ahead: int = 2
    bound: int = 1
    timeout: float = 60.0
    weight: float = 1.0
    publishes_every: int = 4


@dataclass(frozen=True)
class CallerTrace:
    """Ordinary users of a plain service, of which some go on to the model.

    Attributes
    ----------
    rate : float
        Calls a second by day; half of it by night.
    model_share : float
        Share of the calls that also need a completion from the model.
    """

    service: str
    work_class: str
    idempotent: bool
    rate: float = 30.0
    model_share: float = 0.5
    timeout: float = 8.0
    tokens: float = 64.0
    prompt: float = 300.0
    prefixes: int = 12
    service_milliseconds: float = 40.0
    attempts: int = 3


@dataclass(frozen=True)
class Deployment:
    """One user's services, places and load."""

    name: str
    model: str
    workers: int
    plain_workers: int
    failure_domains: tuple[str, ...]
    callers: CallerTrace
    trainers: tuple[TrainerTrace, ...]
    engine: EngineProfile = field(default_factory=EngineProfile)
    entries: int = 3
    latency: float = 0.0015
    client_latency: float = 0.003
    swap_seconds: float = 5.0
    store_rate: float = 0.5
    store_burst: float = 3.0
    load_failure: float = 0.02
    beat: float = 1.0
    report_lag: float = 0.5
    cache_event_lag: float = 2.0
    cache_event_loss: float = 0.1
    prompts: int = 64
    mean_length: float = 120.0
    straggler_share: float = 0.02
    length_drift: float = 0.0


HRAUNBOK = Deployment(
    name="hraunbok",
    model="judge-llm",
    workers=6,
    plain_workers=3,
    failure_domains=("hall-a", "hall-b", "hall-c"),
    callers=CallerTrace("studio-portal", "interactive", idempotent=True),
    trainers=(
        TrainerTrace("frames", weight=2.0),
        TrainerTrace("poses", groups=8, publishes_every=0),
    ),
)

ASSOCIATION = Deployment(
    name="association",
    model="dispatch-model",
    workers=5,
    plain_workers=3,
    failure_domains=("brisbane-north", "gold-coast", "ipswich"),
    callers=CallerTrace(
        "order-desk",
        "booking",
        idempotent=False,
        rate=24.0,
        timeout=10.0,
        service_milliseconds=60.0,
    ),
    trainers=(
        TrainerTrace("sequences", groups=12, bound=0, ahead=1, timeout=60.0),
        TrainerTrace("returns", groups=6, bound=1, publishes_every=0),
    ),
)

DEPLOYMENTS = {d.name: d for d in (HRAUNBOK, ASSOCIATION)}


@dataclass(frozen=True)
class Call:
    """One call of an ordinary user."""

    time: float
    number: int
    milliseconds: float
    model: bool
    tokens: float
    prefix: str


@dataclass(frozen=True)
class Fault:
    """Something that goes wrong with target `index` of `service`.

    Attributes
    ----------
    kind : str
        ``crash``, ``failing`` (answers errors at once) or ``slow``.
    """

    kind: str
    time: float
    seconds: float
    index: int = 0
    service: str = "model"
    factor: float = 1.0


@dataclass(frozen=True)
class Burst:
    """The callers' rate is multiplied for a while."""

    time: float
    seconds: float
    factor: float


@dataclass(frozen=True)
class Scenario:
    """A deployment under a load, with faults.

    Attributes
    ----------
    day : float
        Seconds of a day; its second half is night, at half the callers' rate.
    """

    name: str
    deployment: Deployment
    seed: int
    seconds: float = 400.0
    day: float = 400.0
    sample_prompt: float = 400.0
    bursts: tuple[Burst, ...] = ()
    faults: tuple[Fault, ...] = ()
    _cache: dict[str, list[Call]] = field(default_factory=dict, compare=False)

    def with_deployment(self, **changes: object) -> "Scenario":
        """Return a copy whose deployment differs in `changes`."""
        deployment = replace(self.deployment, **changes)  # type: ignore[arg-type]
        return replace(self, deployment=deployment, _cache={})

    def calls(self) -> list[Call]:
        """Return the callers' arrivals: a Poisson process of varying rate."""
        if "calls" not in self._cache:
            self._cache["calls"] = list(self._draw_calls())
        return self._cache["calls"]

    def _draw_calls(self) -> list[Call]:
        random = Random(f"{self.seed}/calls")
        callers = self.deployment.callers
        most = callers.rate * max([1.0, *(b.factor for b in self.bursts)])
        calls, now = [], 0.0
        while (now := now + random.expovariate(most)) < self.seconds:
            accepted = random.random() * most < self.rate_at(now)
            call = Call(
                time=now,
                number=len(calls),
                milliseconds=_lognormal(random, callers.service_milliseconds, 0.4),
                model=random.random() < callers.model_share,
                tokens=max(4.0, _lognormal(random, callers.tokens, 0.4)),
                prefix=f"page-{random.randrange(callers.prefixes)}",
            )
            if accepted:
                calls.append(call)
        return calls

    def rate_at(self, now: float) -> float:
        """Return the callers' rate at `now`."""
        night = now % self.day >= self.day / 2
        rate = self.deployment.callers.rate * (0.5 if night else 1.0)
        for burst in self.bursts:
            if burst.time <= now < burst.time + burst.seconds:
                rate *= burst.factor
        return rate

    def lot(self, trainer: TrainerTrace, step: int) -> list["SampleTrace"]:
        """Return the samples of a trainer's Lot number `step`."""
        random = Random(f"{self.seed}/{trainer.name}/{step}")
        chosen = random.sample(range(self.deployment.prompts), trainer.groups)
        samples = []
        for prompt in chosen:
            group = f"{trainer.name}-{prompt}"
            mean = self._prompt_mean(group) * (1 + self.deployment.length_drift * step)
            for member in range(trainer.group_size):
                length = _lognormal(random, mean, 0.35)
                if random.random() < self.deployment.straggler_share:
                    length *= random.uniform(2.5, 5.0)
                length = min(MAX_TOKENS, max(8.0, length))
                samples.append(SampleTrace(f"{group}-{member}", group, length))
        return samples

    def _prompt_mean(self, group: str) -> float:
        random = Random(f"{self.seed}/{group}")
        return _lognormal(random, self.deployment.mean_length, 0.6)


@dataclass(frozen=True)
class SampleTrace:
    """One sample: its group and the length that it turns out to have."""

    name: str
    group: str
    tokens: float


def _lognormal(random: Random, mean: float, sigma: float) -> float:
    return random.lognormvariate(math.log(mean) - sigma * sigma / 2, sigma)
