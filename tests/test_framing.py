"""Where bodies end: headers that say so, and chunks cut into any pieces."""

import itertools

import pytest
from hypothesis import given
from hypothesis import strategies as st

from wigeonfront.http.framing import (
    BadFraming,
    ChunkDecoder,
    Chunked,
    FixedLength,
    MalformedChunksError,
    framing_of,
)

MAX_LINE_BYTES = 64


@pytest.mark.parametrize(
    ("length", "coding", "protocol", "expected"),
    [
        (None, None, b"HTTP/1.1", FixedLength(0)),
        (b"0", None, b"HTTP/1.1", FixedLength(0)),
        (b"12", None, b"HTTP/1.0", FixedLength(12)),
        (None, b"chunked", b"HTTP/1.1", Chunked()),
        (None, b"Chunked", b"HTTP/1.1", Chunked()),
        (b"", None, b"HTTP/1.1", BadFraming),
        (b"-1", None, b"HTTP/1.1", BadFraming),
        (b"+1", None, b"HTTP/1.1", BadFraming),
        (b"1_0", None, b"HTTP/1.1", BadFraming),
        (b"0x10", None, b"HTTP/1.1", BadFraming),
        (b"5, 5", None, b"HTTP/1.1", BadFraming),
        (b"9" * 40, None, b"HTTP/1.1", BadFraming),
        (b"5", b"chunked", b"HTTP/1.1", BadFraming),
        (None, b"chunked", b"HTTP/1.0", BadFraming),
        (None, b"gzip, chunked", b"HTTP/1.1", BadFraming),
        (None, b"chunked, chunked", b"HTTP/1.1", BadFraming),
        (None, b"identity", b"HTTP/1.1", BadFraming),
        (None, b"", b"HTTP/1.1", BadFraming),
    ],
)
def test_headers_say_where_the_body_ends_or_are_refused(
    length, coding, protocol, expected
):
    headers = {b"Content-Length": length, b"Transfer-Encoding": coding}
    found = framing_of({k: v for k, v in headers.items() if v is not None}, protocol)
    assert (
        isinstance(found, BadFraming) if expected is BadFraming else found == expected
    )


chunk_lists = st.lists(st.binary(min_size=1, max_size=40), max_size=8)


def encoded(chunks, extension=b"", trailers=b""):
    body = b"".join(
        b"%X%s\r\n%s\r\n" % (len(chunk), extension, chunk) for chunk in chunks
    )
    return body + b"0\r\n" + trailers + b"\r\n"


def decode(data, cuts, decoder=None, max_bytes=None):
    """Feed `data` in pieces; return what was decoded, and what follows the body."""
    decoder = decoder or ChunkDecoder(MAX_LINE_BYTES)
    bounds = [0, *sorted(cuts), len(data)]
    decoded, consumed = b"", 0
    for start, end in itertools.pairwise(bounds):
        if decoder.ended:
            break
        count, pieces = decoder.feed(data[start:end], max_bytes)
        decoded += b"".join(pieces)
        consumed += count
    return decoded, data[consumed:], decoder


@given(
    chunks=chunk_lists,
    extension=st.sampled_from([b"", b";a=b", b" ;x"]),
    trailers=st.sampled_from([b"", b"X-Sum: 1\r\n", b"A: 1\r\nB: 2\r\n"]),
    rest=st.sampled_from([b"", b"GET / HTTP/1.1\r\n"]),
    data=st.data(),
)
def test_chunks_cut_anywhere_are_decoded_and_what_follows_is_left(
    chunks, extension, trailers, rest, data
):
    body = encoded(chunks, extension, trailers)
    cuts = data.draw(st.lists(st.integers(0, len(body + rest)), max_size=30))
    decoded, left, decoder = decode(body + rest, cuts)
    assert decoded == b"".join(chunks)
    assert decoder.ended
    assert left == rest


@given(chunks=chunk_lists, data=st.data())
def test_a_body_that_breaks_off_has_not_ended(chunks, data):
    body = encoded(chunks)
    cut = data.draw(st.integers(0, len(body) - 1))
    assert not decode(body[:cut], [])[2].ended


@pytest.mark.parametrize(
    "body",
    [
        b"x\r\n",
        b"\r\n",
        b"-1\r\na\r\n",
        b"+1\r\na\r\n",
        b"0x1\r\na\r\n",
        b"1_0\r\n",
        b"1\na\r\n",
        b"1\r\nab\r\n",
        b"1\r\na\n",
        b"1;" + b"e" * MAX_LINE_BYTES,
        b"1;" + b"e" * MAX_LINE_BYTES + b"\r\n",
        b"0\r\nX: " + b"t" * MAX_LINE_BYTES,
        b"0\r\n" + b"X: 1\r\n" * MAX_LINE_BYTES,
        b"1;a\rb\r\na\r\n",
        b"f" * 16 + b"\r\n",
    ],
)
@pytest.mark.parametrize("cuts", [[], range(1, 60)])
def test_malformed_chunks_are_refused(body, cuts):
    with pytest.raises(MalformedChunksError):
        decode(body, [cut for cut in cuts if cut < len(body)])


def test_a_chunk_is_refused_before_its_bytes_arrive():
    _, _, decoder = decode(b"40000000\r\n", [], max_bytes=100)
    assert decoder.announced == 0x40000000


@pytest.mark.parametrize(("size", "fine"), [(1, True), (1_024, False)])
def test_many_very_small_chunks_are_noticed(size, fine):
    decoder = ChunkDecoder(MAX_LINE_BYTES)
    for _ in range(1_000):
        decoder.feed(b"%x\r\n" % size + b"a" * size + b"\r\n")
    assert decoder.fine is fine
