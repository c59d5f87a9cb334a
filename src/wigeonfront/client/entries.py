"""Calls to the entries in turn, with backoff and a deadline."""

import random
from collections.abc import Sequence
from typing import Any

from wigeonfront.clock import Clock
from wigeonfront.http.client import Answer, NotSent, Pool, Unanswered

GRACE_SECONDS = 0.5
"""Time after a deadline in which an answer that was sent at the deadline arrives."""

INITIAL_BACKOFF_SECONDS = 0.05
MAX_BACKOFF_SECONDS = 2.0
"""Largest upper bound of the random pause before a retry. The bound starts with
`INITIAL_BACKOFF_SECONDS`; once every entry has been called, each retry doubles it."""

CONNECT_SECONDS = 1.0


class Deadline:
    """The time left for a call with all its retries."""

    def __init__(self, clock: Clock, seconds: float) -> None:
        self._clock = clock
        self._end = clock.monotonic() + seconds

    @property
    def remaining(self) -> float:
        """Seconds until the deadline; negative after it."""
        return self._end - self._clock.monotonic()


class Entries:
    """Calls the entries in turn and pauses between retries.

    Parameters
    ----------
    addresses : sequence of str
        ``host:port`` of the entries, or of a load balancer in front of them.
    clock : Clock
    generator : random.Random or None
        Random generator for the jitter and the first entry; ``None`` for a new one.
    api_key : str
        API key of the client account; empty for none.

    Raises
    ------
    ValueError
        If there is no address.
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
        self._account_headers = (
            {"Authorization": f"Bearer {api_key}"} if api_key else {}
        )
        self.clock = clock

    @property
    def address(self) -> str:
        """``host:port`` of the entry whose turn it is."""
        return self._pools[self._next].address

    def call(
        self,
        method: str,
        path: str,
        body: Any,
        timeout: float,
        headers: dict[str, str] | None = None,
    ) -> Answer | NotSent | Unanswered:
        """Call the entry whose turn it is.

        After a lost call, the connections to that entry are replaced by new ones.

        Parameters
        ----------
        method, path : str
        body : Any
            Message to send as JSON; ``None`` for no body.
        timeout : float
            Seconds.
        headers : dict, optional
            Headers in addition to the API key.
        """
        pool = self._pools[self._next]
        all_headers = self._account_headers | (headers or {})
        answer = pool.call(method, path, body, all_headers, max(0.001, timeout))
        if isinstance(answer, Unanswered):
            pool.reset()
        return answer

    def wait(self, tries: int, retry_after: float, deadline: Deadline) -> bool:
        """Pause before a retry, which goes to the next entry.

        Parameters
        ----------
        tries : int
            Number of unsuccessful calls so far.
        retry_after : float
            Minimum pause in seconds.
        deadline : Deadline

        Returns
        -------
        bool
            ``False``, without a pause, if the retry would come after the deadline.
        """
        doublings = max(0, tries - len(self._pools))
        ceiling = min(
            MAX_BACKOFF_SECONDS, INITIAL_BACKOFF_SECONDS * 2 ** min(doublings, 10)
        )
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
