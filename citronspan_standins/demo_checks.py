"""Runs the checks of the demonstration against a fleet while it starts.

Each check prints one result line that begins with ``ok`` or, with the reason, ``FAIL``.
The checks after a failed one run, too.
"""

import hashlib
import itertools
import sys
import threading
import time
import uuid
from collections import Counter
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import msgspec
import urllib3

from citronspan.core.resources import Resource, decode_resource
from citronspan_standins.fleet import (
    API_PORT,
    CALLERS_PORT,
    ENTRY_METRICS_PORT,
    PROJECT,
    Fleet,
    FleetHost,
)
from citronspan_standins.target_service import TargetAnswer, make_body
from citronspan_standins.target_state import RunList, RunRecord, RunStatus

PASSED_FILE = "passed"
REGION = "svealand"
ACCOUNT = "demo-till"
READY_TIMEOUT_SECONDS = 30.0
APPLY_TIMEOUT_SECONDS = 10.0
IN_FORCE_TIMEOUT_SECONDS = 4.0
DIRECTORY_TIMEOUT_SECONDS = 10.0
EJECTION_TIMEOUT_SECONDS = 30.0
READMISSION_TIMEOUT_SECONDS = 60.0
WINDOW_SECONDS = 2.0
MAXIMUM_EJECTED_SHARE = 0.02
MINIMUM_READMITTED_SHARE = 0.15
BROWSING_THREADS = 10
MINIMUM_WINDOW_REQUESTS = 50
ANSWER_BYTES = 50_000
UPLOAD_BYTES = 3_000_000
POLL_INTERVAL_SECONDS = 0.1
REQUEST_TIMEOUT_SECONDS = 5.0
GRAY_FAILURE_SWITCHES = {"errorShare": 0.8, "healthLies": True}
HEALTHY_SWITCHES = {"errorShare": 0.0}


class CheckFailedError(Exception):
    """A check of the demonstration failed."""


class DirectoryAnswer(msgspec.Struct, frozen=True, kw_only=True, rename="camel"):
    """Body of an answer of the address directory.

    Attributes:
        addresses: ``IP:PORT`` of entries, those of the caller's region first.
        keep_seconds: Time for which callers may use the answer.
        key_prefix: Prefix for new idempotency keys.
    """

    addresses: tuple[str, ...]
    keep_seconds: float
    key_prefix: str


class ResourceAnswer(msgspec.Struct, frozen=True, kw_only=True):
    """The fields of a resource that the checks use."""

    version: int
    status: msgspec.Raw = msgspec.Raw(b"{}")


def print_line(text: str) -> None:
    """Print a line and flush it, so that it appears at once."""
    print(text, flush=True)


def require(condition: bool, reason: str) -> None:
    """Fail the check unless a condition is true.

    Raises:
        CheckFailedError: The condition is false.
    """
    if not condition:
        raise CheckFailedError(reason)


def load_examples(fleet: Fleet) -> list[Resource]:
    """Read ``examples/demo`` and replace the targets' network by the fleet's."""
    resources = []
    for path in sorted((PROJECT / "examples" / "demo").glob("*.json")):
        text = path.read_bytes().replace(b"127.0.2.", b"127.%d.2." % fleet.network)
        for raw in msgspec.json.decode(text, type=list[msgspec.Raw]):
            resources.append(decode_resource(raw))
    return resources


