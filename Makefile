VENV ?= .venv
PYTHON ?= python3
BIN = $(VENV)/bin
STAMP = $(VENV)/.installed

.PHONY: install demo test lint unit scenarios known-red binary format clean bench

install: $(STAMP)

$(STAMP): requirements.txt pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install -q -r requirements.txt
	$(BIN)/pip install -q --no-build-isolation --no-deps -e .
	touch $(STAMP)

demo: $(STAMP)
	$(BIN)/chervilspindle demo

test: lint unit scenarios known-red

lint: $(STAMP)
	$(BIN)/black --check -q .
	$(BIN)/flake8 chervilspindle features bench

unit: $(STAMP)
	PYTHONHASHSEED=0 $(BIN)/python -m pytest -n 4 \
		--ignore=features/must_hold_test.py \
		--ignore=features/hostile_callers_test.py \
		--ignore=features/hostile_http_api_test.py \
		--ignore=features/hostile_endpoints_test.py \
		--ignore=features/two_builds_test.py \
		--ignore=features/zone_evacuation_test.py

# Real processes have the machine to themselves.
scenarios: $(STAMP)
	$(BIN)/python -m pytest -rs features/must_hold_test.py \
		features/hostile_callers_test.py features/hostile_http_api_test.py \
		features/hostile_endpoints_test.py \
		features/two_builds_test.py features/zone_evacuation_test.py

# Prints the checks that may fail; there is a row for each in KNOWN-RED.txt.
known-red:
	@cat KNOWN-RED.txt

format: $(STAMP)
	$(BIN)/black -q .

binary: $(STAMP)
	mkdir -p dist build/site
	grep -v -i -E '^(black|hacking|flake8|pycodestyle|pyflakes|mccabe|hypothesis|execnet|pytest|pytest-xdist|pytest-bdd|gherkin|parse|parse_type|mako|matplotlib|numpy|contourpy|fonttools|kiwisolver|pillow|pyparsing|cycler|shiv|pluggy|iniconfig)[=-]' requirements.txt > build/runtime.txt
	$(BIN)/shiv -q --no-deps -r build/runtime.txt . -c chervilspindle -o dist/chervilspindle

bench: $(STAMP)
	$(BIN)/python -m bench.slopes

clean:
	rm -rf build dist .pytest_cache .hypothesis
