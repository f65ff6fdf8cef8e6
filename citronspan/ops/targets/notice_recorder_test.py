import dataclasses

import logbook
import pytest

from citronspan.core.brokering.shards import ShardKey
from citronspan.core.detection.health import TargetInfo
from citronspan.core.detection.target_notices import TargetNotice
from citronspan.ops.entry_metrics import EntryMetrics
from citronspan.ops.slots.slot_source import Slot
from citronspan.ops.targets.notice_recorder import NoticeRecorder

TARGET = TargetInfo(
    name="t", address="a", region="r", data_centre="d", slots=1, incarnation=7
)
SLOT = Slot(
    attempt_id=1,
    target="t",
    address="a",
    shard=ShardKey(service="s", region="r", number=0),
    broker="b",
    incarnation=7,
)


@pytest.fixture
def lines():
    with logbook.TestHandler() as handler:
        yield handler.records


def test_source_of_a_notice_is_not_logged_or_logged_twice(lines):
    recorder = NoticeRecorder()
    leaving = dataclasses.replace(TARGET, leaving=True)
    for _ in range(2):
        recorder.set_targets({"s": (leaving,)})
        recorder.observe(SLOT, TargetNotice(is_leaving=True), "r-1")
    recorder.observe(SLOT, TargetNotice(), "r-1")
    seen = [(line.extra["source"], line.extra["incarnation"]) for line in lines]
    assert seen == [("configuration", 7), ("answer", 7)]
    assert {line.extra["service"] for line in lines} == {"s"}


def test_target_that_pauses_again_and_again_fills_the_log(lines):
    recorder = NoticeRecorder()
    for number in range(100):
        notice = TargetNotice(pause_seconds=1.0 + number, problem="too long: '9'")
        recorder.observe(SLOT, notice, "r-1")
    assert lines[0].extra["detail"] == "too long: '9'"
    assert {line.message for line in lines} == {"target-paused", "pause-unreadable"}
    assert len(lines) < 40


def test_gauges_miss_targets_that_leave_or_pause():
    recorder, metrics = NoticeRecorder(), EntryMetrics()
    metrics.watch_notices(recorder)
    recorder.set_targets({"s": (TARGET,)})
    notice = TargetNotice(is_leaving=True, pause_seconds=60.0)
    recorder.observe(SLOT, notice, "r-1")
    for name in ("leaving", "paused"):
        assert metrics.registry.get_sample_value(f"citronspan_targets_{name}") == 1.0


def read_by_service(metrics, name):
    labels = [{"service": service} for service in ("s", "other")]
    return [metrics.registry.get_sample_value(name, label) for label in labels]


def test_targets_that_leave_or_pause_count_for_another_service():
    recorder, metrics = NoticeRecorder(), EntryMetrics()
    metrics.watch_notices(recorder)
    other = dataclasses.replace(TARGET, name="u")
    recorder.set_targets({"s": (TARGET,), "other": (other,)})
    notice = TargetNotice(is_leaving=True, pause_seconds=60.0)
    recorder.observe(SLOT, notice, "r-1")
    for name in ("leaving", "paused"):
        values = read_by_service(metrics, f"citronspan_service_targets_{name}")
        assert values == [1.0, 0.0]


def test_unreadable_pause_whose_line_is_left_out_is_not_counted(lines):
    recorder, metrics = NoticeRecorder(), EntryMetrics()
    metrics.watch_notices(recorder)
    for _ in range(100):
        recorder.observe(SLOT, TargetNotice(problem="not a number"), "r-1")
    assert len(lines) < 100
    assert read_by_service(metrics, "citronspan_unreadable_pauses_total")[0] == 100.0


def test_slot_that_is_given_back_is_not_counted():
    recorder, metrics = NoticeRecorder(), EntryMetrics()
    metrics.watch_notices(recorder)
    recorder.set_targets({"s": (TARGET,)})
    assert recorder.may_use(SLOT, "r-1")
    recorder.observe(SLOT, TargetNotice(is_leaving=True), "r-1")
    assert not recorder.may_use(SLOT, "r-1")
    assert read_by_service(metrics, "citronspan_returned_slots_total")[0] == 1.0


def test_service_without_a_usable_target_is_served_or_another_one_is_refused():
    recorder = NoticeRecorder()
    leaving, paused, next_target, new = (
        dataclasses.replace(TARGET, name=name, leaving=name == "t")
        for name in ("t", "u", "v", "w")
    )
    targets_by_service = {"s": (leaving, paused), "other": (), "next": (next_target,)}
    recorder.set_targets(targets_by_service)
    assert recorder.may_use_any("s")
    recorder.table.record_pause("u", 60.0)
    recorder.table.record_pause("v", 30.0)
    usable = [
        name for name in ("s", "other", "next", "x") if recorder.may_use_any(name)
    ]
    assert usable == ["other", "x"]
    assert 59.0 < recorder.find_pause_seconds("s") <= 60.0
    recorder.set_targets({"s": (leaving,), "next": (next_target, new)})
    usable = [name for name in ("s", "next") if recorder.may_use_any(name)]
    assert usable == ["next"]
    assert recorder.find_pause_seconds("s") == 0.0
