# Common tasks of the project; `make help` lists them.
PYTHON ?= python3
VENV := .venv
BIN := $(VENV)/bin
JOBS ?= 4
SOAK_S ?= 120
INSTANCES ?= 6
PACKAGES := packages/fescuequay-core packages/fescuequay-entry packages/fescuequay-ctl packages/fescuequay-standins \
	packages/fescuequay-emulator platform
REPORT := --no-color --no-summary --format features.report:Report
SOURCES := packages platform deploy features spec lab

.PHONY: help setup setup-dev wheels run test lint format prove prove-mutants soak measure capacity clean

help:  ## list the tasks
	@grep -E '^[a-z-]+:.*##' $(MAKEFILE_LIST) | sed 's/:.*##/\t/'

$(VENV)/.ready-to-run: requirements.txt $(PACKAGES:=/pyproject.toml)
	@$(PYTHON) lab/install.py $(VENV) -r requirements.txt
	@$(PYTHON) lab/install.py $(VENV) --no-build-isolation --no-deps $(addprefix -e ,$(PACKAGES))
	@touch $@

$(VENV)/.ready-to-develop: $(VENV)/.ready-to-run requirements-dev.txt
	@$(PYTHON) lab/install.py $(VENV) -r requirements.txt -r requirements-dev.txt
	@touch $@

setup: $(VENV)/.ready-to-run  ## create the virtual environment with the pinned libraries that `make run` needs

setup-dev: $(VENV)/.ready-to-develop  ## add the linters, type checker, test runner and solver

run: setup  ## start a small fleet on embedded stand-ins; Ctrl-C stops it
	$(BIN)/python -m fescuequay_standins.demo --text examples/cordillera.jsonc

test: setup-dev lint  ## lint, then run every check that CI runs
	@cat KNOWN-RED.txt
	ls features/*.feature | grep -v real.feature | xargs -P $(JOBS) -I{} $(BIN)/python -m behave $(REPORT) --tags="not @real" --tags="not @known-red" {}
	$(BIN)/python -m behave $(REPORT) --tags=@real --tags="not @known-red" features
	$(BIN)/python -m spec.prove
	$(BIN)/python -m spec.prove --mutants > /dev/null

lint: setup-dev  ## check formatting, lint rules, types and package boundaries
	$(BIN)/ruff format --check $(SOURCES)
	$(BIN)/flake8 $(SOURCES)
	$(BIN)/mypy
	$(BIN)/lint-imports

format: setup-dev  ## format the sources
	$(BIN)/ruff format $(SOURCES)

prove: setup-dev  ## prove the specification
	$(BIN)/python -m spec.prove

prove-mutants: setup-dev  ## remove each guard of the specification and print a counterexample
	$(BIN)/python -m spec.prove --mutants

soak: setup-dev  ## inject faults into real processes for minutes, with a new seed each time; SOAK_S, INSTANCES, SEED
	$(BIN)/python -m features.soak --seconds $(SOAK_S) --instances $(INSTANCES) $(if $(SEED),--seed $(SEED))

wheels: setup  ## ask the package index for the wheels of every pin, and record them for CI
	$(BIN)/python -m lab.wheels

measure: setup-dev  ## run the two workloads on stand-ins and print the table
	$(BIN)/python -m lab.measure

capacity: setup-dev  ## print the tables of docs/CAPACITY.md from measured slopes
	$(BIN)/python -m lab.capacity

clean:  ## remove the virtual environment and caches
	rm -rf $(VENV) .mypy_cache .ruff_cache .hypothesis
