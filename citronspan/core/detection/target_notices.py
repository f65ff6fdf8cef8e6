"""What targets say of themselves, and which targets a host may therefore not use.

A target can say in any answer that it leaves, and in a refusal that it takes nothing
from this host for some time. The first holds for good, for the incarnation that said
it, whatever configuration arrives later. The second holds by the name of the target,
since a restart doesn't lift it. The configuration says which targets leave, too. A
target that it no longer lists isn't used until it lists it again, though a broker with
an older view may still grant it. A target that it never listed may be used: a broker
that grants it has a newer view. What such a target says holds for the incarnation that
the configuration lists first.
"""

import enum
import threading
import time
from collections.abc import Iterable
from dataclasses import dataclass

from citronspan.core.detection.health import TargetInfo

MAXIMUM_NOTICES = 10_000
"""Statements of each kind that are kept; the oldest are dropped first."""


UNLISTED_INCARNATION = -1
"""Stands for the incarnation of a target that the configuration doesn't list."""


class UnusableReason(enum.StrEnum):
    """Why this host may not use a target now."""

    LEAVING = "leaving"
    SAID_LEAVING = "said-leaving"
    PAUSED = "paused"
    REMOVED = "removed"


@dataclass(frozen=True, kw_only=True, slots=True)
class TargetNotice:
    """What a target said of itself in one answer.

    Attributes:
        is_leaving: Whether it leaves.
        pause_seconds: Time for which it takes nothing from this host, 0 if it didn't
            say so.
        problem: Why the stated time wasn't taken as it stands, or empty.
    """

    is_leaving: bool = False
    pause_seconds: float = 0.0
    problem: str = ""


class TargetNotices:
    """The statements of targets to this host; safe for threads."""

    def __init__(self):
        self._lock = threading.Lock()
        self._info_by_name: dict[str, TargetInfo] = {}
        self._leaving: frozenset[str] = frozenset()
        self._removed_names: dict[str, None] = {}
        self._said_leaving: dict[tuple[str, int], None] = {}
        self._said_leaving_names: frozenset[str] = frozenset()
        self._paused_until_by_name: dict[str, float] = {}

    def set_targets(self, targets: Iterable[TargetInfo]) -> list[TargetInfo]:
        """Replace the targets of all services by those of a newer configuration.

        Returns:
            The targets that leave by this configuration and did not by the last one.
        """
        info_by_name = {target.name: target for target in targets}
        with self._lock:
            previous_by_name = self._info_by_name
            self._info_by_name = info_by_name
            self._leaving = frozenset(
                name for name, info in info_by_name.items() if info.leaving
            )
            for name in previous_by_name.keys() - info_by_name.keys():
                self._removed_names[name] = None
            for name in info_by_name:
                self._removed_names.pop(name, None)
            _drop_oldest(self._removed_names)
            self._adopt_unlisted()
            self._update_said_leaving()
        return [
            info
            for name, info in info_by_name.items()
            if info.leaving and not _is_same_leaving(info, previous_by_name.get(name))
        ]

    def find_incarnation(self, target: str) -> int:
        """Return a target's incarnation by the configuration, -1 if it is unknown."""
        info = self._info_by_name.get(target)
        return UNLISTED_INCARNATION if info is None else info.incarnation

    def record_leaving(self, target: str, incarnation: int) -> bool:
        """Record that an incarnation of a target said that it leaves.

        Returns:
            Whether this was unknown.
        """
        key = target, incarnation
        with self._lock:
            if key in self._said_leaving:
                return False
            self._said_leaving[key] = None
            _drop_oldest(self._said_leaving)
            self._adopt_unlisted()
            self._update_said_leaving()
        return True

    def record_pause(self, target: str, seconds: float) -> bool:
        """Record that a target takes nothing from this host for some time from now.

        Args:
            target: Name of the target.
            seconds: The time, at least 0.

        Returns:
            Whether this prolongs its pause; a shorter time doesn't replace a longer.
        """
        now = time.monotonic()
        with self._lock:
            if now + seconds <= self._paused_until_by_name.get(target, now):
                return False
            self._drop_ended_pauses(now)
            self._paused_until_by_name[target] = now + seconds
            _drop_oldest(self._paused_until_by_name)
        return True

    def find_reason(self, target: str) -> UnusableReason | None:
        """Return why this host may not use a target now, or None if it may."""
        now = time.monotonic()
        with self._lock:
            if target in self._leaving:
                return UnusableReason.LEAVING
            if (target, self.find_incarnation(target)) in self._said_leaving:
                return UnusableReason.SAID_LEAVING
            if now < self._paused_until_by_name.get(target, now):
                return UnusableReason.PAUSED
            if target in self._removed_names:
                return UnusableReason.REMOVED
        return None

    def find_unusable(self) -> frozenset[str]:
        """Return the names of the configured targets that this host may not use now."""
        now = time.monotonic()
        with self._lock:
            return self._leaving.union(self._said_leaving_names, self._list_paused(now))

    def find_pause_seconds(self, targets: Iterable[TargetInfo]) -> float:
        """Return the time until the first pause among some targets ends.

        Targets that leave don't count.

        Returns:
            The time, 0 if none of them pauses.
        """
        now = time.monotonic()
        with self._lock:
            leaving = self._leaving.union(self._said_leaving_names)
            names = {target.name for target in targets} - leaving
            ends = [
                self._paused_until_by_name[name]
                for name in names & self._paused_until_by_name.keys()
            ]
        return min([end for end in ends if end > now], default=now) - now

    def list_said_leaving(self) -> frozenset[str]:
        """Return the names of the configured targets that leave by their answers."""
        return self._said_leaving_names

    def list_paused(self) -> frozenset[str]:
        """Return the names of the targets that take nothing from this host now."""
        with self._lock:
            return frozenset(self._list_paused(time.monotonic()))

    def count_said_leaving(self) -> int:
        """Return the number of configured targets that leave by their answers."""
        return len(self._said_leaving_names)

    def count_paused(self) -> int:
        """Return the number of targets that take nothing from this host now."""
        return len(self.list_paused())

    def _adopt_unlisted(self):
        """Take what a target said before it was listed for its listed incarnation."""
        for name, incarnation in list(self._said_leaving):
            info = self._info_by_name.get(name)
            if incarnation == UNLISTED_INCARNATION and info is not None:
                del self._said_leaving[name, incarnation]
                self._said_leaving[name, info.incarnation] = None

    def _update_said_leaving(self):
        self._said_leaving_names = frozenset(
            name
            for name, info in self._info_by_name.items()
            if (name, info.incarnation) in self._said_leaving
        )

    def _list_paused(self, now):
        return [
            name for name, until in self._paused_until_by_name.items() if now < until
        ]

    def _drop_ended_pauses(self, now):
        self._paused_until_by_name = {
            name: until
            for name, until in self._paused_until_by_name.items()
            if now < until
        }


def _is_same_leaving(info, previous):
    """Return whether a target left by the previous configuration already."""
    if previous is None or not previous.leaving:
        return False
    return previous.incarnation == info.incarnation


def _drop_oldest(notices):
    while len(notices) > MAXIMUM_NOTICES:
        del notices[next(iter(notices))]
