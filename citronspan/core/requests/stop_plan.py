"""Decides whether a request can still end well at a host that was told to stop.

Load pattern: requests that become complete, or get their slot, late in a stop. Passed
on, they would be cut off at its end, and those that must not run twice could not be
repeated. Refused at once as not run, they go to another host while they have time.

Two bounds hold. A request that was whole early is passed on while the times of its
kind say that it ends in time; if it takes longer, its target has worked to the end of
the stop. The same goes for a large upload that its caller had begun to send before the
stop. One that was whole later, or that came in the stop and is not whole yet, is passed
on only if its deadline ends it in time.
"""

import math
import statistics
import threading
import time
from collections import deque
from dataclasses import dataclass

PLAN_MARGIN_SECONDS = 0.2
"""Time before the bound on a stop by which requests are to have ended. What is not read
by then is refused."""

GIVE_UP_SECONDS = 0.2
"""Longest time after the bound at which what is at a target is given up. A host is
killed twice as long after the bound, so that the answers that say so are still
written."""

GIVE_UP_SHARE = 1 / 6
"""Share of a short stop that takes the place of ``GIVE_UP_SECONDS``."""

RECENT_ATTEMPTS = 128
MINIMUM_ATTEMPTS = 8
"""Number of attempts from which on the longest of them says what to expect."""

MARGIN_FACTOR = 1.25
MARGIN_SECONDS = 0.1

UNKNOWN_SHARE = 0.5
"""Share of the stop in which requests are passed on that usually end in time, and those
of which nothing is known. Callers still come in this part, since they cache addresses;
to refuse all of them for the few that take longest would cost them more."""

UNBOUNDED_WORK_SECONDS = 2.8
"""Part of a stop in which requests may come whose deadline lies behind its end. Nothing
but the deadline bounds a target's work: what a kind of request took before says little
of a single one or of a new target."""

UNDER_WAY_SECONDS = 0.5
"""Time after the begin of a stop in which the head of a large upload may be read whose
caller began to send it before."""


@dataclass(frozen=True, kw_only=True, slots=True)
class WorkKind:
    """What requests have in common that take similar times.

    Attributes:
        service: Name of the service.
        request_kind: Request kind of the route.
        is_streamed: Whether the body is passed on while the caller sends it.
    """

    service: str
    request_kind: str
    is_streamed: bool


@dataclass(frozen=True, kw_only=True, slots=True)
class StopForecast:
    """Until when requests of a kind are passed on in a stop, for the log.

    Attributes:
        service: Name of the service.
        request_kind: Request kind of the route.
        is_streamed: Whether the body is passed on while the caller sends it.
        attempts: Number of recent attempts that are known.
        longest: The longest of them, in seconds.
        latest: Seconds after the begin of the stop.
    """

    service: str
    request_kind: str
    is_streamed: bool
    attempts: int
    longest: float
    latest: float


