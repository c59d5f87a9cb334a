"""Run policy experiments: ``python -m benchmarks.policy EXPERIMENT ...``."""

import argparse
import os
import shlex
import sys
from concurrent.futures import ProcessPoolExecutor
from pathlib import Path

from benchmarks.policy import report
from benchmarks.policy.experiments import EXPERIMENTS, NORMAL_SHARE, Experiment
from benchmarks.policy.run import run
from benchmarks.policy.traces import Scenario
from benchmarks.policy.variants import Variant


def parse(arguments: list[str] | None = None) -> argparse.Namespace:
    """Return the checked command line."""
    parser = argparse.ArgumentParser(prog="python -m benchmarks.policy")
    parser.add_argument(
        "experiment", nargs="+", choices=[*EXPERIMENTS, "all"], help="what to run"
    )
    parser.add_argument("--seeds", type=int, nargs="+", default=[1, 2, 3])
    parser.add_argument("--only", help="run only variants whose name contains this")
    parser.add_argument("--json", type=Path, help="folder for the results")
    parser.add_argument("--plots", type=Path, help="folder for the plots")
    parser.add_argument("--decisions", action="store_true", help="count the reasons")
    parser.add_argument(
        "--jobs", type=int, default=min(4, os.cpu_count() or 1), help="processes"
    )
    return parser.parse_args(arguments)


def measure(
    scenario: Scenario, variant: Variant, release: float | None
) -> report.Result:
    """Run once and return the result."""
    measures = run(scenario, variant)
    figures = measures.summary(scenario.seconds)
    if release is not None:
        figures["to_normal"] = measures.seconds_to_normal(release, NORMAL_SHARE)
    return {
        "deployment": scenario.deployment.name,
        "scenario": scenario.name,
        "variant": variant.name,
        "seed": scenario.seed,
        "figures": figures,
    }


def run_experiment(
    experiment: Experiment, options: argparse.Namespace, pool: ProcessPoolExecutor
) -> list[report.Result]:
    """Run every scenario, seed and variant of `experiment`."""
    variants = [
        variant
        for variant in experiment.variants
        if not options.only or options.only in variant.name
    ]
    runs = [
        (scenario, variant)
        for seed in options.seeds
        for scenario in experiment.scenarios(seed)
        for variant in variants
    ]
    futures = [
        pool.submit(measure, scenario, variant, experiment.release)
        for scenario, variant in runs
    ]
    results = [future.result() for future in futures]
    return sorted(results, key=lambda r: (r["deployment"], r["scenario"]))


def main(arguments: list[str] | None = None) -> int:
    """Run the command line; return the exit code."""
    options = parse(arguments)
    names = list(EXPERIMENTS) if "all" in options.experiment else options.experiment
    command = shlex.join(["python", "-m", "benchmarks.policy", *sys.argv[1:]])
    with ProcessPoolExecutor(options.jobs) as pool:
        for name in names:
            experiment = EXPERIMENTS[name]
            results = run_experiment(experiment, options, pool)
            merged = report.merge_seeds(results)
            print(f"\n## {name} (seeds {options.seeds})\n")
            print(report.table(merged, experiment.columns), flush=True)
            if options.decisions:
                print(report.table(merged, ["decisions"]))
            if options.json:
                report.write_json(options.json / f"{name}.json", command, results)
            if options.plots:
                report.write_plots(options.plots, name, merged, experiment.columns)
    return 0


if __name__ == "__main__":
    sys.exit(main())
