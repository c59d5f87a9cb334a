"""The data path: what a request and a sample cost, and how much they wait."""

from typing import Any

from benchmarks.capacity.clients import FakeEntry, RunningLoad
from benchmarks.capacity.figures import Figure, Line, fit, slope_figures
from benchmarks.capacity.fleet import ENTRY_NAME, SERVICE, TARGET, Fleet
from benchmarks.capacity.load import LoadReport
from benchmarks.capacity.trial import Spent, Trial, spend

SIDES = 8
RATES = (0.0, 20.0, 67.0, 134.0)
LOT_SIZES = (64, 256, 512)
LOT_TOKENS = (4, 64)
LOTS = 4
GROUP = 8
SATURATING = 64
SIDE_BATCH, SIDE_DISPATCHES = 64, 32
LATENCY_RATE = 20.0
ROLLOUTS = "rollouts"
PAYLOAD = {"prompt": "x" * 200}
REQUEST_PATH = f"/v1/services/{SERVICE}/requests"
REQUEST = {"catalogue_entry": ENTRY_NAME, "payload": PAYLOAD, "timeout": 30.0}
DIRECT = {"id": "direct", "payload": PAYLOAD, "idempotent": True}
ENGINE_FLAGS = ("--model", SERVICE, "--version", 1, "--slots", 256)
ENGINE_FLAGS = (*ENGINE_FLAGS, "--step-seconds", 0.002, "--queue-limit", 256)


def requests(trial: Trial) -> list[Figure]:
    """Measure the processor time of a request and of a sample of a Lot."""
    return _requests(trial) + _samples(trial)


def _requests(trial: Trial) -> list[Figure]:
    with trial.fleet() as fleet:
        sides = _plain(fleet)
        entries, besides = [], []
        for _ in trial.each():
            spent = [_at_rate(trial, fleet, sides, rate) for rate in RATES]
            entries.append(_line([one[0].cpu for one in spent], spent))
            besides.append(_line([_sum(one[1:]) for one in spent], spent))
    note = f"{RATES[1:]} requests/s, {SIDES} sides, 200 B"
    unit = "ms per request"
    return [
        *slope_figures("entry", "CPU per request", unit, entries, note, "idle second"),
        *slope_figures("side", "CPU per request", unit, besides, note, "idle second"),
    ]


def _plain(fleet: Fleet) -> list[str]:
    """Start an entry with sides beside one plain target."""
    fleet.platform()
    sides = fleet.sides(SIDES, fleet.target(), "--capacity", 32)
    fleet.list_sides(sides)
    fleet.entry("entry")
    fleet.wait_connected("entry", len(sides))
    return sides


def _at_rate(trial: Trial, fleet: Fleet, sides: list[str], rate: float) -> list[Spent]:
    names = ["entry", *sides]
    if rate == 0:
        return spend(fleet, names, trial.window)
    address = fleet.address("entry")
    seconds = trial.settle + trial.seconds + 1
    load = RunningLoad(address, REQUEST_PATH, REQUEST, seconds, rate, seed=trial.seed)
    trial.wait()
    spent = spend(fleet, names, trial.window)
    _check(load.report())
    return spent


def _line(costs: list[float], spent: list[list[Spent]]) -> Line:
    """Fit milliseconds a second against requests a second."""
    seconds = [one[0].seconds for one in spent]
    shares = [1000 * cost / time for cost, time in zip(costs, seconds, strict=True)]
    return fit(zip(RATES, shares, strict=True))


def _sum(spent: list[Spent]) -> float:
    return sum(one.cpu for one in spent)


def _check(report: LoadReport) -> None:
    if set(report.statuses) != {"200"}:
        raise RuntimeError(f"not all answered: {report.statuses}")


# --- Lots --------------------------------------------------------------------


def _samples(trial: Trial) -> list[Figure]:
    with trial.fleet() as fleet:
        sides = _engines(fleet)
        by_size: list[list[Line]] = [[], []]
        tokens: list[Line] = []
        for repeat in trial.each():
            costs = [
                _lot_cost(fleet, sides, f"{repeat}-{size}", size, LOT_TOKENS[0])
                for size in LOT_SIZES
            ]
            for role, lines in enumerate(by_size):
                per_role = [cost[role] for cost in costs]
                lines.append(fit(zip(LOT_SIZES, per_role, strict=True)))
            long = _lot_cost(
                fleet, sides, f"{repeat}-long", LOT_SIZES[0], LOT_TOKENS[1]
            )
            per_sample = [costs[0][1] / LOT_SIZES[0], long[1] / LOT_SIZES[0]]
            tokens.append(fit(zip(LOT_TOKENS, per_sample, strict=True)))
    note = f"Lots of {LOT_SIZES} samples of {LOT_TOKENS[0]} tokens, {SIDES} sides"
    chunks = f"{LOT_TOKENS} tokens, lines of 4 tokens"
    unit = "ms per sample"
    return [
        *slope_figures("entry", "CPU per sample", unit, by_size[0], note, "per Lot"),
        *slope_figures("side", "CPU per sample", unit, by_size[1], note, "per Lot"),
        *slope_figures(
            "side", "CPU per token", "ms per token", tokens, chunks, "per sample"
        ),
    ]


