"""Checks which packages may use the platform's names and import one another."""

import re
from pathlib import Path

ROOT = Path(__file__).parents[2]
PLATFORM_NAMES = re.compile(
    r"X-Citronspan-|trafficSplit|traffic_split|log-(append|read|newest|join|commit)"
    r"|keyed\.(op|servers|status)|warmUp|maximumConnections|op/config"
    r"|tenant|apiKeys|burstSize",
    re.IGNORECASE,
)


def test_platform_names_occur_only_in_the_platform_package():
    found = []
    for path in sorted((ROOT / "citronspan").rglob("*.py")):
        if "platform" in path.parts or path.name.endswith("_test.py"):
            continue
        for number, line in enumerate(path.read_text().splitlines(), 1):
            if PLATFORM_NAMES.search(line):
                found.append(f"{path.relative_to(ROOT)}:{number}: {line.strip()}")
    assert found == []


def test_packages_import_only_lower_layers():
    layers = ("utils", "core", "ops", "platform", "scripts")
    found = []
    for path in sorted((ROOT / "citronspan").rglob("*.py")):
        package = path.relative_to(ROOT / "citronspan").parts[0]
        if package not in layers or path.name.endswith("_test.py"):
            continue
        for imported in re.findall(r"^from citronspan\.(\w+)", path.read_text(), re.M):
            if layers.index(imported) > layers.index(package):
                found.append(f"{path.relative_to(ROOT)} imports {imported}")
    assert found == []


def test_packages_of_core_import_packages_that_they_must_not_know():
    # Decisions about slots and requests need what is known of targets. The codec alone
    # needs the messages of all.
    allowed_by_package = {
        "detection": set(),
        "brokering": {"detection"},
        "configuration": set(),
        "membership": set(),
        "keys": set(),
        "accounts": set(),
        "requests": {"detection", "accounts"},
    }
    found = []
    core = ROOT / "citronspan" / "core"
    for path in sorted(core.rglob("*.py")):
        if path.name.endswith("_test.py") or path == core / "messages.py":
            continue
        package = path.relative_to(core).parts[0]
        allowed = allowed_by_package.get(package, set()) | {package}
        modules = re.findall(r"^from citronspan\.core\.(\w+)", path.read_text(), re.M)
        for imported in modules:
            if imported in allowed_by_package and imported not in allowed:
                found.append(f"{path.relative_to(core)} imports {imported}")
    assert found == []
