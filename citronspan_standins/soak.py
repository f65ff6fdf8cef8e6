"""A soak: real host processes under seeded series of planned and unplanned events.

Callers keep connections open until the process is gone, and a checker of promises
judges what they and the targets saw. By hand, with the seeds that follow the first::

    python -m citronspan_standins.soak --seeds 10 --seconds 20 --first 1
"""

import argparse
import json
import random
import signal
import sys
import tempfile
import threading
import time
from collections import Counter
from dataclasses import dataclass
from pathlib import Path

from citronspan_standins.http_service import Service
from citronspan_standins.promises import (
    History,
    SentRequest,
    Violation,
    find_violations,
)
from citronspan_standins.soak_callers import Caller, LoadPlan
from citronspan_standins.soak_fleet import (
    CUT_OFF_PROGRAM,
    FIRST_TARGET_PORT,
    GRACE_SECONDS,
    HOST_PROGRAM,
    STORE_PORT,
    SoakHost,
    SoakTarget,
    make_network,
)
from citronspan_standins.soak_keys import KeyBook
from citronspan_standins.store_service import (
    StoreService,
    StoreSwitches,
    wait_until,
)

START_SECONDS = 30.0
SETTLE_SECONDS = 1.5
ROUTE_SECONDS = 3.0
LEAVING_SECONDS = 4.5
"""Time for which a target serves after it has said that it drains."""

RESTART_SECONDS = 1.0
CALM_SECONDS = (1.0, 6.0)
CUT_SECONDS = (1.0, 6.0)
"""Ranges of the times between the cuts of hosts from targets, and of the cuts."""

MAXIMUM_HOSTS = 4


@dataclass(frozen=True, kw_only=True)
class SoakPlan:
    """What is done to a fleet.

    Attributes:
        hosts: Number of hosts, at most ``MAXIMUM_HOSTS``.
        targets: Number of targets.
        slots: Slots of each target; few of them make requests wait.
        has_cuts: Whether hosts are cut off from targets, and one is in a region
            without targets.
        seconds: Time in which events begin.
        load: What callers send.
    """

    hosts: int = 3
    targets: int = 4
    slots: int = 8
    has_cuts: bool = False
    seconds: float = 20.0
    load: LoadPlan = LoadPlan()


def draw_plan(seed: int, seconds: float, late_seconds: float) -> SoakPlan:
    """Return the plan of a seed; every third one has scarce slots, or cuts."""
    draw = random.Random(f"plan-{seed}")
    return SoakPlan(
        hosts=draw.choice((2, 3, 3, 4)),
        targets=draw.choice((2, 4)),
        slots=draw.choice((1, 4, 8)),
        # A cut excuses much, so that most seeds have none.
        has_cuts=seed % 3 == 0,
        seconds=seconds,
        load=LoadPlan(late_seconds=late_seconds),
    )


@dataclass(frozen=True, kw_only=True)
class SoakResult:
    """What a soak showed.

    Attributes:
        violations: Broken promises.
        ends: Ends of processes that nobody asked for.
        count_by_end: Number of requests by status or by the way they had none.
        events: What was done, with the seconds since the start.
        folder: Settings and logs of the hosts.
    """

    violations: list[Violation]
    ends: list[str]
    count_by_end: dict[str, int]
    events: list[str]
    folder: Path


