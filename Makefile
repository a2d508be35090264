# Needs python3 (3.11 or newer) and make. `make try-system` and `make try` play a day on real sockets, on a fresh
# machine too: of the serving system, and of the sidecar.

PYTHON ?= python3
VENV ?= .venv
BIN := $(VENV)/bin
MADE := $(VENV)/.made

.PHONY: help env try try-system test check

help:
	@echo 'make env     the environment in $(VENV), made anew when requirements.txt or pyproject.toml changed'
	@echo 'make try-system   play a day of twenty seconds of the serving system on loopback'
	@echo 'make try     play the day "try" of the sidecar on real sockets; its report goes to out/try.html'
	@echo 'make test    all tests: pytest, then the features'
	@echo 'make check   ruff, its format, mypy, import contracts'

env: $(MADE)

$(MADE): requirements.txt pyproject.toml
	@$(PYTHON) -c 'import sys; sys.exit(sys.version_info < (3, 11))' || \
		{ echo 'coveport needs Python 3.11 or newer; name one: make $(MAKECMDGOALS) PYTHON=python3.11' >&2; exit 2; }
	test -x $(BIN)/python || $(PYTHON) -m venv $(VENV)
	$(BIN)/python -m pip install --quiet --disable-pip-version-check -r requirements.txt -e '.[dev]'
	@touch $@

try: $(MADE)
	$(BIN)/coveport lab run try --ground real --report out/try.html --json out/try.json

try-system: $(MADE)
	$(BIN)/python -m coveport.serving try

test: $(MADE)
	$(BIN)/python -m pytest -q -n auto --dist worksteal --durations 10 -m 'not alone'
	$(BIN)/python -m pytest -q --durations 10 -m alone
	$(BIN)/behave --format progress features

check: $(MADE)
	$(BIN)/ruff check .
	$(BIN)/ruff format --check .
	$(BIN)/mypy
	for one in $$(find tests/serving -name conftest.py); do $(BIN)/mypy $$one || exit 1; done
	$(BIN)/lint-imports
