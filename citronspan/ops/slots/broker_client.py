"""Sends slot requests to brokers and waits for their responses."""

import time
from collections.abc import Callable

from citronspan.core.brokering.broker_messages import (
    EntryMessage,
    SlotGrant,
    SlotRedirect,
    SlotRefusal,
    SlotRequest,
    SlotWaiting,
)
from citronspan.core.brokering.broker_wait import compute_broker_wait_seconds
from citronspan.core.message_base import Message
from citronspan.ops.peers.pending_answers import PendingAnswers
from citronspan.ops.slots.slot_source import SlotQuery

# A queued request is sent again at this interval to detect a broker that froze.
SLOT_RETRY_SECONDS = 0.25
CROSS_REGION_WAIT_SECONDS = 0.15
"""Additional wait for a broker in another region, for the round trip."""

SILENCE_SECONDS = 1.0
"""Time without any response after which the connection to a broker is replaced."""

SlotAnswer = SlotGrant | SlotRefusal | SlotRedirect


class _PendingRequest:
    """State of a slot request that has no final response yet.

    Attributes:
        waiting_at: Monotonic time of the last ``SlotWaiting``, -inf if none arrived.
    """

    def __init__(self):
        self.waiting_at = float("-inf")


class BrokerClient:
    """Matches the responses of brokers to the requests that wait; safe for threads."""

    def __init__(
        self,
        *,
        send: Callable[[str, Message], bool],
        wait_seconds: float,
        replace_connection: Callable[[str], None] = lambda address: None,
    ):
        """Create a client without pending requests.

        Args:
            send: Sends a message to a peer address; returns whether it was sent.
            wait_seconds: Least time to wait for the first response of a broker; a
                request that can spare more waits longer.
            replace_connection: Connects anew to a peer address.
        """
        self._send = send
        self._wait_seconds = wait_seconds
        self._replace_connection = replace_connection
        self._missing_since_by_broker: dict[str, float] = {}
        self._pending: PendingAnswers[SlotAnswer] = PendingAnswers()
        self._pending_request_by_id: dict[int, _PendingRequest] = {}

    def request_slot(
        self, broker: str, request: SlotRequest, query: SlotQuery
    ) -> SlotAnswer | None:
        """Send a slot request to a broker and wait for its final response.

        Args:
            broker: Peer address of the broker.
            request: The slot request.
            query: The query that the request is for.

        Returns:
            The response, or None if the broker is unreachable or does not respond, if
            the caller disconnects, if the deadline passes, or if it is too late.
        """
        wait_seconds = compute_broker_wait_seconds(
            self._wait_seconds, request.goal_seconds, request.deadline_seconds
        )
        if request.from_region:
            wait_seconds += CROSS_REGION_WAIT_SECONDS
        wait_id = request.attempt_id.to_bytes(8, "big")
        waiter = self._pending.open(wait_id)
        pending_request = _PendingRequest()
        self._pending_request_by_id[request.attempt_id] = pending_request
        try:
            sent_at = time.monotonic()
            while self._send(broker, request):
                if _wait(waiter, wait_seconds, query):
                    self._missing_since_by_broker.pop(broker, None)
                    return waiter.answer
                if pending_request.waiting_at < sent_at:
                    if time.monotonic() >= sent_at + wait_seconds:
                        self._record_missing_response(broker, sent_at)
                    return None
                self._missing_since_by_broker.pop(broker, None)
                if _wait(waiter, SLOT_RETRY_SECONDS, query):
                    return waiter.answer
                if _has_ended(query):
                    return None
                sent_at = time.monotonic()
            return None
        finally:
            self._pending.close(wait_id)
            self._pending_request_by_id.pop(request.attempt_id, None)

    def _record_missing_response(self, broker, sent_at):
        missing_since = self._missing_since_by_broker.setdefault(broker, sent_at)
        if time.monotonic() - missing_since >= SILENCE_SECONDS:
            self._missing_since_by_broker.pop(broker, None)
            self._replace_connection(broker)

    def handle(self, message: EntryMessage) -> None:
        """Handle a response of a broker."""
        if not isinstance(message, SlotWaiting):
            # A grant whose worker no longer waits is dropped here; the cancel message
            # that the worker sent when it stopped waiting releases the slot.
            self._pending.resolve(message.attempt_id.to_bytes(8, "big"), message)
            return
        pending_request = self._pending_request_by_id.get(message.attempt_id)
        if pending_request is not None:
            pending_request.waiting_at = time.monotonic()


def _wait(waiter, seconds, query) -> bool:
    """Return whether an answer came in some seconds.

    The wait ends earlier at the deadline of the query, or if it is seen to have ended.
    """
    end = min(time.monotonic() + seconds, query.deadline)
    while True:
        remaining_seconds = end - time.monotonic()
        is_last_part = remaining_seconds <= query.check_seconds
        if not is_last_part and _has_ended(query):
            return False
        if waiter.wait(min(remaining_seconds, query.check_seconds)):
            return True
        if is_last_part:
            return False


def _has_ended(query) -> bool:
    """Return whether nothing waits for the slot any more."""
    return (
        time.monotonic() >= query.deadline
        or query.is_too_late()
        or query.is_disconnected()
    )
