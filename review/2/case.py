"""Answers are lost on the way back from requests that may run once at most.

The requests are sent to ``/kassa/refunds``. Of the routes ``/kassa/`` (non-idempotent)
and ``/kassa/refunds/`` (idempotent), only the first one begins that path.
"""

import asyncio
import sys
from collections import Counter
from pathlib import Path

from review.common.clients import Clients
from review.common.fleet import (
    CONTACT_SECONDS,
    Fleet,
    make_configuration,
    make_route,
    run_case,
)
from review.common.target import Target

PLACES = [("sthlm-a", "svealand"), ("sthlm-b", "svealand"), ("sthlm-a", "svealand")]
PATH = "/kassa/refunds"
WORK_SECONDS = 0.3
SLOTS = 6
TARGETS = 6
LOSING_TARGETS = 3
LOST_SHARE = 0.4
LOST_SECONDS = 4.0
ROUNDS = 3
PAUSE_SECONDS = 8.0
PER_SECOND = 15.0


async def _work(target, request):
    await asyncio.sleep(WORK_SECONDS)


class _Loser:
    """Loses a share of the answers of a target, while it is on."""

    def __init__(self):
        self.is_on = False
        self.lost_count = 0
        self._due = 0.0

    def spoil(self, answer: bytes) -> bytes:
        """Return the bytes that the target sends; none stand for a reset."""
        if not self.is_on:
            return answer
        self._due += LOST_SHARE
        if self._due < 1:
            return answer
        self._due -= 1
        self.lost_count += 1
        return b""


def _add_losers(targets: list[Target]) -> list[_Loser]:
    losers = []
    for target in targets:
        loser = _Loser()
        target.spoil = loser.spoil
        losers.append(loser)
    return losers


async def check(fleet: Fleet, has_trouble: bool) -> list[str]:
    """Play the case and return the violations of TWICE."""
    for number in range(TARGETS):
        fleet.add_target(
            service="kassa", place=PLACES[number % 2], slots=SLOTS, work=_work
        )
    losers = _add_losers(fleet.targets[:LOSING_TARGETS])
    routes = [
        make_route("kassa", "kassa", "non_idempotent"),
        make_route("refunds", "kassa", "idempotent", pathPrefix="/kassa/refunds/"),
    ]
    await fleet.start(PLACES, make_configuration(1, routes, ["kassa"]))
    await asyncio.sleep(CONTACT_SECONDS)
    clients = Clients(
        fleet=fleet,
        place=PLACES[0],
        method="POST",
        path=PATH,
        per_second=PER_SECOND,
        body=b"refund of one pack",
    )
    clients.start()
    for _ in range(ROUNDS):
        await asyncio.sleep(PAUSE_SECONDS)
        for loser in losers:
            loser.is_on = has_trouble
        await asyncio.sleep(LOST_SECONDS)
        for loser in losers:
            loser.is_on = False
    await clients.stop()
    lost_count = sum(loser.lost_count for loser in losers)
    fleet.note(f"answers lost: {lost_count}")
    fleet.note(f"answers to all requests: {dict(clients.count())}")
    targets_by_id: dict[str, list[str]] = {}
    for target in fleet.targets:
        for arrival in target.arrivals:
            targets_by_id.setdefault(arrival.request_id, []).append(target.name)
    runs = Counter(len(names) for names in targets_by_id.values())
    fleet.note(f"requests by the number of times that they ran: {dict(runs)}")
    return [
        f"{request_id} to {PATH} ran at {' and '.join(names)}"
        for request_id, names in targets_by_id.items()
        if len(names) > 1
    ]


if __name__ == "__main__":
    sys.exit(run_case(check, Path(__file__).with_name("record.txt")))
