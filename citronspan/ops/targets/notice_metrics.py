"""Metrics of what the targets of each service say of themselves to this entry.

They are collected at each scrape. Labels name services but not targets, which keeps
the number of time series small.
"""

from collections.abc import Iterable, Mapping

from prometheus_client.core import CounterMetricFamily, GaugeMetricFamily, Metric

from citronspan.ops.targets.notice_recorder import NoticeRecorder


class NoticeCollector:
    """Converts notices to metrics; a collector of ``prometheus_client``."""

    def __init__(self, *, recorder: NoticeRecorder):
        self._recorder = recorder

    def collect(self) -> Iterable[Metric]:
        """Yield the present metrics."""
        yield _make_gauge(
            "leaving",
            "Targets of a service that leave by their answers.",
            self._recorder.count_said_leaving_by_service(),
        )
        yield _make_gauge(
            "paused",
            "Targets of a service that want nothing from this entry.",
            self._recorder.count_paused_by_service(),
        )
        yield _make_counter(
            "unreadable_pauses",
            "Pauses stated by targets that were not taken as they stand.",
            self._recorder.count_unreadable_pauses_by_service(),
        )
        yield _make_counter(
            "returned_slots",
            "Granted slots given back unused, as their target may not be used.",
            self._recorder.count_returned_slots_by_service(),
        )


def _make_gauge(name, help_text, count_by_service: Mapping[str, int]):
    family = GaugeMetricFamily(
        f"citronspan_service_targets_{name}", help_text, labels=["service"]
    )
    for service, count in sorted(count_by_service.items()):
        family.add_metric([service], count)
    return family


def _make_counter(name, help_text, count_by_service: Mapping[str, int]):
    family = CounterMetricFamily(f"citronspan_{name}", help_text, labels=["service"])
    for service, count in sorted(count_by_service.items()):
        family.add_metric([service], count)
    return family
