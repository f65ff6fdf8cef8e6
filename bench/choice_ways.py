"""Target selection strategies, run in the model of ``choice_model``."""

import random

from sortedcontainers import SortedKeyList

from bench.choice_model import MAXIMUM_ATTEMPTS, SEED, Arrival, Model
from citronspan.core.brokering.broker import Broker
from citronspan.core.brokering.broker_messages import (
    SlotCancel,
    SlotGrant,
    SlotRefusal,
    SlotRelease,
    SlotRequest,
)
from citronspan.core.brokering.local_choice import choose_target_without_broker
from citronspan.core.brokering.shards import ShardKey
from citronspan.core.detection.health import TargetLimit
from citronspan.core.outcomes import Outcome, OutcomeClass

KEY = ShardKey(service="service", region="svea", number=0)
LOAD_REFRESH_SECONDS = 0.25
ADVANCE_INTERVAL_SECONDS = 0.05
SLOT_RETRY_SECONDS = 0.05


class FixedHealth:
    """Health detector that reports every target as healthy, with all its slots."""

    def __init__(self):
        self.limit_by_target = {}

    def set_targets(self, targets):
        self.limit_by_target = {
            target.name: TargetLimit(target=target.name, slots=target.slots)
            for target in targets
        }

    def observe(self, outcome):
        pass

    def find_limits(self):
        return self.limit_by_target

    def find_overdue_seconds(self, kind):
        return float("inf")

    def find_attempt_seconds(self, target, kind, *, goal_seconds, deadline_seconds):
        return 0.0

    def record_trial(self, target):
        pass


class LocalStrategy:
    """Every entry chooses alone, without a broker.

    Args:
        model: The model.
        two_choices: Whether to take the better of two targets by an earlier reading of
            the load, rather than a random target.
    """

    def __init__(self, *, model: Model, two_choices: bool):
        self.model = model
        self.two_choices = two_choices
        self.rng = random.Random(SEED + 1)
        self.load_by_target = {}
        self.in_flight_by_entry = {
            entry: dict.fromkeys(model.used_slots_by_target, 0)
            for entry in range(model.case.entries)
        }
        if two_choices:
            self.refresh_load()

    def refresh_load(self):
        self.load_by_target = dict(self.model.used_slots_by_target)
        if self.model.is_arriving:
            self.model.call_later(LOAD_REFRESH_SECONDS, self.refresh_load)

    def start(self, arrival: Arrival):
        self.attempt(arrival, set())

    def attempt(self, arrival, tried):
        if len(tried) == MAXIMUM_ATTEMPTS:
            return
        own = self.in_flight_by_entry[arrival.entry]
        if self.two_choices:
            target = choose_target_without_broker(
                self.model.targets,
                ejected=frozenset(),
                excluded=tried,
                in_flight_by_target=own,
                load_by_target=self.load_by_target,
                draw=self.rng,
            )
        else:
            usable = [t for t in self.model.targets if t.name not in tried]
            target = self.rng.choice(usable)
        if target is None:
            return
        if not self.model.try_acquire_slot(target.name):
            self.attempt(arrival, tried | {target.name})
            return
        own[target.name] += 1
        self.model.call_later(
            arrival.service_seconds, self.handle_answer, arrival, target.name
        )

    def handle_answer(self, arrival, name):
        self.in_flight_by_entry[arrival.entry][name] -= 1
        self.model.release_slot(name)
        self.model.record_answer(arrival)


class IdealStrategy:
    """One chooser that knows the use of all slots without delay.

    Args:
        model: The model.
        has_queue: Whether requests wait for a slot if none is free.
    """

    def __init__(self, *, model: Model, has_queue: bool):
        self.model = model
        self.has_queue = has_queue
        self.queue = SortedKeyList(key=lambda a: (-a.worth, a.arrived_at, a.number))

    def start(self, arrival: Arrival):
        if not self.try_dispatch(arrival) and self.has_queue:
            self.queue.add(arrival)

    def try_dispatch(self, arrival):
        in_use = self.model.used_slots_by_target
        name = min(in_use, key=in_use.get)
        if in_use[name] >= self.model.case.slots:
            return False
        self.model.try_acquire_slot(name)
        self.model.call_later(
            arrival.service_seconds, self.handle_answer, arrival, name
        )
        return True

    def handle_answer(self, arrival, name):
        self.model.release_slot(name)
        self.model.record_answer(arrival)
        while self.queue:
            waiting = self.queue.pop(0)
            if self.model.now >= waiting.arrived_at + self.model.case.deadline_seconds:
                continue
            self.try_dispatch(waiting)
            return


