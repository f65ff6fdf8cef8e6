"""The agent of one host: configuration, view of the fleet, API and directory."""

import threading
import time
from collections.abc import Callable

import logbook
from cheroot.wsgi import Server as WsgiServer
from prometheus_client import CollectorRegistry, Gauge, start_http_server

from citronspan.core import log_events, result_codes
from citronspan.core.config_messages import Greeting
from citronspan.core.config_record import LogBatch
from citronspan.core.config_state import ResourceKey
from citronspan.core.directory import DirectoryAnswer, choose_addresses
from citronspan.core.errors import CitronspanError
from citronspan.core.messages import Envelope
from citronspan.core.node_messages import EntryReport, NodeInfo
from citronspan.core.resources import AccountSpec, Kind, decode_resource
from citronspan.core.settings import AgentSettings
from citronspan.ops.agent_entry import EntryFeed
from citronspan.ops.agent_status import FleetStatus, NodeStatus
from citronspan.ops.agent_view import SeedView
from citronspan.ops.config_tail import ConfigTail
from citronspan.ops.config_tail_held import HeldConfig
from citronspan.ops.log_client import HttpLogStore, LogStore
from citronspan.ops.peer_link import PeerLink
from citronspan.ops.resource_api import ResourceApi, make_application
from citronspan.utils.addresses import split_address
from citronspan.utils.logs import write_event

TICK_SECONDS = 0.25
API_THREADS = 8
MAXIMUM_API_THREADS = 32
STOP_SECONDS = 1.0
ENTRY_SILENT_SECONDS = 3.0

_logger = logbook.Logger("agent")


