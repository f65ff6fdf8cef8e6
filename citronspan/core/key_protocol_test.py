"""Searches schedules of faults for a broken promise of the key protocol.

A schedule is a string of bytes: each pair is a step and its argument. The world
has four entries and three keys, the last with one entry as owner and witness.
``key_protocol_broken_test`` proves that the search finds what it is meant to.
"""

import collections
import time
from unittest import mock

import freezegun
from hypothesis import Phase, given, settings, strategies as st

from citronspan.core import key_table, result_codes
from citronspan.core.key_messages import (
    KeyRecord,
    KeyReport,
    ReportKind,
    StoredAnswer,
)
from citronspan.core.key_protocol import KeyProtocol
from citronspan.core.key_protocol_attempts import UNREPORTED_TIMEOUT_SECONDS
from citronspan.core.key_protocol_results import ClaimCompleted, Permission, Replay
from citronspan.core.key_table import KeyTable
from citronspan.core.key_token import KeyToken
from citronspan.core.result_codes import Ran

NAMES = ["o", "w", "t", "u"]
PAIRS = [(a, b) for a in NAMES for b in NAMES if a != b]
KEY_NODES = [("o", "w"), ("w", "t"), ("o", "o")]
ALL_STEPS = {
    "deliver": 5,
    "flush": 3,
    "send": 3,
    "work": 4,
    "tick": 3,
    "double": 2,
    "delay": 2,
    "bring_back": 2,
    "lose": 1,
    "cut": 2,
    "heal": 1,
    "kill": 1,
    "pause": 1,
    "resume": 1,
    "hide": 1,
    "skew": 1,
}
WEIGHT_BY_STEP_BY_FOCUS = {
    "wide": ALL_STEPS,
    "narrow": ALL_STEPS,
    "sheds": {
        "flush": 5,
        "send": 4,
        "work": 6,
        "double_record": 5,
        "bring_back": 2,
        "double": 1,
        "delay": 1,
        "tick": 1,
    },
    "cuts": {
        "flush": 4,
        "send": 3,
        "work": 4,
        "double": 4,
        "bring_back": 3,
        "cut": 2,
        "heal": 2,
        "wait_long": 2,
    },
    "clocks": {"flush": 4, "send": 4, "work": 2, "skew": 5, "tick": 2},
}
DEADLINE_SECONDS = 3.0
TAKE_A_NEW_KEY = {
    result_codes.KEY_CLOSED,
    result_codes.KEY_EXPIRED,
    result_codes.KEY_NOT_RECORDED,
    result_codes.KEY_TOO_FAR_AHEAD,
}
TICKS_SECONDS = [0.004, 0.02, 0.1, 0.3, 0.7, 1.6, 4.0, 31.0]
SKEWS_SECONDS = [0.0, -130.0, 130.0, 310.0, -310.0, 2500.0, 6000.0]


class Clock:
    """Stands for the module ``time`` in ``key_table``: each node has its own."""

    skew_seconds = 0.0

    def time(self):
        return time.time() + self.skew_seconds


class Sending:
    """One sending of a request by its caller to one entry."""

    def __init__(self, node, key, fingerprint):
        self.node = node
        self.incarnation = node.incarnation
        self.key = key
        self.fingerprint = fingerprint
        self.result = None
        self.has_run = False
        self.is_told_not_run = False
        self.is_over = False


class Node:
    def __init__(self, world, name):
        self.world = world
        self.name = name
        self.incarnation = 0
        self.paused = False
        self.alive = False
        self.skew_seconds = 0.0
        self.hidden = set()
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
        self.world.spoil(self)

    def find_address(self, name):
        return None if name in self.hidden else name

    def is_up(self):
        return self.alive and not self.paused


