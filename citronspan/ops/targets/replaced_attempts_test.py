"""Tests that an attempt at work is given up only for one that takes its place."""

import math
import socket
import threading
import time
from types import SimpleNamespace

import pytest
from opentelemetry import trace

from citronspan.core import result_codes
from citronspan.core.brokering.shards import ShardKey
from citronspan.core.outcomes import OutcomeClass
from citronspan.core.requests.attempt_deadline import AttemptDeadline
from citronspan.core.resources import RouteSpec, ServiceSpec
from citronspan.ops.callers.open_requests import OpenRequest
from citronspan.ops.callers.refusals import Refusal
from citronspan.ops.entry_metrics import EntryMetrics
from citronspan.ops.slots.slot_source import Slot, SlotRefused
from citronspan.ops.targets.attempt_context import RequestContext
from citronspan.ops.targets.attempts import AttemptRunner
from citronspan.ops.targets.dialect import DefaultDialect
from citronspan.ops.targets.target_connection import TargetConnections, TargetRequest
from citronspan_standins.scripted_targets import ScriptedTargets, TargetScript

LIMIT_SECONDS = 0.15
RUN_SECONDS = 0.6
DEADLINE_SECONDS = 3.0
HEAD = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n"


class LimitedSlots:
    """Grants the slots of two targets, the first for a short attempt.

    Attributes:
        released: Targets and outcomes of the released slots.
        is_stopping: Whether the host was told to stop.
    """

    def __init__(self, targets, *, has_second=False, wait_seconds=0.0, stops=False):
        self._addresses = list(targets.address_by_name.values())
        self._has_second = has_second
        self._wait_seconds = wait_seconds
        self._stops = stops
        self.acquired = 0
        self.released = []
        self.is_stopping = False

    def acquire(self, query):
        """Return the first slot, and the second one after a wait if there is one."""
        if self.acquired:
            self.is_stopping = self._stops
            ends_at = time.monotonic() + self._wait_seconds
            while time.monotonic() < ends_at and not query.is_too_late():
                time.sleep(0.01)
            if not self._has_second:
                code = result_codes.NO_CAPACITY
                return SlotRefused(code=code, retry_after_seconds=0.3)
        self.acquired += 1
        return Slot(
            attempt_id=self.acquired,
            target=f"t-{self.acquired}",
            address=self._addresses[self.acquired - 1],
            shard=ShardKey(service="s", region="r", number=0),
            broker="b",
            attempt_seconds=LIMIT_SECONDS,
        )

    def may_use(self, slot, request_id):
        """Return that each target may be used."""
        return True

    def release(self, slot, outcome, answer_bytes):
        """Record the outcome."""
        self.released.append((slot.target, outcome.outcome_class))


@pytest.fixture
def targets():
    scripted = ScriptedTargets()
    yield scripted
    scripted.close()


def run(slots, path):
    request = SimpleNamespace(
        connection=SimpleNamespace(is_disconnected=lambda: False),
        request_id="",
        method="GET",
        uri=path,
        headers=(("host", "h"),),
        key="",
        trace_headers={},
    )
    spec = RouteSpec(
        path_prefix="/",
        service="s",
        request_kind="k",
        idempotent=True,
        maximum_attempts=2,
    )
    context = RequestContext(
        request=request,
        body=SimpleNamespace(length=0, buffer=b"", is_repeatable=True),
        route=SimpleNamespace(spec=spec),
        service_name="s",
        service=ServiceSpec(retry_window_seconds=10.0),
        deadline=time.monotonic() + DEADLINE_SECONDS,
        goal_time=0.0,
        fingerprint=1,
        open_request=OpenRequest(received_at=time.monotonic()),
    )
    runner = AttemptRunner(
        slots=slots,
        connections=TargetConnections(),
        metrics=EntryMetrics(),
        tracer=trace.get_tracer("test"),
        dialect=DefaultDialect(),
        reuse_seconds=math.inf,
        is_stopping=lambda: slots.is_stopping,
        has_other_target=lambda service, names: True,
    )
    try:
        return runner.run(context), None
    except Refusal as refusal:
        return None, refusal


