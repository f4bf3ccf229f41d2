"""Steps about replicas that are wanted by data centre."""

import itertools

import behave

from citronvalve.replicas import layout
from citronvalve.replicas import order as orders
from citronvalve.replicas import planner
from tests.replicas import widesite
from tests.replicas import world as worlds


@behave.given(
    'a wide site that looks at data centres, with {large:d} requests at "m0" '
    'and {small:d} at "m1"'
)
def step_site(context, large, small):
    load_by_model = {"m0": float(large), "m1": float(small)}
    context.wide = widesite.WideSite(load_by_model, local_rooms=True)
    context.wide.run(3_000)


@behave.when(
    "{count:d} members of large replicas of domain 0 are lost, {seconds:d} s "
    "apart"
)
def step_lose(context, count, seconds):
    context.wide.lose_members(count, seconds * 1_000)


@behave.when("{seconds:d} s pass at the wide site")
def step_pass(context, seconds):
    context.wide.run(seconds * 1_000)


@behave.when("a runner without weights is added to domain 0")
def step_add(context):
    context.wide.add("added", 0, False, 0)


@behave.when("the head of a large replica of domain 0 is lost silently")
def step_lose_head(context):
    head = context.wide.heads("m0", 0)[0].id
    context.members = set(context.wide.world.members(head)) - {head}
    context.wide.world.sent.clear()
    context.wide.world.crash(head)
    context.wide.world.planner.suspect_group(head)


@behave.then("domain 0 has a large replica")
def step_has_large(context):
    assert context.wide.heads("m0", 0)


@behave.then(
    'at most {most:d} complete replicas have been closed, none of "{model}"'
)
def step_closed(context, most, model):
    closed = context.wide.closed_complete()
    assert len(closed) <= most and model not in closed, closed


@behave.then(
    'more than {small:d} replicas of "m1" serve, and at least {large:d} of '
    '"m0"'
)
def step_serve(context, small, large):
    world = context.wide.world
    counts = [len(world.open_heads(model)) for model in ("m0", "m1")]
    assert counts[0] >= large and counts[1] > small, counts


@behave.then('it has "{model}" staged')
def step_staged(context, model):
    added = context.wide.world.runner_by_id["added"]
    assert added.staged == (model,), added


@behave.then("no member of it joins another group for {seconds:d} s")
def step_no_join(context, seconds):
    context.wide.run(seconds * 1_000)
    joined = {o.runner for o in context.wide.orders(orders.OrderKind.JOIN)}
    assert not joined & context.members, joined & context.members


@behave.then('within {seconds:d} s {count:d} replicas of "{model}" serve')
def step_within(context, seconds, count, model):
    world = context.wide.world
    for _ in range(seconds * 10):
        if len(world.open_heads(model)) == count:
            break
        context.wide.run(worlds.STEP)
    assert len(world.open_heads(model)) == count, world.open_heads(model)
    assert not world.violations, world.violations


@behave.then("no promise about groups was broken at the wide site")
def step_promises(context):
    assert not context.wide.world.violations, context.wide.world.violations


@behave.given("6 domains of 11 runners with one model, by data centre")
def step_one_model(context):
    models = {"large": worlds.MODELS["large"]}
    context.planner = planner.Planner(
        worlds.spec(models), worlds.STALL, itertools.count(1), True
    )


@behave.then("nothing is wanted by data centre")
def step_nothing(context):
    assert context.planner.wants is None


@behave.given("a service with models of {large:d} and {small:d} runners")
def step_models(context, large, small):
    sizes = large, small
    context.models = [
        widesite.MODELS[name]._replace(size=size)
        for name, size in zip(widesite.MODELS, sizes, strict=True)
    ]


@behave.then("its replicas are wanted {how}")
def step_wanted(context, how):
    is_local = layout.has_unlike_sizes(context.models)
    assert is_local is (how == "by data centre"), context.models
