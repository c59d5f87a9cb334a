"""Starts one deployment as processes on this machine, for demos and tests.

The launcher, not the product, starts processes.
"""

import os
import sys
from dataclasses import dataclass
from pathlib import Path
from types import TracebackType

import msgspec

from quickstart.processes import HOST, Member, Processes
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

SOURCES = os.pathsep.join([str(EXAMPLES), str(EXAMPLES.parent / "src")])
KEY_VALUE, VM_LIST, WEIGHT_STORE = "key-value", "vm-list", "weight-store"


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


class Cluster(Processes):
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
        super().__init__(folder)
        self.relays: dict[tuple[str, str], Relay] = {}
        self._options = options or Options()
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
            members = self._members.values()
            self._start([member.name for member in members if not member.process])
            self.wait_until(self.entries, "/ready")
        except BaseException:
            self.stop()
            raise

    def start_platform(self) -> None:
        """Start the platform's stand-ins and give them catalogue and weights."""
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
        command += map(str, flags)
        self._members[name] = Member(name, 0, command, True, SOURCES)
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

    def stop(self) -> None:
        """End all processes and relays."""
        super().stop()
        for relay in self.relays.values():
            relay.close()
        self.relays.clear()

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
        self._members[name] = Member(name, port, command, True, SOURCES)

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
        path = "" if binary else SOURCES  # The one file brings all that it needs.
        self._members[name] = Member(name, port, command, False, path)

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


def _vm_list(viewer: str) -> str:
    return f"{VM_LIST}-of-{viewer}" if viewer else VM_LIST
