"""Steps for sweeping expired rows of keys."""

import behave

from citronvalve.model import clock
from citronvalve.once import sweeper
from standins import faults
from tests.once import world as worlds

_RETENTION = 24 * clock.HOUR
_OLD_KEY = "k-old"
_MAX_SWEEPS = 3_000


def _sweeper(context):
    world = context.world
    return sweeper.Sweeper("d2", world.table, world.objects, world.invariants)


@behave.given("a key was used {hours:d} hours ago, {what}")
def step_used(context, hours, what):
    world = context.world
    world.clock.advance(40 * clock.HOUR)
    _sweeper(context).sweep(world.clock.wall(), _RETENTION)
    if what == "with a large answer":
        worlds.BODY = b"x" * 20_000
    if what == "released and used again":
        world.service.fault = "refuses"
    world.ask(context.first, _OLD_KEY)
    world.service.fault = ""
    worlds.BODY = b""
    if what == "released and used again":
        world.clock.advance(20 * clock.HOUR)
        world.ask(context.first, _OLD_KEY)
        hours -= 20
    world.clock.advance(hours * clock.HOUR)
    world.ask(context.first, "k-new")


@behave.when("the second daemon sweeps, {how}")
def step_sweeps(context, how):
    if how == "not":
        return
    sweep = _sweeper(context)
    wall = context.world.clock.wall()
    if how == "after one that was killed":
        # The rows are deleted, but the minute is not recorded as swept.
        sweep._advance_pointer = lambda pointer, minute: False
        sweep.sweep(wall, _RETENTION)
        sweep = _sweeper(context)
    if how == "with the platform failing once":
        context.world.table.faults.order(faults.Fault.LOSE_ANSWER, 1)
        sweep.sweep(wall, _RETENTION)
    for _ in range(_MAX_SWEEPS):
        sweep.sweep(wall, _RETENTION)
    done = context.world.table.read("once-sweep", "minute").value["minute"]
    due = (wall - _RETENTION - sweeper.CLOCK_MARGIN) // clock.MINUTE
    assert done == due - 1, "the sweep is not complete"


@behave.when("the second daemon sweeps with its clock {hours:d} hours ahead")
def step_ahead(context, hours):
    context.world.ask(context.second, "k-own")
    wall = context.world.clock.wall() + hours * clock.HOUR
    for _ in range(_MAX_SWEEPS):
        _sweeper(context).sweep(wall, _RETENTION)


@behave.then("the reply to the old key is {expected}")
def step_reply(context, expected):
    if expected == "answer":
        # The key has expired, so it may run once more.
        context.world.service.runs.clear()
    reply = context.world.ask(context.first, _OLD_KEY)
    assert worlds.name(reply) == expected, reply
