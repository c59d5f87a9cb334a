"""Starts one deployment as processes on this machine, for demos and tests.

The launcher, not the product, starts processes. It ends only those that it has
started, by their process id, and each of its waits is bounded.
"""

import atexit
import os
import random
import signal
import socket
import subprocess
import sys
import time
from collections.abc import Iterable
from dataclasses import dataclass, field
from pathlib import Path
from types import TracebackType
from typing import Any

import msgspec
import urllib3

from standins.deployment import (
    EXAMPLES,
    FIRST_VERSION,
    Deployment,
    Service,
    Trainer,
    Worker,
)
from standins.relay import Relay
from standins.vm_list import VmRow, Vms

HOST = "127.0.0.1"
FIRST_PORT, LAST_PORT = 20_000, 32_000  # Below the usual ephemeral ports.
START_SECONDS = 30.0
STOP_SECONDS = 10.0
POLL_SECONDS = 0.05
KEY_VALUE, VM_LIST, WEIGHT_STORE = "key-value", "vm-list", "weight-store"


class ClusterError(Exception):
    """The cluster did not start, or a process could not be reached."""


@dataclass(slots=True)
class Member:
    """One process of the cluster."""

    name: str
    port: int
    command: list[str]
    standin: bool
    process: subprocess.Popen | None = None
    frozen: bool = False

    @property
    def alive(self) -> bool:
        """Whether the process runs, or is frozen."""
        return self.process is not None and self.process.poll() is None


@dataclass(frozen=True, slots=True)
class Options:
    """How a cluster is started; times in seconds, rates in calls a second.

    Attributes
    ----------
    binary : str
        Single-file program to run instead of ``python -m wigeonfront``.
    relays : frozenset of (str, str)
        Pairs of process names; the first reaches the second through a relay.
    vm_lag, load_seconds : float
        Lag of the VM list; time to read weights from the store.
    weight_rate, key_value_reads, key_value_writes : float
        Rate limits; 0 for none.
    checks_fencing : bool
        Whether the engines refuse orders with old fencing numbers.
    entry_flags, side_flags, engine_flags : tuple of str
        Further flags of those processes.
    """

    binary: str = ""
    relays: frozenset[tuple[str, str]] = frozenset()
    vm_lag: float = 0.5
    load_seconds: float = 0.2
    weight_rate: float = 50.0
    key_value_reads: float = 2000.0
    key_value_writes: float = 400.0
    checks_fencing: bool = True
    entry_flags: tuple[str, ...] = ()
    side_flags: tuple[str, ...] = ()
    engine_flags: tuple[str, ...] = ()


@dataclass(slots=True)
class Answer:
    """An HTTP answer: `status`, the decoded JSON `body`, and the time it took."""

    status: int
    body: Any
    seconds: float
    headers: dict[str, str] = field(default_factory=dict)


