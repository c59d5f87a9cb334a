"""Rendezvous (highest random weight) order of names for a key.

Every process computes the same order from the same names, and a name that comes
or goes moves only the keys that it heads. Source: Thaler and Ravishankar, "Using
name-based mappings to increase hit rates", 1998.
"""

from collections.abc import Iterable, Sequence
from functools import lru_cache
from hashlib import blake2b

_WEIGHT_BYTES = 8
# An entry of the cache takes about 200 bytes; a node's memory budget is 32 MB.
_CACHED_WEIGHTS = 4096


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


def owner(key: str, names: Iterable[str]) -> str | None:
    """Return the first name in the order for `key`; ``None`` without names."""
    return max(names, key=lambda name: (weight(key, name), name), default=None)


def subset(
    member: str, members: Iterable[str], targets: Sequence[str], size: int
) -> list[str]:
    """Return which `targets` a member uses, so that all are used about evenly.

    Members take their places in a fixed order; each round of members deals all
    targets out once, in an order of the round's own, so the number of members on
    two targets differs by one at most within a round.

    Parameters
    ----------
    member : str
        Who asks; one of `members`.
    members : iterable of str
        All members.
    targets : sequence of str
        All targets.
    size : int
        Targets wanted for each member.

    Examples
    --------
    >>> subset("a", ["a", "b"], ["t1", "t2", "t3", "t4"], 2) + subset(
    ...     "b", ["a", "b"], ["t1", "t2", "t3", "t4"], 2
    ... ) == order("round 0", ["t1", "t2", "t3", "t4"])
    True
    """
    if size >= len(targets):
        return list(targets)
    place = sorted({*members, member}).index(member)
    per_round = max(1, len(targets) // size)
    dealt = order(f"round {place // per_round}", targets)
    start = (place % per_round) * size
    return dealt[start : start + size]
