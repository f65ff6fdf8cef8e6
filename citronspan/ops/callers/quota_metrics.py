"""Metrics of an entry's part in the accounts' quotas, without a label for accounts."""

from collections.abc import Iterable

from prometheus_client.core import CounterMetricFamily, GaugeMetricFamily

from citronspan.core.accounts.quota_request import Decision
from citronspan.ops.callers.quota_service import QuotaService


class QuotaCollector:
    """Reads the metrics of the quotas when they are asked for."""

    def __init__(self, *, quotas: QuotaService):
        self._quotas = quotas

    def collect(self) -> Iterable[CounterMetricFamily | GaugeMetricFamily]:
        """Yield the metrics."""
        decisions = CounterMetricFamily(
            "citronspan_quota_requests",
            "Requests of accounts with a quota, by how they were decided.",
            labels=["decision"],
        )
        for decision in Decision:
            count = self._quotas.count_by_decision[decision]
            decisions.add_metric([str(decision)], count)
        yield decisions
        for name, meaning, value in (
            ("accounts", "Accounts in use here.", self._quotas.count_accounts()),
            ("seats", "Seats that this entry keeps.", self._quotas.count_seats()),
            ("alone", "Whether no keeper answers.", int(self._quotas.is_alone())),
        ):
            yield GaugeMetricFamily(f"citronspan_quota_{name}", meaning, value=value)