class Cluster:
    """One deployment: stand-ins, entries, and a side beside each target.

    Processes are named ``key-value``, ``vm-list``, ``weight-store``, ``entry-1``…,
    ``judge-llm-1``… for the sides and ``target-judge-llm-1``… for their targets.

    Parameters
    ----------
    deployment : Deployment
    folder : Path
        Where logs and histories go; made if absent.
    options : Options

    Examples
    --------
    >>> with Cluster(load("hraunbok"), folder) as cluster:  # doctest: +SKIP
    ...     cluster.kill("judge-llm-1")
    """

    def __init__(
        self, deployment: Deployment, folder: Path, options: Options | None = None
    ) -> None:
        self.deployment = deployment
        self.folder = folder
        self.relays: dict[tuple[str, str], Relay] = {}
        self._options = options or Options()
        self._members: dict[str, Member] = {}
        self._http = urllib3.PoolManager(retries=False, maxsize=32)
        self._ports = _free_ports()
        (folder / "history").mkdir(parents=True, exist_ok=True)

    def __enter__(self) -> "Cluster":
        self.start()
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        self.stop()

    @property
    def entries(self) -> list[str]:
        """Names of the entries."""
        return [f"entry-{index + 1}" for index in range(self.deployment.entries)]

    @property
    def names(self) -> list[str]:
        """Names of all processes."""
        return list(self._members)

    def start(self) -> None:
        """Start all processes and wait until each is healthy.

        Raises
        ------
        ClusterError
            If one ends or is not healthy in time; all are stopped then.
        """
        try:
            self.start_platform()
            self._add_workers()
            self._add_entries()
            self._post_all_vms()
            self._start([name for name in self.names if not self._ran(name)])
            self.wait_until(self.entries, "/ready")
        except BaseException:
            self.stop()
            raise

    def start_platform(self) -> None:
        """Start the platform's stand-ins and give them catalogue and weights."""
        atexit.register(self.stop)
        options = self._options
        self._add_standin(
            KEY_VALUE,
            "key_value",
            *("--reads-per-second", options.key_value_reads),
            *("--writes-per-second", options.key_value_writes),
            *("--data", self.folder / "key-value.jsonl"),
        )
        for viewer in ["", *self._viewers()]:
            self._add_standin(_vm_list(viewer), "vm_list", "--lag", options.vm_lag)
        self._add_standin(
            WEIGHT_STORE,
            "weight_store",
            *("--rate", options.weight_rate),
            *("--load-seconds", options.load_seconds),
            *("--data", self.folder / "weights.json"),
        )
        self._start(self.names)
        for name, row in self.deployment.catalogue.items():
            body = {"key": f"catalogue/{name}", "value": msgspec.to_builtins(row)}
            self._expect(KEY_VALUE, "/kv/put", body)
        for service in self.deployment.services:
            if service.kind == "engine":
                path = f"/models/{service.name}"
                self._expect(WEIGHT_STORE, path, {"version": FIRST_VERSION})

    def start_trainer(self, trainer: Trainer, *flags: object) -> str:
        """Start a trainer and return its process name.

        Its report is at ``<name>.json`` in the folder once it has ended by itself.
        """
        name = f"trainer-{trainer.name}"
        entries = [self.address(entry, name) for entry in self.entries]
        command = [sys.executable, "-m", "standins.trainer", "--name", trainer.name]
        command += ["--entries", ",".join(entries)]
        command += ["--weight-store", self.url(WEIGHT_STORE)]
        command += ["--service", trainer.service]
        command += ["--catalogue-entry", trainer.catalogue_entry]
        command += ["--history", str(self.folder / "history" / f"{name}.jsonl")]
        command += ["--report", str(self.folder / f"{name}.json")]
        for setting in ("bound", "samples", "group"):
            command += [f"--{setting}", str(getattr(trainer, setting))]
        self._members[name] = Member(
            name, 0, [*command, *map(str, flags)], standin=True
        )
        self._start([name], wait=False)
        return name

    def address(self, name: str, viewer: str = "") -> str:
        """Return ``host:port`` of a process as `viewer` reaches it."""
        relay = self.relays.get((viewer, name))
        port = relay.address[1] if relay else self._members[name].port
        return f"{HOST}:{port}"

    def url(self, name: str, viewer: str = "") -> str:
        """Return the base URL of a process as `viewer` reaches it."""
        return f"http://{self.address(name, viewer)}"

    def pid(self, name: str) -> int:
        """Return the process id of a process that was started."""
        return self._members[name].process.pid

    def alive(self, name: str) -> bool:
        """Return whether a process runs, or is frozen."""
        return self._members[name].alive

    def kill(self, name: str) -> None:
        """End a process at once by SIGKILL."""
        self._signal(name, signal.SIGKILL)
        self._members[name].process.wait(STOP_SECONDS)

    def terminate(self, name: str) -> None:
        """Ask a process for a graceful shutdown by SIGTERM, without waiting."""
        self._signal(name, signal.SIGTERM)

    def wait_end(self, name: str, timeout: float = STOP_SECONDS) -> int:
        """Return a process's exit code; `subprocess.TimeoutExpired` if it runs on."""
        return self._members[name].process.wait(timeout)

    def freeze(self, name: str) -> None:
        """Pause a process by SIGSTOP."""
        self._signal(name, signal.SIGSTOP)
        self._members[name].frozen = True

    def wake(self, name: str) -> None:
        """Let a frozen process go on."""
        self._signal(name, signal.SIGCONT)
        self._members[name].frozen = False

    def restart(self, name: str, wait: bool = True) -> None:
        """Start a process anew at its address, killing it first if it runs."""
        if self._members[name].alive:
            self.kill(name)
        self._start([name], wait)

    def request(
        self,
        name: str,
        method: str,
        path: str,
        body: Any = None,
        timeout: float = 5.0,
        headers: dict[str, str] | None = None,
    ) -> Answer:
        """Call a process over HTTP.

        Raises
        ------
        ClusterError
            If there is no answer within `timeout` seconds.
        """
        encoded = None if body is None else msgspec.json.encode(body)
        began = time.monotonic()
        try:
            response = self._http.request(
                method,
                self.url(name) + path,
                body=encoded,
                timeout=timeout,
                headers={"Content-Type": "application/json"} | (headers or {}),
            )
        except urllib3.exceptions.HTTPError as error:
            raise ClusterError(f"{name} {path}: {type(error).__name__}") from error
        seconds = time.monotonic() - began
        return Answer(
            response.status, _decoded(response.data), seconds, dict(response.headers)
        )

    def fault(self, name: str, **fault: Any) -> None:
        """Order a fault from a stand-in; see `standins.faults.Fault`."""
        self._expect(name, "/faults", fault)

    def wait_until(self, names: Iterable[str], path: str = "/health") -> None:
        """Wait until each process answers 200 at `path`.

        Raises
        ------
        ClusterError
            If one has ended, or hasn't within `START_SECONDS`; with its log's end.
        """
        deadline = time.monotonic() + START_SECONDS
        for name in names:
            while not self._answers(name, path):
                if not self.alive(name):
                    raise ClusterError(f"{name} ended:\n{self.log_end(name)}")
                if time.monotonic() > deadline:
                    raise ClusterError(f"{name} not at {path}:\n{self.log_end(name)}")
                time.sleep(POLL_SECONDS)

    def log_end(self, name: str, lines: int = 15) -> str:
        """Return the last lines of a process's log."""
        text = self._log(name).read_text(errors="replace")
        return "\n".join(text.splitlines()[-lines:])

    def stop(self) -> None:
        """End all processes, product first: SIGTERM, and SIGKILL after a while."""
        for standin in (False, True):
            members = self._members.values()
            self._end([member.name for member in members if member.standin == standin])
        for relay in self.relays.values():
            relay.close()
        self.relays.clear()
        atexit.unregister(self.stop)

    def _end(self, names: list[str]) -> None:
        running = [name for name in names if self.alive(name)]
        for name in running:
            self._signal(name, signal.SIGTERM)
            self.wake(name)
        deadline = time.monotonic() + STOP_SECONDS
        for name in running:
            try:
                self.wait_end(name, max(0.01, deadline - time.monotonic()))
            except subprocess.TimeoutExpired:
                self.kill(name)

    def _signal(self, name: str, number: signal.Signals) -> None:
        process = self._members[name].process
        if process is not None:
            process.send_signal(number)

    def _ran(self, name: str) -> bool:
        return self._members[name].process is not None

    def _viewers(self) -> list[str]:
        """Return the entries that reach a side through a relay."""
        sides = {worker.name for _, worker in self.deployment.workers()}
        pairs = self._options.relays
        viewers = {viewer for viewer, name in pairs if name in sides}
        return sorted(viewers.intersection(self.entries))

    def _add_workers(self) -> None:
        for service, worker in self.deployment.workers():
            self._add_target(service, worker)
            self._add_product(
                "side",
                worker.name,
                worker.failure_domain,
                *("--service", service.name),
                *("--target", self._reach(worker.name, f"target-{worker.name}")),
                *("--target-kind", service.kind),
                *("--capacity", service.capacity),
                *self._options.side_flags,
            )

    def _add_target(self, service: Service, worker: Worker) -> None:
        name = f"target-{worker.name}"
        flags = [
            part for key, value in service.flags.items() for part in (f"--{key}", value)
        ]
        if service.kind == "plain":
            self._add_standin(name, "plain", *flags, "--concurrency", service.capacity)
            return
        if self._options.checks_fencing:
            flags.append("--checks-fencing")
        self._add_standin(
            name,
            "engine",
            *("--model", service.name, "--version", FIRST_VERSION),
            *("--weight-store", self._reach(name, WEIGHT_STORE)),
            *("--slots", service.capacity),
            *flags,
            *self._options.engine_flags,
        )

    def _add_entries(self) -> None:
        for index, name in enumerate(self.entries):
            domain = self.deployment.domain(index)
            self._add_product("entry", name, domain, *self._options.entry_flags)

    def _add_standin(self, name: str, module: str, *flags: object) -> None:
        command = [sys.executable, "-m", f"standins.{module}", "--name", name]
        command += ["--history", str(self.folder / "history" / f"{name}.jsonl")]
        port = next(self._ports)
        command += ["--port", str(port), *map(str, flags)]
        self._members[name] = Member(name, port, command, standin=True)

    def _add_product(self, role: str, name: str, domain: str, *flags: object) -> None:
        binary = self._options.binary
        program = [binary] if binary else ["-m", "wigeonfront"]
        port = next(self._ports)
        command = [sys.executable, *program, role, "--name", name]
        command += ["--listen", f"{HOST}:{port}", "--failure-domain", domain]
        command += ["--key-value", self._reach(name, KEY_VALUE)]
        viewer = name if name in self._viewers() else ""
        command += ["--vm-list", self._reach(name, _vm_list(viewer))]
        command += ["--weight-store", self._reach(name, WEIGHT_STORE)]
        command += map(str, flags)
        self._members[name] = Member(name, port, command, standin=False)

    def _reach(self, viewer: str, name: str) -> str:
        """Return the URL of `name`, through a relay where the options say so."""
        pair = (viewer, name)
        if pair in self._options.relays and pair not in self.relays:
            target = (HOST, self._members[name].port)
            self.relays[pair] = Relay((HOST, 0), target)
        return self.url(name, viewer)

    def _post_all_vms(self) -> None:
        for viewer in ["", *self._viewers()]:
            self.post_vms(self.vms(viewer), viewer)

    def post_vms(self, vms: list[VmRow], viewer: str = "") -> None:
        """Edit the VM list, or the one of an entry with relays to sides."""
        body = msgspec.to_builtins(Vms(vms=vms))
        self._expect(_vm_list(viewer), "/vms", body)

    def vms(self, viewer: str = "") -> list[VmRow]:
        """Return the VM list as `viewer` is to see it."""
        entries = [
            VmRow(name, "entry", "", self.deployment.domain(index), self.address(name))
            for index, name in enumerate(self.entries)
        ]
        sides = []
        for service, worker in self.deployment.workers():
            self._reach(viewer, worker.name)
            address = self.address(worker.name, viewer)
            domain = worker.failure_domain
            sides.append(VmRow(worker.name, "side", service.name, domain, address))
        return entries + sides

    def _start(self, names: Iterable[str], wait: bool = True) -> None:
        path = os.pathsep.join([str(EXAMPLES), str(EXAMPLES.parent / "src")])
        environment = os.environ | {"PYTHONPATH": path}
        for name in names:
            member = self._members[name]
            with self._log(name).open("ab") as log:
                member.process = subprocess.Popen(
                    member.command,
                    stdin=subprocess.DEVNULL,
                    stdout=log,
                    stderr=subprocess.STDOUT,
                    env=environment,
                )
            member.frozen = False
        if wait:
            self.wait_until(names)

    def _log(self, name: str) -> Path:
        return self.folder / f"{name}.log"

    def _answers(self, name: str, path: str) -> bool:
        try:
            return self.request(name, "GET", path, timeout=1.0).status == 200
        except ClusterError:
            return False

    def _expect(self, name: str, path: str, body: Any) -> None:
        answer = self.request(name, "POST", path, body)
        if answer.status != 200:
            raise ClusterError(f"{name} {path}: {answer.status} {answer.body}")


def _vm_list(viewer: str) -> str:
    return f"{VM_LIST}-of-{viewer}" if viewer else VM_LIST


def _free_ports() -> Iterable[int]:
    """Return ports at which nothing listens, each once."""
    ports = list(range(FIRST_PORT, LAST_PORT))
    random.shuffle(ports)
    for port in ports:
        with socket.socket() as probe:
            probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            if probe.connect_ex((HOST, port)) != 0:
                yield port


def _decoded(data: bytes) -> Any:
    try:
        return msgspec.json.decode(data) if data else None
    except msgspec.DecodeError:
        return data.decode(errors="replace")
