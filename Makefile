# Each target does its own set-up in a virtual environment, .venv.

PYTHON ?= python3
VENV ?= .venv
BIN := $(VENV)/bin
PACKAGES := core daemon client standins e2e gateway
STAMP := $(VENV)/.installed

.PHONY: setup format lint unit scenarios mutations golden demo bench capacity test clean

setup: $(STAMP)

$(STAMP): requirements.txt $(wildcard packages/*/pyproject.toml) platform/pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --requirement requirements.txt
	$(BIN)/pip install --quiet --no-deps --no-build-isolation \
	  $(foreach package,$(PACKAGES),--editable packages/$(package)) \
	  --editable platform
	touch $(STAMP)

format: setup
	$(BIN)/ruff format packages

lint: setup
	$(BIN)/ruff format --check --diff packages
	$(BIN)/flake8 packages

unit: setup
	$(BIN)/python -m auburnroad_e2e.unit

scenarios: setup
	$(BIN)/python -m auburnroad_e2e.scenarios

mutations: setup
	$(BIN)/python -m auburnroad_e2e.mutations

golden: setup
	$(BIN)/python -m auburnroad_e2e.golden

demo: setup
	@$(BIN)/python -m auburnroad_e2e.demo

bench: setup
	$(BIN)/python -m auburnroad_e2e.bench

capacity: setup
	$(BIN)/python -m auburnroad_e2e.capacity

test: lint unit scenarios golden

clean:
	rm -rf $(VENV) packages/*/*.egg-info
