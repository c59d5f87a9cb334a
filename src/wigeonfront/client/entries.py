"""The entries in turn, and the time left for a call."""

import random
from collections.abc import Sequence
from typing import Any

from wigeonfront.clock import Clock
from wigeonfront.http.client import Answer, NotSent, Pool, Unanswered

GRACE_SECONDS = 0.5
"""Time beyond a deadline that an answer given at it needs to arrive."""

FIRST_PAUSE = 0.05
LONGEST_PAUSE = 2.0
"""Seconds up to which the random pauses between tries grow, from the first on."""

CONNECT_SECONDS = 1.0


class Deadline:
    """The time left for a call, over all its tries."""

    def __init__(self, clock: Clock, seconds: float) -> None:
        self._clock = clock
        self._end = clock.monotonic() + seconds

    @property
    def remaining(self) -> float:
        """Seconds left, negative once passed."""
        return self._end - self._clock.monotonic()


class Entries:
    """The entries in turn, with the pauses between tries.

    Parameters
    ----------
    addresses : sequence of str
        ``host:port`` of entries, or of a balancer before them.
    clock : Clock
    generator : random.Random or None
        Source of the jitter.
    api_key : str
        API key of the client account; empty for none.
    """

    def __init__(
        self,
        addresses: Sequence[str],
        clock: Clock,
        generator: random.Random | None,
        api_key: str = "",
    ) -> None:
        if not addresses:
            raise ValueError("no entry address given")
        self._generator = generator or random.Random()
        self._pools = [Pool(str(address), CONNECT_SECONDS) for address in addresses]
        self._next = self._generator.randrange(len(self._pools))
        self._own_headers = {"Authorization": f"Bearer {api_key}"} if api_key else {}
        self.clock = clock

    @property
    def address(self) -> str:
        """The entry whose turn it is."""
        return self._pools[self._next].address

    def call(
        self,
        method: str,
        path: str,
        body: Any,
        timeout: float,
        headers: dict[str, str] | None = None,
    ) -> Answer | NotSent | Unanswered:
        """Call the entry whose turn it is; a lost call leaves its connections."""
        pool = self._pools[self._next]
        sent = self._own_headers | (headers or {})
        answer = pool.call(method, path, body, sent, max(0.001, timeout))
        if isinstance(answer, Unanswered):
            pool.reset()
        return answer

    def wait(self, tries: int, retry_after: float, deadline: Deadline) -> bool:
        """Go to the next entry and wait before the next try.

        Parameters
        ----------
        tries : int
            Tries made so far without success.
        retry_after : float
            Least seconds to wait.
        deadline : Deadline

        Returns
        -------
        bool
            ``False``, without a wait, if the next try would come too late.
        """
        rounds = max(0, tries - len(self._pools))
        ceiling = min(LONGEST_PAUSE, FIRST_PAUSE * 2 ** min(rounds, 10))
        pause = retry_after + self._generator.uniform(0, ceiling)
        if pause >= deadline.remaining:
            return False
        self._next = (self._next + 1) % len(self._pools)
        self.clock.sleep(pause)
        return True

    def close(self) -> None:
        """Close all connections."""
        for pool in self._pools:
            pool.close()