class World:
    """Four entries, a network, callers, and one target that counts runs."""

    table_type = KeyTable
    kind_of_lost_answer = ReportKind.LOST

    def __init__(self, maximum_keys, focus):
        self.maximum_keys = maximum_keys
        self.shed_below = 10 if focus == "sheds" else 4
        self.keys = [0, 1, 2] if focus in ("wide", "clocks") else [0]
        self.clock = Clock()
        self.network = []
        self.delayed = []
        self.cuts = set()
        self.runs_by_key = collections.Counter()
        self.closed_keys = set()
        self.sendings = []
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

    def spoil(self, node):
        """Break a rule; the true world breaks none."""

    def run_schedule(self, schedule):
        with mock.patch.object(key_table, "time", self.clock):
            for step, argument in zip(schedule[::2], schedule[1::2], strict=False):
                self.steps[step % len(self.steps)](argument)
            self.finish(schedule[-1])

    def call(self, node, function, *arguments, **named):
        self.clock.skew_seconds = node.skew_seconds
        for event in function(*arguments, **named):
            if isinstance(event, ClaimCompleted):
                self.settle(self.sendings[int.from_bytes(event.attempt, "big")], event)
            elif (node.name, event.to) not in self.cuts:
                self.network.append((node.name, event.to, event.message))

    def settle(self, sending, event):
        if isinstance(event.result, Permission):
            sending.result = event.result
            sending.is_over = False
            return
        assert sending.result is None
        sending.result = event.result
        sending.is_over = True
        if isinstance(event.result, Replay):
            assert self.runs_by_key[sending.key] == 1
            assert event.result.answer.body == b"answer %d" % sending.key
            self.said["replay"] += 1
            return
        code = event.result.code
        self.said[code.name] += 1
        sending.is_told_not_run = code.ran is Ran.NOT_RUN
        if code.ran is Ran.RAN:
            assert self.runs_by_key[sending.key] == 1
        if code in TAKE_A_NEW_KEY:
            assert self.runs_by_key[sending.key] == 0, "not run was said of a run"
            self.closed_keys.add(sending.key)

    def start(self, node, key, fingerprint):
        sending = Sending(node, key, fingerprint)
        self.sendings.append(sending)
        attempt = (len(self.sendings) - 1).to_bytes(4, "big")
        deadline = time.monotonic() + DEADLINE_SECONDS
        token = self.tokens[key]
        self.call(node, node.protocol.claim, attempt, token, fingerprint, deadline)

    # Steps of a schedule.

    def send(self, argument):
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

    def double(self, argument):
        if self.network:
            self.delayed.append(self.network[argument % len(self.network)])

    def double_record(self, argument):
        types = (KeyRecord, KeyReport)
        items = [item for item in self.network if isinstance(item[2], types)]
        if items:
            self.delayed.append(items[argument % len(items)])

    def delay(self, argument):
        if self.network:
            self.delayed.append(self.network.pop(argument % len(self.network)))

    def bring_back(self, argument):
        if self.delayed:
            self.network.append(self.delayed.pop(argument % len(self.delayed)))

    def lose(self, argument):
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

    def work(self, argument):
        permitted = [
            (index, sending)
            for index, sending in enumerate(self.sendings)
            if isinstance(sending.result, Permission) and self.can_work(sending)
        ]
        if not permitted:
            return
        index, sending = permitted[argument % len(permitted)]
        self.work_at(index, sending, argument // 16)

    def can_work(self, sending):
        is_same = sending.node.incarnation == sending.incarnation
        return not sending.is_over and is_same and sending.node.is_up()

    def work_at(self, index, sending, choice):
        if not sending.has_run and choice >= self.shed_below:
            self.run(sending)
            return
        sending.is_over = True
        attempt = index.to_bytes(4, "big")
        body = b"answer %d" % sending.key
        answer = StoredAnswer(
            status=201, headers=(), length=8, digest=b"", body=body if choice else None
        )
        kind = ReportKind.ANSWERED if choice < 12 else self.kind_of_lost_answer
        if not sending.has_run:
            kind = ReportKind.NOT_RUN
        self.call(
            sending.node,
            sending.node.protocol.report,
            attempt,
            kind,
            code=result_codes.NO_CAPACITY if kind is ReportKind.NOT_RUN else None,
            answer=answer if kind is ReportKind.ANSWERED else None,
        )

    def run(self, sending):
        assert not sending.is_told_not_run, "not run was said before a run"
        sending.has_run = True
        self.runs_by_key[sending.key] += 1
        assert self.runs_by_key[sending.key] == 1, "a key ran twice"
        assert sending.key not in self.closed_keys, "not run was said before a run"

    def tick(self, argument):
        self.frozen.tick(TICKS_SECONDS[argument % len(TICKS_SECONDS)])
        for node in self.nodes[:: 1 if argument < 128 else -1]:
            if node.is_up():
                self.call(node, node.protocol.advance)

    def wait_long(self, argument):
        self.tick(argument | 7)

    def cut(self, argument):
        self.cuts.add(PAIRS[argument % len(PAIRS)])

    def heal(self, argument):
        if self.cuts:
            self.cuts.discard(sorted(self.cuts)[argument % len(self.cuts)])

    def kill(self, argument):
        self.nodes[argument % 4].restart()
        self.nodes[argument % 4].alive = argument < 160

    def pause(self, argument):
        self.nodes[argument % 4].paused = True

    def resume(self, argument):
        self.nodes[argument % 4].paused = False
        if not self.nodes[argument % 4].alive:
            self.nodes[argument % 4].restart()

    def hide(self, argument):
        first, second = PAIRS[argument % len(PAIRS)]
        self.node_by_name[first].hidden ^= {second}

    def skew(self, argument):
        skew = SKEWS_SECONDS[argument // 4 % len(SKEWS_SECONDS)]
        self.nodes[argument % 4].skew_seconds = skew

    def finish(self, argument):
        """Let every request end, mend the world, and send every key again."""
        for node in self.nodes:
            node.paused = False
        self.settle_all()
        self.cuts.clear()
        for node in self.nodes:
            node.hidden.clear()
            if not node.alive:
                node.restart()
        if argument < 128:
            self.nodes[argument % 2].restart()
        for node in self.nodes:
            for key in range(len(self.tokens)):
                self.start(node, key, 1)
            self.settle_all()

    def settle_all(self):
        for _ in range(4):
            self.flush_all()
            for index, sending in enumerate(self.sendings):
                while isinstance(sending.result, Permission) and self.can_work(sending):
                    self.work_at(index, sending, 11)
            self.flush_all()
            if not any(map(self.is_waiting, self.sendings)):
                return
            self.tick(5)
        assert not any(map(self.is_waiting, self.sendings)), "a request has no answer"

    def is_waiting(self, sending):
        is_same = sending.node.incarnation == sending.incarnation
        return sending.node.alive and is_same and not sending.is_over


def search(world_type, examples, phases=(Phase.generate,)):
    """Search schedules; counts what callers were told."""
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

    # Without a list of modules to pass over, freezegun reads the clock faster.
    with (
        mock.patch.object(freezegun.config.settings, "default_ignore_list", []),
        freezegun.freeze_time("2026-01-01") as frozen,
    ):
        World.frozen = frozen
        run()
    return said


def test_no_schedule_breaks_a_promise():
    said = search(World, 3000, phases=(Phase.generate, Phase.shrink))
    codes = {code.name for code in TAKE_A_NEW_KEY}
    assert said.keys() >= codes | {"replay", "key-may-have-run", "key-reused"}


def test_a_permission_that_nobody_reports_on_ends_as_may_have_run():
    with freezegun.freeze_time("2026-01-01") as frozen:
        World.frozen = frozen
        world = World(maximum_keys=50, focus="narrow")
        world.send(0)
        world.flush_all()
        assert isinstance(world.sendings[0].result, Permission)
        frozen.tick(DEADLINE_SECONDS + UNREPORTED_TIMEOUT_SECONDS)
        world.tick(0)
        world.flush_all()
        world.send(2)
        world.flush_all()
        assert world.sendings[1].result.code is result_codes.KEY_MAY_HAVE_RUN
