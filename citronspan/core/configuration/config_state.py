"""Replays the configuration log as a pure function of its records.

Every reader applies the same records in the same order and therefore reaches the same
state. A record with a version conflict, a repeated change id or invalid data is
rejected by every reader alike. Resources are stored as canonical JSON, the form in
which they are sent to peers, entries and operators; it takes a third of the memory of
decoded resources.
"""

import enum
from collections.abc import Mapping
from dataclasses import dataclass, field
from types import MappingProxyType
from typing import NamedTuple

import msgspec

from citronspan.core.configuration.config_record import (
    NO_VERSION,
    ChangeRecord,
    LogBatch,
    LogRecord,
    SnapshotRecord,
    decode_record,
    read_resource,
)
from citronspan.core.errors import CitronspanError
from citronspan.core.resources import Kind, encode_resource

# Change ids are retained for this many offsets. A record whose author had seen only
# older offsets is rejected, so no copy of a change whose id was discarded can take
# effect.
CHANGE_WINDOW_OFFSETS = 2048


class ResourceKey(NamedTuple):
    """Kind and name of a resource."""

    kind: str
    name: str


class StoredResource(msgspec.Struct, frozen=True, array_like=True, gc=False):
    """A resource that is in force.

    Attributes:
        version: Offset of the record that set the resource.
        data: The resource as canonical JSON, including the version.
    """

    version: int
    data: bytes


class ChangeVerdict(enum.StrEnum):
    """Result of evaluating a change record."""

    ACCEPTED = "accepted"
    CONFLICT = "conflict"
    INVALID = "invalid"
    DUPLICATE = "duplicate"
    TOO_OLD = "too-old"


class ChangeOutcome(msgspec.Struct, frozen=True, array_like=True, gc=False):
    """Outcome of the first record with a change id.

    Attributes:
        offset: Offset of the record.
        verdict: Result of the evaluation.
        detail: Why the record was rejected, empty if it was accepted. Snapshots store
            the text and their digest covers it, so it must be the same in all versions.
    """

    offset: int
    verdict: ChangeVerdict
    detail: str = ""


@dataclass(frozen=True, kw_only=True, slots=True)
class ConfigState:
    """The configuration after a prefix of the log.

    Attributes:
        offset: First offset that was not applied.
        resource_by_key: Resources that are in force.
        outcome_by_change_id: Outcomes of recent changes, oldest first.
    """

    offset: int = 0
    resource_by_key: Mapping[ResourceKey, StoredResource] = field(
        default_factory=lambda: MappingProxyType({})
    )
    outcome_by_change_id: Mapping[str, ChangeOutcome] = field(
        default_factory=lambda: MappingProxyType({})
    )

    def find_version(self, kind: str, name: str) -> int:
        """Return the version of a resource, -1 if there is none."""
        stored = self.resource_by_key.get(ResourceKey(kind, name))
        return NO_VERSION if stored is None else stored.version


@dataclass(frozen=True, kw_only=True, slots=True)
class AppliedChange:
    """A change to one resource that took effect.

    Attributes:
        version: Offset of the record.
        key: Kind and name of the resource.
        data: The resource as canonical JSON, None if it was deleted.
    """

    version: int
    key: ResourceKey
    data: bytes | None


@dataclass(frozen=True, kw_only=True, slots=True)
class RejectedRecord:
    """A record that had no effect.

    Attributes:
        offset: Offset of the record.
        verdict: Why the record was rejected.
        detail: Explanation of the rejection in words.
    """

    offset: int
    verdict: ChangeVerdict
    detail: str


@dataclass(frozen=True, kw_only=True, slots=True)
class ApplyResult:
    """Result of applying a batch of records.

    Attributes:
        state: State after the batch.
        changes: Changes that took effect, in order.
        rejected_records: Records that had no effect, in order.
    """

    state: ConfigState
    changes: tuple[AppliedChange, ...] = ()
    rejected_records: tuple[RejectedRecord, ...] = ()


