"""The right to deliver a Lot, kept by the owner of the Lot's slot.

An entry registers each submission of a Lot (``begin``), takes the right just
before it writes the whole answer (``take``), and passes on the trainer's
acknowledgement (``acknowledge``).

Rules
-----
- The highest submission wins, also after a take: by posting it the trainer said
  that it reads no answer to an earlier one.
- Of several holders of the same submission the first to take has the right for
  good; a repeated take by the same holder is granted again.
- After the acknowledgement every call is told ``already_delivered``.
- ``unavailable`` means that nothing can be said for this submission: the owner
  has no record that the holder began it, or records were lost or are too many.
  The trainer is to post the Lot again under a higher submission. Its finished
  samples are replayed by the sides, so this costs one round trip.

Not covered: after records were lost, a late post of a lower submission, followed
by a second post of a submission that had been taken before the loss. The owner
can't tell that second post from the trainer's next one.

Examples
--------
>>> from wigeonfront.clock import ManualClock
>>> from wigeonfront.messages import DeliveryRequest
>>> rights = DeliveryRights(ManualClock())
>>> def ask(step, submission, holder):
...     request = DeliveryRequest(
...         step=step,
...         key="trainer/lot",
...         service="judge-llm",
...         submission=submission,
...         holder=holder,
...     )
...     return rights.handle(request).status
>>> ask("begin", 1, "entry-1"), ask("begin", 2, "entry-2")
('granted', 'granted')
>>> ask("take", 1, "entry-1"), ask("take", 2, "entry-2")
('superseded', 'granted')
>>> ask("acknowledge", 2, "entry-2"), ask("begin", 3, "entry-1")
('granted', 'already_delivered')
"""

import threading
from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass, field

from wigeonfront.clock import Clock
from wigeonfront.coordination.ownership import LostRecords, SlotOwnership
from wigeonfront.messages import DeliveryReply, DeliveryRequest

LOT_RETENTION = 900.0
MAX_LOTS = 20_000

GRANTED = DeliveryReply(status="granted")
SUPERSEDED = DeliveryReply(status="superseded")
ALREADY_DELIVERED = DeliveryReply(status="already_delivered")
NOT_OWNER = DeliveryReply(status="not_owner")
UNAVAILABLE = DeliveryReply(status="unavailable")


@dataclass(slots=True)
class LotRecord:
    """What the owner knows of one Lot; also the form in which it is handed over.

    Attributes
    ----------
    key : str
    submission : int
        The highest one registered.
    holders : list of str
        Who registered that submission.
    taken_by : str
        The holder with the right to deliver, or empty.
    delivered : bool
        The trainer has acknowledged.
    """

    key: str
    submission: int = 0
    holders: list[str] = field(default_factory=list)
    taken_by: str = ""
    delivered: bool = False


@dataclass(frozen=True, slots=True)
class SlotLots:
    """What an owner hands over of one slot."""

    lots: tuple[LotRecord, ...]
    lost: LostRecords | None = None


