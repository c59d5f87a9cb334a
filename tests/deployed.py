"""A small deployment in this process, over real sockets, with platform stand-ins."""

from concurrent.futures import ThreadPoolExecutor

from platform_standins import deployment
from platform_standins.deployment import ENGINES, MODEL, PLAIN
from platform_standins.engine import Engine, PlainService
from platform_standins.ports import free_ports
from platform_standins.store import StoreServer
from rows_fakes import free_address, loopback_host, make_store, wait_for
from wigeonfront.clock import SystemClock
from wigeonfront.node.entry import EntryNode
from wigeonfront.node.settings import Bounds, NodeSettings
from wigeonfront.node.side import SideNode
from wigeonfront.node.storage import StorageNode

BOUNDS = Bounds(stop_seconds=6.0, lease_seconds=1.0)


class Deployment:
    """A store, two engines, a plain service, entries and sides."""

    def __init__(self):
        self.rows = make_store()
        self.store = StoreServer(free_address(), self.rows)
        self.store.start()
        self.engines = [
            Engine(free_address(), f"i-e{number}", {MODEL: 1}) for number in range(2)
        ]
        self.plain = PlainService(free_address(), "i-p0")
        for server in (*self.engines, self.plain):
            server.start()
        self.rows.put("op/config", deployment.configuration())
        for engine in self.engines:
            deployment.register(self.rows, engine.id, ENGINES, engine.address)
        deployment.register(self.rows, self.plain.id, PLAIN, self.plain.address)
        self.entries = []
        self.sides = []
        self.disks = []

    def add_entry(self, name, seeds=(), store=None, **fields):
        entry = self.make_entry(name, seeds, store, **fields)
        entry.start()
        self.entries.append(entry)
        wait_for(lambda: entry.ready)
        return entry

    def make_entry(self, name, seeds=(), store=None, **fields):
        """Return an entry, by default in a failure domain of its own."""
        host = loopback_host()
        front, ready, peer = free_ports(host, 3)
        drain = fields.pop("drain", lambda: None)
        settings = NodeSettings(
            name=name,
            host=host,
            failure_domain=fields.pop("failure_domain", f"of-{name}"),
            store_address=store or self.store.address,
            front_address=f"{host}:{front}",
            ready_address=f"{host}:{ready}",
            peer_address=f"{host}:{peer}",
            seed_addresses=tuple(seeds),
            bounds=BOUNDS,
            **fields,
        )
        return EntryNode(settings, SystemClock(), drain)

    def add_side(self, name, engine):
        """Start a side for an engine."""
        settings = NodeSettings(
            name=name,
            host=loopback_host(),
            failure_domain="z1",
            store_address=self.store.address,
            target_address=engine.address,
            service=ENGINES,
            bounds=BOUNDS,
        )
        side = SideNode(settings, SystemClock())
        side.start()
        self.sides.append(side)
        return side

    def add_disk(self, name, folder, host="", port=0):
        """Start a storage process with a disk, in a failure domain of its own."""
        host = host or loopback_host()
        settings = NodeSettings(
            name=name,
            host=host,
            failure_domain=f"of-{name}",
            store_address=self.store.address,
            peer_address=f"{host}:{port or free_ports(host, 1)[0]}",
            data_folder=str(folder),
            bounds=BOUNDS,
        )
        disk = StorageNode(settings, SystemClock())
        disk.start()
        self.disks.append(disk)
        return disk

    def ended_at(self, sample):
        """Return the time at which the last event of a sample was generated."""
        return max(engine.ended_at.get(sample, 0.0) for engine in self.engines)

    def close(self):
        servers = (*self.engines, self.plain, self.store)
        closing = [entry.close for entry in self.entries]
        closing += [node.stop for node in (*self.sides, *self.disks, *servers)]
        with ThreadPoolExecutor() as executor:
            for closed in [executor.submit(close) for close in closing]:
                closed.result()
