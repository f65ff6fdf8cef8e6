"""The interface of what keeps the request limits of accounts over the whole fleet."""

from typing import Protocol

from citronspan.core.resources import AccountSpec


class AccountAdmission(Protocol):
    """Charges requests to accounts whose limit holds for the whole fleet."""

    def admit(self, name: str, spec: AccountSpec, deadline: float) -> float:
        """Charge one request to an account.

        Args:
            name: Name of the account.
            spec: Specification of the account, with ``burst_requests``.
            deadline: Time of ``time.monotonic()`` at which the request is given up.

        Returns:
            0 if the request is admitted, else the seconds until it can be.
        """

    def give_back(self, name: str) -> None:
        """Return the charge of a request that was refused later and has not run."""
