"""The entries in turn, their connections, and the time left for a call."""

import random
from collections import deque
from collections.abc import Sequence
from typing import Any

from wigeonfront.client.connection import Connection
from wigeonfront.clock import Clock
from wigeonfront.http import Answer, Lost, NotSent

# The entry answers at the deadline; its answer needs a moment to arrive.
GRACE_SECONDS = 0.5
FIRST_PAUSE = 0.05
LONGEST_PAUSE = 2.0
# Answers by which the entries behind one address are known.
REMEMBERED_NAMES = 16


class Deadline:
    """The time left for a call, over all its tries."""

    def __init__(self, clock: Clock, seconds: float) -> None:
        self._clock = clock
        self._end = clock.monotonic() + seconds

    @property
    def remaining(self) -> float:
        """Seconds left, negative once passed."""
        return self._end - self._clock.monotonic()


class Entry:
    """One address: an entry, or a balancer before several.

    Attributes
    ----------
    address : str
    names : deque of str
        The entries that answered lately, as they name themselves.
    """

    def __init__(self, address: str) -> None:
        self.address = address
        self.names: deque[str] = deque(maxlen=REMEMBERED_NAMES)
        self._idle: Connection | None = None

    def connection(self, fresh: bool = True) -> Connection:
        """Return a connection, a new one if `fresh` or if none is usable."""
        kept, self._idle = self._idle, None
        if kept is not None:
            if not fresh and kept.idle:
                return kept
            kept.close()
        return Connection(self.address)

    def keep(self, connection: Connection) -> None:
        """Keep a connection whose call was answered."""
        self._idle = connection

    def call(
        self, method: str, path: str, body: Any, timeout: float
    ) -> Answer | NotSent | Lost:
        """Make one short call on a new connection."""
        connection = Connection(self.address)
        failed = connection.send(method, path, body, {})
        if failed is not None:
            return failed
        answer = Lost("timeout")
        if connection.wait(timeout):
            answer = connection.receive()
        connection.close()
        return answer

    def close(self) -> None:
        """Close the connection that is kept."""
        if self._idle is not None:
            self._idle.close()
            self._idle = None


class Entries:
    """The entries in turn, with the pauses between tries.

    Parameters
    ----------
    addresses : sequence of str
    clock : Clock
    generator : random.Random or None
        Source of the jitter.
    """

    def __init__(
        self, addresses: Sequence[str], clock: Clock, generator: random.Random | None
    ) -> None:
        if not addresses:
            raise ValueError("no entry address given")
        self._generator = generator or random.Random()
        self._all = [Entry(str(address)) for address in addresses]
        self._next = self._generator.randrange(len(self._all))
        self.clock = clock

    @property
    def entry(self) -> Entry:
        """The entry whose turn it is."""
        return self._all[self._next]

    def wait(
        self,
        tries: int,
        retry_after: float,
        deadline: Deadline,
        at_once: bool = False,
    ) -> bool:
        """Go to the next entry and wait before the next try.

        Parameters
        ----------
        tries : int
            Tries made so far without success.
        retry_after : float
            Least seconds to wait.
        deadline : Deadline
        at_once : bool
            Don't wait; for the first tries only.

        Returns
        -------
        bool
            ``False``, without a wait, if the next try would come too late.
        """
        rounds = max(0, tries - len(self._all))
        ceiling = min(LONGEST_PAUSE, FIRST_PAUSE * 2 ** min(rounds, 10))
        pause = retry_after + self._generator.uniform(0, ceiling)
        if at_once and not rounds:
            pause = 0.0
        if pause >= deadline.remaining:
            return False
        self._next = (self._next + 1) % len(self._all)
        self.clock.sleep(pause)
        return True

    def close(self) -> None:
        """Close all connections."""
        for entry in self._all:
            entry.close()
