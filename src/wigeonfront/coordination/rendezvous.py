"""Rendezvous hashing: who has what, worked out alike by every process.

Each (key, name) pair has a pseudo-random score. The name with the highest score
has the key, so when a name leaves only its own keys move. With weights the
expected share of a name is proportional to its weight [1]_.

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
    """Return the score of `name` for `key`: higher goes first.

    Parameters
    ----------
    key, name : str
    weight : float
        Share of `name` in relation to others; 0 or less never wins.

    Returns
    -------
    float
        Positive; an exponential variate's reciprocal times `weight`.
    """
    if weight <= 0:
        return 0.0
    rank = int.from_bytes(_rank(key.encode() + SEPARATOR, name))
    uniform = (rank + 0.5) / SCORE_RANGE
    # A uniform that rounds to 1 has the highest score there is.
    return weight / -math.log(uniform) if uniform < 1.0 else math.inf


def ranked(
    key: str, names: Iterable[str], weights: Mapping[str, float] | None = None
) -> list[str]:
    """Return `names` in the order of their claim on `key`.

    Parameters
    ----------
    key : str
    names : iterable of str
        Without repetition, in any order.
    weights : mapping, optional
        Weight by name; 1 for names left out.
    """
    shares = weights or {}
    scored = [(score(key, name, shares.get(name, 1.0)), name) for name in names]
    scored.sort(reverse=True)
    return [name for _, name in scored]


def owner(
    key: str, names: Iterable[str], weights: Mapping[str, float] | None = None
) -> str | None:
    """Return the first of `ranked`, or ``None`` where there are no names."""
    shares = weights or {}
    best = max(
        ((score(key, name, shares.get(name, 1.0)), name) for name in names),
        default=(0.0, None),
    )
    return best[1]


def bounded_owner(
    key: str,
    loads: Mapping[str, float],
    added: float = 1.0,
    factor: float = LOAD_FACTOR,
) -> str | None:
    """Return the first of `ranked` whose load stays near the mean.

    Parameters
    ----------
    key : str
    loads : mapping
        Present load by name, in any unit.
    added : float
        Load that the key brings, in the same unit.
    factor : float
        At least 1: most load of a name, relative to the mean with `added`.

    Returns
    -------
    str or None
        The least loaded name where none has room; ``None`` where `loads` is
        empty.

    Examples
    --------
    >>> favourite = owner("prompt", ["a", "b"])
    >>> bounded_owner("prompt", {"a": 0, "b": 0}) == favourite
    True
    >>> loads = {"a": 0, "b": 0} | {favourite: 10}
    >>> bounded_owner("prompt", loads) == favourite
    False
    """
    if not loads:
        return None
    limit = factor * (sum(loads.values()) + added) / len(loads)
    order = ranked(key, loads)
    for name in order:
        if loads[name] + added <= max(limit, added):
            return name
    return min(order, key=lambda name: loads[name])


def subset(
    member: str, members: Iterable[str], targets: Iterable[str], size: int
) -> list[str]:
    """Return the targets that `member` uses.

    Each target is used by the same number of members, its best ranked ones, so
    that no target is left out and none is used more than the others. A member
    that leaves is replaced at just its own targets. One member's share is worked
    out alone, with a few hashes for each target however many members there are.

    Parameters
    ----------
    member : str
    members : iterable of str
        All members; `member` is added where it is missing.
    targets : iterable of str
    size : int
        Mean number of targets of a member. The shares spread about it as a
        binomial variate, and are larger where the members are too few to use
        each target once.

    Returns
    -------
    list of str
        Sorted. All targets, where there are no more than `size`.

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


def _is_among_best(member: str, others: list[str], target: str, places: int) -> bool:
    """Tell whether fewer than `places` of `others` go before `member`."""
    prefix = target.encode() + SEPARATOR
    own = (_rank(prefix, member), member)
    better = 0
    for other in others:
        if (_rank(prefix, other), other) > own:
            better += 1
            if better >= places:
                return False
    return True


def _rank(prefix: bytes, name: str) -> bytes:
    return blake2b(prefix + name.encode(), digest_size=SCORE_BYTES).digest()
