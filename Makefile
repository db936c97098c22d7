# Each target does its own set-up in a virtual environment, .venv.

PYTHON ?= python3
VENV ?= .venv
BIN := $(VENV)/bin
PACKAGES := core daemon client standins e2e gateway
STAMP := $(VENV)/.installed

.PHONY: setup format lint unit scenarios mutations golden demo bench capacity soak soak-short soak-duties test clean \
  platform-build platform-day platform-score need-bench

setup: $(STAMP)

$(STAMP): requirements.txt $(wildcard packages/*/pyproject.toml) platform/pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --requirement requirements.txt
	$(BIN)/pip install --quiet --no-deps --no-build-isolation \
	  $(foreach package,$(PACKAGES),--editable packages/$(package)) \
	  --editable platform
	touch $(STAMP)

format: setup
	$(BIN)/ruff format packages platform

lint: setup
	$(BIN)/ruff format --check --diff packages platform
	$(BIN)/flake8 packages platform

unit: setup
	$(BIN)/python -m auburnroad_e2e.unit

scenarios: setup
	$(BIN)/python -m auburnroad_e2e.scenarios

mutations: setup
	$(BIN)/python -m auburnroad_e2e.mutations

# Fresh seeds, printed; SEEDS says how many, FIRST which one to begin with.
SEEDS ?= 5
FIRST ?= 0
soak: setup
	$(BIN)/python -m auburnroad_e2e.soak.run --seeds=$(SEEDS) --first=$(FIRST)

# Holders of duties at the platform's API, with the usage report.
soak-duties: setup
	$(BIN)/python -m auburnroad_e2e.soak.duties --seeds=$(SEEDS)

# The same runs each time, without the promises that have a time bound.
soak-short: setup
	$(BIN)/python -m auburnroad_e2e.soak.run --first=1 --seeds=3 --seconds=8 \
	  --gateways=4 --notimed
	$(BIN)/python -m auburnroad_e2e.soak.run --lost_at_release --notimed
	$(BIN)/python -m auburnroad_e2e.soak.run --former_holder --notimed
	$(BIN)/python -m auburnroad_e2e.soak.run --lost_reads --notimed

golden: setup
	$(BIN)/python -m auburnroad_e2e.golden

demo: setup
	@$(BIN)/python -m auburnroad_e2e.demo

bench: setup
	$(BIN)/python -m auburnroad_e2e.bench

capacity: setup
	$(BIN)/python -m auburnroad_e2e.capacity

# What the deploy file's build line does.
platform-build:
	sh deploy/build.sh

# The users' bench is theirs: BENCH is its path, SITE that of a site file.
platform-day platform-score: need-bench
	$(BENCH) $(if $(filter platform-day,$@),run $(SITE) $(DAY),score $(SITE)) \
	  --why "$(WHY)"

need-bench:
	@test -n "$(BENCH)" -a -n "$(SITE)" || { echo \
	  "give BENCH=PATH and SITE=PATH (and DAY=NAME): the users' bench and \
a site file; neither is part of this repository"; exit 2; }

test: lint unit scenarios golden soak-short

clean:
	rm -rf $(VENV) packages/*/*.egg-info
