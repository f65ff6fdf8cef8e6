"""Verdicts on targets, and the table that merges them.

A broker sends its verdicts to its successor and to entries that may have to choose
without a broker. The table keeps the newest verdict for each pair of target and issuer.
Merging is a join, so order, duplicates and losses don't matter. Clocks of different
hosts are not compared: a verdict carries ages, to which its receiver adds the time
since receipt.
"""

import time
from dataclasses import dataclass

import msgspec

from citronspan.core.message_base import Message

VERDICT_TTL_SECONDS = 10.0
# Expired verdicts are kept as tombstones for this time, so that a late copy stays
# expired.
TOMBSTONE_SECONDS = 600.0

EJECTING_STATES = frozenset({"ejected", "trial"})
CLEARING_STATES = frozenset({"healthy", "suspect"})


class Verdict(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """Assessment of one target by one broker.

    Attributes:
        target: Name of the target.
        address: Address of the target; a verdict on another address is void.
        issuer: Name of the issuing node.
        issuer_incarnation: Incarnation of the issuing process; larger is newer.
        sequence: Sequence number, which grows with each verdict of an issuer.
        state: State in the statechart ``target``.
        evidence: Evidence against the target in nats.
        age_seconds: Time since the target entered the state.
        remaining_seconds: Time until the verdict expires unless renewed.
        back_off_seconds: Wait before the next trial, doubled by each relapse.
        reason: Reason for the state in a short sentence, for operators.
    """

    target: str
    address: str
    issuer: str
    issuer_incarnation: int
    sequence: int
    state: str
    evidence: float = 0.0
    age_seconds: float = 0.0
    remaining_seconds: float = VERDICT_TTL_SECONDS
    back_off_seconds: float = 0.0
    reason: str = msgspec.field(default="", name="why")


class VerdictPush(Message, kw_only=True):
    """Verdicts from a broker to its successor or to entries.

    Attributes:
        service: Name of the service.
        verdicts: The verdicts.
    """

    service: str
    verdicts: tuple[Verdict, ...]


@dataclass(frozen=True, kw_only=True, slots=True)
class TimedVerdict:
    """A verdict with its times on the clock of this process.

    Attributes:
        verdict: The verdict.
        entered_at: Time at which the target entered the state.
        expires_at: Time at which the verdict expires.
    """

    verdict: Verdict
    entered_at: float
    expires_at: float


@dataclass(frozen=True, kw_only=True, slots=True)
class CombinedVerdicts:
    """Combination of all verdicts in force.

    Attributes:
        verdict_by_target: Verdict with the largest evidence for each target to eject.
        leaving: Targets whose brokers report them as draining.
    """

    verdict_by_target: dict[str, TimedVerdict]
    leaving: frozenset[str]

    @property
    def evidence_by_target(self) -> dict[str, float]:
        """Evidence of each target to eject, in nats."""
        return {
            target: timed_verdict.verdict.evidence
            for target, timed_verdict in self.verdict_by_target.items()
        }


def _get_version(timed_verdict: TimedVerdict) -> tuple[int, int]:
    return timed_verdict.verdict.issuer_incarnation, timed_verdict.verdict.sequence


def choose_newer_verdict(first: TimedVerdict, second: TimedVerdict) -> TimedVerdict:
    """Return the newer of two verdicts of one issuer on one target.

    Copies of one verdict are combined with the earliest times, so that a delayed copy
    does not prolong the verdict.

    Args:
        first: A verdict.
        second: Another on the same target by the same issuer.

    Returns:
        The join; it is commutative, associative and idempotent.
    """
    if _get_version(first) != _get_version(second):
        return max(first, second, key=_get_version)
    verdict = max(first.verdict, second.verdict, key=msgspec.msgpack.encode)
    return TimedVerdict(
        verdict=verdict,
        entered_at=min(first.entered_at, second.entered_at),
        expires_at=min(first.expires_at, second.expires_at),
    )


def make_timed_verdict(verdict: Verdict, now: float) -> TimedVerdict:
    """Convert the ages of a verdict to times on the clock of this process.

    Args:
        verdict: The verdict.
        now: Time of receipt by ``time.monotonic()``.
    """
    remaining = min(max(verdict.remaining_seconds, 0.0), VERDICT_TTL_SECONDS)
    return TimedVerdict(
        verdict=verdict,
        entered_at=now - max(verdict.age_seconds, 0.0),
        expires_at=now + remaining,
    )


class VerdictTable:
    """The newest verdict by target and issuer."""

    def __init__(self):
        self.verdict_by_key: dict[tuple[str, str], TimedVerdict] = {}

    def merge(self, verdicts: tuple[Verdict, ...]) -> None:
        """Merge verdicts, in any order and with duplicates."""
        now = time.monotonic()
        for verdict in verdicts:
            self._merge_timed_verdict(make_timed_verdict(verdict, now))

    def merge_table(self, other: "VerdictTable") -> None:
        """Merge another table whose times are on the clock of this process."""
        for timed_verdict in other.verdict_by_key.values():
            self._merge_timed_verdict(timed_verdict)

    def _merge_timed_verdict(self, timed_verdict: TimedVerdict) -> None:
        key = (timed_verdict.verdict.target, timed_verdict.verdict.issuer)
        known = self.verdict_by_key.get(key)
        self.verdict_by_key[key] = (
            timed_verdict
            if known is None
            else choose_newer_verdict(known, timed_verdict)
        )

    def drop_expired(self) -> None:
        """Drop verdicts that expired so long ago that no copy can still arrive."""
        limit = time.monotonic() - TOMBSTONE_SECONDS
        for key, timed_verdict in list(self.verdict_by_key.items()):
            if timed_verdict.expires_at < limit:
                del self.verdict_by_key[key]

    def list_unhealthy(self) -> list[TimedVerdict]:
        """Return the newest verdict in force on each target that is not healthy."""
        now = time.monotonic()
        newest_by_target: dict[str, TimedVerdict] = {}
        for timed_verdict in self.verdict_by_key.values():
            if timed_verdict.expires_at <= now:
                continue
            known = newest_by_target.get(timed_verdict.verdict.target)
            if known is None or known.entered_at < timed_verdict.entered_at:
                newest_by_target[timed_verdict.verdict.target] = timed_verdict
        return [
            timed_verdict
            for _, timed_verdict in sorted(newest_by_target.items())
            if timed_verdict.verdict.state != "healthy"
        ]

    def combine(self, address_by_target: dict[str, str]) -> CombinedVerdicts:
        """Combine the verdicts in force on the targets that exist.

        A verdict that clears a target overrides older verdicts of other issuers.
        Verdicts on another address of a target are ignored.

        Args:
            address_by_target: Address of each target by its name.

        Returns:
            The evidence and the leaving targets, as ``apply_floor`` takes them.
        """
        now = time.monotonic()
        verdicts_by_target: dict[str, list[TimedVerdict]] = {}
        for timed_verdict in self.verdict_by_key.values():
            verdict = timed_verdict.verdict
            if timed_verdict.expires_at <= now:
                continue
            if address_by_target.get(verdict.target) != verdict.address:
                continue
            verdicts_by_target.setdefault(verdict.target, []).append(timed_verdict)
        strongest_by_target = {}
        leaving = set()
        for target, timed_verdicts in verdicts_by_target.items():
            effective = _list_effective(timed_verdicts)
            if any(
                timed_verdict.verdict.state == "draining" for timed_verdict in effective
            ):
                leaving.add(target)
            ejecting = [
                timed_verdict
                for timed_verdict in effective
                if timed_verdict.verdict.state in EJECTING_STATES
            ]
            if ejecting:
                strongest_by_target[target] = max(ejecting, key=_make_strength_key)
        return CombinedVerdicts(
            verdict_by_target=strongest_by_target, leaving=frozenset(leaving)
        )


def _make_strength_key(timed_verdict: TimedVerdict) -> tuple[float, float, str]:
    return (
        timed_verdict.verdict.evidence,
        timed_verdict.entered_at,
        timed_verdict.verdict.issuer,
    )


def _list_effective(timed_verdicts: list[TimedVerdict]) -> list[TimedVerdict]:
    """Return the verdicts that no later clearing verdict overrides."""
    cleared_at = float("-inf")
    for timed_verdict in timed_verdicts:
        if timed_verdict.verdict.state in CLEARING_STATES:
            cleared_at = max(cleared_at, timed_verdict.entered_at)
    return [
        timed_verdict
        for timed_verdict in timed_verdicts
        if timed_verdict.entered_at >= cleared_at
    ]
