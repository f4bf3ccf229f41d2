"""Steps about the losses of a large site."""

import behave

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
