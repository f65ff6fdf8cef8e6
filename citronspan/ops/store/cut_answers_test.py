"""Tests that a cut answer of the store, the log or a list never passes for a whole one.

They have no uploads that could hide a reset, and what their bodies hold shows its end.
"""

import contextlib
import socket
import struct
import threading

import msgspec
import pytest

from citronspan.core.errors import CitronspanError
from citronspan.ops.operators.api_client import ApiClient
from citronspan.ops.store.host_list import HostListReader
from citronspan.ops.store.log_client import HttpLogStore, LogUnavailableError
from citronspan.platform.store import StoreClient, StoreUnavailableError

TIMEOUT_SECONDS = 5.0
HEAD = b"HTTP/1.1 200 OK\r\nStore-Era: 0\r\n\r\n"
RECORDS = b"".join(struct.pack(">I", 4) + b"\x01" + key + b"vv" for key in (b"a", b"b"))
PAGE = HEAD + struct.pack(">QQ", 2, 0) + RECORDS
NEWEST = HEAD + (
    b'{"items":[{"key":"a","value":"dg==","offset":0},'
    b'{"key":"b","value":"dg==","offset":1}],"hasMore":false,"endOffset":2}'
)
LOG_PAGE = HEAD + (
    b'{"first":0,"next":2,"records":'
    b'[{"offset":0,"data":"dg=="},{"offset":1,"data":"dg=="}]}'
)
APPENDED = b'HTTP/1.1 201 Created\r\n\r\n{"offset":1}'
HOSTS = HEAD + (
    b'{"hosts":[{"name":"t","address":"a:1","role":"target","state":"leaving"}]}'
)
LIST = HEAD + b'{"version":17,"items":[]}'
STATUS_LINES = [b"000 X", b"099 X", b"700 X", b"1000 X", b"-1 X", b"2x0 X"]


class CuttingService:
    """Answers each connection with a part of an answer and a plain end."""

    def __init__(self):
        self._listener = socket.create_server(("127.0.0.1", 0))
        self.address = "{}:{}".format(*self._listener.getsockname())
        self.data = b""
        threading.Thread(target=self._serve, daemon=True).start()

    def _serve(self):
        with contextlib.suppress(OSError):
            while True:
                connection, _ = self._listener.accept()
                with connection, contextlib.suppress(OSError):
                    connection.settimeout(TIMEOUT_SECONDS)
                    self._answer(connection)

    def _answer(self, connection):
        received = b""
        while b"\r\n\r\n" not in received:
            received += connection.recv(65536)
        connection.sendall(self.data)

    def close(self):
        self._listener.close()


@pytest.fixture
def service():
    service = CuttingService()
    yield service
    service.close()


def cut_everywhere(service, answer):
    """Yield at each length of a part that is not the whole answer."""
    for count in range(len(answer)):
        service.data = answer[:count]
        yield count


def test_cut_page_of_the_store_skips_records(service):
    client = StoreClient(address=service.address)
    service.data = PAGE
    whole = client.read("t", 0, 0.0)
    assert (whole.next_offset, len(whole.records)) == (2, 2)
    for _ in cut_everywhere(service, PAGE):
        with contextlib.suppress(StoreUnavailableError):
            page = client.read("t", 0, 0.0)
            # The rest is read from there on, as of a page that the store cut itself.
            assert page.records == whole.records[: page.next_offset]
            assert page.next_offset < page.end_offset


def test_cut_page_of_the_newest_records_is_taken_for_all(service):
    client = StoreClient(address=service.address)
    service.data = NEWEST
    assert len(client.read_newest("t").records) == 2
    for _ in cut_everywhere(service, NEWEST):
        with pytest.raises(StoreUnavailableError):
            client.read_newest("t")


def test_cut_answer_of_the_log_is_taken_for_a_whole_one(service):
    log = HttpLogStore(url=f"http://{service.address}")
    service.data = LOG_PAGE
    assert len(log.read(0).records) == 2
    for _ in cut_everywhere(service, LOG_PAGE):
        with pytest.raises(LogUnavailableError):
            log.read(0)
    for _ in cut_everywhere(service, APPENDED):
        with pytest.raises(LogUnavailableError) as caught:
            log.append(b"x" * 300_000)
        assert caught.value.may_have_appended


def test_cut_host_list_is_taken_for_a_whole_one(service):
    reader = HostListReader(url=f"http://{service.address}")
    for _ in cut_everywhere(service, HOSTS):
        reader.poll()
        assert reader.leaving_targets == ()
    service.data = HOSTS
    reader.poll()
    assert reader.leaving_targets == ("a:1",)


def test_cut_list_of_resources_is_taken_for_a_whole_one(service):
    client = ApiClient(address=service.address)
    service.data = LIST
    assert client.list_resources("route").version == 17
    for _ in cut_everywhere(service, LIST):
        with pytest.raises((CitronspanError, msgspec.MsgspecError)):
            client.list_resources("route")


@pytest.mark.parametrize("line", STATUS_LINES)
def test_status_out_of_range_is_taken_for_an_answer(service, line):
    service.data = NEWEST.replace(b"200 OK", line)
    with pytest.raises(StoreUnavailableError):
        StoreClient(address=service.address).read_newest("t")
    service.data = LOG_PAGE.replace(b"200 OK", line)
    with pytest.raises(LogUnavailableError):
        HttpLogStore(url=f"http://{service.address}").read(0)
    service.data = HOSTS.replace(b"200 OK", line)
    reader = HostListReader(url=f"http://{service.address}")
    reader.poll()
    assert (reader.leaving_targets, reader.failures) == ((), 1)
    service.data = LIST.replace(b"200 OK", line)
    with pytest.raises(CitronspanError):
        ApiClient(address=service.address).list_resources("route")
