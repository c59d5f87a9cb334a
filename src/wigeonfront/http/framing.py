"""Where the body of a request ends (RFC 9112, section 6).

`framing_of` reads it from the headers. A request whose headers contradict each other,
or that leave room for two readings, is refused: a server behind this one might read
another request out of it. `ChunkDecoder` takes a chunked body apart as its bytes
arrive, without reading any itself.
"""

import re
from collections.abc import Mapping
from dataclasses import dataclass

MAX_LENGTH_DIGITS = 18
MAX_SIZE_DIGITS = 15

FINE_CHUNKS = 1_000
"""Number of chunks from which on their average size is looked at."""

FINE_CHUNK_BYTES = 64
"""Average size of a chunk below which decoding takes far more time than reading."""

_LENGTH = re.compile(rb"[0-9]{1,%d}" % MAX_LENGTH_DIGITS)
_SIZE_LINE = re.compile(rb"([0-9A-Fa-f]{1,%d})[ \t]*(;[^\r\n]*)?" % MAX_SIZE_DIGITS)


@dataclass(frozen=True, slots=True)
class FixedLength:
    """The body has `count` bytes; 0 if there is none."""

    count: int


@dataclass(frozen=True, slots=True)
class Chunked:
    """The body consists of chunks, of which the last is empty."""


@dataclass(frozen=True, slots=True)
class BadFraming:
    """The headers do not say where the body ends."""

    reason: str


Framing = FixedLength | Chunked


def framing_of(
    headers: Mapping[bytes, bytes], protocol: bytes
) -> FixedLength | Chunked | BadFraming:
    """Return how the body of a request is delimited.

    Parameters
    ----------
    headers : mapping of bytes to bytes
        The headers by their names in title case; the values of repeated ones are
        joined by commas.
    protocol : bytes
        Protocol of the request, such as ``HTTP/1.1``.
    """
    length = headers.get(b"Content-Length")
    codings = headers.get(b"Transfer-Encoding")
    if codings is None:
        if length is None:
            return FixedLength(0)
        if not _LENGTH.fullmatch(length):
            return BadFraming("malformed Content-Length")
        return FixedLength(int(length))
    if length is not None:
        return BadFraming("Content-Length beside Transfer-Encoding")
    if protocol == b"HTTP/1.0":
        return BadFraming("Transfer-Encoding in HTTP/1.0")
    if codings.strip().lower() != b"chunked":
        return BadFraming("Transfer-Encoding other than chunked")
    return Chunked()


class MalformedChunksError(ValueError):
    """The bytes are not a chunked body."""


class ChunkDecoder:
    r"""Takes a chunked body apart.

    Parameters
    ----------
    max_line_bytes : int
        Longest size line, with its extension, and longest trailer section.

    Examples
    --------
    >>> decoder = ChunkDecoder(100)
    >>> decoder.feed(b"3\r\nabc\r\n2\r\nd")
    (12, [b'abc', b'd'])
    >>> decoder.feed(b"e\r\n0\r\n\r\nGET /")
    (8, [b'e'])
    >>> decoder.ended
    True
    """

    def __init__(self, max_line_bytes: int) -> None:
        self._max_line_bytes = max_line_bytes
        # Bytes of the current chunk that are still to come, and its line end.
        self._left = 0
        self._line_end_due = False
        self._line = b""
        self._trailer_bytes = 0
        self._in_trailers = False
        self._ended = False
        self._chunks = 0
        self._announced = 0

    @property
    def ended(self) -> bool:
        """Whether the body is complete."""
        return self._ended

    @property
    def announced(self) -> int:
        """Bytes of all chunks whose size lines have arrived."""
        return self._announced

    @property
    def fine(self) -> bool:
        """Whether the body has many very small chunks."""
        many = self._chunks >= FINE_CHUNKS
        return many and self._announced < FINE_CHUNK_BYTES * self._chunks

    def feed(self, data: bytes, max_bytes: int | None = None) -> tuple[int, list]:
        """Decode the next bytes.

        Parameters
        ----------
        data : bytes
        max_bytes : int, optional
            Stop once the chunks that were announced have more bytes than this.

        Returns
        -------
        consumed : int
            Number of bytes that belong to the body; the rest follows it.
        pieces : list of bytes
            The parts of the chunks in `data`.

        Raises
        ------
        MalformedChunksError
        """
        pieces = []
        at, end = 0, len(data)
        while at < end and not self._ended:
            if self._left:
                piece = data[at : at + self._left]
                pieces.append(piece)
                self._left -= len(piece)
                at += len(piece)
                continue
            stop = data.find(b"\n", at)
            line = data[at : stop + 1 if stop >= 0 else end]
            at += len(line)
            self._take_line(line)
            if max_bytes is not None and self._announced > max_bytes:
                break
        return at, pieces

    def _take_line(self, part: bytes) -> None:
        """Take a line, or the part of one that has arrived."""
        line = self._line + part
        if not line.endswith(b"\n"):
            self._check_length(len(line))
            self._line = line
            return
        self._line = b""
        self._check_length(len(line))
        if not line.endswith(b"\r\n"):
            raise MalformedChunksError("a line without CRLF in a chunked body")
        if self._line_end_due:
            if line != b"\r\n":
                raise MalformedChunksError("a chunk longer than its size")
            self._line_end_due = False
        elif self._in_trailers:
            self._trailer_bytes += len(line)
            self._ended = line == b"\r\n"
        else:
            self._take_size(line[:-2])

    def _check_length(self, length: int) -> None:
        limit = 2 if self._line_end_due else self._max_line_bytes
        if length + self._trailer_bytes > limit:
            raise MalformedChunksError("a line too long in a chunked body")

    def _take_size(self, line: bytes) -> None:
        found = _SIZE_LINE.fullmatch(line)
        if found is None:
            raise MalformedChunksError("a malformed size of a chunk")
        size = int(found[1], 16)
        self._chunks += 1
        self._announced += size
        self._left = size
        self._line_end_due = size > 0
        self._in_trailers = size == 0
