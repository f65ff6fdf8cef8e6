"""Lets requests wait for the first configuration of an entry that has just started."""

import threading
import time
from collections.abc import Callable

import xxhash

from citronspan.core import result_codes
from citronspan.core.requests.entry_configuration import EntryConfiguration
from citronspan.core.requests.start_wait import (
    compute_start_return_seconds,
    compute_start_wait_seconds,
)
from citronspan.ops.callers.refusals import Refusal


class ConfigurationWait:
    """The requests that wait for the first configuration; safe for threads."""

    def __init__(
        self,
        *,
        find_configuration: Callable[[], EntryConfiguration],
        is_stopping: Callable[[], bool],
        threads: int,
        name: str,
    ):
        """Create it at the start of an entry.

        Args:
            find_configuration: Returns the entry's configuration.
            is_stopping: Returns whether the entry is about to stop.
            threads: Number of the entry's threads for requests.
            name: Name of the entry; each begins elsewhere in the spread of times.
        """
        self._find_configuration = find_configuration
        self._is_stopping = is_stopping
        self._threads = threads
        self._refusal_count = xxhash.xxh32_intdigest(name.encode()) % 1024
        self._started_at = time.monotonic()
        self._waiting = 0
        self._changed = threading.Condition()

    def count_waiting(self) -> int:
        """Return the number of requests that wait."""
        return self._waiting

    def notify(self) -> None:
        """Wake the requests that wait; called when a configuration came."""
        with self._changed:
            self._changed.notify_all()

    def wait(self, caller_seconds: float) -> EntryConfiguration:
        """Return the configuration once there is one.

        Args:
            caller_seconds: Time until the caller's deadline.

        Raises:
            Refusal: None came within the time for which the request may wait.
        """
        with self._changed:
            wait_seconds = compute_start_wait_seconds(
                running_seconds=time.monotonic() - self._started_at,
                caller_seconds=caller_seconds,
                waiting=self._waiting,
                threads=self._threads,
            )
            self._waiting += 1
            try:
                self._changed.wait_for(
                    lambda: self._has_configuration() or self._is_stopping(),
                    wait_seconds,
                )
            finally:
                self._waiting -= 1
            configuration = self._find_configuration()
            if configuration.offset:
                return configuration
            self._refusal_count += 1
            raise Refusal(
                code=result_codes.CONFIGURATION_MISSING,
                detail="the entry has no configuration yet",
                retry_after_seconds=compute_start_return_seconds(
                    self._refusal_count, caller_seconds - wait_seconds
                ),
            )

    def _has_configuration(self):
        return self._find_configuration().offset > 0
