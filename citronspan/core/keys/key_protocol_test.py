"""Searches schedules of faults for violated guarantees of the key protocol.

A schedule is a byte string; each pair of bytes is a step and its argument. The
simulated system has four entries and three keys; the last key has the same entry as
owner and witness. ``key_protocol_broken_test`` checks that the search finds faults.
"""

import collections
import time
from unittest import mock

import freezegun
from hypothesis import Phase, given, settings, strategies as st

from citronspan.core import result_codes
from citronspan.core.keys import key_table
from citronspan.core.keys.key_messages import (
    KeyRecord,
    KeyReport,
    ReportKind,
    StoredAnswer,
)
from citronspan.core.keys.key_protocol import KeyProtocol
from citronspan.core.keys.key_protocol_attempts import UNREPORTED_TIMEOUT_SECONDS
from citronspan.core.keys.key_protocol_results import ClaimCompleted, Permission, Replay
from citronspan.core.keys.key_table import KeyTable
from citronspan.core.keys.key_token import KeyToken
from citronspan.core.result_codes import Ran

NAMES = ["o", "w", "t", "u"]
PAIRS = [(a, b) for a in NAMES for b in NAMES if a != b]
KEY_NODES = [("o", "w"), ("w", "t"), ("o", "o")]
ALL_STEPS = {
    "deliver": 5,
    "flush": 3,
    "submit": 3,
    "advance_worker": 4,
    "tick": 3,
    "duplicate": 2,
    "delay": 2,
    "release_delayed": 2,
    "drop": 1,
    "cut_link": 2,
    "restore_link": 1,
    "restart_node": 1,
    "pause": 1,
    "resume": 1,
    "toggle_hidden": 1,
    "skew": 1,
}
WEIGHT_BY_STEP_BY_FOCUS = {
    "wide": ALL_STEPS,
    "narrow": ALL_STEPS,
    "shedding": {
        "flush": 5,
        "submit": 4,
        "advance_worker": 6,
        "duplicate_record": 5,
        "release_delayed": 2,
        "duplicate": 1,
        "delay": 1,
        "tick": 1,
    },
    "partitions": {
        "flush": 4,
        "submit": 3,
        "advance_worker": 4,
        "duplicate": 4,
        "release_delayed": 3,
        "cut_link": 2,
        "restore_link": 2,
        "wait_long": 2,
    },
    "clocks": {"flush": 4, "submit": 4, "advance_worker": 2, "skew": 5, "tick": 2},
}
DEADLINE_SECONDS = 3.0
CLOSING_CODES = {
    result_codes.KEY_CLOSED,
    result_codes.KEY_EXPIRED,
    result_codes.KEY_NOT_RECORDED,
    result_codes.KEY_TOO_FAR_AHEAD,
}
TICKS_SECONDS = [0.004, 0.02, 0.1, 0.3, 0.7, 1.6, 4.0, 31.0]
SKEWS_SECONDS = [0.0, -130.0, 130.0, 310.0, -310.0, 2500.0, 6000.0]


class Clock:
    """Replaces the module ``time`` in ``key_table`` with the skewed clock of a node."""

    skew_seconds = 0.0

    def time(self):
        return time.time() + self.skew_seconds


class Submission:
    """One submission of a request by its caller to one entry."""

    def __init__(self, node, key, fingerprint):
        self.node = node
        self.incarnation = node.incarnation
        self.key = key
        self.fingerprint = fingerprint
        self.result = None
        self.has_run = False
        self.is_reported_not_run = False
        self.is_finished = False


class Node:
    def __init__(self, world, name):
        self.world = world
        self.name = name
        self.incarnation = 0
        self.paused = False
        self.alive = False
        self.skew_seconds = 0.0
        self.hidden_names = set()
        self.restart()

    def restart(self):
        self.incarnation += 1
        self.alive = True
        self.paused = False
        table = self.world.table_type(
            maximum_keys=self.world.maximum_keys, keep_after_expiry_seconds=60.0
        )
        self.protocol = KeyProtocol(
            name=self.name,
            incarnation=self.incarnation,
            address=self.name,
            find_address=self.find_address,
            table=table,
        )
        self.world.inject_fault(self)

    def find_address(self, name):
        return None if name in self.hidden_names else name

    def is_up(self):
        return self.alive and not self.paused


