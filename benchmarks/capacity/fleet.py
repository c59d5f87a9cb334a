"""Starts entries, sides and stand-ins, and reads what they use.

The benchmark, not the product, starts processes; it ends only those that it has
started, by their process id.
"""

import os
import random
import signal
import socket
import subprocess
import sys
import time
from collections.abc import Callable, Iterator
from pathlib import Path
from types import TracebackType
from typing import Any

import msgspec
import urllib3

from benchmarks.capacity import procfs
from standins.vm_list import VmRow

ROOT = Path(__file__).resolve().parents[2]
HOST = "127.0.0.1"
FIRST_PORT, LAST_PORT = 12_000, 20_000
START_SECONDS = 60.0
STOP_SECONDS = 10.0
POLL_SECONDS = 0.05
KEY_VALUE, VM_LIST, TARGET = "key-value", "vm-list", "target"
SERVICE, ENTRY_NAME = "bench", "bench"
UNLIMITED_ROW = {"owner": "bench", "class": "interactive", "services": [SERVICE]}


class Fleet:
    """The processes of one measurement.

    Parameters
    ----------
    folder : Path
        Where logs go.
    """

    def __init__(self, folder: Path) -> None:
        self._folder = folder
        self._processes: dict[str, subprocess.Popen] = {}
        self._addresses: dict[str, str] = {}
        self._ports = _free_ports()
        self._http = urllib3.PoolManager(retries=False, maxsize=16)
        folder.mkdir(parents=True, exist_ok=True)

    def __enter__(self) -> "Fleet":
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        for name in list(self._processes):
            self.stop(name, wait=False)
        for name in list(self._processes):
            self.stop(name)

    # --- starting ------------------------------------------------------------

    def platform(self, *key_value_flags: object) -> None:
        """Start key-value service and VM list, with one row that allows all."""
        limits = ("--reads-per-second", 0, "--writes-per-second", 0)
        self.standin(KEY_VALUE, "key_value", *limits, *key_value_flags)
        self.standin(VM_LIST, "vm_list")
        self.put_row(ENTRY_NAME, UNLIMITED_ROW)

    def standin(self, name: str, module: str, *flags: object) -> str:
        """Start a stand-in; return its address."""
        port = next(self._ports)
        command = ["-m", f"standins.{module}", "--name", name, "--port", port, *flags]
        return self._run(name, port, command)

    def target(self, *flags: object) -> str:
        """Start a plain service that answers at once; return its address."""
        always = ("--seconds", 0, "--jitter", 0)
        flags = (*always, "--concurrency", 1024, "--threads", 256, *flags)
        return self.standin(TARGET, "plain", *flags)

    def entry(self, name: str, *flags: object, **settings: object) -> str:
        """Start an entry; return its address."""
        return self._daemon("entry", name, *flags, **settings)

    def side(self, name: str, target: str, *flags: object) -> str:
        """Start a side beside a plain target, or as `flags` say."""
        beside = ("--service", SERVICE, "--target", f"http://{target}")
        kind = () if "--target-kind" in flags else ("--target-kind", "plain")
        return self._daemon("side", name, *beside, *kind, *flags, wait=False)

    def sides(self, count: int, target: str, *flags: object) -> list[str]:
        """Start `count` sides at once; return their names."""
        names = [f"side-{number}" for number in range(count)]
        for name in names:
            self.side(name, target, *flags)
        for name in names:
            self.wait_healthy(name)
        return names

    def _daemon(
        self,
        role: str,
        name: str,
        *flags: object,
        key_value: str = "",
        vm_list: str = "",
        wait: bool = True,
    ) -> str:
        port = next(self._ports)
        command = ["-m", "wigeonfront", role, "--name", name, *flags]
        command += ["--listen", f"{HOST}:{port}", "--failure-domain", "bench"]
        command += ["--key-value", key_value or self.address(KEY_VALUE)]
        command += ["--vm-list", vm_list or self.address(VM_LIST)]
        return self._run(name, port, _with_scheme(command), wait)

    def _run(
        self, name: str, port: int, command: list[object], wait: bool = True
    ) -> str:
        paths = os.pathsep.join([str(ROOT / "src"), str(ROOT / "examples")])
        with self._log(name).open("ab") as log:
            self._processes[name] = subprocess.Popen(
                [sys.executable, *map(str, command)],
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=subprocess.STDOUT,
                env=os.environ | {"PYTHONPATH": paths},
            )
        self._addresses[name] = f"{HOST}:{port}"
        if wait:
            self.wait_healthy(name)
        return self._addresses[name]

    def _log(self, name: str) -> Path:
        return self._folder / f"{name}.log"

    # --- stopping ------------------------------------------------------------

    def stop(self, name: str, wait: bool = True) -> None:
        """End a process by SIGTERM, and by SIGKILL after a while."""
        process = self._processes[name]
        if process.poll() is None:
            process.send_signal(signal.SIGTERM)
        if not wait:
            return
        try:
            process.wait(STOP_SECONDS)
        except subprocess.TimeoutExpired:
            process.kill()
            process.wait()
        del self._processes[name]

    def kill(self, name: str) -> None:
        """End a process at once."""
        process = self._processes.pop(name)
        process.kill()
        process.wait()

    # --- looking at them -----------------------------------------------------

    def address(self, name: str) -> str:
        """Return ``host:port`` of a process."""
        return self._addresses[name]

    def pid(self, name: str) -> int:
        """Return the process id of a process."""
        return self._processes[name].pid

    def usage(self, name: str) -> procfs.Usage:
        """Return what a process has used until now."""
        return procfs.usage(self.pid(name))

    def wait_healthy(self, name: str) -> None:
        """Wait until a process answers; `RuntimeError` with its log if it doesn't."""

        def healthy() -> bool:
            if self._processes[name].poll() is not None:
                raise RuntimeError(f"{name} ended:\n{self._log(name).read_text()}")
            return self._answers_as(name)

        wait_for(healthy, f"{name} healthy")

    def call(self, name: str, method: str, path: str, body: Any = None) -> Any:
        """Call a process; return the decoded answer, `RuntimeError` if not 200."""
        encoded = None if body is None else msgspec.json.encode(body)
        url = f"http://{self.address(name)}{path}"
        response = self._http.request(method, url, body=encoded, timeout=30.0)
        if response.status != 200:
            raise RuntimeError(f"{name} {path}: {response.status} {response.data!r}")
        return msgspec.json.decode(response.data)

    def _answers_as(self, name: str) -> bool:
        """Tell whether `name`, not some other process, answers at its address."""
        url = f"http://{self.address(name)}/health"
        try:
            response = self._http.request("GET", url, timeout=2.0)
        except urllib3.exceptions.HTTPError:
            return False
        health = msgspec.json.decode(response.data)
        return response.status == 200 and health.get("name", name) == name

    # --- the platform --------------------------------------------------------

    def put_row(self, name: str, row: dict[str, Any]) -> None:
        """Write a catalogue row."""
        body = {"key": f"catalogue/{name}", "value": row}
        self.call(KEY_VALUE, "POST", "/kv/put", body)

    def post_vms(self, rows: list[VmRow]) -> None:
        """Replace the VM list."""
        body = {"vms": [msgspec.structs.asdict(row) for row in rows]}
        self.call(VM_LIST, "POST", "/vms", body)

    def list_sides(self, names: list[str]) -> None:
        """Make `names` the listed sides."""
        self.post_vms([side_row(name, self.address(name)) for name in names])

    def connected(self, entry: str) -> int:
        """Return the number of sides that an entry has a session with."""
        sides = self.call(entry, "GET", "/v1/status")["sides"]
        return sum(1 for side in sides if side["connected"])

    def wait_connected(self, entry: str, count: int) -> None:
        """Wait until an entry has a session with `count` sides."""
        wait_for(lambda: self.connected(entry) >= count, f"{entry}: {count} peers")


def side_row(name: str, address: str) -> VmRow:
    """Return the VM list's row of a side."""
    return VmRow(name, "side", SERVICE, "bench", address)


def wait_for(done: Callable[[], bool], what: str) -> None:
    """Poll `done` until it holds; `RuntimeError` after `START_SECONDS`."""
    deadline = time.monotonic() + START_SECONDS
    while not done():
        if time.monotonic() > deadline:
            raise RuntimeError(f"not in time: {what}")
        time.sleep(POLL_SECONDS)


def _with_scheme(command: list[object]) -> list[object]:
    """Write the platform's addresses as URLs."""
    urls = {"--key-value", "--vm-list"}
    return [
        f"http://{part}" if flag in urls and "://" not in str(part) else part
        for flag, part in zip(["", *command], command, strict=False)
    ]


def _free_ports() -> Iterator[int]:
    """Return ports in an order of this process, as other runs may go on beside."""
    ports = list(range(FIRST_PORT, LAST_PORT))
    random.shuffle(ports)
    for port in ports:
        with socket.socket() as probe:
            if probe.connect_ex((HOST, port)) != 0:
                yield port
