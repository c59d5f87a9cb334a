"""The experiments: which variants meet which scenarios, and what is compared."""

from collections.abc import Callable
from dataclasses import dataclass, replace
from typing import Any

from benchmarks.policy.traces import (
    ASSOCIATION,
    DEPLOYMENTS,
    HRAUNBOK,
    Burst,
    Deployment,
    Fault,
    Scenario,
)
from benchmarks.policy.variants import PLAIN, PRODUCT, STRATEGIES, Variant

NORMAL_SHARE = 0.95
"""Share of calls answered in time that counts as full goodput."""


@dataclass(frozen=True)
class Experiment:
    """A set of runs and the columns of its table.

    Attributes
    ----------
    scenarios : callable
        From a seed to the scenarios.
    variants : tuple of Variant
        Each meets every scenario.
    columns : tuple of str
        Figures of the table.
    release : float or None
        When the fault ends; time to normal is measured from there.
    """

    name: str
    scenarios: Callable[[int], list[Scenario]]
    variants: tuple[Variant, ...]
    columns: tuple[str, ...]
    release: float | None = None


def named(name: str, **changes: Any) -> Variant:
    """Return the product with `changes`."""
    return replace(PRODUCT, name=name, **changes)


def base(seed: int) -> list[Scenario]:
    """Return both deployments with a burst, a crash and a slow target."""
    faults = (
        Fault("crash", 90.0, 20.0, index=1),
        Fault("slow", 210.0, 40.0, index=2, factor=4.0),
    )
    bursts = (Burst(140.0, 15.0, 2.5),)
    return [
        Scenario("day and night", deployment, seed, bursts=bursts, faults=faults)
        for deployment in DEPLOYMENTS.values()
    ]


def placements(seed: int) -> list[Scenario]:
    """Return prompt and late load reports, and a slow target."""
    slow = (Fault("slow", 60.0, 300.0, index=1, factor=3.0),)
    prompt = Scenario("reports 0.5 s late", HRAUNBOK, seed)
    late = Scenario("reports 4 s late", HRAUNBOK, seed)
    return [
        prompt,
        late.with_deployment(report_lag=4.0, beat=2.0),
        replace(prompt, name="slow target", faults=slow),
    ]


def affinities(seed: int) -> list[Scenario]:
    """Return a short prompt and one of 2000 tokens, which costs 100 steps."""
    common = Scenario("prompt 400", HRAUNBOK, seed)
    return [common, replace(common, name="prompt 2000", sample_prompt=2000.0)]


def bursts(seed: int) -> list[Scenario]:
    """Return sudden bursts of ordinary callers on top of day and night."""
    sudden = tuple(Burst(at, 20.0, 3.0) for at in (40.0, 120.0, 260.0))
    return [
        Scenario("bursts", deployment, seed, bursts=sudden)
        for deployment in DEPLOYMENTS.values()
    ]


def only_callers(deployment: Deployment, rate: float) -> Deployment:
    """Return `deployment` with nothing but ordinary callers, all of the model."""
    callers = replace(deployment.callers, rate=rate, model_share=1.0)
    return replace(deployment, callers=callers, trainers=())


MODEL_CALLS_AT_FULL_LOAD = 49.0
"""Calls a second that six engines of Hraunbok complete, found by raising the rate."""


def overload(seed: int) -> list[Scenario]:
    """Return ordinary callers at 70% load, at three times that for 20 s."""
    deployment = only_callers(HRAUNBOK, 0.7 * MODEL_CALLS_AT_FULL_LOAD)
    burst = (Burst(60.0, 20.0, 3.0),)
    return [Scenario("overload", deployment, seed, 160.0, 1e9, bursts=burst)]


def failure(seed: int) -> list[Scenario]:
    """Return one of six targets lost at 90% load, in two ways, for 60 s."""
    deployment = only_callers(HRAUNBOK, 0.9 * MODEL_CALLS_AT_FULL_LOAD)
    common = Scenario("", deployment, seed, 200.0, 1e9)
    return [
        replace(common, name="crash", faults=(Fault("crash", 60.0, 60.0),)),
        replace(common, name="errors", faults=(Fault("failing", 60.0, 60.0),)),
    ]


def greedy(seed: int) -> list[Scenario]:
    """Return a trainer that sends five large Lots at once, beside a small one."""
    frames, poses = HRAUNBOK.trainers
    flood = replace(frames, groups=32, ahead=5, weight=1.0, timeout=120.0)
    modest = replace(poses, timeout=120.0)
    deployment = replace(HRAUNBOK, trainers=(flood, modest))
    return [Scenario("greedy trainer", deployment, seed)]


def stragglers(seed: int) -> list[Scenario]:
    """Return both deployments without and with a slow target."""
    slow = (Fault("slow", 60.0, 300.0, index=1, factor=4.0),)
    return [
        replace(Scenario(name, deployment, seed), faults=faults)
        for deployment in DEPLOYMENTS.values()
        for name, faults in (("even targets", ()), ("slow target", slow))
    ]


def drifting(seed: int) -> list[Scenario]:
    """Return lengths that stay and lengths that grow by 2% with each step."""
    steady = Scenario("steady lengths", HRAUNBOK, seed)
    growing = Scenario("growing lengths", HRAUNBOK, seed)
    return [steady, growing.with_deployment(length_drift=0.02)]