class _Replay:
    """Working copy of a state, modified while one batch is applied."""

    def __init__(self, state: ConfigState):
        self.resource_by_key = dict(state.resource_by_key)
        self.outcome_by_change_id = dict(state.outcome_by_change_id)
        self.changes: list[AppliedChange] = []
        self.rejected_records: list[RejectedRecord] = []

    def apply(self, log_record: LogRecord) -> None:
        offset = log_record.offset
        try:
            record = decode_record(log_record.data)
        except CitronspanError as error:
            self._add_rejected(offset, ChangeVerdict.INVALID, error.detail)
            return
        if isinstance(record, SnapshotRecord):
            return
        self._discard_expired_outcomes(offset)
        if not offset - CHANGE_WINDOW_OFFSETS <= record.seen_offset <= offset:
            detail = f"seen offset {record.seen_offset} is outside the change window"
            self._add_rejected(offset, ChangeVerdict.TOO_OLD, detail)
            return
        if record.change_id in self.outcome_by_change_id:
            self._add_rejected(offset, ChangeVerdict.DUPLICATE, record.change_id)
            return
        outcome = self._evaluate(record, offset)
        self.outcome_by_change_id[record.change_id] = outcome
        if outcome.verdict is not ChangeVerdict.ACCEPTED:
            self._add_rejected(offset, outcome.verdict, outcome.detail)

    def _evaluate(self, record: ChangeRecord, offset: int) -> ChangeOutcome:
        key = ResourceKey(record.kind.value, record.name)
        stored = self.resource_by_key.get(key)
        version = NO_VERSION if stored is None else stored.version
        if record.expected_version != version:
            detail = f"{key.kind}/{key.name} has version {version}"
            return ChangeOutcome(offset, ChangeVerdict.CONFLICT, detail)
        if record.deleted and stored is None:
            return ChangeOutcome(
                offset, ChangeVerdict.CONFLICT, "there is none to delete"
            )
        data = None
        if not record.deleted:
            try:
                data = encode_resource(read_resource(record, version=offset))
            except CitronspanError as error:
                return ChangeOutcome(offset, ChangeVerdict.INVALID, error.detail)
        if data is None:
            del self.resource_by_key[key]
        else:
            self.resource_by_key[key] = StoredResource(offset, data)
        self.changes.append(AppliedChange(version=offset, key=key, data=data))
        return ChangeOutcome(offset, ChangeVerdict.ACCEPTED)

    def _discard_expired_outcomes(self, offset: int) -> None:
        oldest_offset = offset - CHANGE_WINDOW_OFFSETS
        while self.outcome_by_change_id:
            change_id = next(iter(self.outcome_by_change_id))
            if self.outcome_by_change_id[change_id].offset >= oldest_offset:
                return
            del self.outcome_by_change_id[change_id]

    def _add_rejected(self, offset: int, verdict: ChangeVerdict, detail: str) -> None:
        self.rejected_records.append(
            RejectedRecord(offset=offset, verdict=verdict, detail=detail)
        )


def apply_batch(state: ConfigState, batch: LogBatch) -> ApplyResult:
    """Apply the records of a range of offsets.

    Args:
        state: State before the batch; it is not modified.
        batch: The records. Those below the state's offset are skipped.

    Returns:
        The state after the batch and the outcome of the records. The state is
        unchanged if the batch begins after the state's offset or does not extend
        beyond it.
    """
    if not batch.from_offset <= state.offset < batch.next_offset:
        return ApplyResult(state=state)
    records = [record for record in batch.records if record.offset >= state.offset]
    if not records:
        return ApplyResult(
            state=ConfigState(
                offset=batch.next_offset,
                resource_by_key=state.resource_by_key,
                outcome_by_change_id=state.outcome_by_change_id,
            )
        )
    replay = _Replay(state)
    for record in records:
        replay.apply(record)
    new_state = ConfigState(
        offset=batch.next_offset,
        resource_by_key=MappingProxyType(replay.resource_by_key),
        outcome_by_change_id=MappingProxyType(replay.outcome_by_change_id),
    )
    return ApplyResult(
        state=new_state,
        changes=tuple(replay.changes),
        rejected_records=tuple(replay.rejected_records),
    )


def compare_states(old: ConfigState, new: ConfigState) -> tuple[AppliedChange, ...]:
    """Return the net changes from one state to a later one.

    Args:
        old: The earlier state.
        new: A state with a higher offset, received as a whole.

    Returns:
        Changes in order of their versions. A state does not hold the offsets of
        deletions, so deletions get the last offset of the new state.
    """
    changes = []
    for key, stored in new.resource_by_key.items():
        old_stored = old.resource_by_key.get(key)
        if old_stored is not None and old_stored.version == stored.version:
            continue
        changes.append(AppliedChange(version=stored.version, key=key, data=stored.data))
    for key in old.resource_by_key:
        if key in new.resource_by_key:
            continue
        changes.append(AppliedChange(version=new.offset - 1, key=key, data=None))
    return tuple(sorted(changes, key=lambda change: change.version))


class _ServiceReference(msgspec.Struct, frozen=True):
    service: str = ""


class _Reference(msgspec.Struct, frozen=True):
    spec: _ServiceReference


_REFERENCE_DECODER = msgspec.json.Decoder(_Reference)


def find_warnings(state: ConfigState, key: ResourceKey) -> tuple[str, ...]:
    """Return warnings about references of a resource to missing resources.

    A warning does not reject a change, since resources may be created in any order.
    Warnings depend on the state alone and are therefore the same at every node.

    Args:
        state: The configuration.
        key: Kind and name of the resource.

    Returns:
        Warnings as sentences, empty if there are none.
    """
    if key.kind not in (Kind.ROUTE.value, Kind.TARGET.value):
        return ()
    stored = state.resource_by_key.get(key)
    if stored is None:
        return ()
    service = _REFERENCE_DECODER.decode(stored.data).spec.service
    if ResourceKey(Kind.SERVICE.value, service) in state.resource_by_key:
        return ()
    return (f"There is no Service {service!r}.",)
