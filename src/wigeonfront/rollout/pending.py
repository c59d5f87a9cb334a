"""Tells whether a Lot may be accepted though the store has no head row of it.

While the store is away a Lot is accepted on disks, and the store lacks it until its
entry or the process with the disk has written its head row. All disks of a Lot have
it before it is accepted, and drop it only once the store has it.
"""

import logging
import threading
from collections.abc import Callable, Sequence
from dataclasses import dataclass

from wigeonfront.clock import Clock
from wigeonfront.coordination.membership import MAX_ABSENCE_SECONDS
from wigeonfront.observability.logs import event
from wigeonfront.rollout.submissions import KEY_PREFIX
from wigeonfront.spool import SpoolClient, Unreached

logger = logging.getLogger(__name__)

LISTING_SECONDS = 0.25
"""How long one listing of the disks serves all callers. A Lot that was accepted since
is not listed; other entries need to know it only a second after its acceptance."""


@dataclass(frozen=True, slots=True)
class DisksSeen:
    """The processes with a disk, as an entry's copy of the store's rows shows them.

    Attributes
    ----------
    addresses : tuple of str
        Of those that are registered.
    absent : tuple of str
        Names of those that were registered once and are not now.
    followed_for : float or None
        Seconds for which the copy has followed the store; ``None`` while it does not.
    """

    addresses: tuple[str, ...]
    absent: tuple[str, ...]
    followed_for: float | None


@dataclass(frozen=True, slots=True)
class _Listing:
    lots: frozenset[str]
    unreached: str
    listed_at: float


class PendingLots:
    """The Lots that disks have and the store may lack.

    Parameters
    ----------
    spool : SpoolClient
    seen : callable
        Returns the `DisksSeen` of this entry.
    clock : Clock
    """

    def __init__(
        self, spool: SpoolClient, seen: Callable[[], DisksSeen], clock: Clock
    ) -> None:
        self._spool = spool
        self._seen = seen
        self._clock = clock
        self._lock = threading.Lock()
        self._listing: _Listing | None = None

    def doubt(self, lot_id: str) -> str:
        """Return why a Lot that the store lacks may still be accepted.

        Empty where it was not, or is in the store by now: a reader has to look there
        again.
        """
        seen = self._seen()
        reason = doubt_of_disks(seen)
        if not reason and seen.addresses:
            listing = self._listed(seen.addresses)
            pending = lot_id in listing.lots
            reason = "on disks, not in the store yet" if pending else listing.unreached
        if reason:
            event(logger, "lot_in_doubt", lot=lot_id, reason=reason)
        return reason

    def _listed(self, addresses: Sequence[str]) -> _Listing:
        """Return the listing; one that is made does for all that wait for it."""
        with self._lock:
            listing = self._listing
            now = self._clock.monotonic()
            if listing is None or now - listing.listed_at > LISTING_SECONDS:
                listing = self._list(addresses, now)
                self._listing = listing
            return listing

    def _list(self, addresses: Sequence[str], now: float) -> _Listing:
        lots: set[str] = set()
        for address in addresses:
            keys = self._spool.keys(address, KEY_PREFIX)
            if isinstance(keys, Unreached):
                return _Listing(frozenset(lots), f"disk {address} not reached", now)
            lots.update(key.removeprefix(KEY_PREFIX) for key in keys)
        return _Listing(frozenset(lots), "", now)


def doubt_of_disks(seen: DisksSeen) -> str:
    """Return why disks that are not registered may have Lots; empty if they have none.

    The registration of a process lapses in an outage that lasts longer than its lease.
    """
    if seen.followed_for is None:
        return "store not followed"
    if seen.absent and seen.followed_for < MAX_ABSENCE_SECONDS:
        return f"disk of {seen.absent[0]} not back"
    return ""
