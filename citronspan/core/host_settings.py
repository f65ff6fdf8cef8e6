"""Settings of ``citronspan-host``, which is entry and agent in one process.

They say where the host is, what it listens on and where the store is; the settings
of entry and agent follow from them.
"""

from citronspan.core.settings import AgentSettings, EntrySettings, NodeIdentity, Section

STOP_MARGIN_SECONDS = 0.4
"""Time before a kill at which a stopping host has ended by itself."""

LEAVE_SHARE = 0.4
"""Part of the time for a stop in which new requests are still taken, since callers
keep an address for some seconds."""


REUSE_SECONDS = 5.0
"""Longest idle time of a connection that a request which may not run twice goes over.

Targets here close idle connections after 10 s."""


class ServiceRules(Section, kw_only=True):
    """Rules that hold for every service.

    Attributes:
        floor: Share of a service's slots that stays in use, 0 to 1.
        retry_ratio: Retries allowed per request, 0 to 1.
        retry_slack: Retries allowed in each window beside those.
        retry_window_seconds: Length of the window.
    """

    floor: float = 0.5
    retry_ratio: float = 0.1
    retry_slack: int = 10
    retry_window_seconds: float = 10.0


class HostSettings(Section, kw_only=True):
    """Settings of one host.

    Attributes:
        place: Who and where the host is.
        address: IP address of the host.
        callers_address: ``IP:PORT`` where callers connect.
        readiness_address: ``IP:PORT`` of ``/readiness``.
        directory_address: ``IP:PORT`` where callers ask for addresses.
        api_address: ``IP:PORT`` of the resource API.
        peer_ports: First and last port for messages between hosts, the same on all.
        seed_api_addresses: API addresses of some hosts, maybe stale.
        region_by_data_centre: Region of each data centre.
        store_address: ``IP:PORT`` of the platform's store.
        keep_seconds: Time for which callers may keep a directory answer.
        stop_seconds: Time from SIGTERM to SIGKILL.
        service_rules: Rules that hold for every service.
        worker_threads: Requests that the host carries at once.
        metrics_port: Port of ``/metrics``, the same on every host.
        log_level: Name of a logbook level.
    """

    place: NodeIdentity
    address: str
    callers_address: str
    readiness_address: str
    directory_address: str
    api_address: str
    peer_ports: tuple[int, int]
    store_address: str
    seed_api_addresses: tuple[str, ...] = ()
    region_by_data_centre: dict[str, str] = {}
    keep_seconds: float = 5.0
    stop_seconds: float = 6.0
    service_rules: ServiceRules = ServiceRules()
    worker_threads: int = 64
    metrics_port: int = 9464
    log_level: str = "INFO"

    @property
    def entry_peer_address(self) -> str:
        """Where the entry takes messages."""
        return f"{self.address}:{self.peer_ports[0]}"

    @property
    def agent_peer_address(self) -> str:
        """Where the agent takes messages."""
        return self._find_agent_address(self.address)

    @property
    def seeds(self) -> tuple[str, ...]:
        """Peer addresses of the seeds' agents."""
        hosts = [address.rpartition(":")[0] for address in self.seed_api_addresses]
        return tuple(self._find_agent_address(host) for host in hosts)

    def make_entry_settings(self) -> EntrySettings:
        """Return the settings of the entry."""
        stop_seconds = max(self.stop_seconds - STOP_MARGIN_SECONDS, 0.1)
        return EntrySettings(
            place=self.place,
            callers_address=self.callers_address,
            peer_address=self.entry_peer_address,
            agent_peer_address=self.agent_peer_address,
            metrics_address=f"{self.address}:{self.metrics_port}",
            readiness_address=self.readiness_address,
            worker_threads=self.worker_threads,
            drain_seconds=stop_seconds,
            reuse_seconds=REUSE_SECONDS,
            leave_seconds=self.stop_seconds * LEAVE_SHARE,
            log_level=self.log_level,
        )

    def make_agent_settings(self) -> AgentSettings:
        """Return the settings of the agent."""
        return AgentSettings(
            place=self.place,
            peer_address=self.agent_peer_address,
            api_address=self.api_address,
            # The entry's page shows both, and the feeds take the log's place.
            metrics_address="",
            log_url="",
            directory_address=self.directory_address,
            entry_peer_address=self.entry_peer_address,
            entry_callers_address=self.callers_address,
            seeds=self.seeds,
            keep_seconds=self.keep_seconds,
            log_level=self.log_level,
        )

    def _find_agent_address(self, host):
        return f"{host}:{self.peer_ports[0] + 1}"
