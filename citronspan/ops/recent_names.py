"""Names that are remembered for some seconds after something happened to them."""

import threading
import time


class RecentNames:
    """A set whose members leave by themselves; safe for threads."""

    def __init__(self, *, seconds: float):
        self._seconds = seconds
        self._lock = threading.Lock()
        self._until_by_name: dict[str, float] = {}

    def add(self, name: str) -> None:
        """Remember a name from now on."""
        with self._lock:
            self._until_by_name[name] = time.monotonic() + self._seconds

    def is_remembered(self, name: str) -> bool:
        """Return whether a name is remembered."""
        with self._lock:
            return time.monotonic() < self._until_by_name.get(name, float("-inf"))

    def list_names(self) -> tuple[str, ...]:
        """Return the names that are remembered."""
        now = time.monotonic()
        with self._lock:
            due = [name for name, until in self._until_by_name.items() if now >= until]
            for name in due:
                del self._until_by_name[name]
            return tuple(self._until_by_name)
