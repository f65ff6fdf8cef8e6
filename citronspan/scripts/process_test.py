"""Tests the reload of settings on SIGHUP and by polling, valid and invalid."""

import os
import select
import signal
import subprocess
import sys
import time
from pathlib import Path

import msgspec
import pytest

from citronspan.core.host_settings import HostSettings
from citronspan.scripts import process
from citronspan_standins.scripted_targets import find_free_addresses

TIMEOUT_SECONDS = 10.0

SETTINGS = {
    "place": {"name": "host-1", "region": "r", "dataCentre": "r-1"},
    "address": "127.0.0.1",
    "callersAddress": "127.0.0.1:1",
    "readinessAddress": "127.0.0.1:2",
    "directoryAddress": "127.0.0.1:3",
    "apiAddress": "127.0.0.1:4",
    "peerPorts": [7540, 7555],
    "storeAddress": "127.0.0.1:5",
}

PROGRAM = """
import signal, sys, time
from citronspan.core.host_settings import HostSettings
from citronspan.scripts import process

class Fake:
    def __init__(self, settings):
        self.stopped = False
    def run(self):
        print("runs", flush=True)
        while not self.stopped:
            time.sleep(0.01)
    def request_stop(self):
        self.stopped = True
    def reload(self, settings):
        print(f"keeps {settings.keep_seconds}", flush=True)

process.SETTINGS_POLL_SECONDS = float(sys.argv[2])
sys.exit(process.run_process(sys.argv[1], HostSettings, Fake))
"""


CHANGING_PROGRAM = """
import pathlib, sys
from citronspan.core.host_settings import HostSettings
from citronspan.scripts import process

class Fake:
    def __init__(self, settings):
        path = pathlib.Path(sys.argv[1])
        path.write_text(path.read_text().replace("4.5", "3.5"))
    def run(self):
        input()
    def request_stop(self):
        pass
    def reload(self, settings):
        print(f"keeps {settings.keep_seconds}", flush=True)

process.SETTINGS_POLL_SECONDS = 0.05
sys.exit(process.run_process(sys.argv[1], HostSettings, Fake))
"""


STOPPED_PROGRAM = """
import os, signal, sys
from citronspan.core.host_settings import HostSettings
from citronspan.scripts import process

class Fake:
    def __init__(self, settings):
        self.stopped = False
        os.kill(os.getpid(), signal.SIGTERM)
    def run(self):
        print(f"runs, stopped: {self.stopped}", flush=True)
    def request_stop(self):
        self.stopped = True

sys.exit(process.run_process(sys.argv[1], HostSettings, Fake))
"""


LOST_PROGRAM = """
import os, signal, sys, threading
from citronspan.core.host_settings import HostSettings
from citronspan.scripts import process

class Fake:
    def __init__(self, settings):
        self.stopped = threading.Event()
    def run(self):
        if sys.argv[2] == "another-thread":
            threading.Timer(0.1, self.send).start()
        else:
            with self.stopped._cond:
                os.kill(os.getpid(), signal.SIGTERM)
        self.stopped.wait()
    def send(self):
        signal.pthread_kill(threading.get_ident(), signal.SIGTERM)
    def request_stop(self):
        self.stopped.set()

sys.exit(process.run_process(sys.argv[1], HostSettings, Fake))
"""


ENDING_PROGRAM = """
import os, signal, sys
from citronspan.core.host_settings import HostSettings
from citronspan.scripts import process

class Fake:
    def __init__(self, settings):
        pass
    def run(self):
        pass
    def request_stop(self):
        pass
    def reload(self, settings):
        pass

class Last:
    def __del__(self, kill=os.kill, pid=os.getpid(), number=int(sys.argv[2])):
        kill(pid, number)

# The interpreter deletes it when it has given up its signal handlers.
sys.last = Last()
sys.exit(process.run_process(sys.argv[1], HostSettings, Fake))
"""


def write_settings(path: Path, **changes):
    path.write_bytes(msgspec.json.encode({**SETTINGS, **changes}))


def start_process(path, poll_seconds):
    return subprocess.Popen(
        [sys.executable, "-c", PROGRAM, str(path), str(poll_seconds)],
        stdout=subprocess.PIPE,
        text=True,
    )


@pytest.mark.parametrize("by_signal", [True, False])
def test_changed_settings_reload_without_a_restart(tmp_path, by_signal):
    path = tmp_path / "settings.json"
    write_settings(path)
    child = start_process(path, 60.0 if by_signal else 0.05)
    try:
        assert child.stdout.readline() == "runs\n"
        write_settings(path, keepSeconds=3.0)
        if by_signal:
            os.kill(child.pid, signal.SIGHUP)
        assert child.stdout.readline() == "keeps 3.0\n"
    finally:
        child.terminate()
    assert child.wait(TIMEOUT_SECONDS) == 0


def test_settings_that_change_during_the_start_never_take_effect(tmp_path):
    path = tmp_path / "settings.json"
    write_settings(path, keepSeconds=4.5)
    child = subprocess.Popen(
        [sys.executable, "-c", CHANGING_PROGRAM, str(path)],
        stdin=subprocess.PIPE,
        stdout=subprocess.PIPE,
        text=True,
    )
    try:
        readable, _, _ = select.select([child.stdout], [], [], TIMEOUT_SECONDS)
        assert readable
        assert child.stdout.readline() == "keeps 3.5\n"
    finally:
        child.kill()
        child.communicate()


