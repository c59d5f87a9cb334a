"""Texts of stopped Lots, whose samples may come again in a later Lot."""

from collections import OrderedDict

from wigeonfront.rollout.events import Text

MOST_RECENT_TEXTS = 2_000


class RecentTexts:
    """The texts that were kept last; not safe for use by several threads.

    A sample's id is that of one client account.
    """

    def __init__(self) -> None:
        self._texts: OrderedDict[tuple[str, str], Text] = OrderedDict()

    def keep(self, account: str, sample_id: str, text: Text) -> None:
        """Keep what a sample has; the oldest texts make room."""
        self._texts[account, sample_id] = text
        while len(self._texts) > MOST_RECENT_TEXTS:
            self._texts.popitem(last=False)

    def take(self, account: str, sample_id: str) -> Text | None:
        """Return a sample's text, and keep it no longer."""
        return self._texts.pop((account, sample_id), None)
