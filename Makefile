# Targets for set-up, tests, demonstration and benchmarks. `make test` and `make demo`
# need only python3 (3.11 or later), pip and make.

PYTHON ?= python3
VENV := .venv
BIN := $(VENV)/bin
export PYTHONHASHSEED = 0

.PHONY: venv test lint format demo up tables proofs capacity measure

venv: $(VENV)/.installed

$(VENV)/.installed: pyproject.toml constraints.txt
	test -x $(BIN)/python || $(PYTHON) -m venv $(VENV)
	$(BIN)/python -m pip install --quiet --constraint constraints.txt --editable '.[dev]'
	touch $@

lint: venv
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .

format: venv
	$(BIN)/ruff format .
	$(BIN)/ruff check --fix .

test: lint
	$(BIN)/python -m pytest

tables: venv
	$(BIN)/python -m citronspan.scripts.tables

# Breaks lines of the product, each in a copy, and names what no test noticed. Takes long.
proofs: venv
	$(BIN)/python -m citronspan_standins.proofs

demo: venv
	$(BIN)/python -m citronspan_standins.demo

up: venv
	$(BIN)/python -m citronspan_standins.demo --stay

# Runs all benchmarks behind docs/CAPACITY.md. Takes about ten minutes; run it on an
# otherwise idle machine.
measure: venv
	$(BIN)/python -m bench.membership bench/results/membership.json
	$(BIN)/python -m bench.detection bench/results/detection-cost.json cost
	$(BIN)/python -m bench.spells bench/results/spells.json
	$(BIN)/python -m bench.choice_costs --json > bench/results/choice-costs.json
	$(BIN)/python -m bench.keys --json > bench/results/keys.json
	$(BIN)/python -m bench.hop --json > bench/results/hop.json
	$(BIN)/python -m bench.spread 8 16 32 64 --json bench/results/spread.json

# Regenerates the tables and plots of docs/CAPACITY.md from bench/results.
capacity: venv
	$(BIN)/python -m bench.capacity
