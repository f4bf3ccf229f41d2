"""Steps for missing values."""

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


@behave.given('a value that is missing at "{where}" because "{reason}"')
def step_missing(context, where, reason):
    context.value = missing.Unavailable(reason, where)


@behave.when("it is used by {use}")
def step_use(context, use):
    try:
        _USES[use](context.value)
    except errors.MissingValueError as error:
        context.error = error
    else:
        raise AssertionError(f"{use} raised no error")


@behave.then('the error contains "{reason}" and "{where}"')
def step_error_contains(context, reason, where):
    assert reason in str(context.error)
    assert where in str(context.error)


@behave.then("it is false")
def step_is_false(context):
    assert not context.value
