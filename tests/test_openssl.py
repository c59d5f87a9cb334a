"""A daemon maps OpenSSL only if it reaches some service by HTTPS."""

import subprocess
import sys
from pathlib import Path

import pytest

from benchmarks.capacity.fleet import Fleet

REPORT = "; print(openssl.leave_out(), 'ssl' in sys.modules, sys.modules.get('ssl'))"


@pytest.mark.parametrize(
    ("scheme", "mapped"), [("http", False), ("https", True)], ids=["http", "https"]
)
@pytest.mark.parametrize("role", ["entry", "side"])
def test_openssl_is_mapped_for_https_only(tmp_path, role, scheme, mapped):
    with Fleet(tmp_path) as fleet:
        fleet.platform()
        key_value = f"{scheme}://127.0.0.1:1"
        if role == "entry":
            fleet.entry("daemon", key_value=key_value)
        else:
            fleet.side("daemon", "127.0.0.1:1", key_value=key_value)
            fleet.wait_healthy("daemon")
        maps = Path(f"/proc/{fleet.pid('daemon')}/maps").read_text()
        assert ("_ssl" in maps) is mapped
        assert ("_hashlib" in maps) is mapped


@pytest.mark.parametrize(
    ("before", "expected"),
    [("", "True True None"), ("import ssl; ", "False True <module 'ssl'")],
)
def test_modules_already_imported_stay(before, expected):
    code = f"{before}import sys; from wigeonfront import openssl{REPORT}"
    output = subprocess.check_output([sys.executable, "-c", code], text=True)
    assert output.startswith(expected)