def _engines(fleet: Fleet) -> list[str]:
    """Start an entry with sides beside one engine."""
    fleet.platform()
    fleet.put_row(
        ROLLOUTS, {"owner": "bench", "class": "rollout", "services": [SERVICE]}
    )
    target = fleet.standin(TARGET, "engine", *ENGINE_FLAGS)
    flags = ("--target-kind", "engine", "--capacity", 16, "--headroom", 0)
    sides = fleet.sides(SIDES, target, *flags)
    fleet.list_sides(sides)
    fleet.entry("entry")
    fleet.wait_connected("entry", len(sides))
    return sides


def _lot_cost(
    fleet: Fleet, sides: list[str], name: str, size: int, tokens: int
) -> tuple[float, float]:
    """Return milliseconds of the entry and of all sides for one Lot, of several."""

    def post() -> None:
        for number in range(LOTS):
            body = _lot(f"{name}-{number}", size, tokens)
            answer = fleet.call("entry", "POST", "/v1/lots", body)
            if answer["status"] != "complete":
                raise RuntimeError(f"Lot not complete: {answer['status']}")

    entry, *besides = spend(fleet, ["entry", *sides], post)
    return 1000 * entry.cpu / LOTS, 1000 * _sum(besides) / LOTS


def _lot(name: str, size: int, tokens: int) -> dict[str, Any]:
    samples = [
        {
            "sample": f"s-{number}",
            "payload": PAYLOAD | {"number": number},
            "group": f"{name}-{number // GROUP}",
            "max_tokens": tokens,
        }
        for number in range(size)
    ]
    return {
        "trainer": "bench",
        "lot": name,
        "service": SERVICE,
        "catalogue_entry": ROLLOUTS,
        "version": 1,
        "timeout": 60.0,
        "samples": samples,
    }


# --- latency and saturation --------------------------------------------------


def baseline(trial: Trial) -> list[Figure]:
    """Measure added latency, and what one entry and one side do at most."""
    with trial.fleet() as fleet:
        _plain(fleet)
        figures = _latency(trial, fleet)
        figures += _entry_most(trial, fleet)
    return figures + _side_most(trial)


def _latency(trial: Trial, fleet: Fleet) -> list[Figure]:
    """Call the target directly and through the system, in turn."""
    added: dict[str, list[float]] = {"50": [], "99": []}
    direct: dict[str, list[float]] = {"50": [], "99": []}
    for _ in trial.each():
        straight = _timed(trial, fleet.address(TARGET), "/call", DIRECT)
        through = _timed(trial, fleet.address("entry"), REQUEST_PATH, REQUEST)
        for quantile in added:
            base = straight.quantiles[quantile]
            direct[quantile].append(1000 * base)
            added[quantile].append(1000 * (through.quantiles[quantile] - base))
    note = f"{LATENCY_RATE:g} requests/s over 4 connections, on one machine"
    return [
        *(
            Figure("target", f"direct call p{name}", "ms", tuple(values), note)
            for name, values in direct.items()
        ),
        *(
            Figure("entry and side", f"added p{name}", "ms", tuple(values), note)
            for name, values in added.items()
        ),
    ]


def _timed(trial: Trial, address: str, path: str, body: Any) -> LoadReport:
    load = RunningLoad(address, path, body, trial.seconds, LATENCY_RATE, 4, trial.seed)
    report = load.report()
    _check(report)
    return report


def _entry_most(trial: Trial, fleet: Fleet) -> list[Figure]:
    rates, halves, tails = [], [], []
    for _ in trial.each():
        address = fleet.address("entry")
        load = RunningLoad(
            address, REQUEST_PATH, REQUEST, trial.seconds, connections=SATURATING
        )
        report = load.report()
        rates.append(report.statuses.get("200", 0) / report.seconds)
        halves.append(1000 * report.quantiles["50"])
        tails.append(1000 * report.quantiles["99"])
    note = f"{SATURATING} callers without pause, {SIDES} sides"
    return [
        Figure("entry", "most requests", "requests/s", tuple(rates), note),
        Figure("entry", "p50 at the most", "ms", tuple(halves), note),
        Figure("entry", "p99 at the most", "ms", tuple(tails), note),
    ]


def _side_most(trial: Trial) -> list[Figure]:
    """Let one side work off dispatches as fast as it can."""
    rates = []
    with trial.fleet() as fleet:
        fleet.platform()
        fleet.sides(1, fleet.target(), "--capacity", 16, "--queue-limit", 1024)
        entry = FakeEntry(fleet.address("side-0"), "entry")
        for _ in trial.each():
            (spent,) = spend(fleet, ["side-0"], lambda: _work_off(entry))
            rates.append(SIDE_DISPATCHES * SIDE_BATCH / spent.seconds)
        entry.close()
    note = f"dispatches of {SIDE_BATCH}, one entry, plain target"
    return [Figure("side", "most attempts", "attempts/s", tuple(rates), note)]


def _work_off(entry: FakeEntry) -> None:
    """Keep two dispatches at the side until all are done."""
    for _ in range(SIDE_DISPATCHES):
        entry.dispatch(entry.attempts(SIDE_BATCH, payload=PAYLOAD))
        entry.wait_outstanding(SIDE_BATCH)
    entry.wait_outstanding(0)
