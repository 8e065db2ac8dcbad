# `make demo` runs the gateway between stand-ins; `make test` runs all that CI runs. Both set up what they need.
VENV ?= .venv-dev
ARGS ?=
export PATH := $(abspath $(VENV))/bin:$(PATH)

# `make cluster` starts five gateways of the whole system, hosts, clients and an operator on loopback.
.PHONY: demo cluster test bench clean

demo: $(VENV)/made
	python -m coralvale demo $(ARGS)

cluster: $(VENV)/made
	python -m coralvale.cluster demo $(ARGS)

test: $(VENV)/made
	ruff format --check .
	ruff check .
	mypy
	lint-imports
	python -m pytest -n 4 --dist worksteal --ignore=tests/crowds
	python -m pytest tests/crowds

bench: $(VENV)/made
	python benchmarks/control.py $(ARGS)
	python benchmarks/quotas.py $(ARGS)
	python benchmarks/authorisation.py $(ARGS)
	python benchmarks/attempts.py $(ARGS)
	python benchmarks/syslog.py $(ARGS)
	python benchmarks/ledger.py $(ARGS)
	python benchmarks/plans.py $(ARGS)
	python benchmarks/http2.py $(ARGS)
	python benchmarks/lab.py $(ARGS)
	python benchmarks/membership.py $(ARGS)
	python benchmarks/cluster.py $(ARGS)
	python benchmarks/coordination.py $(ARGS)
	python benchmarks/large_fleet.py $(ARGS)

$(VENV)/made: requirements.txt requirements-control.txt requirements-lab.txt requirements-cluster.txt requirements-dev.txt
	rm -rf $(VENV)
	python3 -m venv $(VENV)
	$(VENV)/bin/pip -q install -r requirements-dev.txt
	touch $@

clean:
	rm -rf $(VENV)
