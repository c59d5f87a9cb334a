"""Copies of the starts that other processes have noted."""

import threading
from collections.abc import Iterable, Mapping

from wigeonfront.usage.starts import RETENTION_SECONDS, Start


class HeldStarts:
    """Starts by the incarnation of the process that noted them; safe for threads."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._held: dict[str, dict[int, Start]] = {}

    def hold(
        self,
        incarnation: str,
        starts: Iterable[tuple[int, str, float]],
        withdrawn: Iterable[int],
        now: float,
    ) -> None:
        """Hold copies; one that is held already stays as it is.

        Parameters
        ----------
        starts : iterable of tuples
            Number, account and time on this machine's steady clock.
        withdrawn : iterable of int
            Numbers of starts that were none.
        now : float
            Time on this machine's steady clock.
        """
        with self._lock:
            mine = self._held.setdefault(incarnation, {})
            for number, account, at in starts:
                mine.setdefault(number, Start(number, account, at))
            for number in withdrawn:
                if number in mine:
                    mine[number].withdrawn = True
            self._remove_older(now - RETENTION_SECONDS)

    def since(self, at: float) -> Mapping[str, list[Start]]:
        """Return the starts that ran from a time on, by incarnation."""
        with self._lock:
            found = {
                incarnation: [
                    one for one in starts.values() if one.at >= at and not one.withdrawn
                ]
                for incarnation, starts in self._held.items()
            }
        return {incarnation: starts for incarnation, starts in found.items() if starts}

    def _remove_older(self, before: float) -> None:
        for incarnation, starts in list(self._held.items()):
            for number in [one.number for one in starts.values() if one.at < before]:
                del starts[number]
            if not starts:
                del self._held[incarnation]
