# Every target makes the environment it needs; only Python and pip are given.
PYTHON ?= python3
VENV := .venv
BIN := $(VENV)/bin
SEED ?= 1
STEPS ?= 200
PLAN ?= examples/experiments/leave-and-return.json5
export PYTHONPATH := .
export EVENTLET_NO_GREENDNS := yes

.PHONY: demo experiment test check format bench soak clean

$(VENV)/ready: pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install -q -e '.[dev]'
	touch $@

demo: $(VENV)/ready
	$(BIN)/python -m standins.demo

test: $(VENV)/ready
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

clean:
	rm -rf $(VENV) build .demo
