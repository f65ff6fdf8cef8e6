"""Measures time to detection and false ejections, compared with simpler policies.

Run ``python -m bench.detection OUT.json [quick|grid|halves|noise|cost]``. Everything is
simulated with fixed seeds; only ``cost`` reads the real clock.
"""

import copy
import dataclasses
import json
import math
import multiprocessing
import random
import sys
import time
import tracemalloc

from bench.detection_model import (
    BASE_ERROR_SHARE,
    CLOCK,
    LATENCY_SIGMA,
    POLICY_BY_NAME,
    Fault,
    Model,
    ServiceShape,
)
from citronspan.core.detection import service_health
from citronspan.core.detection.poison import PoisonTable
from citronspan.core.outcomes import Outcome, OutcomeClass
from citronspan.core.resources import DetectionCosts

SHOP_COSTS = DetectionCosts(late_second=10.0, false_ejection=100.0)
TURRET_COSTS = DetectionCosts(late_second=1.0, false_ejection=1000.0)


def make_shape(name, targets, slots, entries, median_seconds, costs):
    return ServiceShape(
        name=name,
        targets=targets,
        slots=slots,
        entries=entries,
        median_seconds=median_seconds,
        costs=costs,
    )


SHAPES = (
    make_shape("shop-catalogue", 10, 6, 36, 0.05, SHOP_COSTS),
    make_shape("shop-checkout", 15, 6, 36, 0.1, SHOP_COSTS),
    make_shape("shop-intake", 8, 6, 36, 0.2, SHOP_COSTS),
    make_shape("turret-stock", 9, 2, 32, 0.05, TURRET_COSTS),
    make_shape("turret-orders", 12, 2, 32, 0.1, TURRET_COSTS),
    make_shape("turret-artwork", 8, 2, 32, 0.2, TURRET_COSTS),
)
# Services of which the broker sees only one region's half.
HALVES = tuple(
    dataclasses.replace(
        shape,
        name=f"{shape.name}-half",
        targets=shape.targets // 2,
        entries=shape.entries // 2,
    )
    for shape in SHAPES
)
SHAPE_BY_NAME = {shape.name: shape for shape in SHAPES + HALVES}
LOADS = (0.2, 0.5, 0.8)
FAULTS = (
    Fault(name="errors 5 %", error_share=0.05),
    Fault(name="errors 20 %", error_share=0.2),
    Fault(name="errors 50 %", error_share=0.5),
    Fault(name="errors 100 %", error_share=1.0),
    Fault(name="slow 2x", latency_factor=2.0),
    Fault(name="slow 5x", latency_factor=5.0),
    Fault(name="slow 20x", latency_factor=20.0),
    Fault(name="flap 1 s", error_share=1.0, flap_seconds=1.0),
    Fault(name="flap 10 s", error_share=1.0, flap_seconds=10.0),
    Fault(name="flap 60 s", error_share=1.0, flap_seconds=60.0),
)
WARM_UP_SECONDS = 30.0
HORIZON_SECONDS = 120.0
EPISODES = 20
# Episodes that run to the horizon take longer, so fewer are run. Policies with which
# every entry decides alone give many samples in each of them.
FULL_LENGTH_EPISODES = 3
WORKER_PROCESSES = 2

SECONDS_PER_DAY = 86400.0


def compute_quantile(values, share):
    """Return a quantile of seconds, None if it was not reached within the horizon."""
    ordered = sorted(values)
    value = ordered[min(int(share * len(ordered)), len(ordered) - 1)]
    return None if math.isinf(value) else round(value, 3)


def run_cell(cell):
    """Run all faults for one service, load and policy.

    Args:
        cell: Name of the service, load, name of the policy, and number of episodes for
            faults that stop at detection.

    Returns:
        A row for each fault.
    """
    shape_name, load, policy_name, maximum_episodes = cell
    shape = SHAPE_BY_NAME[shape_name]
    warmed_up = Model(shape=shape, load=load, policy_name=policy_name, seed=1)
    warmed_up.run(WARM_UP_SECONDS)
    rows = []
    for fault in FAULTS:
        results = []
        runs_full_length = fault.flap_seconds or policy_name != "citronspan"
        episodes = (
            min(FULL_LENGTH_EPISODES, maximum_episodes)
            if runs_full_length
            else maximum_episodes
        )
        for seed in range(episodes):
            CLOCK.now = WARM_UP_SECONDS
            model = copy.deepcopy(warmed_up)
            model.random = random.Random(seed)
            # A flapping fault runs to the horizon, others until they are detected.
            stop_early = not fault.flap_seconds
            results.append(
                model.run_episode(
                    fault=fault,
                    horizon_seconds=HORIZON_SECONDS,
                    stop_early=stop_early,
                )
            )
        times = [time for result in results for time in result.detection_seconds]
        rows.append(
            {
                "service": shape_name,
                "load": load,
                "policy": policy_name,
                "fault": fault.name,
                "p50Seconds": compute_quantile(times, 0.5),
                "p95Seconds": compute_quantile(times, 0.95),
                "workStopsP95Seconds": compute_quantile(
                    [result.last_sent_seconds for result in results], 0.95
                ),
                "badShare": sum(result.degraded_share for result in results) / episodes,
                "unservedShare": sum(result.unserved_share for result in results)
                / episodes,
                "falseEjections": sum(result.false_ejections for result in results),
            }
        )
    return rows


