"""Rendezvous hashing: every process maps a key to the same one of several names.

Each (key, name) pair has a pseudo-random score, and the name with the highest score
owns the key. When a name leaves, only its own keys move. With weights, the expected
share of a name is proportional to its weight [1]_.

References
----------
.. [1] C. Schindelhauer, G. Schomaker, "Weighted Distributed Hash Tables",
   SPAA 2005.

Examples
--------
>>> owner("lot-1", ["a", "b", "c"]) in {"a", "b", "c"}
True
>>> first, second, third = ranked("lot-1", ["a", "b", "c"])
>>> owner("lot-1", [second, third]) == second
True
"""

import math
from collections.abc import Iterable, Mapping
from hashlib import blake2b

SCORE_BYTES = 8
SCORE_RANGE = 2 ** (8 * SCORE_BYTES)
LOAD_FACTOR = 1.25
SEPARATOR = b"\0"


def score(key: str, name: str, weight: float = 1.0) -> float:
    """Return the score of `name` for `key`; the highest score owns the key.

    Parameters
    ----------
    key, name : str
    weight : float
        Share of `name` relative to that of the others. A name with a weight of 0 or
        less gets the score 0.

    Returns
    -------
    float
        The reciprocal of an exponential variate, times `weight`.
    """
    if weight <= 0:
        return 0.0
    digest = int.from_bytes(_digest(key.encode() + SEPARATOR, name))
    uniform = (digest + 0.5) / SCORE_RANGE
    # A variate that rounds to 1 gets the highest score, which is infinite.
    return weight / -math.log(uniform) if uniform < 1.0 else math.inf


def ranked(
    key: str, names: Iterable[str], weights: Mapping[str, float] | None = None
) -> list[str]:
    """Return `names` in the order of their scores for `key`, the owner first.

    Parameters
    ----------
    key : str
    names : iterable of str
        Names without repetition, in any order.
    weights : mapping, optional
        Weight by name. Names that are missing have the weight 1.
    """
    weight_by_name = weights or {}
    scored = [(score(key, name, weight_by_name.get(name, 1.0)), name) for name in names]
    scored.sort(reverse=True)
    return [name for _, name in scored]


def owner(
    key: str, names: Iterable[str], weights: Mapping[str, float] | None = None
) -> str | None:
    """Return the first name of `ranked`, or ``None`` where there are no names."""
    weight_by_name = weights or {}
    highest = max(
        ((score(key, name, weight_by_name.get(name, 1.0)), name) for name in names),
        default=(0.0, None),
    )
    return highest[1]


def bounded_owner(
    key: str,
    loads: Mapping[str, float],
    added: float = 1.0,
    factor: float = LOAD_FACTOR,
) -> str | None:
    """Return the first name of `ranked` whose load stays near the mean.

    Parameters
    ----------
    key : str
    loads : mapping
        Present load by name, in any unit.
    added : float
        Load that the key adds, in the same unit.
    factor : float
        Highest load of a name relative to the mean that includes `added`; at least 1.

    Returns
    -------
    str or None
        The name with the lowest load where none has capacity; ``None`` where `loads`
        is empty.

    Examples
    --------
    >>> first = owner("prompt", ["a", "b"])
    >>> bounded_owner("prompt", {"a": 0, "b": 0}) == first
    True
    >>> loads = {"a": 0, "b": 0} | {first: 10}
    >>> bounded_owner("prompt", loads) == first
    False
    """
    if not loads:
        return None
    limit = factor * (sum(loads.values()) + added) / len(loads)
    names = ranked(key, loads)
    for name in names:
        if loads[name] + added <= max(limit, added):
            return name
    return min(names, key=lambda name: loads[name])


def subset(
    member: str, members: Iterable[str], targets: Iterable[str], size: int
) -> list[str]:
    """Return the targets that `member` uses.

    Each target is used by the same number of members, namely those that rank highest
    for it, so that no target is left out and none is used more than the others. When a
    member leaves, only its own targets get another member. A member computes its own
    subset alone, with a few hashes for each target regardless of the number of members.

    Parameters
    ----------
    member : str
    members : iterable of str
        All members. `member` is added where it is missing.
    targets : iterable of str
    size : int
        Mean number of targets of a member. The sizes of the subsets vary about it like
        a binomial variate. They are larger where there are too few members to use each
        target once.

    Returns
    -------
    list of str
        The targets in sorted order: all of them, where there are at most `size`.

    Examples
    --------
    >>> targets = [f"side-{number}" for number in range(40)]
    >>> shares = [subset(member, "abcd", targets, 10) for member in "abcd"]
    >>> sorted(sum(shares, [])) == sorted(targets)
    True
    """
    chosen = sorted(set(targets))
    if len(chosen) <= size:
        return chosen
    others = sorted({*members} - {member})
    replicas = max(1, round((len(others) + 1) * size / len(chosen)))
    return [
        target for target in chosen if _is_among_best(member, others, target, replicas)
    ]


def _is_among_best(member: str, others: list[str], target: str, count: int) -> bool:
    """Return whether fewer than `count` of `others` rank higher than `member`."""
    prefix = target.encode() + SEPARATOR
    own_rank = (_digest(prefix, member), member)
    higher = 0
    for other in others:
        if (_digest(prefix, other), other) > own_rank:
            higher += 1
            if higher >= count:
                return False
    return True


def _digest(prefix: bytes, name: str) -> bytes:
    return blake2b(prefix + name.encode(), digest_size=SCORE_BYTES).digest()
