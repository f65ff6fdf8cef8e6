"""Compares the bounded key table with a simple model that keeps every key."""

from unittest import mock

from hypothesis import given, strategies as st

from citronspan.core.keys import key_table
from citronspan.core.keys.key_messages import StoredAnswer
from citronspan.core.keys.key_table import MAXIMUM_ANSWER_BYTES, KeyTable
from citronspan.core.keys.key_token import KeyToken

STEPS = st.lists(
    st.tuples(
        st.sampled_from(["record", "close", "release", "finish", "evict", "set_clock"]),
        st.integers(0, 7),
        st.integers(0, 40_000),
    ),
    max_size=60,
)


class Clock:
    seconds = 10_000.0

    def time(self):
        return self.seconds


def make_token(index):
    return KeyToken(
        key_id=bytes([index]) * 16,
        owner="o",
        owner_incarnation=1,
        witness="w",
        witness_incarnation=1,
        expires_at_milliseconds=10_100_000 + index * 7_000,
    )


def make_answer(length):
    body = b"x" * length if length <= MAXIMUM_ANSWER_BYTES else None
    return StoredAnswer(status=200, headers=(), length=length, digest=b"", body=body)


@given(STEPS)
def test_recorded_or_closed_key_never_reopens(steps):
    clock = Clock()
    with mock.patch.object(key_table, "time", clock):
        check_steps(steps, clock)


def check_steps(steps, clock):
    table = KeyTable(
        maximum_keys=4, maximum_total_answer_bytes=20_000, keep_after_expiry_seconds=60
    )
    recorded, closed = set(), set()
    for step, index, argument in steps:
        token = make_token(index)
        record = table.find(token)
        is_open = not (
            record or table.may_have_been_evicted(token) or table.is_closed(token)
        )
        if index in recorded:
            assert record is not None or table.may_have_been_evicted(token)
        if index in closed:
            assert not is_open
        if step == "set_clock":
            clock.seconds = 9_000.0 + argument / 10
        elif step == "evict":
            table.evict_expired()
        elif step == "record" and is_open and not table.is_full():
            table.record(token, fingerprint=1, attempt=b"a", generation=1)
            recorded.add(index)
        elif step == "close" and record is None and table.close(token):
            closed.add(index)
        elif step == "release" and record and record.accepts("release"):
            table.release(token)
            recorded.discard(index)
        elif step == "finish" and record and record.accepts("finish"):
            table.finish(record, make_answer(argument))
            assert record.answer.length == argument
        check_bounds(table)


def check_bounds(table):
    records = [
        r for bucket in table._records_by_bucket.values() for r in bucket.values()
    ]
    bodies = [r.answer.body for r in records if r.answer and r.answer.body]
    assert table.count == len(records) <= table.maximum_keys
    assert table.answers_bytes == sum(map(len, bodies))
    assert table.answers_bytes <= table.maximum_total_answer_bytes
