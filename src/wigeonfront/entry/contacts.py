"""Who was in touch with this entry lately.

Two records: the entries that have answered this entry's polls, from which follows
until when it is in touch with most members, and the entries that have polled this
one, from which another entry learns whether a former member goes on.
"""

import threading
from dataclasses import dataclass

from wigeonfront.clock import Clock
from wigeonfront.entry.member_calls import Poll, PollReply

POLLED_MARGIN = 1.5
"""Clocks of two VMs may differ in rate; a poller is remembered so much longer."""

REFRESH_SECONDS = 0.25
"""The majority is worked out anew so often; meanwhile a later answer counts not."""


@dataclass(frozen=True, slots=True)
class Heard:
    """The last answer of an entry, and when the poll for it was sent."""

    reply: PollReply
    at: float


@dataclass(frozen=True, slots=True)
class _Polled:
    digest: str
    at: float


@dataclass(frozen=True, slots=True)
class _Majority:
    needed: int
    since: float | None
    stale_at: float


class Contacts:
    """Answers and polls of the last `bound` seconds.

    Parameters
    ----------
    clock : Clock
    bound : float
        Seconds for which an answer counts as being in touch.
    """

    def __init__(self, clock: Clock, bound: float) -> None:
        self._clock = clock
        self._bound = bound
        self._lock = threading.Lock()
        self._heard: dict[str, Heard] = {}
        self._polled: dict[str, _Polled] = {}
        self._started = clock.monotonic()
        self._majority = _Majority(0, None, 0.0)

    @property
    def bound(self) -> float:
        """Seconds for which an answer counts as being in touch."""
        return self._bound

    def note_heard(self, reply: PollReply, asked_at: float) -> None:
        """Note an answer to a poll that was sent at `asked_at`."""
        with self._lock:
            self._heard[reply.name] = Heard(reply, asked_at)

    def note_polled(self, poll: Poll) -> None:
        """Note a poll of another entry."""
        with self._lock:
            self._polled[poll.name] = _Polled(poll.digest, self._clock.monotonic())

    def heard(self) -> dict[str, Heard]:
        """Return the answers that still count."""
        horizon = self._clock.monotonic() - self._bound
        with self._lock:
            for name in [n for n, one in self._heard.items() if one.at <= horizon]:
                del self._heard[name]
            return dict(self._heard)

    def majority_since(self, electorate: int) -> float | None:
        """Return the time of the oldest answer needed for a strict majority.

        Parameters
        ----------
        electorate : int
            Entries counted from, this one included.

        Returns
        -------
        float or None
            A reading of the monotonic clock; ``None`` without a majority.
        """
        now = self._clock.monotonic()
        needed = electorate // 2
        if needed == 0:
            return now
        with self._lock:
            if self._majority.needed != needed or now >= self._majority.stale_at:
                self._majority = self._new_majority(needed, now)
            since = self._majority.since
        return None if since is None or now - since >= self._bound else since

    def _new_majority(self, needed: int, now: float) -> "_Majority":
        times = sorted((one.at for one in self._heard.values()), reverse=True)
        since = times[needed - 1] if len(times) >= needed else None
        return _Majority(needed, since, now + REFRESH_SECONDS)

    def polled_lately(self, names: list[str]) -> dict[str, str]:
        """Return those of `names` that may have polled lately, with their digests.

        A process that has just started doesn't know what its predecessor answered;
        it names all.
        """
        now = self._clock.monotonic()
        horizon = now - self._bound * POLLED_MARGIN
        just_started = self._started > horizon
        digests = dict.fromkeys(names, "") if just_started else {}
        with self._lock:
            for name in [n for n, one in self._polled.items() if one.at <= horizon]:
                del self._polled[name]
            for name in names:
                if name in self._polled:
                    digests[name] = self._polled[name].digest
        return digests
