"""Measures the key protocol on loopback: latency, messages, memory, restarts.

The owner and the witness run in child processes. This process is a third entry and
also simulates the callers. Run ``python -m bench.keys`` for text, or with ``--json``
for JSON. It takes about 90 s.
"""

import collections
import json
import os
import signal
import subprocess
import sys
import threading
import time
import tracemalloc
from concurrent.futures import ThreadPoolExecutor

import numpy as np

from citronspan.core import result_codes
from citronspan.core.keys.key_messages import StoredAnswer
from citronspan.core.keys.key_owner_selection import choose_owner_and_witness
from citronspan.core.keys.key_protocol_results import Permission, Refusal, Replay
from citronspan.core.keys.key_table import KeyTable
from citronspan.core.keys.key_token import mint_prefix, parse_key
from citronspan.core.node_messages import EntryReport, NodeInfo
from citronspan.ops.callers.key_service import KeyService
from citronspan.ops.peers.peer_link import PeerLink

FLEET = "bench"
ADDRESS_BY_NAME = {
    "owner": "127.0.61.1:7961",
    "witness": "127.0.61.2:7961",
    "third": "127.0.61.3:7961",
}
DATA_CENTRE_BY_NAME = {"owner": "a", "witness": "b", "third": "a"}
TICK_SECONDS = 0.02
REQUESTS_PER_SECOND = 83  # 39,000 requests per second over 470 nodes.
PACED_REQUESTS = 600
BACK_TO_BACK_REQUESTS = 1000
ANSWER_BODY = b"x" * 300
ANSWER_HEADERS = (("Content-Type", "application/json"),)
REQUEST_RUN_SECONDS = 0.05
LOAD_SECONDS = 5.0
FAULT_DELAY_SECONDS = 1.0
DOWN_SECONDS = 1.0
DIRECTORY_TTL_SECONDS = 5.0
PAUSE_SECONDS = 2.0
PING_MESSAGES = 2
VIEW_DELAY_SECONDS = 2.0  # Time until the membership view shows a restart.
REQUEST_DEADLINE_SECONDS = 3.0
MAXIMUM_RESENDS = 3
MEMORY_KEYS = (5_000, 25_000)
START_TIMEOUT_SECONDS = 10.0


class Node:
    """One entry's part of the key protocol, over a real peer link."""

    def __init__(self, name, incarnation):
        self.name = name
        self.link = PeerLink(
            fleet=FLEET, address=ADDRESS_BY_NAME[name], incarnation=incarnation
        )
        self.service = KeyService(
            name=name,
            fleet=FLEET,
            link=self.link,
            find_address=ADDRESS_BY_NAME.get,
        )
        self._echo_received = threading.Event()
        for target in (self._receive, self._tick_forever):
            threading.Thread(target=target, daemon=True).start()

    def _receive(self):
        self.link.receive_forever(self._handle)

    def _handle(self, envelope):
        if not isinstance(envelope.body, EntryReport):
            self.service.handle(envelope.sender, envelope.body)
        elif envelope.body.name == self.name:
            self._echo_received.set()
        else:
            self.link.send(envelope.sender, envelope.body)

    def ping(self, peer):
        """Send a message to a peer and wait for its echo."""
        self._echo_received.clear()
        message = EntryReport(name=self.name, state="serving", offset=0)
        self.link.send(ADDRESS_BY_NAME[peer], message)
        self._echo_received.wait(REQUEST_DEADLINE_SECONDS)

    def _tick_forever(self):
        while True:
            time.sleep(TICK_SECONDS)
            self.service.advance()

    def claim(self, key):
        """Claim a key with the deadline of this benchmark."""
        deadline = time.monotonic() + REQUEST_DEADLINE_SECONDS
        return self.service.claim(key, 1, deadline)

    def report_answer(self, permission):
        """Report the fixed answer of this benchmark for a permitted request."""
        self.service.report_answer(permission, 201, ANSWER_HEADERS, ANSWER_BODY)

    def read_traffic(self):
        """Return the messages and bytes sent and the processor seconds used so far."""
        return [
            self.link.sent_messages,
            self.link.sent_bytes,
            time.process_time(),
        ]


