"""Tests of the log lines of brokers' decisions."""

import logbook

from citronspan.core.brokering.broker_status import SlotDecision
from citronspan.core.brokering.broker_test import KEY
from citronspan.ops.slots.decision_log import log_decisions


def make_decision(**fields):
    fields = {
        "target": "",
        "code": 3003,
        "failure_probability": 0.0,
        "waited_seconds": 0.1,
        "deadline_seconds": 2.0,
        "waiting": 8,
        "granted": 4,
        "capacity": 4,
        "is_retry": False,
        **fields,
    }
    return SlotDecision(key=KEY, request_id="1", **fields)


def test_refusal_names_the_account_and_how_it_fares():
    decisions = [
        make_decision(),
        make_decision(account="a", code=0, target="t"),
        make_decision(
            account="a",
            is_displaced=True,
            account_waiting=5,
            account_served_share=0.25,
        ),
    ]
    with logbook.TestHandler() as handler:
        log_decisions(decisions)
    plain, granted, refused = (record.extra for record in handler.records)
    assert "account" not in plain and "account" not in granted
    assert refused["account"] == "a"
    assert refused["account_waiting"] == 5
    assert refused["account_served"] == 0.25
    assert refused["displaced"] is True
