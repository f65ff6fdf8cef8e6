"""Tests that a quarantine outlasts the entries that began it."""

import pytest
from freezegun import freeze_time

from citronspan.core.detection.poison import (
    QUARANTINE_SECONDS,
    SUSPECT_SECONDS,
    CrashReport,
    PoisonNotice,
)
from citronspan.core.messages import Envelope, decode_envelope, encode_envelope
from citronspan.core.outcomes import Outcome, OutcomeClass
from citronspan.ops.slots.quarantine import MAXIMUM_TOLD_NOTICES, Quarantine

FINGERPRINT = 7


def make_quarantine(fingerprints=(FINGERPRINT,)):
    quarantine = Quarantine()
    for fingerprint in fingerprints:
        crashes = tuple(
            CrashReport(target=target, nats=9.0, age_seconds=0.0) for target in "ab"
        )
        quarantine.merge(
            PoisonNotice(service="s", fingerprint=fingerprint, crashes=crashes)
        )
        assert quarantine.is_quarantined("s", fingerprint)
    return quarantine


def tell(teller, told):
    """Pass on what a new entry is told, as it comes over the wire."""
    for item in teller.tell_new_entries(["new"]):
        envelope = Envelope(fleet="f", sender="x", incarnation=1, body=item.message)
        told.merge(decode_envelope(encode_envelope(envelope)).body)


@pytest.mark.parametrize("age_seconds", [1.0, SUSPECT_SECONDS + 1, 200.0])
def test_quarantine_is_forgotten_when_all_entries_are_started_in_turn(age_seconds):
    with freeze_time("2026-01-01") as frozen:
        entries = [make_quarantine() for _ in range(4)]
        frozen.tick(age_seconds)
        for number in range(8):
            entries[number % 4] = Quarantine()
            tell(entries[(number + 1) % 4], entries[number % 4])
            frozen.tick(2)
        for entry in entries:
            assert entry.is_quarantined("s", FINGERPRINT)
            assert entry.list_quarantined() == [("s", FINGERPRINT)]
        # What is passed on ends when it would have ended; it lasts no longer.
        frozen.tick(QUARANTINE_SECONDS - age_seconds - 16 + SUSPECT_SECONDS + 1)
        for entry in entries:
            assert entry.list_quarantined() == []
            assert not entry.is_quarantined("s", FINGERPRINT)


def test_quarantine_that_was_told_without_evidence_is_renewed_or_never_ends():
    with freeze_time("2026-01-01") as frozen:
        first, second = make_quarantine(), Quarantine()
        frozen.tick(SUSPECT_SECONDS + 1)
        tell(first, second)
        assert second.collect_notices({}, ["x", "y"]) == []
        frozen.tick(QUARANTINE_SECONDS - SUSPECT_SECONDS)
        assert second.list_quarantined() == []
        assert second.tell_new_entries(["new"]) == []


def test_new_entry_is_told_too_much():
    quarantine = make_quarantine(range(1, 3 * MAXIMUM_TOLD_NOTICES))
    told = quarantine.tell_new_entries(["new"])
    assert len(told) == MAXIMUM_TOLD_NOTICES


def test_suspicion_alone_is_told_as_a_quarantine():
    quarantine = Quarantine()
    outcome = Outcome(
        target="a",
        outcome_class=OutcomeClass.ANSWER_LOST,
        latency_seconds=0.1,
        deadline_seconds=1.0,
        fingerprint=FINGERPRINT,
    )
    quarantine.observe("s", outcome)
    assert quarantine.tell_new_entries(["new"]) == []


@pytest.mark.parametrize("seconds", [-1.0, 1e300, float("inf"), float("nan")])
def test_quarantine_told_by_a_faulty_peer_lasts_for_ever(seconds):
    with freeze_time("2026-01-01") as frozen:
        quarantine = Quarantine()
        quarantine.merge(
            PoisonNotice(
                service="s", fingerprint=1, crashes=(), quarantine_seconds=seconds
            )
        )
        frozen.tick(QUARANTINE_SECONDS + 1)
        assert quarantine.list_quarantined() == []
