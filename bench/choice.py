"""Compares ways to choose a target, for both deployments and several loads.

Run: ``python -m bench.choice`` for a table, with ``--json`` for JSON.
"""

import json
import sys
from concurrent.futures import ProcessPoolExecutor
from statistics import fmean, quantiles

from bench.choice_model import Case, Model
from bench.choice_ways import BlindChoice, BrokerChoice, ExactChoice

PROCESSES = 2
REQUESTS = 40_000
LOADS = (0.3, 0.5, 0.7, 0.8, 0.9, 1.2)
SHAPES = (
    ("shop catalogue", 10, 6, 36),
    ("shop checkout", 15, 6, 36),
    ("shop intake", 8, 6, 36),
    ("turret catalogue", 9, 2, 32),
    ("turret orders", 12, 2, 32),
    ("turret intake", 8, 2, 32),
)
DEADLINE_SECONDS = 0.25
NEAR_SECONDS = (0.00025, 0.0005)
FAR_SECONDS = (0.005, 0.005)


def _make_random(model):
    return BlindChoice(model=model, by_load=False)


def _make_two(model):
    return BlindChoice(model=model, by_load=True)


def _make_exact(model):
    return ExactChoice(model=model, waits=False)


def _make_exact_waiting(model):
    return ExactChoice(model=model, waits=True)


def _make_near(model):
    return BrokerChoice(model=model, delays=NEAR_SECONDS)


def _make_far(model):
    return BrokerChoice(model=model, delays=FAR_SECONDS)


MAKE_BY_WAY = {
    "random": _make_random,
    "two choices": _make_two,
    "exact, no waiting": _make_exact,
    "exact, waiting": _make_exact_waiting,
    "broker 0.25-0.5 ms": _make_near,
    "broker 5 ms": _make_far,
}


def measure(task) -> dict:
    """Run one way on one case."""
    way, case = task
    model = Model(case=case)
    model.run(MAKE_BY_WAY[way])
    waits = quantiles(model.latencies, n=100)
    delays = model.refusal_delays or [0.0]
    return {
        "shape": case.name,
        "load": case.load,
        "way": way,
        "unserved": 1 - model.served / case.requests,
        "unservedWorth": 1 - model.served_worth / model.offered_worth,
        "shedsPerRequest": model.sheds / case.requests,
        "messagesPerRequest": model.messages / case.requests,
        "meanAddedMilliseconds": 1e3 * fmean(model.latencies),
        "p99AddedMilliseconds": 1e3 * waits[98],
        "maximumRefusalMilliseconds": 1e3 * max(delays),
    }


def main() -> None:
    """Measure and print."""
    tasks = []
    for name, targets, slots, entries in SHAPES:
        for load in LOADS:
            case = Case(
                name=name,
                targets=targets,
                slots=slots,
                entries=entries,
                load=load,
                deadline_seconds=DEADLINE_SECONDS,
                requests=REQUESTS,
            )
            tasks += [(way, case) for way in MAKE_BY_WAY]
    with ProcessPoolExecutor(PROCESSES) as pool:
        rows = list(pool.map(measure, tasks, chunksize=1))
    if "--json" in sys.argv:
        print(json.dumps(rows, indent=1))
        return
    print("| shape | load | way | unserved | worth unserved | sheds/request |", end="")
    print(" messages/request | mean added ms | p99 added ms | longest refusal ms |")
    print("|---|---|---|---|---|---|---|---|---|---|")
    for row in rows:
        print(
            f"| {row['shape']} | {row['load']:.0%} | {row['way']}"
            f" | {row['unserved']:.3%} | {row['unservedWorth']:.3%}"
            f" | {row['shedsPerRequest']:.3f} | {row['messagesPerRequest']:.2f}"
            f" | {row['meanAddedMilliseconds']:.2f}"
            f" | {row['p99AddedMilliseconds']:.1f}"
            f" | {row['maximumRefusalMilliseconds']:.1f} |"
        )


if __name__ == "__main__":
    main()
