# Every target makes the environment it needs; only Python and pip are given.
PYTHON ?= python3
VENV := .venv
BIN := $(VENV)/bin
SEED ?= 1
STEPS ?= 200
FIRST ?= 1
COUNT ?= 1
SECONDS ?= 45
DAEMONS ?= 6
KEEP ?= .demo/soak
PLAN ?= examples/experiments/leave-and-return.json5
export PYTHONPATH := .
export EVENTLET_NO_GREENDNS := yes

.PHONY: demo experiment test check format bench soak soak-processes soak-once clean

$(VENV)/ready: pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install -q -e '.[dev]'
	touch $@

demo: $(VENV)/ready
	$(BIN)/python -m standins.demo

# Processes that tests start would compile the sources at each start where
# PYTHONDONTWRITEBYTECODE is set.
test: $(VENV)/ready
	$(BIN)/python -m compileall -q src platform standins tests
	$(BIN)/python -m tests.verdict

check: $(VENV)/ready
	$(BIN)/ruff format --check .
	$(BIN)/flake8 src platform standins tests benchmarks

format: $(VENV)/ready
	$(BIN)/ruff format .

bench: $(VENV)/ready
	$(BIN)/python -m benchmarks.run $(AREAS)

experiment: $(VENV)/ready
	$(BIN)/python -m standins.experiment.runner $(PLAN)

soak: $(VENV)/ready
	$(BIN)/python -m tests.soak --seed $(SEED) --steps $(STEPS)

soak-processes: $(VENV)/ready
	$(BIN)/python -W ignore -m standins.soak.main --first $(FIRST) \
		--count $(COUNT) --seconds $(SECONDS) --daemons $(DAEMONS) \
		--keep $(KEEP)

soak-once: $(VENV)/ready
	$(BIN)/python -W ignore -m standins.soak.oncemain --first $(FIRST) \
		--count $(COUNT) --seconds $(SECONDS) --daemons $(DAEMONS) \
		--keep $(KEEP)

clean:
	rm -rf $(VENV) build .demo
