"""Parses the events of a stream and joins them into the text of a sample."""

from dataclasses import dataclass, field

BOUNDARY = b"\n\n"

MAX_EVENT_BYTES = 1024 * 1024
"""Longest event: a page of results holds as many bytes."""


@dataclass(frozen=True, slots=True)
class StreamEvent:
    """One event of a stream.

    Attributes
    ----------
    id : int
        Position in the stream, from 1; 0 if the event has none.
    data : bytes
    version : int or None
        Version of the weights from this event on; ``None`` if the event names none.
    """

    id: int
    data: bytes
    version: int | None = None


class EventReader:
    """Splits the bytes of a stream into complete events.

    Parameters
    ----------
    version_field : bytes
        Name of the line that announces a version, in lower case and with the colon.
    """

    def __init__(self, version_field: bytes) -> None:
        self._version_field = version_field
        self._rest = b""

    @property
    def rest(self) -> bytes:
        """Bytes after the last complete event."""
        return self._rest

    def feed(self, piece: bytes) -> list[StreamEvent]:
        """Return the events that end in `piece`."""
        return [self._parse(raw) for raw in self.feed_raw(piece)]

    def feed_raw(self, piece: bytes) -> list[bytes]:
        """Return the bytes of the events that end in `piece`.

        Raises
        ------
        ValueError
            If the event that follows them is too long already.
        """
        self._rest = (self._rest + piece).replace(b"\r\n", b"\n")
        *whole, self._rest = self._rest.split(BOUNDARY)
        if len(self._rest) > MAX_EVENT_BYTES:
            raise ValueError(f"an event has more than {MAX_EVENT_BYTES} bytes")
        return [raw for raw in whole if raw.strip()]

    def parse(self, raw: bytes) -> StreamEvent:
        """Return the event that the bytes `raw` encode."""
        return self._parse(raw)

    def _parse(self, raw: bytes) -> StreamEvent:
        id = 0
        version: int | None = None
        data: list[bytes] = []
        for line in raw.split(b"\n"):
            name, _, value = line.partition(b":")
            value = value.removeprefix(b" ")
            if name == b"data":
                data.append(value)
            elif name == b"id" and value.isdigit():
                id = int(value)
            elif name.lower() + b":" == self._version_field:
                version = int(value)
        return StreamEvent(id, b"\n".join(data), version)


@dataclass(slots=True)
class Text:
    """The events of a sample so far, which several runs may have generated.

    Attributes
    ----------
    pieces : list of bytes
        Data of events 1, 2, 3 and so on.
    versions : set of int
        Versions of the weights that generated them.
    whole : bool
        The engine has ended the text, so that no event follows.
    """

    pieces: list[bytes] = field(default_factory=list)
    versions: set[int] = field(default_factory=set)
    whole: bool = False

    @property
    def last_id(self) -> int:
        """Id of the last event; 0 if there is none."""
        return len(self.pieces)

    @property
    def extent(self) -> int:
        """Number of events, plus one if the text is known to be whole."""
        return self.last_id + self.whole

    def add(self, event: StreamEvent, version: int) -> bool:
        """Add an event, and return whether its id is the next one; else ignore it."""
        if event.id != self.last_id + 1:
            return False
        self.pieces.append(event.data)
        self.versions.add(version)
        return True

    def fits(self, min_version: int, single_version: bool) -> bool:
        """Return whether the text may be part of a Lot with these bounds."""
        if any(version < min_version for version in self.versions):
            return False
        return not single_version or len(self.versions) <= 1

    def joined(self) -> bytes:
        """Return the whole text."""
        return b"\n".join(self.pieces)

    def copy(self) -> "Text":
        """Return a copy that later events do not change."""
        return Text(list(self.pieces), set(self.versions), self.whole)
