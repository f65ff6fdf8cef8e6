"""Log of the decisions of brokers on slot requests."""

from collections.abc import Iterable

import logbook

from citronspan.core import log_events
from citronspan.core.brokering.broker_status import SlotDecision
from citronspan.utils.logs import write_event

_logger = logbook.Logger("broker")


def log_decisions(decisions: Iterable[SlotDecision]) -> None:
    """Write a log line for each decision."""
    for decision in decisions:
        event = log_events.SLOT_REFUSED if decision.code else log_events.SLOT_GRANTED
        write_event(
            _logger,
            event,
            id=decision.request_id,
            shard=decision.key.format(),
            target=decision.target,
            code=decision.code,
            doubt=round(decision.failure_probability, 3),
            waited=round(decision.waited_seconds, 4),
            deadline=round(decision.deadline_seconds, 3),
            waiting=decision.waiting,
            granted=decision.granted,
            capacity=decision.capacity,
            retry=decision.is_retry,
            **_describe_account(decision),
        )


def _describe_account(decision):
    """Return the fields on the account of a refused request, none if it has none."""
    if not decision.account or not decision.code:
        return {}
    return {
        "account": decision.account,
        "displaced": decision.is_displaced,
        "account_waiting": decision.account_waiting,
        "account_served": round(decision.account_served_share, 3),
    }
