"""Targets that this entry could not connect to lately, whatever others see of them."""

import threading
import time

REMEMBER_SECONDS = 3.0


class UnreachableTargets:
    """Names of targets, each for some seconds after a failed connection."""

    def __init__(self):
        self._lock = threading.Lock()
        self._until_by_name: dict[str, float] = {}

    def add(self, name: str) -> None:
        """Remember a target for ``REMEMBER_SECONDS``."""
        with self._lock:
            self._until_by_name[name] = time.monotonic() + REMEMBER_SECONDS

    def list_names(self) -> tuple[str, ...]:
        """Return the names that are remembered."""
        now = time.monotonic()
        with self._lock:
            due = [name for name, until in self._until_by_name.items() if now >= until]
            for name in due:
                del self._until_by_name[name]
            return tuple(self._until_by_name)
