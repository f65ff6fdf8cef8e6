"""Lets worker threads wait for answers that arrive on another thread.

Each wait has a unique id, so an answer that arrives late or belongs to another wait
matches no open wait and is dropped.
"""

import threading
from typing import Generic, TypeVar

Answer = TypeVar("Answer")


class Waiter(Generic[Answer]):
    """Holds one worker's wait for an answer.

    Attributes:
        answer: The answer, None until it arrives.
    """

    __slots__ = ("_event", "answer")

    def __init__(self):
        self._event = threading.Event()
        self.answer: Answer | None = None

    def wait(self, timeout_seconds: float) -> bool:
        """Wait for the answer.

        Args:
            timeout_seconds: Maximum time to wait.

        Returns:
            Whether the answer has arrived.
        """
        return self._event.wait(max(timeout_seconds, 0.0))

    def resolve(self, answer: Answer) -> None:
        """Set the answer and wake the worker."""
        self.answer = answer
        self._event.set()


class PendingAnswers(Generic[Answer]):
    """Holds the open waits of one process by their ids; safe for threads.

    Attributes:
        dropped: Number of answers that matched no open wait.
    """

    def __init__(self):
        self.dropped = 0
        self._lock = threading.Lock()
        self._waiter_by_id: dict[bytes, Waiter[Answer]] = {}

    def open(self, wait_id: bytes) -> Waiter[Answer]:
        """Open a wait.

        Args:
            wait_id: Id that no other open wait of the process has.

        Returns:
            The waiter; ``close`` ends the wait.

        Raises:
            ValueError: If a wait with this id is open.
        """
        waiter: Waiter[Answer] = Waiter()
        with self._lock:
            if wait_id in self._waiter_by_id:
                raise ValueError(f"wait {wait_id.hex()} is already open")
            self._waiter_by_id[wait_id] = waiter
        return waiter

    def resolve(self, wait_id: bytes, answer: Answer) -> bool:
        """Pass an answer to its waiter; only the first answer to a wait counts.

        Returns:
            Whether a wait with this id was open.
        """
        with self._lock:
            waiter = self._waiter_by_id.pop(wait_id, None)
            if waiter is None:
                self.dropped += 1
                return False
        waiter.resolve(answer)
        return True

    def close(self, wait_id: bytes) -> None:
        """Close a wait, whether it was answered or not."""
        with self._lock:
            self._waiter_by_id.pop(wait_id, None)

    def count(self) -> int:
        """Return the number of open waits."""
        with self._lock:
            return len(self._waiter_by_id)