def run_noise(cell):
    """Count the ejections of healthy targets.

    Args:
        cell: Name of the service, load, name of the policy, simulated seconds and seed.

    Returns:
        A row of the table.
    """
    shape_name, load, policy_name, seconds, seed = cell
    shape = SHAPE_BY_NAME[shape_name]
    CLOCK.now = 0.0
    policy = POLICY_BY_NAME[policy_name](shape, seed)
    rng = random.Random(seed)
    rate = shape.compute_rate(load)
    outcomes = int(rate * seconds)
    record_outcome = policy.record_outcome
    restricted = 0
    for _ in range(outcomes):
        CLOCK.now += 1 / rate
        target = int(rng.random() * shape.targets)
        entry = int(rng.random() * shape.entries)
        slots = policy.find_slots(entry)[target]
        if slots == 0:
            restricted += 1
            continue
        latency = shape.median_seconds * math.exp(rng.gauss(0.0, LATENCY_SIGMA))
        policy.record_sent(entry, target)
        record_outcome(entry, target, rng.random() < BASE_ERROR_SHARE, latency)
    days = shape.targets * seconds / SECONDS_PER_DAY
    return {
        "service": shape_name,
        "load": load,
        "policy": policy_name,
        "outcomes": outcomes,
        "targetDays": days,
        "ejections": sum(policy.ejections) / policy.choosers,
        "suspicionsPerTargetDay": policy.suspicions / days,
        "restrictedShare": restricted / outcomes,
        "perTargetDay": sum(policy.ejections) / policy.choosers / days,
    }


def measure_cost():
    """Measure the processor time per call and the memory per target."""
    rows = []
    for targets in (4, 12, 24, 48):
        service_health.time = time
        tracemalloc.start()
        shape = make_shape("cost", targets, 6, 1, 0.05, DetectionCosts())
        policy = POLICY_BY_NAME["citronspan"](shape, 1)
        rng = random.Random(1)
        outcomes = [
            Outcome(
                target=f"t{rng.randrange(targets)}",
                outcome_class=OutcomeClass.OK
                if rng.random() > BASE_ERROR_SHARE
                else OutcomeClass.TARGET_ERROR,
                latency_seconds=0.05 * rng.lognormvariate(0, LATENCY_SIGMA),
                deadline_seconds=2.0,
                request_kind="browse",
                fingerprint=rng.randrange(1, 5000),
            )
            for _ in range(50_000)
        ]
        before = tracemalloc.get_traced_memory()[0]
        health = POLICY_BY_NAME["citronspan"](shape, 1).health
        for outcome in outcomes[:2000]:
            health.observe(outcome)
        health.find_limits()
        bytes_per_target = (tracemalloc.get_traced_memory()[0] - before) / targets
        tracemalloc.stop()
        health = policy.health
        observe_us = measure_us(health.observe, outcomes)
        find_limits_us = measure_us(
            lambda _, health=health: health.find_limits(), outcomes
        )
        recompute_us = measure_us(health._recompute, [time.monotonic()] * 10_000)
        table = PoisonTable(service="cost")
        poison_us = measure_us(table.observe, outcomes)
        rows.append(
            {
                "targets": targets,
                "observeMicroseconds": round(observe_us, 2),
                "findLimitsMicroseconds": round(find_limits_us, 3),
                "recomputeMicroseconds": round(recompute_us, 2),
                "poisonMicroseconds": round(poison_us, 2),
                "bytesPerTarget": round(bytes_per_target),
            }
        )
    service_health.time = CLOCK
    return rows


def measure_us(call, arguments):
    """Return the processor time per call in microseconds."""
    began = time.process_time()
    for argument in arguments:
        call(argument)
    return (time.process_time() - began) / len(arguments) * 1e6


def print_rows(rows):
    """Print rows as a table with a header."""
    if not rows:
        return
    keys = list(rows[0])
    print(" | ".join(keys))
    for row in rows:
        cells = [
            f"{row[key]:.4g}" if isinstance(row[key], float) else str(row[key])
            for key in keys
        ]
        print(" | ".join(cells))


def list_grid_cells(episodes):
    cells = []
    for shape in SHAPES:
        for load in LOADS:
            for policy_name in POLICY_BY_NAME:
                count = 1 if policy_name == "never" else episodes
                cells.append((shape.name, load, policy_name, count))
    return cells


def list_noise_cells(days):
    cells = []
    for shape in SHAPES:
        seconds = days * SECONDS_PER_DAY
        if shape.name.startswith("shop"):
            seconds /= 14
        cells.append((shape.name, 0.2, "citronspan", seconds, 1))
        for policy_name in ("consecutive", "ratio"):
            cells.append((shape.name, 0.2, policy_name, min(seconds, 21600.0), 1))
    return sorted(cells, key=lambda cell: -cell[3])


def main():
    out = sys.argv[1]
    part = sys.argv[2] if len(sys.argv) > 2 else "grid"
    report = {"part": part}
    with multiprocessing.Pool(WORKER_PROCESSES) as pool:
        if part in ("grid", "quick", "halves"):
            cells = list_grid_cells(EPISODES if part == "grid" else 2)
            if part == "halves":
                cells = [
                    (shape.name, load, "citronspan", EPISODES)
                    for shape in HALVES
                    for load in LOADS
                ]
            parts = pool.imap_unordered(run_cell, cells, chunksize=1)
            report["grid"] = [row for rows in parts for row in rows]
            print_rows(report["grid"])
        if part == "noise":
            days = float(sys.argv[3]) if len(sys.argv) > 3 else 7.0
            cells = list_noise_cells(days)
            report["noise"] = list(pool.imap_unordered(run_noise, cells, chunksize=1))
            print_rows(report["noise"])
        if part == "cost":
            report["cost"] = measure_cost()
            print_rows(report["cost"])
    with open(out, "w") as file:
        json.dump(report, file, indent=1)


if __name__ == "__main__":
    main()
