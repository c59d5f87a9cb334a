"""Decides whether a Lot may have been accepted although the store has no row of it.

While the store is unavailable, a Lot is accepted on disks. The store lacks it until the
accepting entry or a process that has one of the disks has written the head row. All
disks of a Lot have it before it is accepted, and delete it only once the store has it.
"""

import logging
import threading
from collections.abc import Callable, Sequence
from dataclasses import dataclass

from wigeonfront.clock import Clock
from wigeonfront.observability.logs import event
from wigeonfront.rollout.disks import LAPSED_SECONDS, DiskRegistrations
from wigeonfront.rollout.submissions import KEY_PREFIX
from wigeonfront.spool import SpoolClient, Unreached

logger = logging.getLogger(__name__)

LISTING_SECONDS = 0.25
"""Time for which one listing of the disks serves all callers. It lacks Lots that were
accepted since, but other entries need to know a Lot only one second after it was
accepted."""


@dataclass(frozen=True, slots=True)
class _Listing:
    """The ids of the Lots on all disks, and the reason if a disk was not reached."""

    lots: frozenset[str]
    failure: str
    listed_at: float


class PendingLots:
    """The Lots that disks have and that the store may lack.

    Parameters
    ----------
    spool : SpoolClient
    disks : callable
        Returns the `DiskRegistrations` that this entry knows.
    clock : Clock
    """

    def __init__(
        self, spool: SpoolClient, disks: Callable[[], DiskRegistrations], clock: Clock
    ) -> None:
        self._spool = spool
        self._disks = disks
        self._clock = clock
        self._lock = threading.Lock()
        self._listing: _Listing | None = None

    def doubt_reason(self, lot_id: str) -> str:
        """Return why a Lot that the store lacked may have been accepted.

        The reason is empty if the Lot was not accepted or is in the store by now, so
        the caller has to read the store again.
        """
        disks = self._disks()
        reason = doubt_about_disks(disks)
        if not reason and disks.addresses:
            listing = self._current_listing(disks.addresses)
            pending = lot_id in listing.lots
            reason = "on disks, not in the store yet" if pending else listing.failure
        if reason:
            event(logger, "lot_in_doubt", lot=lot_id, reason=reason)
        return reason

    def _current_listing(self, addresses: Sequence[str]) -> _Listing:
        """Return a recent listing; concurrent callers wait for one and share it."""
        with self._lock:
            listing = self._listing
            now = self._clock.monotonic()
            if listing is None or now - listing.listed_at > LISTING_SECONDS:
                listing = self._list_disks(addresses, now)
                self._listing = listing
            return listing

    def _list_disks(self, addresses: Sequence[str], now: float) -> _Listing:
        lots: set[str] = set()
        for address in addresses:
            keys = self._spool.keys(address, KEY_PREFIX)
            if isinstance(keys, Unreached):
                return _Listing(frozenset(lots), f"disk {address} not reached", now)
            lots.update(key.removeprefix(KEY_PREFIX) for key in keys)
        return _Listing(frozenset(lots), "", now)


def doubt_about_disks(disks: DiskRegistrations) -> str:
    """Return why unregistered disks may have Lots; empty if they can't have any.

    The registration of a process lapses in an outage that outlasts its lease, and while
    the process is cut off. A disk that was replaced is not absent, and has no Lots.
    """
    if disks.followed_for is None:
        return "store not followed"
    if disks.absent and disks.followed_for < LAPSED_SECONDS:
        return f"disk of {disks.absent[0]} not back"
    return ""
