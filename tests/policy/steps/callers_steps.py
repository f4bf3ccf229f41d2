"""Steps that run a benchmark scenario and check its results."""

import functools

import behave

from benchmarks import outcomes
from benchmarks import scenario

_INVARIANTS = (
    "work goes only to upstreams that are in service and whole",
    "accepted work ends exactly once",
)


@functools.cache
def _run(name, plain):
    chosen = scenario.BY_NAME[name]
    run = scenario.run(chosen, plain)
    return run, outcomes.of(run, chosen)


@behave.when('callers send the load "{name}" to the dispatcher')
def step_dispatcher(context, name):
    context.run, context.results = _run(name, False)


@behave.when('callers send the load "{name}" to the baseline')
def step_baseline(context, name):
    context.baseline = _run(name, True)[1]


@behave.then(
    "at least {share:f} of the requests are answered completely and on time"
)
def step_on_time(context, share):
    assert context.results.on_time >= share, context.results


@behave.then(
    "at least {share:f} of the other requests are answered completely and on "
    "time"
)
def step_others(context, share):
    step_on_time(context, share)


@behave.then("the goodput is at least {share:f} of the capacity")
def step_goodput(context, share):
    assert context.results.goodput >= share, context.results


@behave.then("at least {share:f} of the light teams' requests are on time")
def step_light(context, share):
    assert context.results.light >= share, context.results


@behave.then("at most {share:f} of the accepted requests finish late")
def step_late(context, share):
    assert context.results.late <= share, context.results


@behave.then("the invariants were checked and held")
def step_invariants(context):
    counts = context.run.invariants.count_by_name
    assert all(counts.get(name) for name in _INVARIANTS), counts


@behave.then("the dispatcher answers more on time, by at least {more:f}")
def step_more(context, more):
    better = context.results.on_time - context.baseline.on_time
    assert better >= more, (context.results, context.baseline)


def _sent(context, begin, end):
    start = context.run.start
    return [
        name
        for record in context.run.records
        for at, name in record.upstreams
        if start + begin * 1_000 <= at < start + end * 1_000
    ]


@behave.then(
    'upstream "{name}" gets less than {share:f} of the requests from '
    "second {begin:d} on"
)
def step_avoided(context, name, share, begin):
    sent = _sent(context, begin, 1_000)
    assert sent.count(name) < share * len(sent), sent.count(name)


@behave.then(
    'data centre "{datacentre}" gets no new requests from second {begin:f} '
    "to {end:d}"
)
def step_nothing(context, datacentre, begin, end):
    sent = [n for n in _sent(context, begin, end) if n[0] == datacentre]
    assert not sent, len(sent)


@behave.then(
    'data centre "{datacentre}" gets requests again from second {begin:d} '
    "to {end:d}"
)
def step_again(context, datacentre, begin, end):
    sent = _sent(context, begin, end)
    share = sum(name[0] == datacentre for name in sent) / len(sent)
    assert share > 0.1, share


@behave.then("no upstream crashed")
def step_none_crashed(context):
    assert context.results.lost == 0, context.results
    assert context.results.most_over <= 0, context.results


@behave.then("no restarted upstream exceeded its capacity")
def step_none_over(context):
    assert context.results.most_over <= 0, context.results


def _crashing_requests(context):
    records = context.run.records
    return [r for r in records if r.call.kills]


@behave.then("the crashing request ran on at most {most:d} upstreams")
def step_crashed(context, most):
    ran = [
        name for r in _crashing_requests(context) for _, name in r.upstreams
    ]
    assert 0 < len(ran) <= most, ran


@behave.then('its last {count:d} submissions were refused as "{kind}"')
def step_fenced(context, count, kind):
    last = [record.kind for record in _crashing_requests(context)[-count:]]
    assert last == [kind] * count, last
