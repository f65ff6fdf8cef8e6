"""Describes the fleet that the demonstration runs on loopback addresses.

The fleet has two regions of two data centres with one host each, a log service, a host
list and the three targets of ``examples/demo``. All its addresses are in one network
``127.N.0.0/16``, so that two checkouts can run a fleet each at the same time.
"""

import shlex
import socket
import sys
from dataclasses import dataclass
from pathlib import Path

import msgspec

from citronspan.core.settings import AgentSettings, EntrySettings, NodeIdentity
from citronspan_standins.host_list import HostList, ListedHost

PROJECT = Path(__file__).parents[1]
NETWORKS = range(10)
CALLERS_PORT = 8080
ENTRY_METRICS_PORT = 8081
ENTRY_PEER_PORT = 7400
API_PORT = 8000
AGENT_METRICS_PORT = 8001
AGENT_PEER_PORT = 7401
PLATFORM_PORT = 9100
TARGET_PORT = 9000
LEAVE_SECONDS = 0.5
DRAIN_SECONDS = 3.0
DIRECTORY_KEEP_SECONDS = 2.0
TARGET_SWITCHES = '{"slots": 6, "serviceSeconds": 0.05}'
DATA_CENTRES = ("svealand-1", "svealand-2", "gotaland-1", "gotaland-2")
TARGETS = ("shop-1", "shop-2", "shop-3")


@dataclass(frozen=True, kw_only=True)
class FleetHost:
    """A host of the fleet, which runs an entry and an agent.

    Attributes:
        name: Name of the host.
        ip: Loopback address of the host.
        region: Region of its data centre.
        data_centre: Data centre of the host.
    """

    name: str
    ip: str
    region: str
    data_centre: str

    def get_address(self, port: int) -> str:
        """Return the host's ``IP:PORT`` for a port."""
        return f"{self.ip}:{port}"


@dataclass(frozen=True, kw_only=True)
class Fleet:
    """Addresses of every process that the demonstration starts.

    Attributes:
        network: Second octet of the loopback addresses.
        directory: Directory for settings and logs.
    """

    network: int
    directory: Path

    @property
    def hosts(self) -> tuple[FleetHost, ...]:
        """The hosts, one per data centre."""
        return tuple(
            FleetHost(
                name=f"host-{number}",
                ip=f"127.{self.network}.1.{number}",
                region=data_centre.rpartition("-")[0],
                data_centre=data_centre,
            )
            for number, data_centre in enumerate(DATA_CENTRES, start=1)
        )

    @property
    def log_address(self) -> str:
        """Address of the log service."""
        return f"127.{self.network}.3.1:{PLATFORM_PORT}"

    @property
    def host_list_address(self) -> str:
        """Address of the host list."""
        return f"127.{self.network}.3.2:{PLATFORM_PORT}"

    @property
    def target_address_by_name(self) -> dict[str, str]:
        """Addresses of the targets by name."""
        return {
            name: f"127.{self.network}.2.{number}:{TARGET_PORT}"
            for number, name in enumerate(TARGETS, start=1)
        }

    def list_addresses(self) -> list[str]:
        """Return every address to which a process of the fleet binds."""
        addresses = [self.log_address, self.host_list_address]
        addresses.extend(self.target_address_by_name.values())
        for host in self.hosts:
            for port in (CALLERS_PORT, ENTRY_METRICS_PORT, ENTRY_PEER_PORT):
                addresses.append(host.get_address(port))
            for port in (API_PORT, AGENT_METRICS_PORT, AGENT_PEER_PORT):
                addresses.append(host.get_address(port))
        return addresses

    def find_bound_addresses(self) -> list[str]:
        """Return the addresses that cannot be bound because they are in use."""
        return [item for item in self.list_addresses() if not _can_bind(item)]


@dataclass(frozen=True, kw_only=True)
class FleetProcess:
    """One process of the fleet.

    Attributes:
        name: Name of the process and of its log file.
        arguments: Arguments for the Python interpreter.
    """

    name: str
    arguments: tuple[str, ...]

    def format_command(self, directory: Path) -> str:
        """Return the shell command that runs the process.

        Args:
            directory: Directory of the file to which the output is redirected.
        """
        log = shlex.quote(str(directory / f"{self.name}.log"))
        return f"exec {shlex.join((sys.executable, *self.arguments))} >{log} 2>&1"


def _can_bind(address):
    ip, _, port = address.rpartition(":")
    with socket.socket() as probe:
        probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            probe.bind((ip, int(port)))
        except OSError:
            return False
    return True


