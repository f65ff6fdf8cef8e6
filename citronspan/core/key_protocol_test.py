"""Searches schedules of faults for a broken promise of the key protocol.

A schedule is a string of bytes: each pair is a step and its argument. The world
has four entries and two keys. The broken variants at the end each lack one rule;
the same search must find a violation with each of them.
"""

import collections
import time
from unittest import mock

import freezegun
import msgspec
import pytest
from hypothesis import Phase, given, settings, strategies as st

from citronspan.core import key_table, result_codes
from citronspan.core.key_messages import (
    KeptAnswer,
    KeyRecord,
    KeyReport,
    KeyResolved,
    ReportKind,
)
from citronspan.core.key_protocol import KeyProtocol
from citronspan.core.key_protocol_attempts import KeyAttempts
from citronspan.core.key_protocol_owner import KeyOwner
from citronspan.core.key_protocol_results import ClaimSettled, Permission, Replay
from citronspan.core.key_protocol_witness import KeyWitness
from citronspan.core.key_table import KeyTable
from citronspan.core.key_token import KeyToken
from citronspan.core.result_codes import Ran

NAMES = ["o", "w", "t", "u"]
PAIRS = [(a, b) for a in NAMES for b in NAMES if a != b]
DEADLINE_SECONDS = 3.0
TAKE_A_NEW_KEY = {
    result_codes.KEY_CLOSED,
    result_codes.KEY_EXPIRED,
    result_codes.KEY_NOT_RECORDED,
    result_codes.KEY_TOO_FAR_AHEAD,
}
TICKS_SECONDS = [0.004, 0.02, 0.1, 0.3, 0.7, 1.6, 4.0, 31.0]
SKEWS_SECONDS = [0.0, -130.0, 130.0, 610.0, -610.0, 2500.0, 6000.0]


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

    def __init__(self, maximum_keys=50, sheds=False):
        self.maximum_keys = maximum_keys
        self.shed_below = 10 if sheds else 4
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
        expires_at = int((time.time() + 600) * 1000)
        self.tokens = [
            KeyToken(
                key_id=bytes([index]) * 16,
                owner=owner,
                owner_incarnation=1,
                witness=witness,
                witness_incarnation=1,
                expires_at_milliseconds=expires_at + index * 20_000,
            )
            for index, (owner, witness) in enumerate([("o", "w"), ("w", "t")])
        ]
        self.steps = [
            *[self.deliver] * 5,
            *[self.flush] * 3,
            *[self.send] * 3,
            *[self.work] * 4,
            *[self.tick] * 3,
            *[self.double] * 2,
            *[self.delay] * 2,
            *[self.bring_back] * 2,
            self.lose,
            self.cut,
            self.cut,
            self.heal,
            self.kill,
            self.pause,
            self.resume,
            self.hide,
            self.skew,
        ]
        if sheds:
            self.steps = [
                *[self.flush] * 5,
                *[self.send] * 4,
                *[self.work] * 6,
                *[self.double_record] * 5,
                *[self.bring_back] * 2,
                self.double,
                self.delay,
                self.tick,
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
            if isinstance(event, ClaimSettled):
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
            self.start(node, argument >> 2 & 1, 1 + (argument > 240))

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
        answer = KeptAnswer(
            status=201, headers=(), length=8, digest=b"", body=body if choice else None
        )
        kind = ReportKind.ANSWERED if choice < 12 else ReportKind.LOST
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
        sheds=st.sampled_from([False, False, False, True]),
    )
    def run(schedule, maximum_keys, sheds):
        world = world_type(maximum_keys=maximum_keys, sheds=sheds)
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
    said = search(World, 2500, phases=(Phase.generate, Phase.shrink))
    codes = {code.name for code in TAKE_A_NEW_KEY}
    assert said.keys() >= codes | {"replay", "key-may-have-run", "key-reused"}


# Broken variants: each lacks one rule of the protocol.