LATE_ANSWERS = {
    "head": TargetScript(parts=(HEAD + b"ok",), delay_seconds=RUN_SECONDS),
    "rest of the head": TargetScript(
        parts=(HEAD[:20], HEAD[20:] + b"ok"), pause_seconds=RUN_SECONDS
    ),
    "body": TargetScript(parts=(HEAD, b"ok"), pause_seconds=RUN_SECONDS),
}


@pytest.mark.parametrize("late", LATE_ANSWERS)
def test_read_is_cut_for_a_retry_that_gets_no_slot(targets, late):
    targets.set_scripts("/read", LATE_ANSWERS[late])
    slots = LimitedSlots(targets)
    response, refusal = run(slots, "/read")
    assert refusal is None
    assert (response.answer.status, response.body_start) == (200, b"ok")
    assert slots.released == []


@pytest.mark.parametrize("late", LATE_ANSWERS)
def test_answer_that_comes_while_a_slot_is_awaited_is_thrown_away(targets, late):
    targets.set_scripts("/read", LATE_ANSWERS[late])
    slots = LimitedSlots(targets, has_second=True, wait_seconds=2.0)
    begun_at = time.monotonic()
    response, refusal = run(slots, "/read")
    assert refusal is None
    assert response.slot.target == "t-1"
    assert time.monotonic() - begun_at < 2 * RUN_SECONDS
    assert slots.released in ([], [("t-2", OutcomeClass.NOT_USED)])


def test_read_is_cut_for_a_retry_that_a_stop_withholds(targets):
    targets.set_scripts("/read", LATE_ANSWERS["head"])
    slots = LimitedSlots(targets, has_second=True, stops=True)
    response, refusal = run(slots, "/read")
    assert refusal is None
    assert response.slot.target == "t-1"


def test_read_waits_for_a_hanging_target_though_another_one_is_free(targets):
    hang = TargetScript(parts=(HEAD,), delay_seconds=DEADLINE_SECONDS)
    targets.set_scripts("/read", hang, TargetScript(parts=(HEAD + b"ok",)))
    slots = LimitedSlots(targets, has_second=True)
    begun_at = time.monotonic()
    response, _ = run(slots, "/read")
    assert response.slot.target == "t-2"
    assert time.monotonic() - begun_at < 2 * RUN_SECONDS
    assert slots.released == [("t-1", OutcomeClass.TIMED_OUT)]


class SlowReader(threading.Thread):
    """A target that reads nothing of an upload for a while, then answers it."""

    def __init__(self):
        super().__init__(daemon=True)
        self._listener = socket.create_server(("127.0.0.1", 0))
        self.address = f"127.0.0.1:{self._listener.getsockname()[1]}"

    def run(self):
        connection, _ = self._listener.accept()
        with self._listener, connection:
            time.sleep(RUN_SECONDS)
            end = b""
            while not end.endswith(b"\r\n0\r\n\r\n"):
                end = (end + connection.recv(1 << 20))[-16:]
            connection.sendall(HEAD + b"ok")


class StreamedBody:
    """A body that can be sent once, and is larger than what the system buffers."""

    length = None
    buffer = None
    is_repeatable = True

    def iterate(self):
        self.is_repeatable = False
        for _ in range(256):
            yield bytes(1 << 16)


def test_upload_is_cut_for_a_retry_that_its_body_rules_out():
    target = SlowReader()
    target.start()
    body = StreamedBody()
    deadline = AttemptDeadline(
        request_deadline=time.monotonic() + DEADLINE_SECONDS,
        limit=time.monotonic() + LIMIT_SECONDS,
        may_be_retried=lambda: body.is_repeatable,
    )
    request = TargetRequest(
        method="PUT",
        uri="/upload",
        headers={"host": "h"},
        body=body,
        reuse_seconds=math.inf,
        deadline=deadline,
    )
    answer = TargetConnections().send(target.address, request, None)
    assert answer.read(2) == b"ok"
