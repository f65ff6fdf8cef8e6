"""Measures the costs of brokers at several sizes: processor time and message bytes.

Run ``python -m bench.choice_costs`` for lines of text, or with ``--json`` for JSON.
Times of decisions come from the fastest of several rounds, since other load on the
machine only adds to them.
"""

import json
import sys
import time

from bench.choice_ways import FixedHealth
from citronspan.core.brokering.broker import Broker
from citronspan.core.brokering.broker_messages import (
    SlotCancel,
    SlotGrant,
    SlotRefusal,
    SlotRelease,
    SlotRequest,
    SlotWaiting,
)
from citronspan.core.brokering.broker_set import BrokerSet
from citronspan.core.brokering.shards import ShardKey, form_shards
from citronspan.core.detection.health import TargetInfo
from citronspan.core.message_base import Message
from citronspan.core.messages import Envelope, encode_envelope
from citronspan.core.node_messages import NodeInfo
from citronspan.core.outcomes import Outcome, OutcomeClass
from citronspan.core.resources import ServiceSpec

ROUNDS = 3
REQUESTS = 2_000
KEY = ShardKey(service="artist-intake", region="svealand", number=0)
WARM_UP_SECONDS = 0.6


def make_targets(count, service="s"):
    return tuple(
        TargetInfo(
            name=f"{service}-target-{number}",
            address="127.0.2.1:9000",
            region=KEY.region,
            data_centre="svealand-1",
            slots=6,
        )
        for number in range(count)
    )


def make_nodes(count):
    return [
        NodeInfo(
            name=f"node-{number}",
            incarnation=1,
            region=KEY.region,
            data_centre="svealand-1",
            agent_peer_address="127.0.0.1:7001",
            entry_peer_address=f"127.0.0.{number}:7002",
            entry_callers_address="127.0.0.1:8080",
            api_address="127.0.0.1:7003",
            entry_state="serving",
        )
        for number in range(count)
    ]


def make_request(number, **fields):
    return SlotRequest(
        attempt_id=(1 << 62) + number,
        service=KEY.service,
        region=KEY.region,
        shard=0,
        deadline_seconds=10.0,
        worth=2.5,
        request_kind="pack-upload",
        fingerprint=(1 << 63) + number,
        body_bytes=100_000,
        **fields,
    )


def make_release(number, target):
    outcome = Outcome(
        target=target,
        outcome_class=OutcomeClass.OK,
        latency_seconds=0.05,
        deadline_seconds=10.0,
        request_kind="pack-upload",
        fingerprint=(1 << 63) + number,
        load=3,
    )
    return SlotRelease(
        attempt_id=(1 << 62) + number,
        service=KEY.service,
        region=KEY.region,
        shard=0,
        outcome=outcome,
        answer_bytes=500,
    )


def time_decisions(targets, waiting) -> tuple[float, float]:
    """Time slot requests and releases at one broker.

    Args:
        targets: Number of targets.
        waiting: Number of requests that wait for a slot. If it is 0, one slot is free.

    Returns:
        Microseconds per request and per release.
    """
    best = (float("inf"), float("inf"))
    for _ in range(ROUNDS):
        broker = Broker(key=KEY, health=FixedHealth(), targets=make_targets(targets))
        time.sleep(WARM_UP_SECONDS)
        granted = []
        for number in range(targets * 6 - (0 if waiting else 1)):
            grant = broker.handle("entry", make_request(number))[-1].message
            granted.append((number, grant.target))
        for number in range(10_000, 10_000 + waiting):
            broker.handle("entry", make_request(number))
        best = min(best, _time_requests_and_releases(broker, granted, waiting))
    return best


def _time_requests_and_releases(broker, granted, waiting):
    request_seconds = 0.0
    release_seconds = 0.0
    for number in range(100_000, 100_000 + REQUESTS):
        began = time.perf_counter()
        outgoing = broker.handle("entry", make_request(number))
        request_ended = time.perf_counter()
        granted += _list_grants(outgoing)
        number_to_release, target = granted.pop(0)
        message = make_release(number_to_release, target)
        release_began = time.perf_counter()
        outgoing = broker.handle("entry", message)
        release_ended = time.perf_counter()
        granted += _list_grants(outgoing)
        request_seconds += request_ended - began
        release_seconds += release_ended - release_began
    return 1e6 * request_seconds / REQUESTS, 1e6 * release_seconds / REQUESTS