class Soak:
    """One soak with one seed."""

    def __init__(self, *, seed: int, plan: SoakPlan, folder: Path):
        """Create a soak.

        Args:
            seed: Seed of all choices.
            plan: What is done.
            folder: Folder for settings and logs.
        """
        self._draw = random.Random(f"events-{seed}")
        self._seed = seed
        self._plan = plan
        self._folder = folder
        self._network = make_network(seed)
        self._history = History(grace_seconds=GRACE_SECONDS)
        self._store = StoreService()
        self._targets: list[SoakTarget] = []
        self._target_count = 0
        self._version = 0
        self._events: list[str] = []
        self._started_at = time.monotonic()
        self._threads: list[threading.Thread] = []
        self._hosts = [
            SoakHost(
                number=number,
                network=self._network,
                folder=folder,
                history=self._history,
                data_centre="b" if plan.has_cuts and number == plan.hosts else "a",
                program=CUT_OFF_PROGRAM if plan.has_cuts else HOST_PROGRAM,
            )
            for number in range(1, min(plan.hosts, MAXIMUM_HOSTS) + 1)
        ]

    def run(self) -> SoakResult:
        """Run the soak and judge it."""
        service = Service(
            address=f"{self._network}.100:{STORE_PORT}",
            handler=self._store.handle,
            threads=16,
        )
        service.start()
        self._change_configuration()
        for _ in range(self._plan.targets):
            self._start_target()
        try:
            for host in self._hosts:
                host.start()
            for host in self._hosts:
                if not wait_until(host.is_ready, START_SECONDS):
                    raise RuntimeError(f"{host.name} does not become ready")
            time.sleep(SETTLE_SECONDS)
            self._play()
        finally:
            for host in self._hosts:
                host.end()
            for target in self._targets:
                target.die()
            service.stop()
        return self._judge()

    def _judge(self):
        ends = Counter(describe_end(request) for request in self._history.requests)
        return SoakResult(
            violations=find_violations(self._history),
            ends=[end for host in self._hosts for end in host.ends],
            count_by_end=dict(sorted(ends.items())),
            events=self._events,
            folder=self._folder,
        )

    def _play(self):
        self._started_at = time.monotonic()
        is_ended = threading.Event()
        keys = KeyBook(hosts=self._hosts)
        callers = [
            threading.Thread(
                target=Caller(
                    number=number,
                    seed=self._seed,
                    plan=self._plan.load,
                    hosts=self._hosts,
                    history=self._history,
                    is_ended=is_ended,
                    keys=keys,
                ).run
            )
            for number in range(self._plan.load.callers)
        ]
        for caller in callers:
            caller.start()
        if self._plan.has_cuts:
            self._start_thread(self._cut_hosts_off)
        while time.monotonic() < self._started_at + self._plan.seconds:
            self._do_something()
            time.sleep(self._draw.uniform(0.2, 2.0))
        for thread in self._threads:
            thread.join()
        is_ended.set()
        for caller in callers:
            caller.join()

    def _do_something(self):
        actions = (
            (5, self._stop_host),
            (2, self._hang_up_host),
            (1, self._freeze_host),
            (2, self._disturb_store),
            (2, self._drain_target),
            (1, self._kill_target),
            (2, self._change_configuration),
        )
        weights = [weight for weight, _ in actions]
        [(_, action)] = self._draw.choices(actions, weights)
        action()

    def _stop_host(self):
        running = [host for host in self._hosts if host.stopped_at is None]
        if len(running) < 2:
            return
        host = self._draw.choice(running)
        again = self._draw.choice((None, None, signal.SIGTERM, signal.SIGHUP))
        again_after_seconds = self._draw.uniform(0.0, 4.0)
        # Set here as well, so that no other event chooses it.
        host.stopped_at = time.monotonic()
        self._note(
            f"{host.name}: SIGTERM, then {again} after {again_after_seconds:.1f}"
        )
        self._start_thread(host.stop, again, again_after_seconds)

    def _hang_up_host(self):
        host = self._draw.choice(self._hosts)
        self._note(f"{host.name}: SIGHUP with changed settings")
        host.change_settings(self._draw.choice((2.0, 5.0)))

    def _freeze_host(self):
        running = [host for host in self._hosts if host.stopped_at is None]
        if not running:
            return
        host, seconds = self._draw.choice(running), self._draw.uniform(0.2, 2.5)
        self._note(f"{host.name}: frozen for {seconds:.1f} s")
        self._start_thread(host.freeze, seconds)

    def _cut_hosts_off(self):
        """Cut one host after the other off from all targets, beside other events."""
        draw = random.Random(f"cuts-{self._seed}")
        while True:
            time.sleep(draw.uniform(*CALM_SECONDS))
            if time.monotonic() > self._started_at + self._plan.seconds:
                return
            host, seconds = draw.choice(self._hosts), draw.uniform(*CUT_SECONDS)
            self._note(f"{host.name}: reaches no target for {seconds:.1f} s")
            host.cut_off(seconds)

    def _disturb_store(self):
        switches = self._draw.choice(
            (
                StoreSwitches(down=True),
                StoreSwitches(busy=True),
                StoreSwitches(delay_seconds=0.4),
            )
        )
        seconds = self._draw.uniform(0.5, 4.0)
        self._note(f"store: {switches} for {seconds:.1f} s")
        self._store.replace_switches(switches)
        timer = threading.Timer(
            seconds, self._store.replace_switches, (StoreSwitches(),)
        )
        timer.start()
        self._threads.append(timer)

    def _drain_target(self):
        target = self._targets.pop(self._draw.randrange(len(self._targets)))
        is_store_calm = self._store.switches == StoreSwitches()
        leaving_at = target.register(self._store, "draining")
        if is_store_calm:
            self._history.leaving_at_by_target[target.name] = leaving_at
        self._note(f"{target.name}: drains, store calm: {is_store_calm}")
        self._start_target()
        self._start_thread(self._end_target, target, LEAVING_SECONDS)

    def _kill_target(self):
        target = self._targets.pop(self._draw.randrange(len(self._targets)))
        self._note(f"{target.name}: dies")
        target.die()
        self._start_thread(self._end_target, target, RESTART_SECONDS)
        self._start_target()

    def _end_target(self, target, seconds):
        time.sleep(seconds)
        target.die()
        self._store.put("keyed.servers", target.name, b"")

    def _start_target(self):
        number = self._target_count
        self._target_count += 1
        target = SoakTarget(
            name=f"i-{number}",
            address=f"{self._network}.101:{FIRST_TARGET_PORT + number}",
            slots=self._plan.slots,
            history=self._history,
        )
        target.register(self._store)
        self._targets.append(target)

    def _change_configuration(self):
        self._version += 1
        maximum_attempts = self._draw.choice((1, 2, 3))
        routes = [
            {
                "name": name,
                "host": "shop.example",
                "pathPrefix": f"/{name}/",
                "kind": kind,
                "timeoutSeconds": ROUTE_SECONDS,
                "latencyGoalSeconds": 1,
                "priority": 1,
                "service": "shop",
                "maximumAttempts": maximum_attempts,
            }
            for name, kind in (("read", "idempotent"), ("order", "non_idempotent"))
        ]
        configuration = {
            "version": self._version,
            "routes": routes,
            "services": [{"name": "shop", "healthPath": "/healthz"}],
            "limits": {"headerBytes": 16384},
        }
        self._note(f"configuration {self._version}: {maximum_attempts} attempts")
        self._store.put("keyed.op", "config", json.dumps(configuration).encode())

    def _start_thread(self, target, *arguments):
        thread = threading.Thread(target=target, args=arguments)
        thread.start()
        self._threads.append(thread)

    def _note(self, text):
        seconds = time.monotonic() - self._started_at
        self._events.append(f"{seconds:6.2f} {text}")


