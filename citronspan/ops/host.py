"""A host on a platform: an entry and an agent in one process."""

import threading

import logbook

from citronspan.core import log_events
from citronspan.core.host_settings import HostSettings
from citronspan.ops.agent import Agent
from citronspan.ops.entry import Entry
from citronspan.ops.operators.agent_metrics import register_agent
from citronspan.ops.store.feed_source import FeedSource, FeedStore
from citronspan.ops.targets.dialect import Dialect
from citronspan.utils.logs import write_event

AGENT_STOP_TIMEOUT_SECONDS = 1.0

_logger = logbook.Logger("host")


class Host:
    """An entry and an agent that exchange messages over the loopback interface.

    They communicate as two processes would.

    Attributes:
        entry: The entry.
        agent: The agent.
    """

    def __init__(self, *, settings: HostSettings, store: FeedStore, dialect: Dialect):
        self._settings = settings
        self._store = store
        self.entry = Entry(
            settings=settings.make_entry_settings(),
            dialect=dialect,
            find_configuration_problem=lambda: store.configuration_problem,
        )
        self.agent = Agent(
            settings=settings.make_agent_settings(), make_source=self._make_source
        )
        register_agent(self.agent, self.entry.metrics.registry)

    def run(self) -> None:
        """Serve until a stop is requested, then drain and return."""
        agent = threading.Thread(target=self.agent.run, name="agent", daemon=True)
        agent.start()
        self.entry.run()
        # The agent stops last, since it announces to its peers that the entry leaves.
        self.agent.request_stop()
        agent.join(AGENT_STOP_TIMEOUT_SECONDS)
        write_event(_logger, log_events.PROCESS_STOPPED)

    def request_stop(self) -> None:
        """Request a graceful stop; safe in any thread."""
        self.entry.request_stop()

    def reload(self, settings: HostSettings) -> None:
        """Apply the settings that can change while the host runs.

        Seeds, times and the rules of services take effect; those of a stop also if
        the host is stopped at once. New addresses need a restart.

        Args:
            settings: The new settings.
        """
        if settings == self._settings:
            return
        self._settings = settings
        self.entry.reload(settings.make_entry_settings())
        self.agent.reload(settings.make_agent_settings())
        self._store.set_rules(settings.service_rules)
        self.agent.source.request_reload()
        write_event(_logger, log_events.SETTINGS_RELOADED)

    def _make_source(self, agent: Agent) -> FeedSource:
        return FeedSource(
            own=agent.view.own,
            send_all=agent.link.send_all,
            store=self._store,
            is_seed=self._settings.agent_peer_address in self._settings.seeds,
        )
