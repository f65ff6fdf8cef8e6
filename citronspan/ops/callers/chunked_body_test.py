import io

import pytest
from hypothesis import given, strategies as st

from citronspan.ops.callers.chunked_body import ChunkedBody

BODY_PARTS = st.lists(st.binary(min_size=1, max_size=40), max_size=8)


def encode(parts):
    chunks = [b"%X\r\n%s\r\n" % (len(part), part) for part in parts]
    return b"".join([*chunks, b"0\r\nX-Trailer: 1\r\n\r\n"])


@given(parts=BODY_PARTS, size=st.integers(1, 50), after=st.binary(max_size=5))
def test_reader_returns_the_body_and_reads_nothing_after_it(parts, size, after):
    rfile = io.BytesIO(encode(parts) + after)
    body = ChunkedBody(rfile=rfile)
    decoded = b"".join(iter(lambda: body.read(size), b""))
    assert decoded == b"".join(parts)
    assert body.is_ended
    assert rfile.read() == after


@given(
    parts=BODY_PARTS, size=st.integers(1, 50), share=st.floats(0, 1, exclude_max=True)
)
def test_truncated_body_raises_an_error(parts, size, share):
    data = encode(parts)
    body = ChunkedBody(rfile=io.BytesIO(data[: int(len(data) * share)]))
    with pytest.raises((EOFError, ValueError)):
        while body.read(size):
            pass
    assert not body.is_ended


def test_large_chunk_is_read_incrementally():
    requested_sizes = []

    class EndlessFile(io.BytesIO):
        def read(self, size):
            requested_sizes.append(size)
            return b"c" * size

    body = ChunkedBody(rfile=EndlessFile(b"40000000\r\n"))
    for _ in range(5):
        assert len(body.read(1000)) == 1000
    assert max(requested_sizes) == 1000