class RunsWithoutWitness(KeyOwner):
    def _ask_witness(self, open_key, now):
        if open_key.record.state == "running":
            return []
        return self._permit(open_key)


class TakesKeysOfEarlierIncarnations(KeyOwner):
    def is_owner(self, token):
        return token.owner == self.name


class ClosesKeysOfEarlierIncarnations(KeyWitness):
    def is_witness(self, token):
        return token.witness == self.name


class FreesKeyWithoutWord(KeyOwner):
    def advance(self, now):
        for open_key in list(self._open_by_id.values()):
            if self._table.find(open_key.token) is not open_key.record:
                continue
            if open_key.record.state == "running" and now > open_key.close_at + 1.0:
                self._table.release(open_key.token)
                self._end(open_key, KeyResolved(attempt=b"", code=3002))
        return super().advance(now)


class FreesKeyByAnyAttempt(KeyOwner):
    def handle_report(self, sender, report):
        open_key = self._open_by_id.get(report.token.key_id)
        if open_key is not None and report.kind is ReportKind.NOT_RUN:
            report = msgspec.structs.replace(report, attempt=open_key.record.attempt)
        return super().handle_report(sender, report)


class RefusesWithoutClosing(KeyOwner):
    def _close(self, open_key):
        outgoing = super()._close(open_key)
        open_key.record.state = "recorded"
        self._table.release(open_key.token)
        return outgoing


class WitnessRefusesWithoutClosing(KeyWitness):
    def _close(self, token):
        return result_codes.KEY_CLOSED


class WitnessTakesOvertakenRecords(KeyWitness):
    def _record(self, message):
        record = self._table.find(message.token)
        if record is not None:
            record.generation = 0
        return super()._record(message)


class WitnessFreesByAnyAttempt(KeyWitness):
    def handle_report(self, report):
        record = self._table.find(report.token)
        if record is not None:
            record.attempt = report.attempt
        super().handle_report(report)


class ActsOnLatePermission(KeyAttempts):
    def handle_permitted(self, sender, message):
        events = super().handle_permitted(sender, message)
        if message.attempt not in self._never_run:
            return events
        token = self._never_run.pop(message.attempt)
        permission = Permission(attempt=message.attempt, token=token, run_before=0.0)
        return [ClaimSettled(attempt=message.attempt, result=permission)]


class GivesBackWhatRan(KeyAttempts):
    def report(self, attempt, kind, code, answer):
        item = self._attempt_by_id.get(attempt)
        if item is not None:
            self._note_never_run(item)
        return super().report(attempt, kind, code, answer)


class ForgetsWithoutMark(KeyTable):
    def is_forgotten(self, token):
        return False

    def is_closed(self, token):
        return False


class RefusesExpiredWithoutClosing(KeyTable):
    def close_through(self, token):
        pass


VARIANTS = [
    RunsWithoutWitness,
    TakesKeysOfEarlierIncarnations,
    ClosesKeysOfEarlierIncarnations,
    FreesKeyWithoutWord,
    FreesKeyByAnyAttempt,
    RefusesWithoutClosing,
    WitnessRefusesWithoutClosing,
    WitnessTakesOvertakenRecords,
    WitnessFreesByAnyAttempt,
    ActsOnLatePermission,
    GivesBackWhatRan,
    ForgetsWithoutMark,
    RefusesExpiredWithoutClosing,
]


@pytest.mark.parametrize("variant", VARIANTS)
def test_the_search_finds_what_a_missing_rule_breaks(variant):
    class BrokenWorld(World):
        table_type = variant if issubclass(variant, KeyTable) else KeyTable

        def spoil(self, node):
            protocol = node.protocol
            for part in (protocol.owner, protocol.witness, protocol.attempts):
                if issubclass(variant, type(part)):
                    part.__class__ = variant

    with pytest.raises(AssertionError, match="ran twice|not run was said"):
        search(BrokenWorld, 5000)
