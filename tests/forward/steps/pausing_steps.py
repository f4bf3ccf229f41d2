"""Steps about daemons that stood still."""

import time

import behave
import eventlet
from eventlet import patcher

#: Stops the whole process, with all that it plays.
_block = patcher.original("time").sleep

_HEAD = "X-Model: large\r\nX-Tokens: 100,60\r\n"

#: Seconds that it takes to read the list; None if it can't be read.
_SECONDS_BY_WHAT = {
    "the list changes to the second": 0.0,
    "it changes, and reading it takes 0.3 s": 0.3,
    "it changes, and reading it takes 3 s": 3.0,
    "the list can't be read": None,
}


@behave.given('two heads, of which the list has the first, and both "{way}"')
def step_listed(context, way):
    context.execute_steps(f'Given two heads, of which both "{way}"')
    context.unlisted = context.rig.directory.remove("head-2")


@behave.when(
    "the daemon stands still for {pause:g} s while {what}, and a caller asks "
    "for a stream"
)
def step_stands_still(context, pause, what):
    rig, seconds = context.rig, _SECONDS_BY_WHAT[what]
    context.reads = 0

    def read():
        context.reads += 1
        if seconds is None:
            return
        eventlet.sleep(seconds)
        rig.directory.remove("head-1")
        rig.directory.update_runner(context.unlisted)

    rig.list_check.read = read
    _stand_still(pause)
    began = time.monotonic()
    context.got = _ask(rig)
    context.took = time.monotonic() - began


@behave.when(
    "the daemon stands still for {pause:g} s, and {count:d} callers ask for a "
    "stream at once"
)
def step_many(context, pause, count):
    context.reads = 0

    def read():
        context.reads += 1
        eventlet.sleep(0.1)

    context.rig.list_check.read = read
    _stand_still(pause)
    asking = [eventlet.spawn(_ask, context.rig) for _ in range(count)]
    for one in asking:
        assert one.wait().startswith(b"HTTP/1.1 200")


@behave.then(
    "it gets 200, and the {which} head alone has run it in {most:g} s"
)
def step_ran(context, which, most):
    assert context.got.startswith(b"HTTP/1.1 200"), context.got
    runs = {name: one.runs for name, one in context.rig.runners.items()}
    expected = {"head-1": 0, "head-2": 0}
    expected["head-1" if which == "first" else "head-2"] = 1
    assert runs == expected, runs
    assert context.took < most, context.took


@behave.then("the list was read once")
def step_read_once(context):
    assert context.reads == 1, context.reads


def _stand_still(pause):
    # The daemon's tasks have begun.
    eventlet.sleep(0.05)
    _block(pause)


def _ask(rig):
    return rig.send("/stream/a", _HEAD)