def measure_paired(node, prefix, count, rate):
    """Time claims, each next to an empty interval (no key) and a bare round trip.

    Args:
        node: The node that claims the keys.
        prefix: Prefix of the keys.
        count: Number of keys.
        rate: Keys per second, 0 for back to back.

    Returns:
        Percentiles of the times without a key and of round trip, claim and report.
    """
    keyed, unkeyed, pings, reports = [], [], [], []
    peer = "witness" if node.name == "owner" else "owner"
    began_at = time.monotonic()
    for number in range(count):
        if rate:
            time.sleep(max(began_at + number / rate - time.monotonic(), 0))
        start = time.perf_counter()
        unkeyed_end = time.perf_counter()
        node.ping(peer)
        ping_end = time.perf_counter()
        permission = node.claim(f"{prefix}.{node.name}-{rate}-{number}")
        claim_end = time.perf_counter()
        node.report_answer(permission)
        report_end = time.perf_counter()
        unkeyed.append(unkeyed_end - start)
        pings.append(ping_end - unkeyed_end)
        keyed.append(claim_end - ping_end)
        reports.append(report_end - claim_end)
    return {
        "requests": count,
        "rate": rate or "back to back",
        "unkeyed": summarize(unkeyed),
        "roundTrip": summarize(pings),
        "claim": summarize(keyed),
        "report": summarize(reports),
    }


def summarize(seconds):
    p50, p99 = np.percentile(seconds, [50, 99]) * 1000
    return {"p50Milliseconds": round(p50, 4), "p99Milliseconds": round(p99, 4)}


def serve_node(name, incarnation):
    """Run a node that reads commands from stdin and prints answers, as JSON lines."""
    node = Node(name, incarnation)
    print(json.dumps({"ready": True}), flush=True)
    for line in sys.stdin:
        command = json.loads(line)
        if command["do"] == "measure":
            arguments = [command[key] for key in ("prefix", "count", "rate")]
            answer = measure_paired(node, *arguments)
        else:
            answer = node.read_traffic()
        print(json.dumps(answer), flush=True)


class Child:
    """A node in a child process."""

    def __init__(self, name, incarnation):
        self.name = name
        self.incarnation = incarnation
        command = [sys.executable, "-m", "bench.keys", "node", name, str(incarnation)]
        self._process = subprocess.Popen(
            command, stdin=subprocess.PIPE, stdout=subprocess.PIPE, text=True
        )
        self._process.stdout.readline()

    def run_command(self, **command):
        """Send a command to the process and return its answer."""
        self._process.stdin.write(json.dumps(command) + "\n")
        self._process.stdin.flush()
        return json.loads(self._process.stdout.readline())

    def pause(self, seconds):
        """Stop the process for some seconds, as on a paused host."""
        self._process.send_signal(signal.SIGSTOP)
        time.sleep(seconds)
        self._process.send_signal(signal.SIGCONT)

    def kill(self):
        """Kill the process as ``kill -9`` does, and wait for its end."""
        self._process.kill()
        self._process.wait()


