"""The items on a disk of the spool, and the rules by which it accepts calls."""

import math
from collections.abc import Iterator
from dataclasses import dataclass, field
from functools import singledispatch

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

    def answer(self, call: Append | Seal | Forget) -> SpoolAnswer:
        """Return the answer to a call, without a change of the contents."""
        spooled = self._keys.get(call.key, _NO_ITEMS)
        if call.fence < spooled.fence:
            return Fenced()
        return _answer(call, spooled)

    def apply(self, call: Append | Seal | Forget, now: float) -> SpoolAnswer:
        """Apply a call; the contents change only if it returns ``Done`` or ``Held``.

        Parameters
        ----------
        now : float
            Monotonic time in seconds.
        """
        answer = self.answer(call)
        if isinstance(answer, Done | Held):
            spooled = self._keys.setdefault(call.key, SpooledItems())
            _change(call, spooled)
            spooled.fence = call.fence
            spooled.touched_at = now
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

    def has_untouched(self, before: float) -> bool:
        """Return whether a key was last changed before a monotonic time."""
        return any(spooled.touched_at < before for spooled in self._keys.values())

    def drop_untouched(self, before: float) -> int:
        """Drop the keys last changed before a monotonic time; return how many."""
        expired = [
            key for key, spooled in self._keys.items() if spooled.touched_at < before
        ]
        for key in expired:
            del self._keys[key]
        return len(expired)

    def snapshot_calls(
        self, disk: str, since: float = -math.inf
    ) -> Iterator[Append | Seal]:
        """Yield calls that reproduce the keys last changed at `since` or later."""
        for key, spooled in self._keys.items():
            if spooled.touched_at < since:
                continue
            items = tuple(spooled.items)
            yield Append(
                disk, key, spooled.writer, spooled.position, spooled.position, items
            )
            yield Seal(disk, key, spooled.fence)


_NO_ITEMS = SpooledItems()


def _continues(call: Append, spooled: SpooledItems) -> bool:
    """Return whether the call's items overlap or follow those of the same writer."""
    same_writer = bool(spooled.items) and call.fence == spooled.writer
    return same_writer and call.position <= spooled.end


@singledispatch
def _answer(call: Append | Seal | Forget, spooled: SpooledItems) -> SpoolAnswer:
    raise TypeError(f"not a spool call: {call!r}")


@_answer.register
def _(call: Append, spooled: SpooledItems) -> SpoolAnswer:
    if _continues(call, spooled) or call.position <= call.kept:
        return Done()
    return Gap()


@_answer.register
def _(call: Seal, spooled: SpooledItems) -> SpoolAnswer:
    return Held(spooled.position, tuple(spooled.items))


@_answer.register
def _(call: Forget, spooled: SpooledItems) -> SpoolAnswer:
    return Done()


@singledispatch
def _change(call: Append | Seal | Forget, spooled: SpooledItems) -> None:
    raise TypeError(f"not a spool call: {call!r}")


@_change.register
def _(call: Append, spooled: SpooledItems) -> None:
    if _continues(call, spooled):
        spooled.items.extend(call.items[spooled.end - call.position :])
        return
    spooled.writer = call.fence
    spooled.position = call.position
    spooled.items = list(call.items)


@_change.register
def _(call: Seal, spooled: SpooledItems) -> None:
    """Change nothing but the fence, which each accepted call sets."""


@_change.register
def _(call: Forget, spooled: SpooledItems) -> None:
    dropped = min(max(0, call.position - spooled.position), len(spooled.items))
    spooled.items = spooled.items[dropped:]
    spooled.position += dropped
