"""Requests that crash the targets that run them.

A crash is evidence against the request as well as against the target. For each
fingerprint with lost answers, the table keeps the targets on which answers were lost
and the evidence of each loss. A request is quarantined when its losses on distinct
targets cannot be due to chance. One crash loses the answers of several requests, so its
evidence is divided among them. Each complete answer reduces the evidence against its
request.
"""

import math
import time
from collections import OrderedDict

import msgspec

from citronspan.core.message_base import Message
from citronspan.core.outcomes import Outcome, OutcomeClass

QUARANTINE_NATS = 11.0
MIN_TARGETS = 2
# Probability that a crashing request crashes the target that runs it.
CRASH_PROBABILITY = 0.9
# Evidence in favour of a request from one complete answer.
CLEAN_ANSWER_NATS = -math.log(1 - CRASH_PROBABILITY)
# Further evidence if a failed connection or a start soon after the lost answer shows
# that the process ended and not only the answer was lost.
CONFIRMED_CRASH_NATS = 2.0
CONFIRM_SECONDS = 2.0
# Answers that one target loses within this time belong to one crash.
CRASH_SECONDS = 1.0

# Lower bound on the estimated share of outcomes in which a target crashes or loses an
# answer.
MIN_LOST_SHARE = 0.003
# Number of outcomes over which the share decays, and the least number of outcomes by
# which the losses are divided.
LOST_SHARE_OUTCOMES = 500.0
MIN_LOST_SHARE_OUTCOMES = 200.0

SUSPECT_SECONDS = 60.0
QUARANTINE_SECONDS = 300.0
MAX_FINGERPRINTS = 1024

# Number of fingerprints for which complete answers are counted, and the largest count.
MAX_CLEAN_FINGERPRINTS = 2048
MAX_CLEAN_ANSWERS = 3


