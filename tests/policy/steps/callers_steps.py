"""Steps that run a scenario of the benchmarks and read its outcomes."""

import functools

import behave

from benchmarks import outcomes
from benchmarks import scenario

_PROMISES = (
    "work goes only to upstreams that are in service and whole",
    "accepted work ends exactly once",
)


@functools.cache
def _run(name, plain):
    one = scenario.BY_NAME[name]
    made = scenario.run(one, plain)
    return made, outcomes.of(made, one)


@behave.when('callers bring "{name}" to the dispatcher')
def step_dispatcher(context, name):
    context.made, context.seen = _run(name, False)


@behave.when('callers bring "{name}" to the plain baseline')
def step_baseline(context, name):
    context.plain = _run(name, True)[1]


@behave.then(
    "at least {share:f} of the requests are answered whole and on time"
)
def step_on_time(context, share):
    assert context.seen.on_time >= share, context.seen


@behave.then(
    "at least {share:f} of the other requests are answered whole and on time"
)
def step_others(context, share):
    step_on_time(context, share)


@behave.then(
    "the answers on time are worth at least {share:f} of the capacity"
)
def step_goodput(context, share):
    assert context.seen.goodput >= share, context.seen


@behave.then("at least {share:f} of the light teams' requests are on time")
def step_light(context, share):
    assert context.seen.light >= share, context.seen


@behave.then("at most {share:f} of the accepted requests finish late")
def step_late(context, share):
    assert context.seen.late <= share, context.seen


@behave.then("every invariant was looked at and held")
def step_invariants(context):
    counts = context.made.invariants.count_by_name
    assert all(counts.get(name) for name in _PROMISES), counts


@behave.then("the dispatcher answers more on time, by at least {more:f}")
def step_more(context, more):
    better = context.seen.on_time - context.plain.on_time
    assert better >= more, (context.seen, context.plain)


def _sent(context, begin, end):
    start = context.made.start
    return [
        name
        for record in context.made.records
        for at, name in record.upstreams
        if start + begin * 1_000 <= at < start + end * 1_000
    ]


@behave.then(
    'upstream "{name}" gets less than {share:f} of the work from second '
    "{begin:d} on"
)
def step_avoided(context, name, share, begin):
    sent = _sent(context, begin, 1_000)
    assert sent.count(name) < share * len(sent), sent.count(name)


@behave.then(
    'data centre "{place}" gets nothing new from second {begin:f} to {end:d}'
)
def step_nothing(context, place, begin, end):
    sent = [n for n in _sent(context, begin, end) if n[0] == place]
    assert not sent, len(sent)


@behave.then(
    'data centre "{place}" gets work again from second {begin:d} to {end:d}'
)
def step_again(context, place, begin, end):
    sent = _sent(context, begin, end)
    share = sum(name[0] == place for name in sent) / len(sent)
    assert share > 0.1, share


@behave.then("no upstream fell over")
def step_none_fell(context):
    assert context.seen.lost == 0, context.seen
    assert context.seen.most_over <= 0, context.seen


@behave.then("no upstream that came back held more than it could bear")
def step_none_over(context):
    assert context.seen.most_over <= 0, context.seen


def _killers(context):
    records = context.made.records
    return [r for r in records if r.call.kills]


@behave.then("the killer ran on at most {most:d} upstreams")
def step_killed(context, most):
    ran = [name for r in _killers(context) for _, name in r.upstreams]
    assert 0 < len(ran) <= most, ran


@behave.then('its last {count:d} sendings were refused as "{kind}"')
def step_fenced(context, count, kind):
    last = [record.kind for record in _killers(context)[-count:]]
    assert last == [kind] * count, last
