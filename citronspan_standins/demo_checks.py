"""The checks of the demonstration, run against a fleet that is being started.

Each check prints one line of its own, ``ok`` or ``FAIL`` with the reason, and the
checks after a failed one are run all the same.
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
READY_SECONDS = 30.0
ACCEPTED_SECONDS = 10.0
IN_FORCE_SECONDS = 4.0
KNOWN_SECONDS = 10.0
EJECTED_SECONDS = 30.0
BACK_SECONDS = 60.0
WINDOW_SECONDS = 2.0
EJECTED_SHARE = 0.02
BACK_SHARE = 0.15
BROWSING_THREADS = 10
LEAST_BROWSES = 50
ANSWER_BYTES = 50_000
UPLOAD_BYTES = 3_000_000
POLL_SECONDS = 0.1
REQUEST_SECONDS = 5.0
GRAY = {"errorShare": 0.8, "healthLies": True}
WELL = {"errorShare": 0.0}


class CheckFailedError(Exception):
    """A check of the demonstration did not hold."""


class Directory(msgspec.Struct, frozen=True, kw_only=True, rename="camel"):
    """Answer of the address directory."""

    addresses: tuple[str, ...]
    keep_seconds: float
    key_prefix: str


class Listed(msgspec.Struct, frozen=True, kw_only=True):
    """What the checks read of a resource."""

    version: int
    status: msgspec.Raw = msgspec.Raw(b"{}")


def say(text: str) -> None:
    """Print a line at once."""
    print(text, flush=True)


def expect(condition: bool, reason: str) -> None:
    """Fail the check unless a condition holds."""
    if not condition:
        raise CheckFailedError(reason)


def load_examples(fleet: Fleet) -> list[Resource]:
    """Read ``examples/demo`` with the addresses of a fleet."""
    resources = []
    for path in sorted((PROJECT / "examples" / "demo").glob("*.json")):
        text = path.read_bytes().replace(b"127.0.2.", b"127.%d.2." % fleet.network)
        for raw in msgspec.json.decode(text, type=list[msgspec.Raw]):
            resources.append(decode_resource(raw))
    return resources


@dataclass(kw_only=True)
class Demo:
    """What the checks share: the fleet, a client, and what earlier checks found."""

    fleet: Fleet
    http: urllib3.PoolManager = field(
        default_factory=lambda: urllib3.PoolManager(
            retries=False, timeout=REQUEST_SECONDS, maxsize=32
        )
    )
    applied_at: float = 0.0
    directory: Directory | None = None
    purchase_key: str = ""
    purchase_answer: bytes = b""

    def send(self, method: str, url: str, **options: Any) -> urllib3.BaseHTTPResponse:
        """Send a request; an error of the connection fails the check."""
        try:
            return self.http.request(method, f"http://{url}", **options)
        except urllib3.exceptions.HTTPError as error:
            raise CheckFailedError(f"{method} {url}: {error}") from error

    def send_as_caller(self, number: int, method: str, path: str, **options):
        """Send a request to an address that the directory gave, and print it."""
        expect(self.directory is not None, "no address from the directory")
        address = self.directory.addresses[number % len(self.directory.addresses)]
        headers = {"Citronspan-Account": ACCOUNT, **options.pop("headers", {})}
        started = time.monotonic()
        answer = self.send(method, f"{address}{path}", headers=headers, **options)
        seconds = time.monotonic() - started
        say(f"    {method} {path} -> {describe_answer(answer)} in {seconds:.3f} s")
        return answer

    def list_runs(self) -> dict[str, tuple[RunRecord, ...]]:
        """Return what each target has run, by the target's name."""
        ran_by_target = {}
        for name, address in self.fleet.target_address_by_name.items():
            answer = self.send("GET", f"{address}/ran")
            ran_by_target[name] = msgspec.json.decode(answer.data, type=RunList).ran
        return ran_by_target

    def count_runs(self) -> Counter:
        """Return how many requests each target was given, by its name."""
        return Counter({name: len(ran) for name, ran in self.list_runs().items()})

    def get_target_status(self, name: str) -> str:
        """Return the status of a target as the resource API shows it."""
        api = self.fleet.hosts[0].get_address(API_PORT)
        answer = self.send("GET", f"{api}/resources/Target/{name}")
        if answer.status != 200:
            return f"unknown ({answer.status})"
        return bytes(msgspec.json.decode(answer.data, type=Listed).status).decode()


def describe_answer(answer: urllib3.BaseHTTPResponse) -> str:
    """Describe where an answer came from and what it says of itself."""
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


