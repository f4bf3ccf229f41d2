"""Steps about tasks that go on after an error."""

import random
import time

import behave
import eventlet

from citronvalve.daemon import supervision
from citronvalve.forward import environment as environments
from citronvalve.forward import headernames
from citronvalve.model import clock


class _Task:
    """Fails in its first steps."""

    def __init__(self, failing):
        self.failing = failing
        self.steps = 0
        self.is_on = True

    def has_gone_on(self):
        return self.steps > self.failing + 3

    def run(self):
        while self.is_on:
            self.steps += 1
            if self.steps <= self.failing:
                raise OverflowError(f"step {self.steps}")
            eventlet.sleep(0.01)


class _Log:
    def __init__(self):
        self.lines = []

    def note(self, event, request="", **inputs):
        self.lines.append((event, inputs))

    def change(self, event, **inputs):
        self.lines.append((event, inputs))


@behave.given(
    "a task that fails in its first {count:d} steps, each time at the same "
    "line"
)
def step_task(context, count):
    context.log = _Log()
    context.env = environments.Environment(
        "d",
        "zone-a",
        clock.SystemClock(),
        random.Random(1),
        context.log,
        headernames.HeaderNames(),
    )
    context.task = _Task(count)
    supervision.spawn(context.env, "steps", context.task.run)


@behave.when("it has run until it went on, for {seconds:g} s at most")
def step_run_on(context, seconds):
    until = time.monotonic() + seconds
    while not context.task.has_gone_on() and time.monotonic() < until:
        eventlet.sleep(0.02)
    context.task.is_on = False


@behave.when("it has run for {seconds:g} s")
def step_run(context, seconds):
    eventlet.sleep(seconds)
    context.task.is_on = False


@behave.then("it has gone on after them")
def step_on(context):
    assert context.task.has_gone_on(), context.task.steps


@behave.then("{lines:d} line is logged, and {count:d} failures are counted")
def step_logged(context, lines, count):
    logged = [line for event, line in context.log.lines if event]
    assert len(logged) == lines, logged
    assert logged[0]["why"] == "OverflowError: step 1", logged
    text = context.env.metrics.render().decode()
    assert f'task_failures_total{{task="steps"}} {count}' in text, text


@behave.then("it has made at most {count:d} steps")
def step_few(context, count):
    assert context.task.steps <= count, context.task.steps
