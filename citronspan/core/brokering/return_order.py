"""Order in which refused callers come back, by the room that there will be.

Load pattern: for some seconds more requests come than a shard has slots for, or all
hosts start again and all callers at once. If each refusal names about the same time,
the callers come back together, meet no room, and are refused again, until they have no
time left. So each refusal takes a place in a line of its broker, and names the time of
that place. Places lie as far apart as slots become free for those who return; half of
the slots are left to new requests. Where several accounts are in the line each has its
own places, by its weight, so that the callers of one don't go behind all of another.

Callers wait for ``CALLER_WAIT_SHARE`` of the time that they have left and then come
anyway. A place beyond that is of no use to them. They are told times spread over what
they will wait, and the line does not grow.

While the line is empty, as where refusals are fewer than its places, the time is the
one that the broker asks for otherwise.
"""

from citronspan.core.return_times import CALLER_WAIT_SHARE, spread_evenly

RETURN_SHARE = 0.5
"""Share of the slots that become free which is planned for those who return."""


class ReturnLine:
    """Places of the refused callers of one broker.

    Attributes:
        spread_count: Number of refusals for which there was no place in time.
        placed_count: Number of refusals that went behind others.
    """

    def __init__(self):
        self.spread_count = 0
        self.placed_count = 0
        self._end_by_account: dict[str, float] = {}
        self._weight_by_account: dict[str, float] = {}

    def reserve_seconds(
        self,
        *,
        account: str,
        weight: float,
        earliest_seconds: float,
        slot_interval_seconds: float,
        remaining_seconds: float,
        now: float,
    ) -> float:
        """Reserve the next place of an account.

        Args:
            account: Name of the account, or empty.
            weight: Its weight among the accounts in the line.
            earliest_seconds: Time after which a single caller may come back.
            slot_interval_seconds: Expected time between two slots becoming free.
            remaining_seconds: Time until the caller's deadline.
            now: Present time.

        Returns:
            Time after which the caller may come back.
        """
        usable_seconds = CALLER_WAIT_SHARE * remaining_seconds
        line_seconds = self._end_by_account.get(account, now) - now
        place_seconds = max(earliest_seconds, line_seconds)
        if place_seconds > usable_seconds:
            if line_seconds <= 0 or usable_seconds <= earliest_seconds:
                return earliest_seconds
            self.spread_count += 1
            return spread_evenly(self.spread_count, earliest_seconds, usable_seconds)
        self.placed_count += line_seconds > earliest_seconds
        account_share = self._find_share(account, weight, now)
        step_seconds = slot_interval_seconds / RETURN_SHARE / account_share
        self._end_by_account[account] = now + place_seconds + step_seconds
        return place_seconds

    def _find_share(self, account, weight, now):
        """Return the account's part of the weights of all that are in the line."""
        self._weight_by_account[account] = weight
        if len(self._weight_by_account) == 1:
            return 1.0
        self._drop_ended(now, kept=account)
        return weight / sum(self._weight_by_account.values())

    def _drop_ended(self, now, kept=""):
        ended = [
            account
            for account in self._weight_by_account
            if account != kept and self._end_by_account.get(account, now) <= now
        ]
        for account in ended:
            del self._weight_by_account[account]
            self._end_by_account.pop(account, None)
