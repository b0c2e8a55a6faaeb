PYTHON ?= python3
VENV := .venv
BIN := $(VENV)/bin
STAMP := $(VENV)/.installed

# Tests on the real clock and with fixed ports, which run one at a time.
REAL_CLOCK := tests/processes tests/whole_path tests/platform tests/clients

.PHONY: test demo bench lint format clean

$(STAMP): requirements.lock pyproject.toml
	test -x $(BIN)/python || $(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet -r requirements.lock
	$(BIN)/pip install --quiet --no-deps --editable .
	touch $(STAMP)

test: $(STAMP)
	$(BIN)/python -m pytest -n 4 $(REAL_CLOCK:%=--ignore=%)
	$(BIN)/python -m pytest $(REAL_CLOCK)

demo: $(STAMP)
	$(BIN)/python -m magnoliaglade demo

bench: $(STAMP)
	$(BIN)/python -m benchmarks

lint: $(STAMP)
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .

format: $(STAMP)
	$(BIN)/ruff format .
	$(BIN)/ruff check --fix .

clean:
	rm -rf $(VENV) build dist *.egg-info
