# Commands of the project. `make demo` and `make test` need only Python 3.11 and make.
PYTHON ?= python3
VENV := .venv
RUN := $(VENV)/bin/python
STAMP := $(VENV)/.installed
DEPLOYMENT ?= parafina
SEED ?= 1
SEEDS ?= 1
SECONDS ?= 60
SOURCES := src standins harness tests bench examples

.PHONY: setup demo test lint format bench faults soak golden guards capacity reference dist

$(STAMP): pyproject.toml
	@echo "setting up $(VENV) (once)"
	@$(PYTHON) -m venv $(VENV)
	@$(VENV)/bin/pip install --quiet --disable-pip-version-check -e '.[dev]'
	@touch $(STAMP)

setup: $(STAMP)

demo: $(STAMP)
	@PYTHONPATH=. $(RUN) examples/demo.py --deployment $(DEPLOYMENT)

test: $(STAMP)
	@PYTHONPATH=. $(RUN) -m harness.test_runner tests

lint: $(STAMP)
	@$(VENV)/bin/black --check --quiet $(SOURCES)
	@$(VENV)/bin/isort --check-only --quiet $(SOURCES)
	@$(VENV)/bin/flake8 $(SOURCES)

format: $(STAMP)
	@$(VENV)/bin/isort --quiet $(SOURCES)
	@$(VENV)/bin/black --quiet $(SOURCES)

bench: $(STAMP)
	@PYTHONPATH=. $(RUN) -m bench.run --deployment $(DEPLOYMENT) --seed $(SEED)

faults: $(STAMP)
	@PYTHONPATH=. $(RUN) -m harness.fault_run --deployment $(DEPLOYMENT) --seed $(SEED) --seconds $(SECONDS)

soak: $(STAMP)
	@PYTHONPATH=. $(RUN) -m harness.soak --seeds $(SEEDS) --seconds $(SECONDS)

golden: $(STAMP)
	@LABURNUMPITCH_GOLDEN=rewrite PYTHONPATH=. $(RUN) -m harness.test_runner tests --only test_golden

guards: $(STAMP)
	@PYTHONPATH=. $(RUN) -m harness.guard_proof

capacity: $(STAMP)
	@PYTHONPATH=. $(RUN) -m bench.capacity

reference: $(STAMP)
	@PYTHONPATH=. $(RUN) -m harness.reference

dist: $(STAMP)
	@mkdir -p dist
	@$(VENV)/bin/shiv --quiet -c laburnumpitch -o dist/laburnumpitch .