def _list_grants(outgoing):
    return [
        (item.message.attempt_id - (1 << 62), item.message.target)
        for item in outgoing
        if isinstance(item.message, SlotGrant)
    ]


def time_views(nodes, services) -> tuple[float, float, float]:
    """Time the shard formation and the assignment of brokers.

    Args:
        nodes: Number of nodes in the view.
        services: Number of services, which share 4100 targets.

    Returns:
        Milliseconds to form all shards, to take a first view of the nodes and find all
        brokers in it, and to do so again for a view in which one node joined and one
        left.
    """
    brokers = BrokerSet(address="none", make_health=lambda key, spec: FixedHealth())
    began = time.perf_counter()
    for number in range(services):
        targets = make_targets(4100 // services, service=f"s{number}")
        brokers.set_service(f"s{number}", ServiceSpec(), targets)
    formed = time.perf_counter()
    brokers.set_nodes(make_nodes(nodes))
    keys = [s.key for group in brokers.shards_by_group.values() for s in group]
    for key in keys:
        brokers.table.find_broker(key)
    found = time.perf_counter()
    brokers.set_nodes(make_nodes(nodes + 1)[1:])
    for key in keys:
        brokers.table.find_broker(key)
    changed = time.perf_counter()
    return (
        1e3 * (formed - began),
        1e3 * (found - formed),
        1e3 * (changed - found),
    )


def time_shard_formation(targets) -> float:
    """Return the milliseconds to form the shards of one service."""
    target_infos = make_targets(targets, service=f"one{targets}")
    began = time.perf_counter()
    form_shards("s", target_infos, 12)
    return 1e3 * (time.perf_counter() - began)


def count_bytes(message: Message) -> int:
    """Return the encoded length of a message in its envelope, in bytes."""
    envelope = Envelope(
        fleet="citronspan",
        sender="127.0.0.1:7002",
        incarnation=1 << 50,
        body=message,
    )
    return len(encode_envelope(envelope))


def measure() -> dict:
    """Run all measurements and return their rows by name."""
    rows = {"decisions": [], "views": [], "services": [], "bytes": {}}
    for targets in (4, 12, 24):
        for waiting in (0, 16, 48):
            request, release = time_decisions(targets, waiting)
            row = {"targets": targets, "waiting": waiting}
            row |= {"requestMicroseconds": request, "releaseMicroseconds": release}
            rows["decisions"].append(row)
    for nodes, services in ((36, 3), (235, 40), (235, 81), (470, 81)):
        formed, found, changed = time_views(nodes, services)
        row = {"nodes": nodes, "services": services, "formMilliseconds": formed}
        row |= {"firstViewMilliseconds": found, "changeMilliseconds": changed}
        rows["views"].append(row)
    for targets in (12, 50, 200):
        row = {"targets": targets, "formMilliseconds": time_shard_formation(targets)}
        rows["services"].append(row)
    grant = SlotGrant(
        attempt_id=1 << 62,
        target="artist-intake-7",
        address="127.0.2.7:9000",
        lease_seconds=10.5,
        free_slots=30,
    )
    refusal = SlotRefusal(attempt_id=1 << 62, code=3003, retry_after_seconds=1.0)
    cancel = SlotCancel(
        attempt_id=1 << 62, service=KEY.service, region=KEY.region, shard=0
    )
    for message in (
        make_request(1),
        grant,
        SlotWaiting(attempt_id=1 << 62),
        refusal,
        make_release(1, "artist-intake-7"),
        cancel,
    ):
        rows["bytes"][type(message).__name__] = count_bytes(message)
    return rows


def main() -> None:
    """Run all measurements and print them."""
    rows = measure()
    if "--json" in sys.argv:
        print(json.dumps(rows, indent=1))
        return
    for name in ("decisions", "views", "services"):
        for row in rows[name]:
            print(name, *(f"{key}={value:.4g}" for key, value in row.items()))
    for name, length in rows["bytes"].items():
        print(name, length, "bytes")


if __name__ == "__main__":
    main()
