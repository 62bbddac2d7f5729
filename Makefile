# Every target works on a fresh machine with Python 3.11 or newer and a package index.
VENV ?= .venv
PY := $(VENV)/bin/python
export PYTHONPATH := src
export PYTHONHASHSEED := 0
LINTED := src features bench tools

.PHONY: demo test format-check lint types features format

$(VENV)/runtime.ok: requirements.lock
	test -x $(PY) || python3 -m venv $(VENV)
	$(PY) -m pip install -q -r requirements.lock
	touch $@

$(VENV)/dev.ok: $(VENV)/runtime.ok requirements-dev.lock
	$(PY) -m pip install -q -r requirements.lock -r requirements-dev.lock
	$(PY) -m pip install -q --no-build-isolation --no-deps -e .
	touch $@

demo: $(VENV)/runtime.ok
	$(PY) -m alderhatch.cli.demo

test: format-check lint types features

format-check: $(VENV)/dev.ok
	$(PY) -m black -q --check $(LINTED) || $(PY) -m black --check $(LINTED)

lint: $(VENV)/dev.ok
	$(PY) -m ruff check $(LINTED)

types: $(VENV)/dev.ok
	$(PY) -m mypy

features: $(VENV)/dev.ok
	$(PY) tools/run_features.py

format: $(VENV)/dev.ok
	$(PY) -m black -q $(LINTED)
	$(PY) -m ruff check --fix $(LINTED)
