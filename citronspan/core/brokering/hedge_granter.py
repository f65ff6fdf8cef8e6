"""Answers the requests of entries for the slot of a hedge.

Load pattern: requests that are late at one target while the others have room. A hedge
is granted at once or not at all: it never waits, since one that waits takes a slot from
the first attempt of another request when it is granted.
"""

import dataclasses
from collections.abc import Callable

import msgspec

from citronspan.core import result_codes
from citronspan.core.brokering.broker_answers import BrokerAnswers
from citronspan.core.brokering.broker_grants import GrantTable
from citronspan.core.brokering.broker_messages import SlotRequest
from citronspan.core.brokering.broker_pool import TargetPool
from citronspan.core.brokering.hedge_policy import HedgePolicy, has_room
from citronspan.core.brokering.slot_granter import SlotGranter
from citronspan.core.brokering.slot_queue import SlotQueue
from citronspan.core.brokering.waiting_request import WaitingRequest
from citronspan.core.result_codes import ResultCode

MAXIMUM_FAILURE_PROBABILITY = 0.25
"""Failure probability up to which a target gets hedges; detection clears a target that
it suspected there."""


class HedgeGranter:
    """Grants or refuses the hedges of one shard."""

    def __init__(
        self,
        *,
        policy: HedgePolicy,
        pool: TargetPool,
        queue: SlotQueue,
        grant_table: GrantTable,
        granter: SlotGranter,
        answers: BrokerAnswers,
        may_retry: Callable[[SlotRequest], bool],
    ):
        self._policy = policy
        self._pool = pool
        self._queue = queue
        self._grant_table = grant_table
        self._granter = granter
        self._answers = answers
        self._may_retry = may_retry

    def handle(self, waiting: WaitingRequest, now: float) -> None:
        """Grant a hedge a free slot of acceptable cost, or refuse it at once.

        Args:
            waiting: The request. Its excluded targets are those of earlier attempts.
            now: Present time.
        """
        for target in waiting.request.excluded:
            self._policy.record_late(target)
        self._pool.read_limits(now)
        code = self._find_refusal_code(waiting.request)
        if code is not None:
            self._answers.refuse(waiting, code, now)
            return
        excluded = (*waiting.request.excluded, *self._list_unfit())
        request = msgspec.structs.replace(waiting.request, excluded=excluded)
        narrowed = dataclasses.replace(waiting, request=request)
        if self._granter.try_grant(narrowed, now):
            self._policy.budget.count_hedge()
            return
        self._answers.refuse(waiting, result_codes.NO_CAPACITY, now)

    def _list_unfit(self):
        """Return the targets that are late or may fail, even if they are due a request.

        Other requests show whether they have recovered.
        """
        return tuple(
            name
            for name in (u.target_info.name for u in self._pool.list_target_usages())
            if self._policy.is_late(name)
            or self._pool.find_failure_probability(name) > MAXIMUM_FAILURE_PROBABILITY
        )

    def _find_refusal_code(self, request: SlotRequest) -> ResultCode | None:
        policy = self._policy
        if not all(policy.allows_hedge(target) for target in request.excluded[:1]):
            return result_codes.HEDGES_SPENT
        if not self._may_retry(request):
            return result_codes.RETRIES_SPENT
        is_safe = request.idempotent and request.is_retry and not request.from_region
        is_safe = is_safe and bool(request.excluded)
        room = has_room(
            waiting=len(self._queue),
            granted=len(self._grant_table),
            capacity=self._pool.capacity,
        )
        if not is_safe or not room or policy.is_in_common_trouble():
            return result_codes.NO_CAPACITY
        return None
