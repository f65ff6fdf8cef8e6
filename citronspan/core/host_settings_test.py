"""Tests the settings that the deploy template gives for drawn deployments."""

import re
from pathlib import Path

import freezegun
import msgspec
import pytest
from hypothesis import given, strategies as st

from citronspan.core import result_codes
from citronspan.core.errors import CitronspanError
from citronspan.core.host_settings import HostSettings
from citronspan.core.node_messages import HostRoom
from citronspan.core.requests.stop_plan import StopPlan
from citronspan.core.settings import QuotaRules, decode_settings

TEMPLATE = Path(__file__).parents[2] / "deploy" / "settings.json.template"
ROUNDING_SECONDS = 1e-5
PLACEHOLDER = re.compile(r"\{\{([\w.]+)(\|json)?\}\}")

DEPLOYMENT = {
    "nodeName": "edge-a-1",
    "region": "r",
    "dataCentre": "a",
    "ip": "10.0.0.1",
    "bind": {
        "front": "10.0.0.1:80",
        "readiness": "10.0.0.1:81",
        "directory": "10.0.0.1:82",
        "controlPlane": "10.0.0.1:83",
    },
    "internalPorts": [7540, 7555],
    "seeds": [],
    "regionByDataCentre": {"a": "r"},
    "provider": {"address": "10.9.0.1:8541"},
    "bounds": {
        "ttl_max_s": 5,
        "stopSeconds": 10,
        "floor": 0.7,
        "retryRatio": 0.2,
        "retrySlack": 430,
        "retryWindowSeconds": 10,
    },
}


def fill_template(deployment: dict) -> bytes:
    """Fill the template's placeholders, as the platform does at each start."""

    def find_value(match):
        value = deployment
        for key in match[1].split("."):
            value = value.get(key) if isinstance(value, dict) else None
        if match[2]:
            return msgspec.json.encode(value).decode()
        return "" if value is None else str(value)

    return PLACEHOLDER.sub(find_value, TEMPLATE.read_text()).encode()


def decode_deployment(**bounds) -> HostSettings:
    deployment = {**DEPLOYMENT, "bounds": {**DEPLOYMENT["bounds"], **bounds}}
    return decode_settings(fill_template(deployment), HostSettings, path="settings")


def any_number(low, high):
    return st.one_of(
        st.integers(min_value=int(low), max_value=int(high)),
        st.floats(min_value=low, max_value=high, allow_nan=False),
    )


@given(
    bounds=st.fixed_dictionaries(
        {},
        optional={
            "ttl_max_s": st.none() | any_number(0, 1e6),
            "stopSeconds": st.none() | any_number(0, 1e6),
            "floor": st.none() | any_number(0, 1),
            "retryRatio": st.none() | any_number(0, 1),
            "retrySlack": st.none() | any_number(0, 1e8),
            "retryWindowSeconds": st.none() | any_number(0, 1e6),
            "quotaWindowSeconds": st.none() | any_number(1, 1e6),
            "quotaExcess": st.none() | any_number(0, 1e6),
            "quotaSlack": st.none() | any_number(0, 1e6),
        },
    )
)
def test_whole_fractional_or_missing_bound_keeps_a_host_from_starting(bounds):
    settings = decode_deployment(**bounds)
    rules = settings.service_rules
    read = {
        "ttl_max_s": settings.keep_seconds,
        "stopSeconds": settings.stop_seconds,
        "floor": rules.floor,
        "retryRatio": rules.retry_ratio,
        "retrySlack": rules.retry_slack,
        "retryWindowSeconds": rules.retry_window_seconds,
        "quotaWindowSeconds": settings.make_entry_settings().quota_rules.window_seconds,
        "quotaExcess": settings.quota_rules.excess,
        "quotaSlack": settings.quota_rules.slack,
    }
    given_bounds = {key: value for key, value in bounds.items() if value is not None}
    assert {key: read[key] for key in given_bounds} == given_bounds