def test_sigterm_cuts_requests_at_a_process_that_already_listens(tmp_path):
    path = tmp_path / "settings.json"
    write_settings(path)
    done = subprocess.run(
        [sys.executable, "-c", STOPPED_PROGRAM, str(path)],
        capture_output=True,
        text=True,
        timeout=TIMEOUT_SECONDS,
    )
    assert (done.returncode, done.stdout) == (0, "runs, stopped: True\n")


@pytest.mark.parametrize("arrival", ["another-thread", "locked"])
def test_sigterm_is_lost_while_the_main_thread_is_about_to_wait(tmp_path, arrival):
    path = tmp_path / "settings.json"
    write_settings(path)
    command = [sys.executable, "-c", LOST_PROGRAM, str(path), arrival]
    assert subprocess.run(command, check=False, timeout=TIMEOUT_SECONDS).returncode == 0


@pytest.mark.parametrize("number", [signal.SIGHUP, signal.SIGTERM, signal.SIGINT])
def test_signal_ends_a_process_whose_interpreter_shuts_down(tmp_path, number):
    path = tmp_path / "settings.json"
    write_settings(path)
    command = [sys.executable, "-c", ENDING_PROGRAM, str(path), str(int(number))]
    assert subprocess.run(command, check=False, timeout=TIMEOUT_SECONDS).returncode == 0


@pytest.mark.parametrize("module", ["citronspan.core", "citronspan.ops.host"])
def test_sighup_ends_a_host_that_still_imports_its_modules(tmp_path, module):
    path = tmp_path / "settings.json"
    addresses = find_free_addresses(5)
    names = ("callers", "readiness", "directory", "api", "store")
    write_settings(
        path,
        **{f"{name}Address": item for name, item in zip(names, addresses, strict=True)},
        metricsPort=int(find_free_addresses(1)[0].rpartition(":")[2]),
    )
    # With this option, a line tells that a module has been imported.
    command = [sys.executable, "-X", "importtime", "-m", "citronspan.scripts.host"]
    child = subprocess.Popen(
        [*command, str(path)], stdout=subprocess.PIPE, stderr=subprocess.STDOUT
    )
    try:
        assert any(line.split()[-1] == module.encode() for line in child.stdout)
        child.send_signal(signal.SIGHUP)
        assert any(b"process-started" in line for line in child.stdout)
    finally:
        child.terminate()
        try:
            child.communicate(timeout=TIMEOUT_SECONDS)
        finally:
            # One that runs on would hold the addresses of the next test.
            child.kill()
    assert child.returncode == 0


def test_invalid_settings_are_logged_and_not_applied(tmp_path, monkeypatch):
    events = []
    monkeypatch.setattr(
        process, "write_event", lambda logger, event, **fields: events.append(event)
    )

    class Fake:
        applied_settings = None

        def reload(self, settings):
            self.applied_settings = settings

    path = tmp_path / "settings.json"
    write_settings(path)
    fake_process = Fake()
    watcher = process.SettingsWatcher(
        path=path, settings_type=HostSettings, process=fake_process
    )
    monkeypatch.setattr(process, "SETTINGS_POLL_SECONDS", 0.01)
    watcher.start()
    path.write_bytes(b"{")
    deadline = time.monotonic() + TIMEOUT_SECONDS
    while not events and time.monotonic() < deadline:
        time.sleep(0.01)
    assert [event.name for event in events] == ["settings-refused"]
    assert fake_process.applied_settings is None


def test_reload_that_raises_ends_the_watch_of_the_settings(tmp_path, monkeypatch):
    kept = []

    class Fake:
        def reload(self, settings):
            kept.append(settings.keep_seconds)
            if len(kept) == 1:
                raise RuntimeError("unexpected")

    path = tmp_path / "settings.json"
    write_settings(path)
    watcher = process.SettingsWatcher(
        path=path, settings_type=HostSettings, process=Fake()
    )
    monkeypatch.setattr(process, "SETTINGS_POLL_SECONDS", 0.01)
    watcher.start()
    for keep_seconds in (3.0, 4.0):
        write_settings(path, keepSeconds=keep_seconds)
        deadline = time.monotonic() + TIMEOUT_SECONDS
        while keep_seconds not in kept and time.monotonic() < deadline:
            time.sleep(0.01)
    assert kept == [3.0, 4.0]


def test_host_holds_libraries_that_it_does_not_use():
    program = (
        "import sys, citronspan.scripts.host as host; "
        "print([name for name in ('cleo', 'opentelemetry.sdk') if name in sys.modules])"
    )
    output = subprocess.run(
        [sys.executable, "-c", program], check=True, capture_output=True, text=True
    ).stdout
    assert output == "[]\n"


@pytest.mark.parametrize("arguments", [[], ["a", "b"], ["--unknown", "a"]])
def test_invalid_command_line_starts_a_process(arguments, monkeypatch):
    monkeypatch.setattr(sys, "argv", ["citronspan-entry", *arguments])
    with pytest.raises(SystemExit) as caught:
        process.read_settings_path(program="citronspan-entry", description="")
    assert caught.value.code == 2


def test_named_settings_file_is_not_preferred_to_the_default(monkeypatch):
    monkeypatch.setattr(sys, "argv", ["citronspan-host", "named.json"])
    options = {"program": "citronspan-host", "description": ""}
    path = process.read_settings_path(
        **options, default="default.json", default_name="$PATH_VARIABLE"
    )
    assert path == "named.json"
