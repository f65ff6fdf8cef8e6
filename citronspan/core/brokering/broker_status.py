"""State, counters and decisions of a broker, for resource status, metrics and logs."""

from dataclasses import dataclass

from citronspan.core.brokering.shards import ShardKey


@dataclass(frozen=True, kw_only=True, slots=True)
class BrokerStatus:
    """State and counters of one broker.

    Attributes:
        key: Key of the shard.
        granted_by_target: Number of granted slots by target.
        capacity: Slots usable by requests other than trials.
        waiting: Number of queued requests.
        grants: Number of grants so far.
        refusals_by_code: Number of refusals so far by number of the result code.
        reclaimed: Number of slots freed because their lease expired without a release.
        mean_hold_seconds: Mean time for which a slot is held.
        link_bytes_by_kind: Bytes charged to the budget of the region link so far, by
            request kind.
        successor: Peer address of the broker that the shard was handed to, or empty.
        counted_requests: Number of requests that the retry window has counted so far.
        retries: Number of retries that it has granted so far.
        waiting_accounts: Number of accounts with queued requests, those without an
            account as one.
        starved_accounts: Number of these that are served much more seldom than all.
        displaced: Number of queued requests so far that gave their place to another.
        placed_returns: Number of refusals so far whose callers were told to come back
            one behind the other.
        spread_returns: Number of refusals so far for which there was no such place in
            their time, so that they were told times spread over it.
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
    counted_requests: int = 0
    retries: int = 0
    waiting_accounts: int = 0
    starved_accounts: int = 0
    displaced: int = 0
    placed_returns: int = 0
    spread_returns: int = 0


@dataclass(frozen=True, kw_only=True, slots=True)
class SlotDecision:
    """A broker's decision on one slot request, and the state that it was based on.

    Attributes:
        key: Key of the shard.
        request_id: ID of the request.
        target: Name of the granted target, or empty.
        code: Number of the result code of a refusal, 0 for a grant.
        failure_probability: Estimated failure probability of the target.
        waited_seconds: Time for which the request waited.
        deadline_seconds: Time to its deadline when it arrived.
        waiting: Number of queued requests at the decision.
        granted: Number of granted slots at the decision.
        capacity: Number of usable slots at the decision.
        is_retry: Whether an earlier attempt of the request was dispatched.
        is_displaced: Whether another request took its place in a full queue.
        account: Name of the client account, or empty.
        account_waiting: Number of queued requests of the account at the decision.
        account_served_share: Share of the account's recent requests that got a slot.
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
    is_displaced: bool = False
    account: str = ""
    account_waiting: int = 0
    account_served_share: float = 1.0
