#!/usr/bin/env bash
# Builds what the scripts of review/6 and later ones start, after the build line of
# deploy/system.toml. The stand-ins are Python: building them is to check that each one
# compiles and that its imports are there. Nothing is downloaded.
set -euo pipefail
cd "$(dirname "$0")/.."
if [ ! -d target/deps ]; then
    echo "target/deps is missing: run the build line of deploy/system.toml first" >&2
    exit 2
fi
export PYTHONPATH="target/deps:.:review/common_2" PYTHONDONTWRITEBYTECODE=1
python3 - <<'PY'
import ast
from pathlib import Path

import lab

import citronspan_standins.http_service
import citronspan_standins.store_service

for path in [Path(lab.__file__), *sorted(Path("review").glob("[6-9]/case.py")), *sorted(Path("review").glob("10/case.py"))]:
    ast.parse(path.read_text(), filename=str(path))
    print("built", path.name, "of", path.parent.name)
PY
