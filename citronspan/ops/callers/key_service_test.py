import collections
import math
import threading
import time
from concurrent.futures import ThreadPoolExecutor

import pytest

from citronspan.core import result_codes
from citronspan.core.keys.key_protocol_results import Permission, Replay
from citronspan.core.keys.key_token import mint_prefix
from citronspan.core.node_messages import NodeInfo
from citronspan.ops.callers.key_service import KeyService
from citronspan.ops.peers.pending_answers import PendingAnswers

WAIT_SECONDS = 10.0
HEADERS = (("Content-Type", "text/plain"),)


class DirectLink:
    """Peer link stand-in that delivers messages in the sender's thread."""

    def __init__(self, fleet, address, incarnation):
        self.fleet = fleet
        self.address = address
        self.incarnation = incarnation

    def send(self, to, message):
        if to in self.fleet.disconnected or self.address in self.fleet.disconnected:
            return False
        self.fleet.services[to].handle(self.address, message)
        return True


class Fleet:
    def __init__(self):
        self.disconnected = set()
        self.services = {}
        for name in "owt":
            self.start(name, 1)
        self.prefix = mint_prefix(
            fleet="f",
            owner="o",
            owner_incarnation=1,
            witness="w",
            witness_incarnation=1,
        )

    def start(self, name, incarnation, find_address=str, **options):
        self.services[name] = KeyService(
            name=name,
            fleet="f",
            link=DirectLink(self, name, incarnation),
            find_address=find_address,
            **options,
        )

    def claim(self, name, suffix="a", fingerprint=1):
        deadline = time.monotonic() + WAIT_SECONDS
        key = f"{self.prefix}.{suffix}"
        return self.services[name].claim(key, fingerprint, deadline)


@pytest.fixture
def fleet():
    return Fleet()


@pytest.mark.parametrize("first", "owt")
def test_key_runs_once_and_every_entry_replays_its_answer(fleet, first):
    permission = fleet.claim(first)
    assert isinstance(permission, Permission)
    fleet.services[first].report_answer(permission, 201, HEADERS, b"order 7")
    for name in "owt":
        replay = fleet.claim(name)
        assert isinstance(replay, Replay)
        assert (replay.answer.status, replay.answer.body) == (201, b"order 7")
        assert replay.answer.headers == HEADERS
    assert fleet.claim("t", fingerprint=2).code is result_codes.KEY_REUSED
    assert fleet.services[first].is_idle()


def test_claim_waits_longer_than_its_stopping_entry_runs(fleet):
    ends = []
    fleet.start("w", 1, find_end=lambda: ends[0] if ends else math.inf)
    assert isinstance(fleet.claim("t"), Permission)
    with ThreadPoolExecutor() as pool:
        waiting = pool.submit(fleet.claim, "w")
        time.sleep(0.3)
        assert not waiting.done()
        ends.append(time.monotonic() + 0.3)
        refusal = waiting.result(2.0)
    assert refusal.code is result_codes.KEY_MAY_HAVE_RUN


def test_concurrent_claim_receives_the_result_of_the_first(fleet):
    permission = fleet.claim("t")
    with ThreadPoolExecutor() as pool:
        waiting = pool.submit(fleet.claim, "w")
        fleet.services["t"].report_not_run(permission, result_codes.NO_CAPACITY)
        refusal = waiting.result(WAIT_SECONDS)
    # The second claim may arrive after the release and is then permitted to run.
    if isinstance(refusal, Permission):
        fleet.services["w"].report_lost(refusal)
        assert fleet.claim("o").code is result_codes.KEY_MAY_HAVE_RUN
        return
    assert refusal.code is result_codes.NO_CAPACITY
    assert isinstance(fleet.claim("o"), Permission)


def test_replay_of_large_answer_returns_status_and_length(fleet):
    permission = fleet.claim("t")
    fleet.services["t"].report_answer(permission, 201, HEADERS, b"x" * 100_000)
    refusal = fleet.claim("o")
    assert refusal.code is result_codes.KEY_REPLAY_TOO_LARGE
    assert (refusal.answer.status, refusal.answer.length) == (201, 100_000)


