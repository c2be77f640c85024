PYTHON ?= python3.11
VENV := .venv
BIN := $(VENV)/bin
DEPLOYMENT ?= agency

.PHONY: all setup test demo fleet measure overhead slopes soak format lint types check

SEED ?= 1
SEEDS ?= 10
SECONDS ?= 10
ROUTERS ?= 3
RELEASES ?=

all: test

setup: $(VENV)/.stamp

$(VENV)/.stamp: requirements.txt pyproject.toml
	test -x $(BIN)/python || $(PYTHON) -m venv $(VENV)
	$(BIN)/python -m pip install --quiet --disable-pip-version-check -r requirements.txt
	$(BIN)/python -m pip install --quiet --disable-pip-version-check --no-deps --editable .
	touch $@

test: setup
	$(BIN)/python -m coltsfootfront.tests

demo: setup
	@$(BIN)/python -m coltsfootfront_dev.demo --deployment $(DEPLOYMENT)

fleet: setup
	@exec $(BIN)/python -m coltsfootfront_dev.fleet --deployment $(DEPLOYMENT)

measure: setup
	@$(BIN)/python -m coltsfootfront_dev.measure --deployment $(DEPLOYMENT) $(if $(QUICK),--quick)

overhead: setup
	@$(BIN)/python -m coltsfootfront_dev.overhead --deployment $(DEPLOYMENT)

slopes: setup
	@$(BIN)/python -m coltsfootfront_dev.slopes --deployment $(DEPLOYMENT)

soak: setup
	@$(BIN)/python -m coltsfootfront_dev.soak --seed $(SEED) --seeds $(SEEDS) --seconds $(SECONDS) --routers $(ROUTERS) $(if $(RELEASES),--releases)

format: setup
	$(BIN)/black coltsfootfront coltsfootfront_dev

lint: setup
	$(BIN)/black --check --quiet coltsfootfront coltsfootfront_dev
	$(BIN)/ruff check --quiet coltsfootfront coltsfootfront_dev

types: setup
	$(BIN)/mypy

check: lint types test