class Bench:
    """The third entry with its callers, and the owner and witness processes."""

    def __init__(self):
        self.children = {name: Child(name, 1) for name in ("owner", "witness")}
        self.visible_incarnation_by_name = {"owner": 1, "witness": 1, "third": 1}
        self.third = Node("third", 1)
        self.warm_up()

    def mint_current_prefix(self):
        """Return the prefix that the directory would give now."""
        owner, witness = choose_owner_and_witness(
            self.list_nodes(), region="r", key="k", preferred_owner="owner"
        )
        return mint_prefix(
            fleet=FLEET,
            owner=owner.name,
            owner_incarnation=owner.entry_incarnation,
            witness=witness.name,
            witness_incarnation=witness.entry_incarnation,
        )

    def list_nodes(self):
        """Return the nodes in the current membership view."""
        return [
            NodeInfo(
                name=name,
                incarnation=1,
                region="r",
                data_centre=DATA_CENTRE_BY_NAME[name],
                agent_peer_address="",
                entry_peer_address=ADDRESS_BY_NAME[name],
                entry_callers_address="",
                api_address="",
                entry_state="serving",
                entry_incarnation=incarnation,
            )
            for name, incarnation in list(self.visible_incarnation_by_name.items())
        ]

    def warm_up(self):
        """Wait until a claim is permitted, so that all connections are open.

        Raises:
            RuntimeError: No claim was permitted in time.
        """
        end = time.monotonic() + START_TIMEOUT_SECONDS
        number = 0
        while time.monotonic() < end:
            number += 1
            result = self.third.claim(f"{self.mint_current_prefix()}.warm-{number}")
            if isinstance(result, Permission):
                self.third.report_answer(result)
                time.sleep(0.2)
                return
        raise RuntimeError("owner and witness did not start in time")

    def restart(self, names):
        """Kill nodes and start them again after a delay."""
        for name in names:
            self.children[name].kill()
        time.sleep(DOWN_SECONDS)
        for name in names:
            self.children[name] = Child(name, self.children[name].incarnation + 1)

    def pause(self, names):
        """Pause nodes for longer than every timeout; the view does not change."""
        for name in names:
            self.children[name].pause(PAUSE_SECONDS)

    def show_restart_in_view(self, names):
        """Remove nodes from the view, and add them as restarted after a delay."""
        for name in names:
            del self.visible_incarnation_by_name[name]
        time.sleep(VIEW_DELAY_SECONDS)
        for name in names:
            self.visible_incarnation_by_name[name] = self.children[name].incarnation

    def read_traffic(self):
        """Return the sums of the nodes' messages, bytes and processor seconds."""
        nodes = [child.run_command(do="traffic") for child in self.children.values()]
        return np.sum([*nodes, self.third.read_traffic()], axis=0)

    def measure_latency(self):
        """Measure claims at the owner and at the third entry."""
        before = self.read_traffic()
        self.third.ping("owner")
        self.ping_bytes = (self.read_traffic() - before)[1]
        rows = {}
        for rate in (REQUESTS_PER_SECOND, 0):
            count = PACED_REQUESTS if rate else BACK_TO_BACK_REQUESTS
            for place in ("owner", "third"):
                before = self.read_traffic()
                row = self._measure_claims(place, count, rate)
                time.sleep(0.5)
                messages, sent_bytes, processor_seconds = (
                    self.read_traffic() - before
                ) / count
                row["messagesPerRequest"] = round(float(messages) - PING_MESSAGES, 2)
                row["bytesPerRequest"] = round(float(sent_bytes) - self.ping_bytes)
                if not rate:
                    row["processorMilliseconds"] = round(processor_seconds * 1000, 3)
                rows[f"{place}, {row['rate']}"] = row
        return rows

    def _measure_claims(self, place, count, rate):
        if place == "third":
            return measure_paired(self.third, self.mint_current_prefix(), count, rate)
        return self.children["owner"].run_command(
            do="measure", prefix=self.mint_current_prefix(), count=count, rate=rate
        )

    def measure_restart(self, names, uses_refusal_prefix):
        """Place orders while nodes are killed and restarted."""
        shown_after_seconds = FAULT_DELAY_SECONDS + VIEW_DELAY_SECONDS
        timers = [
            threading.Timer(FAULT_DELAY_SECONDS, self.restart, [names]),
            threading.Timer(shown_after_seconds, self.show_restart_in_view, [names]),
        ]
        return self._measure_orders(timers, uses_refusal_prefix)

    def measure_pause(self, names):
        """Place orders while nodes are paused and resume."""
        timer = threading.Timer(FAULT_DELAY_SECONDS, self.pause, [names])
        return self._measure_orders([timer], True)

    def _measure_orders(self, timers, uses_refusal_prefix):
        orders = Orders(self, uses_refusal_prefix)
        count = int(LOAD_SECONDS * REQUESTS_PER_SECOND)
        for timer in timers:
            timer.start()
        began_at = time.monotonic()
        with ThreadPoolExecutor(64) as pool:
            for number in range(count):
                due_at = began_at + number / REQUESTS_PER_SECOND
                time.sleep(max(due_at - time.monotonic(), 0))
                pool.submit(orders.place, number)
        for timer in timers:
            timer.join()
        resent_results = [self.third.claim(key) for key in orders.keys_that_ran]
        refused_results = [self.third.claim(key) for key in orders.keys_not_run]
        return {
            "orders": count,
            "firstAnswers": dict(orders.first_answers),
            "finalAnswers": dict(orders.final_answers),
            "slowestFirstAnswerSeconds": round(max(orders.first_seconds), 3),
            "resentAfterwards": dict(
                collections.Counter(map(describe_result, resent_results))
            ),
            "ranTwice": orders.ran_twice,
            "toldNotRun": len(refused_results),
            "toldNotRunAndPermitted": sum(
                isinstance(result, Permission) for result in refused_results
            ),
        }


