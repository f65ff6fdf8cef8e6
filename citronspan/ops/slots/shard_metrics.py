"""Metrics of the shards that an entry is the broker of, collected at each scrape.

Labels name shards and states but not targets, which keeps the number of time series
small. The status of the agent lists each target.
"""

from collections import Counter
from collections.abc import Callable, Iterable

from prometheus_client.core import CounterMetricFamily, GaugeMetricFamily, Metric

from citronspan.core.node_messages import ShardReport


class ShardCollector:
    """Converts shard reports to metrics; a collector of ``prometheus_client``."""

    def __init__(self, *, describe: Callable[[], tuple[ShardReport, ...]]):
        self._describe = describe

    def collect(self) -> Iterable[Metric]:
        """Yield the present metrics."""
        shards = self._describe()
        yield _make_gauge(
            "capacity_slots", "Slots that may be used.", shards, lambda s: s.capacity
        )
        yield _make_gauge(
            "floor_slots", "Slots that the floor asks for.", shards, _get_floor_slots
        )
        yield _make_gauge(
            "waiting_requests", "Requests that wait.", shards, lambda s: s.waiting
        )
        yield _make_gauge(
            "used_slots",
            "Slots that are granted.",
            shards,
            lambda s: sum(target.used_slots for target in s.targets),
        )
        yield _make_counter("grants", "Slots granted.", shards, lambda s: s.grants)
        yield _make_counter(
            "refusals", "Requests refused by the broker.", shards, lambda s: s.refusals
        )
        yield _make_counter(
            "counted_requests",
            "Requests that the retry budget has counted.",
            shards,
            lambda s: s.counted_requests,
        )
        yield _make_counter(
            "retries", "Retries granted from the budget.", shards, lambda s: s.retries
        )
        yield from _make_account_metrics(shards)
        yield _make_state_gauge(shards)


def _get_floor_slots(shard):
    return shard.floor_slots


def _make_gauge(name, help_text, shards, read):
    family = GaugeMetricFamily(f"citronspan_shard_{name}", help_text, labels=["shard"])
    for shard in shards:
        family.add_metric([shard.name], read(shard))
    return family


def _make_counter(name, help_text, shards, read):
    family = CounterMetricFamily(
        f"citronspan_shard_{name}", help_text, labels=["shard"]
    )
    for shard in shards:
        family.add_metric([shard.name], read(shard))
    return family


def _make_account_metrics(shards):
    """Yield the metrics of accounts that compete; no label names an account."""
    yield _make_gauge(
        "waiting_accounts",
        "Accounts with waiting requests.",
        shards,
        lambda s: s.waiting_accounts,
    )
    yield _make_gauge(
        "starved_accounts",
        "Waiting accounts that are served much more seldom than all.",
        shards,
        lambda s: s.starved_accounts,
    )
    yield _make_counter(
        "displaced",
        "Waiting requests that gave their place to others.",
        shards,
        lambda s: s.displaced,
    )
    yield _make_counter(
        "placed_returns",
        "Refusals whose callers come back one behind the other.",
        shards,
        lambda s: s.placed_returns,
    )
    yield _make_counter(
        "spread_returns",
        "Refusals whose callers had no time for a place.",
        shards,
        lambda s: s.spread_returns,
    )


def _make_state_gauge(shards):
    family = GaugeMetricFamily(
        "citronspan_shard_targets", "Targets by state.", labels=["shard", "state"]
    )
    for shard in shards:
        counts = Counter(target.state for target in shard.targets)
        for state, count in sorted(counts.items()):
            family.add_metric([shard.name, state], count)
    return family
