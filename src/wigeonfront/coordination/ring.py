"""A consistent-hash ring, which maps a key to one of several names.

When a name joins or leaves, only the keys at its own points move.

Examples
--------
>>> ring = HashRing(["a", "b", "c"])
>>> ring.owner("engine-1") in {"a", "b", "c"}
True
>>> HashRing([]).owner("engine-1") is None
True
"""

from bisect import bisect
from collections.abc import Iterable
from hashlib import blake2b

POINTS_PER_NAME = 64
"""Number of points of each name on the ring. With 64 points, the shares of the names
deviate from the mean by an eighth of it."""

POINT_BYTES = 8


class HashRing:
    """A consistent-hash ring of `names`.

    Parameters
    ----------
    names : iterable of str
    """

    def __init__(self, names: Iterable[str]) -> None:
        pairs = sorted(
            (_point(f"{number}:{name}"), name)
            for name in names
            for number in range(POINTS_PER_NAME)
        )
        self._points = [point for point, _ in pairs]
        self._names = [name for _, name in pairs]

    def owner(self, key: str) -> str | None:
        """Return the name whose point follows the point of `key`.

        ``None`` where there are no names.
        """
        if not self._points:
            return None
        index = bisect(self._points, _point(key))
        return self._names[index % len(self._names)]


def _point(text: str) -> int:
    return int.from_bytes(blake2b(text.encode(), digest_size=POINT_BYTES).digest())
