"""Tests account keys at a running entry: who gets in, and what leaves the process."""

import threading
import time

import logbook
import prometheus_client
import pytest

from citronspan.core import result_codes
from citronspan.core.accounts.account_table import compute_key_digest
from citronspan.core.node_messages import ConfigurationPush
from citronspan.core.resources import (
    AccountSpec,
    Kind,
    Resource,
    RouteSpec,
    ServiceSpec,
    TargetSpec,
    encode_resource,
)
from citronspan.ops.callers.quota_service import QuotaService
from citronspan.ops.conftest import run_entry
from citronspan.ops.peers import peer_link
from citronspan_standins.scripted_targets import EMPTY_ANSWER, TargetScript

KEY = "rjvz48wuakn2ftimaj3n"
SECOND_KEY = "r26tta828m82thhkmgjq"
OTHER_KEY = "zmx4902kk1ns8d7ahgw2"
UNKNOWN_KEY = "p0000000000000000000"
KEYS = (KEY, SECOND_KEY, OTHER_KEY, UNKNOWN_KEY)
WAIT_SECONDS = 5.0
HOLD_SECONDS = 0.8
SPOOFED = (
    "Client-Account: other\r\nclient-account: other\r\nClient_Account: other\r\n"
    "client_Account: other\r\n"
)


def make_account(name, *keys, **fields):
    digests = tuple(compute_key_digest(key.encode()) for key in keys)
    spec = AccountSpec(key_digests=digests, burst_requests=0.0, **fields)
    return Resource(kind=Kind.ACCOUNT, name=name, spec=spec)


def make_own_resources(running):
    """Return a public route, and a service whose target has one slot."""
    address = running.targets.address_by_name["t-1"]
    target = TargetSpec(
        service="narrow", address=address, region="r", data_centre="r-1", slots=1
    )
    narrow = RouteSpec(path_prefix="/narrow", service="narrow", request_kind="narrow")
    public = RouteSpec(
        path_prefix="/public", service="s", request_kind="public", public=True
    )
    return [
        Resource(kind=Kind.SERVICE, name="narrow", spec=ServiceSpec()),
        Resource(kind=Kind.TARGET, name="narrow-1", spec=target),
        Resource(kind=Kind.ROUTE, name="narrow", spec=narrow),
        Resource(kind=Kind.ROUTE, name="public", spec=public),
    ]


def push(running, *resources):
    offset = running.entry.configuration.offset
    changed = tuple(encode_resource(resource) for resource in resources)
    running.agent.send(
        running.settings.peer_address,
        ConfigurationPush(base_offset=offset, offset=offset + 1, changed=changed),
    )
    wait_until(lambda: running.entry.configuration.offset > offset)


def wait_until(is_done):
    deadline = time.monotonic() + WAIT_SECONDS
    while not is_done():
        assert time.monotonic() < deadline
        time.sleep(0.01)


@pytest.fixture(scope="module")
def running():
    with run_entry(worker_threads=16) as running:
        push(running, *make_own_resources(running))
        yield running


@pytest.fixture(autouse=True)
def accounts(running):
    push(
        running,
        make_account("a", KEY, SECOND_KEY, title="Account A"),
        make_account("other", OTHER_KEY),
    )


def make_header(key):
    return f"Authorization: Bearer {key}\r\n" if key else ""


def send(running, prefix, key, *, method="GET", headers="", **script):
    path = running.make_path(prefix)
    running.targets.set_scripts(path, TargetScript(parts=(EMPTY_ANSWER,), **script))
    answer = running.request(method, path, headers=make_header(key) + headers)
    return answer, running.targets.find_received(path)


@pytest.mark.parametrize("prefix", ["read", "write", "public"])
@pytest.mark.parametrize(
    ("key", "title"),
    [(KEY, "Account A"), (SECOND_KEY, "Account A"), (OTHER_KEY, "other")],
)
def test_target_is_told_the_account_and_never_the_key(running, prefix, key, title):
    answer, (received,) = send(running, prefix, key, headers=SPOOFED)
    assert answer.status == 200
    assert received.header_by_name["client-account"] == title
    assert "authorization" not in received.header_by_name
    assert "client_account" not in received.header_by_name
    assert key not in str(received)


