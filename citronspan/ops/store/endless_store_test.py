"""Tests that a store that sends bytes without end costs its readers no memory.

Each reader takes such an answer for an outage, within a bound and in time.
"""

import base64
import json
import time

import pytest

from citronspan.core.errors import CitronspanError
from citronspan.ops.operators.api_client import ApiClient
from citronspan.ops.store.feed_source import StoreUnavailableError
from citronspan.ops.store.host_list import HostListReader
from citronspan.ops.store.log_client import HttpLogStore, LogUnavailableError
from citronspan.platform.store import StoreClient
from citronspan.utils.bounded_http import HttpAnswer
from citronspan_standins.endless_server import EndlessServer

PART_BYTES = 32 * 1024
NOISE = b"x" * PART_BYTES
HEAD = b"HTTP/1.1 200 OK\r\n"
CHUNKED = HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
MOST_BYTES = 160 << 20
MOST_SECONDS = 40.0

ENDLESS = {
    "one header line": (HEAD + b"X-A: ", NOISE),
    "interim answers": (b"", b"HTTP/1.1 100 Continue\r\n\r\n" * 1000),
    "body without a length": (HEAD + b"\r\n", NOISE),
    "declared length": (HEAD + b"Content-Length: 99999999999999\r\n\r\n", NOISE),
    "chunks": (CHUNKED, b"%x\r\n%s\r\n" % (PART_BYTES, NOISE)),
    "one chunk": (CHUNKED + b"fffffffffffff\r\n", NOISE),
    "chunk size line": (CHUNKED + b"1;", NOISE),
    "trailer": (CHUNKED + b"0\r\n", b"X-A: %s\r\n" % NOISE),
}


def read_store(address):
    with pytest.raises(StoreUnavailableError):
        StoreClient(address=address).read("keyed.op", 0, 0.0)


def read_newest(address):
    with pytest.raises(StoreUnavailableError):
        StoreClient(address=address).read_newest("keyed.op")


def read_log(address):
    with pytest.raises(LogUnavailableError):
        HttpLogStore(url=f"http://{address}").read(0)


def append_to_log(address):
    with pytest.raises(LogUnavailableError) as raised:
        HttpLogStore(url=f"http://{address}").append(b"record")
    assert raised.value.may_have_appended


def poll_host_list(address):
    reader = HostListReader(url=f"http://{address}/")
    reader.poll()
    assert reader.failures == 1


def ask_api(address):
    with pytest.raises(CitronspanError):
        ApiClient(address=address).find_status()


def watch_api(address):
    with pytest.raises(CitronspanError):
        list(ApiClient(address=address).watch(0))


MEMORY_BYTES_BY_READER = {
    read_store: 12 << 20,
    read_newest: 12 << 20,
    poll_host_list: 12 << 20,
    read_log: 150 << 20,
    append_to_log: 150 << 20,
    ask_api: 150 << 20,
    watch_api: 12 << 20,
}
"""Memory of each reader: twice its longest body, and some."""


@pytest.mark.parametrize("case", ENDLESS)
@pytest.mark.parametrize("reader", MEMORY_BYTES_BY_READER)
def test_endless_answer_ends_the_process_that_reads_it(peak_memory, reader, case):
    start, part = ENDLESS[case]
    server = EndlessServer(start=start, part=part, most_bytes=MOST_BYTES)
    began_at = time.monotonic()
    try:
        reader(server.address)
    finally:
        server.close()
    assert peak_memory() < MEMORY_BYTES_BY_READER[reader]
    assert server.sent_bytes < MOST_BYTES
    assert time.monotonic() - began_at < MOST_SECONDS


class PagingClient:
    """Stands in for the connection to a store whose newest records have no end.

    Attributes:
        pages: Number of pages that were asked for.
    """

    def __init__(self, *, has_new_keys, items, value_bytes):
        self.pages = 0
        self._has_new_keys = has_new_keys
        self._items = items
        self._value = base64.b64encode(b"v" * value_bytes).decode()

    def request(self, method, url, *, timeout):
        self.pages += 1
        page = self.pages if self._has_new_keys else 0
        items = [
            {"key": f"{page:09}-{number:04}", "value": self._value, "offset": number}
            for number in range(self._items)
        ]
        data = json.dumps({"items": items, "hasMore": True, "endOffset": 9})
        return HttpAnswer(status=200, headers={}, data=data.encode())


@pytest.mark.parametrize(
    ("has_new_keys", "items", "value_bytes", "most_pages"),
    [(False, 2, 10, 2), (True, 1, 10, 200), (True, 500, 2000, 40)],
)
def test_newest_records_without_end_are_read_for_ever(
    has_new_keys, items, value_bytes, most_pages
):
    client = StoreClient(address="127.0.0.1:1")
    client._client = PagingClient(
        has_new_keys=has_new_keys, items=items, value_bytes=value_bytes
    )
    with pytest.raises(StoreUnavailableError):
        client.read_newest("keyed.servers")
    assert client._client.pages <= most_pages
