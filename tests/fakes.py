"""Small stand-ins at the interfaces of one process, driven without threads."""

import io
from collections import deque
from unittest import mock

from urllib3.exceptions import ProtocolError, ReadTimeoutError

from wigeonfront.coordination.delivery import DeliveryRights
from wigeonfront.coordination.keyed_work import KeyedWork
from wigeonfront.coordination.ledger import AttemptLedger
from wigeonfront.coordination.slots import Slot, SlotTable, minted_epoch
from wigeonfront.entry.sink import Ended, QueueSink
from wigeonfront.entry.slots import SlotTables
from wigeonfront.http import Answer, Lost, NotSent, encode
from wigeonfront.messages import DeliveryReply
from wigeonfront.metrics import Registry
from wigeonfront.outcomes import Completed
from wigeonfront.platform import Uncertain
from wigeonfront.platform.memory import MemoryKeyValue, MemoryVmList
from wigeonfront.policy.admission import AdmissionQueue, ClassLimit
from wigeonfront.policy.placement import SideView
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


def table_of(owner, epoch=1, lost_before=0):
    """Return tables in which one side owns every key."""
    tables = SlotTables()
    slot = Slot(owner=owner, epoch=epoch, incarnation="i", lost_before=lost_before)
    tables.take("desk", SlotTable(service="desk", slots=[slot]), 1)
    return tables


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


class MemoryStream:
    """A response whose body a test cuts, silences or interleaves."""

    def __init__(self, network, status, chunks, silence):
        self.network, self.status, self.silence = network, status, silence
        self.chunks = iter(chunks)
        self.injected = deque(network.preface)
        network.preface.clear()
        self.fault = None

    def stream(self, size):
        while True:
            if self.injected:
                yield self.injected.popleft()
            elif self.fault == "silent":
                self.network.clock.advance(self.silence)
                raise ReadTimeoutError(None, "", "silent")
            elif self.fault:
                raise ProtocolError(self.fault)
            else:
                chunk = self._next()
                if chunk is None:
                    return
                yield chunk

    def lose(self, chunks):
        """Let the side write so many chunks that never arrive."""
        for _ in range(chunks):
            self._next()

    def shutdown(self):
        self.fault = self.fault or "shut down"

    def close(self):
        self.shutdown()

    def _next(self):
        chunk = None if self.fault else next(self.chunks, None)
        if chunk is not None:
            self.network.recorded += chunk.splitlines(keepends=True)
        return chunk


class MemoryNetwork:
    """Calls between processes in one test, and the faults on their way.

    Attributes
    ----------
    applications : dict
        By address; nothing listens where there is none.
    fates : deque
        What happens to the next calls; ``whole`` when it is empty.
    late : list
        Calls that are still on their way: deliver them by calling them.
    recorded : list of bytes
        Every line of a stream.
    preface : list of bytes
        Lines with which the next stream begins.
    """

    FATES = (
        "whole",
        "not_sent",
        "lost",
        "late",
        "answer_lost",
        "twice",
        "again_later",
        "reset_before",
        "reset_after",
    )

    def __init__(self, clock):
        self.clock = clock
        self.applications = {}
        self.fates = deque()
        self.late = []
        self.recorded = []
        self.preface = []

    def pool(self, address, *seconds, **options):
        return MemoryPool(self, address)

    def call(self, pool, method, path, body):
        """Return status and chunks, or `NotSent` or `Lost`."""
        fate = self.fates.popleft() if self.fates else "whole"
        data = encode(body)

        def deliver():
            application = self.applications.get(pool.address)
            if application is None:
                return NotSent("refused")
            status, _, chunks = wsgi_call(application, method, path, data)
            return status, chunks

        if fate == "not_sent":
            return NotSent("refused")
        if fate in ("late", "again_later"):
            self.late.append(deliver)
        if fate in ("lost", "late"):
            return Lost("timeout")
        if fate == "reset_before":
            pool.interrupt()
        answer = deliver()
        if fate == "twice":
            deliver()
        if fate == "reset_after":
            pool.interrupt()
        return Lost("timeout") if fate == "answer_lost" else answer


