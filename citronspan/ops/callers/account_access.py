"""Finds the client account of a request, and charges it.

Where the configuration in force has accounts with keys, a request on a route that is
not public needs a key of one of them. A known key counts on public routes, too: the
request is charged to its account, and its target is told of it. An unknown one is
ignored there.
"""

import dataclasses
from collections.abc import Callable

import msgspec

from citronspan.core import result_codes
from citronspan.core.accounts.account_table import Account
from citronspan.core.requests.account_limits import AccountLimits
from citronspan.core.requests.entry_configuration import EntryConfiguration
from citronspan.core.requests.route_table import Route
from citronspan.core.resources import AccountSpec, Kind
from citronspan.ops.callers.account_admission import AccountAdmission
from citronspan.ops.callers.caller_request import CallerRequest
from citronspan.ops.callers.refusals import Refusal
from citronspan.ops.slots.slot_source import SlotRefused
from citronspan.ops.targets.attempt_context import RequestContext
from citronspan.ops.targets.attempt_refusals import ACCOUNT_REFUSED, KEY_REFUSED

KEY_HEADER = "authorization"


class AccountAccess:
    """Applies the keys and limits of accounts to the requests of one entry."""

    def __init__(
        self,
        *,
        find_configuration: Callable[[], EntryConfiguration],
        count_entries: Callable[[], int],
        limits: AccountAdmission,
        account_header: str,
    ):
        """Create the access.

        Args:
            find_configuration: Returns the configuration in force.
            count_entries: Returns the number of live entries.
            limits: Keeps the limits of accounts that hold for the whole fleet.
            account_header: Header that tells targets the account.
        """
        self._find_configuration = find_configuration
        self._count_entries = count_entries
        self._limits = limits
        self._local_limits = AccountLimits()
        self._own_headers = frozenset({KEY_HEADER, account_header.lower()})

    def identify(
        self, configuration: EntryConfiguration, route: Route, request: CallerRequest
    ) -> Account | None:
        """Return the account whose key a request has, None if it has none.

        Raises:
            Refusal: With code 3016 if the route needs a key and the request has none
                of an account.
        """
        accounts = configuration.accounts
        if not accounts.needs_keys:
            return None
        account = accounts.find(request.account_key_digest)
        if account is None and not _is_public(configuration, route):
            raise Refusal(
                code=result_codes.ACCOUNT_KEY_UNKNOWN, detail=f"route {route.name!r}"
            )
        return account

    def screen(
        self, configuration: EntryConfiguration, request: CallerRequest
    ) -> CallerRequest:
        """Return the request without its key and the name that it may state itself.

        A header counts whether it is written with hyphens or underscores, which many
        programs take for the same.
        """
        if not configuration.accounts.needs_keys:
            return request
        headers = tuple(
            (name, value)
            for name, value in request.headers
            if name.replace("_", "-") not in self._own_headers
        )
        return dataclasses.replace(request, headers=headers)

    def charge(
        self,
        configuration: EntryConfiguration,
        request: CallerRequest,
        account: Account | None,
        deadline: float,
    ) -> str:
        """Charge a request to its account.

        An account without keys is the one that the caller names.

        Args:
            configuration: The configuration in force.
            request: The request.
            account: The account of its key, or None.
            deadline: Time of ``time.monotonic()`` at which the request is given up.

        Returns:
            Name of the account to give the charge back to if the request does not run,
            or empty.

        Raises:
            Refusal: With code 3010 if the account exceeds its limit.
        """
        if account is not None:
            return self._charge(account.name, account.spec, deadline)
        spec = configuration.get_spec(Kind.ACCOUNT, request.account)
        if spec is None or spec.key_digests is not msgspec.UNSET:
            return ""
        return self._charge(request.account, spec, deadline)

    def _charge(self, name, spec: AccountSpec, deadline):
        is_kept_by_the_fleet = spec.burst_requests is not msgspec.UNSET
        if is_kept_by_the_fleet:
            seconds = self._limits.admit(name, spec, deadline)
        else:
            seconds = self._local_limits.admit(name, spec, self._count_entries())
        if seconds > 0:
            raise Refusal(
                code=result_codes.ACCOUNT_LIMITED,
                detail=f"account {name!r}",
                retry_after_seconds=seconds,
            )
        return name if is_kept_by_the_fleet else ""

    def give_back(self, name: str) -> None:
        """Return the charge of a request that has not run; the name may be empty."""
        if name:
            self._limits.give_back(name)

    def find_obstacle(self, request_context: RequestContext) -> SlotRefused | None:
        """Return why the configuration in force lets a request not be sent, or None.

        A request that came before accounts had keys is not sent once they have, since
        its headers may contain a key, nor one whose key has another account since then.
        Its caller did nothing wrong, and may send it again at once.
        """
        configuration = self._find_configuration()
        accounts = configuration.accounts
        if not accounts.needs_keys:
            return None
        account = accounts.find(request_context.request.account_key_digest)
        is_public = _is_public(configuration, request_context.route)
        if account is None and not is_public:
            return KEY_REFUSED
        if not request_context.is_screened:
            return ACCOUNT_REFUSED
        if account is None or account.name == request_context.account:
            return None
        return None if is_public and not request_context.account else ACCOUNT_REFUSED


def _is_public(configuration, route):
    """Return whether a route is public in a configuration, or was before it went."""
    spec = configuration.get_spec(Kind.ROUTE, route.name)
    if spec is None:
        return route.is_public
    return spec.public is True or route.name in configuration.accounts.public_routes
