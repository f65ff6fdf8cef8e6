"""Workers that wait for an answer which arrives on another thread.

Each wait has an id of its own, so an answer that is late or meant for another one
finds nobody and is dropped.
"""

import threading
from typing import Generic, TypeVar

Answer = TypeVar("Answer")


class Waiter(Generic[Answer]):
    """One worker's wait."""

    __slots__ = ("_event", "answer")

    def __init__(self):
        self._event = threading.Event()
        self.answer: Answer | None = None

    def wait(self, timeout_seconds: float) -> bool:
        """Wait for the answer.

        Args:
            timeout_seconds: Longest time to wait.

        Returns:
            Whether the answer is there.
        """
        return self._event.wait(max(timeout_seconds, 0.0))

    def resolve(self, answer: Answer) -> None:
        """Give the answer and wake the worker."""
        self.answer = answer
        self._event.set()


class PendingAnswers(Generic[Answer]):
    """The waits of one process by their ids, safe for threads.

    Attributes:
        dropped: Answers that found nobody waiting.
    """

    def __init__(self):
        self.dropped = 0
        self._lock = threading.Lock()
        self._waiter_by_id: dict[bytes, Waiter[Answer]] = {}

    def open(self, wait_id: bytes) -> Waiter[Answer]:
        """Begin a wait.

        Args:
            wait_id: Id that no other wait of the process has.

        Returns:
            The waiter; ``close`` ends it.
        """
        waiter: Waiter[Answer] = Waiter()
        with self._lock:
            if wait_id in self._waiter_by_id:
                raise ValueError(f"wait {wait_id.hex()} is open already")
            self._waiter_by_id[wait_id] = waiter
        return waiter

    def resolve(self, wait_id: bytes, answer: Answer) -> bool:
        """Hand an answer to its waiter; the first one counts.

        Returns:
            Whether somebody waited for it.
        """
        with self._lock:
            waiter = self._waiter_by_id.pop(wait_id, None)
            if waiter is None:
                self.dropped += 1
                return False
        waiter.resolve(answer)
        return True

    def close(self, wait_id: bytes) -> None:
        """End a wait, whether it was answered or not."""
        with self._lock:
            self._waiter_by_id.pop(wait_id, None)

    def count(self) -> int:
        """Return the number of open waits."""
        with self._lock:
            return len(self._waiter_by_id)