@dataclass(kw_only=True)
class Demo:
    """State shared by the checks.

    Attributes:
        fleet: The fleet under test.
        http: HTTP client without retries.
        applied_at: Monotonic time at which all resources were accepted, 0 before.
        directory: The directory's last answer.
        purchase_key: Idempotency key of the purchase.
        purchase_answer: Body of the first answer to the purchase.
    """

    fleet: Fleet
    http: urllib3.PoolManager = field(
        default_factory=lambda: urllib3.PoolManager(
            retries=False, timeout=REQUEST_TIMEOUT_SECONDS, maxsize=32
        )
    )
    applied_at: float = 0.0
    directory: DirectoryAnswer | None = None
    purchase_key: str = ""
    purchase_answer: bytes = b""

    def send(self, method: str, url: str, **options: Any) -> urllib3.BaseHTTPResponse:
        """Send a request.

        Raises:
            CheckFailedError: There was no complete answer.
        """
        try:
            return self.http.request(method, f"http://{url}", **options)
        except urllib3.exceptions.HTTPError as error:
            raise CheckFailedError(f"{method} {url}: {error}") from error

    def send_as_caller(self, number: int, method: str, path: str, **options):
        """Send a request to one of the directory's addresses and print the result.

        Args:
            number: Index of the address; it wraps around after the last one.
            method: HTTP method.
            path: Path and query.
            **options: Further arguments of ``send``.
        """
        require(self.directory is not None, "the directory returned no addresses")
        address = self.directory.addresses[number % len(self.directory.addresses)]
        headers = {"Citronspan-Account": ACCOUNT, **options.pop("headers", {})}
        started = time.monotonic()
        answer = self.send(method, f"{address}{path}", headers=headers, **options)
        seconds = time.monotonic() - started
        print_line(
            f"    {method} {path} -> {describe_answer(answer)} in {seconds:.3f} s"
        )
        return answer

    def list_runs(self) -> dict[str, tuple[RunRecord, ...]]:
        """Return the requests that each target accepted, by the target's name."""
        ran_by_target = {}
        for name, address in self.fleet.target_address_by_name.items():
            answer = self.send("GET", f"{address}/ran")
            ran_by_target[name] = msgspec.json.decode(answer.data, type=RunList).ran
        return ran_by_target

    def count_runs(self) -> Counter:
        """Return the number of requests that each target accepted, by its name."""
        return Counter({name: len(ran) for name, ran in self.list_runs().items()})

    def get_target_status(self, name: str) -> str:
        """Return a target's status from the resource API as JSON text.

        Without an answer of 200, the text is "unknown" with the HTTP status.
        """
        api = self.fleet.hosts[0].get_address(API_PORT)
        answer = self.send("GET", f"{api}/resources/Target/{name}")
        if answer.status != 200:
            return f"unknown ({answer.status})"
        return bytes(
            msgspec.json.decode(answer.data, type=ResourceAnswer).status
        ).decode()


def describe_answer(answer: urllib3.BaseHTTPResponse) -> str:
    """Format the status, the size and the product's headers of an answer."""
    names = (
        "Citronspan-Target",
        "Citronspan-Entry",
        "Citronspan-Result",
        "Citronspan-Ran",
        "Retry-After",
    )
    parts = [f"{answer.status}, {len(answer.data)} bytes"]
    parts.extend(f"{n}: {answer.headers[n]}" for n in names if n in answer.headers)
    return ", ".join(parts)


def retry_until_success(seconds: float, attempt: Callable[[], Any]) -> Any:
    """Call a function until it succeeds or a timeout expires.

    Args:
        seconds: Timeout in seconds, after which no further call is made.
        attempt: The function; it raises ``CheckFailedError`` to be called again.

    Returns:
        The result of the successful call.

    Raises:
        CheckFailedError: The error of the last call, after the timeout.
    """
    deadline = time.monotonic() + seconds
    while True:
        try:
            return attempt()
        except CheckFailedError:
            if time.monotonic() >= deadline:
                raise
            time.sleep(POLL_INTERVAL_SECONDS)


def require_ok(demo: Demo, url: str) -> None:
    """Fail the check unless a URL answers 200."""
    answer = demo.send("GET", url)
    require(answer.status == 200, f"GET {url}: {describe_answer(answer)}")


def check_ready(demo: Demo) -> str:
    """Check that every process answers."""
    urls = [f"{item}/health" for item in demo.fleet.target_address_by_name.values()]
    urls.append(f"{demo.fleet.log_address}/records?from=0")
    urls.append(f"{demo.fleet.host_list_address}/")
    for host in demo.fleet.hosts:
        urls.append(f"{host.get_address(API_PORT)}/status")
        urls.append(f"{host.get_address(ENTRY_METRICS_PORT)}/metrics")
    deadline = time.monotonic() + READY_TIMEOUT_SECONDS
    for url in urls:
        remaining = max(deadline - time.monotonic(), 0.0)
        retry_until_success(remaining, lambda url=url: require_ok(demo, url))
    return f"{len(urls)} addresses answer"


def _fetch_version(demo, url):
    answer = demo.send("GET", url)
    if answer.status != 200:
        return -1
    return msgspec.json.decode(answer.data, type=ResourceAnswer).version


def _put_resource(demo, resource):
    api = demo.fleet.hosts[0].get_address(API_PORT)
    url = f"{api}/resources/{resource.kind}/{resource.name}"
    version = _fetch_version(demo, url)
    spec = msgspec.json.encode(resource.spec)
    answer = demo.send(
        "PUT",
        f"{url}?version={version}",
        body=b'{"spec": ' + spec + b"}",
        headers={"Content-Type": "application/json"},
    )
    reason = answer.data[:200].decode(errors="replace")
    require(answer.status == 200, f"PUT {url}: {answer.status} {reason}")


