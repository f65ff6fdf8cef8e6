"""Requests that crash targets, as this entry's brokers and their peers see them.

Word of a single crash goes to the brokers of the service's other shards, so that
crashes on targets of different shards are put together. Word of a quarantine goes to
every entry, and again now and then while it lasts.
"""

import time
from collections.abc import Iterable

import logbook

from citronspan.core import log_events
from citronspan.core.message_base import Outgoing
from citronspan.core.outcomes import Outcome
from citronspan.core.poison import PoisonNotice, PoisonTable
from citronspan.utils.logs import write_event

RENEW_SECONDS = 20.0

_logger = logbook.Logger("quarantine")


class _Told:
    """What was last told of a fingerprint."""

    __slots__ = ("at", "crashes", "quarantined")

    def __init__(self):
        self.at = float("-inf")
        self.crashes = 0
        self.quarantined = False


class Quarantine:
    """The poison tables of all services at one entry; called under one lock."""

    def __init__(self):
        self._table_by_service: dict[str, PoisonTable] = {}
        self._told_by_id: dict[tuple[str, int], _Told] = {}

    def observe(self, service: str, outcome: Outcome) -> None:
        """Take an outcome that a broker of this entry was told of."""
        self._find_table(service).observe(outcome)

    def merge(self, notice: PoisonNotice) -> None:
        """Take the word of another entry."""
        self._find_table(notice.service).merge(notice)

    def is_quarantined(self, service: str, fingerprint: int) -> bool:
        """Return whether a request must not be sent to a target."""
        table = self._table_by_service.get(service)
        return table is not None and table.is_quarantined(fingerprint)

    def list_quarantined(self) -> list[tuple[str, int]]:
        """Return service and fingerprint of each request in quarantine."""
        return [
            (service, fingerprint)
            for service, table in self._table_by_service.items()
            for fingerprint in table.list_quarantined()
        ]

    def collect_notices(
        self, brokers_by_service: dict[str, set[str]], entries: Iterable[str]
    ) -> list[Outgoing]:
        """Return the notices that are due.

        Args:
            brokers_by_service: Peer addresses of the brokers of each service.
            entries: Peer addresses of all other entries.

        Returns:
            Messages to send.
        """
        entries = set(entries)
        outgoing = []
        for service, table in self._table_by_service.items():
            for notice in table.export_notices():
                receivers = brokers_by_service.get(service, set()) & entries
                if table.is_quarantined(notice.fingerprint):
                    receivers = entries
                if self._is_due(notice, table):
                    outgoing += [Outgoing(to=to, message=notice) for to in receivers]
        self._forget_old()
        return outgoing

    def _is_due(self, notice, table) -> bool:
        told = self._told_by_id.setdefault(
            (notice.service, notice.fingerprint), _Told()
        )
        now = time.monotonic()
        quarantined = table.is_quarantined(notice.fingerprint)
        is_news = (
            len(notice.crashes) != told.crashes
            or quarantined != told.quarantined
            or (quarantined and now - told.at >= RENEW_SECONDS)
        )
        if not is_news:
            return False
        if quarantined and not told.quarantined:
            write_event(
                _logger,
                log_events.REQUEST_QUARANTINED,
                service=notice.service,
                fingerprint=f"{notice.fingerprint:016x}",
                targets=[crash.target for crash in notice.crashes],
            )
        told.at = now
        told.crashes = len(notice.crashes)
        told.quarantined = quarantined
        return True

    def _forget_old(self):
        bound = time.monotonic() - 10 * RENEW_SECONDS
        for key, told in list(self._told_by_id.items()):
            if told.at < bound:
                del self._told_by_id[key]

    def _find_table(self, service):
        table = self._table_by_service.get(service)
        if table is None:
            table = PoisonTable(service=service)
            self._table_by_service[service] = table
        return table
