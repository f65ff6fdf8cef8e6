"""Proves the search of ``key_protocol_test``: each variant lacks one rule.

The same search must find a violation with each of them.
"""

import msgspec
import pytest

from citronspan.core import result_codes
from citronspan.core.key_messages import KeyResolved, ReportKind
from citronspan.core.key_protocol_attempts import KeyAttempts
from citronspan.core.key_protocol_owner import KeyOwner
from citronspan.core.key_protocol_results import ClaimCompleted, Permission
from citronspan.core.key_protocol_test import World, search
from citronspan.core.key_protocol_witness import KeyWitness
from citronspan.core.key_table import KeyTable


class RunsWithoutWitness(KeyOwner):
    def _ask_witness(self, open_key, now):
        if open_key.record.state == "running":
            return []
        return self._permit(open_key)


class TakesKeysOfEarlierIncarnations(KeyOwner):
    def is_owner(self, token):
        return token.owner == self.name


class ClosesKeysOfEarlierIncarnations(KeyWitness):
    def is_witness(self, token):
        return token.witness == self.name


class FreesKeyWithoutWord(KeyOwner):
    def advance(self, now):
        for open_key in list(self._open_by_id.values()):
            if self._table.find(open_key.token) is not open_key.record:
                continue
            if open_key.record.state == "running" and now > open_key.close_at + 1.0:
                self._table.release(open_key.token)
                self._end(open_key, KeyResolved(attempt=b"", code=3002))
        return super().advance(now)


class FreesKeyByAnyAttempt(KeyOwner):
    def handle_report(self, sender, report):
        open_key = self._open_by_id.get(report.token.key_id)
        if open_key is not None and report.kind is ReportKind.NOT_RUN:
            report = msgspec.structs.replace(report, attempt=open_key.record.attempt)
        return super().handle_report(sender, report)


class RefusesWithoutClosing(KeyOwner):
    def _close(self, open_key):
        outgoing = super()._close(open_key)
        open_key.record.state = "recorded"
        self._table.release(open_key.token)
        return outgoing


class WitnessRefusesWithoutClosing(KeyWitness):
    def _close(self, token):
        return result_codes.KEY_CLOSED


class WitnessTakesOvertakenRecords(KeyWitness):
    def _record(self, message):
        record = self._table.find(message.token)
        if record is not None:
            record.generation = 0
        return super()._record(message)


class WitnessFreesByAnyAttempt(KeyWitness):
    def handle_report(self, report):
        record = self._table.find(report.token)
        if record is not None:
            record.attempt = report.attempt
        super().handle_report(report)


class ActsOnLatePermission(KeyAttempts):
    def handle_permitted(self, sender, message):
        events = super().handle_permitted(sender, message)
        if message.attempt not in self._never_run:
            return events
        token = self._never_run.pop(message.attempt)
        permission = Permission(attempt=message.attempt, token=token, run_deadline=0.0)
        return [ClaimCompleted(attempt=message.attempt, result=permission)]


class GivesBackWhatRan(KeyAttempts):
    def report(self, attempt, kind, code, answer):
        item = self._attempt_by_id.get(attempt)
        if item is not None:
            self._note_never_run(item)
        return super().report(attempt, kind, code, answer)


class GivesBackDoubledPermissions(KeyAttempts):
    def handle_permitted(self, sender, message):
        item = self._attempt_by_id.get(message.attempt)
        if item is None or item.phase.name in (
            "CLAIMING",
            "AWAITING_RESULT",
            "CLOSING",
        ):
            return super().handle_permitted(sender, message)
        self._note_never_run(item)
        return self._give_back(sender, message.attempt)


class TakesCutOfReusedConnectionAsNotRun(World):
    kind_of_lost_answer = ReportKind.NOT_RUN


class ForgetsWithoutMark(KeyTable):
    def may_have_been_evicted(self, token):
        return False

    def is_closed(self, token):
        return False


class RefusesExpiredWithoutClosing(KeyTable):
    def close_through_expiry(self, token):
        pass


VARIANTS = [
    RunsWithoutWitness,
    TakesKeysOfEarlierIncarnations,
    ClosesKeysOfEarlierIncarnations,
    FreesKeyWithoutWord,
    FreesKeyByAnyAttempt,
    RefusesWithoutClosing,
    WitnessRefusesWithoutClosing,
    WitnessTakesOvertakenRecords,
    WitnessFreesByAnyAttempt,
    ActsOnLatePermission,
    GivesBackWhatRan,
    GivesBackDoubledPermissions,
    TakesCutOfReusedConnectionAsNotRun,
    ForgetsWithoutMark,
    RefusesExpiredWithoutClosing,
]


@pytest.mark.parametrize("variant", VARIANTS)
def test_the_search_finds_what_a_missing_rule_breaks(variant):
    class BrokenWorld(variant if issubclass(variant, World) else World):
        table_type = variant if issubclass(variant, KeyTable) else KeyTable

        def spoil(self, node):
            protocol = node.protocol
            for part in (protocol.owner, protocol.witness, protocol.attempts):
                if issubclass(variant, type(part)):
                    part.__class__ = variant

    with pytest.raises(AssertionError, match="ran twice|not run was said"):
        search(BrokenWorld, 5000)
