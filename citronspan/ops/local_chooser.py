"""Choice of a target by this entry alone, while no broker answers."""

import random
import threading

from citronspan.core.floor import apply_floor
from citronspan.core.health import TargetInfo
from citronspan.core.local_choice import choose_locally
from citronspan.core.outcomes import Outcome
from citronspan.core.shards import Shard
from citronspan.core.verdicts import VerdictTable


class LocalChooser:
    """Chooses by verdicts that were heard and by what this entry itself sent."""

    def __init__(self, *, received_verdicts: VerdictTable):
        self._heard = received_verdicts
        self._lock = threading.Lock()
        self._random = random.Random()
        self._in_flight_by_target: dict[str, int] = {}
        self._load_by_target: dict[str, int] = {}

    def choose(
        self, shard: Shard, floor: float, excluded: frozenset[str]
    ) -> TargetInfo | None:
        """Choose a target and count it as used.

        Args:
            shard: The shard.
            floor: Share of its slots that stays in use.
            excluded: Targets that the request has tried.

        Returns:
            The target, or None where none may be used.
        """
        ejected = self._find_ejected(shard, floor)
        with self._lock:
            target = choose_locally(
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
        return target

    def release(self, target: str) -> None:
        """Count a chosen target's request as ended."""
        with self._lock:
            count = self._in_flight_by_target.pop(target, 1) - 1
            if count > 0:
                self._in_flight_by_target[target] = count

    def record_outcome(self, outcome: Outcome) -> None:
        """Remember the load that a target reported."""
        if outcome.load >= 0:
            self._load_by_target[outcome.target] = outcome.load

    def _find_ejected(self, shard, floor):
        combined = self._heard.combine(
            {target.name: target.address for target in shard.targets}
        )
        result = apply_floor(
            slots_by_target={target.name: target.slots for target in shard.targets},
            evidence_by_target={
                name: held.verdict.evidence
                for name, held in combined.held_by_target.items()
            },
            leaving=combined.leaving
            | {target.name for target in shard.targets if target.leaving},
            floor=floor,
        )
        return result.ejected | combined.leaving
