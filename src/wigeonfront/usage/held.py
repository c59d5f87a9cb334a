"""Copies of the starts that other processes have recorded."""

import threading
from collections.abc import Iterable, Mapping

from wigeonfront.usage.starts import RETENTION_SECONDS, Start


class HeldStarts:
    """Copies of starts by the incarnation that recorded them; thread-safe."""

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
        """Add copies, and remove outdated ones; a copy that is held stays unchanged.

        Parameters
        ----------
        incarnation : str
            Incarnation of the process that recorded the starts.
        starts : iterable of tuples
            Number, account and time on this machine's steady clock of each start.
        withdrawn : iterable of int
            Numbers of starts whose requests did not run after all.
        now : float
            Time on this machine's steady clock.
        """
        with self._lock:
            copies = self._held.setdefault(incarnation, {})
            for number, account, at in starts:
                copies.setdefault(number, Start(number, account, at))
            for number in withdrawn:
                if number in copies:
                    copies[number].withdrawn = True
            self._remove_older(now - RETENTION_SECONDS)

    def since(self, at: float) -> Mapping[str, list[Start]]:
        """Return the starts from a time on by incarnation, without withdrawn ones."""
        with self._lock:
            found = {
                incarnation: [
                    start
                    for start in starts.values()
                    if start.at >= at and not start.withdrawn
                ]
                for incarnation, starts in self._held.items()
            }
        return {incarnation: starts for incarnation, starts in found.items() if starts}

    def _remove_older(self, before: float) -> None:
        for incarnation, starts in list(self._held.items()):
            for number in [
                start.number for start in starts.values() if start.at < before
            ]:
                del starts[number]
            if not starts:
                del self._held[incarnation]
