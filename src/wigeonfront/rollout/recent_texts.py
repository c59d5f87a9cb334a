"""Keeps texts of stopped Lots, whose samples may be part of a later Lot."""

from collections import OrderedDict

from wigeonfront.rollout.events import Text

MAX_RECENT_TEXTS = 2_000
"""Limit of the kept texts of all client accounts."""


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
