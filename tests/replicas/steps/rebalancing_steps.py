"""Steps about models with different demand for replicas."""

import behave

from tests.replicas import world as worlds


@behave.given(
    'each "large" replica has {large:d} requests and each "small" one '
    "{small:d}"
)
def step_load(context, large, small):
    context.requests_by_model = {"large": large, "small": small}


def _run(context, span):
    world = context.world
    for _ in range(span // worlds.STEP):
        load = {
            model: each * len(world.open_heads(model))
            for model, each in context.requests_by_model.items()
        }
        world.planner.demand.observe(load, world.now)
        world.run(worlds.STEP)


@behave.when(
    'a member of the first "large" replica crashes three times, 6 s apart'
)
def step_three_crashes(context):
    world = context.world
    _run(context, 5_000)
    domain = world.open_heads("large")[0].domain
    for _ in range(3):
        head = next(h for h in world.open_heads("large") if h.domain == domain)
        member = [m for m in world.members(head.id) if m != head.id][0]
        world.crash(member)
        world.planner.suspect_group(head.id)
        _run(context, 6_000)


def _counts(world):
    return len(world.open_heads("large")), len(world.open_heads("small"))


@behave.then(
    'within {seconds:d} s there are {large:d} "large" and {small:d} "small"'
)
def step_counts(context, seconds, large, small):
    for _ in range(seconds * 10):
        if _counts(context.world) == (large, small):
            return
        _run(context, worlds.STEP)
    raise AssertionError(_counts(context.world))


@behave.then("for {seconds:d} s no replica is formed or closed")
def step_still(context, seconds):
    before = {h.membership.key for h in context.world.open_heads()}
    _run(context, seconds * 1_000)
    after = {h.membership.key for h in context.world.open_heads()}
    assert before == after, (before, after)


@behave.when(
    'a member of a "large" replica leaves, and 4 s later stops listening'
)
def step_leaves(context):
    world = context.world
    context.head = world.open_heads("large")[0].id
    name = [m for m in world.members(context.head) if m != context.head][0]
    held = world.runner_by_id[name]
    world.runner_by_id[name] = held._replace(
        leaving=True, list_version=held.list_version + 1
    )
    world.run(4_000)
    world.unlisted.add(name)
    world.unreachable.add(name)
    context.sent_before = len(world.sent)
    world.run(3_000)


@behave.then("its head is ordered to close before it is ordered to cut")
def step_closes_first(context):
    kinds = [
        act.kind.value
        for _, act in context.world.sent[context.sent_before :]
        if act.runner == context.head
    ]
    assert kinds and kinds[0] == "close", kinds
