"""The agent process of a host: configuration, membership, API and directory."""

import threading
import time
from collections.abc import Callable

import logbook
from prometheus_client import CollectorRegistry

from citronspan.core import log_events
from citronspan.core.configuration.config_lag import LagTracker
from citronspan.core.configuration.config_messages import ConfigOffset
from citronspan.core.configuration.config_state import ResourceKey
from citronspan.core.keys.key_owner_selection import choose_owner_and_witness
from citronspan.core.keys.key_token import mint_prefix
from citronspan.core.membership.directory import DirectoryAnswer, choose_addresses
from citronspan.core.membership.member_messages import (
    MemberAck,
    MemberMessage,
    MemberPing,
)
from citronspan.core.messages import Envelope
from citronspan.core.node_messages import EntryReport, NodeInfo
from citronspan.core.resources import Kind, decode_resource
from citronspan.core.settings import AgentSettings
from citronspan.ops.agent_entry import EntryFeed
from citronspan.ops.callers.http_server import make_metrics_server, make_server
from citronspan.ops.operators.agent_metrics import register_agent
from citronspan.ops.operators.agent_status import (
    FleetStatus,
    TargetStatus,
    make_status,
    make_target_status,
)
from citronspan.ops.operators.resource_api import ResourceApi, make_application
from citronspan.ops.peers.agent_view import MembershipView
from citronspan.ops.peers.peer_link import PeerLink
from citronspan.ops.peers.peer_log import PeerLog
from citronspan.ops.store.config_source import ConfigSource
from citronspan.ops.store.log_client import HttpLogStore, LogStore
from citronspan.ops.store.log_source import LogSource
from citronspan.utils.logs import write_event

TICK_SECONDS = 0.2
STARTUP_TICK_SECONDS = 0.1
API_THREADS = 24
DIRECTORY_THREADS = 4
STOP_TIMEOUT_SECONDS = 1.0
# Interval between attempts to send the configuration to an unreachable entry.
ENTRY_RETRY_SECONDS = 0.5
ENTRY_REPORT_TIMEOUT_SECONDS = 3.0

_logger = logbook.Logger("agent")


