"""Local choice of a target by an entry while no broker responds."""

import random
import threading

from citronspan.core.brokering.local_choice import choose_target_without_broker
from citronspan.core.brokering.rate_pacer import RatePacer, RateShare
from citronspan.core.brokering.shards import Shard
from citronspan.core.detection.floor import apply_floor
from citronspan.core.detection.health import TargetInfo
from citronspan.core.detection.verdicts import VerdictTable
from citronspan.core.outcomes import Outcome


class LocalChooser:
    """Chooses a target by received verdicts and by this entry's own requests."""

    def __init__(self, *, received_verdicts: VerdictTable, pacer: RatePacer):
        self._received_verdicts = received_verdicts
        self._pacer = pacer
        self._lock = threading.Lock()
        self._random = random.Random()
        self._in_flight_by_target: dict[str, int] = {}
        self._load_by_target: dict[str, int] = {}

    def choose(
        self,
        shard: Shard,
        floor: float,
        excluded: frozenset[str],
        rate_share: RateShare,
    ) -> TargetInfo | None:
        """Choose a target and count a request in flight to it.

        Args:
            shard: The shard.
            floor: Share of the shard's slots that stays in use.
            excluded: Names of targets that the request has already tried.
            rate_share: This entry's share of the request rates to which targets limit
                the fleet.

        Returns:
            The target, or None if no target may be used.
        """
        ejected = self._find_ejected(shard, floor)
        with self._lock:
            excluded = excluded | self._find_paced_out(shard, rate_share)
            target = choose_target_without_broker(
                shard.targets,
                ejected=ejected,
                excluded=excluded,
                in_flight_by_target=self._in_flight_by_target,
                load_by_target=self._load_by_target,
                draw=self._random,
            )
            if target is not None:
                count = self._in_flight_by_target.get(target.name, 0)
                self._in_flight_by_target[target.name] = count + 1
                self._pacer.count_request(target.name)
        return target

    def release(self, target: str) -> None:
        """Remove a request from the count of requests in flight to a target."""
        with self._lock:
            count = self._in_flight_by_target.pop(target, 1) - 1
            if count > 0:
                self._in_flight_by_target[target] = count

    def record_outcome(self, outcome: Outcome) -> None:
        """Record the load that a target reported, if it reported one."""
        if outcome.load >= 0:
            self._load_by_target[outcome.target] = outcome.load

    def _find_paced_out(self, shard, rate_share):
        """Return the targets that may not get a request now by their rate limit."""
        return {
            target.name
            for target in shard.targets
            if not self._pacer.allows_request(target.name, rate_share)
        }

    def _find_ejected(self, shard, floor):
        combined = self._received_verdicts.combine(
            {target.name: target.address for target in shard.targets}
        )
        result = apply_floor(
            slots_by_target={target.name: target.slots for target in shard.targets},
            evidence_by_target={
                name: timed_verdict.verdict.evidence
                for name, timed_verdict in combined.verdict_by_target.items()
            },
            leaving=combined.leaving
            | {target.name for target in shard.targets if target.leaving},
            floor=floor,
        )
        return result.ejected | combined.leaving
