"""Property tests: invariants of a broker, and a comparison with a reference broker."""

import time
from dataclasses import dataclass, field, replace

import freezegun
import pytest
from hypothesis import given, settings, strategies as st

from citronspan.core import result_codes
from citronspan.core.brokering.broker import Broker
from citronspan.core.brokering.broker_attempt_cache import ATTEMPT_CACHE_SECONDS
from citronspan.core.brokering.broker_expiry import BUCKET_SECONDS
from citronspan.core.brokering.broker_grants import LEASE_GRACE_SECONDS
from citronspan.core.brokering.broker_messages import SlotGrant, SlotWaiting
from citronspan.core.brokering.broker_slot_hold_times import (
    SAMPLE_WEIGHT,
    UPPER_BOUND_DEVIATIONS,
)
from citronspan.core.brokering.broker_target_usage import (
    DRAINING_BACKOFF_SECONDS,
    SHED_BACKOFF_SECONDS,
    STARTING_BACKOFF_SECONDS,
)
from citronspan.core.brokering.broker_test import (
    KEY,
    FakeHealth,
    make_cancel,
    make_release,
    make_request,
    make_target,
)
from citronspan.core.brokering.wait_estimates import (
    MAXIMUM_QUEUED_PER_SLOT,
    MINIMUM_QUEUE_LIMIT,
)
from citronspan.core.outcomes import OutcomeClass

TARGET_NAMES = ("a", "b", "c")
ATTEMPT_COUNT = 40

attempts = st.integers(1, ATTEMPT_COUNT)
targets = st.sampled_from(TARGET_NAMES)
requests = st.fixed_dictionaries(
    {
        "worth": st.sampled_from([1.0, 2.0, 5.0]),
        "deadline_seconds": st.sampled_from([0.05, 0.35, 0.5, 0.8, 2.0, 9.0]),
        "idempotent": st.booleans(),
        "is_retry": st.booleans(),
        "request_kind": st.sampled_from(["browse", "order"]),
        "excluded": st.sampled_from([(), (), (), (), ("a",), ("a", "b")]),
    }
)
classes = st.sampled_from(
    [
        OutcomeClass.OK,
        OutcomeClass.OK,
        OutcomeClass.OK,
        OutcomeClass.TIMED_OUT,
        OutcomeClass.SHED,
        OutcomeClass.DRAINING,
        OutcomeClass.STARTING,
        OutcomeClass.NOT_USED,
    ]
)
changes = st.one_of(
    st.tuples(st.just("limit"), targets, st.integers(1, 3), st.just(True)),
    st.tuples(st.just("limit"), targets, st.integers(0, 3), st.booleans()),
    st.tuples(st.just("leave"), targets, st.booleans()),
    st.tuples(st.just("remove"), targets),
)
# Most steps add load, so that queues grow; a few change targets or limits.
steps = st.lists(
    st.one_of(
        st.tuples(st.just("ask"), attempts),
        st.tuples(st.just("burst"), attempts, st.integers(8, 40)),
        st.tuples(st.just("burst"), attempts, st.integers(8, 40)),
        st.tuples(st.just("release"), attempts, classes, st.integers(-1, 6)),
        st.tuples(st.just("finish"), st.integers(0, 6), st.integers(-1, 6)),
        st.tuples(st.just("finish"), st.integers(0, 6), st.integers(-1, 6)),
        st.tuples(st.just("work"), st.integers(0, 6), st.integers(1, 4)),
        st.tuples(st.just("work"), st.integers(0, 6), st.integers(1, 4)),
        st.tuples(st.just("cancel"), attempts),
        st.tuples(st.just("wait"), st.sampled_from([0.01, 0.05, 0.2, 1.0, 7.0])),
        st.tuples(st.just("change"), changes),
    ),
    max_size=40,
)
broker_histories = st.tuples(
    st.lists(requests, min_size=ATTEMPT_COUNT, max_size=ATTEMPT_COUNT),
    st.lists(st.sampled_from([1, 1, 2, 3]), min_size=3, max_size=3),
    steps,
)