@pytest.mark.parametrize("key", ["", UNKNOWN_KEY, KEY[:-1], KEY + "0", KEY.upper()])
def test_request_without_a_known_key_is_refused_and_not_run(running, key):
    answer, received = send(running, "read", key, headers=SPOOFED)
    assert (answer.status, answer.ran) == (401, "not-run")
    assert answer.result == result_codes.ACCOUNT_KEY_UNKNOWN.number
    assert answer.header_by_name["www-authenticate"] == "Bearer"
    assert received == []
    assert not key or key not in answer.data.decode()


@pytest.mark.parametrize("key", ["", UNKNOWN_KEY])
def test_public_route_needs_no_key_and_names_no_account(running, key):
    answer, (received,) = send(running, "public", key, headers=SPOOFED)
    assert answer.status == 200
    assert not received.header_by_name.keys() & {"client-account", "client_account"}
    assert "authorization" not in received.header_by_name


def test_refusal_does_not_wait_for_the_body(running):
    head = "POST /write/x HTTP/1.1\r\nHost: h\r\nContent-Length: 100000\r\n\r\n"
    began_at = time.monotonic()
    with running.open() as caller:
        caller.sendall(head.encode() + b"a part")
        assert caller.recv(12) == b"HTTP/1.1 401"
    assert time.monotonic() - began_at < 1.0


def test_unknown_route_is_unknown_whatever_the_key(running):
    for key in ("", UNKNOWN_KEY, KEY):
        head = "GET /nowhere HTTP/1.1\r\nHost: h\r\nConnection: close\r\n"
        answer = running.exchange(f"{head}{make_header(key)}\r\n".encode())
        assert answer.status == 404


def test_keys_change_on_an_open_connection(running):
    path = running.make_path("read")
    answer = TargetScript(parts=(EMPTY_ANSWER,))
    running.targets.set_scripts(path, answer)
    request = f"GET {path} HTTP/1.1\r\nHost: h\r\n{make_header(KEY)}\r\n".encode()
    with running.open() as caller:
        caller.sendall(request)
        assert caller.recv(65536).startswith(b"HTTP/1.1 200")
        push(running, make_account("a", SECOND_KEY))
        caller.sendall(request)
        assert caller.recv(65536).startswith(b"HTTP/1.1 401")


def test_account_whose_last_key_was_removed_opens_nothing(running):
    push(running, make_account("a"), make_account("other"))
    for key in ("", KEY):
        assert send(running, "read", key)[0].status == 401


@pytest.mark.parametrize("is_given_to_another", [False, True])
def test_key_that_is_removed_while_its_request_waits_lets_it_in(
    running, is_given_to_another
):
    answers = {}

    def ask(name, key, **script):
        answers[name] = send(running, "narrow", key, **script)

    holder = threading.Thread(
        target=ask, args=("holder", OTHER_KEY), kwargs={"delay_seconds": HOLD_SECONDS}
    )
    holder.start()
    time.sleep(HOLD_SECONDS / 4)
    waiting = threading.Thread(target=ask, args=("waiting", KEY))
    waiting.start()
    time.sleep(HOLD_SECONDS / 4)
    keys = (OTHER_KEY, KEY) if is_given_to_another else (OTHER_KEY,)
    push(running, make_account("a", SECOND_KEY), make_account("other", *keys))
    holder.join()
    waiting.join()
    answer, received = answers["waiting"]
    assert (answer.status, answer.ran, received) == (401, "not-run", [])
    assert answers["holder"][0].status == 200
    # The slot was handed back.
    assert send(running, "narrow", SECOND_KEY)[0].status == 200


