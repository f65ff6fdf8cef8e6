"""Compares target selection strategies, for both deployments and several loads.

Run ``python -m bench.choice`` for a table, or with ``--json`` for JSON.
"""

import json
import sys
from concurrent.futures import ProcessPoolExecutor
from statistics import fmean, quantiles

from bench.choice_model import Case, Model
from bench.choice_ways import BrokerStrategy, IdealStrategy, LocalStrategy

WORKER_PROCESSES = 2
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
NEAR_DELAYS_SECONDS = (0.00025, 0.0005)
FAR_DELAYS_SECONDS = (0.005, 0.005)


def _make_random(model):
    return LocalStrategy(model=model, two_choices=False)


def _make_two_choices(model):
    return LocalStrategy(model=model, two_choices=True)


def _make_ideal(model):
    return IdealStrategy(model=model, has_queue=False)


def _make_ideal_with_queue(model):
    return IdealStrategy(model=model, has_queue=True)


def _make_near_broker(model):
    return BrokerStrategy(model=model, delays=NEAR_DELAYS_SECONDS)


def _make_far_broker(model):
    return BrokerStrategy(model=model, delays=FAR_DELAYS_SECONDS)


FACTORY_BY_STRATEGY = {
    "random": _make_random,
    "two choices": _make_two_choices,
    "exact, no waiting": _make_ideal,
    "exact, waiting": _make_ideal_with_queue,
    "broker 0.25-0.5 ms": _make_near_broker,
    "broker 5 ms": _make_far_broker,
}


def measure(task) -> dict:
    """Run one strategy on one case.

    Args:
        task: Name of the strategy, and the case.

    Returns:
        A row of the table.
    """
    strategy, case = task
    model = Model(case=case)
    model.run(FACTORY_BY_STRATEGY[strategy])
    percentiles = quantiles(model.added_latencies, n=100)
    delays = model.refusal_delays or [0.0]
    return {
        "shape": case.name,
        "load": case.load,
        "way": strategy,
        "unserved": 1 - model.served / case.requests,
        "unservedWorth": 1 - model.served_worth / model.offered_worth,
        "shedsPerRequest": model.sheds / case.requests,
        "messagesPerRequest": model.messages / case.requests,
        "meanAddedMilliseconds": 1e3 * fmean(model.added_latencies),
        "p99AddedMilliseconds": 1e3 * percentiles[98],
        "maximumRefusalMilliseconds": 1e3 * max(delays),
    }


def main() -> None:
    """Run every strategy on every case and print the rows."""
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
            tasks += [(strategy, case) for strategy in FACTORY_BY_STRATEGY]
    with ProcessPoolExecutor(WORKER_PROCESSES) as pool:
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
