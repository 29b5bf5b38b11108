# Each target installs what it needs; the machine needs only Python 3.11.

PYTHON ?= python3.11
VENV ?= .venv
TEST_FLAGS ?=
DEMO_FLAGS ?=
BIN := $(VENV)/bin
READY := $(VENV)/.ready
PACKER := build/packer
BINARY := dist/magnoliadyke
SOURCES := $(shell find magnoliadyke tools examples -type f ! -name '*.pyc')

.PHONY: help venv test format demo binary check-binary demo-binary clean
.PHONY: lint lint-ruff lint-format lint-hacking lint-border lint-wire

help:
	@echo "make venv         create a virtual environment, pinned packages"
	@echo "make test         run all tests"
	@echo "make lint         run linters, format, border and wire name checks"
	@echo "make format       format the sources"
	@echo "make demo         run the small Dala deployment, under 90 s"
	@echo "make binary       build the single-file binary dist/magnoliadyke"
	@echo "make check-binary check start, process and stop of the binary"
	@echo "make demo-binary  run the demo from the binary"
	@echo "make clean        remove all files made by the targets above"

venv: $(READY)

$(READY): pyproject.toml constraints.txt
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --constraint constraints.txt --editable '.[dev]'
	touch $@

test: $(READY)
	$(BIN)/python -m pytest $(TEST_FLAGS)

# Separate targets, so that "make -k lint" runs all checks after a failure.
lint: lint-ruff lint-format lint-hacking lint-border lint-wire

lint-ruff: $(READY)
	$(BIN)/ruff check .

lint-format: $(READY)
	$(BIN)/ruff format --check .

lint-hacking: $(READY)
	$(BIN)/flake8

lint-border: $(READY)
	$(BIN)/python tools/border.py magnoliadyke/core

lint-wire: $(READY)
	$(BIN)/python tools/wirenames.py magnoliadyke

format: $(READY)
	$(BIN)/ruff format .

demo: $(READY)
	$(BIN)/magnoliadyke lab demo $(DEMO_FLAGS)

# The binary is built in a virtual environment of its own, so that no
# development package is included in it.  This needs a C compiler.
$(PACKER)/.ready: pyproject.toml constraints.txt
	$(PYTHON) -m venv $(PACKER)
	$(PACKER)/bin/pip install --quiet --constraint constraints.txt \
		--editable '.[binary]'
	touch $@

binary: $(BINARY)

$(BINARY): $(PACKER)/.ready $(SOURCES)
	$(PACKER)/bin/python tools/binary.py $(BINARY)

check-binary: binary
	$(PACKER)/bin/python tools/binary_check.py $(BINARY)

demo-binary: binary
	$(BINARY) lab demo $(DEMO_FLAGS)

clean:
	rm -rf $(VENV) build dist *.egg-info .pytest_cache .ruff_cache .hypothesis
