"""Room on a host's own link for the answers that it passes on.

Load pattern: a burst of requests with large answers at a host with a small link. All
answers share the link, so that each one becomes late, though the first ones could have
been in time. A request is admitted only if the link can carry what is under way and
its own bytes until its caller needs the answer. The others are refused before they run.

The size of an answer is estimated from those of its request kind. Requests with small
answers are always admitted: they add little, and refusing them frees no room.
"""

import threading

LARGE_BYTES = 16 * 1024
"""Least number of expected bytes for which a request may be refused."""

USABLE_SHARE = 0.9
"""Share of the link for requests; the rest is for messages between hosts."""

ANSWER_BYTES_EWMA_WEIGHT = 1 / 16
"""Weight of a new answer's length in the moving average of its request kind."""

FULL_SECONDS = 0.5
"""Time that the link needs for what is under way at which it counts as full."""


class LinkRoom:
    """Bytes under way over one host's link; safe for threads."""

    def __init__(self, *, bytes_per_second: float):
        """Create an object with nothing under way.

        Args:
            bytes_per_second: Bytes that the link carries in each direction, 0 if not
                known. Then every request is admitted.
        """
        self._usable_bytes_per_second = bytes_per_second * USABLE_SHARE
        self._lock = threading.Lock()
        self._bytes_under_way = 0.0
        self._mean_bytes_by_kind: dict[str, float] = {}

    def admit(
        self, request_kind: str, body_bytes: int, remaining_seconds: float
    ) -> "Passage | None":
        """Admit a request and count its bytes, unless its answer would be late.

        Args:
            request_kind: Request kind of the route.
            body_bytes: Length of the request's body, 0 if not known.
            remaining_seconds: Time until the caller needs the answer.

        Returns:
            The admitted bytes, whose end must be reported; None if the link cannot
            carry them in time.
        """
        with self._lock:
            expected = body_bytes + self._mean_bytes_by_kind.get(request_kind, 0.0)
            if expected >= LARGE_BYTES and self._is_late(expected, remaining_seconds):
                return None
            self._bytes_under_way += expected
        return Passage(room=self, request_kind=request_kind, expected_bytes=expected)

    def find_drain_seconds(self) -> float:
        """Return the time that the link needs for what is under way."""
        if not self._usable_bytes_per_second:
            return 0.0
        return self._bytes_under_way / self._usable_bytes_per_second

    @property
    def is_full(self) -> bool:
        """Whether the link needs so long that callers should use other entries."""
        return self.find_drain_seconds() >= FULL_SECONDS

    def end(self, passage: "Passage", answer_bytes: int | None) -> None:
        """Count a passage as ended; see ``Passage.end``."""
        with self._lock:
            under_way = self._bytes_under_way - passage.expected_bytes
            self._bytes_under_way = max(under_way, 0.0)
            if answer_bytes is None:
                return
            kind = passage.request_kind
            mean = self._mean_bytes_by_kind.get(kind, float(answer_bytes))
            mean += (answer_bytes - mean) * ANSWER_BYTES_EWMA_WEIGHT
            self._mean_bytes_by_kind[kind] = mean

    def _is_late(self, expected, remaining_seconds):
        if not self._usable_bytes_per_second:
            return False
        seconds = (self._bytes_under_way + expected) / self._usable_bytes_per_second
        return seconds > remaining_seconds


class Passage:
    """The bytes of one admitted request.

    Attributes:
        request_kind: Request kind of the route.
        expected_bytes: Bytes that were expected at admission.
    """

    __slots__ = ("_is_ended", "_room", "expected_bytes", "request_kind")

    def __init__(self, *, room: LinkRoom, request_kind: str, expected_bytes: float):
        self.request_kind = request_kind
        self.expected_bytes = expected_bytes
        self._room = room
        self._is_ended = False

    def end(self, answer_bytes: int | None) -> None:
        """Report that the request has ended; a second call does nothing.

        Args:
            answer_bytes: Length of the target's whole answer, None without one.
        """
        if self._is_ended:
            return
        self._is_ended = True
        self._room.end(self, answer_bytes)