class Agent:
    """One agent process."""

    def __init__(self, *, settings: AgentSettings, store: LogStore | None = None):
        self._settings = settings
        self._stopped = threading.Event()
        self._report: EntryReport | None = None
        self._reported_at = float("-inf")
        self.incarnation = time.time_ns() // 1_000_000
        self.held = HeldConfig()
        self.store = store or HttpLogStore(url=settings.log_url)
        self.link = PeerLink(
            fleet=settings.place.fleet,
            address=settings.peer_address,
            incarnation=self.incarnation,
        )
        self.view = SeedView(own=self._make_own(), seeds=settings.seeds)
        self.tail = ConfigTail(
            held=self.held, store=self.store, handle_batch=self._spread_batch
        )
        self.feed = EntryFeed(to=settings.entry_peer_address, link=self.link)
        self.api = ResourceApi(held=self.held, store=self.store, fleet=self)
        self._server = self._make_server()
        self._registry = CollectorRegistry()
        self._define_metrics()

    def run(self) -> None:
        """Serve until ``stop`` is called, then end cleanly.

        Raises:
            CitronspanError: With code 1004 if an address cannot be bound.
        """
        metrics, metrics_thread = self._start_metrics()
        threads = [
            self._start(self._handle_messages, "peers"),
            self._start(self._keep_running(self.tail.run), "tail"),
            self._start(self._keep_running(self._tick_forever), "tick"),
            self._start(self._keep_running(self._feed_forever), "feed"),
            self._start(self._server.serve, "api"),
        ]
        write_event(
            _logger,
            log_events.PROCESS_STARTED,
            name=self._settings.place.name,
            api=self._settings.api_address,
        )
        self._stopped.wait()
        write_event(_logger, log_events.PROCESS_STOPPING)
        self.tail.stop()
        self.held.close()
        self._server.stop()
        self.link.close()
        metrics.shutdown()
        end = time.monotonic() + STOP_SECONDS
        for thread in [*threads, metrics_thread]:
            thread.join(max(0.0, end - time.monotonic()))
        write_event(_logger, log_events.PROCESS_STOPPED)

    def stop(self) -> None:
        """Ask ``run`` to return; may be called by a signal handler."""
        self._stopped.set()

    def find_status(self) -> FleetStatus:
        """Return what the fleet is doing; see ``FleetAnswers``."""
        state = self.held.state
        nodes = self.view.live_nodes()
        highest = max([state.offset, *(node.offset for node in nodes)])
        return FleetStatus(
            node=self._settings.place.name,
            offset=state.offset,
            log="away" if self.tail.away else "reachable",
            resources=len(state.resource_by_key),
            void_records=self.held.void_records,
            nodes=tuple(
                NodeStatus(
                    name=node.name,
                    region=node.region,
                    data_centre=node.data_centre,
                    entry=node.entry_state,
                    offset=node.offset,
                    behind=highest - node.offset,
                )
                for node in nodes
            ),
        )

    def find_directory(self, *, region: str, account: str) -> DirectoryAnswer:
        """Return addresses for a caller; see ``FleetAnswers``."""
        place = self._find_account_region(account) or region
        place = place or self._settings.place.region
        return DirectoryAnswer(
            addresses=choose_addresses(self.view.live_nodes(), region=place),
            keep_seconds=self._settings.keep_seconds,
        )

    def _find_account_region(self, account):
        key = ResourceKey(Kind.ACCOUNT.value, account)
        stored = self.held.state.resource_by_key.get(key)
        if stored is None:
            return ""
        spec = decode_resource(stored.data).spec
        assert isinstance(spec, AccountSpec)
        return spec.region

    def _make_own(self) -> NodeInfo:
        settings = self._settings
        return NodeInfo(
            name=settings.place.name,
            incarnation=self.incarnation,
            region=settings.place.region,
            data_centre=settings.place.data_centre,
            agent_peer_address=settings.peer_address,
            entry_peer_address=settings.entry_peer_address,
            entry_callers_address=settings.entry_callers_address,
            api_address=settings.api_address,
        )

    def _make_server(self):
        server = WsgiServer(
            split_address(self._settings.api_address),
            make_application(self.api),
            numthreads=API_THREADS,
            max=MAXIMUM_API_THREADS,
            shutdown_timeout=STOP_SECONDS,
        )
        server.error_log = _log_server_error
        try:
            server.prepare()
        except OSError as error:
            self.link.close()
            raise CitronspanError(
                code=result_codes.ADDRESS_IN_USE,
                detail=f"{self._settings.api_address}: {error}",
            ) from error
        return server

    def _start_metrics(self):
        ip, port = split_address(self._settings.metrics_address)
        try:
            return start_http_server(port, addr=ip, registry=self._registry)
        except OSError as error:
            self.link.close()
            self._server.stop()
            raise CitronspanError(
                code=result_codes.ADDRESS_IN_USE,
                detail=f"{self._settings.metrics_address}: {error}",
            ) from error

    def _define_metrics(self):
        value_by_name = {
            "configuration_offset": lambda: self.held.state.offset,
            "configuration_resources": lambda: len(self.held.state.resource_by_key),
            "void_records": lambda: self.held.void_records,
            "log_away": lambda: int(self.tail.away),
            "live_nodes": lambda: len(self.view.live_nodes()),
            "peer_sent_bytes": lambda: self.link.sent_bytes,
            "peer_sent_messages": lambda: self.link.sent_messages,
            "peer_received_bytes": lambda: self.link.received_bytes,
            "peer_received_messages": lambda: self.link.received_messages,
        }
        for name, read in value_by_name.items():
            gauge = Gauge(
                f"citronspan_agent_{name}",
                name.replace("_", " ").capitalize() + ".",
                registry=self._registry,
            )
            gauge.set_function(read)

    def _start(self, target, name):
        thread = threading.Thread(target=target, name=name, daemon=True)
        thread.start()
        return thread

    def _keep_running(self, task: Callable[[], None]) -> Callable[[], None]:
        def run():
            while not self._stopped.is_set():
                try:
                    task()
                except Exception:
                    _logger.exception("background task raised")
                    write_event(_logger, log_events.BACKGROUND_TASK_FAILED)
                    self._stopped.wait(TICK_SECONDS)

        return run

    def _handle_messages(self):
        self.link.receive_forever(self._handle)

    def _handle(self, envelope: Envelope):
        body = envelope.body
        if isinstance(body, EntryReport):
            self._take_report(body)
        elif isinstance(body, Greeting):
            self.view.take(body)

    def _take_report(self, report: EntryReport):
        if report.name != self._settings.place.name:
            return
        self._report = report
        self._reported_at = time.monotonic()
        self.view.update_own(entry_state=report.state)
        self.feed.take_report(report)

    def _spread_batch(self, batch: LogBatch):
        self.view.update_own(offset=self.held.state.offset)

    def _tick_forever(self):
        while not self._stopped.wait(TICK_SECONDS):
            self._note_silent_entry()
            self.view.update_own(offset=self.held.state.offset)
            self.link.send_all(self.view.tick())
            self.link.close_idle()
            self._push_view()

    def _note_silent_entry(self):
        if time.monotonic() < self._reported_at + ENTRY_SILENT_SECONDS:
            return
        self.view.update_own(entry_state="stopped" if self._report else "joining")

    def _push_view(self):
        self.feed.push_view(self.view.live_nodes())

    def _feed_forever(self):
        while not self._stopped.is_set():
            self.held.wait(self.feed.is_due, TICK_SECONDS)
            self.feed.push_state(self.held.state)


def _log_server_error(msg="", level=20, traceback=False):
    _logger.info("api server: {}", msg)
