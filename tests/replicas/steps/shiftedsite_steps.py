"""Steps about exchanges of replicas between models."""

import statistics

import behave

from citronvalve.replicas import order as orders
from tests.replicas import shiftedsite


@behave.given(
    'a shifted site with {large:d} requests at "m0" and {small:d} at "m1"'
)
def step_site(context, large, small):
    context.site = shiftedsite.ShiftedSite()
    context.site.load = {"m0": float(large), "m1": float(small)}
    context.site.world.sent.clear()


@behave.when("members are lost in {rounds:d} rounds")
def step_lose(context, rounds):
    context.site.lose(rounds)


@behave.when("{seconds:d} s pass there without a loss")
def step_pass(context, seconds):
    context.site.run(seconds * 1_000)


@behave.when(
    '"{model}" has {count:d} requests for {seconds:d} s, and {after:d} again '
    "for {rest:d} s"
)
def step_burst(context, model, count, seconds, after, rest):
    context.site.load[model] = float(count)
    context.site.run(seconds * 1_000)
    context.site.load[model] = float(after)
    context.site.run(rest * 1_000)


@behave.when('the runners of "{zone}" are cut off, and {seconds:d} s pass')
def step_cut(context, zone, seconds):
    world = context.site.world
    for runner in world.partition(zone):
        world.planner.suspect_group(runner.id)
    context.site.run(seconds * 1_000)


@behave.then('replicas have been closed, and none of "{zone}"')
def step_closed_elsewhere(context, zone):
    closed = [
        context.site.world.runner_by_id[order.runner].datacentre
        for _, order in context.site.world.sent
        if order.kind is orders.OrderKind.CLOSE
    ]
    assert closed and zone not in closed, closed


@behave.then(
    'the first exchange is told with its closed groups of "{other}", for '
    '"{model}", the busier one'
)
def step_told(context, other, model):
    told = context.site.world.planner.take_begun_exchanges()[0]
    assert told.model == model, told
    assert {key.model for key in told.keys} == {other}, told
    assert set(told.keys) <= context.site.closures(), told
    pressures = told.pressure_by_model
    assert pressures[model] > pressures[other], told


@behave.then("no exchange is told twice")
def step_told_once(context):
    assert not context.site.world.planner.take_begun_exchanges()


@behave.then("the site has at least {fewest:d} large replicas at any time")
def step_fewest(context, fewest):
    counts = [state.large for state in context.site.states]
    assert min(counts) >= fewest, counts


@behave.then("on average at most {most:d} runners are free")
def step_free(context, most):
    mean = statistics.mean(state.free for state in context.site.states)
    assert mean <= most, mean


@behave.then("at most {most:d} replicas have been closed")
def step_closed(context, most):
    closed = context.site.closures()
    assert len(closed) <= most, closed


@behave.then("more than {count:d} small replicas stand")
def step_small(context, count):
    assert context.site.states[-1].small > count, context.site.states[-1]


@behave.then("no promise about groups was broken there")
def step_promises(context):
    assert not context.site.world.violations, context.site.world.violations