@pytest.mark.parametrize(
    ("bounds", "key", "value"),
    [
        ({"retrySlack": -1}, "$.serviceRules.retrySlack", "-1"),
        ({"retrySlack": 1e300}, "$.serviceRules.retrySlack", "1e+300"),
        ({"quotaWindowSeconds": 0}, "$.quotaRules.windowSeconds", "0"),
        ({"quotaSlack": -1}, "$.quotaRules.slack", "-1"),
        ({"floor": 1.5}, "$.serviceRules.floor", "1.5"),
        ({"floor": True}, "$.serviceRules.floor", "True"),
        ({"ttl_max_s": -0.1}, "$.keepSeconds", "-0.1"),
        ({"stopSeconds": 1e12}, "$.stopSeconds", "1000000000000.0"),
        ({"stopSeconds": "soon"}, "$.stopSeconds", "'soon'"),
    ],
)
def test_refused_value_is_not_named(bounds, key, value):
    with pytest.raises(CitronspanError) as caught:
        decode_deployment(**bounds)
    assert caught.value.code is result_codes.SETTINGS_INVALID
    assert f"at `{key}`" in caught.value.detail
    assert f"the value is {value}" in caught.value.detail
    assert "\n" not in str(caught.value)


def test_deployment_without_quotas_has_a_margin():
    assert decode_deployment().quota_rules == QuotaRules(excess=0.0, slack=0.0)


@pytest.mark.parametrize("ports", [[7540, 7540], [7555, 7540], [0, 5], [1, 70000], [1]])
def test_ports_without_room_for_entry_and_agent_are_taken(ports):
    deployment = {**DEPLOYMENT, "internalPorts": ports}
    with pytest.raises(CitronspanError, match="peerPorts"):
        decode_settings(fill_template(deployment), HostSettings, path="settings")


@pytest.mark.parametrize("key", ["provider", "nodeName", "internalPorts"])
def test_missing_value_without_a_default_starts_a_host(key):
    deployment = {name: value for name, value in DEPLOYMENT.items() if name != key}
    with pytest.raises(CitronspanError) as caught:
        decode_settings(fill_template(deployment), HostSettings, path="settings")
    assert caught.value.code.number in {1002, 1003}


def test_limits_of_a_host_are_lost():
    limits = {"cpuQuota": 0.717, "cores": 3, "memoryMb": 552, "linkMbps": 200.0}
    deployment = {**DEPLOYMENT, "limits": limits}
    settings = decode_settings(fill_template(deployment), HostSettings, path="settings")
    room = HostRoom(processor_millicores=2151, link_kbit=200_000)
    assert settings.make_agent_settings().limits.make_room() == room
    assert settings.make_entry_settings().limits.link_bytes_per_second == 25e6


@pytest.mark.parametrize("limits", [None, {}, {"cpuQuota": 0.5, "maxFds": 100}])
def test_missing_limits_are_told_to_other_hosts(limits):
    deployment = {**DEPLOYMENT, "limits": limits}
    settings = decode_settings(fill_template(deployment), HostSettings, path="settings")
    assert settings.make_agent_settings().limits.make_room() is None
    assert not settings.make_entry_settings().limits.link_bytes_per_second


@given(stop_seconds=st.floats(0.5, 60.0))
def test_short_stop_gives_up_requests_that_their_targets_work_on_too_early(
    stop_seconds,
):
    """Its margins may not take more than the last sixth of the time until SIGKILL."""
    settings = decode_deployment(stopSeconds=stop_seconds).make_entry_settings()
    with freezegun.freeze_time("2026-01-01"):
        plan = StopPlan()
        plan.begin(settings.drain_seconds)
        begun_at = plan.find_begin()
    assert plan.find_end() - begun_at >= stop_seconds * 5 / 6 - ROUNDING_SECONDS
    assert plan.find_last_answer_end() - begun_at <= stop_seconds + ROUNDING_SECONDS
    assert plan.find_planned_end() > begun_at