class MemoryPool:
    """`wigeonfront.http.Pool` over a `MemoryNetwork`."""

    def __init__(self, network, address):
        self.network, self.address = network, address
        self.stream = None
        self.interrupt = lambda: None

    def call(self, method, path, body=None, headers=None, timeout=None):
        answer = self.network.call(self, method, path, body)
        if isinstance(answer, tuple):
            status, chunks = answer
            return Answer(status, b"".join(chunks))
        return answer

    def open_stream(self, path, body, read_seconds, fresh=True, head_seconds=None):
        answer = self.network.call(self, "POST", path, body)
        if isinstance(answer, tuple):
            self.stream = MemoryStream(self.network, *answer, read_seconds)
            return self.stream
        return answer

    def reset(self):
        pass

    def close(self):
        pass


class LateKeyValue(MemoryKeyValue):
    """A client whose writes may be late, and that others may come in between.

    Attributes
    ----------
    late : list
        Writes that are still on their way: make them by calling them.
    next_put : str
        ``late`` for a next write that takes effect later, if still expected;
        ``down`` if the service is not reached any more after it.
    between : callable or None
        Called once, after the next reading and before its answer is used.
    """

    def __init__(self, state, late):
        super().__init__(state=state)
        self.late = late
        self.next_put = ""
        self.between = None

    def get(self, key):
        found = super().get(key)
        between, self.between = self.between, None
        if between is not None:
            between()
        return found

    def put(self, key, value, expected=None, lease=0):
        fate, self.next_put = self.next_put, ""
        if not fate:
            return super().put(key, value, expected, lease)
        self.outage = self.outage or fate == "down"
        self.late.append(lambda: MemoryKeyValue.put(self, key, value, expected, lease))
        return Uncertain("no answer")


class ScriptedSide:
    """A side as an entry sees it: ends each attempt by the next step of a script.

    A step is an outcome, a callable that makes one of the attempt, or ``None`` for
    an attempt that never ends. `seconds` pass before the end.
    """

    def __init__(self, world, name, seconds=0.1):
        self.world, self.name, self.seconds = world, name, seconds
        self.script = deque()
        self.attempts, self.cancelled = [], []
        self.rights = DeliveryRights(world.clock)
        self.delivery = deque()

    def dispatch(self, attempts, sink):
        for attempt in attempts:
            self.attempts.append(attempt)
            step = self.script.popleft() if self.script else self.world.default
            outcome = step(attempt) if callable(step) else step
            if outcome is not None:
                at = self.world.clock.monotonic() + self.seconds
                end = (attempt.attempt, outcome, self.name)
                self.world.coming.append((at, sink, end))

    def cancel(self, attempts):
        self.cancelled += attempts

    def deliver(self, request):
        found = self.delivery.popleft() if self.delivery else "handled"
        if found == "handled":
            return self.rights.handle(request)
        return found and DeliveryReply(status=found)


class ScriptedSides:
    """The directory of an entry, with time that passes as its threads wait."""

    def __init__(self, clock, names=("s1", "s2"), capacity=4, default=None):
        self.clock, self.default = clock, default
        self.sides = {name: ScriptedSide(self, name) for name in names}
        self.views_by_name = {
            name: SideView(name, capacity=capacity, version=9) for name in names
        }
        self.coming, self.recorded = [], []
        self.gone = False
        self.expected = 0.0

    @property
    def attempts(self):
        return [one for side in self.sides.values() for one in side.attempts]

    @property
    def cancelled(self):
        return [one for side in self.sides.values() for one in side.cancelled]

    def passing(self):
        """Return a context in which time passes while a thread waits for an end."""
        return mock.patch.object(QueueSink, "get", lambda *call: self.wait(*call))

    def wait(self, sink, timeout):
        until = self.clock.monotonic() + timeout
        due = [at for at, into, _ in self.coming if into is sink]
        now = min([until, *due])
        self.clock.advance(max(0.0, now - self.clock.monotonic()))
        for one in sorted(self.coming, key=lambda one: one[0]):
            if one[0] <= self.clock.monotonic() and one[1] is sink:
                self.coming.remove(one)
                return Ended(*one[2])
        return None

    def caller_gone(self):
        return self.gone

    def reach(self, name):
        return self.sides.get(name)

    peer = reach

    def views(self, service):
        return list(self.views_by_name.values())

    def record(self, service, side, outcome):
        self.recorded.append((side, outcome))

    def measure(self, side, seconds, tokens):
        pass

    def expected_seconds(self, service, max_tokens):
        return self.expected
