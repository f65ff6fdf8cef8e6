"""The configuration source for resources in the project's own log."""

import random
from collections.abc import Callable

from citronspan.core.configuration.config_spread_tree import (
    find_readers,
    find_snapshot_rank,
)
from citronspan.core.configuration.config_startup import (
    STARTUP_QUERY_PEERS,
    StartupStatus,
)
from citronspan.core.message_base import Outgoing
from citronspan.core.node_messages import NodeInfo
from citronspan.ops.peers.agent_view import MembershipView
from citronspan.ops.store.active_config import ActiveConfig
from citronspan.ops.store.config_source import CONFIG_MESSAGE_TYPES, LogReadStatus
from citronspan.ops.store.config_tail import ConfigTail
from citronspan.ops.store.config_tail_retention import RetentionKeeper
from citronspan.ops.store.host_list import HostListReader
from citronspan.ops.store.log_client import LogStore


class LogSource:
    """A ``ConfigSource`` that reads the log and the platform's host list."""

    message_types = CONFIG_MESSAGE_TYPES
    configuration_problem = ""

    def __init__(
        self,
        *,
        view: MembershipView,
        seeds: tuple[str, ...],
        send_all: Callable[[list[Outgoing]], None],
        store: LogStore,
        snapshot_seconds: float,
        host_list_url: str,
    ):
        self._view = view
        self._seeds = seeds
        self.active_config = ActiveConfig(own=view.own, send_all=send_all)
        self._keeper = RetentionKeeper(
            active_config=self.active_config,
            store=store,
            interval_seconds=snapshot_seconds,
            find_rank=self._find_snapshot_rank,
        )
        self._tail = ConfigTail(
            active_config=self.active_config, store=store, keeper=self._keeper
        )
        self._host_list = HostListReader(url=host_list_url)

    @property
    def read_status(self) -> LogReadStatus:
        """Result of the last read of the log."""
        return self._tail.read_status

    @property
    def void_records(self) -> int:
        """Number of records rejected on replay since the start."""
        return self.active_config.void_records

    @property
    def leaving_targets(self) -> tuple[str, ...]:
        """Addresses of targets that the host list shows as leaving."""
        return self._host_list.leaving_targets

    def list_tasks(self) -> list[tuple[str, Callable[[], None]]]:
        """Return the name and the function of each thread that the source needs."""
        return [
            ("tail", self._tail.run),
            ("retention", self._keeper.run),
            ("hosts", self._poll_host_list),
        ]

    def stop(self) -> None:
        """Ask the threads to end."""
        self._tail.stop()
        self._keeper.stop()
        self._host_list.stop()
        self.active_config.close()

    def check_startup_gate(self, nodes: tuple[NodeInfo, ...]) -> None:
        """Open the startup gate if the state is current, else request peers' offsets.

        Args:
            nodes: The live nodes.
        """
        own_address = self._view.own.agent_peer_address
        peer_addresses = {node.agent_peer_address for node in nodes} | set(self._seeds)
        peer_addresses.discard(own_address)
        read_status = self.read_status
        offset_by_address = self.active_config.offset_by_address
        is_open = self.active_config.update_startup_gate(
            StartupStatus(
                offset=self.active_config.state.offset,
                log_offset=None
                if read_status.is_unavailable
                else read_status.next_offset,
                log_unavailable=read_status.is_unavailable,
                peers=len(peer_addresses),
                peer_offsets=tuple(offset_by_address.values()),
            )
        )
        if is_open:
            return
        unanswered = sorted(peer_addresses - set(offset_by_address))
        random.shuffle(unanswered)
        self.active_config.request_offsets(unanswered[:STARTUP_QUERY_PEERS])

    def _poll_host_list(self):
        self._host_list.run(lambda: len(self._view.live_nodes()))

    def _find_snapshot_rank(self):
        if not self.active_config.plan.is_reader:
            return None
        nodes = self._view.live_nodes()
        return find_snapshot_rank(self._view.own, tuple(find_readers(nodes)))
