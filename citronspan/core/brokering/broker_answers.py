"""The messages that a broker sends, and its decisions on slot requests.

Final answers are cached, so that a repeated request gets the same one.
"""

from citronspan.core.brokering.account_shares import AccountShares
from citronspan.core.brokering.broker_attempt_cache import (
    ATTEMPT_CACHE_SECONDS,
    AttemptCache,
)
from citronspan.core.brokering.broker_grants import GrantTable
from citronspan.core.brokering.broker_messages import SlotGrant, SlotRefusal
from citronspan.core.brokering.broker_pool import TargetPool
from citronspan.core.brokering.broker_status import SlotDecision
from citronspan.core.brokering.shards import ShardKey
from citronspan.core.brokering.slot_queue import SlotQueue
from citronspan.core.brokering.unserved_share import UnservedShare
from citronspan.core.brokering.wait_estimates import ROOM_CODES, WaitEstimates
from citronspan.core.brokering.waiting_request import WaitingRequest
from citronspan.core.message_base import Message, Outgoing
from citronspan.core.result_codes import ResultCode


class BrokerAnswers:
    """Collects what a broker sends and decides, until its caller takes it.

    Attributes:
        refusals_by_code: Number of refusals so far by number of the result code.
        displaced_count: Number of queued requests so far that gave their place in a
            full queue to another.
    """

    def __init__(
        self,
        *,
        key: ShardKey,
        pool: TargetPool,
        queue: SlotQueue,
        grant_table: GrantTable,
        attempt_cache: AttemptCache,
        estimates: WaitEstimates,
        unserved_share: UnservedShare,
        shares: AccountShares,
    ):
        self.refusals_by_code: dict[int, int] = {}
        self.displaced_count = 0
        self._shares = shares
        self._key = key
        self._pool = pool
        self._queue = queue
        self._grant_table = grant_table
        self._attempt_cache = attempt_cache
        self._estimates = estimates
        self._unserved_share = unserved_share
        self._outgoing: list[Outgoing] = []
        self._decisions: list[SlotDecision] = []

    def send(self, to: str, message: Message) -> None:
        """Add a message to send."""
        self._outgoing.append(Outgoing(to=to, message=message))

    def send_final(
        self, to: str, answer: SlotGrant | SlotRefusal, seconds: float, now: float
    ) -> None:
        """Add the final answer to a slot request, and cache it for some seconds."""
        self._attempt_cache.cache_answer(answer, seconds, now)
        self.send(to, answer)

    def refuse(
        self,
        waiting: WaitingRequest,
        code: ResultCode,
        now: float,
        *,
        is_displaced: bool = False,
    ) -> None:
        """Refuse a request that is not queued, or whose place another one took."""
        request = waiting.request
        refusal = SlotRefusal(
            attempt_id=request.attempt_id,
            code=code.number,
            retry_after_seconds=self._estimates.plan_return_seconds(waiting, code, now),
        )
        self.record_decision(waiting, now, code=code.number, is_displaced=is_displaced)
        if not request.has_other_region and not request.from_region:
            self._unserved_share.add(True, now)
            if code in ROOM_CODES and not request.is_retry:
                self._shares.record_result(request.account, is_served=False)
        previous_count = self.refusals_by_code.get(code.number, 0)
        self.refusals_by_code[code.number] = previous_count + 1
        self.send_final(waiting.sender, refusal, ATTEMPT_CACHE_SECONDS, now)

    def refuse_queued(
        self, waiting: WaitingRequest, code: ResultCode, now: float
    ) -> None:
        """Remove a request from the queue and refuse it."""
        self._queue.remove(waiting.request.attempt_id)
        self.refuse(waiting, code, now)

    def refuse_displaced(
        self, waiting: WaitingRequest, code: ResultCode, now: float
    ) -> None:
        """Refuse a queued request whose place another one takes."""
        self.displaced_count += 1
        self._queue.remove(waiting.request.attempt_id)
        self.refuse(waiting, code, now, is_displaced=True)

    def record_decision(
        self,
        waiting: WaitingRequest,
        now: float,
        *,
        target: str = "",
        code: int = 0,
        is_displaced: bool = False,
    ) -> None:
        """Record a grant or a refusal, for logging."""
        request = waiting.request
        self._decisions.append(
            SlotDecision(
                key=self._key,
                request_id=request.request_id,
                target=target,
                code=code,
                failure_probability=self._pool.find_failure_probability(target),
                waited_seconds=now - waiting.received_at,
                deadline_seconds=request.deadline_seconds,
                waiting=len(self._queue),
                granted=len(self._grant_table),
                capacity=self._pool.capacity,
                is_retry=request.is_retry,
                is_displaced=is_displaced,
                account=request.account,
                account_waiting=self._queue.count_account(request.account),
                account_served_share=self._shares.find_served_share(request.account),
            )
        )

    def drain_outgoing(self) -> list[Outgoing]:
        """Return the messages since the last call and clear them."""
        outgoing = self._outgoing
        self._outgoing = []
        return outgoing

    def drain_decisions(self) -> list[SlotDecision]:
        """Return the decisions since the last call and clear them."""
        decisions = self._decisions
        self._decisions = []
        return decisions