def describe_end(request: SentRequest) -> str:
    """Return how a request ended, for the counts of a soak."""
    if request.is_whole:
        return f"{request.status} keyed" if request.key else str(request.status)
    if request.last_byte_at is None:
        return "not sent whole"
    return "behind a close" if request.follows_close else "closed"


def print_result(seed: int, result: SoakResult) -> None:
    """Print one line, and what led to it if a promise was broken."""
    problems = [str(violation) for violation in result.violations] + result.ends
    print(f"seed {seed}: {len(problems)} broken, {result.count_by_end}", flush=True)
    if not problems:
        return
    for line in (*result.events, *problems, f"logs in {result.folder}"):
        print(f"    {line}", flush=True)


def main() -> None:
    """Run soaks one after the other; exit with status 1 if a promise was broken."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", type=int, default=5, help="Number of seeds.")
    parser.add_argument("--first", type=int, default=1, help="First seed.")
    parser.add_argument("--seconds", type=float, default=20.0, help="Time of a soak.")
    parser.add_argument(
        "--late", type=float, default=2.0, help="Last byte after SIGTERM, in seconds."
    )
    arguments = parser.parse_args()
    is_broken = False
    for seed in range(arguments.first, arguments.first + arguments.seeds):
        plan = draw_plan(seed, arguments.seconds, arguments.late)
        folder = Path(tempfile.mkdtemp(prefix=f"soak-{seed}-"))
        result = Soak(seed=seed, plan=plan, folder=folder).run()
        print_result(seed, result)
        is_broken = is_broken or bool(result.violations or result.ends)
    sys.exit(int(is_broken))


if __name__ == "__main__":
    main()