class CrashReport(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """A crash of one target that coincided with a request.

    Attributes:
        target: Name of the target.
        nats: Evidence against the request.
        age_seconds: Time since the crash.
    """

    target: str
    nats: float
    age_seconds: float


class PoisonNotice(Message, kw_only=True):
    """Evidence of one process on a request that coincides with crashes.

    Attributes:
        service: Name of the service.
        fingerprint: Fingerprint of the request.
        crashes: Its crashes, at most one for each target.
        quarantine_seconds: Time left of its quarantine at the sender, 0 without one.
            A quarantine outlasts the evidence that began it.
    """

    service: str
    fingerprint: int
    crashes: tuple[CrashReport, ...]
    quarantine_seconds: float = 0.0


class _Crash:
    """One crash of one target, shared by all requests whose answers it lost."""

    __slots__ = (
        "target",
        "at",
        "lost_share",
        "fingerprints",
        "confirmed",
        "reported_nats",
    )

    def __init__(self, *, target, at, lost_share):
        self.target = target
        self.at = at
        self.lost_share = lost_share
        self.fingerprints = set()
        self.confirmed = False
        self.reported_nats = 0.0

    def compute_nats(self):
        """Return the evidence in nats against each request whose answer was lost."""
        if not self.fingerprints:
            return self.reported_nats
        nats = math.log(CRASH_PROBABILITY / self.lost_share)
        nats -= math.log(len(self.fingerprints))
        if self.confirmed:
            nats += CONFIRMED_CRASH_NATS
        return max(nats, self.reported_nats, 0.0)


class _Suspect:
    """Evidence against one fingerprint."""

    __slots__ = ("crash_by_target", "clean_nats", "quarantined_at")

    def __init__(self, *, clean_nats):
        self.crash_by_target = {}
        self.clean_nats = clean_nats
        self.quarantined_at = -math.inf


class _LostShare:
    """Share of outcomes that began a crash, without the most recent outcomes.

    All answers that are lost in one crash count once.
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
            self._merge_recent(now)
        self.recent_outcomes += 1
        self.recent_lost += lost

    def _merge_recent(self, now):
        decay = 1 - min(self.recent_outcomes / LOST_SHARE_OUTCOMES, 1.0)
        self.outcomes = self.outcomes * decay + self.recent_outcomes
        self.lost = self.lost * decay + self.recent_lost
        self.recent_outcomes = 0
        self.recent_lost = 0
        self.recent_at = now

    def compute(self):
        return max(
            self.lost / max(self.outcomes, MIN_LOST_SHARE_OUTCOMES), MIN_LOST_SHARE
        )


class PoisonTable:
    """Bounded table of the fingerprints of one service that coincide with crashes.

    Entries expire.
    """

    def __init__(self, *, service: str):
        self._service = service
        self._suspect_by_fingerprint: OrderedDict[int, _Suspect] = OrderedDict()
        self._clean_answers_by_fingerprint: OrderedDict[int, int] = OrderedDict()
        self._lost_share = _LostShare(now=time.monotonic())
        self._lost_share_by_target: dict[str, _LostShare] = {}
        self._crash_by_target: dict[str, _Crash] = {}

    def set_targets(self, names: frozenset[str]) -> None:
        """Drop the shares and crashes of targets that no longer exist."""
        for name in [name for name in self._lost_share_by_target if name not in names]:
            del self._lost_share_by_target[name]
            self._crash_by_target.pop(name, None)

    def observe(self, outcome: Outcome) -> None:
        """Add one outcome to the evidence.

        Args:
            outcome: The outcome; without a fingerprint, it counts for its target only.
        """
        outcome_class = outcome.outcome_class
        now = time.monotonic()
        lost = outcome_class is OutcomeClass.ANSWER_LOST
        if lost:
            self._add_loss(outcome, now)
            return
        if outcome_class in (OutcomeClass.CONNECT_FAILED, OutcomeClass.STARTING):
            self._confirm_crash(outcome.target, now)
            return
        if outcome_class in (OutcomeClass.OK, OutcomeClass.TARGET_ERROR):
            self._update_lost_share(outcome.target, False, now)
            self._add_clean_answer(outcome.fingerprint)

    def _update_lost_share(self, target: str, lost: bool, now: float) -> None:
        lost_share = self._lost_share_by_target.get(target)
        if lost_share is None:
            lost_share = self._lost_share_by_target[target] = _LostShare(now=now)
        lost_share.add(lost, now)
        self._lost_share.add(lost, now)

    def _add_loss(self, outcome: Outcome, now: float) -> None:
        crash = self._crash_by_target.get(outcome.target)
        if crash is None or now - crash.at > CRASH_SECONDS:
            self._update_lost_share(outcome.target, True, now)
            lost_share = max(
                self._lost_share_by_target[outcome.target].compute(),
                self._lost_share.compute(),
            )
            crash = _Crash(target=outcome.target, at=now, lost_share=lost_share)
            self._crash_by_target[outcome.target] = crash
        if outcome.fingerprint == 0:
            return
        crash.fingerprints.add(outcome.fingerprint)
        suspect = self._get_or_create_suspect(outcome.fingerprint)
        suspect.crash_by_target[outcome.target] = crash

    def _get_or_create_suspect(self, fingerprint: int) -> _Suspect:
        suspect = self._suspect_by_fingerprint.get(fingerprint)
        if suspect is None:
            clean_answers = self._clean_answers_by_fingerprint.get(fingerprint, 0)
            suspect = _Suspect(clean_nats=clean_answers * CLEAN_ANSWER_NATS)
            self._suspect_by_fingerprint[fingerprint] = suspect
        self._suspect_by_fingerprint.move_to_end(fingerprint)
        while len(self._suspect_by_fingerprint) > MAX_FINGERPRINTS:
            self._suspect_by_fingerprint.popitem(last=False)
        return suspect

    def _confirm_crash(self, target: str, now: float) -> None:
        crash = self._crash_by_target.get(target)
        if crash is not None and now - crash.at <= CONFIRM_SECONDS:
            crash.confirmed = True

    def _add_clean_answer(self, fingerprint: int) -> None:
        if fingerprint == 0:
            return
        clean_answers = self._clean_answers_by_fingerprint.pop(fingerprint, 0)
        self._clean_answers_by_fingerprint[fingerprint] = min(
            clean_answers + 1, MAX_CLEAN_ANSWERS
        )
        if len(self._clean_answers_by_fingerprint) > MAX_CLEAN_FINGERPRINTS:
            self._clean_answers_by_fingerprint.popitem(last=False)
        suspect = self._suspect_by_fingerprint.get(fingerprint)
        if suspect is None:
            return
        suspect.clean_nats += CLEAN_ANSWER_NATS
        if self._compute_nats(suspect) <= 0:
            del self._suspect_by_fingerprint[fingerprint]

    def _compute_nats(self, suspect: _Suspect) -> float:
        now = time.monotonic()
        nats = -suspect.clean_nats
        for crash in suspect.crash_by_target.values():
            if now - crash.at <= SUSPECT_SECONDS:
                nats += crash.compute_nats()
        return nats

    def is_quarantined(self, fingerprint: int) -> bool:
        """Return whether a request is quarantined and must not run.

        The call starts the quarantine if the evidence has become sufficient.
        """
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
        """Return the fingerprints in quarantine and drop expired entries.

        The caller calls this about once a second and withdraws the evidence of each
        returned request from its targets; withdrawing is idempotent.
        """
        now = time.monotonic()
        quarantined = []
        for fingerprint, suspect in list(self._suspect_by_fingerprint.items()):
            if self.is_quarantined(fingerprint):
                quarantined.append(fingerprint)
                continue
            last = max(
                (crash.at for crash in suspect.crash_by_target.values()),
                default=-math.inf,
            )
            if now - last > SUSPECT_SECONDS:
                del self._suspect_by_fingerprint[fingerprint]
        return tuple(quarantined)

    def export_notices(self) -> tuple[PoisonNotice, ...]:
        """Return the evidence against requests as notices for other processes."""
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
            left = max(suspect.quarantined_at + QUARANTINE_SECONDS - now, 0.0)
            if not crashes and not left:
                continue
            notices.append(
                PoisonNotice(
                    service=self._service,
                    fingerprint=fingerprint,
                    crashes=crashes,
                    quarantine_seconds=left,
                )
            )
        return tuple(notices)

    def merge(self, notice: PoisonNotice) -> None:
        """Merge a notice of another process, in any order and with duplicates.

        Several reports on one target are combined into the strongest evidence and the
        earliest time, several quarantines into the one that ends last.
        """
        if notice.service != self._service:
            return
        now = time.monotonic()
        if notice.quarantine_seconds > 0:
            left = min(notice.quarantine_seconds, QUARANTINE_SECONDS)
            suspect = self._get_or_create_suspect(notice.fingerprint)
            suspect.quarantined_at = max(
                suspect.quarantined_at, now + left - QUARANTINE_SECONDS
            )
        for report in notice.crashes:
            age_seconds = max(report.age_seconds, 0.0)
            if age_seconds > SUSPECT_SECONDS:
                continue
            self._merge_report(notice.fingerprint, report, now - age_seconds)

    def _merge_report(self, fingerprint: int, report: CrashReport, at: float) -> None:
        suspect = self._get_or_create_suspect(fingerprint)
        crash = suspect.crash_by_target.get(report.target)
        if crash is None:
            crash = _Crash(target=report.target, at=at, lost_share=1.0)
            suspect.crash_by_target[report.target] = crash
        if crash.fingerprints:
            return
        crash.at = min(crash.at, at)
        crash.reported_nats = max(
            crash.reported_nats, min(report.nats, QUARANTINE_NATS)
        )
