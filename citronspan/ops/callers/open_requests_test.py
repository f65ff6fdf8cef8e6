"""Tests what the register of open requests tells of a stop."""

from citronspan.ops.callers.open_requests import OpenRequests, StopResult
from citronspan.ops.entry_metrics import EntryMetrics


def read_counts(metrics):
    name = "citronspan_requests_ended_in_stop_total"
    return {
        result: metrics.registry.get_sample_value(name, {"result": result})
        for result in StopResult
    }


def test_request_that_a_stop_ends_is_counted_twice_or_not_at_all():
    metrics = EntryMetrics()
    stopping = []
    requests = OpenRequests(
        metrics=metrics,
        is_stopping=lambda: bool(stopping),
        find_stop_begin=lambda: 0.0,
    )
    before, refused, cut = (requests.begin(f"r-{n}", 0.0) for n in range(3))
    requests.end(before, StopResult.FINISHED)
    stopping.append(True)
    requests.end(refused, StopResult.REFUSED)
    requests.give_up_rest()
    requests.end(cut, StopResult.FINISHED)
    assert read_counts(metrics) == {
        StopResult.FINISHED: None,
        StopResult.REFUSED: 1,
        StopResult.GIVEN_UP: 1,
    }
