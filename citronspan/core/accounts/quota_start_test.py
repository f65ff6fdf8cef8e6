"""Replays hosts that start together, serve one after the other, and lend credit."""

import random
import time

import freezegun
import msgspec
import pytest

from citronspan.core.accounts.quota_holder import QuotaHolder
from citronspan.core.accounts.quota_keeper import QuotaKeeper
from citronspan.core.accounts.quota_messages import QuotaAnswer, QuotaAsk
from citronspan.core.accounts.quota_request import PATIENCE_SECONDS, charge_request
from citronspan.core.accounts.quota_seats import QuotaSeats
from citronspan.core.brokering.shards_test import make_node
from citronspan.core.resources import AccountSpec
from citronspan.core.settings import QuotaRules

RULES = QuotaRules(window_seconds=5.0, excess=0.1, slack=20.0)
STEP_SECONDS = 0.05


def make_incarnation():
    return int(time.time() * 1000) << 8


def make_nodes(incarnation_by_name):
    return [
        msgspec.structs.replace(
            make_node(name),
            region="r",
            entry_incarnation=incarnation,
            entry_peer_address=name,
        )
        for name, incarnation in incarnation_by_name.items()
    ]


class Host:
    def __init__(self, name, spec):
        self.incarnation = make_incarnation()
        self.seats = QuotaSeats(name=name, region="r", incarnation=self.incarnation)
        self.keeper = QuotaKeeper(
            rules=RULES, seats=self.seats, find_spec=lambda account: spec
        )


def count_most_lent(clock, *, spec, hosts, spread_seconds, seed):
    """Return the most requests that were lent in a window to insatiable callers."""
    draw = random.Random(seed)
    host_by_name = {f"h-{number}": Host(f"h-{number}", spec) for number in range(hosts)}
    serves_at = {name: 1.0 + draw.random() * spread_seconds for name in host_by_name}
    started_at = time.monotonic()
    lent = []
    view = set()
    ask_id = 0
    while (now := time.monotonic() - started_at) < spread_seconds + 7:
        serving = {name for name, at in serves_at.items() if at <= now}
        if serving != view:
            view = serving
            nodes = make_nodes({n: host_by_name[n].incarnation for n in view})
            moved = []
            for name in view:
                if host_by_name[name].seats.set_nodes(nodes):
                    moved += host_by_name[name].keeper.move_seats()
            for item in moved:
                host_by_name[item.to].keeper.take_over(item.message)
        for host in host_by_name.values():
            host.keeper.note_tick()
        for name in view:
            for seat in (0, 1):
                keeper = host_by_name[name].seats.find_keeper("shop", seat)
                for _ in range(3):
                    ask_id += 1
                    ask = QuotaAsk(
                        ask_id=ask_id, account="shop", seat=seat, needed=1, wanted=0
                    )
                    lent += [now] * host_by_name[keeper.name].keeper.ask(ask).granted
        clock.tick(STEP_SECONDS)
    return max(
        sum(start <= at < start + RULES.window_seconds for at in lent)
        for start in lent or [0.0]
    )


@pytest.mark.parametrize(
    ("rate", "hosts", "spread_seconds"), [(50, 44, 4.0), (50, 6, 4.0), (10, 44, 1.0)]
)
def test_hosts_that_start_together_lend_more_than_the_rule(rate, hosts, spread_seconds):
    spec = AccountSpec(requests_per_second=rate, burst_requests=rate)
    limit = (rate * RULES.window_seconds + rate) * (1 + RULES.excess) + RULES.slack
    with freezegun.freeze_time("2026-01-01") as clock:
        for seed in (1, 2):
            most = count_most_lent(
                clock, spec=spec, hosts=hosts, spread_seconds=spread_seconds, seed=seed
            )
            assert most <= limit


def test_young_keeper_that_was_paused_lends_at_once():
    spec = AccountSpec(requests_per_second=50, burst_requests=50)
    with freezegun.freeze_time("2026-01-01") as clock:
        host = Host("h-0", spec)
        nodes = make_nodes({"h-0": host.incarnation, "h-1": host.incarnation})
        host.seats.set_nodes(nodes)
        account = next(
            str(number)
            for number in range(50)
            if all(host.seats.is_keeper(str(number), seat) for seat in (0, 1))
        )
        ask = QuotaAsk(ask_id=1, account=account, seat=0, needed=100, wanted=0)
        for _ in range(60):
            host.keeper.ask(ask)
            clock.tick(STEP_SECONDS)
        clock.tick(2.1)
        assert host.keeper.ask(ask).granted <= 1


@pytest.mark.parametrize("denied_seconds", [0.0, 0.5, 0.85])
def test_request_waits_longer_than_the_patience_for_its_keepers(denied_seconds):
    spec = AccountSpec(requests_per_second=50, burst_requests=50)
    with freezegun.freeze_time("2026-01-01") as clock:
        incarnation = make_incarnation()
        seats = QuotaSeats(name="h-0", region="r", incarnation=incarnation)
        seats.set_nodes(make_nodes({f"h-{n}": incarnation for n in range(8)}))
        holder = QuotaHolder(name="h-0", region="r", rules=RULES, seats=seats)
        account = next(
            str(number)
            for number in range(50)
            if not any(seats.is_keeper(str(number), seat) for seat in (0, 1))
        )
        started_at = time.monotonic()
        request = charge_request(holder, account, spec, started_at + 30.0)
        while True:
            wait = next(request, None)
            if wait is None:
                break
            asks = wait.asks
            if asks and time.monotonic() - started_at < denied_seconds:
                for ask in asks:
                    answer = QuotaAnswer(ask_id=ask.message.ask_id, is_keeper=False)
                    holder.receive(answer)
                clock.tick(0.002)
                continue
            clock.tick(max(wait.until - time.monotonic(), 0.0) + 0.0005)
        assert time.monotonic() - started_at <= PATIENCE_SECONDS + 0.05


@pytest.mark.parametrize("call", ["move_seats", "stop"])
def test_view_that_comes_first_after_a_pause_is_an_error(call):
    """The seats of a paused keeper are void, those that it would hand over, too."""
    spec = AccountSpec(requests_per_second=50, burst_requests=50)
    with freezegun.freeze_time("2026-01-01") as clock:
        host = Host("h-0", spec)
        host.seats.set_nodes(make_nodes({"h-0": host.incarnation}))
        for seat in (0, 1):
            host.keeper.ask(QuotaAsk(ask_id=1, account="shop", seat=seat, needed=1))
        assert host.keeper.count_seats() == 2
        clock.tick(2.1)
        host.seats.set_nodes(make_nodes({"h-1": host.incarnation}))
        assert getattr(host.keeper, call)() == []