class Orders:
    """Simulated callers that follow the documented rules.

    Args:
        bench: The benchmark.
        uses_refusal_prefix: Whether callers take a new prefix from a refusal, rather
            than from the directory.
    """

    def __init__(self, bench, uses_refusal_prefix):
        self._bench = bench
        self._uses_refusal_prefix = uses_refusal_prefix
        self._lock = threading.Lock()
        self._prefix = bench.mint_current_prefix()
        self._minted_at = time.monotonic()
        self._runs_by_key = collections.Counter()
        self.first_answers = collections.Counter()
        self.final_answers = collections.Counter()
        self.first_seconds = []
        self.keys_that_ran = []
        self.keys_not_run = []
        self.ran_twice = 0

    def place(self, number):
        """Place one order, and resend it after a refusal.

        If the refusal says that the order did not run, the resend uses a new key.
        """
        key = f"{self._get_prefix()}.order-{number}"
        start = time.monotonic()
        result = self._send(key)
        first_result = describe_result(result)
        seconds = time.monotonic() - start
        for resend in range(MAXIMUM_RESENDS):
            if not isinstance(result, Refusal):
                break
            if result.code in (result_codes.KEY_CLOSED, result_codes.KEY_NOT_RECORDED):
                self.keys_not_run.append(key)
                key = f"{self._get_new_prefix()}.order-{number}-{resend}"
            time.sleep(result.retry_after_seconds)
            result = self._send(key)
        with self._lock:
            self.first_answers[first_result] += 1
            self.final_answers[describe_result(result)] += 1
            self.first_seconds.append(seconds)
            if not isinstance(result, Refusal):
                self.keys_that_ran.append(key)

    def _send(self, key):
        result = self._bench.third.claim(key)
        if isinstance(result, Permission):
            with self._lock:
                self._runs_by_key[key] += 1
                self.ran_twice += self._runs_by_key[key] > 1
            time.sleep(REQUEST_RUN_SECONDS)
            self._bench.third.report_answer(result)
        return result

    def _get_new_prefix(self):
        if not self._uses_refusal_prefix:
            self._renew_prefix()
            return self._prefix
        return self._bench.third.service.mint_prefix(self._bench.list_nodes())

    def _get_prefix(self):
        if time.monotonic() - self._minted_at > DIRECTORY_TTL_SECONDS:
            self._renew_prefix()
        return self._prefix

    def _renew_prefix(self):
        self._prefix = self._bench.mint_current_prefix()
        self._minted_at = time.monotonic()


