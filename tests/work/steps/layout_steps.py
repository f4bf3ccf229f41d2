"""Steps about the planner beside layouts that are fixed."""

import behave

from tests.work import layouts


@behave.given(
    'the work of "{name}" with "{kind}" doubled in data centre {number:d}'
)
def step_work(context, name, kind, number):
    context.work = layouts.work(name, kind, number)


@behave.when("it is played by data centre with seed {seed:d}")
def step_play(context, seed):
    context.seed = seed
    context.planned = layouts.play(context.work, seed)


@behave.when(
    "it is played with the fixed layout of {here:d} and {elsewhere:d} large "
    "replicas a domain"
)
def step_fixed(context, here, elsewhere):
    fixed = here, elsewhere
    context.fixed = layouts.play(context.work, context.seed, fixed)


@behave.then(
    "the planner's worth is at least {part:g} of that of the fixed layout"
)
def step_worth(context, part):
    worths = context.planned, context.fixed
    assert context.planned >= part * context.fixed, worths
