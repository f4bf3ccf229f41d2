"""Steps about demand that is uneven between data centres."""

import collections

import behave

from tests.work import datacentres
from tests.work import evenness


@behave.given(
    "three data centres that are asked for their room as {a:g} : {b:g} : {c:g}"
)
def step_demand(context, a, b, c):
    whole = a + b + c
    context.work = datacentres.work([a / whole, b / whole, c / whole])


@behave.given("the third one is evacuated from second {begin:d} to {end:d}")
def step_evacuated(context, begin, end):
    context.work.datacentre_out = 2
    context.work.out_begin = begin * 1_000
    context.work.out_end = end * 1_000
    context.work.duration = (end + 5) * 1_000


@behave.when("{use:g} of all room is asked for with seed {seed:d}")
def step_play(context, use, seed):
    context.use, context.seed = use, seed
    context.site = datacentres.play(
        context.work, use, seed, datacentres.switch_on
    )
    context.figures = datacentres.figures(context.site)


@behave.then(
    "the worst data centre is in time {least:g} times as often as the best"
)
def step_worst(context, least):
    assert context.figures.worst >= least, context.figures


@behave.then("at most {most:g} times the need passes between data centres")
def step_need(context, most):
    found = context.figures
    assert found.moved <= most * found.needed, found


@behave.then("at most {most:g} of all passes between data centres")
def step_moved(context, most):
    assert context.figures.moved <= most, context.figures


@behave.then("without the choice by loss the worst is below that")
def step_before(context):
    site = datacentres.play(
        context.work, context.use, context.seed, evenness.switch_on
    )
    found = datacentres.figures(site)
    assert found.worst < 0.97, found


@behave.then("the first data centre gets {most:g} of what it sends")
def step_back(context, most):
    away = collections.Counter()
    for sent in context.site.sent:
        if sent.origin != sent.target:
            away[sent.origin] += sent.size
            away["back"] += sent.size if sent.target == "zone-0" else 0
    assert away["back"] <= most * away["zone-0"], away


@behave.then(
    "{least:g} of the calls are in time before it, during it and after it"
)
def step_in_time(context, least):
    work, site = context.work, context.site
    bounds = [0, work.out_begin, work.out_end, work.duration]
    for begin, end in zip(bounds, bounds[1:], strict=False):
        results = collections.Counter(
            call.result
            for call in site.calls
            if begin <= call.arrived_at - site.begin < end
        )
        assert results["in_time"] >= least * results.total(), (begin, results)