def describe_result(result):
    if isinstance(result, Refusal):
        return f"{result.code.number} {result.code.ran}"
    return "replayed" if isinstance(result, Replay) else "ran"


def measure_memory():
    """Return the bytes per key: the slope between the table sizes at two key counts."""
    answer = StoredAnswer(
        status=201,
        headers=ANSWER_HEADERS,
        length=len(ANSWER_BODY),
        digest=b"d" * 16,
        body=None,
    )
    rows = {}
    for label, body in (
        ("recorded, no answer", None),
        ("done, digest only", b""),
        (f"done, {len(ANSWER_BODY)} bytes of body", ANSWER_BODY),
    ):
        sizes = [fill_table(count, label, answer, body) for count in MEMORY_KEYS]
        slope = (sizes[1] - sizes[0]) / (MEMORY_KEYS[1] - MEMORY_KEYS[0])
        rows[label] = {"bytesPerKey": round(slope)}
    return rows


def fill_table(count, label, answer, body):
    prefix = mint_prefix(
        fleet=FLEET,
        owner="owner",
        owner_incarnation=1,
        witness="witness",
        witness_incarnation=1,
    )
    tracemalloc.start()
    table = KeyTable(maximum_keys=count, maximum_total_answer_bytes=1 << 30)
    for number in range(count):
        token = parse_key(f"{prefix}.{number}", fleet=FLEET)
        attempt = number.to_bytes(12, "big")
        record = table.record(token, fingerprint=number, attempt=attempt, generation=1)
        if body is None:
            continue
        body_copy = bytes(bytearray(body)) if body else None
        stored_answer = StoredAnswer(
            status=answer.status,
            headers=tuple((str(n), str(v)) for n, v in answer.headers),
            length=answer.length,
            digest=bytes(bytearray(answer.digest)),
            body=body_copy,
        )
        table.finish(record, stored_answer)
    size, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return size


def format_table(report):
    header = f"{'milliseconds, p50 and p99':26}"
    columns = ("unkeyed", "roundTrip", "claim", "report")
    lines = [header + "".join(f"{name:>18}" for name in columns)]
    for label, row in report["latency"].items():
        line = f"{label:26}"
        for name in columns:
            p50, p99 = row[name].values()
            line += f"{p50:10.3f}{p99:8.3f}"
        lines.append(line)
    for label, row in report["latency"].items():
        messages, sent_bytes = row["messagesPerRequest"], row["bytesPerRequest"]
        lines.append(f"{label:26}  {messages} messages, {sent_bytes} bytes per request")
    lines.append("memory")
    for label, row in report["memory"].items():
        lines.append(f"{label:26}  {row['bytesPerKey']:9} bytes per key")
    for title in ("restarts", "pauses"):
        lines.append(title)
        lines += [f"{label}: {json.dumps(row)}" for label, row in report[title].items()]
    return "\n".join(lines)


def main():
    if sys.argv[1:2] == ["node"]:
        serve_node(sys.argv[2], int(sys.argv[3]))
        return
    report = {"loadAverage": os.getloadavg(), "memory": measure_memory()}
    bench = Bench()
    try:
        report["latency"] = bench.measure_latency()
        report["restarts"] = {
            f"{label}, prefix from {source}": bench.measure_restart(
                names, source == "the refusal"
            )
            for label, names in (
                ("owner", ["owner"]),
                ("witness", ["witness"]),
                ("both", ["owner", "witness"]),
            )
            for source in ("the directory", "the refusal")
        }
        report["pauses"] = {
            f"{name}, prefix from the refusal": bench.measure_pause([name])
            for name in ("owner", "witness")
        }
    finally:
        for child in bench.children.values():
            child.kill()
    if "--json" in sys.argv:
        print(json.dumps(report, indent=2))
        return
    print(format_table(report))


if __name__ == "__main__":
    main()
