"""Look-up of client accounts by the digests of their keys.

Keys themselves are in callers' requests only. Whatever a host keeps, sends or writes
has their SHA-256 digests. Keys are long and random, so that digests don't give them
away, and a look-up by digest takes the same time for nearly right keys as for others.
"""

import hashlib
import re
from collections.abc import Iterable
from dataclasses import dataclass, field

import msgspec

from citronspan.core.resources import AccountSpec

_SPACES = " \t"
"""White space of a header. Other bytes belong to the key: those of its UTF-8 form that
are spaces in Latin-1, too."""

_SCHEME_PATTERN = re.compile(r"[ \t]*bearer[ \t]+", re.IGNORECASE)


@dataclass(frozen=True, kw_only=True, slots=True)
class Account:
    """A client account whose requests carry a key.

    Attributes:
        name: Name of the resource.
        spec: Specification of the account.
    """

    name: str
    spec: AccountSpec

    @property
    def title(self) -> str:
        """Name that targets are told."""
        return self.name if self.spec.title is msgspec.UNSET else self.spec.title

    @property
    def rank(self) -> int | None:
        """Rank of its requests, None if it has none."""
        return None if self.spec.rank is msgspec.UNSET else self.spec.rank

    @property
    def weight(self) -> float:
        """Its limit in requests/s, 0 for none: then it weighs by its usual load."""
        return self.spec.requests_per_second


@dataclass(frozen=True, kw_only=True, slots=True)
class AccountTable:
    """Index of the accounts with keys.

    Attributes:
        account_by_digest: Accounts by the digest of each of their keys.
        needs_keys: Whether the configuration has accounts with keys, so that requests
            need one. It stays set if all keys were taken away from the accounts.
        public_routes: Names of routes whose requests need none all the same.
    """

    account_by_digest: dict[str, Account] = field(default_factory=dict)
    needs_keys: bool = False
    public_routes: frozenset[str] = frozenset()

    def find(self, digest: str) -> Account | None:
        """Return the account that holds the key with a digest, or None."""
        return self.account_by_digest.get(digest) if digest else None


def build_account_table(
    spec_by_name: Iterable[tuple[str, AccountSpec]],
) -> AccountTable:
    """Build the table.

    Args:
        spec_by_name: Names and specifications of all accounts. A key that two of them
            hold belongs to neither; the platform's reader refuses such records, but
            the resource API sets one account at a time.
    """
    account_by_digest: dict[str, Account] = {}
    shared = set()
    public_routes: set[str] = set()
    needs_keys = False
    for name, spec in spec_by_name:
        public_routes.update(spec.public_routes or ())
        if spec.key_digests is msgspec.UNSET:
            continue
        needs_keys = True
        account = Account(name=name, spec=spec)
        for digest in set(spec.key_digests):
            if digest in account_by_digest:
                shared.add(digest)
            account_by_digest[digest] = account
    for digest in shared:
        del account_by_digest[digest]
    return AccountTable(
        account_by_digest=account_by_digest,
        needs_keys=needs_keys,
        public_routes=frozenset(public_routes),
    )


def compute_key_digest(key: bytes) -> str:
    """Return the digest of a key in lower-case hexadecimal."""
    return hashlib.sha256(key).hexdigest()


def read_key_digest(authorization: str) -> str:
    """Return the digest of the key in an ``Authorization`` header, or empty.

    Args:
        authorization: Value of the header, decoded as Latin-1, or empty.
    """
    scheme = _SCHEME_PATTERN.match(authorization)
    key = "" if scheme is None else authorization[scheme.end() :].strip(_SPACES)
    if not key:
        return ""
    return compute_key_digest(key.encode("latin-1", "replace"))
