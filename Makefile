# Commands for people; .ci/run is the same checks for machines.
PYTHON ?= python3
VENV := .venv
BIN := $(VENV)/bin

$(VENV)/installed: requirements.lock pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --requirement requirements.lock
	$(BIN)/pip install --quiet --no-deps --editable .
	touch $@

.PHONY: install test lint format demo soak fault-soak bench bench-policy bench-scale
install: $(VENV)/installed

test: install
	$(BIN)/python -m pytest -q

lint: install
	$(BIN)/ruff format --check src tests bench scripts deploy
	$(BIN)/ruff check --select I src tests bench
	$(BIN)/flake8 src tests
	$(BIN)/mypy

bench: install
	$(BIN)/python -m bench.cost

bench-policy: install
	$(BIN)/python -m bench.policy

bench-scale: install
	$(BIN)/python -m bench.scale

soak: install
	$(BIN)/python -m tests.soak

fault-soak: install
	$(BIN)/python -m tests.fault_soak.run --seeds 50

demo: install
	scripts/demo

format: install
	$(BIN)/ruff check --select I --fix src tests bench
	$(BIN)/ruff format src tests bench scripts deploy
