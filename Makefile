PYTHON ?= python3
VENV ?= .venv
BIN := $(VENV)/bin

.PHONY: demo test bench format setup

setup: $(VENV)/.installed

$(VENV)/.installed: requirements.txt requirements-dev.txt pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(BIN)/python -m pip install --quiet -r requirements-dev.txt
	$(BIN)/python -m pip install --quiet --no-deps --no-build-isolation --editable .
	touch $@

demo: setup
	$(BIN)/python -m hyssopshelf.demo

test: setup
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .
	$(BIN)/python -m pytest

format: setup
	$(BIN)/ruff format .
	$(BIN)/ruff check --fix .

bench: setup
	for bench in benchmarks/bench_*.py; do \
		$(BIN)/python -m benchmarks.$$(basename $$bench .py) --seed 1 --json || exit 1; \
	done
