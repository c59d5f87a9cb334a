"""Entry and storage processes, with stand-ins and relays around them."""

import contextlib
import itertools
import os
import resource
import signal
import subprocess
import sys
import tempfile
import threading
import time
from dataclasses import dataclass
from functools import partial
from pathlib import Path
from random import Random

from benchmarks.soak.hostile import KINDS, HostileCrowd
from platform_standins import deployment
from platform_standins.crashing import CrashingService
from platform_standins.deployment import ENGINES, MODEL, PLAIN
from platform_standins.engine import Engine, PlainService
from platform_standins.ports import free_port, free_ports
from platform_standins.relay import Relay
from platform_standins.rows import MemoryRows
from platform_standins.store import StoreServer
from wigeonfront.http.encoding import parse_address

ROOT = Path(__file__).resolve().parents[2]
DISK_COUNT = 3
ENGINE_COUNT = 3
SCORER_COUNT = 3
CRASHER_COUNT = 3
CRASHING_BODIES = frozenset((b"crashes you", b"crashes you, too"))
STOP_SECONDS = 6
RESTART_SECONDS = 0.7
"""Pause after which a process that has ended is restarted."""

WIPE_PAUSE_SECONDS = 4.0
"""Minimum time between two losses of a disk.

The system tolerates the loss of one disk at a time.
"""

FULL_DISK_SECONDS = 1.0
"""Time for which a disk is full in an outage: Lots and results are written to it."""

MAX_CLOCK_ERROR_SECONDS = 8.0
"""Maximum error of a wall clock, in either direction."""

_host_numbers = itertools.cycle(range(201, 250))

ENTRY_SETTINGS = """
node = "{name}"
ip = "{host}"
zone = "z1"
seeds = {seeds}
[listen]
front = "{host}:{front}"
ready = "{host}:{ready}"
control = "{host}:{control}"
[bounds]
graceS = {grace}
[platform]
address = "{store}"
"""

STORAGE_SETTINGS = """
node = "{name}"
ip = "{host}"
zone = "{name}"
dataDir = "{folder}"
seeds = {seeds}
[listen]
control = "{host}:{control}"
[platform]
address = "{store}"
"""


@dataclass(frozen=True)
class Options:
    """What a seed runs in addition to the usual faults.

    Attributes
    ----------
    one_version : bool
        Each sample must come from one version, and engines change theirs at any time.
    scored : bool
        Samples have reward calls, targets restart with the same id, and other writers
        overwrite their registrations with malformed rows.
    disks : bool
        Storage processes accept results while the store is unavailable; they are
        killed, and disks are lost one at a time.
    clocks : bool
        Wall clocks differ between processes, and jump.
    crashing : bool
        Some plain requests crash the targets that run them; cannot be combined with
        `scored`.
    entries : int
        Number of entry processes.
    full_disks : bool
        Disks refuse data for a while, one or more at a time; needs `disks`.
    hostile : bool
        Crowds of callers send requests without an end, or stop short and stay.
    """

    one_version: bool = False
    scored: bool = False
    disks: bool = False
    clocks: bool = False
    crashing: bool = False
    entries: int = 3
    full_disks: bool = False
    hostile: bool = False