def check_apply(demo: Demo) -> str:
    """Check that the resource API accepts the example resources."""
    resources = load_examples(demo.fleet)
    for resource in resources:
        retry_until_success(
            APPLY_TIMEOUT_SECONDS, lambda item=resource: _put_resource(demo, item)
        )
    demo.applied_at = time.monotonic()
    return f"{len(resources)} resources accepted"


def check_in_force(demo: Demo) -> str:
    """Check that every entry serves the new route within a few seconds."""
    require(demo.applied_at > 0, "the resources were not all accepted")
    deadline = demo.applied_at + IN_FORCE_TIMEOUT_SECONDS
    for host in demo.fleet.hosts:
        url = f"{host.get_address(CALLERS_PORT)}/packs/first"
        remaining = max(deadline - time.monotonic(), 0.0)
        retry_until_success(remaining, lambda url=url: require_ok(demo, url))
    seconds = time.monotonic() - demo.applied_at
    return f"in force at all {len(demo.fleet.hosts)} entries after {seconds:.2f} s"


class NodeStatus(msgspec.Struct, frozen=True, kw_only=True):
    """The fields of a node in an agent's status that the checks use."""

    name: str
    entry: str


class AgentStatus(msgspec.Struct, frozen=True, kw_only=True):
    """The fields of an agent's status that the checks use."""

    nodes: tuple[NodeStatus, ...]


def check_membership(demo: Demo) -> str:
    """Check that every node sees every node as serving."""
    deadline = time.monotonic() + READY_TIMEOUT_SECONDS
    for host in demo.fleet.hosts:
        remaining = max(deadline - time.monotonic(), 0.0)
        retry_until_success(
            remaining, lambda host=host: _require_all_serving(demo, host)
        )
    return f"each of {len(demo.fleet.hosts)} nodes sees all serving"


def _require_all_serving(demo, host):
    answer = demo.send("GET", f"{host.get_address(API_PORT)}/status")
    nodes = msgspec.json.decode(answer.data, type=AgentStatus).nodes
    serving = {node.name for node in nodes if node.entry == "serving"}
    require(
        len(serving) == len(demo.fleet.hosts), f"{host.name}: serving {sorted(serving)}"
    )


def _query_directory(demo, host: FleetHost, region):
    url = f"{host.get_address(API_PORT)}/directory?region={region}&account={ACCOUNT}"
    answer = demo.send("GET", url)
    require(answer.status == 200, f"GET {url}: {answer.status}")
    return msgspec.json.decode(answer.data, type=DirectoryAnswer)


def _require_own_region_first(demo, host):
    directory = _query_directory(demo, host, REGION)
    # A wrong answer is stored, too, so that the later checks can run.
    demo.directory = directory
    own = [h.get_address(CALLERS_PORT) for h in demo.fleet.hosts if h.region == REGION]
    first = set(directory.addresses[: len(own)])
    require(
        first == set(own),
        f"addresses {directory.addresses} do not begin with those of the region, {own}",
    )
    require(bool(directory.key_prefix), "the directory returned no key prefix")


def check_directory(demo: Demo) -> str:
    """Check that the directory lists the caller's region first and a key prefix."""
    for host in demo.fleet.hosts[::-1]:
        retry_until_success(
            DIRECTORY_TIMEOUT_SECONDS,
            lambda host=host: _require_own_region_first(demo, host),
        )
    directory = demo.directory
    return f"{', '.join(directory.addresses)}, prefix {directory.key_prefix!r}"


def check_browse(demo: Demo) -> str:
    """Check that a browse gets the complete answer."""
    path = f"/packs/42?bytes={ANSWER_BYTES}"
    answer = demo.send_as_caller(0, "GET", path)
    require(answer.status == 200, f"status {answer.status}")
    expected = b"".join(make_body("/packs/42", ANSWER_BYTES))
    require(
        answer.data == expected, "the body differs from the one that the target sent"
    )
    return f"complete answer of {len(expected)} bytes"


def _require_one_run(demo, key):
    found = [
        (target, record)
        for target, ran in demo.list_runs().items()
        for record in ran
        if key and record.key.endswith(key.rpartition(".")[2])
    ]
    require(len(found) == 1, f"the purchase ran {len(found)} times, not once: {found}")
    target, record = found[0]
    require(
        record.status == RunStatus.COMPLETED, f"{target}: the run is {record.status}"
    )
    return target


def _send_purchase(demo, number):
    body = b'{"pack": 42, "price": 1900}'
    headers = {"Idempotency-Key": demo.purchase_key}
    return demo.send_as_caller(number, "POST", "/purchases", body=body, headers=headers)


