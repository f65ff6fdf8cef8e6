"""Quarantine of requests that crash targets.

A notice of crashes goes to the brokers of the service's other shards, so that crashes
on targets of different shards are combined. A notice of a quarantine goes to every
entry and is renewed while there is evidence. An entry that is new in the view is told
of all quarantines, for as long as they last.
"""

import time
from collections.abc import Iterable

import logbook

from citronspan.core import log_events
from citronspan.core.detection.poison import PoisonNotice, PoisonTable
from citronspan.core.message_base import Outgoing
from citronspan.core.outcomes import Outcome
from citronspan.utils.logs import write_event

RENEWAL_INTERVAL_SECONDS = 20.0

MAXIMUM_TOLD_NOTICES = 64
"""Quarantines of one service that a new entry is told of."""

_logger = logbook.Logger("quarantine")


class _SentNotice:
    """Content and time of the last notice of a fingerprint.

    Attributes:
        sent_at: Monotonic time of the notice, -inf if none was sent.
        crashes: Number of crashes in the notice.
        quarantined: Whether the request was in quarantine.
    """

    __slots__ = ("sent_at", "crashes", "quarantined")

    def __init__(self):
        self.sent_at = float("-inf")
        self.crashes = 0
        self.quarantined = False


class Quarantine:
    """The poison tables of all services at an entry; the caller holds the lock."""

    def __init__(self):
        self._table_by_service: dict[str, PoisonTable] = {}
        self._sent_by_id: dict[tuple[str, int], _SentNotice] = {}

    def observe(self, service: str, outcome: Outcome) -> None:
        """Record an outcome that was reported to a broker of this entry."""
        self._find_table(service).observe(outcome)

    def merge(self, notice: PoisonNotice) -> None:
        """Merge a notice of another entry."""
        self._find_table(notice.service).merge(notice)

    def is_quarantined(self, service: str, fingerprint: int) -> bool:
        """Return whether a request must not be sent to a target."""
        table = self._table_by_service.get(service)
        return table is not None and table.is_quarantined(fingerprint)

    def list_quarantined(self) -> list[tuple[str, int]]:
        """Return the service and fingerprint of each request in quarantine."""
        return [
            (service, fingerprint)
            for service, table in self._table_by_service.items()
            for fingerprint in table.list_quarantined()
        ]

    def collect_notices(
        self, brokers_by_service: dict[str, set[str]], entries: Iterable[str]
    ) -> list[Outgoing]:
        """Return the notices that are new or due for renewal.

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
                if self._record_if_due(notice, table) and notice.crashes:
                    outgoing += [Outgoing(to=to, message=notice) for to in receivers]
        self._discard_expired()
        return outgoing

    def tell_new_entries(self, entries: Iterable[str]) -> list[Outgoing]:
        """Return the notices of all quarantines, for entries that are new.

        Args:
            entries: Peer addresses of the new entries.

        Returns:
            Messages to send.
        """
        entries = list(entries)
        if not entries:
            return []
        return [
            Outgoing(to=to, message=notice)
            for table in self._table_by_service.values()
            for notice in _list_newest_quarantines(table)
            for to in entries
        ]

    def _record_if_due(self, notice, table) -> bool:
        """Return whether a notice is due; if it is, record it as sent."""
        sent = self._sent_by_id.setdefault(
            (notice.service, notice.fingerprint), _SentNotice()
        )
        now = time.monotonic()
        quarantined = table.is_quarantined(notice.fingerprint)
        is_due = (
            len(notice.crashes) != sent.crashes
            or quarantined != sent.quarantined
            or (quarantined and now - sent.sent_at >= RENEWAL_INTERVAL_SECONDS)
        )
        if not is_due:
            return False
        if quarantined and not sent.quarantined:
            write_event(
                _logger,
                log_events.REQUEST_QUARANTINED,
                service=notice.service,
                fingerprint=f"{notice.fingerprint:016x}",
                targets=[crash.target for crash in notice.crashes],
            )
        sent.sent_at = now
        sent.crashes = len(notice.crashes)
        sent.quarantined = quarantined
        return True

    def _discard_expired(self):
        oldest = time.monotonic() - 10 * RENEWAL_INTERVAL_SECONDS
        for key, sent in list(self._sent_by_id.items()):
            if sent.sent_at < oldest:
                del self._sent_by_id[key]

    def _find_table(self, service):
        table = self._table_by_service.get(service)
        if table is None:
            table = PoisonTable(service=service)
            self._table_by_service[service] = table
        return table


def _list_newest_quarantines(table):
    table.list_quarantined()
    notices = [notice for notice in table.export_notices() if notice.quarantine_seconds]
    notices.sort(key=lambda notice: notice.quarantine_seconds)
    return notices[-MAXIMUM_TOLD_NOTICES:]
