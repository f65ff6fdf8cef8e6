"""Tests that a target gets the request that the caller sent, and nothing else."""

import pytest
from hypothesis import HealthCheck, given, settings, strategies as st

from citronspan.ops.conftest import run_entry
from citronspan_standins.scripted_targets import EMPTY_ANSWER, TargetScript

REST_OF_URI = st.text(
    "abcXYZ019-._~!$&'()*+,;=:@/?%[]|{}^`\"<>\\", min_size=1, max_size=20
)
NAMES = st.from_regex(r"\Ax-[a-z][a-z0-9-]{0,5}[a-z0-9]\Z")
VALUES = st.from_regex(r"\A[!-~\x80-\xff]([\t -~\x80-\xff]{0,8}[!-~\x80-\xff])?\Z")
CONNECTION_HEADERS = {
    "connection": "keep-alive, x-hop",
    "keep-alive": "timeout=5",
    "te": "trailers",
    "trailer": "x-late",
    "upgrade": "h2c",
    "proxy-connection": "keep-alive",
    "x-hop": "1",
}


@pytest.fixture(scope="module")
def running():
    with run_entry(worker_threads=8) as running:
        yield running


def send(running, method, uri, headers, body):
    lines = "".join(f"{name}: {value}\r\n" for name, value in headers.items())
    head = (
        f"{method} {uri} HTTP/1.1\r\nHost: h\r\n{lines}"
        f"Content-Length: {len(body)}\r\n\r\n"
    )
    with running.open() as caller:
        caller.sendall(head.encode("latin-1") + body)
        assert caller.recv(12) == b"HTTP/1.1 200"


@settings(max_examples=60, suppress_health_check=list(HealthCheck))
@given(
    method=st.sampled_from(["GET", "POST", "PUT", "DELETE", "PATCH"]),
    rest=REST_OF_URI,
    headers=st.dictionaries(NAMES, VALUES, max_size=3),
    body=st.binary(max_size=200),
)
def test_target_gets_another_method_path_query_header_or_body(
    running, method, rest, headers, body
):
    path = running.make_path("write")
    running.targets.set_scripts(path, TargetScript(parts=(EMPTY_ANSWER,)))
    uri = f"{path}?{rest}"
    send(running, method, uri, headers, body)
    (received,) = running.targets.find_received(path)
    assert (received.method, received.body) == (method, body)
    assert received.uri == uri
    for name, value in headers.items():
        assert received.header_by_name[name] == value


@pytest.mark.parametrize("name", CONNECTION_HEADERS)
def test_header_of_the_callers_connection_reaches_the_target(running, name):
    path = running.make_path("write")
    running.targets.set_scripts(path, TargetScript(parts=(EMPTY_ANSWER,)))
    send(running, "POST", path, CONNECTION_HEADERS, b"")
    (received,) = running.targets.find_received(path)
    assert received.header_by_name.get(name) != CONNECTION_HEADERS[name]
