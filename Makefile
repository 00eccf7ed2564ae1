PYTHON ?= python3.11
VENV := .venv
BIN := $(VENV)/bin
STAMP := $(VENV)/.installed

.PHONY: test demo lint format clean

$(STAMP): requirements.lock pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(BIN)/python -m pip install --quiet --disable-pip-version-check -r requirements.lock
	$(BIN)/python -m pip install --quiet --disable-pip-version-check --no-deps --editable .
	touch $(STAMP)

test: $(STAMP)
	$(BIN)/python -m tests.run

demo: $(STAMP)
	$(BIN)/sassafraspin demo

lint: $(STAMP)
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .

format: $(STAMP)
	$(BIN)/ruff format .
	$(BIN)/ruff check --fix .

clean:
	rm -rf $(VENV) build

.PHONY: check-examples
check-examples: $(STAMP)
	$(BIN)/sassafraspin check-settings examples/*/entry-*.json
