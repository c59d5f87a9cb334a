"""Keeps what stopped Lots left unfinished and later Lots may contain again."""

from collections import OrderedDict

from wigeonfront.rollout.events import Text
from wigeonfront.rollout.lot import Lot
from wigeonfront.rollout.progress import LotProgress

MAX_RECENT_TEXTS = 2_000
"""Limit of the kept texts of all client accounts."""


MAX_INCOMPLETE_SAMPLES = 20_000
"""Limit of the samples of incomplete groups that are kept, of all client accounts."""


class IncompleteSamples:
    """The samples of groups that Lots left incomplete; not thread-safe.

    The ids of samples are unique only within a client account.
    """

    def __init__(self) -> None:
        # Key: client account and id of the sample. Value: id of the Lot.
        self._lots: OrderedDict[tuple[str, str], str] = OrderedDict()

    def note(self, progress: LotProgress) -> None:
        """Note the samples of a stopped Lot's incomplete groups.

        Required groups stay required if the Lot comes back to this process. Groups that
        have become whole are forgotten.
        """
        lot = progress.lot
        for sample in lot.samples:
            key, group = (lot.account, sample.id), sample.group or sample.id
            if progress.groups[group].whole:
                self._lots.pop(key, None)
            elif group not in progress.required_groups:
                self._lots[key] = lot.id
                self._lots.move_to_end(key)
        while len(self._lots) > MAX_INCOMPLETE_SAMPLES:
            self._lots.popitem(last=False)

    def groups_left(self, lot: Lot) -> frozenset[str]:
        """Return the groups of a Lot that an earlier Lot left incomplete."""
        return frozenset(
            sample.group or sample.id
            for sample in lot.samples
            if self._lots.get((lot.account, sample.id), lot.id) != lot.id
        )


class RecentTexts:
    """The latest texts of stopped Lots; not thread-safe.

    The ids of samples are unique only within a client account.
    """

    def __init__(self) -> None:
        self._texts: OrderedDict[tuple[str, str], Text] = OrderedDict()

    def keep(self, account: str, sample_id: str, text: Text) -> None:
        """Keep a sample's text, and drop the oldest texts beyond the limit."""
        self._texts[account, sample_id] = text
        while len(self._texts) > MAX_RECENT_TEXTS:
            self._texts.popitem(last=False)

    def pop(self, account: str, sample_id: str) -> Text | None:
        """Return a sample's text, if it is kept, and remove it."""
        return self._texts.pop((account, sample_id), None)
