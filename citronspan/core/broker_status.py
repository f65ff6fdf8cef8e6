"""What a broker is doing, for resource status and metrics."""

from dataclasses import dataclass

from citronspan.core.shards import ShardKey


@dataclass(frozen=True, kw_only=True, slots=True)
class BrokerStatus:
    """State and counts of one broker.

    Attributes:
        key: The shard.
        granted_by_target: Slots granted, by target.
        capacity: Slots that detection and the targets allow.
        waiting: Requests that wait.
        grants: Grants so far.
        refusals_by_code: Refusals so far, by number of the result code.
        reclaimed: Slots taken back because their release did not come.
        mean_hold_seconds: Mean time for which a slot is held.
        link_bytes_by_kind: Bytes over the region link so far, by request kind.
        successor: Peer address of the broker that it handed over to, or empty.
    """

    key: ShardKey
    granted_by_target: dict[str, int]
    capacity: int
    waiting: int
    grants: int
    refusals_by_code: dict[int, int]
    reclaimed: int
    mean_hold_seconds: float
    link_bytes_by_kind: dict[str, int]
    successor: str


@dataclass(frozen=True, kw_only=True, slots=True)
class SlotDecision:
    """What a broker decided on one question, and by what.

    Attributes:
        key: The shard.
        request_id: What identifies the request.
        target: Name of the target that was granted, or empty.
        code: Number of the result code of a refusal, 0 for a grant.
        failure_probability: Probability that the target fails, as it was taken.
        waited_seconds: Time that the question waited.
        deadline_seconds: Time that it had when it came.
        waiting: Questions that wait now.
        granted: Slots that are granted now.
        capacity: Slots that may be used now.
        is_retry: Whether an earlier attempt had reached a target.
    """

    key: ShardKey
    request_id: str
    target: str
    code: int
    failure_probability: float
    waited_seconds: float
    deadline_seconds: float
    waiting: int
    granted: int
    capacity: int
    is_retry: bool
