# `make run` and `make test` need just Python 3.11 or later; they install the rest.

PYTHON ?= python3
VENV := .venv
BIN := $(VENV)/bin
RUN := PYTHONPATH=src:examples:. $(BIN)/python
SECONDS ?= 8
BENCH ?= rounds

.PHONY: run test lint binary bench clean

## Run both example deployments on stand-ins and print their measurements.
run: $(VENV)/ready
	$(RUN) -m quickstart.run --deployment both --seconds $(SECONDS)

## Run all tests in parallel processes, as they spend most of their time waiting, and
## then those that measure a process, one at a time.
TEST_PROCESSES ?= 8
test: $(VENV)/ready
	$(BIN)/python -m pytest -n $(TEST_PROCESSES) --dist worksteal -m "not alone"
	$(BIN)/python -m pytest -m alone

## Check the format and lint.
lint: $(VENV)/ready
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .

## Build the single-file program dist/wigeonfront.
binary: $(VENV)/ready
	$(BIN)/python .ci/build_binary.py

## Run a package of benchmarks/: make bench BENCH=rounds ARGS="--help".
bench: $(VENV)/ready
	$(RUN) -m benchmarks.$(BENCH) $(ARGS)

clean:
	rm -rf $(VENV) build dist .pytest_cache .ruff_cache .hypothesis

$(VENV)/ready: pyproject.toml
	$(PYTHON) -c 'import sys; sys.exit(sys.version_info < (3, 11) and "Python 3.11 or later is needed; set PYTHON")'
	$(PYTHON) -m venv $(VENV)
	$(BIN)/python -m pip install --quiet --editable '.[dev]'
	touch $@

## Run the fault soak with some seeds: make soak SEEDS=1-50.
SEEDS ?= 1-3
.PHONY: soak
soak: $(VENV)/ready
	$(RUN) -m benchmarks.soak --seeds $(SEEDS) $(ARGS)
