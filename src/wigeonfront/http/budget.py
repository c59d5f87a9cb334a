"""Memory that bodies may take in this process.

Bodies are counted while they are held: an answer while it is read, a request until its
call has ended, the samples of a Lot until the process no longer runs it. Each kind has
a budget of its own. Requests and answers also have a common one, which is less than the
sum of theirs, so that neither leaves the other without room.
"""

import threading

BUDGET_SHARE = 0.55
"""Share of a process's memory that all bodies may take together."""

REQUEST_SHARE = 0.45
"""Share of a process's memory that the bodies of requests may take."""

ANSWER_SHARE = 0.25
"""Share of a process's memory that answers may take while they are read. Joining the
pieces of a body takes as much again."""

LOT_SHARE = 0.15
"""Share of a process's memory that the samples of the Lots it runs may take."""

SINGLE_SHARE = 0.5
"""Share of the budget that one answer may take."""

DEFAULT_MEMORY_BYTES = 512 * 1024 * 1024
"""Memory of a process that does not say how much it may use."""


class ByteBudget:
    """Limits the bytes that several holders hold together.

    Parameters
    ----------
    limit : int
        Largest number of bytes.
    parent : ByteBudget, optional
        Budget from which all bytes are taken as well.

    Examples
    --------
    >>> budget = ByteBudget(10)
    >>> budget.take(8), budget.take(8)
    (True, False)
    >>> budget.release(8)
    >>> budget.take(8)
    True
    """

    def __init__(self, limit: int, parent: "ByteBudget | None" = None) -> None:
        self._lock = threading.Lock()
        self._limit = limit
        self._taken = 0
        self._parent = parent

    def resize(self, limit: int) -> None:
        """Change the limit."""
        with self._lock:
            self._limit = limit

    @property
    def limit(self) -> int:
        """Largest number of bytes."""
        return self._limit

    @property
    def taken(self) -> int:
        """Bytes that are held now."""
        return self._taken

    @property
    def largest(self) -> int:
        """Largest number of bytes that one answer may take."""
        return int(SINGLE_SHARE * self._limit)

    def take(self, count: int, own: int | None = None) -> bool:
        """Count bytes as held; return ``False`` if they exceed the limit.

        Parameters
        ----------
        count : int
        own : int, optional
            Bytes that the holder has taken before. If nobody else holds any, it gets
            what it asks for, whatever the limit is. Without it the limit always
            applies.
        """
        with self._lock:
            alone = own is not None and self._taken <= own
            if self._taken + count > self._limit and not alone:
                return False
            if self._parent is not None and not self._parent.take(count, own):
                return False
            self._taken += count
            return True

    def add(self, count: int) -> None:
        """Count bytes as held, whatever the limit is."""
        with self._lock:
            self._taken += count
            if self._parent is not None:
                self._parent.add(count)

    def release(self, count: int) -> None:
        """Count bytes as no longer held."""
        with self._lock:
            self._taken -= count
            if self._parent is not None:
                self._parent.release(count)


PROCESS_BUDGET = ByteBudget(0)
"""Budget of all bodies that this process holds; see `fit_budgets`."""

REQUEST_BUDGET = ByteBudget(0, PROCESS_BUDGET)
"""Budget of the bodies of requests to this process."""

ANSWER_BUDGET = ByteBudget(0, PROCESS_BUDGET)
"""Budget of the answers that this process reads."""

LOT_BUDGET = ByteBudget(0)
"""Budget of the samples of the Lots that this process runs or reads."""


def fit_budgets(memory_bytes: int) -> None:
    """Adjust the budgets of this process to the memory that it may use."""
    PROCESS_BUDGET.resize(int(BUDGET_SHARE * memory_bytes))
    REQUEST_BUDGET.resize(int(REQUEST_SHARE * memory_bytes))
    ANSWER_BUDGET.resize(int(ANSWER_SHARE * memory_bytes))
    LOT_BUDGET.resize(int(LOT_SHARE * memory_bytes))


fit_budgets(DEFAULT_MEMORY_BYTES)
