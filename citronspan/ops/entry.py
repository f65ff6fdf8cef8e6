"""The entry process: its threads, sockets and periodic tasks."""

import threading
import time
from collections.abc import Callable
from dataclasses import asdict

import logbook
import msgspec

from citronspan.core import log_events
from citronspan.core.accounts.quota_messages import QuotaMessage
from citronspan.core.brokering.broker_messages import BrokerMessage, EntryMessage
from citronspan.core.configuration.push_parts import PushCollector
from citronspan.core.detection.poison import PoisonNotice
from citronspan.core.detection.verdicts import VerdictPush
from citronspan.core.keys.key_messages import KeyMessage
from citronspan.core.messages import Envelope
from citronspan.core.node_messages import ConfigurationPush, EntryReport, ViewPush
from citronspan.core.requests.entry_configuration import (
    EntryConfiguration,
    apply_push,
)
from citronspan.core.requests.stop_plan import StopPlan
from citronspan.core.resources import Kind
from citronspan.core.settings import EntrySettings
from citronspan.ops.callers.configuration_wait import ConfigurationWait
from citronspan.ops.callers.http_server import make_metrics_server, make_server
from citronspan.ops.callers.key_service import KeyService
from citronspan.ops.callers.open_requests import OpenRequests
from citronspan.ops.callers.quota_service import QuotaService
from citronspan.ops.callers.readiness import describe_readiness, make_readiness_server
from citronspan.ops.callers.request_handler import RequestHandler
from citronspan.ops.entry_load import EntryLoad
from citronspan.ops.entry_metrics import EntryMetrics
from citronspan.ops.peers.incarnation import make_incarnation
from citronspan.ops.peers.peer_link import PeerLink
from citronspan.ops.slots.shard_metrics import ShardCollector
from citronspan.ops.slots.slot_service import SlotService
from citronspan.ops.targets.dialect import DefaultDialect, Dialect
from citronspan.ops.targets.relay_connector import RelayConnector
from citronspan.ops.targets.relay_server import RelayServer
from citronspan.ops.targets.target_connection import TargetConnections
from citronspan.ops.targets.target_connector import DirectConnector, TargetConnector
from citronspan.ops.targets.target_paths import TargetPaths
from citronspan.ops.targets.target_reachability import TargetReachability
from citronspan.utils.logs import write_event
from citronspan.utils.statecharts import accepts_event, load_chart, step_chart
from citronspan.utils.traces import start_tracing
from citronspan.utils.waits import POLL_SECONDS, wait_until

REPORT_INTERVAL_SECONDS = 0.25
VERDICT_INTERVAL_SECONDS = 0.1
HEALTH_LOG_INTERVAL_SECONDS = 1.0
TICK_INTERVAL_SECONDS = 0.02
KEY_REPORT_TIMEOUT_SECONDS = 1.0
REFUSAL_THREADS = 8
"""Threads above the maximum of concurrent requests, which refuse further ones."""

_logger = logbook.Logger("entry")