def wait_until(seconds: float, attempt: Callable[[], Any]) -> Any:
    """Repeat an attempt until it does not fail.

    Args:
        seconds: Bound on the whole.
        attempt: Raises ``CheckFailedError`` while it is too early.

    Returns:
        What the attempt returned.

    Raises:
        CheckFailedError: The last one, once the time is over.
    """
    until = time.monotonic() + seconds
    while True:
        try:
            return attempt()
        except CheckFailedError:
            if time.monotonic() >= until:
                raise
            time.sleep(POLL_SECONDS)


def expect_answer(demo: Demo, url: str) -> None:
    """Fail unless a URL answers 200."""
    answer = demo.send("GET", url)
    expect(answer.status == 200, f"GET {url}: {describe_answer(answer)}")


def check_ready(demo: Demo) -> str:
    """Every process answers."""
    urls = [f"{item}/health" for item in demo.fleet.target_address_by_name.values()]
    urls.append(f"{demo.fleet.log_address}/records?from=0")
    urls.append(f"{demo.fleet.host_list_address}/")
    for host in demo.fleet.hosts:
        urls.append(f"{host.get_address(API_PORT)}/status")
        urls.append(f"{host.get_address(ENTRY_METRICS_PORT)}/metrics")
    until = time.monotonic() + READY_SECONDS
    for url in urls:
        left = max(until - time.monotonic(), 0.0)
        wait_until(left, lambda url=url: expect_answer(demo, url))
    return f"{len(urls)} addresses answer"


def _get_version(demo, url):
    answer = demo.send("GET", url)
    if answer.status != 200:
        return -1
    return msgspec.json.decode(answer.data, type=Listed).version


def _apply(demo, resource):
    api = demo.fleet.hosts[0].get_address(API_PORT)
    url = f"{api}/resources/{resource.kind}/{resource.name}"
    version = _get_version(demo, url)
    spec = msgspec.json.encode(resource.spec)
    answer = demo.send(
        "PUT",
        f"{url}?version={version}",
        body=b'{"spec": ' + spec + b"}",
        headers={"Content-Type": "application/json"},
    )
    reason = answer.data[:200].decode(errors="replace")
    expect(answer.status == 200, f"PUT {url}: {answer.status} {reason}")


def check_apply(demo: Demo) -> str:
    """The resource API accepts the example resources."""
    resources = load_examples(demo.fleet)
    for resource in resources:
        wait_until(ACCEPTED_SECONDS, lambda item=resource: _apply(demo, item))
    demo.applied_at = time.monotonic()
    return f"{len(resources)} resources accepted"


def check_in_force(demo: Demo) -> str:
    """Every entry serves the new route within seconds."""
    expect(demo.applied_at > 0, "nothing was applied")
    until = demo.applied_at + IN_FORCE_SECONDS
    for host in demo.fleet.hosts:
        url = f"{host.get_address(CALLERS_PORT)}/packs/first"
        left = max(until - time.monotonic(), 0.0)
        wait_until(left, lambda url=url: expect_answer(demo, url))
    seconds = time.monotonic() - demo.applied_at
    return f"at all {len(demo.fleet.hosts)} entries after {seconds:.2f} s"


class NodeListed(msgspec.Struct, frozen=True, kw_only=True):
    """What the checks read of a node in a status."""

    name: str
    entry: str


class FleetListed(msgspec.Struct, frozen=True, kw_only=True):
    """What the checks read of an agent's status."""

    nodes: tuple[NodeListed, ...]


def check_membership(demo: Demo) -> str:
    """Every node knows every other one as serving."""
    until = time.monotonic() + READY_SECONDS
    for host in demo.fleet.hosts:
        left = max(until - time.monotonic(), 0.0)
        wait_until(left, lambda host=host: _expect_all_serving(demo, host))
    return f"each of {len(demo.fleet.hosts)} nodes sees all serving"


def _expect_all_serving(demo, host):
    answer = demo.send("GET", f"{host.get_address(API_PORT)}/status")
    nodes = msgspec.json.decode(answer.data, type=FleetListed).nodes
    serving = {node.name for node in nodes if node.entry == "serving"}
    expect(
        len(serving) == len(demo.fleet.hosts), f"{host.name}: serving {sorted(serving)}"
    )


def _ask_directory(demo, host: FleetHost, region):
    url = f"{host.get_address(API_PORT)}/directory?region={region}&account={ACCOUNT}"
    answer = demo.send("GET", url)
    expect(answer.status == 200, f"GET {url}: {answer.status}")
    return msgspec.json.decode(answer.data, type=Directory)


