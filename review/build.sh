#!/usr/bin/env bash
# Builds the stand-ins of the cases: compiles them, and checks that all that they import
# is there. To be run after the build line of deploy/system.toml; needs no network.
set -euo pipefail
cd "$(dirname "$0")/.."
export PYTHONPYCACHEPREFIX=target/review
python3 -m compileall -q review citronspan citronspan_standins
PYTHONPATH=target/deps:. python3 -c "import citronspan.scripts.host, review.common.clients"