def find_free_fleet(directory: Path, first: int = 0) -> Fleet:
    """Return a fleet in the first network whose addresses are free.

    Args:
        directory: Directory for settings and logs.
        first: Index of the network to try first. Different values keep fleets that
            start at the same time from choosing the same network.

    Raises:
        OSError: No network is free.
    """
    for offset in NETWORKS:
        network = NETWORKS[(first + offset) % len(NETWORKS)]
        fleet = Fleet(network=network, directory=directory)
        if not fleet.find_bound_addresses():
            return fleet
    raise OSError(
        "no free network: addresses are in use in each of 127.0.0.0/16 to 127.9.0.0/16"
    )


def make_entry_settings(host: FleetHost) -> EntrySettings:
    """Return the settings of a host's entry."""
    return EntrySettings(
        place=_make_node_identity(host),
        callers_address=host.get_address(CALLERS_PORT),
        peer_address=host.get_address(ENTRY_PEER_PORT),
        agent_peer_address=host.get_address(AGENT_PEER_PORT),
        metrics_address=host.get_address(ENTRY_METRICS_PORT),
        drain_seconds=DRAIN_SECONDS,
        leave_seconds=LEAVE_SECONDS,
    )


def make_agent_settings(fleet: Fleet, host: FleetHost) -> AgentSettings:
    """Return the settings of a host's agent."""
    seeds = [
        other.get_address(AGENT_PEER_PORT) for other in fleet.hosts if other != host
    ]
    return AgentSettings(
        place=_make_node_identity(host),
        peer_address=host.get_address(AGENT_PEER_PORT),
        api_address=host.get_address(API_PORT),
        entry_peer_address=host.get_address(ENTRY_PEER_PORT),
        entry_callers_address=host.get_address(CALLERS_PORT),
        metrics_address=host.get_address(AGENT_METRICS_PORT),
        log_url=f"http://{fleet.log_address}",
        host_list_url=f"http://{fleet.host_list_address}/",
        seeds=tuple(seeds),
        keep_seconds=DIRECTORY_KEEP_SECONDS,
    )


def _make_node_identity(host):
    return NodeIdentity(
        name=host.name, region=host.region, data_centre=host.data_centre
    )


def _make_host_list(fleet):
    listed_hosts = [
        ListedHost(name=name, address=address, role="target")
        for name, address in fleet.target_address_by_name.items()
    ]
    for host in fleet.hosts:
        address = host.get_address(CALLERS_PORT)
        listed_hosts.append(ListedHost(name=host.name, address=address, role="entry"))
    return HostList(hosts=tuple(listed_hosts))


def write_files(fleet: Fleet) -> None:
    """Write the settings of every entry and agent and the list of hosts."""
    content_by_name = {"hosts": _make_host_list(fleet)}
    for host in fleet.hosts:
        content_by_name[f"{host.name}-entry"] = make_entry_settings(host)
        content_by_name[f"{host.name}-agent"] = make_agent_settings(fleet, host)
    for name, content in content_by_name.items():
        text = msgspec.json.format(msgspec.json.encode(content), indent=2)
        (fleet.directory / f"{name}.json").write_bytes(text + b"\n")


def list_processes(
    fleet: Fleet, target_switches: str = TARGET_SWITCHES
) -> list[FleetProcess]:
    """Return the processes of the fleet in the order in which they are started.

    The platform's services and the targets come before agents and entries.

    Args:
        fleet: The fleet.
        target_switches: Switches of each target as a JSON object.

    Returns:
        The processes in starting order.
    """
    standin = ("-m", "citronspan_standins.main")
    hosts_file = str(fleet.directory / "hosts.json")
    processes = [
        FleetProcess(name="log", arguments=(*standin, "log", fleet.log_address)),
        FleetProcess(
            name="host-list",
            arguments=(
                *standin,
                "hosts",
                fleet.host_list_address,
                f"--file={hosts_file}",
            ),
        ),
    ]
    for name, address in fleet.target_address_by_name.items():
        switches = f"--switches={target_switches}"
        arguments = (*standin, "target", address, name, switches)
        processes.append(FleetProcess(name=name, arguments=arguments))
    for host in fleet.hosts:
        for role in ("agent", "entry"):
            name = f"{host.name}-{role}"
            settings = str(fleet.directory / f"{name}.json")
            arguments = ("-m", f"citronspan.scripts.{role}", settings)
            processes.append(FleetProcess(name=name, arguments=arguments))
    return processes