def check_purchase(demo: Demo) -> str:
    """Check that a purchase with an idempotency key runs once."""
    require(demo.directory is not None, "the directory returned no answer")
    demo.purchase_key = f"{demo.directory.key_prefix}.{uuid.uuid4().hex}"
    answer = _send_purchase(demo, 0)
    require(answer.status == 200, f"status {answer.status}")
    target = _require_one_run(demo, demo.purchase_key)
    demo.purchase_answer = answer.data
    return f"ran once, at {target}"


def check_purchase_retry(demo: Demo) -> str:
    """Check that retries of the purchase at two entries return the first answer."""
    require(bool(demo.purchase_answer), "the purchase had no successful answer")
    for number in range(2):
        answer = _send_purchase(demo, number)
        require(answer.status == 200, f"status {answer.status}")
        require(
            answer.data == demo.purchase_answer, "the answer differs from the first one"
        )
    target = _require_one_run(demo, demo.purchase_key)
    return f"two retries returned the first answer; ran once, at {target}"


def _generate_upload() -> Iterable[bytes]:
    counter = itertools.count()
    size = 0
    while size < UPLOAD_BYTES:
        part = hashlib.sha256(str(next(counter)).encode()).digest() * 1000
        yield part
        size += len(part)


def check_upload(demo: Demo) -> str:
    """Check that a chunked upload arrives complete."""
    body = b"".join(_generate_upload())
    digest = hashlib.sha256(body).hexdigest()
    answer = demo.send_as_caller(
        0, "PUT", "/pack-uploads/castle", body=_generate_upload()
    )
    require(answer.status == 200, f"status {answer.status}")
    decoded = msgspec.json.decode(answer.data, type=TargetAnswer)
    require(decoded.body_digest == digest, "the answer contains a different digest")
    for ran in demo.list_runs().values():
        if any(record.body_digest == digest for record in ran):
            return f"{len(body)} bytes with digest {digest[:12]}… at {decoded.target}"
    raise CheckFailedError("no target recorded an upload with this digest")


class BackgroundBrowsing:
    """Callers that browse continuously in background threads.

    Attributes:
        count_by_status: Number of answers by status, or "no answer".
    """

    def __init__(self, demo: Demo):
        self._demo = demo
        self._stopped = threading.Event()
        self._threads = [
            threading.Thread(target=self._browse, args=(number,), daemon=True)
            for number in range(BROWSING_THREADS)
        ]
        self.count_by_status: Counter = Counter()

    def __enter__(self):
        """Start to browse."""
        for thread in self._threads:
            thread.start()
        return self

    def __exit__(self, *_):
        """Stop browsing and wait for the requests in flight."""
        self._stopped.set()
        for thread in self._threads:
            thread.join(REQUEST_TIMEOUT_SECONDS)

    def _browse(self, number):
        addresses = self._demo.directory.addresses
        for count in itertools.count():
            if self._stopped.is_set():
                return
            url = f"{addresses[(number + count) % len(addresses)]}/packs/{count}"
            try:
                status = str(self._demo.send("GET", url).status)
            except CheckFailedError:
                status = "no answer"
            self.count_by_status[status] += 1
            if status != "200":
                self._stopped.wait(POLL_INTERVAL_SECONDS)


def _wait_for_share(demo, browsing, name, seconds, is_met):
    """Wait until a target's share of the requests in a window meets a condition.

    Windows with fewer than ``MINIMUM_WINDOW_REQUESTS`` requests are not considered.

    Args:
        demo: The state of the demonstration.
        browsing: The running callers.
        name: Name of the target.
        seconds: Timeout in seconds.
        is_met: Whether a share meets the condition.

    Returns:
        Time until the condition was met, in seconds.

    Raises:
        CheckFailedError: The condition was not met in time.
    """
    started = time.monotonic()
    while time.monotonic() - started < seconds:
        before = demo.count_runs()
        browsing.count_by_status.clear()
        time.sleep(WINDOW_SECONDS)
        requests_by_target = demo.count_runs()
        requests_by_target.subtract(before)
        total = sum(requests_by_target.values())
        share = requests_by_target[name] / max(total, 1)
        statuses = dict(browsing.count_by_status)
        print_line(f"    {dict(requests_by_target)}; callers saw {statuses}")
        if total >= MINIMUM_WINDOW_REQUESTS and is_met(share):
            return time.monotonic() - started
    raise CheckFailedError(
        f"the share of {name} did not change as expected within {seconds:.0f} s"
    )


