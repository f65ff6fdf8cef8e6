"""Detection of a shard whose evidence outlives its broker.

Evidence goes along with an orderly handover, and verdicts that an entry has heard
before it became broker serve where the last one ended without a word.
"""

from citronspan.core.health import TargetInfo
from citronspan.core.resources import ServiceSpec
from citronspan.core.service_health import ServiceHealth
from citronspan.core.verdicts import Verdict, VerdictTable


class ShardHealth(ServiceHealth):
    """Detection of one shard at the entry that is its broker."""

    def __init__(
        self,
        *,
        name: str,
        spec: ServiceSpec,
        issuer: str,
        incarnation: int,
        received_verdicts: VerdictTable,
    ):
        super().__init__(name=name, spec=spec)
        self._issuer = issuer
        self._incarnation = incarnation
        self._heard: VerdictTable | None = received_verdicts

    def set_targets(self, targets: tuple[TargetInfo, ...]) -> None:
        """Take the targets; the first time also what was heard of them."""
        super().set_targets(targets)
        if self._heard is None or not targets:
            return
        self.import_verdicts(self._heard)
        self._heard = None

    def issue_verdicts(self) -> tuple[Verdict, ...]:
        """Return one verdict of this broker for each target."""
        return self.export_verdicts(issuer=self._issuer, incarnation=self._incarnation)

    def list_kept_by_floor(self) -> frozenset[str]:
        """Return the targets whose ejection the floor leaves without effect."""
        return frozenset(self._plan.floor.ignored)
