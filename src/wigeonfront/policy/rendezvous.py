"""Rendezvous (highest random weight) order of names for a key.

Every process computes the same order from the same names, and a name that comes
or goes moves only the keys that it heads. Source: Thaler and Ravishankar, "Using
name-based mappings to increase hit rates", 1998.
"""

from collections.abc import Iterable
from functools import lru_cache
from hashlib import blake2b

_WEIGHT_BYTES = 8
_CACHED_WEIGHTS = 65_536


@lru_cache(maxsize=_CACHED_WEIGHTS)
def weight(key: str, name: str) -> int:
    """Return the stable pseudo-random weight of `name` for `key`."""
    text = f"{key}\0{name}".encode()
    return int.from_bytes(blake2b(text, digest_size=_WEIGHT_BYTES).digest())


def order(key: str, names: Iterable[str]) -> list[str]:
    """Return `names` by falling weight for `key`.

    Examples
    --------
    >>> order("group-7", ["a", "b", "c"]) == order("group-7", ["c", "a", "b"])
    True
    """
    return sorted(names, key=lambda name: (weight(key, name), name), reverse=True)
