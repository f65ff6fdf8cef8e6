"""An entry of another writer that cannot be read, then two releases of a service.

Each release replaces half of the targets, one after the other. No request may reach a
target later than 2.5 s after the store has acknowledged that it is draining.
"""

import asyncio
import sys
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
DRAIN_SECONDS = 2.5
SERVES_ON_SECONDS = 5.0
WORK_SECONDS = 0.4
SLOTS = 6
PER_SECOND = 12.0
TARGETS = 4
TARGETS_PER_RELEASE = 2
END_SECONDS = 6.0
RESTART_SECONDS = 10.0
UNREADABLE_ENTRY = b'{"labels":' + b"[" * 4000
"""Bytes that are no JSON, well below ``recordBytes``."""


async def _work(target, request):
    await asyncio.sleep(WORK_SECONDS)


async def _release(fleet: Fleet, targets: list[Target]) -> dict[str, float]:
    """Replace targets one by one; return when each was known to drain."""
    acknowledged_at = {}
    for old in targets:
        new = fleet.add_target(
            service="kassa", place=PLACES[0], slots=SLOTS, work=_work
        )
        await new.start()
        fleet.note(f"{new.name} is ready in place of {old.name}")
        await asyncio.sleep(1.0)
        acknowledged_at[old.name] = old.drain()
        fleet.note(f"{old.name} is draining")
        await asyncio.sleep(SERVES_ON_SECONDS)
        old.end()
        fleet.note(f"{old.name} has ended; requests cut by that: {len(old.cut_ids)}")
    return acknowledged_at


async def check(fleet: Fleet, has_trouble: bool) -> list[str]:
    """Play the case and return the violations of DRAIN."""
    for number in range(TARGETS):
        fleet.add_target(
            service="kassa", place=PLACES[number % 2], slots=SLOTS, work=_work
        )
    routes = [make_route("purchase", "kassa", "non_idempotent")]
    await fleet.start(PLACES, make_configuration(1, routes, ["kassa"]))
    await asyncio.sleep(CONTACT_SECONDS)
    clients = Clients(
        fleet=fleet,
        place=PLACES[0],
        method="POST",
        path="/purchase/1",
        per_second=PER_SECOND,
        body=b"one pack",
    )
    clients.start()
    await asyncio.sleep(2.0)
    if has_trouble:
        fleet.store.put("keyed.servers", "x-other", UNREADABLE_ENTRY)
        fleet.note("another writer has written an entry that cannot be read")
    await asyncio.sleep(2.0)
    acknowledged_at = await _release(fleet, fleet.targets[:TARGETS_PER_RELEASE])
    others = fleet.targets[TARGETS_PER_RELEASE:TARGETS]
    acknowledged_at |= await _release(fleet, others)
    since = max(acknowledged_at.values()) + SERVES_ON_SECONDS
    await asyncio.sleep(END_SECONDS)
    await clients.stop()
    await _restart_one(fleet)
    fleet.note(f"answers to all purchases: {dict(clients.count())}")
    fleet.note(f"answers after the release: {dict(clients.count(since=since))}")
    return _find_late_arrivals(fleet, clients, acknowledged_at)


async def _restart_one(fleet: Fleet) -> None:
    """Restart a host as the platform does, and note whether it serves again."""
    host = fleet.hosts[0]
    await host.terminate()
    await host.start()
    await asyncio.sleep(RESTART_SECONDS)
    is_ready = await host.is_ready()
    _, answer = await fleet.send(host.address, method="POST", path="/purchase/1")
    fleet.note(
        f"{host.name}, {RESTART_SECONDS} s after a restart: ready: {is_ready},"
        f" a purchase there: {answer.status or answer.error}"
    )


def _find_late_arrivals(fleet, clients, acknowledged_at):
    sent_at = {item.request_id: item.at for item in clients.sent}
    violations = []
    for target in fleet.targets[:TARGETS]:
        limit = acknowledged_at[target.name] + DRAIN_SECONDS
        late = [
            arrival
            for arrival in target.arrivals
            if arrival.at > limit and sent_at[arrival.request_id] > limit
        ]
        fleet.note(
            f"{target.name}: {len(target.arrivals)} requests, {len(late)} of them sent"
            f" and run later than {DRAIN_SECONDS} s after it was known to drain;"
            f" cut by its end: {len(target.cut_ids)}"
        )
        violations += [
            f"{arrival.request_id} reached {arrival.target}"
            f" {arrival.at - limit + DRAIN_SECONDS:.2f} s after it was known to drain"
            for arrival in late
        ]
    return violations


if __name__ == "__main__":
    sys.exit(run_case(check, Path(__file__).with_name("record.txt")))