class Entry:
    """An entry, which forwards callers' requests and reports to its agent.

    Attributes:
        settings: Settings of the process.
        state: State of the statechart ``entry``.
        configuration: Last configuration that the agent pushed.
        view: Last view of the fleet that the agent pushed.
        metrics: Metrics of the entry.
        link: Link to the other processes.
        slots: Acquires and releases slots.
        keys: Runs the key protocol.
        quotas: Keeps the limits of accounts with the other entries.
    """

    def __init__(
        self,
        *,
        settings: EntrySettings,
        dialect: Dialect | None = None,
        connector: TargetConnector | None = None,
        find_configuration_problem: Callable[[], str] = lambda: "",
    ):
        """Create an entry.

        Args:
            settings: Settings of the process.
            dialect: Headers of callers and targets.
            connector: Connects to targets directly.
            find_configuration_problem: Returns why the newest configuration is invalid,
                or an empty string.
        """
        self.settings = settings
        self._dialect = dialect or DefaultDialect()
        self._stop_plan = StopPlan()
        self._chart = load_chart("entry")
        self.state = self._chart.initial
        self.configuration = EntryConfiguration()
        self._push_collector = PushCollector()
        self.view = ViewPush(sequence=0, nodes=())
        self.metrics = EntryMetrics()
        self.link = PeerLink(
            fleet=settings.place.fleet,
            address=settings.peer_address,
            incarnation=make_incarnation(),
        )
        self.metrics.watch_link(self.link)
        self._reachability = TargetReachability(
            count_targets=lambda: self.slots.count_targets()
        )
        self._connector = connector or DirectConnector()
        self._relay_connector = RelayConnector(
            name=settings.place.name,
            region=settings.place.region,
            data_centre=settings.place.data_centre,
            list_nodes=lambda: self.view.nodes,
        )
        self._paths = TargetPaths(
            direct=self._connector,
            reachability=self._reachability,
            relay=self._relay_connector,
        )
        self._connections = TargetConnections(
            id_header=self._dialect.id_header, paths=self._paths
        )
        self._relay_server = self._make_relay_server()
        self.slots = SlotService(
            name=settings.place.name,
            region=settings.place.region,
            link=self.link,
            wait_seconds=settings.broker_wait_seconds,
            data_centre=settings.place.data_centre,
            list_connected_addresses=self._connections.list_idle_addresses,
            region_link_bytes_per_second=settings.region_link_bytes_per_second,
        )
        self.keys = KeyService(
            name=settings.place.name,
            fleet=settings.place.fleet,
            link=self.link,
            find_address=self._find_entry_address,
            secret=settings.place.secret.encode(),
            find_end=self._stop_plan.find_planned_end,
        )
        self.quotas = QuotaService(
            name=settings.place.name,
            region=settings.place.region,
            link=self.link,
            rules=settings.quota_rules,
            find_spec=lambda name: self.configuration.get_spec(Kind.ACCOUNT, name),
        )
        self._stop = threading.Event()
        self._open_requests = OpenRequests(
            metrics=self.metrics,
            is_stopping=self._stop.is_set,
            find_stop_begin=self._stop_plan.find_begin,
        )
        self._configuration_wait = ConfigurationWait(
            find_configuration=lambda: self.configuration,
            is_stopping=self._stop.is_set,
            threads=settings.worker_threads,
            name=settings.place.name,
        )
        self._load = EntryLoad(settings=settings)
        self._report_sent_at = 0.0
        self._verdicts_sent_at = 0.0
        self._health_logged_at = 0.0
        self._server = make_server(
            settings.callers_address,
            self._make_handler(),
            threads=settings.worker_threads + REFUSAL_THREADS,
            find_read_end=self._stop_plan.find_read_end,
        )
        self.metrics.registry.register(
            ShardCollector(describe=self.slots.health_gossip.describe)
        )
        self.metrics.watch_reachability(self._reachability)
        self.metrics.watch_relay(self._relay_connector, self._relay_server)
        self.metrics.watch_rate_limits(self.slots.rate_limits)
        self.metrics.watch_notices(self.slots.notices)
        self.metrics.watch_quotas(self.quotas)
        self._side_servers = [
            make_metrics_server(settings.metrics_address, self.metrics.registry)
        ]
        if settings.readiness_address:
            server = make_readiness_server(
                settings.readiness_address,
                is_ready=self.is_ready,
                describe=lambda: describe_readiness(
                    state=self.state,
                    offset=self.configuration.offset,
                    problem=find_configuration_problem(),
                    has_brokers=self.slots.has_entries(),
                ),
            )
            self._side_servers.append(server)

    def run(self) -> None:
        """Serve until a stop is requested, then drain and return."""
        threads = [
            threading.Thread(target=self._receive, name="inbox", daemon=True),
            threading.Thread(target=self._tick_forever, name="ticks", daemon=True),
            threading.Thread(target=self._server.serve, name="callers", daemon=True),
            *(
                threading.Thread(target=server.serve, name="side", daemon=True)
                for server in self._side_servers
            ),
            threading.Thread(target=self._probe, name="probe", daemon=True),
        ]
        if self._relay_server is not None:
            serve = self._relay_server.serve
            threads.append(threading.Thread(target=serve, name="relay", daemon=True))
        for thread in threads:
            thread.start()
        write_event(
            _logger, log_events.PROCESS_STARTED, address=self.settings.callers_address
        )
        self._stop.wait()
        self._drain()

    def is_ready(self) -> bool:
        """Return whether the entry serves and knows at least one possible broker."""
        return self.state == "serving" and self.slots.has_entries()

    def reload(self, settings: EntrySettings) -> None:
        """Apply the times of a stop, unless one has begun; the rest needs a restart.

        Args:
            settings: The new settings.
        """
        if self._stop.is_set():
            return
        self.settings = msgspec.structs.replace(
            self.settings,
            drain_seconds=settings.drain_seconds,
            leave_seconds=settings.leave_seconds,
        )

    def request_stop(self) -> None:
        """Request a graceful stop; safe in any thread."""
        self._stop_plan.begin(self.settings.drain_seconds)
        self._stop.set()
        self._configuration_wait.notify()

    def _make_handler(self):
        tracing = self.settings.tracing
        return RequestHandler(
            name=self.settings.place.name,
            find_configuration=lambda: self.configuration,
            count_entries=self.slots.count_known_entries,
            slots=self.slots,
            keys=self.keys,
            connections=self._connections,
            metrics=self.metrics,
            tracer=start_tracing(
                service="citronspan-entry",
                exporter=tracing.exporter,
                file_descriptor=tracing.file_descriptor,
                sampled_share=tracing.sampled_share,
            ),
            is_stopping=self._stop.is_set,
            open_requests=self._open_requests,
            stop_plan=self._stop_plan,
            mint_prefix=lambda: self.keys.mint_prefix(self.view.nodes),
            dialect=self._dialect,
            reuse_seconds=self.settings.reuse_seconds,
            maximum_requests=self.settings.worker_threads,
            limits=self.quotas,
            configuration_wait=self._configuration_wait,
            link_room=self._load.link_room,
        )

    def _make_relay_server(self):
        if not self.settings.relay_address:
            return None
        return RelayServer(
            address=self.settings.relay_address,
            connector=self._connector,
            reachability=self._reachability,
            is_target=lambda address: address in self.slots.list_target_addresses(),
            may_use=lambda address: self.slots.is_address_usable(address),
        )

    def _find_entry_address(self, name):
        for node in self.view.nodes:
            # The entry's state in the view is not checked, since the view lags. A send
            # to an entry that has stopped fails at once.
            if node.name == name:
                return node.entry_peer_address
        return None

    def _probe(self):
        self._paths.probe_forever(self.slots.list_target_addresses, self._stop)

    def _receive(self):
        self.link.receive_forever(self._handle_envelope)

    def _handle_envelope(self, envelope: Envelope):
        message = envelope.body
        if isinstance(message, ConfigurationPush):
            self._apply_configuration(message)
            return
        if isinstance(message, ViewPush):
            self._apply_view(message)
            return
        if isinstance(message, VerdictPush):
            self.slots.health_gossip.merge_verdicts(message.verdicts)
            return
        if isinstance(message, PoisonNotice):
            self.slots.health_gossip.merge_notice(message)
            return
        if isinstance(message, KeyMessage):
            self.keys.handle(envelope.sender, message)
            return
        if isinstance(message, QuotaMessage):
            self.quotas.handle(envelope.sender, envelope.incarnation, message)
            return
        if isinstance(message, BrokerMessage | EntryMessage):
            self.slots.handle(envelope.sender, message)

    def _apply_configuration(self, part):
        push = self._push_collector.add(part)
        if push is None:
            return
        previous = self.configuration
        self.configuration = apply_push(previous, push)
        if self.configuration.resource_by_id is not previous.resource_by_id:
            write_event(_logger, log_events.CONFIGURATION_APPLIED, offset=push.offset)
            self._update_services()
            self._configuration_wait.notify()
        is_configured = self.configuration.offset > 0
        if is_configured and accepts_event(self._chart, self.state, "configured"):
            self._change_state("configured")
        self._report()

    def _apply_view(self, view):
        # The sequence number is not compared with the last one, since a restarted
        # agent counts from the start again. One ordered connection carries all views.
        has_leaving_changed = view.leaving_targets != self.view.leaving_targets
        self.view = view
        self.slots.set_nodes(view.nodes, awaits_peers=view.awaits_peers)
        self.quotas.set_nodes(view.nodes, awaits_peers=view.awaits_peers)
        self._connect_to_brokers()
        if has_leaving_changed:
            self._update_services()

    def _connect_to_brokers(self):
        """Connect in advance, so that the first request need not wait for it."""
        for address in self.slots.list_broker_addresses():
            if address != self.link.address:
                self.link.connect(address)

    def _update_services(self):
        self.slots.set_services(
            self.configuration.get_service_specs(),
            self.configuration.targets_by_service,
            frozenset(self.view.leaving_targets),
        )
        self._connect_to_brokers()

    def _tick_forever(self):
        while True:
            time.sleep(TICK_INTERVAL_SECONDS)
            try:
                self._tick()
            except Exception:
                _logger.exception("tick failed")
                write_event(_logger, log_events.BACKGROUND_TASK_FAILED, task="tick")

    def _tick(self):
        now = time.monotonic()
        self.slots.advance()
        self.keys.advance()
        self.quotas.advance()
        if now - self._verdicts_sent_at >= VERDICT_INTERVAL_SECONDS:
            self._verdicts_sent_at = now
            multicasts = self.slots.health_gossip.collect_verdicts()
            self.link.send_multicasts(multicasts)
        if now - self._health_logged_at >= HEALTH_LOG_INTERVAL_SECONDS:
            self._health_logged_at = now
            self.slots.health_gossip.write_logs()
            self.link.send_all(self.slots.health_gossip.collect_notices())
            self._connections.close_expired()
        if now - self._report_sent_at < REPORT_INTERVAL_SECONDS:
            return
        self._report()
        self.link.close_idle()

    def _report(self):
        self._report_sent_at = time.monotonic()
        in_flight = self.metrics.read_in_flight()
        report = EntryReport(
            name=self.settings.place.name,
            state=self.state,
            offset=self.configuration.offset,
            view_sequence=self.view.sequence,
            in_flight=in_flight,
            busy=self._load.update_busy(in_flight),
            full=self._load.update_full(in_flight),
            shards=self.slots.health_gossip.describe(),
            unhealthy_targets=self.slots.health_gossip.describe_received(),
        )
        self.link.send(self.settings.agent_peer_address, report)

    def _change_state(self, event):
        self.state = step_chart(self._chart, self.state, event)

    def _drain(self):
        """Leave the directory, finish the requests in flight, then stop."""
        write_event(_logger, log_events.PROCESS_STOPPING)
        for forecast in self._stop_plan.forecast():
            write_event(_logger, log_events.STOP_PLANNED, **asdict(forecast))
        drain_deadline = self._stop_plan.find_bound()
        # A tunnel is ended when it is idle, which may be only now.
        relay_stop = threading.Thread(
            target=self._stop_relay, args=[self._stop_plan.find_end()]
        )
        relay_stop.start()
        if self.state == "serving":
            self._change_state("stop")
            self._report()
            self.slots.hand_over_all()
            self.quotas.hand_over_all()
            # Keep accepting while callers may still use this address.
            leave_deadline = time.monotonic() + self.settings.leave_seconds
            last_arrival = self._stop_plan.find_last_arrival(
                self.configuration.routes.find_shortest_deadline_seconds()
            )
            wait_until(lambda: False, min(leave_deadline, last_arrival, drain_deadline))
        # A request accepted from now on might not finish before the drain deadline.
        self._server.stop_accepting()
        # Read before the threads of requests that are not whole give them up.
        limit = self._stop_plan.find_planned_end() - 2 * POLL_SECONDS
        wait_until(self._is_idle, limit)
        remaining = self.metrics.read_in_flight()
        if remaining:
            write_event(_logger, log_events.DRAIN_BOUND_REACHED, in_flight=remaining)
            wait_until(self._is_idle, self._stop_plan.find_last_answer_end())
            self._open_requests.give_up_rest()
        # The owners of keys need the results of the last requests.
        reports_deadline = time.monotonic() + KEY_REPORT_TIMEOUT_SECONDS
        wait_until(self.keys.is_idle, min(reports_deadline, drain_deadline))
        relay_stop.join()
        self._server.shutdown_timeout = max(drain_deadline - time.monotonic(), 1.0)
        self._server.stop()
        for server in self._side_servers:
            server.stop()
        self.state = "stopped"
        self._report()
        self._connections.close()
        self.link.close()
        write_event(_logger, log_events.PROCESS_STOPPED)

    def _is_idle(self):
        return not self.metrics.read_in_flight()

    def _stop_relay(self, drain_deadline):
        if self._relay_server is not None:
            self._relay_server.stop(drain_deadline)
