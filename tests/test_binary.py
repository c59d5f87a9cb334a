"""The single file, built once for these tests, runs the program."""

import json
import os
import subprocess
import sys
from pathlib import Path

import pytest

ROOT = Path(__file__).resolve().parent.parent


@pytest.fixture(scope="module")
def binary(tmp_path_factory):
    path = tmp_path_factory.mktemp("binary") / "wigeonfront"
    builder = ROOT / ".ci" / "build_binary.py"
    subprocess.run([sys.executable, builder, path], check=True)
    return path


@pytest.fixture
def environment(tmp_path):
    # The program must find neither the working copy nor files unpacked earlier.
    inherited = {
        name: text for name, text in os.environ.items() if name != "PYTHONPATH"
    }
    return inherited | {"SHIV_ROOT": str(tmp_path / "unpacked")}


def run(command, environment):
    return subprocess.run(
        list(map(str, command)), env=environment, capture_output=True, text=True
    )


def test_the_single_file_reports_a_bad_setting(binary, environment):
    completed = run([binary, "side", "--cores", "0"], environment)
    assert (completed.returncode, completed.stdout) == (2, "")
    assert "setting cores has the bad value '0' (from --cores)" in completed.stderr
    assert "Traceback" not in completed.stderr


def test_the_single_file_uses_only_its_own_packages(binary, environment, tmp_path):
    """A `PYTHONPATH` with another package of the same name has no effect."""
    other = tmp_path / "other" / "wigeonfront"
    other.mkdir(parents=True)
    (other / "__init__.py").write_text("raise SystemExit('the wrong package')")
    environment |= {"PYTHONPATH": str(other.parent)}
    completed = run([binary, "--version"], environment)
    assert (completed.returncode, completed.stderr) == (0, "")


def test_the_example_deployments_run_from_the_single_file(binary, environment):
    environment |= {"PYTHONPATH": os.pathsep.join([str(ROOT / "src"), "examples"])}
    flags = ["--deployment", "both", "--seconds", "3", "--binary", binary, "--json"]
    completed = subprocess.run(
        [sys.executable, "-m", "quickstart.run", *map(str, flags)],
        env=environment,
        cwd=ROOT,
        capture_output=True,
        text=True,
    )
    assert completed.returncode == 0, completed.stdout + completed.stderr
    reports = json.loads(completed.stdout)
    assert [report["deployment"] for report in reports] == ["hraunbok", "association"]
    assert all(report["ended"] == [] for report in reports)
    unpacked = list(Path(environment["SHIV_ROOT"]).glob("wigeonfront_*"))
    assert len(unpacked) == 1
