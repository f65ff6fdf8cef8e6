"""Starts hosts of the project as the deploy file says, and ends them by their ids."""

import asyncio
import json
import os
import random
import shlex
import shutil
import signal
import socket
import tempfile
import time
import tomllib
from collections.abc import Callable
from pathlib import Path
from typing import TextIO

from review.common.store import Store
from review.common.target import Target
from review.common.wire import Answer, send_request

ROOT = Path(__file__).resolve().parents[2]
GRACE_SECONDS = 6.0
CONTACT_SECONDS = 4.0
NETWORK_TRIES = 50
PORT_BY_USE = {
    "callersAddress": 8548,
    "readinessAddress": 8542,
    "directoryAddress": 8546,
    "apiAddress": 8544,
}
PEER_PORTS = (7540, 7555)
METRICS_PORT = 9464
STORE_PORT = 8541
TARGET_PORT = 8080


class Host:
    """One host: a process of the project, with its settings file and its log."""

    def __init__(self, *, number: int, place: tuple[str, str], fleet: "Fleet"):
        self.data_centre, self.region = place
        self.name = f"edge-{self.data_centre}-{number}"
        self.ip = fleet.make_ip(1, number)
        self.address = f"{self.ip}:{PORT_BY_USE['callersAddress']}"
        self.store_address = f"{fleet.make_ip(2, number)}:{STORE_PORT}"
        self.process: asyncio.subprocess.Process | None = None
        self._fleet = fleet
        self._settings_path = fleet.folder / f"{self.name}.json"
        self._log_path = fleet.folder / f"{self.name}.log"

    def write_settings(self) -> None:
        """Write what the template of the deploy file makes of a machine's fields."""
        fleet = self._fleet
        settings = {
            "place": {
                "name": self.name,
                "region": self.region,
                "dataCentre": self.data_centre,
            },
            "address": self.ip,
            **{use: f"{self.ip}:{port}" for use, port in PORT_BY_USE.items()},
            "peerPorts": list(PEER_PORTS),
            "seedApiAddresses": [
                f"{host.ip}:{PORT_BY_USE['apiAddress']}" for host in fleet.hosts[:3]
            ],
            "regionByDataCentre": {
                host.data_centre: host.region for host in fleet.hosts
            },
            "storeAddress": self.store_address,
            "keepSeconds": 5,
            "stopSeconds": GRACE_SECONDS,
            "serviceRules": {
                "floor": 0.7,
                "retryRatio": 0.2,
                "retrySlack": 58,
                "retryWindowSeconds": 10,
            },
        }
        self._settings_path.write_text(json.dumps(settings))

    async def start(self) -> None:
        """Start the process with the command of the deploy file."""
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        words = shlex.split(deploy["roles"]["host"]["run"])
        environment = {
            name: os.environ[name] for name in ("PATH", "HOME") if name in os.environ
        }
        environment["LANG"] = "C.UTF-8"
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        environment["CITRONSPAN_BOOT"] = str(self._settings_path)
        with self._log_path.open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                *words, cwd=ROOT, env=environment, stdout=log, stderr=log
            )

    def send_signal(self, number: signal.Signals) -> None:
        """Send a signal to the process, if it still runs."""
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(number)

    async def terminate(self) -> None:
        """Stop the process as the platform does: SIGTERM, then SIGKILL."""
        self.send_signal(signal.SIGTERM)
        try:
            await asyncio.wait_for(self.process.wait(), GRACE_SECONDS)
        except TimeoutError:
            self.send_signal(signal.SIGKILL)
            await self.process.wait()

    async def is_ready(self) -> bool:
        """Return whether the readiness address answers 200."""
        answer = await send_request(
            f"{self.ip}:{PORT_BY_USE['readinessAddress']}",
            method="GET",
            path="/readiness",
            headers={"Host": self.ip},
            seconds=1.0,
        )
        return answer.status == 200

    def read_log(self) -> str:
        """Return what the process has logged so far."""
        return self._log_path.read_text(errors="replace")


