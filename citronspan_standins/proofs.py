"""Breaks one line of the product after the other and names what no test notices.

Each mutation of ``mutations.toml`` is applied to a copy of the source tree of its own,
in which its tests are run. A test that passes on the broken copy doesn't hold the rule.
The tests are run on an unbroken copy first, since a test that fails anyway shows
nothing. Run it by hand, ``make proofs``; it takes long.
"""

import argparse
import shutil
import subprocess
import sys
import tempfile
import tomllib
from collections.abc import Iterable
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass
from pathlib import Path

ROOT = Path(__file__).parents[1]
MUTATIONS = Path(__file__).with_name("mutations.toml")
COPIED_NAMES = (
    "citronspan",
    "citronspan_standins",
    "deploy",
    "docs",
    "examples",
    "conftest.py",
    "KNOWN-RED.txt",
    "pyproject.toml",
)
PARALLEL_RUNS = 2
RUN_SECONDS = 300.0
"""Longest time of the tests of one mutation; a mutation may make them hang."""

PYTEST_PASSED = 0
PYTEST_FAILED = 1


class MutationError(Exception):
    """Signals a mutation that cannot be applied or whose tests cannot be run."""


@dataclass(frozen=True, kw_only=True, slots=True)
class Mutation:
    """A change that breaks a rule.

    Attributes:
        name: Short name, unique.
        rule: Name of the rule of the platform that the change breaks.
        module: Path of the changed file, relative to the root.
        old: Text that occurs exactly once in it.
        new: Text that replaces it.
        tests: Tests of which at least one is to fail, as pytest names them.
    """

    name: str
    rule: str
    module: str
    old: str
    new: str
    tests: tuple[str, ...]


def load_mutations(path: Path = MUTATIONS) -> list[Mutation]:
    """Load the mutations of a file.

    Raises:
        MutationError: If two have the same name.
    """
    content = tomllib.loads(path.read_text())
    mutations = [
        Mutation(**{**fields, "tests": tuple(fields["tests"])})
        for fields in content["mutation"]
    ]
    names = [mutation.name for mutation in mutations]
    for name in names:
        if names.count(name) > 1:
            raise MutationError(f"{name}: two mutations have this name")
    return mutations


def apply_mutation(mutation: Mutation, root: Path) -> None:
    """Change the module of a mutation in a source tree.

    Raises:
        MutationError: If the text is not there, is there more than once or stays.
    """
    module = root / mutation.module
    if not module.is_file():
        raise MutationError(f"{mutation.name}: there is no {mutation.module}")
    text = module.read_text()
    count = text.count(mutation.old)
    if count != 1:
        raise MutationError(
            f"{mutation.name}: its text occurs {count} times in {mutation.module}, "
            "not once; adapt mutations.toml to the code"
        )
    if mutation.old == mutation.new:
        raise MutationError(f"{mutation.name}: it changes nothing")
    changed = text.replace(mutation.old, mutation.new)
    try:
        compile(changed, mutation.module, "exec")
    except SyntaxError as error:
        raise MutationError(f"{mutation.name}: {error}") from error
    module.write_text(changed)


def check_mutation(mutation: Mutation) -> bool:
    """Return whether a test of a mutation fails on a copy that has it.

    Raises:
        MutationError: If it cannot be applied, or pytest ends otherwise than with
            passed or failed tests.
    """
    with tempfile.TemporaryDirectory(prefix="proofs-") as directory:
        root = Path(directory)
        copy_sources(root)
        apply_mutation(mutation, root)
        status = run_tests(mutation.tests, root)
    if status not in (PYTEST_PASSED, PYTEST_FAILED):
        raise MutationError(f"{mutation.name}: pytest ended with status {status}")
    return status == PYTEST_FAILED


def copy_sources(root: Path) -> None:
    """Copy what the tests need into an empty directory."""
    for name in COPIED_NAMES:
        source = ROOT / name
        if source.is_dir():
            ignore = shutil.ignore_patterns("__pycache__")
            shutil.copytree(source, root / name, ignore=ignore)
            continue
        shutil.copy(source, root / name)


def run_tests(tests: Iterable[str], root: Path) -> int:
    """Run tests in a source tree until the first fails.

    Returns:
        The status of pytest; that of failed tests if they take ``RUN_SECONDS``.
    """
    options = ("-q", "-x", "-p", "no:cacheprovider", "--no-header", "--tb=no")
    command = [sys.executable, "-B", "-m", "pytest", *options, *tests]
    try:
        result = subprocess.run(
            command,
            cwd=root,
            timeout=RUN_SECONDS,
            stdout=subprocess.DEVNULL,
            stderr=subprocess.DEVNULL,
            check=False,
        )
    except subprocess.TimeoutExpired:
        return PYTEST_FAILED
    return result.returncode


def check_unbroken(mutations: Iterable[Mutation], parallel_runs: int) -> list[str]:
    """Return the tests of some mutations that fail without any mutation."""
    tests = sorted({test for mutation in mutations for test in mutation.tests})
    with tempfile.TemporaryDirectory(prefix="proofs-") as directory:
        root = Path(directory)
        copy_sources(root)
        with ThreadPoolExecutor(parallel_runs) as pool:
            statuses = list(pool.map(lambda test: run_tests([test], root), tests))
    return [
        test
        for test, status in zip(tests, statuses, strict=True)
        if status != PYTEST_PASSED
    ]


def main() -> int:
    """Check mutations and print them; return 0 if all of them are noticed."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("names", nargs="*", help="mutations to check, all if none")
    parser.add_argument("--parallel", type=int, default=PARALLEL_RUNS)
    arguments = parser.parse_args()
    names = arguments.names
    mutations = load_mutations()
    chosen = [m for m in mutations if not names or m.name in names]
    unknown = set(names) - {mutation.name for mutation in mutations}
    if unknown:
        parser.error(f"no such mutation: {', '.join(sorted(unknown))}")
    failing = check_unbroken(chosen, arguments.parallel)
    for test in failing:
        print(f"fails without a mutation: {test}", flush=True)
    with ThreadPoolExecutor(arguments.parallel) as pool:
        results = list(pool.map(_describe_check, chosen))
    for result in ("error", "unnoticed"):
        for mutation, found in zip(chosen, results, strict=True):
            if found == result:
                print(f"{result}: {mutation.rule} {mutation.name}")
    noticed = results.count("noticed")
    print(f"{noticed} of {len(chosen)} mutations were noticed")
    return 0 if noticed == len(chosen) and not failing else 1


def _describe_check(mutation):
    try:
        result = "noticed" if check_mutation(mutation) else "unnoticed"
    except MutationError as error:
        print(f"error: {error}", flush=True)
        return "error"
    print(f"{result}: {mutation.rule} {mutation.name}", flush=True)
    return result


if __name__ == "__main__":
    sys.exit(main())