@dataclass
class Process:
    """One process of the system, which is restarted whenever it ends.

    Attributes
    ----------
    name : str
    role : str
        Command of the program: ``entry`` or ``storage``.
    host : str
        Loopback address of the process.
    boot : Path
        File with its platform settings.
    log : Path
        File that its output is appended to.
    clock : Path or None
        File with the error of its wall clock; None if the clock is right.
    popen : Popen or None
        None until the first start.
    paused : bool
        Whether it was stopped with SIGSTOP.
    held : bool
        Whether it stays down instead of being restarted.
    """

    name: str
    role: str
    host: str
    boot: Path
    log: Path
    clock: Path | None = None
    popen: subprocess.Popen | None = None
    paused: bool = False
    held: bool = False

    def start(self) -> None:
        """Start the process unless it is running."""
        if self.popen is not None and self.popen.poll() is None:
            return
        environment = os.environ | {
            "WIGEONFRONT_BOOT": str(self.boot),
            "PYTHONPATH": f"{ROOT / 'src'}:{ROOT}",
        }
        module = "wigeonfront" if self.clock is None else "benchmarks.soak.skewed_clock"
        if self.clock is not None:
            environment["CLOCK_FILE"] = str(self.clock)
        with self.log.open("ab") as log:
            self.popen = subprocess.Popen(
                [sys.executable, "-m", module, self.role],
                env=environment,
                stdout=log,
                stderr=log,
            )

    def signal(self, number: int) -> None:
        """Send a signal to the process if it is running."""
        if self.popen is not None and self.popen.poll() is None:
            self.popen.send_signal(number)

    def resume(self) -> None:
        """Continue the process if it is paused."""
        if self.paused:
            self.signal(signal.SIGCONT)
            self.paused = False


@dataclass(kw_only=True)
class EntryProcess(Process):
    """One entry process and the relay between it and the store."""

    front: str
    control: str
    relay: Relay


@dataclass(kw_only=True)
class DiskProcess(Process):
    """One storage process and the folder that stands for its disk."""

    folder: Path

    def limit_files(self, size: int) -> None:
        """Let the process write no file beyond `size` bytes, as if its disk were full.

        The limit ends with the process.
        """
        if self.popen is None or self.popen.poll() is not None:
            return
        with contextlib.suppress(ProcessLookupError):
            _, hard = resource.prlimit(self.popen.pid, resource.RLIMIT_FSIZE)
            limit = size if hard == resource.RLIM_INFINITY else min(size, hard)
            resource.prlimit(self.popen.pid, resource.RLIMIT_FSIZE, (limit, hard))


