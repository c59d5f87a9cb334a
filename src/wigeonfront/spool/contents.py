"""What a disk of the spool holds, and which calls it takes."""

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
class Spooled:
    """The items of one key.

    Attributes
    ----------
    fence : int
        Lowest that a writer may have.
    writer : int
        Fence of the one that wrote the items.
    position : int
        Of the first item.
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
        """Position behind the last item."""
        return self.position + len(self.items)


class SpoolContents:
    """Items by their keys; the same calls in the same order give the same contents.

    Examples
    --------
    >>> contents = SpoolContents()
    >>> contents.take(Append("d", "lot-1", 7, 0, 0, (b"a", b"b")), 0.0)
    Done()
    >>> contents.take(Seal("d", "lot-1", 9), 0.0)
    Held(position=0, items=(b'a', b'b'))
    >>> contents.take(Append("d", "lot-1", 7, 0, 2, (b"c",)), 0.0)
    Fenced()
    """

    def __init__(self) -> None:
        self._keys: dict[str, Spooled] = {}

    @property
    def item_count(self) -> int:
        """Items of all keys."""
        return sum(len(one.items) for one in self._keys.values())

    def take(self, call: Append | Seal | Forget, now: float) -> SpoolAnswer:
        """Carry out a call at a monotonic time; only ``Done`` and ``Held`` changed it.

        Parameters
        ----------
        now : float
        """
        one = self._keys.get(call.key)
        if one is not None and call.fence < one.fence:
            return Fenced()
        if one is None:
            one = Spooled()
        answer = self._take(call, one)
        if not isinstance(answer, Gap):
            one.fence = call.fence
            one.touched_at = now
            self._keys[call.key] = one
        return answer

    def held(self, prefix: str) -> dict[str, tuple[bytes, ...]]:
        """Return the items of the keys that begin with `prefix` and have any."""
        return {
            key: tuple(one.items)
            for key, one in self._keys.items()
            if key.startswith(prefix) and one.items
        }

    def forget_call(self, disk: str, key: str) -> Forget:
        """Return the call that drops all items of a key."""
        one = self._keys.get(key, Spooled())
        return Forget(disk, key, one.fence, one.end)

    def drop_untouched(self, before: float) -> int:
        """Drop the keys that were last changed before a monotonic time."""
        old = [key for key, one in self._keys.items() if one.touched_at < before]
        for key in old:
            del self._keys[key]
        return len(old)

    def calls(self, disk: str) -> Iterator[Append | Seal]:
        """Return calls that make the same contents anew."""
        for key, one in self._keys.items():
            items = tuple(one.items)
            yield Append(disk, key, one.writer, one.position, one.position, items)
            yield Seal(disk, key, one.fence)

    @singledispatchmethod
    def _take(self, call: Append | Seal | Forget, one: Spooled) -> SpoolAnswer:
        raise TypeError(f"not a call: {call!r}")

    @_take.register
    def _(self, call: Append, one: Spooled) -> SpoolAnswer:
        same_writer = one.items and call.fence == one.writer
        if same_writer and call.position <= one.end:
            one.items.extend(call.items[one.end - call.position :])
            return Done()
        if call.position > call.kept:
            return Gap()
        one.writer = call.fence
        one.position = call.position
        one.items = list(call.items)
        return Done()

    @_take.register
    def _(self, call: Seal, one: Spooled) -> SpoolAnswer:
        return Held(one.position, tuple(one.items))

    @_take.register
    def _(self, call: Forget, one: Spooled) -> SpoolAnswer:
        gone = min(max(0, call.position - one.position), len(one.items))
        one.items = one.items[gone:]
        one.position += gone
        return Done()
