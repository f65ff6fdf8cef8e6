"""A set of names that expire after a fixed time."""

import threading
import time


class RecentNames:
    """Thread-safe set whose names expire a fixed time after they were added."""

    def __init__(self, *, seconds: float):
        self._seconds = seconds
        self._lock = threading.Lock()
        self._expiry_by_name: dict[str, float] = {}

    def add(self, name: str) -> None:
        """Add a name, or restart its time if it is in the set."""
        with self._lock:
            self._expiry_by_name[name] = time.monotonic() + self._seconds

    def contains(self, name: str) -> bool:
        """Return whether a name is in the set and has not expired."""
        with self._lock:
            return time.monotonic() < self._expiry_by_name.get(name, float("-inf"))

    def clear(self) -> None:
        """Remove all names."""
        with self._lock:
            self._expiry_by_name.clear()

    def list_names(self) -> tuple[str, ...]:
        """Return the names that have not expired, and remove the expired ones."""
        now = time.monotonic()
        with self._lock:
            expired = [
                name for name, expiry in self._expiry_by_name.items() if now >= expiry
            ]
            for name in expired:
                del self._expiry_by_name[name]
            return tuple(self._expiry_by_name)
