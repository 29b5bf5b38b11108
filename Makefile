# Each target sets up what it needs on a machine with Python 3.11 only.

PYTHON ?= python3.11
VENV ?= .venv
TEST_FLAGS ?=
BIN := $(VENV)/bin
READY := $(VENV)/.ready

.PHONY: help venv test lint format demo demo-binary binary clean

help:
	@echo "make venv         virtual environment with the pinned packages"
	@echo "make test         all tests"
	@echo "make lint         linters, format check, border check"
	@echo "make format       format the sources"
	@echo "make demo         the small Dala deployment, under 90 s"
	@echo "make binary       dist/magnoliadyke, one file"
	@echo "make demo-binary  the demo, run from that file"
	@echo "make clean        remove all that the targets above made"

venv: $(READY)

$(READY): pyproject.toml constraints.txt
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --constraint constraints.txt --editable '.[dev]'
	touch $@

test: $(READY)
	$(BIN)/python -m pytest $(TEST_FLAGS)

lint: $(READY)
	$(BIN)/ruff check .
	$(BIN)/ruff format --check .
	$(BIN)/flake8
	$(BIN)/python tools/border.py magnoliadyke/core

format: $(READY)
	$(BIN)/ruff format .

demo: $(READY)
	$(BIN)/magnoliadyke lab demo

binary: $(READY)
	$(BIN)/python tools/binary.py dist/magnoliadyke

demo-binary: binary
	dist/magnoliadyke lab demo

clean:
	rm -rf $(VENV) build dist *.egg-info .pytest_cache .ruff_cache .hypothesis
