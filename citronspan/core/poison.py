"""Requests that crash the targets that run them.

A crash is evidence about the request as much as about the target. The table keeps,
for each fingerprint whose answer was lost, on which targets that happened and how
surprising each loss was; one whose losses on distinct targets can't be chance is
quarantined. Several requests are lost with one crash, so each bears a share of the
blame only, and an answer that comes whole takes blame away.
"""

import math
import time
from collections import OrderedDict

import msgspec

from citronspan.core.message_base import Message
from citronspan.core.outcomes import Outcome, OutcomeClass

QUARANTINE_NATS = 11.0
MIN_TARGETS = 2
# Odds on a crash when a crashing request runs, and on its opposite.
CRASH_SHARE = 0.9
# What one whole answer speaks for a request.
CLEAN_NATS = -math.log(1 - CRASH_SHARE)
# A failed connection or a start right after a lost answer shows that the process is
# gone, not just the answer.
CONFIRMED_NATS = 2.0
CONFIRM_SECONDS = 2.0
# Lost answers of one target within this time are one crash.
CRASH_SECONDS = 1.0

# Least share of outcomes in which a target is taken to crash or lose an answer.
MIN_LOST_SHARE = 0.003
# Outcomes over which the share is kept, and how many it rests on at least; older
# ones fade.
LOST_OUTCOMES = 500.0
MIN_LOST_OUTCOMES = 200.0

SUSPECT_SECONDS = 60.0
QUARANTINE_SECONDS = 300.0
MAX_FINGERPRINTS = 1024

# Fingerprints whose last answers are remembered as clean, and how many of each count.
MAX_CLEAN_FINGERPRINTS = 2048
MAX_CLEAN_ANSWERS = 3


