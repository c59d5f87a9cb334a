"""An equal part of each catalogue entry's limits, for each entry process.

Every entry that may admit work takes an equal part, so the parts add up to the
limit wherever the entries agree on who they are. A rate is divided; of a number of
slots the first entries by name get one more where it can't be divided evenly.
"""

from collections.abc import Collection

from wigeonfront.catalogue import Limits
from wigeonfront.policy.limits import Grant


def equal_grant(limits: Limits, own: str, entries: Collection[str]) -> Grant:
    """Return the part of `limits` that the entry `own` may use.

    Parameters
    ----------
    limits : Limits
        Of the catalogue entry, over all entries together.
    own : str
        This entry.
    entries : collection of str
        The other entries that may admit work.

    Examples
    --------
    >>> equal_grant(Limits(rate=10.0, concurrency=5), "a", ["b"])
    Grant(rate=5.0, concurrency=3, until=inf, fallback=None)
    """
    names = sorted({own, *entries})
    place, count = names.index(own), len(names)
    rate = None if limits.rate is None else limits.rate / count
    concurrency = limits.concurrency
    if concurrency is not None:
        concurrency = concurrency // count + (place < concurrency % count)
    return Grant(rate, concurrency)
