"""The processes don't map OpenSSL, which would take 5 MiB of memory."""

import os
import subprocess
import sys
from pathlib import Path

import pytest

from platform_standins.ports import free_ports
from rows_fakes import loopback_host, wait_for

REPORT = (
    "; print(openssl.block_imports(), 'ssl' in sys.modules, sys.modules.get('ssl'))"
)
ROOT = Path(__file__).resolve().parent.parent


@pytest.mark.parametrize("role", ["entry", "side", "storage"])
def test_a_running_process_does_not_map_openssl(role, tmp_path):
    host = loopback_host()
    api, ready, peer, target = free_ports(host, 4)
    flags = ["--name", "n1", "--host", host, "--store", f"{host}:1"]
    if role == "entry":
        for name, port in (("api", api), ("ready", ready), ("peer", peer)):
            flags += [f"--{name}-address", f"{host}:{port}"]
    elif role == "side":
        flags += ["--target", f"{host}:{target}", "--service", "s"]
    else:
        flags += ["--data-folder", str(tmp_path), "--peer-address", f"{host}:{peer}"]
    environment = os.environ | {"PYTHONPATH": str(ROOT / "src")}
    log = tmp_path / "log"
    with log.open("wb") as output:
        process = subprocess.Popen(
            [sys.executable, "-m", "wigeonfront", role, *flags],
            env=environment,
            stdout=output,
            stderr=output,
        )
    try:
        wait_for(lambda: "event=started" in log.read_text(), 20.0)
        maps = Path(f"/proc/{process.pid}/maps").read_text()
        assert "_ssl" not in maps
        assert "_hashlib" not in maps
    finally:
        process.kill()
        process.wait()


@pytest.mark.parametrize(
    ("before", "expected"),
    [("", "True True None"), ("import ssl; ", "False True <module 'ssl'")],
)
def test_imports_are_blocked_unless_openssl_is_already_imported(before, expected):
    code = f"{before}import sys; from wigeonfront import openssl{REPORT}"
    output = subprocess.check_output([sys.executable, "-c", code], text=True)
    assert output.startswith(expected)
