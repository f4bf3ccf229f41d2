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


@behave.when("it receives versions {received}")
def step_receives(context, received):
    context.in_force = []
    for version in map(int, received.split(", ")):
        context.view.update_table(builder.EMPTY._replace(version=version))
        context.in_force.append(context.view.version)


@behave.then("the versions in force were {in_force}")
def step_in_force(context, in_force):
    assert context.in_force == list(map(int, in_force.split(", "))), (
        context.in_force
    )


@behave.then("the invariant was checked {checks:d} times")
def step_checks(context, checks):
    assert sum(context.checks.count_by_name.values()) == checks
