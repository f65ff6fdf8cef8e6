"""Rendezvous hashing: a ranking of members that is the same in every process.

Source: Thaler and Ravishankar, "Using name-based mappings to increase hit rates",
IEEE/ACM Transactions on Networking 6(1), 1998.
"""

from collections.abc import Iterable

import xxhash


def compute_score(member: str, key: str) -> int:
    """Return the 64-bit score of a member for a key."""
    return xxhash.xxh3_64_intdigest(f"{member}\0{key}".encode())


def rank_members(members: Iterable[str], key: str) -> list[str]:
    """Rank members for a key, highest score first.

    Args:
        members: Names of the members, in any order.
        key: Key for which the members are ranked.

    Returns:
        All members; every process computes the same order for the same set and key.
    """
    return sorted(members, key=lambda member: (compute_score(member, key), member))[
        ::-1
    ]


def choose_member(members: Iterable[str], key: str) -> str | None:
    """Return the member that ranks first for a key, or None without members."""
    return max(
        members,
        key=lambda member: (compute_score(member, key), member),
        default=None,
    )
