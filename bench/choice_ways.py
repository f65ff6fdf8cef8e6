"""Ways to choose a target, run in the model of ``choice_model``."""

import random

from sortedcontainers import SortedKeyList

from bench.choice_model import MAXIMUM_ATTEMPTS, SEED, Arrival, Model
from citronspan.core.broker import Broker
from citronspan.core.broker_messages import (
    SlotCancel,
    SlotGrant,
    SlotRefusal,
    SlotRelease,
    SlotRequest,
)
from citronspan.core.health import TargetLimit
from citronspan.core.local_choice import choose_locally
from citronspan.core.outcomes import Outcome, OutcomeClass
from citronspan.core.shards import ShardKey

KEY = ShardKey(service="service", region="svea", number=0)
LOAD_AGE_SECONDS = 0.25
ADVANCE_SECONDS = 0.05
ASK_AGAIN_SECONDS = 0.05


class FixedHealth:
    """Detection that takes every target as healthy."""

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

    def record_trial(self, target):
        pass


class BlindChoice:
    """Each entry alone: at random, or the better of two by old load."""

    def __init__(self, *, model: Model, by_load: bool):
        self.model = model
        self.by_load = by_load
        self.draw = random.Random(SEED + 1)
        self.load_by_target = {}
        self.in_flight_by_entry = {
            entry: dict.fromkeys(model.in_use_by_target, 0)
            for entry in range(model.case.entries)
        }
        if by_load:
            self.refresh()

    def refresh(self):
        self.load_by_target = dict(self.model.in_use_by_target)
        if self.model.is_arriving:
            self.model.at(LOAD_AGE_SECONDS, self.refresh)

    def start(self, arrival: Arrival):
        self.attempt(arrival, set())

    def attempt(self, arrival, tried):
        if len(tried) == MAXIMUM_ATTEMPTS:
            return
        own = self.in_flight_by_entry[arrival.entry]
        if self.by_load:
            target = choose_locally(
                self.model.targets,
                ejected=frozenset(),
                excluded=tried,
                in_flight_by_target=own,
                load_by_target=self.load_by_target,
                draw=self.draw,
            )
        else:
            usable = [t for t in self.model.targets if t.name not in tried]
            target = self.draw.choice(usable)
        if target is None:
            return
        if not self.model.try_target(target.name):
            self.attempt(arrival, tried | {target.name})
            return
        own[target.name] += 1
        self.model.at(arrival.service_seconds, self.end, arrival, target.name)

    def end(self, arrival, name):
        self.in_flight_by_entry[arrival.entry][name] -= 1
        self.model.leave_target(name)
        self.model.finish(arrival)


class ExactChoice:
    """One view of all slots without delay, with or without waiting."""

    def __init__(self, *, model: Model, waits: bool):
        self.model = model
        self.waits = waits
        self.queue = SortedKeyList(key=lambda a: (-a.worth, a.at, a.number))

    def start(self, arrival: Arrival):
        if not self.dispatch(arrival) and self.waits:
            self.queue.add(arrival)

    def dispatch(self, arrival):
        in_use = self.model.in_use_by_target
        name = min(in_use, key=in_use.get)
        if in_use[name] >= self.model.case.slots:
            return False
        self.model.try_target(name)
        self.model.at(arrival.service_seconds, self.end, arrival, name)
        return True

    def end(self, arrival, name):
        self.model.leave_target(name)
        self.model.finish(arrival)
        while self.queue:
            waiting = self.queue.pop(0)
            if self.model.now >= waiting.at + self.model.case.deadline_seconds:
                continue
            self.dispatch(waiting)
            return


