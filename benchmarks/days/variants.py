"""Writes variants of a site file: ``python -m benchmarks.days.variants SITE FOLDER``.

Each variant differs from the site in one respect, as another deployment may. The users'
program plays a variant like the site itself, for example with
``hunt FOLDER/streams.toml --days 4``. The file with the site's messages (``wire``) must
be in the same folder, and is copied there.
"""

import argparse
import re
import shutil
import tomllib
from collections.abc import Callable
from pathlib import Path

STREAM_CLASS = "chat"
"""Name of the class of streamed requests that two variants add."""

STREAM_MIX_WEIGHT = 3.0
"""Weight of that class in the traffic mix; plain requests have a weight of 6.0."""

Change = Callable[[str], str]


class NoChangeError(ValueError):
    """A variant does not differ from the site."""


def scaled(field: str, factor: float) -> Change:
    """Return a change that multiplies each value of `field` by `factor`.

    Integer values stay integers and are at least 1.
    """

    def change(text: str) -> str:
        def scaled_value(match: re.Match[str]) -> str:
            value = float(match[1]) * factor
            return f"{field} = {max(1, int(value)) if '.' not in match[1] else value}"

        return re.sub(rf"\b{field} = ([\d.]+)", scaled_value, text)

    return change


def replaced(old: str, new: str) -> Change:
    """Return a change that replaces each `old` by `new`."""
    return lambda text: text.replace(old, new)


def in_sequence(*changes: Change) -> Change:
    """Return a change that applies `changes` in order."""

    def change(text: str) -> str:
        for step in changes:
            text = step(text)
        return text

    return change


def unsafe(text: str) -> str:
    """Return a site whose plain requests must not be sent twice."""
    for line in _class_lines(text, lambda fields: "lot" not in fields):
        changed = re.sub(r" \},?\s*$", ', kind = "unsafe" },', line)
        text = text.replace(line, changed, 1)
    return text


def streams(resumable: bool) -> Change:
    """Return a change that adds streamed requests to the engines of the first trainer.

    Parameters
    ----------
    resumable : bool
        Whether a stream that broke off may be continued elsewhere.
    """

    def change(text: str) -> str:
        line = _class_lines(text, lambda fields: "lot" in fields)[0]
        name = _fields(line)["name"]
        made = line.replace(f'name = "{name}"', f'name = "{STREAM_CLASS}"')
        made = made.replace('kind = "rollout", ', "")
        made = re.sub(r", only = \[\d+\]", "", made)
        made = re.sub(r", keep_s = .*$", " },", made)
        if not resumable:
            made = made.replace("resume = true", "resume = false")
        mixed = re.sub(
            r"(mix = \{ [^}]*?) \}",
            rf"\1, {STREAM_CLASS} = {STREAM_MIX_WEIGHT} }}",
            text,
        )
        return mixed.replace(line, f"{made}\n{line}", 1)

    return change


def _class_lines(text: str, wanted: Callable[[dict], bool]) -> list[str]:
    """Return the lines of the request classes whose fields satisfy `wanted`."""
    lines = [line for line in text.splitlines() if re.match(r"\s*\{ name = ", line)]
    found = []
    for line in lines:
        fields = _fields(line)
        if "deadline_ms" in fields and wanted(fields):
            found.append(line)
    return found


def _fields(line: str) -> dict:
    """Return the table in a line that holds one entry of a list."""
    return tomllib.loads(f"a = [{line.strip().rstrip(',')}]")["a"][0]


def on_engines(change: Change) -> Change:
    """Return `change`, applied only to lines of engines and of their machines."""

    def changed(text: str) -> str:
        return "\n".join(
            change(line) if "llm = {" in line or "app = " in line else line
            for line in text.split("\n")
        )

    return changed


def one_zone(text: str) -> str:
    """Return a site with all engines in its first failure domain."""
    zones = [zone["name"] for zone in tomllib.loads(text)["zones"]]
    moves = (replaced(f'zone = "{zone}"', f'zone = "{zones[0]}"') for zone in zones[1:])
    return on_engines(in_sequence(*moves))(text)


def sides(count: int) -> Change:
    """Return a change that leaves `count` machines in each class with a side.

    The engines stay, so that most of them have no side on their machine.
    """

    def change(text: str) -> str:
        lines = []
        for line in text.split("\n"):
            if 'class = "side"' in line and "app = " in line:
                if not count:
                    continue
                line = re.sub(r"\b(count|spare) = \d+", rf"\1 = {count}", line)
            lines.append(line)
        return "\n".join(lines)

    return change


VARIANTS: dict[str, Change] = {
    "one-version": replaced("pure = false", "pure = true"),
    "streams": streams(resumable=True),
    "streams-once": streams(resumable=False),
    "unsafe": unsafe,
    "one-zone": one_zone,
    "few-engines": on_engines(scaled("count", 0.5)),
    "many-engines": on_engines(scaled("count", 2.0)),
    "few-places": scaled("slots", 1 / 3),
    "little-memory": scaled("memory_mb", 0.27),
    "slow-machines": in_sequence(scaled("cpu_share", 0.3), scaled("sync_ms", 60.0)),
    "small-engine-memory": scaled("kv_tokens", 0.4),
    "two-sides": sides(2),
    "one-side": sides(1),
    "no-sides": sides(0),
}


def write(site: Path, folder: Path) -> list[Path]:
    """Write all variants of `site` to `folder`; return their paths.

    Raises
    ------
    NoChangeError
        If a variant does not differ from the site.
    """
    text = site.read_text()
    folder.mkdir(parents=True, exist_ok=True)
    written = []
    for name, change in VARIANTS.items():
        changed = change(text)
        if changed == text:
            raise NoChangeError(name)
        tomllib.loads(changed)
        path = folder / f"{name}.toml"
        path.write_text(changed)
        written.append(path)
    wire = tomllib.loads(text).get("wire")
    if wire:
        shutil.copy(site.parent / wire, folder / wire)
    return written


def main() -> None:
    """Write the variants and print their paths."""
    parser = argparse.ArgumentParser(prog="benchmarks.days.variants")
    parser.add_argument("site", type=Path)
    parser.add_argument("folder", type=Path)
    arguments = parser.parse_args()
    for path in write(arguments.site, arguments.folder):
        print(path)


if __name__ == "__main__":
    main()