def swaps(seed: int) -> list[Scenario]:
    """Return both users with the bounds 0 and 1 on the age of weights."""
    return [
        Scenario(f"bound {bound}", _with_bound(deployment, bound), seed)
        for deployment in (HRAUNBOK, ASSOCIATION)
        for bound in (0, 1)
    ]


def _with_bound(deployment: Deployment, bound: int) -> Deployment:
    trainers = tuple(replace(t, bound=bound) for t in deployment.trainers)
    return replace(deployment, trainers=trainers)


ALL_COLUMNS = (
    "idle",
    "staleness",
    "lots_on_time",
    "lot_p50",
    "lot_p99",
    "call_p50",
    "call_p99",
    "model_p99",
    "calls_ok",
    "prefix_hits",
    "wasted",
)
CALL_COLUMNS = (
    "calls_ok",
    "call_p50",
    "call_p99",
    "attempts",
    "wasted",
    "to_normal",
)
ROLLOUT_COLUMNS = (
    "idle",
    "lot_p50",
    "lot_p99",
    "lots_on_time",
    "model_p99",
    "prefix_hits",
    "wasted",
    "hedges",
)

EXPERIMENTS = {
    experiment.name: experiment
    for experiment in (
        Experiment(
            "overall",
            base,
            (
                PRODUCT,
                named("random placement", placement="random"),
                named("round robin", placement="round_robin"),
                named("no admission", admission=False, preempt=False),
                named("no hedging", hedging=False),
                named("all-at-once swap", width=1.0),
                PLAIN,
            ),
            ALL_COLUMNS,
        ),
        Experiment(
            "placement",
            placements,
            tuple(
                named(name, placement=name)
                for name in (
                    "choose",
                    "random",
                    "round_robin",
                    "least_loaded",
                    "two_choices",
                    "strict_affinity",
                    "cache_events",
                )
            ),
            ROLLOUT_COLUMNS,
        ),
        Experiment(
            "affinity",
            affinities,
            tuple(
                named(name, placement=name)
                for name in STRATEGIES
                if name.startswith("bound") or name == "two_choices"
            ),
            ROLLOUT_COLUMNS,
        ),
        Experiment(
            "classes",
            bursts,
            (
                named("headroom 2, preempting"),
                named("headroom 4, preempting", headroom_interactive=4),
                named("headroom 0, preempting", headroom_interactive=0),
                named("headroom 2 only", preempt=False),
                named("headroom 4 only", headroom_interactive=4, preempt=False),
                named("priority only", headroom_interactive=0, preempt=False),
                named("no admission", admission=False, preempt=False),
            ),
            (
                "call_p50",
                "call_p99",
                "model_p99",
                "calls_ok",
                "idle",
                "lot_p50",
                "lots_on_time",
                "preemptions",
                "wasted",
            ),
        ),
        Experiment(
            "overload",
            overload,
            (
                PRODUCT,
                named("no entry limit", overload=False),
                named("entry limit only", admission=False, preempt=False),
                named("neither", admission=False, preempt=False, overload=False),
                named("no retry budget", budget=False),
                PLAIN,
            ),
            CALL_COLUMNS,
            release=80.0,
        ),
        Experiment(
            "failure",
            failure,
            (
                PRODUCT,
                named("no circuits", circuits=False),
                named("no retry budget", budget=False),
                named("neither", circuits=False, budget=False),
                PLAIN,
            ),
            CALL_COLUMNS,
            release=120.0,
        ),
        Experiment(
            "fairness",
            greedy,
            (PRODUCT, named("no fair share", fair=False), PLAIN),
            ("idle_by_trainer", "steps_by_trainer", "lots_on_time", "lot_p50"),
        ),
        Experiment(
            "stragglers",
            stragglers,
            (
                PRODUCT,
                named("no hedging", hedging=False),
                named("window 1", window=1.0),
                named("window 1.5", window=1.5),
                named("no window", window=0.0),
                named("no window, no hedging", window=0.0, hedging=False),
                named("hedges anywhere", hedge_only_slow=False),
                named("hedges 2%", hedge_ratio=0.02),
                named("hedges 10%", hedge_ratio=0.1),
            ),
            ROLLOUT_COLUMNS,
        ),
        Experiment(
            "prediction",
            drifting,
            tuple(
                named(name, prediction=name)
                for name in (
                    "none",
                    "siblings",
                    "siblings median",
                    "siblings 95%",
                    "time_series",
                    "time_series mean",
                    "oracle",
                )
            ),
            ROLLOUT_COLUMNS,
        ),
        Experiment(
            "swap and callers",
            swaps,
            (
                PRODUCT,
                named("no drain", drain=0.0),
                named("no drain, no hand back", drain=0.0, hand_back=False),
            ),
            ("call_p50", "call_p99", "model_p99", "calls_ok", "idle", "staleness"),
        ),
        Experiment(
            "waves",
            swaps,
            tuple(
                named(f"width {width:.2f}", width=width)
                for width in (0.17, 0.34, 0.5, 1.0)
            ),
            (
                "idle",
                "staleness",
                "lot_p50",
                "lot_p99",
                "model_p99",
                "swap_p100",
                "violations",
            ),
        ),
    )
}
