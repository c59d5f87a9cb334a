"""Variants of site files, and scores read from a journal."""

import json
import tomllib

import pytest

from benchmarks.days import plots, variants

SITE = """\
wire = "wire.json"
zones = [{ name = "a" }, { name = "b" }]
machines = [
  { class = "front", cpu_share = 0.8, memory_mb = 300, disk = { sync_ms = 0.5 } },
  { class = "side", zone = "b", count = 4, app = "judge" },
]
services = [
  { name = "judge", servers = [{ zone = "b", count = 4 }], slots = 12,\
 llm = { kv_tokens = 80000 } },
  { name = "portal", servers = [{ zone = "b", count = 2 }], slots = 6 },
]
classes = [
  { name = "page", deadline_ms = 1500.0, worth = 0.2 },
  { name = "rollouts", deadline_ms = 12000, kind = "rollout",\
 stream = { resume = true }, only = [0], keep_s = 40.0,\
 lot = { groups = 13, pure = false } },
]
traffic = [
  { zone = "a", mix = { page = 6.0 } },
]
"""


@pytest.fixture
def written(tmp_path):
    site = tmp_path / "site" / "site.toml"
    site.parent.mkdir()
    site.write_text(SITE)
    (site.parent / "wire.json").write_text("{}")
    paths = variants.write(site, tmp_path / "out")
    assert (tmp_path / "out" / "wire.json").exists()
    return {path.stem: tomllib.loads(path.read_text()) for path in paths}


@pytest.mark.parametrize(
    ("name", "at", "value"),
    [
        ("one-version", ("classes", 1, "lot", "pure"), True),
        ("streams", ("classes", 1, "name"), "chat"),
        ("streams", ("classes", 1, "stream", "resume"), True),
        ("streams", ("classes", 2, "name"), "rollouts"),
        ("streams", ("traffic", 0, "mix", "chat"), variants.STREAM_MIX_WEIGHT),
        ("streams-once", ("classes", 1, "stream", "resume"), False),
        ("unsafe", ("classes", 0, "kind"), "unsafe"),
        ("unsafe", ("classes", 1, "kind"), "rollout"),
        ("one-zone", ("services", 0, "servers", 0, "zone"), "a"),
        ("one-zone", ("machines", 1, "zone"), "a"),
        ("one-zone", ("services", 1, "servers", 0, "zone"), "b"),
        ("few-engines", ("services", 0, "servers", 0, "count"), 2),
        ("few-engines", ("machines", 1, "count"), 2),
        ("many-engines", ("services", 0, "servers", 0, "count"), 8),
        ("few-places", ("services", 0, "slots"), 4),
        ("little-memory", ("machines", 0, "memory_mb"), 81),
        ("slow-machines", ("machines", 0, "disk", "sync_ms"), 30.0),
        ("small-engine-memory", ("services", 0, "llm", "kv_tokens"), 32000),
    ],
)
def test_each_variant_changes_one_respect(written, name, at, value):
    found = written[name]
    for key in at:
        found = found[key]
    assert found == value


def test_added_streams_are_not_lots(written):
    for name in ("streams", "streams-once"):
        assert {"kind", "only", "lot"}.isdisjoint(written[name]["classes"][1])


def test_a_variant_that_changes_nothing_is_an_error(tmp_path):
    site = tmp_path / "site.toml"
    site.write_text(SITE.replace("pure = false", "pure = true"))
    with pytest.raises(variants.NoChangeError):
        variants.write(site, tmp_path / "out")


def test_complete_scores_of_standard_days_are_read_from_a_journal(tmp_path):
    days = [{"name": "quiet-1", "G": 0.9}, {"name": "fresh-1a2b", "G": 0.2}]
    entry = {"cmd": "score", "site": "a", "at": ["2026-01-02"], "lines": 7}
    entry["argv"] = [".../a.toml", "--jobs", "6"]
    entries = [
        entry | {"days": days},
        entry | {"at": ["2026-01-01"], "days": [{"name": "quiet-1", "G": 0.5}]},
        entry | {"cmd": "run", "days": days},
        entry | {"argv": [".../streams.toml"], "days": days},
        entry | {"days": []},
    ]
    for number, entry in enumerate(entries):
        (tmp_path / f"{number}.json").write_text(json.dumps(entry))
    assert plots.read_scores(tmp_path) == [
        plots.Score("a", "2026-01-01", 7, {"quiet-1": 0.5}),
        plots.Score("a", "2026-01-02", 7, {"quiet-1": 0.9}),
    ]