class Fleet:
    """Hosts, a store and targets in one network of loopback addresses.

    Attributes:
        folder: Temporary folder for settings and logs.
        hosts: The hosts.
        store: The store.
        targets: The targets.
    """

    def __init__(self, *, record: TextIO):
        self.folder = Path(tempfile.mkdtemp(prefix="citronspan-review-"))
        self.hosts: list[Host] = []
        self.store = Store()
        self.targets: list[Target] = []
        self._record = record
        self._started_at = time.monotonic()
        self._network = _find_free_network()
        self._servers: list[asyncio.Server] = []
        self._number = 0

    def make_ip(self, group: int, number: int) -> str:
        """Return a loopback address of this fleet."""
        return f"127.{self._network}.{group}.{number}"

    def note(self, text: str) -> None:
        """Write a line with the time since the start into the record."""
        seconds = time.monotonic() - self._started_at
        self._record.write(f"{seconds:8.3f} {text}\n")
        self._record.flush()

    def get_seconds(self, at: float) -> float:
        """Return a monotonic time as seconds since the start."""
        return at - self._started_at

    def add_target(self, *, service: str, place: tuple[str, str], slots: int, work):
        """Add a target; it is started with the others."""
        number = len(self.targets) + 1
        target = Target(
            name=f"i-{number:02d}",
            service=service,
            data_centre=place[0],
            address=f"{self.make_ip(3, number)}:{TARGET_PORT}",
            store=self.store,
            slots=slots,
            work=work,
        )
        self.targets.append(target)
        return target

    async def start(self, places: list[tuple[str, str]], configuration: dict) -> None:
        """Start targets, store and hosts, and wait until all hosts are ready.

        Args:
            places: Zone and region of each host.
            configuration: The first configuration.

        Raises:
            RuntimeError: If the hosts are not ready in time.
        """
        self.hosts = [
            Host(number=number, place=place, fleet=self)
            for number, place in enumerate(places, start=1)
        ]
        self.put_configuration(configuration)
        for target in self.targets:
            await target.start()
        for host in self.hosts:
            self._servers.append(await self.store.serve(host.store_address, host.name))
            host.write_settings()
        for host in self.hosts:
            await host.start()
        await self.wait_until_ready(self.hosts)
        self.note(f"{len(self.hosts)} hosts are ready")

    async def wait_until_ready(self, hosts: list[Host], seconds: float = 20.0) -> None:
        """Wait until hosts are ready.

        Raises:
            RuntimeError: If they are not ready in time.
        """
        ends_at = time.monotonic() + seconds
        for host in hosts:
            while not await host.is_ready():
                if time.monotonic() > ends_at:
                    raise RuntimeError(f"{host.name} is not ready")
                await asyncio.sleep(0.1)

    def put_configuration(self, configuration: dict) -> float:
        """Write a configuration; return the time of the acknowledgement."""
        return self.store.put("keyed.op", "config", json.dumps(configuration).encode())

    async def send(
        self,
        address: str,
        *,
        method: str,
        path: str,
        body: bytes = b"",
        deadline_ms: int = 6000,
        request_id: str = "",
    ) -> tuple[str, Answer]:
        """Send a client's request to an address; return its id and the answer."""
        self._number += 1
        request_id = request_id or f"{os.getpid():x}-{self._number:06d}"
        answer = await send_request(
            address,
            method=method,
            path=path,
            headers={
                "Host": "shop.example",
                "X-Citronspan-Request-Id": request_id,
                "X-Citronspan-Deadline-Ms": str(deadline_ms),
            },
            body=body,
            seconds=deadline_ms / 1000 + 1.5,
        )
        return request_id, answer

    async def look_up(self, place: tuple[str, str]) -> list[str]:
        """Return the addresses that the directory names for clients of a place."""
        data_centre, region = place
        for host in random.sample(self.hosts, len(self.hosts)):
            answer = await send_request(
                f"{host.ip}:{PORT_BY_USE['directoryAddress']}",
                method="GET",
                path=f"/directory?name=shop.example&region={region}"
                f"&dataCentre={data_centre}",
                headers={"Host": host.ip},
                seconds=1.0,
            )
            if answer.status == 200:
                return json.loads(answer.body)["addresses"]
        return []

    async def stop(self) -> None:
        """End all that was started and remove the temporary folder."""
        for host in self.hosts:
            host.send_signal(signal.SIGCONT)
            host.send_signal(signal.SIGKILL)
            if host.process is not None:
                await host.process.wait()
        for target in self.targets:
            target.close()
        for server in self._servers:
            server.close()
        if "REVIEW_KEEP" in os.environ:
            print(self.folder)
            return
        shutil.rmtree(self.folder, ignore_errors=True)


def make_route(name: str, service: str, kind: str, **changes) -> dict:
    """Return a route of a configuration."""
    return {
        "name": name,
        "host": "shop.example",
        "pathPrefix": f"/{name}/",
        "kind": kind,
        "timeoutSeconds": 6,
        "latencyGoalSeconds": 3,
        "priority": 1,
        "service": service,
        "maximumAttempts": 2,
        **changes,
    }


def make_configuration(version: int, routes: list[dict], services: list[str]) -> dict:
    """Return a configuration as the operator writes it."""
    return {
        "version": version,
        "routes": routes,
        "services": [
            {"name": name, "healthPath": "/healthz", "maximumConnections": 330}
            for name in services
        ],
        "limits": {
            "headerBytes": 16384,
            "bodyBytes": 67108864,
            "headSeconds": 3,
            "idleSeconds": 15,
        },
    }


def _find_free_network() -> int:
    """Return N so that the ports of a host can be bound in 127.N.0.0/16."""
    ports = (*PORT_BY_USE.values(), *PEER_PORTS, METRICS_PORT)
    for network in random.sample(range(16, 240), NETWORK_TRIES):
        if all(_is_free(f"127.{network}.1.1", port) for port in ports):
            return network
    raise RuntimeError("no network of loopback addresses is free")


def _is_free(ip, port):
    with socket.socket() as sock:
        try:
            sock.bind((ip, port))
        except OSError:
            return False
    return True


def run_case(check: Callable, record_path: Path) -> int:
    """Run a case and return its exit status.

    Args:
        check: Coroutine that gets the fleet and whether to make trouble, and returns
            the violations of the rule, none if it held.
        record_path: Path of the record.

    Returns:
        1 if the rule was broken, 0 if it held, 2 if the case could not run.
    """
    has_trouble = os.environ.get("TROUBLE", "1") != "0"

    async def run():
        with record_path.open("w") as record:
            fleet = Fleet(record=record)
            fleet.note(f"trouble: {'yes' if has_trouble else 'no'}")
            try:
                violations = await check(fleet, has_trouble)
            except (RuntimeError, OSError) as error:
                fleet.note(f"the case could not run: {error!r}")
                print(f"the case could not run: {error!r}")
                return 2
            finally:
                await fleet.stop()
            for violation in violations[:20]:
                fleet.note(f"violation: {violation}")
            text = f"{len(violations)} violations" if violations else "the rule held"
            fleet.note(text)
            print(text)
            return 1 if violations else 0

    return asyncio.run(run())
