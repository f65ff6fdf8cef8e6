"""What each client account had of a shard's slots lately, and how often it was served.

Load pattern: one account sends several times its usual load, or its callers repeat at
once, while the slots of a shard are all in use. What an account had before counts
against it: its usage is the time for which its requests held slots, those held now
included, divided by its weight, and old usage is forgotten with a time constant of
``USAGE_MEMORY_SECONDS``. Accounts are compared by it as by the virtual time of fair
queueing.

An account weighs what its requests state. Where no account states a weight, each counts
by its usual load: what it had while nothing waited, so that a burst in times of
shortage gives its account no weight.

Sources: Kay and Lauder, "A fair share scheduler", CACM 1988, for usage that is
forgotten; Goyal, Vin and Cheng, "Start-time fair queueing", SIGCOMM 1996; Cormode et
al., "Forward decay", ICDE 2009, for counts whose order does not change as they decay.
"""

import math
from dataclasses import dataclass

USAGE_MEMORY_SECONDS = 8.0
"""Time constant with which usage, and what became of requests, is forgotten."""

USUAL_MEMORY_SECONDS = 300.0
"""Time constant of an account's usual load."""

LEAST_USUAL_SHARE = 1.0
"""Least weight of an account, as a share of the mean usual load, so that the accounts
of few requests are the last to go without."""

STARVED_SHARE = 0.5
"""An account is starved if its requests are served less than this share as often as
those of all accounts. Users bear a quarter; the rest is margin."""

STARVED_MINIMUM_REQUESTS = 3.0
"""Recent requests of an account below which it does not count as starved."""

MAXIMUM_ACCOUNTS = 4096
"""Accounts that are remembered; names come from callers, and may be any."""

REBASE_TIME_CONSTANTS = 100.0
"""Time constants after which the counts are scaled down, before they overflow."""


@dataclass(kw_only=True, slots=True)
class _Account:
    """Counts of one account, in scaled units (see ``_Decay``)."""

    usage: float = 0.0
    usual: float = 0.0
    served: float = 0.0
    refused: float = 0.0
    stated_weight: float = 0.0


class _Decay:
    """Forward decay: a later event counts more, and earlier counts stay as they are.

    Attributes:
        scale: What one unit counts now.
    """

    def __init__(self, time_constant_seconds: float):
        self.scale = 1.0
        self._time_constant_seconds = time_constant_seconds
        self._base_at: float | None = None

    def advance(self, now: float) -> float:
        """Set the present time.

        Returns:
            Factor by which all counts must be multiplied, nearly always 1.
        """
        if self._base_at is None:
            self._base_at = now
        exponent = (now - self._base_at) / self._time_constant_seconds
        if exponent <= REBASE_TIME_CONSTANTS:
            self.scale = math.exp(max(exponent, 0.0))
            return 1.0
        self._base_at = now
        self.scale = 1.0
        return math.exp(-min(exponent, 700.0))


class AccountShares:
    """Usage, weight and served share of the accounts of one broker.

    Requests without an account count as those of one account with an empty name.
    """

    def __init__(self):
        self._account_by_name: dict[str, _Account] = {}
        self._decay = _Decay(USAGE_MEMORY_SECONDS)
        self._usual_decay = _Decay(USUAL_MEMORY_SECONDS)
        self._served = 0.0
        self._refused = 0.0
        self._usual = 0.0
        self._stated_weight = 0.0
        self._stated_count = 0

    def __len__(self):
        """Return the number of accounts that are remembered."""
        return len(self._account_by_name)

    def advance(self, now: float) -> None:
        """Set the present time."""
        factor = self._decay.advance(now)
        usual_factor = self._usual_decay.advance(now)
        if factor == usual_factor == 1.0:
            return
        self._served *= factor
        self._refused *= factor
        self._usual *= usual_factor
        for account in self._account_by_name.values():
            account.usage *= factor
            account.served *= factor
            account.refused *= factor
            account.usual *= usual_factor

    def state_weight(self, name: str, weight: float) -> None:
        """Take the weight that a request states for its account, 0 for none."""
        account = self._find_or_add(name)
        if weight == account.stated_weight:
            return
        if not 0 <= weight < math.inf:
            return
        self._stated_weight += weight - account.stated_weight
        self._stated_count += (weight > 0) - (account.stated_weight > 0)
        account.stated_weight = weight

    def charge(self, name: str, seconds: float, *, is_contended: bool) -> None:
        """Count a grant and the time for which its slot is likely to be held.

        Args:
            name: Name of the account.
            seconds: Expected hold time.
            is_contended: Whether requests waited at that time.
        """
        account = self._find_or_add(name)
        account.usage += seconds * self._decay.scale
        if is_contended:
            return
        usual = seconds * self._usual_decay.scale
        account.usual += usual
        self._usual += usual

    def correct(self, name: str, seconds: float) -> None:
        """Add what a slot was held longer than expected; negative if shorter."""
        account = self._account_by_name.get(name)
        if account is not None:
            account.usage = max(0.0, account.usage + seconds * self._decay.scale)

    def record_result(self, name: str, *, is_served: bool) -> None:
        """Count a request that was granted a slot, or finally refused."""
        account = self._find_or_add(name)
        if is_served:
            account.served += self._decay.scale
            self._served += self._decay.scale
            return
        account.refused += self._decay.scale
        self._refused += self._decay.scale

    def find_weight(self, name: str) -> float:
        """Return the weight of an account among the others, greater than 0."""
        account = self._account_by_name.get(name)
        if account is not None and account.stated_weight > 0:
            return account.stated_weight
        if self._stated_count:
            return max(self._stated_weight / self._stated_count, 1e-9)
        mean = self._usual / max(1, len(self._account_by_name))
        if mean <= 0:
            return 1.0
        usual = 0.0 if account is None else account.usual
        return max(usual / mean, LEAST_USUAL_SHARE)

    def find_usage_seconds(self, name: str) -> float:
        """Return the slot time that an account had lately, per unit of its weight."""
        account = self._account_by_name.get(name)
        if account is None:
            return 0.0
        return account.usage / self._decay.scale / self.find_weight(name)

    def find_served_share(self, name: str) -> float:
        """Return the share of an account's recent requests that got a slot."""
        account = self._account_by_name.get(name)
        if account is None or not account.served + account.refused:
            return 1.0
        return account.served / (account.served + account.refused)

    def is_starved(self, name: str) -> bool:
        """Return whether an account is served much more seldom than all are."""
        account = self._account_by_name.get(name)
        if account is None or account.refused <= 0:
            return False
        total = account.served + account.refused
        if total < STARVED_MINIMUM_REQUESTS * self._decay.scale:
            return False
        all_share = self._served / (self._served + self._refused)
        return account.served < STARVED_SHARE * all_share * total

    def _find_or_add(self, name) -> _Account:
        account = self._account_by_name.get(name)
        if account is None:
            if len(self._account_by_name) >= MAXIMUM_ACCOUNTS:
                self._forget_idle()
            account = _Account()
            self._account_by_name[name] = account
        return account

    def _forget_idle(self):
        """Forget the half of the accounts that used and asked for least."""
        names = sorted(
            self._account_by_name,
            key=lambda name: self._measure_activity(self._account_by_name[name]),
        )
        for name in names[: len(names) // 2]:
            account = self._account_by_name.pop(name)
            self._usual -= account.usual
            self._stated_weight -= account.stated_weight
            self._stated_count -= account.stated_weight > 0
        self._usual = max(self._usual, 0.0)

    @staticmethod
    def _measure_activity(account):
        return account.usage + account.served + account.refused
