"""Tests the output of ``citronspan explain`` and the exit status of errors."""

import subprocess
import sys

START = "2026-01-01T00:00:0"
LOG_LINES = (
    f'host-1 {{"at":"{START}1.000+00:00","event":"log-service-away","number":301}}\n'
    "something else\n"
    f'host-1 {{"at":"{START}2.000+00:00","event":"request-refused","number":200,'
    '"id":"r-1","code":3002}\n'
)


def run_explain(*arguments):
    return subprocess.run(
        [sys.executable, "-m", "citronspan.scripts.cli", "explain", *arguments],
        capture_output=True,
        text=True,
        check=False,
    )


def test_explain_prints_request_and_context_lines(tmp_path):
    path = tmp_path / "fleet.log"
    path.write_text(LOG_LINES)
    result = run_explain("r-1", str(path))
    assert result.returncode == 0, result.stderr
    assert "00:00:01.000 host-1 301 log-service-away" in result.stdout
    assert "00:00:02.000 host-1 200 request-refused id=r-1 code=3002" in result.stdout


def test_unknown_request_and_missing_file_are_reported_by_code(tmp_path):
    path = tmp_path / "fleet.log"
    path.write_text(LOG_LINES)
    result = run_explain("r-7", str(path))
    assert (result.returncode, "2013" in result.stderr) == (1, True)
    result = run_explain("r-1", str(tmp_path / "none.log"))
    assert (result.returncode, "2014" in result.stderr) == (1, True)


def test_invalid_input_exits_with_status_2(tmp_path):
    path = tmp_path / "services.json"
    path.write_text('{"kind": "Service", "name": "s", "spec": {"noSuch": 1}}')
    command = [sys.executable, "-m", "citronspan.scripts.cli", "check", str(path)]
    result = subprocess.run(command, capture_output=True, text=True, check=False)
    assert (result.returncode, "noSuch" in result.stderr) == (2, True)
    for content in ("[" * 4000, '{"place":' + "[" * 4000, '{"kind": ' + "[" * 4000):
        path.write_text(content)
        result = subprocess.run(command, capture_output=True, text=True, check=False)
        assert (result.returncode, "nested" in result.stderr) == (2, True), content[:9]
    command[-1] = str(tmp_path / "none.json")
    result = subprocess.run(command, capture_output=True, text=True, check=False)
    assert (result.returncode, "1001" in result.stderr) == (2, True)
