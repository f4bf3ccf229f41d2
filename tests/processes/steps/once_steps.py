"""Steps about requests that must run once, before runners as processes."""

import pathlib
import tempfile

import behave

from standins.soak import once

_DAEMONS, _CALLERS = 4, 16


@behave.given(
    "a soak of requests that must run once, of seed {seed:d} for {seconds:d} s"
)
def step_soak(context, seed, seconds):
    folder = tempfile.TemporaryDirectory()
    context.add_cleanup(folder.cleanup)
    context.soak = once.OnceSoak(
        seed, seconds, _DAEMONS, _CALLERS, pathlib.Path(folder.name)
    )


@behave.then("at least {count:d} requests that must run once were sent again")
def step_sent_again(context, count):
    assert context.soak.sent_again >= count, context.soak.sent_again
