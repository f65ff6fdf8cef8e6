"""The configuration as operators write it to the project's own log."""

import random
from collections.abc import Callable

from citronspan.core.config_spread_tree import find_fleet_rank, find_readers
from citronspan.core.config_startup import PEERS_ASKED, StartupStatus
from citronspan.core.message_base import Outgoing
from citronspan.core.node_messages import NodeInfo
from citronspan.ops.agent_view import MembershipView
from citronspan.ops.config_source import CONFIG_MESSAGES, LogReadStatus
from citronspan.ops.config_tail import ConfigTail
from citronspan.ops.config_tail_active import ActiveConfig
from citronspan.ops.config_tail_retention import RetentionKeeper
from citronspan.ops.host_list import HostListReader
from citronspan.ops.log_client import LogStore


class LogSource:
    """A ``ConfigSource`` that tails the log, with a list of leaving hosts beside it."""

    messages = CONFIG_MESSAGES

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
        self._hosts = HostListReader(url=host_list_url)

    @property
    def read_status(self) -> LogReadStatus:
        """What was last seen of the log."""
        return self._tail.read_status

    @property
    def void_records(self) -> int:
        """Records that had no effect, since the start."""
        return self.active_config.void_records

    @property
    def leaving_targets(self) -> tuple[str, ...]:
        """Addresses of targets that the host list shows as leaving."""
        return self._hosts.leaving_targets

    def list_tasks(self) -> list[tuple[str, Callable[[], None]]]:
        """Return name and body of the threads that the source needs."""
        return [
            ("tail", self._tail.run),
            ("retention", self._keeper.run),
            ("hosts", self._read_hosts),
        ]

    def stop(self) -> None:
        """Let the threads end."""
        self._tail.stop()
        self._keeper.stop()
        self._hosts.stop()
        self.active_config.close()

    def check_start_gate(self, nodes: tuple[NodeInfo, ...]) -> None:
        """Open the gate where log and peers allow it, else ask peers."""
        own = self._view.own.agent_peer_address
        peers = {node.agent_peer_address for node in nodes} | set(self._seeds)
        peers.discard(own)
        read_status = self.read_status
        offset_by_address = self.active_config.offset_by_address
        opened = self.active_config.update_start_gate(
            StartupStatus(
                offset=self.active_config.state.offset,
                log_offset=None
                if read_status.is_unavailable
                else read_status.next_offset,
                log_unavailable=read_status.is_unavailable,
                peers=len(peers),
                peer_offsets=tuple(offset_by_address.values()),
            )
        )
        if opened:
            return
        silent = sorted(peers - set(offset_by_address))
        random.shuffle(silent)
        self.active_config.ask(silent[:PEERS_ASKED])

    def _read_hosts(self):
        self._hosts.run(lambda: len(self._view.live_nodes()))

    def _find_snapshot_rank(self):
        if not self.active_config.plan.is_reader:
            return None
        nodes = self._view.live_nodes()
        return find_fleet_rank(self._view.own, tuple(find_readers(nodes)))