class BrokerChoice:
    """The broker of the product, with the delays of messages.

    Args:
        model: The model.
        delays: Smallest and largest one-way delay of a message in seconds.
        replace_seconds: Time after which the broker is replaced, 0 for never.
        hands_over: Whether the old broker tells the new one what it knows.
    """

    def __init__(self, *, model, delays, replace_seconds=0.0, hands_over=False):
        self.model = model
        self.draw = random.Random(SEED + 2)
        self.hands_over = hands_over
        self.replace_seconds = replace_seconds
        self.delay_by_entry = [
            self.draw.uniform(*delays) for _ in range(model.case.entries)
        ]
        # The broker is itself one of the entries.
        self.delay_by_entry[0] = 0.0
        self.dispatch_delay = sum(delays) / 2
        self.arrival_by_attempt = {}
        self.tried_by_request = {}
        self.sheds_after = []
        self.broker = self.make_broker()
        self.next_attempt = 0
        self.model.at(ADVANCE_SECONDS, self.advance)
        if replace_seconds:
            self.model.at(replace_seconds, self.replace)

    def make_broker(self):
        return Broker(key=KEY, health=FixedHealth(), targets=self.model.targets)

    def is_running(self):
        return self.model.is_arriving or bool(self.arrival_by_attempt)

    def advance(self):
        self.deliver(self.broker.advance())
        if self.is_running():
            self.model.at(ADVANCE_SECONDS, self.advance)

    def replace(self):
        old = self.broker
        self.broker = self.make_broker()
        waiting = [item for item in self.arrival_by_attempt.items() if item[1][1] == ""]
        if self.hands_over:
            handover = old.hand_over("new")[0].message
            self.broker.handle("old", handover)
        pause = 2 * self.dispatch_delay if self.hands_over else ASK_AGAIN_SECONDS
        for attempt_id, (arrival, _) in waiting:
            self.model.at(pause, self.ask, attempt_id, arrival)
        if self.is_running():
            self.model.at(self.replace_seconds, self.replace)

    def start(self, arrival: Arrival):
        self.begin_attempt(arrival)

    def begin_attempt(self, arrival):
        self.next_attempt += 1
        attempt_id = self.next_attempt * 0x9E3779B97F4A7C15 % (1 << 63)
        self.arrival_by_attempt[attempt_id] = (arrival, "")
        self.ask(attempt_id, arrival)

    def ask(self, attempt_id, arrival):
        if self.arrival_by_attempt.get(attempt_id) != (arrival, ""):
            return
        left = arrival.at + self.model.case.deadline_seconds - self.model.now
        tried = self.tried_by_request.get(arrival.number, ())
        request = SlotRequest(
            attempt_id=attempt_id,
            service=KEY.service,
            region=KEY.region,
            shard=0,
            deadline_seconds=left,
            worth=arrival.worth,
            idempotent=arrival.idempotent,
            is_retry=bool(tried),
            excluded=tried,
            request_kind="order" if arrival.worth > 1 else "browse",
        )
        self.send(arrival.entry, request)

    def send(self, entry, message):
        self.model.messages += 1
        delay = self.delay_by_entry[entry]
        self.model.at(delay, self.reach_broker, entry, message)

    def reach_broker(self, entry, message):
        self.deliver(self.broker.handle(str(entry), message))

    def deliver(self, outgoing):
        for item in outgoing:
            self.model.messages += 1
            if not isinstance(item.message, SlotGrant | SlotRefusal):
                continue
            delay = self.delay_by_entry[int(item.to)]
            self.model.at(delay, self.take_answer, item.message)

    def take_answer(self, message):
        arrival, target = self.arrival_by_attempt.get(message.attempt_id, (None, ""))
        if arrival is None or target:
            return
        if isinstance(message, SlotRefusal):
            del self.arrival_by_attempt[message.attempt_id]
            self.model.refusal_delays.append(self.model.now - arrival.at)
            return
        if self.model.now > arrival.at + self.model.case.deadline_seconds:
            del self.arrival_by_attempt[message.attempt_id]
            cancel = SlotCancel(
                attempt_id=message.attempt_id,
                service=KEY.service,
                region=KEY.region,
                shard=0,
            )
            self.send(arrival.entry, cancel)
            return
        self.arrival_by_attempt[message.attempt_id] = (arrival, message.target)
        self.model.at(self.dispatch_delay, self.reach_target, message, arrival)

    def reach_target(self, grant, arrival):
        if self.model.try_target(grant.target):
            self.model.at(arrival.service_seconds, self.leave, grant, arrival)
            return
        load = self.model.case.slots
        self.model.at(self.dispatch_delay, self.end_shed, grant, arrival, load)

    def leave(self, grant, arrival):
        load = self.model.in_use_by_target[grant.target]
        self.model.leave_target(grant.target)
        self.model.at(self.dispatch_delay, self.end, grant, arrival, load)

    def end(self, grant, arrival, load):
        self.model.finish(arrival)
        self.release(grant, arrival, OutcomeClass.OK, load)

    def end_shed(self, grant, arrival, load):
        self.release(grant, arrival, OutcomeClass.SHED, load)
        tried = (*self.tried_by_request.get(arrival.number, ()), grant.target)
        self.tried_by_request[arrival.number] = tried
        if len(tried) < MAXIMUM_ATTEMPTS:
            self.begin_attempt(arrival)

    def release(self, grant, arrival, outcome_class, load):
        del self.arrival_by_attempt[grant.attempt_id]
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
        self.send(arrival.entry, release)
