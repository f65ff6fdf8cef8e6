"""Detection for a shard whose evidence outlives its broker.

An orderly handover transfers the evidence to the next broker. If a broker ends without
a handover, its successor uses the verdicts that its entry received earlier.
"""

from citronspan.core.detection.health import TargetInfo
from citronspan.core.detection.service_health import ServiceHealth
from citronspan.core.detection.verdicts import Verdict, VerdictTable
from citronspan.core.resources import ServiceSpec


class ShardHealth(ServiceHealth):
    """Detection for one shard at the entry that is its broker.

    Args:
        name: Name of the shard.
        spec: Specification from the resource of the service.
        issuer: Name of the node, for the verdicts that it issues.
        incarnation: Incarnation of the process.
        received_verdicts: Verdicts that the entry received before it became broker.
    """

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
        self._received_verdicts: VerdictTable | None = received_verdicts

    def set_targets(self, targets: tuple[TargetInfo, ...]) -> None:
        """Replace the targets; the first call with targets imports received verdicts.

        Args:
            targets: All targets of the shard.
        """
        super().set_targets(targets)
        if self._received_verdicts is None or not targets:
            return
        self.import_verdicts(self._received_verdicts)
        self._received_verdicts = None

    def issue_verdicts(self) -> tuple[Verdict, ...]:
        """Return one verdict of this broker for each target."""
        return self.export_verdicts(issuer=self._issuer, incarnation=self._incarnation)

    def list_kept_by_floor(self) -> frozenset[str]:
        """Return the targets that stay in use despite ejection because of the floor."""
        return frozenset(self._plan.floor.kept_by_floor)