def _set_switches(demo, name, switches):
    url = f"{demo.fleet.target_address_by_name[name]}/control"
    answer = demo.send("POST", url, body=msgspec.json.encode(switches))
    require(answer.status == 200, f"POST {url}: {answer.status}")


def check_ejection(demo: Demo) -> str:
    """Check that a target with a gray failure is ejected and later readmitted.

    The target fails requests and passes health checks.
    """
    require(demo.directory is not None, "the directory returned no addresses")
    with BackgroundBrowsing(demo) as browsing:
        before = demo.count_runs()
        time.sleep(WINDOW_SECONDS)
        requests_by_target = demo.count_runs()
        requests_by_target.subtract(before)
        name, count = requests_by_target.most_common(1)[0]
        require(count > 0, f"no target received requests: {dict(requests_by_target)}")
        print_line(
            f"    {dict(requests_by_target)}; "
            f"switches of {name} set to {GRAY_FAILURE_SWITCHES}"
        )
        try:
            _set_switches(demo, name, GRAY_FAILURE_SWITCHES)
            seconds = _wait_for_share(
                demo,
                browsing,
                name,
                EJECTION_TIMEOUT_SECONDS,
                lambda s: s <= MAXIMUM_EJECTED_SHARE,
            )
            print_line(f"    status of {name}: {demo.get_target_status(name)}")
        finally:
            _set_switches(demo, name, HEALTHY_SWITCHES)
        print_line(f"    switches of {name} set to {HEALTHY_SWITCHES}")
        readmission_seconds = _wait_for_share(
            demo,
            browsing,
            name,
            READMISSION_TIMEOUT_SECONDS,
            lambda s: s >= MINIMUM_READMITTED_SHARE,
        )
        print_line(f"    status of {name}: {demo.get_target_status(name)}")
    return (
        f"{name} ejected after {seconds:.0f} s, "
        f"readmitted after {readmission_seconds:.0f} s"
    )


CHECKS = (
    ("every process answers", check_ready),
    ("example resources are accepted", check_apply),
    ("the configuration is in force everywhere", check_in_force),
    ("every node sees every node as serving", check_membership),
    ("the directory returns addresses", check_directory),
    ("a browse gets its answer", check_browse),
    ("a purchase runs once", check_purchase),
    ("a retried purchase does not run again", check_purchase_retry),
    ("an upload arrives complete", check_upload),
    ("a faulty target is ejected and readmitted", check_ejection),
)
STAY_CHECK_COUNT = 5


def run_checks(demo: Demo, checks) -> bool:
    """Run checks one after another and print the result of each.

    Args:
        demo: The state of the demonstration.
        checks: Pairs of a title and a check function.

    Returns:
        Whether every check passed.
    """
    all_passed = True
    for title, check in checks:
        print_line(f"... {title}")
        try:
            result = check(demo)
        except (CheckFailedError, msgspec.MsgspecError) as error:
            print_line(f"FAIL: {title}: {error}")
            all_passed = False
            continue
        print_line(f"ok: {title}: {result}")
    return all_passed


def print_commands(demo: Demo) -> None:
    """Print commands to try on the running fleet."""
    host = demo.fleet.hosts[0]
    api = host.get_address(API_PORT)
    entry = host.get_address(CALLERS_PORT)
    target = demo.fleet.target_address_by_name["shop-1"]
    print_line("The fleet runs until Ctrl-C. Try in another terminal:")
    print_line(f"  curl -i http://{entry}/packs/42")
    print_line(f"  curl 'http://{api}/directory?region={REGION}&account={ACCOUNT}'")
    print_line(f"  .venv/bin/citronspan get Target shop-1 --api {api}")
    print_line(f"  curl -d '{{\"errorShare\": 0.8}}' http://{target}/control")
    print_line(f"  .venv/bin/citronspan status --api {api}")
    print_line(f"Logs and settings: {demo.fleet.directory}")


def main() -> int:
    """Run the checks.

    The arguments are ``NETWORK DIRECTORY check|stay``. With ``stay``, only the first
    checks run, and the process waits until it is stopped.
    """
    network, directory, mode = sys.argv[1:]
    demo = Demo(fleet=Fleet(network=int(network), directory=Path(directory)))
    stay = mode == "stay"
    checks = CHECKS[:STAY_CHECK_COUNT] if stay else CHECKS
    all_passed = run_checks(demo, checks)
    if all_passed:
        (demo.fleet.directory / PASSED_FILE).touch()
    if stay:
        print_commands(demo)
        threading.Event().wait()
    return 0 if all_passed else 1


if __name__ == "__main__":
    sys.exit(main())