class Cluster:
    """A store, engines, services, and the entry and storage processes under test.

    Parameters
    ----------
    seed : int
    options : Options

    Attributes
    ----------
    injected : list of str
        The faults injected so far, as ``FAULT@ENTRY``.
    """

    def __init__(self, seed: int, options: Options) -> None:
        self.options = options
        self.one_version = options.one_version
        self.scored = scored = options.scored
        self.random = Random(seed)
        self.folder = Path(tempfile.mkdtemp(prefix=f"soak-{seed}-"))
        self.rows = MemoryRows()
        self.store = StoreServer(self._free_address(), self.rows)
        self.store.start()
        self.engines = [self._engine(number) for number in range(ENGINE_COUNT)]
        self._configure_version(1)
        for engine in self.engines:
            deployment.register(self.rows, engine.id, ENGINES, engine.address)
        self.scorers = [self._scorer(n) for n in range(SCORER_COUNT if scored else 0)]
        self._start_times = itertools.count(1_000_000)
        for scorer in self.scorers:
            deployment.register(self.rows, scorer.id, PLAIN, scorer.address)
        self.crashing_bodies = CRASHING_BODIES
        crashers = CRASHER_COUNT if options.crashing else 0
        self.crashers = [self._crasher(number) for number in range(crashers)]
        self.entries = self._entries()
        self.disks = [self._disk(n) for n in range(DISK_COUNT if options.disks else 0)]
        self._wiped_at = -WIPE_PAUSE_SECONDS
        self.injected: list[str] = []
        self._closed = threading.Event()

    def _engine(self, number: int) -> Engine:
        address = self._free_address()
        engine = Engine(address, f"i-e{number}", {MODEL: 1}, events=8)
        engine.faults.event_seconds = 0.03
        engine.start()
        return engine

    def _scorer(self, number: int) -> PlainService:
        scorer = PlainService(self._free_address(), f"i-s{number}")
        scorer.start()
        return scorer

    def _crasher(self, number: int) -> CrashingService:
        crasher = CrashingService(
            self._free_address(),
            f"i-c{number}",
            lambda id, address: deployment.register(self.rows, id, PLAIN, address),
            lambda id: self.rows.remove(f"servers/{id}"),
            RESTART_SECONDS,
        )
        crasher.crashing_bodies |= CRASHING_BODIES
        crasher.start()
        return crasher

    def _entries(self) -> list[EntryProcess]:
        hosts = [self._host() for _ in range(self.options.entries)]
        ports = [free_ports(host, 3) for host in hosts]
        seeds = [f"{host}:{own[2]}" for host, own in zip(hosts, ports, strict=True)]
        entries = []
        for number, host in enumerate(hosts):
            relay = Relay(("127.0.0.1", 0), parse_address(self.store.address))
            front, ready, control = ports[number]
            boot = self.folder / f"n{number}.toml"
            boot.write_text(
                ENTRY_SETTINGS.format(
                    name=f"n{number}",
                    host=host,
                    seeds=str(seeds).replace("'", '"'),
                    front=front,
                    ready=ready,
                    control=control,
                    grace=STOP_SECONDS,
                    store=f"127.0.0.1:{relay.address[1]}",
                )
            )
            entries.append(
                EntryProcess(
                    f"n{number}",
                    "entry",
                    host,
                    boot,
                    self.folder / f"n{number}.log",
                    self._clock_file(f"n{number}"),
                    front=f"{host}:{front}",
                    control=seeds[number],
                    relay=relay,
                )
            )
        return entries

    def _disk(self, number: int) -> DiskProcess:
        name, host = f"s{number}", self._host()
        boot, folder = self.folder / f"{name}.toml", self.folder / name
        seeds = [entry.control for entry in self.entries]
        boot.write_text(
            STORAGE_SETTINGS.format(
                name=name,
                host=host,
                folder=folder,
                seeds=str(seeds).replace("'", '"'),
                control=free_port(host),
                store=self.store.address,
            )
        )
        log = self.folder / f"{name}.log"
        return DiskProcess(name, "storage", host, boot, log, folder=folder)

    def _clock_file(self, name: str) -> Path | None:
        """Return the file with the clock error of a process, or None without one."""
        if not self.options.clocks:
            return None
        path = self.folder / f"{name}.clock"
        path.write_text(str(self._clock_error()))
        return path

    def _clock_error(self) -> float:
        bound = MAX_CLOCK_ERROR_SECONDS
        return self.random.uniform(-bound, bound)

    @property
    def _processes(self) -> list[Process]:
        return [*self.entries, *self.disks]

    def _free_address(self) -> str:
        host = self._host()
        return f"{host}:{free_port(host)}"

    def _host(self) -> str:
        # The address depends on the id of this process, so that no other run of the
        # soak binds a port between the check that it is free and its use.
        high, low = divmod(os.getpid(), 250)
        return f"127.{low + 1}.{high % 250 + 1}.{next(_host_numbers)}"

    def start(self) -> None:
        """Start all processes, and restart each that ends, as the platform does."""
        for process in self._processes:
            process.start()
        threading.Thread(target=self._keep_running, daemon=True).start()

    def _keep_running(self) -> None:
        while not self._closed.wait(RESTART_SECONDS):
            for process in self._processes:
                if not process.held:
                    process.start()

    def end_faults(self) -> None:
        """End all faults, and start the processes that are not running."""
        self.rows.faults.down = False
        self.rows.faults.lose_writes = 0
        for engine in self.engines:
            engine.faults.cuts = 0
            engine.faults.refuse = False
            engine.faults.event_seconds = 0.03
        for scorer in self.scorers:
            scorer.refuse = scorer.cut = False
            scorer.run_seconds, scorer.status = 0.0, 200
        for target, service in self._targets():
            self._register(target, service)
        for entry in self.entries:
            entry.resume()
            entry.relay.heal()
            entry.relay.delay = 0.0
        self._free_disks()
        for process in self._processes:
            process.held = False
            process.start()

    def close(self) -> None:
        """End the processes that this cluster started."""
        self._closed.set()
        for process in self._processes:
            process.resume()
            process.signal(signal.SIGKILL)
            if process.popen is not None:
                process.popen.wait(5)
        for entry in self.entries:
            entry.relay.close()
        for server in (*self.engines, *self.scorers, *self.crashers, self.store):
            server.stop()

    # --- faults --------------------------------------------------------------

    def inject(self) -> str:
        """Inject a fault drawn at random, and return its name."""
        name = self.random.choice(sorted(self._faults()))
        entry = self.random.choice(self.entries)
        self._faults()[name](entry)
        self.injected.append(f"{name}@{entry.name}")
        return name

    def _faults(self):
        # A fault that an option adds is in the dict only with that option: the faults
        # that a seed draws without the option stay the same.
        optional = {"change_weights": self._change_weights} if self.one_version else {}
        if self.scored:
            optional |= {
                "scorer_refuses": self._scorer_refuses,
                "scorer_cuts": self._scorer_cuts,
                "scorer_slow": self._scorer_slow,
                "scorer_fails": self._scorer_fails,
                "restart_under_id": self._restart_under_id,
                "bad_row": self._bad_row,
            }
        if self.options.disks:
            optional |= {
                "kill_disk": self._kill_disk,
                "wipe_disk": self._wipe_disk,
                "kill_everything": self._kill_everything,
                "outage": self._store_down,
            }
        if self.options.full_disks:
            optional |= {
                "fill_disk": self._fill_disk,
                "fill_disk_in_outage": self._fill_disk_in_outage,
                "free_disks": lambda entry: self._free_disks(),
            }
        if self.options.hostile:
            optional |= {
                f"hostile_{kind.replace(' ', '_')}": partial(self._crowd, kind)
                for kind in KINDS
            }
        if self.options.clocks:
            optional["clock_jumps"] = self._clock_jumps
        return optional | {
            "kill": self._kill,
            "kill_all": self._kill_all,
            "pause": self._pause,
            "terminate": self._terminate,
            "hold": self._hold,
            "release": self._release,
            "resume": lambda entry: entry.resume(),
            "store_down": self._store_down,
            "store_up": self._store_up,
            "lose_writes": self._lose_writes,
            "compact": lambda entry: self.rows.compact(),
            "cut_store": lambda entry: entry.relay.cut(),
            "partition_store": lambda entry: entry.relay.partition(),
            "silence_one_way": lambda entry: entry.relay.silence(to_target=False),
            "slow_store": self._slow_store,
            "heal_store": lambda entry: entry.relay.heal(),
            "cut_streams": self._cut_streams,
            "refuse": self._refuse,
            "slow_engine": self._slow_engine,
            "configure": self._configure,
        }

    def _kill(self, process: Process) -> None:
        process.resume()
        process.signal(signal.SIGKILL)

    def _kill_disk(self, entry: EntryProcess) -> None:
        self._kill(self.random.choice(self.disks))

    def _wipe_disk(self, entry: EntryProcess) -> None:
        """Kill a storage process and delete its spool, if no disk was lost recently."""
        disk = self.random.choice(self.disks)
        if time.monotonic() - self._wiped_at < WIPE_PAUSE_SECONDS:
            return
        self._wiped_at = time.monotonic()
        self._kill(disk)
        if disk.popen is not None:
            disk.popen.wait(5)
        (disk.folder / "spool").unlink(missing_ok=True)

    def _fill_disk(self, entry: EntryProcess) -> None:
        """Let a disk accept no data, or none beyond the end of its spool."""
        disk = self.random.choice(self.disks)
        spool = disk.folder / "spool"
        size = spool.stat().st_size if spool.exists() else 0
        disk.limit_files(self.random.choice((0, size)))

    def _fill_disk_in_outage(self, entry: EntryProcess) -> None:
        """Fill a disk in an outage of the store, and kill an entry after it."""
        self._store_down(entry)
        self._fill_disk(entry)
        time.sleep(FULL_DISK_SECONDS)
        self._free_disks()
        self._store_up(entry)
        self._kill(entry)

    def _free_disks(self) -> None:
        for disk in self.disks:
            disk.limit_files(resource.RLIM_INFINITY)

    def _kill_everything(self, entry: EntryProcess) -> None:
        for process in self._processes:
            self._kill(process)

    def _crowd(self, kind: str, entry: EntryProcess) -> None:
        HostileCrowd(entry.front, kind).start()

    def _clock_jumps(self, entry: EntryProcess) -> None:
        if entry.clock is not None:
            entry.clock.write_text(str(self._clock_error()))

    def _hold(self, entry: EntryProcess) -> None:
        """Kill the process and keep it down until `_release`."""
        entry.held = True
        self._kill(entry)

    def _release(self, entry: EntryProcess) -> None:
        entry.held = False

    def _kill_all(self, entry: EntryProcess) -> None:
        for other in self.entries:
            self._kill(other)

    def _pause(self, entry: EntryProcess) -> None:
        entry.signal(signal.SIGSTOP)
        entry.paused = True

    def _terminate(self, entry: EntryProcess) -> None:
        entry.resume()
        entry.signal(signal.SIGTERM)

    def _store_down(self, entry: EntryProcess) -> None:
        self.rows.faults.down = True

    def _store_up(self, entry: EntryProcess) -> None:
        self.rows.faults.down = False

    def _lose_writes(self, entry: EntryProcess) -> None:
        self.rows.faults.apply_lost_writes = self.random.random() < 0.5
        self.rows.faults.lose_writes = self.random.randint(1, 4)

    def _slow_store(self, entry: EntryProcess) -> None:
        entry.relay.delay = 0.2

    def _cut_streams(self, entry: EntryProcess) -> None:
        engine = self.random.choice(self.engines)
        engine.faults.cut_after = self.random.randint(1, 5)
        engine.faults.cuts = 10

    def _refuse(self, entry: EntryProcess) -> None:
        engine = self.random.choice(self.engines)
        engine.faults.refuse = not engine.faults.refuse

    def _slow_engine(self, entry: EntryProcess) -> None:
        self.random.choice(self.engines).faults.event_seconds = 0.3

    def _configure(self, entry: EntryProcess) -> None:
        self._configure_version(2 + len(self.injected))

    def _configure_version(self, version: int) -> None:
        self.rows.put("op/config", deployment.configuration(version, self.one_version))

    def _change_weights(self, entry: EntryProcess) -> None:
        self.random.choice(self.engines).versions[MODEL] += 1

    def _targets(self) -> list[tuple[Engine | PlainService, str]]:
        scorers = [(scorer, PLAIN) for scorer in self.scorers]
        return [*((engine, ENGINES) for engine in self.engines), *scorers]

    def _register(self, target: Engine | PlainService, service: str, **fields) -> None:
        deployment.register(self.rows, target.id, service, target.address, **fields)

    def _scorer_refuses(self, entry: EntryProcess) -> None:
        scorer = self.random.choice(self.scorers)
        scorer.refuse = not scorer.refuse

    def _scorer_cuts(self, entry: EntryProcess) -> None:
        scorer = self.random.choice(self.scorers)
        scorer.cut = not scorer.cut

    def _scorer_slow(self, entry: EntryProcess) -> None:
        self.random.choice(self.scorers).run_seconds = self.random.choice(
            (0.0, 0.2, 2.0)
        )

    def _scorer_fails(self, entry: EntryProcess) -> None:
        scorer = self.random.choice(self.scorers)
        scorer.status = 500 if scorer.status == 200 else 200

    def _restart_under_id(self, entry: EntryProcess) -> None:
        target, service = self.random.choice(self._targets())
        self._register(target, service, born=next(self._start_times))

    def _bad_row(self, entry: EntryProcess) -> None:
        target, _ = self.random.choice(self._targets())
        value = self.random.choice((b"", b"\xff", b"[]", b'{"service":"x"}'))
        self.rows.put(f"servers/{target.id}", value)
