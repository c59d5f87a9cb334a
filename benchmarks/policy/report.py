"""Results as JSON, as a table and as plots."""

import json
import math
from collections import defaultdict
from collections.abc import Sequence
from pathlib import Path
from typing import Any

Result = dict[str, Any]


def merge_seeds(results: Sequence[Result]) -> list[Result]:
    """Return the mean over seeds of each scenario and variant."""
    cells: defaultdict[tuple[str, str, str], list[Result]] = defaultdict(list)
    for result in results:
        key = (result["deployment"], result["scenario"], result["variant"])
        cells[key].append(result["figures"])
    return [
        {
            "deployment": deployment,
            "scenario": scenario,
            "variant": variant,
            "figures": _mean_of(figures),
        }
        for (deployment, scenario, variant), figures in cells.items()
    ]


def _mean_of(figures: list[Any]) -> Any:
    first = figures[0]
    if isinstance(first, dict):
        names = {name for one in figures for name in one}
        return {
            name: _mean_of([one.get(name, 0) for one in figures])
            for name in sorted(names)
        }
    known = [value for value in figures if not math.isnan(value)]
    return sum(known) / len(known) if known else math.nan


def table(results: Sequence[Result], columns: Sequence[str]) -> str:
    """Return a Markdown table of `results`."""
    heads = ["deployment", "scenario", "variant", *columns]
    lines = ["| " + " | ".join(heads) + " |", "|" + "---|" * len(heads)]
    for result in results:
        cells = [result["deployment"], result["scenario"], result["variant"]]
        cells += [_show(result["figures"].get(column)) for column in columns]
        lines.append("| " + " | ".join(cells) + " |")
    return "\n".join(lines)


def _show(value: Any) -> str:
    if isinstance(value, dict):
        return ", ".join(f"{name} {_show(part)}" for name, part in value.items())
    if value is None or (isinstance(value, float) and math.isnan(value)):
        return "-"
    if value == math.inf:
        return "never"
    if abs(value) >= 100:
        return f"{value:.0f}"
    return f"{value:.3g}"


def write_json(path: Path, command: str, results: Sequence[Result]) -> None:
    """Write the command and all results, one run each."""
    path.parent.mkdir(parents=True, exist_ok=True)
    body = {"command": command, "results": list(results)}
    path.write_text(json.dumps(body, indent=1, sort_keys=True) + "\n")


def write_plots(
    folder: Path, name: str, results: Sequence[Result], columns: Sequence[str]
) -> None:
    """Draw one bar chart per column; matplotlib is only needed here."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    folder.mkdir(parents=True, exist_ok=True)
    shown = [c for c in columns if not isinstance(results[0]["figures"].get(c), dict)]
    figure, axes = pyplot.subplots(
        len(shown), 1, figsize=(10, 2.2 * len(shown)), squeeze=False
    )
    labels = [f"{r['deployment']}/{r['scenario']}/{r['variant']}" for r in results]
    for axis, column in zip(axes[:, 0], shown, strict=True):
        values = [r["figures"].get(column, math.nan) for r in results]
        finite = [value if math.isfinite(value) else 0.0 for value in values]
        axis.bar(range(len(finite)), finite)
        axis.set_ylabel(column)
        axis.set_xticks([])
    axes[-1, 0].set_xticks(range(len(labels)), labels, rotation=90, fontsize=6)
    figure.tight_layout()
    figure.savefig(folder / f"{name}.png")
    pyplot.close(figure)