class SimulatedFleet:
    """Simulates four entries, a network, callers, and one target that counts runs."""

    table_type = KeyTable
    lost_answer_kind = ReportKind.LOST

    def __init__(self, maximum_keys, focus):
        self.maximum_keys = maximum_keys
        self.run_threshold = 10 if focus == "shedding" else 4
        self.keys = [0, 1, 2] if focus in ("wide", "clocks") else [0]
        self.clock = Clock()
        self.network = []
        self.delayed = []
        self.cut_links = set()
        self.runs_by_key = collections.Counter()
        self.closed_keys = set()
        self.submissions = []
        self.said = collections.Counter()
        self.nodes = [Node(self, name) for name in NAMES]
        self.node_by_name = {node.name: node for node in self.nodes}
        expires_at = int((time.time() + 300) * 1000)
        self.tokens = [
            KeyToken(
                key_id=bytes([index]) * 16,
                owner=owner,
                owner_incarnation=1,
                witness=witness,
                witness_incarnation=1,
                expires_at_milliseconds=expires_at + index * 20_000,
            )
            for index, (owner, witness) in enumerate(KEY_NODES)
        ]
        self.steps = [
            getattr(self, name)
            for name, weight in WEIGHT_BY_STEP_BY_FOCUS[focus].items()
            for _ in range(weight)
        ]

    def inject_fault(self, node):
        """Break a rule of the protocol; this class breaks none."""

    def run_schedule(self, schedule):
        with mock.patch.object(key_table, "time", self.clock):
            for step, argument in zip(schedule[::2], schedule[1::2], strict=False):
                self.steps[step % len(self.steps)](argument)
            self.finish(schedule[-1])

    def call(self, node, function, *arguments, **named):
        self.clock.skew_seconds = node.skew_seconds
        for event in function(*arguments, **named):
            if isinstance(event, ClaimCompleted):
                self.handle_result(
                    self.submissions[int.from_bytes(event.attempt, "big")], event
                )
            elif (node.name, event.to) not in self.cut_links:
                self.network.append((node.name, event.to, event.message))

    def handle_result(self, submission, event):
        if isinstance(event.result, Permission):
            submission.result = event.result
            submission.is_finished = False
            return
        assert submission.result is None
        submission.result = event.result
        submission.is_finished = True
        if isinstance(event.result, Replay):
            assert self.runs_by_key[submission.key] == 1
            assert event.result.answer.body == b"answer %d" % submission.key
            self.said["replay"] += 1
            return
        code = event.result.code
        self.said[code.name] += 1
        submission.is_reported_not_run = code.ran is Ran.NOT_RUN
        if code.ran is Ran.RAN:
            assert self.runs_by_key[submission.key] == 1
        if code in CLOSING_CODES:
            assert self.runs_by_key[submission.key] == 0, (
                "a key that ran was reported as not run"
            )
            self.closed_keys.add(submission.key)

    def start(self, node, key, fingerprint):
        submission = Submission(node, key, fingerprint)
        self.submissions.append(submission)
        attempt = (len(self.submissions) - 1).to_bytes(4, "big")
        deadline = time.monotonic() + DEADLINE_SECONDS
        token = self.tokens[key]
        self.call(node, node.protocol.claim, attempt, token, fingerprint, deadline)

    # Steps of a schedule.

    def submit(self, argument):
        node = self.nodes[argument % 4]
        if node.is_up():
            key = self.keys[argument // 4 % len(self.keys)]
            self.start(node, key, 1 + (argument > 240))

    def deliver(self, argument):
        if not self.network:
            return
        index = argument % len(self.network)
        sender, to, message = self.network[index]
        node = self.node_by_name[to]
        if node.paused:
            return
        del self.network[index]
        if node.alive:
            self.call(node, node.protocol.handle, sender, message)

    def duplicate(self, argument):
        if self.network:
            self.delayed.append(self.network[argument % len(self.network)])

    def duplicate_record(self, argument):
        types = (KeyRecord, KeyReport)
        items = [item for item in self.network if isinstance(item[2], types)]
        if items:
            self.delayed.append(items[argument % len(items)])

    def delay(self, argument):
        if self.network:
            self.delayed.append(self.network.pop(argument % len(self.network)))

    def release_delayed(self, argument):
        if self.delayed:
            self.network.append(self.delayed.pop(argument % len(self.delayed)))

    def drop(self, argument):
        if self.network:
            del self.network[argument % len(self.network)]

    def flush(self, argument):
        for _ in range(argument % 16 + 1):
            waiting = [to for _, to, _ in self.network]
            ready = [i for i, to in enumerate(waiting) if self.node_by_name[to].is_up()]
            if not ready:
                return
            self.deliver(ready[0])

    def flush_all(self):
        while any(self.node_by_name[to].is_up() for _, to, _ in self.network):
            self.flush(15)

    def advance_worker(self, argument):
        permitted = [
            (index, submission)
            for index, submission in enumerate(self.submissions)
            if isinstance(submission.result, Permission)
            and self.can_advance(submission)
        ]
        if not permitted:
            return
        index, submission = permitted[argument % len(permitted)]
        self.advance_submission(index, submission, argument // 16)

    def can_advance(self, submission):
        is_same = submission.node.incarnation == submission.incarnation
        return not submission.is_finished and is_same and submission.node.is_up()

    def advance_submission(self, index, submission, choice):
        if not submission.has_run and choice >= self.run_threshold:
            self.run(submission)
            return
        submission.is_finished = True
        attempt = index.to_bytes(4, "big")
        body = b"answer %d" % submission.key
        answer = StoredAnswer(
            status=201, headers=(), length=8, digest=b"", body=body if choice else None
        )
        kind = ReportKind.ANSWERED if choice < 12 else self.lost_answer_kind
        if not submission.has_run:
            kind = ReportKind.NOT_RUN
        self.call(
            submission.node,
            submission.node.protocol.report,
            attempt,
            kind,
            code=result_codes.NO_CAPACITY if kind is ReportKind.NOT_RUN else None,
            answer=answer if kind is ReportKind.ANSWERED else None,
        )

    def run(self, submission):
        assert not submission.is_reported_not_run, (
            "a key ran after it was reported as not run"
        )
        submission.has_run = True
        self.runs_by_key[submission.key] += 1
        assert self.runs_by_key[submission.key] == 1, "a key ran twice"
        assert submission.key not in self.closed_keys, (
            "a key ran after it was reported as not run"
        )

    def tick(self, argument):
        self.frozen.tick(TICKS_SECONDS[argument % len(TICKS_SECONDS)])
        for node in self.nodes[:: 1 if argument < 128 else -1]:
            if node.is_up():
                self.call(node, node.protocol.advance)

    def wait_long(self, argument):
        self.tick(argument | 7)

    def cut_link(self, argument):
        self.cut_links.add(PAIRS[argument % len(PAIRS)])

    def restore_link(self, argument):
        if self.cut_links:
            self.cut_links.discard(
                sorted(self.cut_links)[argument % len(self.cut_links)]
            )

    def restart_node(self, argument):
        self.nodes[argument % 4].restart()
        self.nodes[argument % 4].alive = argument < 160

    def pause(self, argument):
        self.nodes[argument % 4].paused = True

    def resume(self, argument):
        self.nodes[argument % 4].paused = False
        if not self.nodes[argument % 4].alive:
            self.nodes[argument % 4].restart()

    def toggle_hidden(self, argument):
        first, second = PAIRS[argument % len(PAIRS)]
        self.node_by_name[first].hidden_names ^= {second}

    def skew(self, argument):
        skew = SKEWS_SECONDS[argument // 4 % len(SKEWS_SECONDS)]
        self.nodes[argument % 4].skew_seconds = skew

    def finish(self, argument):
        """Finish all requests, repair all faults, and submit every key again."""
        for node in self.nodes:
            node.paused = False
        self.finish_submissions()
        self.cut_links.clear()
        for node in self.nodes:
            node.hidden_names.clear()
            if not node.alive:
                node.restart()
        if argument < 128:
            self.nodes[argument % 2].restart()
        for node in self.nodes:
            for key in range(len(self.tokens)):
                self.start(node, key, 1)
            self.finish_submissions()

    def finish_submissions(self):
        for _ in range(4):
            self.flush_all()
            for index, submission in enumerate(self.submissions):
                while isinstance(submission.result, Permission) and self.can_advance(
                    submission
                ):
                    self.advance_submission(index, submission, 11)
            self.flush_all()
            if not any(map(self.is_waiting, self.submissions)):
                return
            self.tick(5)
        assert not any(map(self.is_waiting, self.submissions)), (
            "a request has no result"
        )

    def is_waiting(self, submission):
        is_same = submission.node.incarnation == submission.incarnation
        return submission.node.alive and is_same and not submission.is_finished


def search_schedules(world_type, examples, phases=(Phase.generate,)):
    """Run random schedules and return how often callers got each outcome."""
    said = collections.Counter()

    @settings(max_examples=examples, phases=phases)
    @given(
        schedule=st.binary(min_size=100, max_size=300),
        maximum_keys=st.sampled_from([50, 50, 1, 2]),
        focus=st.sampled_from(list(WEIGHT_BY_STEP_BY_FOCUS)),
    )
    def run(schedule, maximum_keys, focus):
        world = world_type(maximum_keys=maximum_keys, focus=focus)
        world.run_schedule(schedule)
        said.update(world.said)

    # freezegun reads the clock faster without a list of modules to ignore.
    with (
        mock.patch.object(freezegun.config.settings, "default_ignore_list", []),
        freezegun.freeze_time("2026-01-01") as frozen,
    ):
        SimulatedFleet.frozen = frozen
        run()
    return said


def test_no_schedule_runs_key_twice_or_reports_run_key_as_not_run():
    said = search_schedules(SimulatedFleet, 3000, phases=(Phase.generate, Phase.shrink))
    codes = {code.name for code in CLOSING_CODES}
    assert said.keys() >= codes | {"replay", "key-may-have-run", "key-reused"}


def test_unreported_permission_resolves_as_may_have_run():
    with freezegun.freeze_time("2026-01-01") as frozen:
        SimulatedFleet.frozen = frozen
        world = SimulatedFleet(maximum_keys=50, focus="narrow")
        world.submit(0)
        world.flush_all()
        assert isinstance(world.submissions[0].result, Permission)
        frozen.tick(DEADLINE_SECONDS + UNREPORTED_TIMEOUT_SECONDS)
        world.tick(0)
        world.flush_all()
        world.submit(2)
        world.flush_all()
        assert world.submissions[1].result.code is result_codes.KEY_MAY_HAVE_RUN
