"""Steps about missing values."""

import behave

from citronvalve.model import errors
from citronvalve.model import missing

_USES = {
    "attribute": lambda value: value.anything,
    "item": lambda value: value["anything"],
    "iteration": lambda value: list(value),
    "addition": lambda value: value + 1,
    "call": lambda value: value(),
    "length": lambda value: len(value),
}


@behave.given('a value missing because "{reason}" at "{where}"')
def step_missing(context, reason, where):
    context.value = missing.Unavailable(reason, where)


@behave.when("it is used by {use}")
def step_use(context, use):
    try:
        _USES[use](context.value)
    except errors.MissingValueError as error:
        context.error = error
    else:
        raise AssertionError(f"{use} did not complain")


@behave.then('the error names "{reason}" and "{where}"')
def step_names(context, reason, where):
    assert reason in str(context.error)
    assert where in str(context.error)


@behave.then("it counts as false")
def step_false(context):
    assert not context.value