def _expect_own_region(demo, host):
    directory = _ask_directory(demo, host, REGION)
    # Even a wrong answer is kept, so that the checks after this one can be made.
    demo.directory = directory
    own = [h.get_address(CALLERS_PORT) for h in demo.fleet.hosts if h.region == REGION]
    first = set(directory.addresses[: len(own)])
    expect(first == set(own), f"{directory.addresses}, not first {own}")
    expect(bool(directory.key_prefix), "no key prefix")


def check_directory(demo: Demo) -> str:
    """The directory gives addresses in the caller's region and a key prefix."""
    for host in demo.fleet.hosts[::-1]:
        wait_until(KNOWN_SECONDS, lambda host=host: _expect_own_region(demo, host))
    directory = demo.directory
    return f"{', '.join(directory.addresses)}, prefix {directory.key_prefix!r}"


def check_browse(demo: Demo) -> str:
    """A browse is answered whole."""
    path = f"/packs/42?bytes={ANSWER_BYTES}"
    answer = demo.send_as_caller(0, "GET", path)
    expect(answer.status == 200, f"status {answer.status}")
    expected = b"".join(make_body("/packs/42", ANSWER_BYTES))
    expect(answer.data == expected, "the body is not the target's")
    return f"whole answer of {len(expected)} bytes"


def _expect_one_run(demo, key):
    found = [
        (target, record)
        for target, ran in demo.list_runs().items()
        for record in ran
        if key and record.key.endswith(key.rpartition(".")[2])
    ]
    expect(len(found) == 1, f"ran {len(found)} times: {found}")
    target, record = found[0]
    expect(record.status == RunStatus.COMPLETED, f"{target}: {record.status}")
    return target


def _purchase(demo, number):
    body = b'{"pack": 42, "price": 1900}'
    headers = {"Idempotency-Key": demo.purchase_key}
    return demo.send_as_caller(number, "POST", "/purchases", body=body, headers=headers)


def check_purchase(demo: Demo) -> str:
    """A purchase with a key runs once."""
    expect(demo.directory is not None, "no key prefix from the directory")
    demo.purchase_key = f"{demo.directory.key_prefix}.{uuid.uuid4().hex}"
    answer = _purchase(demo, 0)
    expect(answer.status == 200, f"status {answer.status}")
    target = _expect_one_run(demo, demo.purchase_key)
    demo.purchase_answer = answer.data
    return f"ran once, at {target}"


def check_purchase_again(demo: Demo) -> str:
    """The same purchase, sent again here and elsewhere, gets the first answer."""
    expect(bool(demo.purchase_answer), "there was no purchase")
    for number in range(2):
        answer = _purchase(demo, number)
        expect(answer.status == 200, f"status {answer.status}")
        expect(answer.data == demo.purchase_answer, "another answer than the first")
    target = _expect_one_run(demo, demo.purchase_key)
    return f"the first answer twice more; still ran once, at {target}"


def _make_upload() -> Iterable[bytes]:
    counter = itertools.count()
    made = 0
    while made < UPLOAD_BYTES:
        part = hashlib.sha256(str(next(counter)).encode()).digest() * 1000
        yield part
        made += len(part)


def check_upload(demo: Demo) -> str:
    """An upload in chunks arrives whole."""
    whole = b"".join(_make_upload())
    digest = hashlib.sha256(whole).hexdigest()
    answer = demo.send_as_caller(0, "PUT", "/pack-uploads/castle", body=_make_upload())
    expect(answer.status == 200, f"status {answer.status}")
    said = msgspec.json.decode(answer.data, type=TargetAnswer)
    expect(said.body_digest == digest, "the answer names another digest")
    for ran in demo.list_runs().values():
        if any(record.body_digest == digest for record in ran):
            return f"{len(whole)} bytes with digest {digest[:12]}… at {said.target}"
    raise CheckFailedError("no target recorded the digest")


class Browsing:
    """Callers that browse all the time, in threads of their own."""

    def __init__(self, demo: Demo):
        self._demo = demo
        self._stopped = threading.Event()
        self._threads = [
            threading.Thread(target=self._browse, args=(number,), daemon=True)
            for number in range(BROWSING_THREADS)
        ]
        self.count_by_status: Counter = Counter()

    def __enter__(self):
        """Begin to browse."""
        for thread in self._threads:
            thread.start()
        return self

    def __exit__(self, *_):
        """Stop browsing and wait for the requests in flight."""
        self._stopped.set()
        for thread in self._threads:
            thread.join(REQUEST_SECONDS)

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
                self._stopped.wait(POLL_SECONDS)


