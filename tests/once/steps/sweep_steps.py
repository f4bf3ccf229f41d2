"""Steps about sweeping the rows of keys."""

import behave

from citronvalve.model import clock
from citronvalve.once import sweeper
from standins import faults
from tests.once import world as worlds

_KEEP = 24 * clock.HOUR
_OLD = "k-old"
_ROUNDS = 3_000


def _sweeper(context):
    world = context.world
    return sweeper.Sweeper("d2", world.table, world.objects, world.invariants)


@behave.given("a key was used {hours:d} hours ago, {what}")
def step_used(context, hours, what):
    world = context.world
    world.clock.advance(40 * clock.HOUR)
    _sweeper(context).sweep(world.clock.wall(), _KEEP)
    if what == "with a large answer":
        worlds.BODY = b"x" * 20_000
    if what == "given back and used again":
        world.service.fault = "refuses"
    world.ask(context.first, _OLD)
    world.service.fault = ""
    worlds.BODY = b""
    if what == "given back and used again":
        world.clock.advance(20 * clock.HOUR)
        world.ask(context.first, _OLD)
        hours -= 20
    world.clock.advance(hours * clock.HOUR)
    world.ask(context.first, "k-new")


@behave.when("the second sweeps, {how}")
def step_sweeps(context, how):
    if how == "not":
        return
    sweep = _sweeper(context)
    wall = context.world.clock.wall()
    if how == "after one that was killed":
        # It has deleted the rows, and the minute is not noted as done.
        sweep._advance_pointer = lambda pointer, minute: False
        sweep.sweep(wall, _KEEP)
        sweep = _sweeper(context)
    if how == "with the platform failing once":
        context.world.table.faults.order(faults.Fault.LOSE_ANSWER, 1)
        sweep.sweep(wall, _KEEP)
    for _ in range(_ROUNDS):
        sweep.sweep(wall, _KEEP)
    done = context.world.table.read("once-sweep", "minute").value["minute"]
    due = (wall - _KEEP - sweeper.CLOCK_MARGIN) // clock.MINUTE
    assert done == due - 1, "the sweep got stuck"


@behave.when("the second sweeps with its clock {hours:d} hours ahead")
def step_ahead(context, hours):
    context.world.ask(context.second, "k-own")
    wall = context.world.clock.wall() + hours * clock.HOUR
    for _ in range(_ROUNDS):
        _sweeper(context).sweep(wall, _KEEP)


@behave.then("the old key is told {told}")
def step_told(context, told):
    if told == "answer":
        # Its time is over, so that it may run once more.
        context.world.service.runs.clear()
    told_now = context.world.ask(context.first, _OLD)
    assert worlds.name(told_now) == told, told_now
