"""``citronspan explain`` reads collected logs and says what they tell of a request."""

import subprocess
import sys

AT = "2026-01-01T00:00:0"
LINES = (
    f'host-1 {{"at":"{AT}1.000+00:00","event":"log-service-away","number":301}}\n'
    "something else\n"
    f'host-1 {{"at":"{AT}2.000+00:00","event":"request-refused","number":200,'
    '"id":"r-1","code":3002}\n'
)


def run(*arguments):
    return subprocess.run(
        [sys.executable, "-m", "citronspan.scripts.cli", "explain", *arguments],
        capture_output=True,
        text=True,
        check=False,
    )


def test_a_request_and_what_was_held_are_shown(tmp_path):
    path = tmp_path / "fleet.log"
    path.write_text(LINES)
    done = run("r-1", str(path))
    assert done.returncode == 0, done.stderr
    assert "00:00:01.000 host-1 301 log-service-away" in done.stdout
    assert "00:00:02.000 host-1 200 request-refused id=r-1 code=3002" in done.stdout


def test_an_unknown_request_and_a_missing_file_are_numbered_errors(tmp_path):
    path = tmp_path / "fleet.log"
    path.write_text(LINES)
    done = run("r-7", str(path))
    assert (done.returncode, "2013" in done.stderr) == (1, True)
    done = run("r-1", str(tmp_path / "none.log"))
    assert (done.returncode, "2014" in done.stderr) == (1, True)


def test_faulty_input_ends_with_the_status_that_the_processes_end_with(tmp_path):
    path = tmp_path / "services.json"
    path.write_text('{"kind": "Service", "name": "s", "spec": {"noSuch": 1}}')
    command = [sys.executable, "-m", "citronspan.scripts.cli", "check", str(path)]
    done = subprocess.run(command, capture_output=True, text=True, check=False)
    assert (done.returncode, "noSuch" in done.stderr) == (2, True)
    command[-1] = str(tmp_path / "none.json")
    done = subprocess.run(command, capture_output=True, text=True, check=False)
    assert (done.returncode, "1001" in done.stderr) == (2, True)
