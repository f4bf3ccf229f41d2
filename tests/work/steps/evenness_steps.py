"""Steps about daemons that choose by old reports."""

import behave

from tests.work import evenness

_WAYS = evenness.leave_off, evenness.switch_on, evenness.know_all


@behave.given("{daemons:d} daemons with reports of 50 to 300 ms")
def step_daemons(context, daemons):
    context.daemons = daemons


@behave.when("{use:f} of the room is asked for with seed {seed:d}")
def step_play(context, use, seed):
    context.off, context.on, context.knowing = (
        evenness.play(evenness.work(context.daemons), use, seed, way)
        for way in _WAYS
    )


@behave.then("requests wait beside a free slot a quarter as often as without")
def step_misplaced(context):
    off, on = context.off, context.on
    assert 4 * on.misplaced <= off.misplaced, (off, on)


@behave.then(
    "the slowest first events take 1.3 times those of a chooser that knows"
)
def step_slowest(context):
    on, knowing = context.on, context.knowing
    assert on.p99 <= 1.3 * knowing.p99, (on, knowing)
