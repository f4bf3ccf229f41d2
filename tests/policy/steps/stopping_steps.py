"""Steps about the times of a stop."""

import behave

from citronvalve.policy import stopschedule

_NOW = 1_000


@behave.when("a daemon with a grace of {grace} ms is asked to stop")
def step_plan(context, grace):
    context.schedule = stopschedule.plan(_NOW, int(grace))


@behave.then(
    "it listens for {listens}, takes requests for {takes}, and ends after "
    "{ends} ms"
)
def step_times(context, listens, takes, ends):
    expected = [_NOW + int(each) for each in (listens, takes, ends)]
    assert list(context.schedule) == expected, context.schedule
