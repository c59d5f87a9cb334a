"""Stand-ins of a platform, and the processes of wigeonfront that run on them."""

import os
import subprocess
import sys
import threading
import time
from collections.abc import Iterator
from itertools import count
from pathlib import Path

from platform_standins import deployment
from platform_standins.duties import DutyServer
from platform_standins.engine import Engine, PlainService
from platform_standins.ports import free_port
from platform_standins.rows import MemoryRows
from platform_standins.store import StoreServer
from quickstart.example import Example
from wigeonfront.duties import Duty
from wigeonfront.http.client import Answer, Pool

START_SECONDS = 20.0
STOP_SECONDS = 8.0
READY_POLL_SECONDS = 0.05
EVENT_SECONDS = 0.005
EVENTS_PER_SAMPLE = 20

_network_numbers = count()


class ClusterError(Exception):
    """The processes could not be started."""


class Cluster:
    """Context manager that runs an example deployment while its context is open.

    Parameters
    ----------
    example : Example
        The deployment.
    folder : pathlib.Path
        Folder for the logs of the processes.
    binary : str
        Path of the single-file program to run; empty to run the installed package.

    Attributes
    ----------
    rows : MemoryRows
        State of the platform's store.
    engines : list of Engine
    plain : list of PlainService
    duties : DutyServer
        The platform's interface for duties.
    api_addresses : list of str
        ``host:port`` of the API of each entry.

    Raises
    ------
    ClusterError
        On entering the context, if a process ends or is not ready in time.
    """

    def __init__(self, example: Example, folder: Path, binary: str) -> None:
        self._example = example
        self._folder = folder
        self._command = [sys.executable, binary or "-m"]
        if not binary:
            self._command.append("wigeonfront")
        self._hosts = _loopback_hosts()
        self._processes: dict[str, subprocess.Popen] = {}
        self.rows = MemoryRows()
        self._store = StoreServer(self._address(next(self._hosts)), self.rows)
        self.engines = [self._engine(n) for n in range(example.engines)]
        self.plain = [
            PlainService(self._address(next(self._hosts)), f"plain-{n}")
            for n in range(example.plain)
        ]
        self.duties = DutyServer(self._address(next(self._hosts)))
        self.api_addresses: list[str] = []
        self._version = 1
        self._lock = threading.Lock()

    def _engine(self, number: int) -> Engine:
        address = self._address(next(self._hosts))
        versions = {self._example.model: 1}
        engine = Engine(
            address,
            f"engine-{number}",
            versions,
            events=EVENTS_PER_SAMPLE,
            on_load=lambda engine: self._register(engine, number),
        )
        engine.faults.event_seconds = EVENT_SECONDS
        return engine

    def _address(self, host: str) -> str:
        return f"{host}:{free_port(host)}"

    def __enter__(self) -> "Cluster":
        try:
            self._start()
        except BaseException:
            self._stop()
            raise
        return self

    def __exit__(self, *_: object) -> None:
        self._stop()

    @property
    def process_count(self) -> int:
        """Number of processes that were started."""
        return len(self._processes)

    @property
    def ended_processes(self) -> list[str]:
        """Names of the processes that have ended by themselves."""
        return [
            name
            for name, process in self._processes.items()
            if process.poll() is not None
        ]

    def name_version(self, version: int) -> None:
        """Write a new version of the weights, as a trainer does after a step.

        A version that is not newer than the last one is ignored.
        """
        with self._lock:
            if version > self._version:
                self._version = version
                deployment.name_version(self.rows, version, self._example.model)

    # --- start and stop ------------------------------------------------------

    def _start(self) -> None:
        for server in (self._store, self.duties, *self.engines, *self.plain):
            server.start()
        self.rows.put("op/config", bytes(self._example.catalogue))
        for targets in (self.engines, self.plain):
            for number, target in enumerate(targets):
                self._register(target, number)
        self._start_entries()
        if self._example.sides:
            self._start_sides()
        self._wait_until_ready()

    def _register(self, target: Engine | PlainService, number: int) -> None:
        engine = isinstance(target, Engine)
        versions = target.versions if engine else {}
        deployment.register(
            self.rows,
            target.id,
            self._example.service(engine),
            target.address,
            zone=self._example.failure_domain(number),
            models=[
                {"name": name, "version": version} for name, version in versions.items()
            ],
        )

    def _start_entries(self) -> None:
        hosts = [next(self._hosts) for _ in range(self._example.entries)]
        peers = [self._address(host) for host in hosts]
        for number, host in enumerate(hosts):
            self.api_addresses.append(self._address(host))
            self._start_process(
                "entry",
                number,
                host,
                ("--api-address", self.api_addresses[-1]),
                ("--ready-address", self._address(host)),
                ("--peer-address", peers[number]),
                ("--seeds", ",".join(peers)),
                *self._duty_flags(),
            )

    def _duty_flags(self) -> tuple[tuple[str, str], ...]:
        window = self._example.usage_window
        if not window:
            return ()
        return (
            ("--duty-address", self.duties.address),
            ("--duties", Duty.USAGE.value),
            ("--usage-window-seconds", f"{window:g}"),
        )

    def _start_sides(self) -> None:
        for number, engine in enumerate(self.engines):
            host = next(self._hosts)
            service = self._example.service(engines=True)
            flags = (("--target", engine.address), ("--service", service))
            self._start_process("side", number, host, *flags)

    def _start_process(
        self, role: str, number: int, host: str, *role_flags: tuple[str, str]
    ) -> None:
        name = f"{role}-{number}"
        flags = (
            ("--name", name),
            ("--host", host),
            ("--failure-domain", self._example.failure_domain(number)),
            ("--store", self._store.address),
            *role_flags,
        )
        arguments = [text for pair in flags for text in pair]
        with (self._folder / f"{name}.log").open("ab") as log:
            self._processes[name] = subprocess.Popen(
                [*self._command, role, *arguments], stdout=log, stderr=log
            )

    def _wait_until_ready(self) -> None:
        deadline = time.monotonic() + START_SECONDS
        while not all(map(_is_ready, self.api_addresses)):
            if self.ended_processes:
                raise ClusterError(
                    f"{self.ended_processes[0]} has ended; see {self._folder}"
                )
            if time.monotonic() > deadline:
                raise ClusterError(f"entries are not ready within {START_SECONDS:g} s")
            time.sleep(READY_POLL_SECONDS)

    def _stop(self) -> None:
        for process in self._processes.values():
            process.terminate()
        for process in self._processes.values():
            try:
                process.wait(STOP_SECONDS)
            except subprocess.TimeoutExpired:
                process.kill()
                process.wait()
        for server in (self._store, self.duties, *self.engines, *self.plain):
            server.stop()


def _is_ready(address: str) -> bool:
    pool = Pool(address)
    answer = pool.call("GET", "/ready", timeout=1.0)
    pool.close()
    return isinstance(answer, Answer) and answer.status == 200


def _loopback_hosts() -> Iterator[str]:
    """Return loopback addresses that differ from those of other clusters.

    They differ by the id of this process and by the number of the cluster in it.
    """
    high, low = divmod(os.getpid(), 250)
    network = next(_network_numbers)
    return (f"127.{low + 1}.{high % 250 + 1}.{network * 60 + n + 1}" for n in range(60))