class StopPlan:
    """When a stop ends and how long attempts take; safe for threads."""

    def __init__(self):
        """Create the plan of a host that was not told to stop."""
        self._lock = threading.Lock()
        self._recent_by_kind: dict[WorkKind, deque[float]] = {}
        self._begun_at = math.inf
        self._planned_end = math.inf
        self._bound = math.inf
        self._give_up_seconds = GIVE_UP_SECONDS

    def begin(self, stop_seconds: float) -> None:
        """Note that the host was told to stop; a second call changes nothing.

        It takes no lock, since only the thread of the signals calls it.

        Args:
            stop_seconds: Bound on the stop.
        """
        if self._begun_at < math.inf:
            return
        self._begun_at = time.monotonic()
        margin_seconds = min(PLAN_MARGIN_SECONDS, stop_seconds / 2)
        self._give_up_seconds = min(GIVE_UP_SECONDS, stop_seconds * GIVE_UP_SHARE)
        self._bound = self._begun_at + stop_seconds
        self._planned_end = self._bound - margin_seconds

    def find_begin(self) -> float:
        """Return when the host was told to stop, infinity before."""
        return self._begun_at

    def forecast(self) -> list[StopForecast]:
        """Return until when requests of each known kind are passed on."""
        with self._lock:
            recent_by_kind = {k: list(v) for k, v in self._recent_by_kind.items()}
        return [
            StopForecast(
                service=kind.service,
                request_kind=kind.request_kind,
                is_streamed=kind.is_streamed,
                attempts=len(recent),
                longest=round(max(recent), 3),
                latest=round(self._find_latest_start(kind) - self._begun_at, 3),
            )
            for kind, recent in recent_by_kind.items()
        ]

    def find_planned_end(self) -> float:
        """Return when requests are to have ended, infinity while there is no stop."""
        return self._planned_end

    def find_bound(self) -> float:
        """Return the bound on the stop, infinity while there is none."""
        return self._bound

    def find_end(self) -> float:
        """Return when open requests are given up, infinity while there is no stop."""
        return self._bound + self._give_up_seconds

    def find_last_answer_end(self) -> float:
        """Return by when the answers to what was given up are to be written."""
        return self._bound + 2 * self._give_up_seconds

    def has_ended(self) -> bool:
        """Return whether open requests are to be given up now."""
        return time.monotonic() >= self.find_end()

    def observe(self, kind: WorkKind, seconds: float) -> None:
        """Add the time that an attempt took, with its answer.

        Args:
            kind: Kind of the request.
            seconds: The time; of an attempt that was given up, the time until then.
        """
        with self._lock:
            recent = self._recent_by_kind.get(kind)
            if recent is None:
                recent = self._recent_by_kind[kind] = deque(maxlen=RECENT_ATTEMPTS)
            recent.append(seconds)

    def find_read_end(self, request_deadline: float | None) -> float:
        """Return when a request that is not whole is given up.

        Args:
            request_deadline: Deadline of a request of which no target has anything yet,
                None while it is not known or if a target has a part of the request.
        """
        if request_deadline is None or request_deadline <= self._planned_end:
            return self._planned_end
        return min(self._begun_at + UNBOUNDED_WORK_SECONDS, self._planned_end)

    def find_last_arrival(self, shortest_seconds: float) -> float:
        """Return the time after which every new request would be refused.

        Args:
            shortest_seconds: Least time that a route gives its requests.
        """
        return max(
            self._begun_at + UNBOUNDED_WORK_SECONDS,
            self._planned_end - shortest_seconds,
        )

    def is_too_late(
        self,
        kind: WorkKind,
        request_deadline: float,
        *,
        received_at: float,
        whole_at: float | None,
    ) -> bool:
        """Return whether a request should no longer be passed on.

        Args:
            kind: Kind of the request.
            request_deadline: Time of ``time.monotonic()`` at which the request is given
                up anyway.
            received_at: Time of ``time.monotonic()`` at which its head had been read.
            whole_at: Time of ``time.monotonic()`` at which it had been read, None
                before that.
        """
        if request_deadline <= self._planned_end:
            return False
        if whole_at is None and received_at > self._begun_at + UNDER_WAY_SECONDS:
            return True
        if whole_at is not None and whole_at > self._begun_at + UNBOUNDED_WORK_SECONDS:
            return True
        return time.monotonic() > self._find_latest_start(kind)

    def _find_latest_start(self, kind):
        stop_seconds = self._planned_end - self._begun_at
        early_seconds = min(UNKNOWN_SHARE * stop_seconds, UNBOUNDED_WORK_SECONDS)
        early_end = self._begun_at + early_seconds
        with self._lock:
            recent = list(self._recent_by_kind.get(kind, ()))
        if len(recent) < MINIMUM_ATTEMPTS:
            return early_end
        latest = self._planned_end - _add_margin(max(recent))
        if latest >= early_end:
            return latest
        return min(
            early_end, self._planned_end - _add_margin(statistics.median(recent))
        )


def _add_margin(seconds):
    return seconds * MARGIN_FACTOR + MARGIN_SECONDS
