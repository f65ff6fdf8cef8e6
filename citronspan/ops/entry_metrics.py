"""Metrics of an entry; the number of label values does not grow with the targets."""

import threading
import time

from prometheus_client import CollectorRegistry, Counter, Gauge, Histogram

from citronspan.core.rate_limits import RateLimitTable
from citronspan.core.resources import RouteSpec
from citronspan.core.result_codes import ResultCode
from citronspan.ops.callers.quota_metrics import QuotaCollector
from citronspan.ops.callers.quota_service import QuotaService
from citronspan.ops.peers.peer_link import PeerLink
from citronspan.ops.targets.notice_metrics import NoticeCollector
from citronspan.ops.targets.notice_recorder import NoticeRecorder
from citronspan.ops.targets.relay_connector import RelayConnector
from citronspan.ops.targets.relay_server import RelayServer
from citronspan.ops.targets.target_reachability import TargetReachability

LATENCY_BUCKETS_SECONDS = (
    0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5, 10, 30,
)  # fmt: skip


class EntryMetrics:
    """Counters, gauges and histograms of an entry.

    Attributes:
        registry: Registry that holds the metrics.
    """

    def __init__(self):
        self.registry = CollectorRegistry()
        self._lock = threading.Lock()
        self._in_flight_count = 0
        self._in_flight = Gauge(
            "citronspan_requests_in_flight",
            "Requests being carried.",
            registry=self.registry,
        )
        self._in_flight.set_function(self.read_in_flight)
        self._answers = Counter(
            "citronspan_answers",
            "Answers passed on from targets.",
            ["request_kind", "status_class"],
            registry=self.registry,
        )
        self._seconds = Histogram(
            "citronspan_request_seconds",
            "Seconds from receipt to the end of the answer.",
            ["request_kind"],
            buckets=LATENCY_BUCKETS_SECONDS,
            registry=self.registry,
        )
        self._refusals = Counter(
            "citronspan_refusals",
            "Answers given by the entry itself.",
            ["code"],
            registry=self.registry,
        )
        self._attempts = Counter(
            "citronspan_attempts",
            "Attempts at targets by outcome.",
            ["service", "outcome"],
            registry=self.registry,
        )
        self._retries = Counter(
            "citronspan_retries",
            "Attempts after the first.",
            ["service"],
            registry=self.registry,
        )

        self._ended_in_stop = Counter(
            "citronspan_requests_ended_in_stop",
            "Requests that ended while the entry stopped, by what became of them.",
            ["result"],
            registry=self.registry,
        )

    def watch_reachability(self, reachability: TargetReachability) -> None:
        """Register a gauge that tells whether the host reaches no target."""
        gauge = Gauge(
            "citronspan_targets_unreachable",
            "1 while the host connects to no target, else 0.",
            registry=self.registry,
        )
        gauge.set_function(lambda: int(reachability.is_cut_off))

    def watch_relay(
        self, connector: RelayConnector, server: RelayServer | None
    ) -> None:
        """Register gauges for connections to targets that go through peers."""
        opened = Gauge(
            "citronspan_relayed_connections",
            "Connections to targets opened through peers since the start.",
            registry=self.registry,
        )
        opened.set_function(lambda: connector.opened_count)
        tunnels = Gauge(
            "citronspan_relay_tunnels",
            "Open connections to targets that this host relays for peers.",
            registry=self.registry,
        )
        tunnels.set_function(lambda: server.count_tunnels() if server else 0)

    def watch_rate_limits(self, rate_limits: RateLimitTable) -> None:
        """Register a gauge for the targets that limit their request rate."""
        gauge = Gauge(
            "citronspan_rate_limited_targets",
            "Targets that limit their request rate, as far as this entry knows.",
            registry=self.registry,
        )
        gauge.set_function(rate_limits.count_limited)

    def watch_notices(self, recorder: NoticeRecorder) -> None:
        """Register metrics of the targets that leave or pause by their own word."""
        self.registry.register(NoticeCollector(recorder=recorder))
        for name, meaning, count in (
            ("leaving", "Targets that leave by their answers.", "count_said_leaving"),
            ("paused", "Targets that want nothing from this entry.", "count_paused"),
        ):
            gauge = Gauge(f"citronspan_targets_{name}", meaning, registry=self.registry)
            gauge.set_function(getattr(recorder.table, count))

    def watch_quotas(self, quotas: QuotaService) -> None:
        """Register metrics of the accounts' quotas."""
        self.registry.register(QuotaCollector(quotas=quotas))

    def watch_link(self, link: PeerLink) -> None:
        """Register gauges for the traffic that the peer link has sent and received."""
        read_by_name = {
            "sent_bytes": lambda: link.sent_bytes,
            "sent_messages": lambda: link.sent_messages,
            "received_bytes": lambda: link.received_bytes,
            "received_messages": lambda: link.received_messages,
        }
        for name, read in read_by_name.items():
            gauge = Gauge(
                f"citronspan_entry_peer_{name}",
                f"Peer {name.replace('_', ' ')}.",
                registry=self.registry,
            )
            gauge.set_function(read)

    def begin_request(self) -> int:
        """Increment the number of requests in flight, and return it."""
        with self._lock:
            self._in_flight_count += 1
            return self._in_flight_count

    def end_request(self) -> None:
        """Decrement the number of requests in flight."""
        with self._lock:
            self._in_flight_count -= 1

    def observe_answer(self, spec: RouteSpec, status: int, received_at: float) -> None:
        """Count an answer that was passed on whole or in part.

        Args:
            spec: Route of the request.
            status: HTTP status of the answer.
            received_at: Monotonic time at which the request was received.
        """
        self._answers.labels(spec.request_kind, f"{status // 100}xx").inc()
        seconds = time.monotonic() - received_at
        self._seconds.labels(spec.request_kind).observe(seconds)

    def count_refusal(self, code: ResultCode) -> None:
        """Count a refusal."""
        self._refusals.labels(str(code.number)).inc()

    def count_ended_in_stop(self, result: str) -> None:
        """Count a request that ended while the entry stopped."""
        self._ended_in_stop.labels(result).inc()

    def count_attempt(self, service: str, outcome: str) -> None:
        """Count an attempt by its outcome."""
        self._attempts.labels(service, outcome).inc()

    def count_retry(self, service: str) -> None:
        """Count an attempt after the first."""
        self._retries.labels(service).inc()

    def read_in_flight(self) -> int:
        """Return the number of requests in flight."""
        return self._in_flight_count
