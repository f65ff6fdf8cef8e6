"""The platform's names stand in the adapter alone."""

import re
from pathlib import Path

ROOT = Path(__file__).parents[2]
NAMES = re.compile(
    r"X-Citronspan-|trafficSplit|traffic_split|log-(append|read|newest|join|commit)"
    r"|keyed\.(op|servers|status)|warmUp|maximumConnections|op/config",
    re.IGNORECASE,
)


def test_nothing_outside_the_adapter_knows_the_platforms_names():
    found = []
    for path in sorted((ROOT / "citronspan").rglob("*.py")):
        if "platform" in path.parts or path.name.endswith("_test.py"):
            continue
        for number, line in enumerate(path.read_text().splitlines(), 1):
            if NAMES.search(line):
                found.append(f"{path.relative_to(ROOT)}:{number}: {line.strip()}")
    assert found == []


def test_imports_go_one_way():
    order = ("utils", "core", "ops", "platform", "scripts")
    found = []
    for path in sorted((ROOT / "citronspan").rglob("*.py")):
        package = path.relative_to(ROOT / "citronspan").parts[0]
        if package not in order or path.name.endswith("_test.py"):
            continue
        for name in re.findall(r"^from citronspan\.(\w+)", path.read_text(), re.M):
            if order.index(name) > order.index(package):
                found.append(f"{path.relative_to(ROOT)} imports {name}")
    assert found == []
