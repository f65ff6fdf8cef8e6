"""Detection of a shard whose evidence outlives its broker.

Evidence goes along with an orderly handover, and verdicts that an entry has heard
before it became broker serve where the last one ended without a word.
"""

import msgspec

from citronspan.core.health import KnownTarget
from citronspan.core.resources import ServiceSpec
from citronspan.core.service_health import ServiceHealth
from citronspan.core.verdicts import Verdict, VerdictTable

_ENCODER = msgspec.msgpack.Encoder()
_DECODER = msgspec.msgpack.Decoder(tuple[Verdict, ...])


class ShardHealth(ServiceHealth):
    """Detection of one shard at the entry that is its broker."""

    def __init__(
        self,
        *,
        name: str,
        spec: ServiceSpec,
        issuer: str,
        incarnation: int,
        heard: VerdictTable,
    ):
        super().__init__(name=name, spec=spec)
        self._issuer = issuer
        self._incarnation = incarnation
        self._heard: VerdictTable | None = heard

    def set_targets(self, targets: tuple[KnownTarget, ...]) -> None:
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

    def export_evidence(self) -> bytes:
        """Return the evidence for the next broker."""
        return _ENCODER.encode(self.issue_verdicts())

    def import_evidence(self, evidence: bytes) -> None:
        """Merge the evidence of the broker before; faulty bytes are passed over."""
        try:
            verdicts = _DECODER.decode(evidence)
        except msgspec.MsgspecError:
            return
        table = VerdictTable()
        table.merge(verdicts)
        self.import_verdicts(table)
