"""Which side owns an idempotency key or a Lot, as this entry knows it."""

from collections.abc import Callable
from dataclasses import dataclass
from hashlib import blake2b


@dataclass(frozen=True, slots=True)
class Owner:
    """The side that owns a slot, at an epoch."""

    side: str
    slot: int
    epoch: int


class SlotView:
    """Owners by rendezvous over the listed sides of a service.

    Parameters
    ----------
    sides : callable
        Returns the names of a service's sides.
    """

    def __init__(self, sides: Callable[[str], list[str]]) -> None:
        self._sides = sides

    def owner(self, service: str, key: str) -> Owner | None:
        """Return the owner of `key`, or ``None`` while there is none."""
        names = self._sides(service)
        if not names:
            return None
        best = max(names, key=lambda name: _weight(key, name))
        return Owner(best, 0, 0)


def _weight(key: str, name: str) -> bytes:
    return blake2b(f"{key}\0{name}".encode(), digest_size=8).digest()
