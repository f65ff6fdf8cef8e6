"""Measures the cost of membership per node, over the size of the fleet.

All members run in one process on a frozen clock and pass messages to each other; only
the delivery is simulated. Run ``python -m bench.membership [OUT.json]``.
"""

import json
import sys
import time

import msgspec
from freezegun import freeze_time

from citronspan.core.membership.membership import Membership
from citronspan.core.messages import Envelope, encode_envelope
from citronspan.core.node_messages import NodeInfo

SIZES = (8, 16, 32, 64, 128, 256, 470)
TICK_SECONDS = 0.2
SETTLE_SECONDS = 30
MEASURED_SECONDS = 20
# In each replacement, one node leaves and one joins.
REPLACEMENTS_PER_DAY = 570


def make_node(number):
    ip = f"10.{number // 65536}.{number // 256 % 256}.{number % 256}"
    return NodeInfo(
        name=f"host-{number:04}",
        incarnation=1,
        region=f"region-{number % 2}",
        data_centre=f"centre-{number % 5}",
        agent_peer_address=f"{ip}:7401",
        entry_peer_address=f"{ip}:7400",
        entry_callers_address=f"{ip}:8080",
        api_address=f"{ip}:8000",
        entry_state="serving",
    )


class Fleet:
    """Members that pass messages to each other, with counts of messages and costs."""

    def __init__(self, clock, size):
        self.clock = clock
        self.messages = 0
        self.bytes = 0
        self.core_seconds = 0.0
        nodes = [make_node(number) for number in range(size)]
        seeds = tuple(node.agent_peer_address for node in nodes[:3])
        self.member_by_address = {
            node.agent_peer_address: Membership(own=node, seeds=seeds, seed=number)
            for number, node in enumerate(nodes)
        }

    def run(self, seconds):
        for _ in range(int(seconds / TICK_SECONDS)):
            self.clock.tick(TICK_SECONDS)
            for address, member in list(self.member_by_address.items()):
                self.deliver(address, self.call_timed(member.tick))

    def call_timed(self, function, *arguments):
        began = time.process_time_ns()
        outgoing = function(*arguments)
        self.core_seconds += (time.process_time_ns() - began) / 1e9
        return outgoing

    def deliver(self, sender, outgoing):
        for item in outgoing:
            envelope = Envelope(
                fleet="f", sender=sender, incarnation=1, body=item.message
            )
            self.messages += 1
            self.bytes += len(encode_envelope(envelope))
            receiver = self.member_by_address.get(item.to)
            if receiver is not None:
                answer = self.call_timed(receiver.handle, sender, item.message)
                self.deliver(item.to, answer)

    def reset(self):
        self.messages = 0
        self.bytes = 0
        self.core_seconds = 0.0


def measure_size(size):
    # freezegun freezes time.process_time as well, but not time.process_time_ns.
    with freeze_time("2026-01-01") as clock:
        fleet = Fleet(clock, size)
        fleet.run(SETTLE_SECONDS)
        known_nodes = [len(m.live_nodes()) for m in fleet.member_by_address.values()]
        fleet.reset()
        fleet.run(MEASURED_SECONDS)
        idle = summarize(fleet, size)
        fleet.reset()
        replacements = max(1, round(REPLACEMENTS_PER_DAY * size / 470 / 86400 * 600))
        for number in range(replacements):
            address = list(fleet.member_by_address)[-1 - number]
            replaced_member = fleet.member_by_address[address]
            own = replaced_member.own
            node = msgspec.structs.replace(own, incarnation=own.incarnation + 1)
            seeds = tuple(list(fleet.member_by_address)[:3])
            fleet.member_by_address[address] = Membership(
                own=node, seeds=seeds, seed=number
            )
        fleet.run(MEASURED_SECONDS)
        churn = summarize(fleet, size)
    return {
        "nodes": size,
        "least_known": min(known_nodes),
        "idle": idle,
        "replacements_in_20_s": replacements,
        "churn": churn,
    }


def summarize(fleet, size):
    per_node = size * MEASURED_SECONDS
    return {
        "messages_per_second": round(fleet.messages / per_node, 2),
        "bytes_per_second": round(fleet.bytes / per_node),
        "core_share_percent": round(100 * fleet.core_seconds / per_node, 4),
    }


def main():
    rows = [measure_size(size) for size in SIZES]
    print("nodes known | idle msg/s B/s core% | replaced msg/s B/s core%")
    for row in rows:
        idle, churn = row["idle"], row["churn"]
        print(
            f"{row['nodes']:5} {row['least_known']:5} |"
            f" {idle['messages_per_second']:6} {idle['bytes_per_second']:6}"
            f" {idle['core_share_percent']:7} | {row['replacements_in_20_s']:3}"
            f" {churn['messages_per_second']:6} {churn['bytes_per_second']:6}"
            f" {churn['core_share_percent']:7}"
        )
    if len(sys.argv) > 1:
        with open(sys.argv[1], "w") as out:
            json.dump({"benchmark": "membership", "rows": rows}, out, indent=1)


if __name__ == "__main__":
    main()