def _watch_share(demo, browsing, name, seconds, is_reached):
    """Wait until the share of a target in the work is as wanted, over a window."""
    started = time.monotonic()
    while time.monotonic() - started < seconds:
        before = demo.count_runs()
        browsing.count_by_status.clear()
        time.sleep(WINDOW_SECONDS)
        given = demo.count_runs()
        given.subtract(before)
        total = sum(given.values())
        share = given[name] / max(total, 1)
        statuses = dict(browsing.count_by_status)
        say(f"    {dict(given)}; callers saw {statuses}")
        if total >= LEAST_BROWSES and is_reached(share):
            return time.monotonic() - started
    raise CheckFailedError(f"not within {seconds:.0f} s")


def _switch(demo, name, switches):
    url = f"{demo.fleet.target_address_by_name[name]}/control"
    answer = demo.send("POST", url, body=msgspec.json.encode(switches))
    expect(answer.status == 200, f"POST {url}: {answer.status}")


def check_ejection(demo: Demo) -> str:
    """A target that fails real work but passes health checks gets no more work."""
    expect(demo.directory is not None, "no address from the directory")
    with Browsing(demo) as browsing:
        before = demo.count_runs()
        time.sleep(WINDOW_SECONDS)
        given = demo.count_runs()
        given.subtract(before)
        name, count = given.most_common(1)[0]
        expect(count > 0, f"no target was given work: {dict(given)}")
        say(f"    {dict(given)}; {name} is made sick: {GRAY}")
        try:
            _switch(demo, name, GRAY)
            seconds = _watch_share(
                demo, browsing, name, EJECTED_SECONDS, lambda s: s <= EJECTED_SHARE
            )
            say(f"    status of {name}: {demo.get_target_status(name)}")
        finally:
            _switch(demo, name, WELL)
        say(f"    {name} is made well")
        back = _watch_share(
            demo, browsing, name, BACK_SECONDS, lambda s: s >= BACK_SHARE
        )
        say(f"    status of {name}: {demo.get_target_status(name)}")
    return f"{name} without work within {seconds:.0f} s, back within {back:.0f} s"


CHECKS = (
    ("every process answers", check_ready),
    ("example resources are accepted", check_apply),
    ("the configuration is in force everywhere", check_in_force),
    ("every node knows every other", check_membership),
    ("the directory gives addresses", check_directory),
    ("a browse is answered", check_browse),
    ("a purchase runs once", check_purchase),
    ("the purchase sent again runs no second time", check_purchase_again),
    ("an upload arrives whole", check_upload),
    ("a sick target is ejected and comes back", check_ejection),
)
CHECKS_BEFORE_STAYING = 5


def run_checks(demo: Demo, checks) -> bool:
    """Run checks one after another and print a line for each.

    Returns:
        Whether all held.
    """
    held = True
    for title, check in checks:
        say(f"... {title}")
        try:
            result = check(demo)
        except (CheckFailedError, msgspec.MsgspecError) as error:
            say(f"FAIL: {title}: {error}")
            held = False
            continue
        say(f"ok: {title}: {result}")
    return held


def print_commands(demo: Demo) -> None:
    """Print commands for the person who plays with the fleet."""
    host = demo.fleet.hosts[0]
    api = host.get_address(API_PORT)
    entry = host.get_address(CALLERS_PORT)
    target = demo.fleet.target_address_by_name["shop-1"]
    say("The fleet runs until Ctrl-C. Try in another terminal:")
    say(f"  curl -i http://{entry}/packs/42")
    say(f"  curl 'http://{api}/directory?region={REGION}&account={ACCOUNT}'")
    say(f"  .venv/bin/citronspan get Target shop-1 --api {api}")
    say(f"  curl -d '{{\"errorShare\": 0.8}}' http://{target}/control")
    say(f"  .venv/bin/citronspan status --api {api}")
    say(f"Logs and settings: {demo.fleet.directory}")


def main() -> int:
    """Run the checks: ``demo_checks NETWORK DIRECTORY check|stay``."""
    network, directory, mode = sys.argv[1:]
    demo = Demo(fleet=Fleet(network=int(network), directory=Path(directory)))
    stay = mode == "stay"
    checks = CHECKS[:CHECKS_BEFORE_STAYING] if stay else CHECKS
    held = run_checks(demo, checks)
    if held:
        (demo.fleet.directory / PASSED_FILE).touch()
    if stay:
        print_commands(demo)
        threading.Event().wait()
    return 0 if held else 1


if __name__ == "__main__":
    sys.exit(main())
