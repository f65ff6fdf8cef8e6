"""Checks that the schedule search of ``key_protocol_test`` finds known faults.

Each variant lacks one rule of the protocol; the search must find a violation in each.
"""

import msgspec
import pytest

from citronspan.core import result_codes
from citronspan.core.keys.key_messages import KeyResolved, ReportKind
from citronspan.core.keys.key_protocol_attempts import KeyAttempts
from citronspan.core.keys.key_protocol_owner import KeyOwner
from citronspan.core.keys.key_protocol_results import ClaimCompleted, Permission
from citronspan.core.keys.key_protocol_test import SimulatedFleet, search_schedules
from citronspan.core.keys.key_protocol_witness import KeyWitness
from citronspan.core.keys.key_table import KeyTable


class PermitsWithoutWitnessRecord(KeyOwner):
    def _send_record(self, open_key, now):
        if open_key.record.state == "running":
            return []
        return self._permit(open_key)


class OwnerAcceptsKeysOfEarlierIncarnations(KeyOwner):
    def is_owner(self, token):
        return token.owner == self.name


class WitnessAcceptsKeysOfEarlierIncarnations(KeyWitness):
    def is_witness(self, token):
        return token.witness == self.name


class OwnerReleasesKeyWithoutReport(KeyOwner):
    def advance(self, now):
        for open_key in list(self._open_by_id.values()):
            if self._table.find(open_key.token) is not open_key.record:
                continue
            if open_key.record.state == "running" and now > open_key.close_at + 1.0:
                self._table.release(open_key.token)
                self._resolve_waiters(open_key, KeyResolved(attempt=b"", code=3002))
        return super().advance(now)


class OwnerReleasesKeyOnReportOfAnyAttempt(KeyOwner):
    def handle_report(self, sender, report):
        open_key = self._open_by_id.get(report.token.key_id)
        if open_key is not None and report.kind is ReportKind.NOT_RUN:
            report = msgspec.structs.replace(report, attempt=open_key.record.attempt)
        return super().handle_report(sender, report)


class OwnerRefusesWithoutClosing(KeyOwner):
    def _close_unconfirmed(self, open_key):
        outgoing = super()._close_unconfirmed(open_key)
        open_key.record.state = "recorded"
        self._table.release(open_key.token)
        return outgoing


class WitnessRefusesWithoutClosing(KeyWitness):
    def _close_unrecorded(self, token):
        return result_codes.KEY_CLOSED


class WitnessAcceptsOutdatedRecords(KeyWitness):
    def _record(self, message):
        record = self._table.find(message.token)
        if record is not None:
            record.generation = 0
        return super()._record(message)


class WitnessReleasesKeyOnReportOfAnyAttempt(KeyWitness):
    def handle_report(self, report):
        record = self._table.find(report.token)
        if record is not None:
            record.attempt = report.attempt
        super().handle_report(report)


class RunsOnLatePermission(KeyAttempts):
    def handle_permitted(self, sender, message):
        events = super().handle_permitted(sender, message)
        if message.attempt not in self._token_by_not_run_attempt:
            return events
        token = self._token_by_not_run_attempt.pop(message.attempt)
        permission = Permission(attempt=message.attempt, token=token, run_deadline=0.0)
        return [ClaimCompleted(attempt=message.attempt, result=permission)]


class ReturnsPermissionOfAttemptThatRan(KeyAttempts):
    def report(self, attempt, kind, code, answer):
        state = self._attempt_by_id.get(attempt)
        if state is not None:
            self._record_not_run(state)
        return super().report(attempt, kind, code, answer)


class ReturnsDuplicatePermission(KeyAttempts):
    def handle_permitted(self, sender, message):
        state = self._attempt_by_id.get(message.attempt)
        if state is None or state.phase.name in (
            "CLAIMING",
            "AWAITING_RESULT",
            "CLOSING",
        ):
            return super().handle_permitted(sender, message)
        self._record_not_run(state)
        return self._return_permission(sender, message.attempt)


class ReportsLostAnswerAsNotRun(SimulatedFleet):
    # As if a cut of a reused connection proved that the request was not run.
    lost_answer_kind = ReportKind.NOT_RUN


class EvictsWithoutExpiryBounds(KeyTable):
    def may_have_been_evicted(self, token):
        return False

    def is_closed(self, token):
        return False


class RefusesExpiredKeyWithoutClosing(KeyTable):
    def close_through_expiry(self, token):
        pass


VARIANTS = [
    PermitsWithoutWitnessRecord,
    OwnerAcceptsKeysOfEarlierIncarnations,
    WitnessAcceptsKeysOfEarlierIncarnations,
    OwnerReleasesKeyWithoutReport,
    OwnerReleasesKeyOnReportOfAnyAttempt,
    OwnerRefusesWithoutClosing,
    WitnessRefusesWithoutClosing,
    WitnessAcceptsOutdatedRecords,
    WitnessReleasesKeyOnReportOfAnyAttempt,
    RunsOnLatePermission,
    ReturnsPermissionOfAttemptThatRan,
    ReturnsDuplicatePermission,
    ReportsLostAnswerAsNotRun,
    EvictsWithoutExpiryBounds,
    RefusesExpiredKeyWithoutClosing,
]


@pytest.mark.parametrize("variant", VARIANTS)
def test_search_finds_violation_of_variant_without_rule(variant):
    class BrokenFleet(
        variant if issubclass(variant, SimulatedFleet) else SimulatedFleet
    ):
        table_type = variant if issubclass(variant, KeyTable) else KeyTable

        def inject_fault(self, node):
            protocol = node.protocol
            for role in (protocol.owner, protocol.witness, protocol.attempts):
                if issubclass(variant, type(role)):
                    role.__class__ = variant

    with pytest.raises(AssertionError, match="ran twice|reported as not run"):
        search_schedules(BrokenFleet, 5000)
