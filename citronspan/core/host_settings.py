"""Settings of ``citronspan-host``, which runs entry and agent in one process.

They contain the location of the host, its addresses and the address of the store. The
settings of entry and agent are derived from them.
"""

from typing import Annotated

import msgspec

from citronspan.core.settings import (
    AgentSettings,
    Amount,
    EntrySettings,
    HostLimits,
    NodeIdentity,
    Port,
    QuotaRules,
    Seconds,
    Section,
    Share,
    ThreadCount,
)

STOP_MARGIN_SECONDS = 0.4
"""Longest time before SIGKILL at which a stopping host has ended by itself."""

STOP_MARGIN_SHARE = 0.25
"""Share of a short stop time that takes the place of ``STOP_MARGIN_SECONDS``."""

LEAVE_TIME_SHARE = 0.4
"""Share of the stop time in which new requests are still accepted, since callers cache
an address for some seconds."""

REUSE_SECONDS = 5.0
"""Longest idle time of a connection that is reused for a non-idempotent request.

Targets close idle connections after 10 s."""

MAXIMUM_RETRY_SLACK = 1e9

RetrySlack = Annotated[float, msgspec.Meta(ge=0, le=MAXIMUM_RETRY_SLACK)]


class ServiceRules(Section, kw_only=True):
    """Rules that hold for every service.

    Attributes:
        floor: Least share of a service's slots that stays in use, 0 to 1.
        retry_ratio: Retries allowed per request, 0 to 1.
        retry_slack: Retries allowed in each window in addition to the ratio. It may be
            a fraction where a deployment is a scaled one.
        retry_window_seconds: Length of the window.
        hedge_share: Hedged requests allowed per request over the whole fleet, 0 to 1;
            0 sends none.
        hedge_delay_seconds: Least time after which a request is hedged.
    """

    floor: Share = 0.5
    retry_ratio: Share = 0.1
    retry_slack: RetrySlack = 10
    retry_window_seconds: Seconds = 10.0
    hedge_share: Share = 0.0
    hedge_delay_seconds: Seconds = 0.1


class HostSettings(Section, kw_only=True):
    """Settings of one host.

    Attributes:
        place: Identity and location of the host.
        address: IP address of the host.
        callers_address: ``IP:PORT`` to which callers connect.
        readiness_address: ``IP:PORT`` of ``/readiness``.
        directory_address: ``IP:PORT`` of the directory that callers query for
            addresses.
        api_address: ``IP:PORT`` of the resource API.
        peer_ports: First and last port for messages between hosts, the same on all.
        seed_api_addresses: API addresses of some hosts; they may be stale.
        region_by_data_centre: Region of each data centre.
        store_address: ``IP:PORT`` of the platform's store.
        keep_seconds: Time for which callers may cache a directory answer.
        stop_seconds: Time from SIGTERM to SIGKILL.
        service_rules: Rules that hold for every service.
        quota_rules: Bounds for the limits of accounts.
        worker_threads: Maximum number of concurrent requests.
        metrics_port: Port of ``/metrics``, the same on every host.
        log_level: Name of a logbook level.
        limits: What the host may use.
        region_link_mbit: Megabits per second that the requests of all services and
            hosts together may use of the links between regions, 0 for no such budget.
    """

    place: NodeIdentity
    address: str
    callers_address: str
    readiness_address: str
    directory_address: str
    api_address: str
    peer_ports: tuple[Port, Port]
    store_address: str
    seed_api_addresses: tuple[str, ...] = ()
    region_by_data_centre: dict[str, str] = {}
    keep_seconds: Seconds = 5.0
    stop_seconds: Seconds = 6.0
    service_rules: ServiceRules = ServiceRules()
    quota_rules: QuotaRules = QuotaRules()
    worker_threads: ThreadCount = 64
    metrics_port: Port = 9464
    log_level: str = "INFO"
    limits: HostLimits = HostLimits()
    region_link_mbit: Amount = 0.0

    def __post_init__(self):
        """Check what concerns several values.

        Raises:
            ValueError: If the peer ports leave no room for entry and agent.
        """
        if self.peer_ports[1] <= self.peer_ports[0]:
            raise ValueError(
                f"Expected two or more ports in `peerPorts`, got {self.peer_ports}"
            )

    @property
    def entry_peer_address(self) -> str:
        """Peer address at which the entry receives messages."""
        return f"{self.address}:{self.peer_ports[0]}"

    @property
    def agent_peer_address(self) -> str:
        """Peer address at which the agent receives messages."""
        return self._make_agent_address(self.address)

    @property
    def relay_address(self) -> str:
        """Address at which the entry relays connections for peers, empty for none."""
        port = self.peer_ports[0] + 2
        return f"{self.address}:{port}" if port <= self.peer_ports[1] else ""

    @property
    def seeds(self) -> tuple[str, ...]:
        """Peer addresses of the agents of the seed hosts."""
        hosts = [address.rpartition(":")[0] for address in self.seed_api_addresses]
        return tuple(self._make_agent_address(host) for host in hosts)

    def make_entry_settings(self) -> EntrySettings:
        """Derive the settings of the entry."""
        margin_seconds = min(STOP_MARGIN_SECONDS, self.stop_seconds * STOP_MARGIN_SHARE)
        return EntrySettings(
            place=self.place,
            callers_address=self.callers_address,
            peer_address=self.entry_peer_address,
            agent_peer_address=self.agent_peer_address,
            metrics_address=f"{self.address}:{self.metrics_port}",
            readiness_address=self.readiness_address,
            relay_address=self.relay_address,
            worker_threads=self.worker_threads,
            quota_rules=self.quota_rules,
            drain_seconds=self.stop_seconds - margin_seconds,
            reuse_seconds=REUSE_SECONDS,
            leave_seconds=self.stop_seconds * LEAVE_TIME_SHARE,
            log_level=self.log_level,
            limits=self.limits,
            region_link_mbit=self.region_link_mbit,
        )

    def make_agent_settings(self) -> AgentSettings:
        """Derive the settings of the agent."""
        return AgentSettings(
            place=self.place,
            peer_address=self.agent_peer_address,
            api_address=self.api_address,
            # The metrics page of the entry covers both processes, and feeds replace
            # the log.
            metrics_address="",
            log_url="",
            directory_address=self.directory_address,
            entry_peer_address=self.entry_peer_address,
            entry_callers_address=self.callers_address,
            entry_relay_address=self.relay_address,
            seeds=self.seeds,
            keep_seconds=self.keep_seconds,
            log_level=self.log_level,
            limits=self.limits,
        )

    def _make_agent_address(self, host):
        return f"{host}:{self.peer_ports[0] + 1}"