class CrashReport(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """A crash of one target that a request coincided with.

    Attributes:
        target: Name of the target.
        nats: Evidence against the request.
        age_seconds: Time since the crash.
    """

    target: str
    nats: float
    age_seconds: float


class PoisonNotice(Message, kw_only=True):
    """What a process holds of a request that coincides with crashes.

    Attributes:
        service: Name of the service.
        fingerprint: Fingerprint of the request.
        crashes: Its crashes, at most one for each target.
    """

    service: str
    fingerprint: int
    crashes: tuple[CrashReport, ...]


class _Crash:
    """One crash of one target, shared by all requests lost in it."""

    __slots__ = ("target", "at", "lost_share", "fingerprints", "confirmed", "told")

    def __init__(self, *, target, at, lost_share):
        self.target = target
        self.at = at
        self.lost_share = lost_share
        self.fingerprints = set()
        self.confirmed = False
        self.told = 0.0

    def compute_nats(self):
        """Return the evidence against each request that was lost in it."""
        if not self.fingerprints:
            return self.told
        nats = math.log(CRASH_SHARE / self.lost_share)
        nats -= math.log(len(self.fingerprints))
        if self.confirmed:
            nats += CONFIRMED_NATS
        return max(nats, self.told, 0.0)


class _Suspect:
    """What is held against one fingerprint."""

    __slots__ = ("crash_by_target", "exonerated", "quarantined_at")

    def __init__(self, *, exonerated):
        self.crash_by_target = {}
        self.exonerated = exonerated
        self.quarantined_at = -math.inf


class _LostShare:
    """Share of outcomes that began a crash, apart from those of the last moments.

    The answers that one crash takes with it count once.
    """

    __slots__ = ("outcomes", "lost", "recent_outcomes", "recent_lost", "recent_at")

    def __init__(self, *, now):
        self.outcomes = 0.0
        self.lost = 0.0
        self.recent_outcomes = 0
        self.recent_lost = 0
        self.recent_at = now

    def add(self, lost, now):
        if now - self.recent_at > CONFIRM_SECONDS:
            self._fold(now)
        self.recent_outcomes += 1
        self.recent_lost += lost

    def _fold(self, now):
        fade = 1 - min(self.recent_outcomes / LOST_OUTCOMES, 1.0)
        self.outcomes = self.outcomes * fade + self.recent_outcomes
        self.lost = self.lost * fade + self.recent_lost
        self.recent_outcomes = 0
        self.recent_lost = 0
        self.recent_at = now

    def compute(self):
        return max(self.lost / max(self.outcomes, MIN_LOST_OUTCOMES), MIN_LOST_SHARE)


class PoisonTable:
    """Fingerprints of one service that coincide with crashes; bounded, expiring."""

    def __init__(self, *, service: str):
        self._service = service
        self._suspect_by_fingerprint: OrderedDict[int, _Suspect] = OrderedDict()
        self._clean_by_fingerprint: OrderedDict[int, int] = OrderedDict()
        self._lost_share = _LostShare(now=time.monotonic())
        self._lost_share_by_target: dict[str, _LostShare] = {}
        self._crash_by_target: dict[str, _Crash] = {}

    def set_targets(self, names: frozenset[str]) -> None:
        """Forget the shares of targets that no longer exist."""
        for name in [name for name in self._lost_share_by_target if name not in names]:
            del self._lost_share_by_target[name]
            self._crash_by_target.pop(name, None)

    def observe(self, outcome: Outcome) -> None:
        """Take one outcome.

        Args:
            outcome: The outcome; those without a fingerprint count to their target.
        """
        outcome_class = outcome.outcome_class
        now = time.monotonic()
        lost = outcome_class is OutcomeClass.ANSWER_LOST
        if lost:
            self._add_loss(outcome, now)
            return
        if outcome_class in (OutcomeClass.CONNECT_FAILED, OutcomeClass.STARTING):
            self._confirm(outcome.target, now)
            return
        if outcome_class in (OutcomeClass.OK, OutcomeClass.TARGET_ERROR):
            self._add_share(outcome.target, False, now)
            self._exonerate(outcome.fingerprint)

    def _add_share(self, target: str, lost: bool, now: float) -> None:
        share = self._lost_share_by_target.get(target)
        if share is None:
            share = self._lost_share_by_target[target] = _LostShare(now=now)
        share.add(lost, now)
        self._lost_share.add(lost, now)

    def _add_loss(self, outcome: Outcome, now: float) -> None:
        crash = self._crash_by_target.get(outcome.target)
        if crash is None or now - crash.at > CRASH_SECONDS:
            self._add_share(outcome.target, True, now)
            lost_share = max(
                self._lost_share_by_target[outcome.target].compute(),
                self._lost_share.compute(),
            )
            crash = _Crash(target=outcome.target, at=now, lost_share=lost_share)
            self._crash_by_target[outcome.target] = crash
        if outcome.fingerprint == 0:
            return
        crash.fingerprints.add(outcome.fingerprint)
        suspect = self._get_suspect(outcome.fingerprint)
        suspect.crash_by_target[outcome.target] = crash

    def _get_suspect(self, fingerprint: int) -> _Suspect:
        suspect = self._suspect_by_fingerprint.get(fingerprint)
        if suspect is None:
            clean = self._clean_by_fingerprint.get(fingerprint, 0)
            suspect = _Suspect(exonerated=clean * CLEAN_NATS)
            self._suspect_by_fingerprint[fingerprint] = suspect
        self._suspect_by_fingerprint.move_to_end(fingerprint)
        while len(self._suspect_by_fingerprint) > MAX_FINGERPRINTS:
            self._suspect_by_fingerprint.popitem(last=False)
        return suspect

    def _confirm(self, target: str, now: float) -> None:
        crash = self._crash_by_target.get(target)
        if crash is not None and now - crash.at <= CONFIRM_SECONDS:
            crash.confirmed = True

    def _exonerate(self, fingerprint: int) -> None:
        if fingerprint == 0:
            return
        clean = self._clean_by_fingerprint.pop(fingerprint, 0)
        self._clean_by_fingerprint[fingerprint] = min(clean + 1, MAX_CLEAN_ANSWERS)
        if len(self._clean_by_fingerprint) > MAX_CLEAN_FINGERPRINTS:
            self._clean_by_fingerprint.popitem(last=False)
        suspect = self._suspect_by_fingerprint.get(fingerprint)
        if suspect is None:
            return
        suspect.exonerated += CLEAN_NATS
        if self._compute_nats(suspect) <= 0:
            del self._suspect_by_fingerprint[fingerprint]

    def _compute_nats(self, suspect: _Suspect) -> float:
        now = time.monotonic()
        nats = -suspect.exonerated
        for crash in suspect.crash_by_target.values():
            if now - crash.at <= SUSPECT_SECONDS:
                nats += crash.compute_nats()
        return nats

    def is_quarantined(self, fingerprint: int) -> bool:
        """Return whether a request must not be run."""
        suspect = self._suspect_by_fingerprint.get(fingerprint)
        if suspect is None:
            return False
        now = time.monotonic()
        if now - suspect.quarantined_at <= QUARANTINE_SECONDS:
            return True
        recent = [
            crash
            for crash in suspect.crash_by_target.values()
            if now - crash.at <= SUSPECT_SECONDS
        ]
        if len(recent) < MIN_TARGETS or self._compute_nats(suspect) < QUARANTINE_NATS:
            return False
        suspect.quarantined_at = now
        return True

    def list_quarantined(self) -> tuple[int, ...]:
        """Return the fingerprints in quarantine, and forget what has expired.

        To be called about once a second; the evidence of each is then to be
        withdrawn from its targets, which may be done again without harm.
        """
        now = time.monotonic()
        quarantined = []
        for fingerprint, suspect in list(self._suspect_by_fingerprint.items()):
            if self.is_quarantined(fingerprint):
                quarantined.append(fingerprint)
                continue
            last = max(crash.at for crash in suspect.crash_by_target.values())
            if now - last > SUSPECT_SECONDS:
                del self._suspect_by_fingerprint[fingerprint]
        return tuple(quarantined)

    def export_notices(self) -> tuple[PoisonNotice, ...]:
        """Return what is held against requests, to spread to other processes."""
        now = time.monotonic()
        notices = []
        for fingerprint, suspect in self._suspect_by_fingerprint.items():
            crashes = tuple(
                CrashReport(
                    target=target,
                    nats=crash.compute_nats(),
                    age_seconds=now - crash.at,
                )
                for target, crash in sorted(suspect.crash_by_target.items())
                if now - crash.at <= SUSPECT_SECONDS
            )
            if not crashes:
                continue
            notices.append(
                PoisonNotice(
                    service=self._service, fingerprint=fingerprint, crashes=crashes
                )
            )
        return tuple(notices)

    def merge(self, notice: PoisonNotice) -> None:
        """Merge a notice; order and duplicates don't matter.

        Of several reports on one target the strongest counts, with the earliest time.
        """
        if notice.service != self._service:
            return
        now = time.monotonic()
        for report in notice.crashes:
            age_seconds = max(report.age_seconds, 0.0)
            if age_seconds > SUSPECT_SECONDS:
                continue
            self._merge_report(notice.fingerprint, report, now - age_seconds)

    def _merge_report(self, fingerprint: int, report: CrashReport, at: float) -> None:
        suspect = self._get_suspect(fingerprint)
        crash = suspect.crash_by_target.get(report.target)
        if crash is None:
            crash = _Crash(target=report.target, at=at, lost_share=1.0)
            suspect.crash_by_target[report.target] = crash
        if crash.fingerprints:
            return
        crash.at = min(crash.at, at)
        crash.told = max(crash.told, min(report.nats, QUARANTINE_NATS))
