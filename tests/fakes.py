"""Small stand-ins at the interfaces of one process, driven without threads."""

import io
from collections import deque

from wigeonfront.coordination.delivery import DeliveryRights
from wigeonfront.coordination.keyed_work import KeyedWork
from wigeonfront.coordination.ledger import AttemptLedger
from wigeonfront.coordination.slots import minted_epoch
from wigeonfront.http import encode
from wigeonfront.metrics import Registry
from wigeonfront.outcomes import Completed
from wigeonfront.platform.memory import MemoryKeyValue, MemoryVmList
from wigeonfront.policy.admission import AdmissionQueue, ClassLimit
from wigeonfront.side.execution import Execution
from wigeonfront.side.learning import Learning
from wigeonfront.side.server import SideParts, SideServer
from wigeonfront.side.slots import SlotKeeper

RETENTION = 1e9
BEAT = 1.0


def wsgi_call(application, method, path, body=None, **environ):
    """Return status, headers and chunks of one call, with no socket between."""
    data = body if isinstance(body, bytes) else encode(body)
    environ = {
        "REQUEST_METHOD": method,
        "PATH_INFO": path,
        "CONTENT_LENGTH": str(len(data)),
        "wsgi.input": io.BytesIO(data),
    } | environ
    started = []
    chunks = application(environ, lambda *status: started.append(status))
    status, headers = started[0]
    return int(status.split()[0]), dict(headers), chunks


class ScriptedTarget:
    """Runs attempts by a script of callables, and writes down what it ran."""

    def __init__(self):
        self.script = deque()
        self.executed = []

    def run(self, run):
        self.executed.append(run.attempt.attempt)
        step = self.script.popleft() if self.script else whole
        return step(run) if callable(step) else step

    def cancel(self, run):
        pass


def whole(run):
    return Completed(run.attempt.payload, tuple(run.versions), "t")


class VirtualLedger(AttemptLedger):
    """Streams that wait let the clock run instead."""

    def wait(self, entry, entry_incarnation, session, after, timeout):
        found = self.results(entry, entry_incarnation, session, after)
        if found == ():
            self._clock.advance(timeout)
        return found


class SideProcess:
    """The real parts of one side around a scripted target."""

    def __init__(
        self,
        clock,
        incarnation="s",
        name="side-1",
        generates=False,
        capacity=1,
        headroom=0,
        key_value=None,
        vm_list=None,
        **keeper_parts,
    ):
        self.clock, self.incarnation, self.name = clock, incarnation, name
        self.target = ScriptedTarget()
        self.queue = AdmissionQueue(
            capacity,
            {"interactive": headroom},
            {"rollout": ClassLimit(queue=4)},
            clock,
            on_expired=lambda item, outcome: self.execution.expired(item, outcome),
        )
        self.execution = Execution(self.queue, self.target, clock, generates)
        self.rights = DeliveryRights(clock, lambda key: self.keeper.slot_of(key))
        self.keeper = SlotKeeper(
            name,
            "desk",
            incarnation,
            key_value or MemoryKeyValue(clock),
            vm_list or MemoryVmList(),
            self.rights,
            RETENTION,
            clock,
            **keeper_parts,
        )
        keys = KeyedWork(
            RETENTION,
            slot_of=lambda key: self.keeper.slot_of(key),
            minted_epoch=minted_epoch,
        )
        self.ledger = VirtualLedger(incarnation, clock, self.execution.admit, keys)
        self.execution.connect(self.ledger)
        self.keeper.connect(self.ledger)
        self.server = SideServer(
            SideParts(
                name=name,
                service="desk",
                incarnation=incarnation,
                capacity=capacity,
                beat_seconds=BEAT,
                clock=clock,
                ledger=self.ledger,
                queue=self.queue,
                execution=self.execution,
                learning=Learning("desk"),
                slots=self.keeper,
                rights=self.rights,
                metrics=Registry(),
            )
        )
        self.application = self.server.application()

    def expire(self):
        """Do what the side's expiry task does."""
        self.queue.sweep()
        self.execution.stop_runs(self.ledger.expire(), "expired")
