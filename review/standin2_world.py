"""A small deployment: the platform's store, workers, and the project's processes."""

import json
import os
import shutil
import signal
import socket
import subprocess
import tempfile
import threading
import time
import tomllib
from itertools import count
from pathlib import Path
from typing import Any

import standin2_http11 as http11

from platform_standins.rows import MemoryRows
from platform_standins.store import StoreServer

ROOT = Path.cwd()
DEPLOY = ROOT / "deploy" / "system.toml"
HEARTBEAT_SECONDS = 1.2
START_SECONDS = 20.0
STOP_SECONDS = 9.0
ZONES = ("zone-a", "zone-b", "zone-c")
BOUNDS = """
[zones]
zone-a = "region"
zone-b = "region"
zone-c = "region"
[limits]
cpuShare = 0.817
cores = 1
memoryMb = 300
maxFds = 4100
linkMbps = 1000.0
[faultTolerance]
machines = 1
zones = 0
regions = 0
[bounds]
seedLagS = 3
reuseAfterS = 2
contactMs = 3000
ackMs = 4000
catchUpS = 5.3
drainMs = 2000
graceS = 8
lostSlackMs = 200
configMs = 2000
rollbackSlackMs = 250
skewMaxMs = 5000
recoveryS = 12
passMs = 120
retryAfterS = 0
finishS = 10
statusTtlS = 120
cancelMs = 3000
settleMs = 1000
requireFence = false
leaseMs = 3000
thawSlackMs = 300
"""


class CannotRun(Exception):  # noqa: N818
    """The deployment could not be started, so nothing was shown."""


def free_port(host: str) -> int:
    """Return a port of `host` that nobody listens on."""
    with socket.socket() as probe:
        probe.bind((host, 0))
        return probe.getsockname()[1]


class Record:
    """The file in which a case writes what was sent, answered and run.

    Parameters
    ----------
    path : Path
    """

    def __init__(self, path: Path) -> None:
        self._file = path.open("w")
        self._lock = threading.Lock()
        self._began = time.monotonic()

    def write(self, text: str) -> None:
        """Write one line with the seconds since the start."""
        with self._lock:
            seconds = time.monotonic() - self._began
            self._file.write(f"{seconds:9.3f} {text}\n")
            self._file.flush()