class DeliveryRights:
    """The Lots whose slots a side owns; may be called from any thread.

    Parameters
    ----------
    clock : Clock
        Retention goes by its monotonic reading.
    slot_of : callable, optional
        Slot of a Lot's key. Without it no ownership is checked.
    retention : float
        Seconds for which a Lot is kept after the last call about it.
    max_lots : int
        Most Lots kept. One more is ``unavailable``; none is forgotten early.
    """

    def __init__(
        self,
        clock: Clock,
        slot_of: Callable[[str], int] | None = None,
        retention: float = LOT_RETENTION,
        max_lots: int = MAX_LOTS,
    ) -> None:
        self._clock = clock
        self._retention = retention
        self._max_lots = max_lots
        self._lock = threading.Lock()
        self._owned = SlotOwnership(slot_of)
        self._lots: dict[str, LotRecord] = {}
        self._expiry: OrderedDict[str, float] = OrderedDict()

    def __len__(self) -> int:
        """Return the number of Lots kept."""
        return len(self._lots)

    def handle(self, request: DeliveryRequest) -> DeliveryReply:
        """Answer one step of an entry."""
        with self._lock:
            self._expire()
            if not self._owned.is_owner(request.key, request.epoch):
                return NOT_OWNER
            if request.step == "begin":
                return self._begin(request)
            if request.step == "take":
                return self._take(request)
            return self._acknowledge(request)

    def _begin(self, request: DeliveryRequest) -> DeliveryReply:
        lot = self._lots.get(request.key)
        if lot is None:
            return self._begin_unknown(request)
        self._touch(lot.key)
        if lot.delivered:
            return ALREADY_DELIVERED
        if request.submission < lot.submission:
            return SUPERSEDED
        if request.submission > lot.submission:
            self._raise_submission(lot, request)
            return GRANTED
        return self._begin_again(lot, request)

    def _begin_unknown(self, request: DeliveryRequest) -> DeliveryReply:
        if len(self._lots) >= self._max_lots:
            return UNAVAILABLE
        lot = self._add(request.key)
        self._raise_submission(lot, request)
        if self._owned.lost(request.key, self._clock.monotonic()) is None:
            return GRANTED
        # An earlier owner may have granted this very submission to another
        # holder, so that only a higher one is safe.
        lot.holders.clear()
        return UNAVAILABLE

    def _begin_again(self, lot: LotRecord, request: DeliveryRequest) -> DeliveryReply:
        """Register one more holder of the highest submission."""
        if request.holder in lot.holders:
            return SUPERSEDED if _is_taken_by_other(lot, request) else GRANTED
        if not lot.holders:
            return UNAVAILABLE
        if lot.taken_by:
            return SUPERSEDED
        lot.holders.append(request.holder)
        return GRANTED

    def _raise_submission(self, lot: LotRecord, request: DeliveryRequest) -> None:
        lot.submission = request.submission
        lot.holders = [request.holder]
        lot.taken_by = ""

    def _take(self, request: DeliveryRequest) -> DeliveryReply:
        lot = self._lots.get(request.key)
        if lot is None:
            return UNAVAILABLE
        self._touch(lot.key)
        if lot.delivered:
            return ALREADY_DELIVERED
        if request.submission < lot.submission or _is_taken_by_other(lot, request):
            return SUPERSEDED
        if request.submission > lot.submission or request.holder not in lot.holders:
            return UNAVAILABLE
        lot.taken_by = request.holder
        return GRANTED

    def _acknowledge(self, request: DeliveryRequest) -> DeliveryReply:
        lot = self._lots.get(request.key)
        if lot is None and len(self._lots) >= self._max_lots:
            return UNAVAILABLE
        lot = lot or self._add(request.key)
        self._touch(lot.key)
        lot.delivered = True
        return GRANTED

    def _add(self, key: str) -> LotRecord:
        lot = LotRecord(key)
        self._lots[key] = lot
        self._touch(key)
        return lot

    def _touch(self, key: str) -> None:
        self._expiry[key] = self._clock.monotonic() + self._retention
        self._expiry.move_to_end(key)

    def _expire(self) -> None:
        now = self._clock.monotonic()
        while self._expiry and next(iter(self._expiry.values())) <= now:
            key, _ = self._expiry.popitem(last=False)
            del self._lots[key]

    # --- slots ---

    def own(self, slot: int, epoch: int, lost: LostRecords | None = None) -> None:
        """Take up `slot` at `epoch`.

        While records are `lost`, the first submission seen of a Lot is
        ``unavailable`` and a higher one is granted.
        """
        with self._lock:
            self._owned.own(slot, epoch, self._clock.monotonic(), lost)

    def seal(self, slot: int) -> None:
        """Answer no more calls about `slot`."""
        with self._lock:
            self._owned.disown(slot)

    def export(self, slot: int) -> SlotLots:
        """Return the Lots of a sealed slot for its next owner."""
        with self._lock:
            assert not self._owned.owns(slot), "seal the slot before its export"
            lots = tuple(
                lot
                for lot in self._lots.values()
                if self._owned.contains(slot, lot.key)
            )
            return SlotLots(lots, self._owned.lost_in(slot, self._clock.monotonic()))

    def adopt(self, slot: int, epoch: int, handed: SlotLots) -> None:
        """Take over the Lots of a slot and own it."""
        with self._lock:
            for record in handed.lots:
                self._lots[record.key] = record
                self._touch(record.key)
            self._owned.own(slot, epoch, self._clock.monotonic(), handed.lost)


def _is_taken_by_other(lot: LotRecord, request: DeliveryRequest) -> bool:
    return lot.taken_by not in ("", request.holder)