@pytest.fixture(scope="module")
def clock():
    # Freezing the clock is slow, so it is done once and not for each history.
    with freezegun.freeze_time("2026-01-01") as frozen:
        yield frozen


@dataclass
class BrokerRun:
    """One broker under a history, with the test's own record of its answers."""

    fields_by_id: dict
    target_by_name: dict
    health: FakeHealth = field(default_factory=FakeHealth)
    present: dict = field(default_factory=dict)
    answer_by_id: dict = field(default_factory=dict)
    ended: set = field(default_factory=set)
    held_by_id: dict = field(default_factory=dict)
    asked_at_by_id: dict = field(default_factory=dict)

    def start(self, make):
        self.present = dict(self.target_by_name)
        self.broker = make(self.health, tuple(self.present.values()))

    def expand(self, step):
        """Expand a step into steps of one message each."""
        match step:
            case ("burst", first, count):
                numbers = range(first, min(first + count, ATTEMPT_COUNT + 1))
                return [("ask", attempt_id) for attempt_id in numbers]
            case ("finish", index, load):
                held = sorted(self.held_by_id)
                if not held:
                    return []
                attempt_id = held[index % len(held)]
                release = ("release", attempt_id, OutcomeClass.OK, load)
                return [("wait", 0.05), release]
            case ("work", index, count):
                held = sorted(self.held_by_id)
                done = [held[(index + i) % len(held)] for i in range(count) if held]
                releases = [("release", number, OutcomeClass.OK, -1) for number in done]
                return [("wait", 0.2), *releases]
            case ("change", change):
                return [change]
        return [step]

    def apply_step(self, clock, step, *, with_load):
        """Apply a step and return the final answers that were sent."""
        sent = self.send_step(clock, step, with_load=with_load)
        answers = []
        for item in sent:
            if not isinstance(getattr(item, "message", None), SlotWaiting):
                answers.append(item)
                continue
            # SlotWaiting answers only the request just sent, before any final answer.
            assert step == ("ask", item.message.attempt_id)
            assert item.message.attempt_id not in self.answer_by_id
        return answers

    def send_step(self, clock, step, *, with_load):
        match step:
            case ("ask", attempt_id):
                # A request is never repeated after the attempt cache may have expired.
                asked_at = self.asked_at_by_id.setdefault(attempt_id, time.monotonic())
                if time.monotonic() - asked_at > ATTEMPT_CACHE_SECONDS - BUCKET_SECONDS:
                    return []
                request = make_request(attempt_id, **self.fields_by_id[attempt_id])
                return self.broker.handle("entry", request)
            case ("release", attempt_id, outcome_class, load):
                answer = self.answer_by_id.get(attempt_id)
                if not isinstance(answer, SlotGrant):
                    return []
                load = load if with_load else -1
                self.end(attempt_id)
                release = make_release(attempt_id, answer.target, outcome_class, load)
                return self.broker.handle("entry", release)
            case ("cancel", attempt_id):
                if attempt_id not in self.asked_at_by_id:
                    return []
                self.end(attempt_id)
                return self.broker.handle("entry", make_cancel(attempt_id))
            case ("wait", seconds):
                clock.tick(seconds)
                return self.broker.advance()
            case ("advance",):
                return self.broker.advance()
            case ("limit", name, slots, trial):
                self.health.set_limit(name, slots, trial=trial)
                return []
            case ("leave", name, leaving):
                target = self.target_by_name[name]
                self.present[name] = replace(target, leaving=leaving)
            case ("remove", name):
                self.present.pop(name, None)
        ordered = tuple(self.present[name] for name in sorted(self.present))
        return self.broker.set_targets(ordered)

    def end(self, attempt_id):
        self.ended.add(attempt_id)
        self.held_by_id.pop(attempt_id, None)

    def list_unanswered(self):
        return [
            attempt_id
            for attempt_id in self.asked_at_by_id
            if attempt_id not in self.answer_by_id and attempt_id not in self.ended
        ]

    def record_answers(self, outgoing):
        """Record the answers without checking them."""
        for message in (item.message for item in outgoing):
            self.answer_by_id[message.attempt_id] = message
            if isinstance(message, SlotGrant) and message.attempt_id not in self.ended:
                self.held_by_id[message.attempt_id] = (message.target, None)

    def check_invariants(self, outgoing):
        """Check the invariants for the answers that were sent."""
        now = time.monotonic()
        for attempt_id, (_, lease_end) in list(self.held_by_id.items()):
            if lease_end <= now:
                del self.held_by_id[attempt_id]
        for message in (item.message for item in outgoing):
            is_new = message.attempt_id not in self.answer_by_id
            first_answer = self.answer_by_id.setdefault(message.attempt_id, message)
            assert first_answer == message, "a repeated answer differs"
            if is_new and isinstance(message, SlotGrant):
                self.check_grant(message, now)
        for attempt_id in self.list_unanswered():
            fields = self.fields_by_id[attempt_id]
            deadline = self.asked_at_by_id[attempt_id] + fields["deadline_seconds"]
            assert now < deadline, "no final answer by the deadline"

    def check_grant(self, grant, now):
        limit = self.health.limit_by_target[grant.target]
        assert not self.present[grant.target].leaving
        lease_end = now + grant.lease_seconds
        self.held_by_id[grant.attempt_id] = (grant.target, lease_end)
        held = [name for name, _ in self.held_by_id.values() if name == grant.target]
        assert len(held) <= (1 if limit.trial else limit.slots)
        fields = self.fields_by_id[grant.attempt_id]
        assert grant.target not in fields["excluded"]
        assert not limit.trial or (fields["idempotent"] and not fields["is_retry"])
        for attempt_id in self.list_unanswered():
            other = self.fields_by_id[attempt_id]
            if limit.trial or grant.target in other["excluded"]:
                continue
            assert other["worth"] <= fields["worth"], (
                "a waiting request of higher worth was passed over"
            )


