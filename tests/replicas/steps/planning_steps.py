"""Steps about the planning of replica groups."""

import collections

import behave

from citronvalve.replicas import order as orders
from citronvalve.routes import modelspec
from tests.replicas import world as worlds


def _model(name, size, share, pace):
    return modelspec.ModelSpec(name, size, share, pace, 16_000, 1_600)


_MODELS = {
    "large, small": worlds.MODELS,
    "large12, small6": {
        "large": _model("large", 12, 0.67, 1.0),
        "small": _model("small", 6, 0.33, 0.6),
    },
    "one of 2": {"large": _model("large", 2, 1.0, 1.0)},
}


def _started(domains, size, models="large, small"):
    world = worlds.World(domains, size, models=_MODELS[models])
    world.planner.before_traffic = True
    return world


def _counts(world):
    count = collections.Counter(
        head.membership.key.model for head in world.open_heads()
    )
    return count["large"], count["small"]


@behave.when('{domains:d} domains of {size:d} runners start with "{models}"')
def step_start(context, domains, size, models):
    context.world = _started(domains, size, models)


@behave.given("{domains:d} domains of {size:d} runners serve")
def step_serve(context, domains, size):
    context.world = world = _started(domains, size)
    world.run(4_000)
    world.planner.before_traffic = False
    assert _counts(world) == (domains, domains), _counts(world)


@behave.given(
    "{domains:d} domains of {size:d} runners without weights after the first "
    "request"
)
def step_without_weights(context, domains, size):
    context.world = worlds.World(domains, size, staged=False)
    context.world.run(8_000)


def _victim(world, model, head):
    found = world.open_heads(model)[0]
    if head:
        return found.id, found.id
    others = [m for m in world.members(found.id) if m != found.id]
    return found.id, others[0]


@behave.when('a member of a "{model}" replica crashes without notice')
def step_member_crashes(context, model):
    context.head, name = _victim(context.world, model, head=False)
    context.world.crash(name)


@behave.when('the head of a "{model}" replica crashes without notice')
def step_head_crashes(context, model):
    context.head, name = _victim(context.world, model, head=True)
    context.members = context.world.members(name)
    context.world.crash(name)


@behave.when('the head of a "{model}" replica refuses connections')
def step_head_refuses(context, model):
    context.head, name = _victim(context.world, model, head=True)
    context.members = context.world.members(name)
    context.world.crash(name, silent=False)


@behave.when(
    'the head of a "{model}" replica is missing from the list for '
    "{seconds:d} s"
)
def step_head_unlisted(context, model, seconds):
    world = context.world
    head, _ = _victim(world, model, head=True)
    context.affected = [world.runner_by_id[m] for m in world.members(head)]
    world.unlisted.add(head)
    context.began_at = world.now
    world.run(seconds * 1_000)
    world.unlisted.clear()
    world.run(1_000)


@behave.then("no order was sent to its group")
def step_no_order_sent(context):
    affected = {r.id for r in context.affected}
    sent = [
        act
        for at, act in context.world.sent
        if at >= context.began_at and act.runner in affected
    ]
    assert not sent, sent


@behave.when("the head is reported as stalled")
def step_head_stalled(context):
    context.world.planner.suspect_group(context.head)


@behave.when('every runner of "{zone}" becomes unreachable for the leader')
def step_partition(context, zone):
    context.affected = context.world.partition(zone)


@behave.when("every runner of domain {number:d} crashes without notice")
def step_domain_crashes(context, number):
    world = context.world
    context.affected = [
        r
        for r in world.runner_by_id.values()
        if r.domain.endswith(f"/d{number}")
    ]
    context.number = number
    world.dead = {r.id for r in context.affected}
    world.unreachable.update(world.dead)


@behave.when("all heads there are reported as stalled")
def step_heads_stalled(context):
    for runner in context.affected:
        if runner.is_open_head:
            context.world.planner.suspect_group(runner.id)


@behave.when("{seconds:g} s pass")
def step_wait(context, seconds):
    context.world.run(round(seconds * 1_000))


@behave.when("the runners of domain {number:d} restart")
def step_restart_domain(context, number):
    for runner in context.affected:
        context.world.restart(runner.id)
    context.world.dead = set()


@behave.when('a member of a "{model}" replica restarts under its id')
def step_restart(context, model):
    _, name = _victim(context.world, model, head=False)
    context.world.restart(name)


@behave.when("orders to the spare that should replace it are delayed")
def step_spare_delayed(context):
    world = context.world
    domain = world.runner_by_id[context.head].domain
    spares = [
        r.id
        for r in world.runner_by_id.values()
        if r.domain == domain and r.membership is None
    ]
    context.delayed = sorted(
        spares, key=lambda s: "large" not in world.runner_by_id[s].staged
    )[0]
    world.delayed.add(context.delayed)


@behave.when("another daemon becomes the leader")
def step_new_leader(context):
    context.world.start_leader(2)


@behave.when(
    'the entry of a member of a "{model}" replica lapses while the member '
    "is alive"
)
def step_lapse(context, model):
    context.head, name = _victim(context.world, model, head=False)
    context.world.unlisted.add(name)
    context.affected = [
        context.world.runner_by_id[m]
        for m in context.world.members(context.head)
    ]


@behave.then(
    'within {seconds:d} s there are {large:d} replicas of "large" and '
    '{small:d} of "small"'
)
def step_within(context, seconds, large, small):
    world = context.world
    for _ in range(seconds * 1_000 // worlds.STEP):
        world.step()
        if _counts(world) == (large, small):
            return
    raise AssertionError(f"{_counts(world)} after {seconds} s")


@behave.then(
    "no runner was ever in two groups, and no group opened incomplete"
)
def step_no_problem(context):
    assert not context.world.violations, context.world.violations


@behave.then("no member of its group joins another group for {seconds:d} s")
def step_no_join(context, seconds):
    world = context.world
    began = world.now
    world.run(seconds * 1_000)
    joins = [
        act
        for at, act in world.sent
        if at >= began
        and act.kind is orders.OrderKind.JOIN
        and act.runner in context.members
    ]
    assert not joins, joins
    world.dead = {context.head}


@behave.then('for {seconds:d} s no order is sent to a runner of "{zone}"')
def step_no_order(context, seconds, zone):
    world = context.world
    began = world.now
    world.run(seconds * 1_000)
    affected = {r.id for r in context.affected}
    sent = [a for at, a in world.sent if at >= began and a.runner in affected]
    assert not sent, sent


@behave.then("for {seconds:d} s no order is sent to its group")
def step_no_order_to_group(context, seconds):
    step_no_order(context, seconds, "")


@behave.then(
    "after the delayed orders are carried out there are still 6 and 6"
)
def step_delayed_carried_out(context):
    world = context.world
    world.delayed.clear()
    for act in world.delayed_orders:
        world.carry_out(act)
    world.run(3_000)
    assert _counts(world) == (6, 6), _counts(world)


@behave.then("no more than {most:d} loads are started in any second")
def step_rate(context, most):
    world = context.world
    moments = [at for at, a in world.sent if a.kind is orders.OrderKind.STAGE]
    assert moments, "nothing was staged"
    for at in moments:
        started = sum(at <= other < at + 1_000 for other in moments)
        assert started <= most, f"{started} within a second of {at}"
