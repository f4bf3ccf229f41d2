"""Steps about runners that leave while their head still works."""

import behave

from citronvalve.replicas import order as orders
from tests.replicas import world as worlds


def _member(context):
    world = context.world
    context.head = world.open_heads("large")[0].id
    return next(m for m in world.members(context.head) if m != context.head)


def _listens_no_more(world, name):
    world.unlisted.add(name)
    world.dark.add(name)


@behave.when(
    'the entry of a member of a "large" replica lapses, and 4 s later it '
    "listens no more"
)
def step_lapses(context):
    world = context.world
    name = _member(context)
    world.unlisted.add(name)
    world.run(4_000)
    _listens_no_more(world, name)
    context.began = len(world.given)
    world.run(3_000)


@behave.when(
    'the head of a "large" replica leaves while it works, and 2 s later '
    "listens no more"
)
def step_head_leaves(context):
    world = context.world
    head = world.open_heads("large")[0]
    context.mates = set(world.members(head.id)) - {head.id}
    world.working.add(head.id)
    world.runner_by_id[head.id] = head._replace(
        leaving=True, list_version=head.list_version + 1
    )
    world.run(2_000)
    _listens_no_more(world, head.id)
    context.began = len(world.given)


@behave.when('a "large" replica\'s head works without an end')
def step_works(context):
    context.world.working.add(context.world.open_heads("large")[0].id)


@behave.when(
    'a member of a "large" replica departs just as another daemon takes the '
    "lead"
)
def step_lead_lost(context):
    world = context.world
    name = _member(context)
    held = world.runner_by_id[name]
    world.runner_by_id[name] = held._replace(
        leaving=True, list_version=held.list_version + 1
    )
    world.run(4_000)
    _listens_no_more(world, name)
    world.lead(2)
    context.began = len(world.given)
    world.run(3_000)


@behave.when("that member starts again")
def step_again(context):
    world = context.world
    name = next(iter(world.unlisted))
    world.unlisted.discard(name)
    world.restart(name)
    held = world.runner_by_id[name]
    world.runner_by_id[name] = held._replace(leaving=False)


def _given(context, kind):
    given = context.world.given[getattr(context, "began", 0) :]
    return {act.runner for _, act in given if act.kind is kind}


@behave.then("for {seconds:g} s nobody of its group is told to leave")
def step_none_leaves(context, seconds):
    context.world.run(round(seconds * 1_000))
    told = _given(context, orders.OrderKind.LEAVE)
    assert not told & context.mates, told


@behave.then("within {seconds:d} s all of its group are told to leave")
def step_all_leave(context, seconds):
    context.world.run(seconds * 1_000)
    told = _given(context, orders.OrderKind.LEAVE)
    assert told >= context.mates, told


@behave.then("within {seconds:d} s it is told to cut")
def step_cut(context, seconds):
    world = context.world
    for _ in range(seconds * 1_000 // worlds.STEP):
        if context.head in _given(context, orders.OrderKind.CUT):
            return
        world.step()
    raise AssertionError(_given(context, orders.OrderKind.CUT))
