"""Verdicts on targets, and the table that merges them.

A broker tells its verdicts to its successor and to entries that may have to choose
without it. The table is a join of the newest verdict by (target, issuer), so order,
duplicates and losses don't matter. Clocks of hosts are not compared: a verdict
carries ages, and its receiver counts on from the moment of receipt.
"""

import time
from dataclasses import dataclass

import msgspec

from citronspan.core.message_base import Message

VERDICT_SECONDS = 10.0
# An expired verdict's number is kept this long, so that a late copy stays expired.
TOMBSTONE_SECONDS = 600.0

EJECTING_STATES = frozenset({"ejected", "trial"})
CLEARING_STATES = frozenset({"healthy", "suspect"})


class Verdict(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """What one broker holds of one target.

    Attributes:
        target: Name of the target.
        address: Address of the target; a verdict on another address is void.
        issuer: Name of the issuing node.
        issuer_incarnation: Incarnation of the issuing process; larger is newer.
        sequence: Number that grows with each verdict of an issuer.
        state: State by the chart ``target``.
        evidence: Evidence against the target in nats.
        age_seconds: Time since the state was entered.
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
    remaining_seconds: float = VERDICT_SECONDS
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
        entered_at: When the state was entered.
        expires_at: When the verdict stops to count.
    """

    verdict: Verdict
    entered_at: float
    expires_at: float


@dataclass(frozen=True, kw_only=True, slots=True)
class CombinedVerdicts:
    """What all verdicts in force say together.

    Attributes:
        held_by_target: Verdict of the largest evidence on each target to eject.
        leaving: Targets that their brokers know to be draining.
    """

    held_by_target: dict[str, TimedVerdict]
    leaving: frozenset[str]

    @property
    def evidence_by_target(self) -> dict[str, float]:
        """Evidence of each target to eject, in nats."""
        return {
            target: held.verdict.evidence
            for target, held in self.held_by_target.items()
        }


def _rank(held: TimedVerdict) -> tuple[int, int]:
    return held.verdict.issuer_incarnation, held.verdict.sequence


def choose_newer_verdict(first: TimedVerdict, second: TimedVerdict) -> TimedVerdict:
    """Return the newer of two verdicts of one issuer on one target.

    Copies of one verdict keep the earliest times, so that a copy that was long under
    way does not prolong it.

    Args:
        first: A verdict.
        second: Another on the same target by the same issuer.

    Returns:
        The join; it is commutative, associative and idempotent.
    """
    if _rank(first) != _rank(second):
        return max(first, second, key=_rank)
    verdict = max(first.verdict, second.verdict, key=msgspec.msgpack.encode)
    return TimedVerdict(
        verdict=verdict,
        entered_at=min(first.entered_at, second.entered_at),
        expires_at=min(first.expires_at, second.expires_at),
    )


def make_timed_verdict(verdict: Verdict, now: float) -> TimedVerdict:
    """Put a verdict on the clock of this process."""
    remaining = min(max(verdict.remaining_seconds, 0.0), VERDICT_SECONDS)
    return TimedVerdict(
        verdict=verdict,
        entered_at=now - max(verdict.age_seconds, 0.0),
        expires_at=now + remaining,
    )


class VerdictTable:
    """The newest verdict by target and issuer."""

    def __init__(self):
        self.held_by_key: dict[tuple[str, str], TimedVerdict] = {}

    def merge(self, verdicts: tuple[Verdict, ...]) -> None:
        """Merge verdicts; order and duplicates don't matter."""
        now = time.monotonic()
        for verdict in verdicts:
            self._join(make_timed_verdict(verdict, now))

    def merge_table(self, other: "VerdictTable") -> None:
        """Merge another table of this process."""
        for held in other.held_by_key.values():
            self._join(held)

    def _join(self, held: TimedVerdict) -> None:
        key = (held.verdict.target, held.verdict.issuer)
        known = self.held_by_key.get(key)
        self.held_by_key[key] = (
            held if known is None else choose_newer_verdict(known, held)
        )

    def drop_old(self) -> None:
        """Forget verdicts that expired so long ago that no copy can be under way."""
        limit = time.monotonic() - TOMBSTONE_SECONDS
        for key, held in list(self.held_by_key.items()):
            if held.expires_at < limit:
                del self.held_by_key[key]

    def list_unhealthy(self) -> list[TimedVerdict]:
        """Return the newest verdict in force on each target that is not healthy."""
        now = time.monotonic()
        newest_by_target: dict[str, TimedVerdict] = {}
        for held in self.held_by_key.values():
            if held.expires_at <= now:
                continue
            known = newest_by_target.get(held.verdict.target)
            if known is None or known.entered_at < held.entered_at:
                newest_by_target[held.verdict.target] = held
        return [
            held
            for _, held in sorted(newest_by_target.items())
            if held.verdict.state != "healthy"
        ]

    def combine(self, address_by_target: dict[str, str]) -> CombinedVerdicts:
        """Combine the verdicts in force on the targets that exist.

        A verdict that clears a target beats the older ones of other issuers.

        Args:
            address_by_target: Address of each target by its name.

        Returns:
            What to give to ``apply_floor``.
        """
        now = time.monotonic()
        held_by_target: dict[str, list[TimedVerdict]] = {}
        for held in self.held_by_key.values():
            verdict = held.verdict
            if held.expires_at <= now:
                continue
            if address_by_target.get(verdict.target) != verdict.address:
                continue
            held_by_target.setdefault(verdict.target, []).append(held)
        strongest_by_target = {}
        leaving = set()
        for target, all_held in held_by_target.items():
            standing = _find_standing(all_held)
            if any(held.verdict.state == "draining" for held in standing):
                leaving.add(target)
            against = [
                held for held in standing if held.verdict.state in EJECTING_STATES
            ]
            if against:
                strongest_by_target[target] = max(against, key=_compare_strength)
        return CombinedVerdicts(
            held_by_target=strongest_by_target, leaving=frozenset(leaving)
        )


def _compare_strength(held: TimedVerdict) -> tuple[float, float, str]:
    return held.verdict.evidence, held.entered_at, held.verdict.issuer


def _find_standing(all_held: list[TimedVerdict]) -> list[TimedVerdict]:
    """Return the verdicts that no later clearing by another issuer beats."""
    cleared_at = float("-inf")
    for held in all_held:
        if held.verdict.state in CLEARING_STATES:
            cleared_at = max(cleared_at, held.entered_at)
    return [held for held in all_held if held.entered_at >= cleared_at]
