"""The slots that a side owns, and the records that earlier owners lost.

Examples
--------
>>> owned = SlotOwnership(lambda key: 0)
>>> owned.own(0, epoch=3, now=10.0, lost=LostRecords(before=3, remaining=60.0))
>>> owned.is_owner("booking-1", 3), owned.is_owner("booking-1", 2)
(True, False)
>>> owned.lost("booking-1", now=30.0)
LostRecords(before=3, remaining=40.0)
>>> owned.lost("booking-1", now=70.0)
"""

from collections.abc import Callable
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class LostRecords:
    """Records of a slot that no side has any more.

    Attributes
    ----------
    before : int
        They are of epochs under this one.
    remaining : float
        Seconds until all of them would have been past their retention.
    """

    before: int
    remaining: float


class SlotOwnership:
    """Which slots are owned, at which epochs. The holder guards it by its lock.

    Parameters
    ----------
    slot_of : callable, optional
        Slot of a key. Without it every key counts as owned.
    """

    def __init__(self, slot_of: Callable[[str], int] | None = None) -> None:
        self._slot_of = slot_of
        self._epochs: dict[int, int] = {}
        self._lost: dict[int, tuple[int, float]] = {}

    @property
    def enforced(self) -> bool:
        """Whether ownership is checked at all."""
        return self._slot_of is not None

    def own(
        self, slot: int, epoch: int, now: float, lost: LostRecords | None = None
    ) -> None:
        """Take up `slot`. A window of lost records known before goes on."""
        self._epochs[slot] = epoch
        if lost is not None:
            before, until = self._lost.get(slot, (0, 0.0))
            until = max(until, now + lost.remaining)
            self._lost[slot] = (max(before, lost.before), until)

    def disown(self, slot: int) -> None:
        """Give up `slot`; its window of lost records stays known."""
        self._epochs.pop(slot, None)

    def owns(self, slot: int) -> bool:
        """Tell whether `slot` is owned."""
        return slot in self._epochs

    def contains(self, slot: int, key: str) -> bool:
        """Tell whether `key` falls into `slot`."""
        return self._slot_of is not None and self._slot_of(key) == slot

    def is_owner(self, key: str, epoch: int) -> bool:
        """Tell whether the slot of `key` is owned at just this epoch."""
        return self._slot_of is None or self._epochs.get(self._slot_of(key)) == epoch

    def lost(self, key: str, now: float) -> LostRecords | None:
        """Return what is lost of the slot of `key`, if anything."""
        return None if self._slot_of is None else self.lost_in(self._slot_of(key), now)

    def lost_in(self, slot: int, now: float) -> LostRecords | None:
        """Return what is lost of `slot`, if anything."""
        before, until = self._lost.get(slot, (0, 0.0))
        return LostRecords(before, until - now) if now < until else None
