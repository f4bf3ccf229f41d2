"""Steps about the losses of a large site."""

import behave

from citronvalve.model import clock
from tests.replicas import largesite
from tests.replicas import world as worlds


@behave.given(
    "a large site of {domains:d} domains that has formed its replicas"
)
def step_form(context, domains):
    context.site = largesite.LargeSite(domains, heads_too=False)
    context.site.form()
    context.formed = context.site.state()


@behave.when("five members of large replicas die in each of {rounds:d} rounds")
def step_lose(context, rounds):
    context.site.lose(rounds)


@behave.then("at least {fewest:d} large replicas stand at any time")
def step_fewest(context, fewest):
    counts = [state.large for state in context.site.states]
    assert min(counts) >= fewest, counts


@behave.then("all of them stand again before each further loss")
def step_again(context):
    each = largesite.LOSS_INTERVAL // worlds.STEP
    before_loss = [s.large for s in context.site.states[each - 1 :: each]]
    assert set(before_loss) == {context.formed.large}, before_loss


@behave.then("at most {most:d} runners are free at any time")
def step_free(context, most):
    free = [state.free for state in context.site.states]
    assert max(free) <= most, free


@behave.then("no promise about groups was broken")
def step_promises(context):
    assert not context.site.world.violations


@behave.given(
    "each large replica has {large:d} requests and each small one {small:d}"
)
def step_load(context, large, small):
    context.requests_by_model = {
        largesite.LARGE: large,
        largesite.SMALL: small,
    }
    heads = context.site.world.open_heads
    context.load_by_model = {
        model: each * len(heads(model))
        for model, each in context.requests_by_model.items()
    }


def _run(context, span):
    world = context.site.world
    for _ in range(span // worlds.STEP):
        world.planner.demand.observe(context.load_by_model, world.now)
        world.run(worlds.STEP)


@behave.when(
    "{count:d} runners of its first domain die, the members of the large "
    "replica first"
)
def step_die(context, count):
    world = context.site.world
    _run(context, 2_000)
    head = next(
        h
        for h in world.open_heads(largesite.LARGE)
        if h.domain.endswith("/d0")
    )
    members = [m for m in world.members(head.id) if m != head.id]
    for name in members[:count]:
        world.crash(name)
        world.unlisted.add(name)


def _counts(context):
    state = context.site.state()
    return state.large, state.small


@behave.then(
    "within {seconds:d} s there are {large:d} large replicas and {small:d} "
    "small ones"
)
def step_counts(context, seconds, large, small):
    for _ in range(seconds * clock.SECOND // worlds.STEP):
        if _counts(context) == (large, small):
            return
        _run(context, worlds.STEP)
    raise AssertionError(_counts(context))


@behave.then("for {seconds:d} s their numbers stay the same")
def step_same(context, seconds):
    before = _counts(context)
    for _ in range(seconds):
        _run(context, clock.SECOND)
        assert _counts(context) == before, _counts(context)