def start_run(history, make):
    fields, slots, _ = history
    target_by_name = {
        name: make_target(name, slots=count)
        for name, count in zip(TARGET_NAMES, slots, strict=True)
    }
    fields_by_id = dict(enumerate(fields, start=1))
    run = BrokerRun(fields_by_id=fields_by_id, target_by_name=target_by_name)
    run.start(make)
    return run


def make_broker(health, target_infos):
    return Broker(key=KEY, health=health, targets=target_infos)


def test_broker_keeps_invariants_over_random_histories(clock):
    @settings(max_examples=300)
    @given(broker_histories)
    def check(history):
        run = start_run(history, make_broker)
        for step in history[2]:
            for single in run.expand(step):
                outgoing = run.apply_step(clock, single, with_load=True)
                run.check_invariants(outgoing)

    check()


class ReferenceBroker:
    """Reference implementation that recomputes everything from a list of attempts."""

    def __init__(self, health, target_infos):
        self.health = health
        self.attempts = []
        self.samples = []
        self.backoff_until = {}
        self.external_usage_by_target = {}
        self.set_targets(target_infos)

    def set_targets(self, target_infos):
        self.health.set_targets(target_infos)
        self.target_infos = target_infos
        return self.serve_waiting()

    def handle(self, sender, message):
        if type(message).__name__ == "SlotRequest":
            return self.handle_request(message)
        found = [a for a in self.attempts if a["id"] == message.attempt_id]
        if any(a["ended"] for a in found):
            return []
        for attempt in found:
            if type(message).__name__ == "SlotRelease":
                self.apply_outcome(attempt, message.outcome)
            attempt["ended"] = True
        return self.serve_waiting()

    def advance(self):
        bucket = int(time.monotonic() / BUCKET_SECONDS)
        for attempt in self.list_held():
            reclaim_at = attempt["deadline"] + LEASE_GRACE_SECONDS
            if int(reclaim_at / BUCKET_SECONDS) + 1 <= bucket:
                attempt["reclaimed"] = True
        return self.serve_waiting()

    def apply_outcome(self, attempt, outcome):
        now = time.monotonic()
        name = outcome.target
        kind = outcome.outcome_class
        is_sample = kind in (OutcomeClass.OK, OutcomeClass.TIMED_OUT)
        if is_sample and attempt in self.list_held():
            seconds = now - attempt["granted_at"]
            self.samples.append((attempt["request"].request_kind, seconds))
        if name not in [target.name for target in self.target_infos]:
            return
        if kind is OutcomeClass.DRAINING:
            self.backoff_until[name] = now + DRAINING_BACKOFF_SECONDS
        if kind is OutcomeClass.STARTING:
            until = max(self.backoff_until.get(name, 0), now + STARTING_BACKOFF_SECONDS)
            self.backoff_until[name] = until
        if kind is OutcomeClass.SHED:
            slots = next(t.slots for t in self.target_infos if t.name == name)
            attempt["ended"] = True
            external_usage = max(0, slots - len(self.list_held(name)))
            self.external_usage_by_target[name] = (
                now + SHED_BACKOFF_SECONDS,
                external_usage,
            )

    def list_held(self, name=None):
        return [
            a
            for a in self.attempts
            if a["target"] and not a["ended"] and not a["reclaimed"]
            if name in (None, a["target"])
        ]

    def list_waiting(self):
        waiting = [
            a
            for a in self.attempts
            if not a["target"] and not a["code"] and not a["ended"]
        ]
        return sorted(
            waiting, key=lambda a: (-a["request"].worth, a["deadline"], a["number"])
        )

    def mean(self, kind=None, deviations=0.0):
        chosen = [s for k, s in self.samples if kind in (None, k)]
        if not chosen:
            return self.mean(None, deviations) if self.samples else 0.0
        mean = chosen[0]
        deviation = 0.0
        for seconds in chosen:
            error = seconds - mean
            deviation += (abs(error) - deviation) * SAMPLE_WEIGHT
            mean += error * SAMPLE_WEIGHT
        return mean + deviations * deviation

    def list_usable(self):
        now = time.monotonic()
        for target in self.target_infos:
            if target.leaving or now < self.backoff_until.get(target.name, 0):
                continue
            limit = self.health.find_limits()[target.name]
            slots = min(1, limit.slots) if limit.trial else limit.slots
            yield target, limit, slots

    def capacity(self):
        return sum(slots for _, limit, slots in self.list_usable() if not limit.trial)

    def find_target(self, request):
        now = time.monotonic()
        ranked = []
        for target, limit, slots in self.list_usable():
            until, external_usage = self.external_usage_by_target.get(
                target.name, (0, 0)
            )
            free = slots - len(self.list_held(target.name))
            if now < until:
                free -= external_usage
            if free <= 0 or target.name in request.excluded:
                continue
            if limit.trial and (request.is_retry or not request.idempotent):
                continue
            is_deprioritized = not request.idempotent and limit.slots < target.slots
            turn = (self.target_infos.index(target) + request.attempt_id) % len(
                self.target_infos
            )
            rank = (not limit.trial, is_deprioritized, -free / limit.slots, turn)
            ranked.append((rank, target.name))
        return min(ranked)[1] if ranked else None

    def has_eligible_target(self, request):
        return any(
            slots > 0 and not limit.trial and target.name not in request.excluded
            for target, limit, slots in self.list_usable()
        )

    def would_miss_deadline(self, attempt, position):
        wait = (position + 1) * (self.mean() / max(1, self.capacity()))
        need = self.mean(attempt["request"].request_kind, UPPER_BOUND_DEVIATIONS)
        return time.monotonic() + wait + need >= attempt["deadline"]

    def serve_waiting(self):
        """Grant free slots to waiting attempts, then refuse unservable ones."""
        sent = []
        for attempt in self.list_waiting():
            if time.monotonic() >= attempt["deadline"]:
                sent.append(self.refuse(attempt))
                continue
            target = self.find_target(attempt["request"])
            if target:
                sent.append(self.grant(attempt, target))
        return sent + self.refuse_unservable()

    def refuse_unservable(self):
        sent = []
        position = 0
        for attempt in self.list_waiting():
            usable = self.has_eligible_target(attempt["request"])
            if usable and not self.would_miss_deadline(attempt, position):
                position += 1
                continue
            sent.append(self.refuse(attempt))
        return sent

    def grant(self, attempt, target):
        attempt["target"] = target
        attempt["granted_at"] = time.monotonic()
        return (attempt["id"], target)

    def refuse(self, attempt):
        attempt["code"] = True
        return (attempt["id"], "refused")

    def handle_request(self, request):
        for attempt in self.attempts:
            if attempt["id"] != request.attempt_id:
                continue
            if attempt["target"]:
                return [(attempt["id"], attempt["target"])]
            if attempt["code"] or attempt["ended"]:
                return [(attempt["id"], "refused")]
            return []
        sent = self.serve_waiting()
        now = time.monotonic()
        attempt = {
            "id": request.attempt_id,
            "number": len(self.attempts),
            "request": request,
            "deadline": now + request.deadline_seconds,
            "target": None,
            "code": None,
            "ended": False,
            "reclaimed": False,
        }
        self.attempts.append(attempt)
        target = self.find_target(request)
        if target:
            return [*sent, self.grant(attempt, target)]
        if not self.has_eligible_target(request):
            return [*sent, self.refuse(attempt)]
        waiting = self.list_waiting()
        if self.would_miss_deadline(attempt, waiting.index(attempt)):
            return [*sent, self.refuse(attempt)]
        if len(waiting) > max(
            MINIMUM_QUEUE_LIMIT, MAXIMUM_QUEUED_PER_SLOT * self.capacity()
        ):
            others = [a for a in waiting if a is not attempt]
            last = others[-1]
            if last["request"].worth >= request.worth:
                return [*sent, self.refuse(attempt)]
            sent.append(self.refuse(last))
        return sent + self.refuse_unservable()


