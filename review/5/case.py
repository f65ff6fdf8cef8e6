"""A host is stopped while it waits for an answer that takes its time.

The backend of a small service needs 3.4 s for some reads, whose deadline is 6 s. The
host that waits for them gets SIGTERM, so that it has 6 s to finish. It may not break
the reads off.
"""

import asyncio
import sys
import time
from pathlib import Path

from review.common.fleet import (
    CONTACT_SECONDS,
    GRACE_SECONDS,
    Fleet,
    make_configuration,
    make_route,
    run_case,
)

PLACES = [("sthlm-a", "svealand"), ("sthlm-b", "svealand"), ("sthlm-a", "svealand")]
DEADLINE_SECONDS = 6.0
WORK_SECONDS = 0.5
LONG_WORK_SECONDS = 3.4
LONG_PATH = "/browse/long"
SLOTS = 6
SHORT_READS = 6
LONG_READS = 4
SIGTERM_AFTER_SECONDS = 1.0


async def _work(target, request):
    is_long = request.path == LONG_PATH
    await asyncio.sleep(LONG_WORK_SECONDS if is_long else WORK_SECONDS)


async def _read(fleet: Fleet, address: str, path: str):
    """Send a read; return its id, the answer and the seconds that it took."""
    begun_at = time.monotonic()
    request_id, answer = await fleet.send(address, method="GET", path=path)
    return request_id, answer, time.monotonic() - begun_at


async def check(fleet: Fleet, has_trouble: bool) -> list[str]:
    """Play the case and return the violations of LOST."""
    fleet.add_target(service="katalog", place=PLACES[0], slots=SLOTS, work=_work)
    routes = [make_route("browse", "katalog", "idempotent")]
    await fleet.start(PLACES, make_configuration(1, routes, ["katalog"]))
    await asyncio.sleep(CONTACT_SECONDS)
    for number in range(SHORT_READS):
        host = fleet.hosts[number % len(fleet.hosts)]
        request_id, answer, _ = await _read(fleet, host.address, "/browse/short")
        fleet.note(f"{request_id}: {answer.status or answer.error}")
    await asyncio.sleep(CONTACT_SECONDS)
    violations = []
    for host in fleet.hosts:
        reads = [
            asyncio.ensure_future(_read(fleet, host.address, LONG_PATH))
            for _ in range(LONG_READS)
        ]
        await asyncio.sleep(SIGTERM_AFTER_SECONDS)
        if has_trouble:
            fleet.note(f"{host.name} gets SIGTERM; it has {GRACE_SECONDS} s")
            await host.terminate()
        for request_id, answer, seconds in await asyncio.gather(*reads):
            result = answer.header_by_name.get("citronspan-result", "")
            text = (
                f"{request_id} at {host.name}: {answer.status or answer.error} {result}"
                f" after {seconds:.2f} s; its backend needs {LONG_WORK_SECONDS} s"
            )
            fleet.note(text)
            if has_trouble and answer.status != 200 and seconds < DEADLINE_SECONDS:
                violations.append(text)
        if has_trouble:
            await host.start()
            await fleet.wait_until_ready([host])
        await asyncio.sleep(CONTACT_SECONDS)
    return violations


if __name__ == "__main__":
    sys.exit(run_case(check, Path(__file__).with_name("record.txt")))
