"""Layout of the fleet that the demonstration runs on loopback addresses.

Two regions of two data centres with a host each, one log service, one host list
and the three targets of ``examples/demo``. A fleet lives in one network
``127.N.0.0/16``, so that two checkouts can show one at the same time.
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
KEEP_SECONDS = 2.0
TARGET_SWITCHES = '{"slots": 6, "serviceSeconds": 0.05}'
DATA_CENTRES = ("svealand-1", "svealand-2", "gotaland-1", "gotaland-2")
TARGETS = ("shop-1", "shop-2", "shop-3")


@dataclass(frozen=True, kw_only=True)
class FleetHost:
    """One entry host of the fleet."""

    name: str
    ip: str
    region: str
    data_centre: str

    def get_address(self, port: int) -> str:
        """Return one of the host's addresses."""
        return f"{self.ip}:{port}"


@dataclass(frozen=True, kw_only=True)
class Fleet:
    """Addresses of everything that the demonstration starts.

    Attributes:
        network: Second number of the loopback addresses.
        directory: Where settings and logs are written.
    """

    network: int
    directory: Path

    @property
    def hosts(self) -> tuple[FleetHost, ...]:
        """The entry hosts, one a data centre."""
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
        """Addresses of the targets by their names."""
        return {
            name: f"127.{self.network}.2.{number}:{TARGET_PORT}"
            for number, name in enumerate(TARGETS, start=1)
        }

    def list_addresses(self) -> list[str]:
        """Return every address that a process of the fleet binds."""
        addresses = [self.log_address, self.host_list_address]
        addresses.extend(self.target_address_by_name.values())
        for host in self.hosts:
            for port in (CALLERS_PORT, ENTRY_METRICS_PORT, ENTRY_PEER_PORT):
                addresses.append(host.get_address(port))
            for port in (API_PORT, AGENT_METRICS_PORT, AGENT_PEER_PORT):
                addresses.append(host.get_address(port))
        return addresses

    def find_taken_addresses(self) -> list[str]:
        """Return the addresses that cannot be bound now."""
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
        """Return the shell command that runs the process with its log in a file."""
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
        directory: Where settings and logs are to be written.
        first: Number to begin at, so that fleets that start at once differ.

    Raises:
        OSError: If no network is free.
    """
    for offset in NETWORKS:
        network = NETWORKS[(first + offset) % len(NETWORKS)]
        fleet = Fleet(network=network, directory=directory)
        if not fleet.find_taken_addresses():
            return fleet
    raise OSError("other fleets use every network from 127.0.0.0 to 127.9.0.0")


def make_entry_settings(host: FleetHost) -> EntrySettings:
    """Return the settings of a host's entry."""
    return EntrySettings(
        place=_make_place(host),
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
        place=_make_place(host),
        peer_address=host.get_address(AGENT_PEER_PORT),
        api_address=host.get_address(API_PORT),
        entry_peer_address=host.get_address(ENTRY_PEER_PORT),
        entry_callers_address=host.get_address(CALLERS_PORT),
        metrics_address=host.get_address(AGENT_METRICS_PORT),
        log_url=f"http://{fleet.log_address}",
        host_list_url=f"http://{fleet.host_list_address}/",
        seeds=tuple(seeds),
        keep_seconds=KEEP_SECONDS,
    )


def _make_place(host):
    return NodeIdentity(
        name=host.name, region=host.region, data_centre=host.data_centre
    )


def _make_host_list(fleet):
    listed = [
        ListedHost(name=name, address=address, role="target")
        for name, address in fleet.target_address_by_name.items()
    ]
    for host in fleet.hosts:
        address = host.get_address(CALLERS_PORT)
        listed.append(ListedHost(name=host.name, address=address, role="entry"))
    return HostList(hosts=tuple(listed))


def write_files(fleet: Fleet) -> None:
    """Write the settings of every process and the list of hosts."""
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
    """Return the processes of the fleet, the platform's before the product's.

    Args:
        fleet: The fleet.
        target_switches: Switches of each target, JSON.

    Returns:
        The processes in the order in which they are to be started.
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