def list_decisions(outgoing):
    """Return the answers as sorted pairs of attempt ID and target or "refused"."""
    pairs = []
    for item in outgoing:
        if not isinstance(item, tuple):
            message = item.message
            target = getattr(message, "target", "refused")
            item = (message.attempt_id, target)
        pairs.append(item)
    return sorted(pairs)


def test_broker_answers_like_reference_broker(clock):
    @settings(max_examples=300)
    @given(broker_histories)
    def check(history):
        real = start_run(history, make_broker)
        reference = start_run(history, ReferenceBroker)
        clock.tick(1.0)
        for step in history[2]:
            for single in real.expand(step):
                # Both brokers see the same times; only the first run moves the clock.
                sent = real.apply_step(clock, single, with_load=False)
                same = ("advance",) if single[0] == "wait" else single
                expected = reference.apply_step(clock, same, with_load=False)
                assert list_decisions(sent) == list_decisions(expected), single
                real.record_answers(sent)
                reference.record_answers(sent)

    check()


def test_refusal_codes_state_that_attempt_did_not_run():
    codes = [
        result_codes.NO_CAPACITY,
        result_codes.OVERLOADED,
        result_codes.DEADLINE_TOO_SHORT,
        result_codes.LINK_BUDGET_SPENT,
        result_codes.ATTEMPT_CANCELLED,
    ]
    assert {code.ran for code in codes} == {result_codes.Ran.NOT_RUN}
