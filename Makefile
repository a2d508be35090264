# Needs python3 (3.11 or newer) and make. `make try` on a fresh machine: a day on real sockets, with a report.

PYTHON ?= python3
VENV ?= .venv
BIN := $(VENV)/bin
MADE := $(VENV)/.made

.PHONY: help env try test check

help:
	@echo 'make env     the environment in $(VENV), made anew when requirements.txt or pyproject.toml changed'
	@echo 'make try     play the day "try" on real sockets; its report goes to out/try.html'
	@echo 'make test    all tests'
	@echo 'make check   ruff, mypy, import contracts'

env: $(MADE)

$(MADE): requirements.txt pyproject.toml
	@$(PYTHON) -c 'import sys; sys.exit(sys.version_info < (3, 11))' || \
		{ echo 'coveport needs Python 3.11 or newer; name one: make $(MAKECMDGOALS) PYTHON=python3.11' >&2; exit 2; }
	test -x $(BIN)/python || $(PYTHON) -m venv $(VENV)
	$(BIN)/python -m pip install --quiet --disable-pip-version-check -r requirements.txt -e '.[dev]'
	@touch $@

try: $(MADE)
	$(BIN)/coveport lab run try --ground real --report out/try.html --json out/try.json

test: $(MADE)
	$(BIN)/python -m pytest -q -n auto --dist worksteal

check: $(MADE)
	$(BIN)/ruff check .
	$(BIN)/mypy
	$(BIN)/lint-imports
