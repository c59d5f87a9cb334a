"""Starts the project's own programs as separate processes on loopback addresses."""

import os
import signal
import socket
import subprocess
import sys
import tempfile
import time
from dataclasses import dataclass
from pathlib import Path
from random import SystemRandom

ROOT = Path(__file__).resolve().parents[1]
DEPS = ROOT / "target" / "deps"
START_SECONDS = 20.0
METRICS_PORT = 9464

BOUNDS = """
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
quotaOverage = 0.1
requireFence = false
leaseMs = 3000
thawSlackMs = 300
"""


def free_host() -> str:
    """Return a loopback address on which the metrics port is free."""
    random = SystemRandom()
    while True:
        host = f"127.{random.randint(2, 250)}.{random.randint(0, 250)}.1"
        try:
            socket.create_server((host, METRICS_PORT)).close()
        except OSError:
            continue
        return host


def free_ports(host: str, count: int) -> list[int]:
    """Return some ports that are free now."""
    probes = [socket.create_server((host, 0)) for _ in range(count)]
    ports = [probe.getsockname()[1] for probe in probes]
    for probe in probes:
        probe.close()
    return ports


@dataclass
class Program:
    """A machine that runs one program of the system."""

    name: str
    role: str
    host: str
    zone: str
    boot: Path
    log: Path
    front: str = ""
    ready: str = ""
    control: str = ""
    process: subprocess.Popen | None = None

    def start(self) -> None:
        """Start the process with the command of the deploy file."""
        kept = ("PATH", "HOME", "LANG")
        environment = {name: os.environ[name] for name in kept if name in os.environ}
        environment["PYTHONPATH"] = str(DEPS)
        environment["WIGEONFRONT_BOOT"] = str(self.boot)
        with self.log.open("ab") as log:
            self.process = subprocess.Popen(
                ["python3", "-m", "wigeonfront", self.role],
                cwd=ROOT,
                env=environment,
                stdout=log,
                stderr=log,
            )

    def signal(self, number: int) -> None:
        """Send a signal to the process if it runs."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)

    def kill(self) -> None:
        """End the process at once, and wait for its end."""
        self.signal(signal.SIGCONT)
        self.signal(signal.SIGKILL)
        if self.process is not None:
            self.process.wait()

    def is_ready(self) -> bool:
        """Return whether the program answers the platform's question with 200."""
        if self.role != "entry":
            return _listens(self.control)
        host, _, port = self.ready.rpartition(":")
        try:
            with socket.create_connection((host, int(port)), 0.5) as sock:
                sock.sendall(b"GET /ready HTTP/1.1\r\nHost: r\r\n\r\n")
                return b" 200 " in sock.recv(100)
        except OSError:
            return False


class System:
    """The programs of a small deployment.

    Parameters
    ----------
    store : str
        Address of the platform's store.
    zones : tuple of str
        One entry runs in each zone, and one storage process if there are disks.
    disks : bool
        Whether storage processes run.
    """

    def __init__(self, store: str, zones: tuple[str, ...], disks: bool) -> None:
        self._folder = tempfile.TemporaryDirectory(prefix="review-")
        self._store = store
        self._zones = zones
        entries = [self._machine(f"edge-{zone}-1", "entry", zone) for zone in zones]
        self.entries = entries
        self.storages = (
            [self._machine(f"storage-{zone}-1", "storage", zone) for zone in zones]
            if disks
            else []
        )
        for program in self.programs:
            self._write_settings(program)

    @property
    def programs(self) -> list[Program]:
        """All programs."""
        return [*self.entries, *self.storages]

    def start(self) -> bool:
        """Start all programs; return whether they are ready."""
        for program in self.programs:
            program.start()
        until = time.monotonic() + START_SECONDS
        while time.monotonic() < until:
            if all(program.is_ready() for program in self.programs):
                return True
            time.sleep(0.1)
        return False

    def stop(self) -> None:
        """End all programs, and remove their files."""
        for program in self.programs:
            program.kill()
        self._folder.cleanup()

    def log_lines(self, event: str) -> list[str]:
        """Return the lines of all logs that tell an event."""
        lines = []
        for program in self.programs:
            text = program.log.read_text(errors="replace")
            lines += [line for line in text.splitlines() if f"event={event} " in line]
        return lines

    def _machine(self, name: str, role: str, zone: str) -> Program:
        host = free_host()
        front, ready, control = free_ports(host, 3)
        folder = Path(self._folder.name)
        return Program(
            name,
            role,
            host,
            zone,
            folder / f"{name}.toml",
            folder / f"{name}.log",
            f"{host}:{front}",
            f"{host}:{ready}",
            f"{host}:{control}",
        )

    def _write_settings(self, program: Program) -> None:
        entry = program.role == "entry"
        seeds = [entry.control for entry in self.entries][:3]
        lines = [
            f'node = "{program.name}"',
            f'role = "{program.role}"',
            f'machineClass = "{"edge" if entry else "storage"}"',
            f'ip = "{program.host}"',
            f'zone = "{program.zone}"',
            'region = "reykjavik"',
            f"portRange = {free_ports(program.host, 1) * 2}",
            f"seeds = {seeds}".replace("'", '"'),
            "bootstrap = true",
            f"lossCounted = {str(not entry).lower()}",
            'discovery = "platform"',
            'entry = "vip"',
            "heartbeatMs = 1200",
        ]
        if not entry:
            disk = Path(self._folder.name) / f"{program.name}.disk"
            disk.mkdir()
            lines.append(f'dataDir = "{disk}"')
        lines.append("[listen]")
        if entry:
            lines += [f'front = "{program.front}"', f'ready = "{program.ready}"']
        lines += [
            f'control = "{program.control}"',
            "[limits]",
            f"cpuShare = {0.817 if entry else 0.717}",
            f"cores = {1 if entry else 3}",
            f"memoryMb = {300 if entry else 360}",
            f"maxFds = {4100 if entry else 8200}",
            "linkMbps = 1000.0",
            f"diskMb = {0 if entry else 640}",
            "[faultTolerance]",
            "machines = 1",
            "zones = 0",
            "regions = 0",
            "[platform]",
            f'address = "{self._store}"',
            'form = "kv"',
            "writesPerS = 400",
            "readsPerS = 2000",
            "historyS = 20",
            "valueBytes = 1048576",
            "ttlMinMs = 1000",
        ]
        program.boot.write_text("\n".join(lines) + BOUNDS)


def _listens(address: str) -> bool:
    host, _, port = address.rpartition(":")
    try:
        socket.create_connection((host, int(port)), 0.5).close()
    except OSError:
        return False
    return True


def check_build() -> None:
    """End with code 2 if the build of the deploy file is missing.

    A script that is told to stop ends in the same way, after it has ended the processes
    that it started.
    """
    signal.signal(signal.SIGTERM, lambda number, frame: sys.exit(2))
    if not (DEPS / "wigeonfront").is_dir():
        print("target/deps is missing: run deploy/build.sh first")
        sys.exit(2)
