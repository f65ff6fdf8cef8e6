"""Rendezvous hashing: the same ranking of members at every process.

Source: Thaler and Ravishankar, "Using name-based mappings to increase hit rates",
IEEE/ACM Transactions on Networking 6(1), 1998.
"""

from collections.abc import Iterable

import xxhash


def compute_score(member: str, key: str) -> int:
    """Return the 64-bit score of a member for a key."""
    return xxhash.xxh3_64_intdigest(f"{member}\0{key}".encode())


def rank_members(members: Iterable[str], key: str) -> list[str]:
    """Rank members for a key, the highest score first.

    Args:
        members: Names of the members, in any order.
        key: What the ranking is for.

    Returns:
        All members; the same list for the same set and key everywhere.
    """
    return sorted(members, key=lambda member: (compute_score(member, key), member))[
        ::-1
    ]


def choose_member(members: Iterable[str], key: str) -> str | None:
    """Return the first of the ranking, or None without members."""
    return max(
        members,
        key=lambda member: (compute_score(member, key), member),
        default=None,
    )