def test_witness_answers_claims_while_owner_is_unreachable(fleet):
    permission = fleet.claim("t", "done")
    fleet.services["t"].report_answer(permission, 201, HEADERS, b"order 7")
    fleet.claim("t", "running")
    fleet.disconnected.add("o")
    assert fleet.claim("t", "done").answer.body == b"order 7"
    assert fleet.claim("t", "running").code is result_codes.KEY_MAY_HAVE_RUN
    assert fleet.claim("t", "fresh").code is result_codes.KEY_CLOSED
    fleet.disconnected.clear()
    assert fleet.claim("o", "fresh").code.ran is result_codes.Ran.NOT_RUN
    fleet.start("o", 2)
    assert fleet.claim("o", "done").answer.body == b"order 7"
    fleet.start("w", 2)
    assert fleet.claim("o", "done").code is result_codes.KEY_MAY_HAVE_RUN


def test_new_prefix_excludes_unresponsive_peer(fleet):
    nodes = [
        NodeInfo(
            name=name,
            incarnation=1,
            region="r",
            data_centre=name,
            agent_peer_address="",
            entry_peer_address=name,
            entry_callers_address="",
            api_address="",
            entry_state="serving",
            entry_incarnation=1,
        )
        for name in "otw"
    ]
    fleet.disconnected.add("w")
    assert fleet.claim("o", "first").code is result_codes.KEY_NOT_RECORDED
    fleet.prefix = fleet.services["o"].mint_prefix(nodes)
    assert isinstance(fleet.claim("t", "third"), Permission)
    assert fleet.services["w"].mint_prefix(nodes[:2]) == ""


def test_entry_missing_from_its_view_still_owns_keys(fleet):
    fleet.start("o", 1, find_address={"w": "w"}.get)
    assert isinstance(fleet.claim("o"), Permission)


def test_worker_of_missing_attempt_returns_after_deadline(fleet, monkeypatch):
    service = fleet.services["o"]
    protocol = service._protocol
    claim = protocol.attempts.claim

    def claim_and_delete_attempt(attempt, *arguments):
        claim(attempt, *arguments)
        del protocol.attempts._attempt_by_id[attempt]
        return []

    monkeypatch.setattr(protocol.attempts, "claim", claim_and_delete_attempt)
    key = f"{fleet.prefix}.a"
    result = service.claim(key, 1, time.monotonic() + 0.01)
    assert result.code is result_codes.KEY_MAY_HAVE_RUN


def test_failure_of_waiting_worker_frees_the_key(fleet, monkeypatch):
    fleet.disconnected.add("w")
    service = fleet.services["o"]
    with monkeypatch.context() as patch, pytest.raises(RuntimeError):
        patch.setattr(service, "_wait_for_result", fail)
        fleet.claim("o")
    fleet.disconnected.clear()
    assert isinstance(fleet.claim("o"), Permission)


def fail(*arguments):
    raise RuntimeError


def test_a_malformed_key_is_refused(fleet):
    refusal = fleet.services["o"].claim("mine", 1, time.monotonic() + 1)
    assert refusal.code is result_codes.KEY_INVALID
    assert refusal.detail


def test_report_not_run_rejects_code_of_request_that_may_have_run(fleet):
    permission = fleet.claim("t")
    with pytest.raises(ValueError):
        fleet.services["t"].report_not_run(permission, result_codes.ANSWER_LOST)


def test_concurrent_claims_run_each_key_once(fleet):
    runs_by_key = collections.Counter()
    lock = threading.Lock()

    def order(number):
        name, suffix = "owt"[number % 3], f"k{number % 20}"
        result = fleet.claim(name, suffix)
        if isinstance(result, Replay):
            return result.answer.body
        with lock:
            runs_by_key[suffix] += 1
        body = suffix.encode()
        fleet.services[name].report_answer(result, 201, HEADERS, body)
        return body

    with ThreadPoolExecutor(12) as pool:
        answers = list(pool.map(order, range(300)))
    assert answers == [f"k{number % 20}".encode() for number in range(300)]
    assert set(runs_by_key.values()) == {1}


def test_late_and_unexpected_answers_are_dropped_and_counted():
    pending = PendingAnswers()
    waiter = pending.open(b"1")
    with pytest.raises(ValueError):
        pending.open(b"1")
    assert not pending.resolve(b"2", "crossed")
    assert not waiter.wait(0.0)
    assert pending.resolve(b"1", "first")
    assert not pending.resolve(b"1", "second")
    assert waiter.wait(0.0)
    assert waiter.answer == "first"
    pending.open(b"3")
    pending.close(b"3")
    assert not pending.resolve(b"3", "late")
    assert (pending.dropped, pending.count()) == (3, 0)
