"""Steps about the version in force in one daemon."""

import behave

from citronvalve.entry import view
from citronvalve.model import invariant
from citronvalve.model import manualclock
from citronvalve.table import builder


@behave.given("a daemon's view")
def step_view(context):
    context.checks = invariant.Invariants()
    context.view = view.View(manualclock.ManualClock(), context.checks)


@behave.when("it is told of versions {told}")
def step_told(context, told):
    context.seen = []
    for version in map(int, told.split(", ")):
        context.view.update_table(builder.EMPTY._replace(version=version))
        context.seen.append(context.view.version)


@behave.then("the versions in force were {seen}")
def step_seen(context, seen):
    assert context.seen == list(map(int, seen.split(", "))), context.seen


@behave.then("the promise was looked at {looks:d} times")
def step_looks(context, looks):
    assert sum(context.checks.count_by_name.values()) == looks
