"""Tests what the quotas of the fleet refuse, compared with the decision before."""

import random

import freezegun
import pytest

from citronspan.core.accounts.quota_fleet_test import (
    STEP_SECONDS,
    Fleet,
    find_target,
    make_spec,
    run,
)
from citronspan.core.accounts.quota_messages import QuotaAsk, QuotaReturn
from citronspan.core.accounts.quota_request import Decision
from citronspan.core.requests.account_limits import AccountLimits
from citronspan.core.settings import QuotaRules


def test_hosts_that_all_start_again_refuse_an_account_or_exceed_its_limit():
    with freezegun.freeze_time("2026-01-01") as clock:
        fleet = Fleet(
            clock, 12, {"shop": make_spec(10.0, 10.0), "b": make_spec(10, 10)}
        )
        run(fleet, 15.0, {"shop": 6.2, "b": 60.0})
        fleet.count_by_decision.clear()
        for host in fleet.hosts:
            host.start()
        for host in fleet.hosts:
            fleet.show(host, fleet.hosts)
        run(fleet, 6.0, {"shop": 6.2, "b": 60.0})
    assert max(fleet.find_excess("shop"), fleet.find_excess("b")) <= 0
    assert fleet.count_refused("shop") <= 2


@pytest.mark.parametrize("rate", [1.0, 5.0, 30.0])
def test_account_within_its_limit_is_refused_in_calm(rate):
    with freezegun.freeze_time("2026-01-01") as clock:
        fleet = Fleet(clock, 48, {"shop": make_spec(rate, rate)})
        run(fleet, 30.0, {"shop": rate * 0.62})
    assert fleet.count_refused("shop") == 0


@pytest.mark.parametrize(("rate", "share"), [(1.0, 0.02), (5.0, 0.08), (30.0, 0.12)])
def test_lost_keeper_costs_an_account_more_than_its_seat_cannot_make_up(rate, share):
    refused = calls = 0
    for seed in range(4):
        with freezegun.freeze_time("2026-01-01") as clock:
            fleet = Fleet(clock, 24, {"shop": make_spec(rate, rate)}, seed=seed)
            run(fleet, 5.0, {"shop": rate * 0.62})
            fleet.count_by_decision.clear()
            lost = find_target(fleet, 0)
            lost.is_up = False
            hosts = [host for host in fleet.hosts if host is not lost]
            run(fleet, 3.0, {"shop": rate * 0.62}, hosts=hosts)
            fleet.show_later()
            run(fleet, 8.0, {"shop": rate * 0.62}, hosts=hosts)
        assert fleet.find_excess("shop") <= 0
        refused += fleet.count_refused("shop")
        calls += sum(fleet.count_by_decision.values())
    assert refused <= share * calls


def test_lowered_limit_does_not_bind_a_window_later():
    with freezegun.freeze_time("2026-01-01") as clock:
        fleet = Fleet(clock, 16, {"shop": make_spec(30.0, 30.0)})
        run(fleet, 8.0, {"shop": 40.0})
        fleet.spec_by_name["shop"] = make_spec(4.0, 2.0)
        run(fleet, 5.0, {"shop": 40.0})
        fleet.admitted_at_by_name["shop"].clear()
        run(fleet, 8.0, {"shop": 40.0})
    assert fleet.find_excess("shop") <= 0
    assert len(fleet.admitted_at_by_name["shop"]) >= 0.9 * 4.0 * 8


def test_seat_stays_empty_after_a_planned_change_of_its_keeper():
    with freezegun.freeze_time("2026-01-01") as clock:
        fleet = Fleet(clock, 16, {"shop": make_spec(20.0, 20.0)})
        run(fleet, 8.0, {"shop": 12.0})
        fleet.count_by_decision.clear()
        leaving = find_target(fleet, 0)
        for item in leaving.keeper.stop():
            fleet.send(leaving, item.to, item.message)
        rest = [host for host in fleet.hosts if host is not leaving]
        for host in fleet.hosts:
            fleet.show(host, rest)
        run(fleet, 3.0, {"shop": 12.0}, hosts=rest)
    assert fleet.count_refused("shop") == 0
    assert ("shop", Decision.ALONE) not in fleet.count_by_decision


def test_refused_request_costs_its_account_credit():
    with freezegun.freeze_time("2026-01-01") as clock:
        rules = QuotaRules(slack=100.0)
        fleet = Fleet(clock, 4, {"shop": make_spec(0.1, 10.0)}, rules=rules)
        for _ in range(60):
            fleet.step(seconds=1.0)
        keeper = find_target(fleet, 0).keeper
        ask = QuotaAsk(ask_id=1, account="shop", needed=20)
        assert keeper.ask(ask).granted >= 3
        message = QuotaReturn(number=1, account="shop", seat=0, returned=1)
        keeper.take_back("a:1", 1, message)
        keeper.take_back("a:1", 1, message)
        assert keeper.ask(ask).granted == 1


RATES = tuple(32.0 * 0.94**number for number in range(74))
HOT_NUMBER = 20


@pytest.fixture(scope="module")
def hot_day():
    """One account at six times its usual among 74 uneven ones, over 96 hosts."""
    spec_by_name = {
        f"a-{number}": make_spec(rate, rate) for number, rate in enumerate(RATES)
    }
    demand = {f"a-{number}": 0.62 * rate for number, rate in enumerate(RATES)}
    with freezegun.freeze_time("2026-01-01") as clock:
        fleet = Fleet(clock, 96, spec_by_name)
        run(fleet, 5.0, demand, hosts=fleet.hosts[:32])
        fleet.count_by_decision.clear()
        fleet.messages = 0
        demand[f"a-{HOT_NUMBER}"] *= 6.0
        run(fleet, 10.0, demand, hosts=fleet.hosts[:32])
    return fleet


def test_hot_account_exceeds_its_limit_or_harms_others(hot_day):
    names = list(hot_day.spec_by_name)
    hot = names[HOT_NUMBER]
    assert max(hot_day.find_excess(name) for name in names) <= 0
    refused = sum(hot_day.count_refused(name) for name in names if name != hot)
    admitted = sum(
        len(hot_day.admitted_at_by_name[name]) for name in names if name != hot
    )
    assert refused <= 0.005 * admitted
    assert hot_day.count_refused(hot) > 0
    calls = sum(hot_day.count_by_decision.values())
    assert hot_day.messages <= 2.2 * calls


def test_limits_by_entry_refuse_less_or_keep_the_rule():
    draw = random.Random(1)
    limits_by_host = [AccountLimits() for _ in range(96)]
    refused = calls = 0
    hot = f"a-{HOT_NUMBER}"
    with freezegun.freeze_time("2026-01-01") as clock:
        for _ in range(round(10 / STEP_SECONDS)):
            for number, rate in enumerate(RATES):
                spec = make_spec(rate, rate)
                name = f"a-{number}"
                if name == hot or draw.random() >= 0.62 * rate * STEP_SECONDS:
                    continue
                calls += 1
                limits = limits_by_host[draw.randrange(32)]
                refused += limits.admit(name, spec, 96) > 0
            clock.tick(STEP_SECONDS)
    # The decision before: each entry admits its share of the rate, twice over.
    assert refused > 0.05 * calls
