"""The fleet of engines that an entry orders, without a network."""

import threading

from wigeonfront.clock import ManualClock
from wigeonfront.configuration import Configuration, Service
from wigeonfront.coordination.assignment import Holders
from wigeonfront.observability.metrics import Registry
from wigeonfront.targets.target import Target
from wigeonfront.weights.fleet import EngineFleet

NAME = "n1"
CONFIGURATION = Configuration(1, (), {"s": Service("s", "/health", 1, 1, ("m",))})
JOIN_SECONDS = 0.3


class Tasks:
    """A supervisor that runs nothing; each stop lets another thread go first."""

    def __init__(self):
        self.stopped = []
        self.meanwhile = lambda: None

    def start(self, name, run):
        pass

    def stop_task(self, name):
        self.stopped.append(name)
        thread = threading.Thread(target=self.meanwhile, daemon=True)
        thread.start()
        thread.join(JOIN_SECONDS)


class Orders:
    """The rights of an entry that orders every engine."""

    def update_assignment(self, assignment):
        pass

    def fence(self, address):
        return None


def test_threads_that_update_the_fleet_at_once_do_not_fail(monkeypatch):
    """An exception here ends the task that follows the configuration or the targets."""
    monkeypatch.setattr(Holders, "holder", lambda self, address: NAME)
    engines = [Target(id, "s", f"10.0.0.1:{id}", "z", 1) for id in "123"]
    tasks, present = Tasks(), list(engines)
    fleet = EngineFleet(
        NAME,
        tasks,
        Orders(),
        lambda: present,
        list,
        lambda: CONFIGURATION,
        lambda target: None,
        ManualClock(),
        Registry(),
    )
    fleet.update()
    present.clear()
    tasks.meanwhile = fleet.update
    fleet.update()
    assert sorted(tasks.stopped) == ["1", "2", "3"]
