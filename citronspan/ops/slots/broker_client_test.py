"""Tests of the wait for the response of a broker."""

import math
import threading
import time

import pytest

from citronspan.core.brokering.broker_messages import (
    SlotRefusal,
    SlotRequest,
    SlotWaiting,
)
from citronspan.ops.slots.broker_client import BrokerClient
from citronspan.ops.slots.slot_source import SlotQuery

WAIT_SECONDS = 0.05
CHECK_SECONDS = 0.02
END_SECONDS = 0.12
LATE_SECONDS = 0.08
"""What a wait may end late by on a busy machine; far less than a resend takes."""

QUEUED_SECONDS = 1.2


class QueueingBroker:
    """Says to each request that it is queued, and counts the looks at its end."""

    def __init__(self):
        self.client = BrokerClient(send=self.send, wait_seconds=WAIT_SECONDS)
        self.sent = []
        self.replaced = []
        self.looks = 0
        self.end = math.inf

    def send(self, broker, message):
        self.sent.append(message)
        self.client.handle(SlotWaiting(attempt_id=message.attempt_id))
        return True

    def has_ended(self):
        self.looks += 1
        return time.monotonic() >= self.end

    def request(self, seconds, **fields):
        query = SlotQuery(
            service="s",
            request_kind="k",
            worth=1.0,
            deadline=time.monotonic() + seconds,
            idempotent=True,
            excluded=(),
            fingerprint=1,
            body_bytes=0,
            is_retry=True,
            **fields,
        )
        request = SlotRequest(
            attempt_id=1,
            service="s",
            region="r",
            shard=0,
            deadline_seconds=seconds,
            worth=1.0,
            idempotent=True,
            request_kind="k",
            excluded=(),
            fingerprint=1,
            is_retry=True,
        )
        return self.client.request_slot("b", request, query)


@pytest.mark.parametrize("end", ["is_too_late", "is_disconnected"])
def test_wait_goes_on_after_its_slot_became_needless(end):
    broker = QueueingBroker()
    begun_at = time.monotonic()
    broker.end = begun_at + END_SECONDS
    fields = {end: broker.has_ended}
    assert broker.request(3.0, check_seconds=CHECK_SECONDS, **fields) is None
    assert time.monotonic() - begun_at < END_SECONDS + LATE_SECONDS
    # Neither looks in a busy loop nor requests for each look.
    assert broker.looks <= 4 + END_SECONDS / CHECK_SECONDS
    assert len(broker.sent) == 1


@pytest.mark.parametrize("seconds", [WAIT_SECONDS / 2, END_SECONDS])
@pytest.mark.parametrize("check_seconds", [CHECK_SECONDS, math.inf])
def test_wait_goes_on_after_the_deadline(seconds, check_seconds):
    broker = QueueingBroker()
    begun_at = time.monotonic()
    assert broker.request(seconds, check_seconds=check_seconds) is None
    assert seconds <= time.monotonic() - begun_at < seconds + LATE_SECONDS


def test_first_request_wakes_more_often_than_it_is_sent():
    broker = QueueingBroker()
    assert broker.request(QUEUED_SECONDS, is_too_late=broker.has_ended) is None
    assert broker.looks < len(broker.sent) <= 5


def test_answer_waits_for_the_next_look():
    broker = QueueingBroker()
    refusal = SlotRefusal(attempt_id=1, code=3002, retry_after_seconds=0.3)
    timer = threading.Timer(END_SECONDS, lambda: broker.client.handle(refusal))
    begun_at = time.monotonic()
    timer.start()
    assert broker.request(3.0, check_seconds=CHECK_SECONDS) == refusal
    assert time.monotonic() - begun_at < END_SECONDS + LATE_SECONDS
