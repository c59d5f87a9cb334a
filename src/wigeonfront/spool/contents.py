"""The items on a disk of the spool, and the rules by which it accepts calls."""

from collections.abc import Iterator
from dataclasses import dataclass, field
from functools import singledispatchmethod

from wigeonfront.spool.calls import (
    Append,
    Done,
    Fenced,
    Forget,
    Gap,
    Held,
    Seal,
    SpoolAnswer,
)


@dataclass(slots=True)
class SpooledItems:
    """The items of one key.

    Attributes
    ----------
    fence : int
        Lowest fence that a writer may have.
    writer : int
        Fence of the writer of the items.
    position : int
        Position of the first item.
    items : list of bytes
    touched_at : float
        Monotonic time of the last change.
    """

    fence: int = 0
    writer: int = 0
    position: int = 0
    items: list[bytes] = field(default_factory=list)
    touched_at: float = 0.0

    @property
    def end(self) -> int:
        """Position after the last item."""
        return self.position + len(self.items)


class SpoolContents:
    """Items by their keys; the same calls in the same order give the same contents.

    Examples
    --------
    >>> contents = SpoolContents()
    >>> contents.apply(Append("d", "lot-1", 7, 0, 0, (b"a", b"b")), 0.0)
    Done()
    >>> contents.apply(Seal("d", "lot-1", 9), 0.0)
    Held(position=0, items=(b'a', b'b'))
    >>> contents.apply(Append("d", "lot-1", 7, 0, 2, (b"c",)), 0.0)
    Fenced()
    """

    def __init__(self) -> None:
        self._keys: dict[str, SpooledItems] = {}

    @property
    def item_count(self) -> int:
        """Number of items of all keys."""
        return sum(len(spooled.items) for spooled in self._keys.values())

    def apply(self, call: Append | Seal | Forget, now: float) -> SpoolAnswer:
        """Apply a call; the contents change only if it returns ``Done`` or ``Held``.

        Parameters
        ----------
        now : float
            Monotonic time in seconds.
        """
        spooled = self._keys.get(call.key)
        if spooled is not None and call.fence < spooled.fence:
            return Fenced()
        if spooled is None:
            spooled = SpooledItems()
        answer = self._apply(call, spooled)
        if not isinstance(answer, Gap):
            spooled.fence = call.fence
            spooled.touched_at = now
            self._keys[call.key] = spooled
        return answer

    def items_by_key(self, prefix: str) -> dict[str, tuple[bytes, ...]]:
        """Return the items of the keys that begin with `prefix`, without empty keys."""
        return {
            key: tuple(spooled.items)
            for key, spooled in self._keys.items()
            if key.startswith(prefix) and spooled.items
        }

    def forget_call(self, disk: str, key: str) -> Forget:
        """Return the call that drops all items of a key."""
        spooled = self._keys.get(key, SpooledItems())
        return Forget(disk, key, spooled.fence, spooled.end)

    def drop_untouched(self, before: float) -> int:
        """Drop the keys last changed before a monotonic time; return how many."""
        expired = [
            key for key, spooled in self._keys.items() if spooled.touched_at < before
        ]
        for key in expired:
            del self._keys[key]
        return len(expired)

    def snapshot_calls(self, disk: str) -> Iterator[Append | Seal]:
        """Yield calls that reproduce the contents."""
        for key, spooled in self._keys.items():
            items = tuple(spooled.items)
            yield Append(
                disk, key, spooled.writer, spooled.position, spooled.position, items
            )
            yield Seal(disk, key, spooled.fence)

    @singledispatchmethod
    def _apply(
        self, call: Append | Seal | Forget, spooled: SpooledItems
    ) -> SpoolAnswer:
        raise TypeError(f"not a spool call: {call!r}")

    @_apply.register
    def _(self, call: Append, spooled: SpooledItems) -> SpoolAnswer:
        same_writer = spooled.items and call.fence == spooled.writer
        if same_writer and call.position <= spooled.end:
            spooled.items.extend(call.items[spooled.end - call.position :])
            return Done()
        if call.position > call.kept:
            return Gap()
        spooled.writer = call.fence
        spooled.position = call.position
        spooled.items = list(call.items)
        return Done()

    @_apply.register
    def _(self, call: Seal, spooled: SpooledItems) -> SpoolAnswer:
        return Held(spooled.position, tuple(spooled.items))

    @_apply.register
    def _(self, call: Forget, spooled: SpooledItems) -> SpoolAnswer:
        dropped = min(max(0, call.position - spooled.position), len(spooled.items))
        spooled.items = spooled.items[dropped:]
        spooled.position += dropped
        return Done()
