"""Steps that bring load to the placing of requests."""

import behave

from tests.placing import world as worlds


def _steady(rate):
    return lambda _: rate


def _burst(seconds):
    return 44 * (1.7 if 4 <= seconds < 7 else 1.0)


_LOADS = {
    "44 a second on six replicas": (6, _steady(44), 1.0),
    "44 a second, one replica 4x slow": (6, _steady(44), 4.0),
    "44 a second on four replicas": (4, _steady(44), 1.0),
    "a burst of 1.7x for 3 s": (6, _burst, 1.0),
    "66 a second on three replicas": (3, _steady(66), 1.0),
}


def _run(load, naive=False, **options):
    replicas, rate, slow = _LOADS[load]
    world = worlds.World(replicas, naive=naive, **options)
    world.replicas["r0"].slow = slow
    world.run(12, rate)
    return world


@behave.when('callers bring "{load}"')
def step_bring(context, load):
    context.load = load
    context.world = _run(load, naive=False)


@behave.when("callers bring it to daemons that place by chance")
def step_chance(context):
    context.naive = _run(context.load, naive=True)


@behave.then(
    "at least {share:g} of all requests get their first event in time"
)
def step_on_time(context, share):
    seen = context.world.share_on_time()
    assert seen >= share, f"{seen:.3f} in time"


@behave.then("at most {share:g} of them are refused")
def step_refused(context, share):
    seen = context.world.share_refused()
    assert seen <= share, f"{seen:.3f} refused"


@behave.then("the answers are worth at least {share:g} of all in time")
def step_worth(context, share):
    seen = context.world.worth()
    assert seen >= share, f"{seen:.3f} worth"


@behave.when("callers bring it to daemons that tell each other nothing")
def step_silent(context):
    context.naive = _run(context.load, naive=False, tell=False)


@behave.then("the telling daemons have at least {more:g} more in time")
def step_telling(context, more):
    step_more(context, more)


@behave.then("the placing by load has at least {more:g} more in time")
def step_more(context, more):
    ours = context.world.share_on_time()
    theirs = context.naive.share_on_time()
    assert ours - theirs >= more, f"{ours:.3f} against {theirs:.3f}"


@behave.when(
    "callers bring it to daemons that have no more patience with who returns"
)
def step_impatient(context):
    context.naive = _run(context.load, patient=False)


@behave.then("fewer are refused twice, by at least {less:g}")
def step_twice(context, less):
    ours = context.world.share_refused_twice()
    theirs = context.naive.share_refused_twice()
    assert theirs - ours >= less, f"{ours:.3f} against {theirs:.3f}"


@behave.when("callers bring it to daemons that tell every {span:d} ms")
def step_often(context, span):
    context.often = _run(context.load, told_every=span)


@behave.then("those have at least {more:g} more in time")
def step_those(context, more):
    ours = context.often.share_on_time()
    theirs = context.world.share_on_time()
    assert ours - theirs >= more, f"{ours:.3f} against {theirs:.3f}"