class BrokerStrategy:
    """The product's broker, with message delays.

    Args:
        model: The model.
        delays: Minimum and maximum one-way delay of a message in seconds.
        replace_seconds: Interval at which the broker is replaced, 0 for never.
        hands_over: Whether the old broker sends its state to the new one.
    """

    def __init__(self, *, model, delays, replace_seconds=0.0, hands_over=False):
        self.model = model
        self.rng = random.Random(SEED + 2)
        self.hands_over = hands_over
        self.replace_seconds = replace_seconds
        self.delay_by_entry = [
            self.rng.uniform(*delays) for _ in range(model.case.entries)
        ]
        # The broker is one of the entries: entry 0.
        self.delay_by_entry[0] = 0.0
        self.dispatch_delay = sum(delays) / 2
        self.arrival_and_target_by_attempt = {}
        self.tried_by_request = {}
        self.sheds_after = []
        self.broker = self.make_broker()
        self.next_attempt = 0
        self.model.call_later(ADVANCE_INTERVAL_SECONDS, self.advance)
        if replace_seconds:
            self.model.call_later(replace_seconds, self.replace_broker)

    def make_broker(self):
        return Broker(key=KEY, health=FixedHealth(), targets=self.model.targets)

    def is_running(self):
        return self.model.is_arriving or bool(self.arrival_and_target_by_attempt)

    def advance(self):
        self.deliver_to_entries(self.broker.advance())
        if self.is_running():
            self.model.call_later(ADVANCE_INTERVAL_SECONDS, self.advance)

    def replace_broker(self):
        old = self.broker
        self.broker = self.make_broker()
        waiting = [
            item
            for item in self.arrival_and_target_by_attempt.items()
            if item[1][1] == ""
        ]
        if self.hands_over:
            handover = old.hand_over("new")[0].message
            self.broker.handle("old", handover)
        retry_delay = 2 * self.dispatch_delay if self.hands_over else SLOT_RETRY_SECONDS
        for attempt_id, (arrival, _) in waiting:
            self.model.call_later(retry_delay, self.request_slot, attempt_id, arrival)
        if self.is_running():
            self.model.call_later(self.replace_seconds, self.replace_broker)

    def start(self, arrival: Arrival):
        self.begin_attempt(arrival)

    def begin_attempt(self, arrival):
        self.next_attempt += 1
        attempt_id = self.next_attempt * 0x9E3779B97F4A7C15 % (1 << 63)
        self.arrival_and_target_by_attempt[attempt_id] = (arrival, "")
        self.request_slot(attempt_id, arrival)

    def request_slot(self, attempt_id, arrival):
        if self.arrival_and_target_by_attempt.get(attempt_id) != (arrival, ""):
            return
        remaining_seconds = (
            arrival.arrived_at + self.model.case.deadline_seconds - self.model.now
        )
        tried = self.tried_by_request.get(arrival.number, ())
        request = SlotRequest(
            attempt_id=attempt_id,
            service=KEY.service,
            region=KEY.region,
            shard=0,
            deadline_seconds=remaining_seconds,
            worth=arrival.worth,
            idempotent=arrival.idempotent,
            is_retry=bool(tried),
            excluded=tried,
            request_kind="order" if arrival.worth > 1 else "browse",
        )
        self.send_to_broker(arrival.entry, request)

    def send_to_broker(self, entry, message):
        self.model.messages += 1
        delay = self.delay_by_entry[entry]
        self.model.call_later(delay, self.deliver_to_broker, entry, message)

    def deliver_to_broker(self, entry, message):
        self.deliver_to_entries(self.broker.handle(str(entry), message))

    def deliver_to_entries(self, outgoing):
        for item in outgoing:
            self.model.messages += 1
            if not isinstance(item.message, SlotGrant | SlotRefusal):
                continue
            delay = self.delay_by_entry[int(item.to)]
            self.model.call_later(delay, self.handle_broker_answer, item.message)

    def handle_broker_answer(self, message):
        arrival, target = self.arrival_and_target_by_attempt.get(
            message.attempt_id, (None, "")
        )
        if arrival is None or target:
            return
        if isinstance(message, SlotRefusal):
            del self.arrival_and_target_by_attempt[message.attempt_id]
            self.model.refusal_delays.append(self.model.now - arrival.arrived_at)
            return
        if self.model.now > arrival.arrived_at + self.model.case.deadline_seconds:
            del self.arrival_and_target_by_attempt[message.attempt_id]
            cancel = SlotCancel(
                attempt_id=message.attempt_id,
                service=KEY.service,
                region=KEY.region,
                shard=0,
            )
            self.send_to_broker(arrival.entry, cancel)
            return
        self.arrival_and_target_by_attempt[message.attempt_id] = (
            arrival,
            message.target,
        )
        self.model.call_later(
            self.dispatch_delay, self.arrive_at_target, message, arrival
        )

    def arrive_at_target(self, grant, arrival):
        if self.model.try_acquire_slot(grant.target):
            self.model.call_later(
                arrival.service_seconds, self.complete_at_target, grant, arrival
            )
            return
        load = self.model.case.slots
        self.model.call_later(
            self.dispatch_delay, self.handle_shed, grant, arrival, load
        )

    def complete_at_target(self, grant, arrival):
        load = self.model.used_slots_by_target[grant.target]
        self.model.release_slot(grant.target)
        self.model.call_later(
            self.dispatch_delay, self.handle_answer, grant, arrival, load
        )

    def handle_answer(self, grant, arrival, load):
        self.model.record_answer(arrival)
        self.release(grant, arrival, OutcomeClass.OK, load)

    def handle_shed(self, grant, arrival, load):
        self.release(grant, arrival, OutcomeClass.SHED, load)
        tried = (*self.tried_by_request.get(arrival.number, ()), grant.target)
        self.tried_by_request[arrival.number] = tried
        if len(tried) < MAXIMUM_ATTEMPTS:
            self.begin_attempt(arrival)

    def release(self, grant, arrival, outcome_class, load):
        del self.arrival_and_target_by_attempt[grant.attempt_id]
        outcome = Outcome(
            target=grant.target,
            outcome_class=outcome_class,
            latency_seconds=arrival.service_seconds + 2 * self.dispatch_delay,
            deadline_seconds=self.model.case.deadline_seconds,
            load=load,
        )
        release = SlotRelease(
            attempt_id=grant.attempt_id,
            service=KEY.service,
            region=KEY.region,
            shard=0,
            outcome=outcome,
        )
        self.send_to_broker(arrival.entry, release)