class Agent:
    """The agent of one host.

    It keeps the configuration and the membership view current, feeds both to the entry
    of its host, and serves the API, the directory and the metrics.
    """

    def __init__(
        self,
        *,
        settings: AgentSettings,
        store: LogStore | None = None,
        make_source: Callable[["Agent"], ConfigSource] | None = None,
    ):
        self.settings = settings
        self._stop = threading.Event()
        self._entry_report: EntryReport | None = None
        self._entry_reported_at = float("-inf")
        self._replaced_addresses: set[str] = set()
        self.incarnation = time.time_ns() // 1_000_000
        own = make_own_node(settings, incarnation=self.incarnation)
        if store is None and settings.log_url:
            store = HttpLogStore(url=settings.log_url)
        self.store = store
        self.link = PeerLink(
            fleet=settings.place.fleet,
            address=settings.peer_address,
            incarnation=self.incarnation,
        )
        self.view = MembershipView(own=own, seeds=settings.seeds)
        self.source = (make_source or _make_log_source)(self)
        self.active_config = self.source.active_config
        self._peer_log = PeerLog()
        self.lag = LagTracker()
        self.feed = EntryFeed(to=settings.entry_peer_address, link=self.link)
        api = ResourceApi(
            active_config=self.active_config, store=self.store, fleet=self
        )
        self._servers = self._make_servers(api)

    def _make_servers(self, api):
        settings = self.settings
        application = make_application(api)
        servers = [make_server(settings.api_address, application, threads=API_THREADS)]
        if settings.directory_address:
            servers.append(
                make_server(
                    settings.directory_address, application, threads=DIRECTORY_THREADS
                )
            )
        if settings.metrics_address:
            registry = register_agent(self, CollectorRegistry())
            servers.append(make_metrics_server(settings.metrics_address, registry))
        for server in servers:
            server.shutdown_timeout = STOP_TIMEOUT_SECONDS
        return servers

    def run(self) -> None:
        """Serve until ``request_stop`` is called, then leave the fleet and end."""
        threads = [
            self._start_thread(
                lambda: self.link.receive_forever(self._handle_message), "peers"
            ),
            self._start_thread(self._restart_on_error(self._tick_forever), "tick"),
            self._start_thread(self._restart_on_error(self._feed_forever), "feed"),
            *(self._start_thread(server.serve, "server") for server in self._servers),
            *(
                self._start_thread(self._restart_on_error(task), name)
                for name, task in self.source.list_tasks()
            ),
        ]
        write_event(
            _logger,
            log_events.PROCESS_STARTED,
            name=self.settings.place.name,
            api=self.settings.api_address,
        )
        self._stop.wait()
        write_event(_logger, log_events.PROCESS_STOPPING)
        self.link.send_all(self.view.leave())
        self.source.stop()
        for server in self._servers:
            server.stop()
        self.link.close()
        stop_deadline = time.monotonic() + STOP_TIMEOUT_SECONDS
        for thread in threads:
            thread.join(max(0.0, stop_deadline - time.monotonic()))
        write_event(_logger, log_events.PROCESS_STOPPED)

    def request_stop(self) -> None:
        """Ask ``run`` to return; safe to call in any thread."""
        self._stop.set()

    def find_status(self) -> FleetStatus:
        """Return the status of the fleet; see ``FleetAnswers``."""
        return make_status(
            name=self.settings.place.name,
            active_config=self.active_config,
            read_status=self.source.read_status,
            view=self.view,
            entry=self._entry_report,
            targets=self.find_targets(),
            find_peer_lag=self.lag.find_peer_lag,
            configuration_problem=self.source.configuration_problem,
        )

    def find_targets(self) -> tuple[TargetStatus, ...]:
        """Return the targets' states as last reported by the entry of this host."""
        report = self._entry_report
        if report is None or report.shards is None:
            return ()
        local_targets = [target for shard in report.shards for target in shard.targets]
        names = {target.name for target in local_targets}
        received_reports = [
            item for item in report.unhealthy_targets if item.name not in names
        ]
        return tuple(
            make_target_status(target) for target in (*local_targets, *received_reports)
        )

    def find_directory(
        self, *, region: str, data_centre: str, account: str, caller: str = ""
    ) -> DirectoryAnswer:
        """Return the addresses for a caller; see ``FleetAnswers``."""
        caller_region = self._find_account_region(account) or region
        caller_region = caller_region or self.settings.place.region
        nodes = self.view.live_nodes()
        addresses = choose_addresses(
            nodes, region=caller_region, data_centre=data_centre, caller=caller
        )
        return DirectoryAnswer(
            addresses=addresses,
            keep_seconds=self.settings.keep_seconds,
            key_prefix=self._mint_key_prefix(nodes, caller_region, addresses),
        )

    def _mint_key_prefix(self, nodes, region, addresses):
        """Return a key prefix for the first address, the one most likely to be used.

        Returns:
            The prefix, empty if no owner and witness can be chosen.
        """
        first_address = addresses[0] if addresses else ""
        preferred_nodes = [
            node for node in nodes if node.entry_callers_address == first_address
        ]
        chosen = choose_owner_and_witness(
            nodes,
            region=region,
            key=first_address,
            preferred_owner=preferred_nodes[0].name if preferred_nodes else "",
        )
        if chosen is None:
            return ""
        owner, witness = chosen
        return mint_prefix(
            fleet=self.settings.place.fleet,
            owner=owner.name,
            owner_incarnation=owner.entry_incarnation,
            witness=witness.name,
            witness_incarnation=witness.entry_incarnation,
            secret=self.settings.place.secret.encode(),
        )

    def _find_account_region(self, account):
        key = ResourceKey(Kind.ACCOUNT.value, account)
        stored = self.active_config.state.resource_by_key.get(key)
        return "" if stored is None else decode_resource(stored.data).spec.region

    def _start_thread(self, target, name):
        thread = threading.Thread(target=target, name=name, daemon=True)
        thread.start()
        return thread

    def _restart_on_error(self, task: Callable[[], None]) -> Callable[[], None]:
        def run():
            while not self._stop.is_set():
                try:
                    task()
                except Exception:
                    _logger.exception("background task raised")
                    write_event(_logger, log_events.BACKGROUND_TASK_FAILED)
                    self._stop.wait(TICK_SECONDS)

        return run

    def _handle_message(self, envelope: Envelope):
        body = envelope.body
        self._record_offsets(envelope)
        if isinstance(body, self.source.message_types):
            self.active_config.handle_message(body, envelope.sender)
        elif isinstance(body, EntryReport):
            self._handle_entry_report(body, envelope.incarnation)
        elif isinstance(body, MemberMessage):
            self.link.send_all(self.view.handle(envelope.sender, body))

    def _record_offsets(self, envelope: Envelope):
        self.lag.record_own_offset(self.active_config.state.offset)
        body = envelope.body
        if isinstance(body, MemberAck) and body.relayed:
            return
        if isinstance(body, ConfigOffset | MemberPing | MemberAck):
            self.lag.record_peer_offset(envelope.sender, body.offset)

    def _handle_entry_report(self, report: EntryReport, incarnation: int):
        if report.name != self.settings.place.name:
            return
        previous = self._entry_report
        self._entry_report = report
        self._entry_reported_at = time.monotonic()
        self.view.update_own(
            entry_state=report.state,
            entry_incarnation=incarnation,
            entry_busy=report.busy,
            entry_full=report.full,
        )
        if previous is not None and previous.state != report.state:
            # The directories of the region must stop listing an entry that leaves,
            # and may list one that serves.
            self.link.send_all(self.view.announce_to_region())
        self.feed.handle_entry_report(report)

    def reload(self, settings: AgentSettings) -> None:
        """Apply the settings that can change while the agent runs.

        Args:
            settings: The new settings.
        """
        self.settings = settings
        self.view.set_seeds(settings.seeds)
        self.view.update_own(room=settings.limits.make_room())

    def _tick_forever(self):
        while not self._stop.wait(self._get_tick_seconds()):
            self._check_entry_timeout()
            self.view.update_own(offset=self.active_config.state.offset)
            self.link.send_all(self.view.tick())
            self._replace_silent_connections()
            self.link.close_idle()
            self._peer_log.write(self.view)
            nodes = self.view.live_nodes()
            self.active_config.tick(nodes)
            self.lag.retain_peers({node.agent_peer_address for node in nodes})
            self.feed.push_view(
                self.view.version,
                nodes,
                self.source.leaving_targets,
                awaits_peers=self.view.awaits_peers,
            )
            if not self.active_config.ready:
                self.source.check_startup_gate(nodes)

    def _replace_silent_connections(self):
        """Connect anew, once, to each node that only this one cannot reach."""
        addresses = {node.agent_peer_address for node in self.view.unreachable_nodes()}
        self._replaced_addresses &= addresses
        for address in addresses - self._replaced_addresses:
            if self.link.replace_connection(address):
                self._replaced_addresses.add(address)

    def _get_tick_seconds(self):
        return TICK_SECONDS if self.active_config.ready else STARTUP_TICK_SECONDS

    def _check_entry_timeout(self):
        if time.monotonic() < self._entry_reported_at + ENTRY_REPORT_TIMEOUT_SECONDS:
            return
        self.view.update_own(entry_state="stopped" if self._entry_report else "joining")

    def _feed_forever(self):
        while not self._stop.is_set():
            if not self.active_config.wait_ready(TICK_SECONDS):
                continue
            self.active_config.wait(self.feed.is_due, TICK_SECONDS)
            self.feed.push_state(self.active_config.state)
            if self.feed.is_due(self.active_config.state):
                is_first = not self.feed.sent_offset
                self._stop.wait(
                    STARTUP_TICK_SECONDS if is_first else ENTRY_RETRY_SECONDS
                )


def _make_log_source(agent: Agent) -> LogSource:
    settings = agent.settings
    return LogSource(
        view=agent.view,
        seeds=settings.seeds,
        send_all=agent.link.send_all,
        store=agent.store,
        snapshot_seconds=settings.snapshot_seconds,
        host_list_url=settings.host_list_url,
    )


def make_own_node(settings: AgentSettings, *, incarnation: int) -> NodeInfo:
    """Return the information about this node that other nodes receive.

    Args:
        settings: Settings of the agent.
        incarnation: Incarnation of the agent process.
    """
    return NodeInfo(
        name=settings.place.name,
        incarnation=incarnation,
        region=settings.place.region,
        data_centre=settings.place.data_centre,
        agent_peer_address=settings.peer_address,
        entry_peer_address=settings.entry_peer_address,
        entry_callers_address=settings.entry_callers_address,
        api_address=settings.api_address,
        entry_relay_address=settings.entry_relay_address,
        room=settings.limits.make_room(),
    )
