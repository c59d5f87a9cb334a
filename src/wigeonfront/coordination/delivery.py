"""The right to deliver a Lot, held by the side that owns the Lot's slot.

Rules
-----
- The highest submission wins: its trainer has said that it will not read the
  answer to a lower one.
- Of two holders of one submission, the first to take the right has it; the other
  is superseded.
- A holder that asks again gets the same answer.
- After the acknowledgement nothing of the Lot is delivered.

Examples
--------
>>> from wigeonfront.clock import ManualClock
>>> rights = DeliveryRights(ManualClock(), retention=600)
>>> rights.begin("trainer/lot", 1, "entry-1")
'granted'
>>> rights.begin("trainer/lot", 2, "entry-2")
'granted'
>>> rights.take("trainer/lot", 1, "entry-1")
'superseded'
>>> rights.take("trainer/lot", 2, "entry-2")
'granted'
>>> rights.acknowledge("trainer/lot")
'granted'
>>> rights.take("trainer/lot", 2, "entry-2")
'already_delivered'
"""

import threading
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from typing import Literal

from wigeonfront.clock import Clock

Right = Literal["granted", "superseded", "already_delivered", "unavailable"]

MAX_LOTS = 50_000


@dataclass(slots=True)
class _Lot:
    submission: int
    touched: float
    holder: str = ""
    acknowledged: bool = False


@dataclass(frozen=True, slots=True)
class LotRecord:
    """One Lot as handed over to the slot's next owner."""

    key: str
    submission: int
    holder: str
    acknowledged: bool


class DeliveryRights:
    """Who may deliver which Lot; thread-safe.

    Parameters
    ----------
    clock : Clock
    retention : float
        Seconds for which a Lot is remembered after it was last spoken of.
    max_lots : int
        Most Lots remembered; beyond that a new Lot is ``unavailable``.
    """

    def __init__(
        self, clock: Clock, retention: float, max_lots: int = MAX_LOTS
    ) -> None:
        self._clock = clock
        self._retention = retention
        self._max_lots = max_lots
        self._lock = threading.Lock()
        self._lots: dict[str, _Lot] = {}

    def __len__(self) -> int:
        """Return the number of Lots remembered."""
        return len(self._lots)

    def begin(self, key: str, submission: int, holder: str) -> Right:
        """Register a submission; a higher one than known supersedes the rest."""
        with self._lock:
            lot = self._known(key, submission)
            if lot is None:
                return "unavailable"
            return self._standing(lot, submission, holder)

    def take(self, key: str, submission: int, holder: str) -> Right:
        """Ask for the right to write the answer, just before it is written."""
        with self._lock:
            lot = self._known(key, submission)
            if lot is None:
                return "unavailable"
            standing = self._standing(lot, submission, holder)
            if standing == "granted":
                lot.holder = holder
            return standing

    def acknowledge(self, key: str) -> Right:
        """End a Lot; repeated acknowledgements change nothing."""
        with self._lock:
            lot = self._known(key, 0)
            if lot is None:
                return "unavailable"
            if lot.acknowledged:
                return "already_delivered"
            lot.acknowledged = True
            return "granted"

    def expire(self) -> None:
        """Forget Lots not spoken of for the retention time."""
        with self._lock:
            oldest = self._clock.monotonic() - self._retention
            stale = [key for key, lot in self._lots.items() if lot.touched < oldest]
            for key in stale:
                del self._lots[key]

    def export(self, belongs: Callable[[str], bool]) -> tuple[LotRecord, ...]:
        """Return the Lots whose key `belongs` to a slot handed over."""
        with self._lock:
            return tuple(
                LotRecord(key, lot.submission, lot.holder, lot.acknowledged)
                for key, lot in self._lots.items()
                if belongs(key)
            )

    def adopt(self, records: Iterable[LotRecord]) -> None:
        """Take over Lots that another owner exported."""
        now = self._clock.monotonic()
        with self._lock:
            for record in records:
                self._lots[record.key] = _Lot(
                    record.submission, now, record.holder, record.acknowledged
                )

    def _known(self, key: str, submission: int) -> _Lot | None:
        lot = self._lots.get(key)
        if lot is None:
            if len(self._lots) >= self._max_lots:
                return None
            lot = self._lots[key] = _Lot(submission, 0.0)
        lot.touched = self._clock.monotonic()
        return lot

    def _standing(self, lot: _Lot, submission: int, holder: str) -> Right:
        if lot.acknowledged:
            return "already_delivered"
        if submission > lot.submission:
            lot.submission = submission
            lot.holder = ""
        if submission < lot.submission or lot.holder not in ("", holder):
            return "superseded"
        return "granted"
