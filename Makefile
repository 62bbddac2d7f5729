# Every target works on a fresh machine with Python 3.11 or newer and a package index.
VENV ?= .venv
PY := $(VENV)/bin/python
export PYTHONPATH := src
export PYTHONHASHSEED := 0
LINTED := src features bench tools

.PHONY: demo test format-check lint types features format

# Some features only: make test FEATURES=features/settings.feature
FEATURES ?=

# The stamps carry a checksum of the pinned lists, so that a changed list installs anew.
RUNTIME_OK := $(VENV)/runtime-$(shell cat requirements.lock | cksum | cut -d' ' -f1).ok
DEV_OK := $(VENV)/dev-$(shell cat requirements.lock requirements-dev.lock | cksum | cut -d' ' -f1).ok

$(RUNTIME_OK):
	test -x $(PY) || python3 -m venv $(VENV)
	$(PY) -m pip install -q -r requirements.lock
	touch $@

$(DEV_OK): | $(RUNTIME_OK)
	$(PY) -m pip install -q -r requirements.lock -r requirements-dev.lock
	$(PY) -m pip install -q --no-build-isolation --no-deps -e .
	touch $@

demo: $(RUNTIME_OK)
	$(PY) -m alderhatch.cli.demo

test: format-check lint types features

format-check: $(DEV_OK)
	$(PY) -m black -q --check $(LINTED) || $(PY) -m black --check $(LINTED)

lint: $(DEV_OK)
	$(PY) -m ruff check $(LINTED)

types: $(DEV_OK)
	$(PY) -m mypy

features: $(DEV_OK)
	$(PY) tools/run_features.py $(FEATURES)

format: $(DEV_OK)
	$(PY) -m black -q $(LINTED)
	$(PY) -m ruff check --fix $(LINTED)

# Benchmarks; each closes with its goals.

.PHONY: bench-capacity bench-control bench-control-log bench-entry bench-owners bench-policy bench-policy-loopback
.PHONY: policy-plots

bench-capacity: $(DEV_OK)
	PYTHONPATH=src:. $(PY) -m bench.capacity

bench-control: $(RUNTIME_OK)
	PYTHONPATH=src:. $(PY) -m bench.control

bench-control-log: $(RUNTIME_OK)
	PYTHONPATH=src:. $(PY) -m bench.control_log

# Processor time and memory of one entry against a bare trio + h11 loop; some minutes.
bench-entry: $(RUNTIME_OK)
	PYTHONPATH=src:. $(PY) -m bench.entry

# What a shard request costs through an owner against the direct way; half a minute.
bench-owners: $(RUNTIME_OK)
	PYTHONPATH=src:. $(PY) -m bench.owners

bench-policy: $(DEV_OK)
	PYTHONPATH=src:. $(PY) -m bench.policy

# The real entry over loopback against a naive fan-out, with faults at the servers; some minutes.
bench-policy-loopback: $(RUNTIME_OK)
	PYTHONPATH=src:. $(PY) -m bench.policy_loopback

# The plots of docs/MEASUREMENTS.md, from a run of the bench.
policy-plots: $(DEV_OK)
	mkdir -p build
	PYTHONPATH=src:. $(PY) -m bench.policy --json build/policy.json
	PYTHONPATH=src:. $(PY) -m bench.policy.plots build/policy.json docs/plots

.PHONY: catalogues sweep-raft

# The pages of docs/ that show closed lists of the code.
catalogues: $(DEV_OK)
	PYTHONPATH=src:. $(PY) tools/write_catalogues.py

# A longer search for schedules that break the replicated log than CI has time for.
SEEDS ?= 1000
FIRST_SEED ?= 0

sweep-raft: $(DEV_OK)
	PYTHONPATH=src:. $(PY) -m features.support.raft_schedule $(SEEDS) $(FIRST_SEED)