def test_no_key_leaves_the_process(running, monkeypatch):
    messages = []
    encode = peer_link.encode_envelope

    def record(envelope):
        messages.append(encode(envelope))
        return messages[-1]

    monkeypatch.setattr(peer_link, "encode_envelope", record)
    handler = logbook.TestHandler()
    with handler.applicationbound():
        answers = [
            send(running, prefix, key, headers=SPOOFED)
            for prefix in ("read", "write", "public", "narrow")
            for key in KEYS
        ]
        time.sleep(1.0)
    metrics = prometheus_client.generate_latest(running.entry.metrics.registry)
    lines = [f"{line.message} {line.extra}" for line in handler.records]
    assert len(lines) >= len(answers)
    assert messages
    for key in KEYS:
        assert not any(key in line for line in lines)
        assert key.encode() not in metrics
        assert not any(key.encode() in message for message in messages)
        for answer, received in answers:
            assert key.encode() not in answer.data
            assert key not in str(received)


def test_without_accounts_callers_headers_stay_as_they_are():
    with run_entry(worker_threads=4) as running:
        headers = "Client-Account: mine\r\n"
        answer, (received,) = send(running, "read", KEY, headers=headers)
        assert answer.status == 200
        assert received.header_by_name["authorization"] == f"Bearer {KEY}"
        assert received.header_by_name["client-account"] == "mine"


@pytest.fixture
def charges(monkeypatch):
    """Return what is charged and given back, and what the next charges give."""
    charges = {"charged": [], "given_back": [], "wait_seconds": 0.0}

    def admit(self, name, spec, deadline):
        assert spec.burst_requests == 0.0
        assert deadline > time.monotonic()
        charges["charged"].append(name)
        return charges["wait_seconds"]

    def give_back(self, name):
        charges["given_back"].append(name)

    monkeypatch.setattr(QuotaService, "admit", admit)
    monkeypatch.setattr(QuotaService, "give_back", give_back)
    return charges


@pytest.mark.parametrize("prefix", ["read", "public"])
def test_request_is_charged_once_and_keeps_its_charge_if_it_ran(
    running, charges, prefix
):
    assert send(running, prefix, KEY)[0].status == 200
    assert (charges["charged"], charges["given_back"]) == (["a"], [])


def test_charge_of_a_request_that_did_not_run_is_lost(running, charges):
    refusal = b"HTTP/1.1 503 x\r\nTarget-Not-Run: shed\r\nContent-Length: 0\r\n\r\n"
    path = running.make_path("once")
    running.targets.set_scripts(path, TargetScript(parts=(refusal,), runs=False))
    answer = running.request("GET", path, headers=make_header(KEY))
    assert (answer.status, answer.ran) == (503, "not-run")
    assert (charges["charged"], charges["given_back"]) == (["a"], ["a"])


def test_request_beyond_the_limit_is_refused_and_gives_nothing_back(running, charges):
    charges["wait_seconds"] = 1.5
    answer, received = send(running, "read", KEY)
    assert (answer.status, answer.ran, received) == (429, "not-run", [])
    assert answer.header_by_name["retry-after"] == "2"
    assert (charges["charged"], charges["given_back"]) == (["a"], [])


@pytest.mark.parametrize(("prefix", "key"), [("read", UNKNOWN_KEY), ("public", "")])
def test_request_without_an_account_is_charged(running, charges, prefix, key):
    send(running, prefix, key)
    assert charges["charged"] == []


def test_account_without_keys_is_the_one_that_the_caller_names():
    with run_entry(worker_threads=4) as running:
        spec = AccountSpec(requests_per_second=0.5)
        push(running, Resource(kind=Kind.ACCOUNT, name="plain", spec=spec))
        named = "Citronspan-Account: plain\r\n"
        statuses = [send(running, "read", "", headers=named)[0].status for _ in "12"]
        assert statuses == [200, 429]
        push(running, make_account("a", KEY))
        assert send(running, "read", "", headers=named)[0].status == 401
        named = "Citronspan-Account: a\r\n"
        assert send(running, "public", "", headers=named)[0].status == 404
        assert send(running, "read", OTHER_KEY, headers=named)[0].status == 401