class World:
    """A store, registered workers, and processes of the project; a context manager.

    Parameters
    ----------
    configuration : dict
        The configuration that the operator has written.
    entries, disks : int
        Number of ``edge`` and of ``storage`` machines.
    """

    def __init__(
        self, configuration: dict[str, Any], entries: int = 3, disks: int = 3
    ) -> None:
        self._hosts = count(1)
        high, low = divmod(os.getpid(), 250)
        self._network = f"127.{low + 1}.{high % 250 + 1}"
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        self.rows = MemoryRows()
        host = self.host()
        self._store = StoreServer(f"{host}:{free_port(host)}", self.rows)
        self._configuration = configuration
        self._entry_count, self._disk_count = entries, disks
        self._workers: dict[str, dict[str, Any]] = {}
        self._processes: list[subprocess.Popen[bytes]] = []
        self._closed = threading.Event()
        self.fronts: list[str] = []

    def host(self) -> str:
        """Return a loopback address of a machine of its own."""
        return f"{self._network}.{next(self._hosts)}"

    def register(self, name: str, row: dict[str, Any]) -> None:
        """Have a worker register itself, and renew its entry as the pages say."""
        self._workers[name] = row

    def __enter__(self) -> "World":
        try:
            self._start()
        except BaseException:
            self._stop()
            raise
        return self

    def __exit__(self, *_: object) -> None:
        self._stop()

    def _start(self) -> None:
        self._store.start()
        self.rows.put("op/config", json.dumps(self._configuration).encode())
        self._beat(0)
        threading.Thread(target=self._beat_on, daemon=True).start()
        hosts = [self.host() for _ in range(self._entry_count)]
        ports = [[free_port(host) for _ in range(3)] for host in hosts]
        seeds = [f"{h}:{p[2]}" for h, p in zip(hosts, ports, strict=True)][:3]
        ready = []
        for number, (host, own) in enumerate(zip(hosts, ports, strict=True)):
            front, ready_port, control = own
            listen = (
                f'[listen]\nfront = "{host}:{front}"\nready = "{host}:{ready_port}"\n'
                f'control = "{host}:{control}"\n'
            )
            self.fronts.append(f"{host}:{front}")
            ready.append(f"{host}:{ready_port}")
            self._run("entry", number, host, seeds, "", listen)
        for number in range(self._disk_count):
            host = self.host()
            data = self.folder / f"disk-{number}"
            data.mkdir()
            fields = f'dataDir = "{data}"\nlossCounted = true\n'
            listen = f'[listen]\ncontrol = "{host}:{free_port(host)}"\n'
            self._run("storage", number, host, seeds, fields, listen)
        self._wait_until_ready(ready)

    def _run(
        self,
        role: str,
        number: int,
        host: str,
        seeds: list[str],
        fields: str,
        listen: str,
    ) -> None:
        deploy = tomllib.loads(DEPLOY.read_text())["roles"][role]
        name = f"{deploy['on']}-{number}"
        boot = self.folder / f"{name}.toml"
        boot.write_text(
            f'node = "{name}"\nrole = "{role}"\nmachineClass = "{deploy["on"]}"\n'
            f"serves = {json.dumps(deploy['serves'])}\n"
            f'ip = "{host}"\nzone = "{ZONES[number % len(ZONES)]}"\n'
            f'region = "region"\nportRange = [7720, 7735]\n'
            f"seeds = {json.dumps(seeds)}\nbootstrap = true\n"
            f'discovery = "platform"\nheartbeatMs = 1200\n{fields}'
            f"{listen}{BOUNDS}"
            f'[platform]\naddress = "{self._store.address}"\nform = "kv"\n'
            "writesPerS = 400\nreadsPerS = 2000\nhistoryS = 20\n"
            "valueBytes = 1048576\nttlMinMs = 1000\n"
        )
        environment = {
            "PATH": os.environ["PATH"],
            "HOME": os.environ.get("HOME", "/"),
            "LANG": "C.UTF-8",
            "PYTHONPATH": str(ROOT / "target" / "deps"),
            "PYTHONDONTWRITEBYTECODE": "1",
            "WIGEONFRONT_BOOT": str(boot),
        }
        with (self.folder / f"{name}.log").open("wb") as log:
            self._processes.append(
                subprocess.Popen(
                    deploy["run"].split(),
                    cwd=ROOT,
                    env=environment,
                    stdout=log,
                    stderr=log,
                )
            )

    def _wait_until_ready(self, addresses: list[str]) -> None:
        deadline = time.monotonic() + START_SECONDS
        for address in addresses:
            while True:
                got = http11.call(address, "GET", "/ready", {"Host": address})
                if got is not None and got.status == 200:
                    break
                if any(process.poll() is not None for process in self._processes):
                    raise CannotRun("a process has ended")
                if time.monotonic() > deadline:
                    raise CannotRun("a process is not ready")
                time.sleep(0.1)

    def _beat(self, seq: int) -> None:
        for name, row in list(self._workers.items()):
            value = json.dumps(row | {"seq": seq}).encode()
            self.rows.put(f"servers/{name}", value)

    def _beat_on(self) -> None:
        for seq in count(1):
            if self._closed.wait(HEARTBEAT_SECONDS):
                return
            self._beat(seq)

    def _stop(self) -> None:
        self._closed.set()
        for process in self._processes:
            if process.poll() is None:
                process.send_signal(signal.SIGTERM)
        deadline = time.monotonic() + STOP_SECONDS
        for process in self._processes:
            try:
                process.wait(max(0.0, deadline - time.monotonic()))
            except subprocess.TimeoutExpired:
                process.kill()
                process.wait()
        self._store.stop()
        if os.environ.get("KEEP"):
            print("logs are in", self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)
