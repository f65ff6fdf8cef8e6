"""Idempotency keys of a soak's callers."""

import http.client
import json
import random
import threading
import time
from collections import deque
from dataclasses import replace

from citronspan_standins.promises import SentRequest
from citronspan_standins.soak_fleet import SoakHost

DIRECTORY_PORT = 8082
DIRECTORY_SECONDS = 1.0
PREFIX_SECONDS = 3.0
"""Time for which callers use a prefix, longer than some of its entries live."""

KEYED_SHARE = 0.4
REPEAT_SHARE = 0.6
REMEMBERED_REQUESTS = 12


class KeyBook:
    """Gives requests keys, and repeats those of other callers; safe for threads."""

    def __init__(self, *, hosts: list[SoakHost]):
        """Create a book without keys.

        Args:
            hosts: Hosts whose directories mint prefixes.
        """
        self._hosts = hosts
        self._lock = threading.Lock()
        self._requests: deque[SentRequest] = deque(maxlen=REMEMBERED_REQUESTS)
        self._prefix = ""
        self._fetched_at = 0.0
        self._count = 0

    def add_key(self, request: SentRequest, draw: random.Random) -> SentRequest:
        """Return a request, with a new key, or as a repeat of one with its key.

        Args:
            request: Request without a key, which may run once only.
            draw: Makes the choices.

        Returns:
            The request itself if it gets no key.
        """
        if draw.random() >= KEYED_SHARE:
            return request
        is_repeat, host = draw.random() < REPEAT_SHARE, draw.choice(self._hosts)
        with self._lock:
            if is_repeat and self._requests:
                earlier = draw.choice(self._requests)
                return replace(
                    earlier, request_id=request.request_id, host=request.host
                )
        prefix = self._find_prefix(host)
        if not prefix:
            return request
        with self._lock:
            self._count += 1
            keyed = replace(request, key=f"{prefix}.s{self._count}")
            self._requests.append(keyed)
        return keyed

    def _find_prefix(self, host):
        now = time.monotonic()
        with self._lock:
            if self._prefix and now < self._fetched_at + PREFIX_SECONDS:
                return self._prefix
        prefix = fetch_prefix(host.address[0])
        with self._lock:
            self._prefix, self._fetched_at = prefix, now
        return prefix


def fetch_prefix(ip: str) -> str:
    """Return a prefix of a host's directory, or an empty string without one."""
    connection = http.client.HTTPConnection(
        ip, DIRECTORY_PORT, timeout=DIRECTORY_SECONDS
    )
    try:
        connection.request("GET", "/directory?name=shop.example&region=r&dataCentre=a")
        return json.loads(connection.getresponse().read()).get("keyPrefix", "")
    except (OSError, ValueError, http.client.HTTPException):
        # Ignored: the host starts or has left.
        return ""
    finally:
        connection.close()
