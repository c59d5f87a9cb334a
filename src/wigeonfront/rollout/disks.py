"""What the store's rows say of the disks of Lots, and what they prove.

That a process does not answer proves nothing about its disk: either side may be cut
off. The functions are pure.
"""

from collections.abc import Mapping
from dataclasses import dataclass, field

from wigeonfront.spool.file import RETENTION_SECONDS

LAPSED_SECONDS = RETENTION_SECONDS
"""Time for which a disk must be unregistered to count as lost. After this time without
a change a disk drops the items of a Lot, so that waiting longer is of no use."""


@dataclass(frozen=True, slots=True)
class DiskRegistrations:
    """The processes that have a disk, as an entry's mirror of the store shows them.

    Attributes
    ----------
    addresses : tuple of str
        Addresses of the registered processes.
    absent : tuple of str
        Names of the processes that were registered before and are not any more.
    followed_for : float or None
        Seconds for which the mirror has followed the store without a break; ``None`` if
        it does not follow it.
    registered : mapping of str to str
        Addresses of the registered processes, by the ids of their disks.
    recorded : frozenset of str or None
        Ids of the disks that were registered last at each machine, also of those that
        are not registered any more; ``None`` if a row can't be decoded.
    revision : int
        Revision of the store that the mirror shows.
    """

    addresses: tuple[str, ...]
    absent: tuple[str, ...]
    followed_for: float | None
    registered: Mapping[str, str] = field(default_factory=dict)
    recorded: frozenset[str] | None = None
    revision: int = 0


def loss_proof(
    disk: str, rows: DiskRegistrations, since_revision: int, unregistered_for: float
) -> str:
    """Return what proves that a disk is lost for good; empty without a proof.

    Parameters
    ----------
    disk : str
        Id of the disk.
    rows : DiskRegistrations
    since_revision : int
        Revision of the store by which the disk had certainly been registered.
    unregistered_for : float
        Seconds for which this process has not seen the disk registered.

    Examples
    --------
    >>> rows = DiskRegistrations((), (), 9.0, {}, frozenset({"d2"}), 7)
    >>> loss_proof("d1", rows, 7, 0.0), loss_proof("d2", rows, 7, 0.0)
    ('replaced', '')
    """
    if rows.followed_for is None or rows.revision < since_revision:
        return ""
    if disk in rows.registered:
        return ""
    if rows.recorded is not None and disk not in rows.recorded:
        return "replaced"
    if min(unregistered_for, rows.followed_for) >= LAPSED_SECONDS:
        return "unregistered for long"
    return ""
