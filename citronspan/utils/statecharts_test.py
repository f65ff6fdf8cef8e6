import pytest

from citronspan.utils.statecharts import (
    UnknownTransitionError,
    accepts_event,
    load_chart,
    step_chart,
)


def test_entry_chart_leads_from_joining_to_stopped():
    chart = load_chart("entry")
    state = chart.initial
    for event in ["configured", "stop", "idle"]:
        state = step_chart(chart, state, event)
    assert state == "stopped"


def test_unknown_transition_raises():
    chart = load_chart("entry")
    assert not accepts_event(chart, "stopped", "stop")
    with pytest.raises(UnknownTransitionError):
        step_chart(chart, "stopped", "stop")
