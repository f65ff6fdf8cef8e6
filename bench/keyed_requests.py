"""Measures the latency that an idempotency key adds to a request, on loopback.

The fleet is that of the demonstration: four hosts, each with an entry and an agent,
stand-ins for the platform and three targets. Each keyed request is paired with the
same request without a key at the same entry. Run ``python -m bench.keyed_requests``,
or with ``--json`` for JSON. It takes about half a minute.
"""

import json
import os
import sys
import tempfile
import time
from pathlib import Path

import numpy as np

from citronspan_standins.demo_checks import (
    API_PORT,
    CALLERS_PORT,
    REGION,
    Demo,
    check_apply,
    check_in_force,
    check_membership,
    check_ready,
)
from citronspan_standins.fleet import (
    find_free_fleet,
    list_processes,
    write_files,
)
from citronspan_standins.fleet_processes import FleetProcesses

PAIRS = 300
PAIRS_PER_SECOND = 40
SERVICE_SECONDS = 0.005
PATH = "/pack-uploads/keyed"
BODY = b"x" * 200


def set_service_seconds(demo):
    for address in demo.fleet.target_address_by_name.values():
        body = json.dumps({"serviceSeconds": SERVICE_SECONDS})
        demo.send("POST", f"{address}/control", body=body)


def fetch_directory(demo):
    api = demo.fleet.hosts[0].get_address(API_PORT)
    url = f"{api}/directory?region={REGION}&account=demo-till"
    return json.loads(demo.send("GET", url).data)


def send_request(demo, address, key):
    headers = {"Idempotency-Key": key} if key else {}
    start = time.perf_counter()
    answer = demo.send("POST", f"{address}{PATH}", body=BODY, headers=headers)
    return time.perf_counter() - start, answer.status


def measure_entry(demo, address, prefix):
    """Send pairs of requests at a constant rate; the order in the pairs alternates."""
    unkeyed, keyed, failed = [], [], 0
    began_at = time.monotonic()
    for number in range(PAIRS):
        due_at = began_at + number / PAIRS_PER_SECOND
        time.sleep(max(due_at - time.monotonic(), 0))
        keys = ["", f"{prefix}.{address.replace('.', '-').replace(':', '-')}-{number}"]
        for key in keys if number % 2 else keys[::-1]:
            seconds, status = send_request(demo, address, key)
            failed += status != 200
            (keyed if key else unkeyed).append(seconds * 1000)
    report = {"failed": failed, "pairs": PAIRS}
    for name, values in (("unkeyed", unkeyed), ("keyed", keyed)):
        p50, p99 = np.percentile(values, [50, 99])
        report[name] = {
            "p50Milliseconds": round(p50, 2),
            "p99Milliseconds": round(p99, 2),
        }
    differences = np.array(keyed) - np.array(unkeyed)
    report["medianOfDifferencesMilliseconds"] = round(float(np.median(differences)), 2)
    return report


def measure(demo):
    set_service_seconds(demo)
    directory = fetch_directory(demo)
    prefix = directory["keyPrefix"]
    owner, witness = directory["addresses"][:2]
    third = demo.fleet.hosts[-1].get_address(CALLERS_PORT)
    report = {"loadAverage": os.getloadavg()}
    for label, address in (("owner", owner), ("witness", witness), ("third", third)):
        warm_up_request = send_request(demo, address, f"{prefix}.warm-{label}")
        report[label] = measure_entry(demo, address, prefix)
        report[label]["firstMilliseconds"] = round(warm_up_request[0] * 1000, 2)
    return report


def main():
    with tempfile.TemporaryDirectory(prefix="citronspan-bench-") as directory:
        fleet = find_free_fleet(Path(directory))
        write_files(fleet)
        processes = FleetProcesses(fleet=fleet, processes=list_processes(fleet))
        processes.start_all()
        try:
            demo = Demo(fleet=fleet)
            for check in (check_ready, check_apply, check_in_force, check_membership):
                check(demo)
            report = measure(demo)
        finally:
            processes.end_all()
    if "--json" in sys.argv:
        print(json.dumps(report, indent=2))
        return
    for label, row in report.items():
        print(f"{label:12} {json.dumps(row)}")


if __name__ == "__main__":
    main()
