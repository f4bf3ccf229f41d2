"""Steps about orders that are carried out after a change of the leader."""

import behave

from citronvalve.replicas import order as orders
from citronvalve.replicas import phase
from tests.replicas import lateworld
from tests.replicas import world as worlds

_CHANGES_BY_WORD = {"once": 1, "twice": 2}

#: Ms between two changes of the leader.
_BETWEEN = 600

#: Steps within which a leader has closed a group and ordered joins.
_STEPS = 60


def _step_until(world, is_done):
    for _ in range(_STEPS):
        if is_done():
            return
        world.step()
    raise AssertionError("it did not come about")


@behave.given(
    "{domains:d} domains of {runners:d} runners serve replicas of {size:d}"
)
def step_serve(context, domains, runners, size):
    model = worlds.MODELS["large"]._replace(size=size)
    context.world = world = worlds.World(
        domains, runners, models={"large": model}
    )
    world.planner.before_traffic = True
    world.run(4_000)
    world.planner.before_traffic = False
    assert len(world.open_heads()) == domains, world.open_heads()


@behave.when(
    "a member of a replica leaves, and the joins of {who} are delayed"
)
def step_member_leaves(context, who):
    world = context.world
    head = world.open_heads()[0]
    members = world.members(head.id)
    leaving = world.runner_by_id[next(m for m in members if m != head.id)]
    world.runner_by_id[leaving.id] = leaving._replace(
        leaving=True, list_version=leaving.list_version + 1
    )
    world.late_joins = {head.id} if who == "its head" else set(members)
    _step_until(world, lambda: world.delayed_orders)
    held = world.runner_by_id[head.id].membership
    assert held.phase is phase.Phase.READY, held


@behave.when("another daemon becomes the leader {times}")
def step_leaders(context, times):
    world = context.world
    world.late_joins = set()
    for number in range(_CHANGES_BY_WORD[times]):
        world.start_leader(2 + number)
        world.run(_BETWEEN)


@behave.when("the delayed joins are carried out {seconds:f} s later")
def step_carried_out(context, seconds):
    context.world.run(round(seconds * 1_000))
    _carry_out(context.world)


def _carry_out(world):
    delayed, world.delayed_orders = world.delayed_orders, []
    assert delayed, "no order to join was delayed"
    for order in delayed:
        world.carry_out(order)


@behave.when(
    "a domain restarts, and another daemon becomes the leader while it joins"
)
def step_domain_restarts(context):
    world = context.world
    domain = world.runner_by_id["r0-0"].domain
    there = [r.id for r in world.runner_by_id.values() if r.domain == domain]
    for name in there:
        world.restart(name)
    _step_until(
        world, lambda: any(world.runner_by_id[n].membership for n in there)
    )
    world.late_joins = set(there)
    world.start_leader(2)


@behave.when("the joins of the new leader are delayed for {seconds:f} s")
def step_joins_delayed(context, seconds):
    world = context.world
    world.run(round(seconds * 1_000))
    world.late_joins = set()
    _carry_out(world)


@behave.given(
    "{domains:d} domains of {size:d} runners in which orders are late, by "
    "seed {seed:d}"
)
def step_late_world(context, domains, size, seed):
    context.world = world = lateworld.LateWorld(domains, size, seed)
    world.planner.before_traffic = True
    world.run(4_000)
    world.planner.before_traffic = False


@behave.when("domains crash and leaders change for {rounds:d} rounds")
def step_rounds(context, rounds):
    context.world.trouble(rounds)


@behave.then("orders to join were carried out late")
def step_late(context):
    assert orders.OrderKind.JOIN in context.world.late, context.world.late


@behave.given("heads take {seconds:f} s to open")
def step_form_time(context, seconds):
    context.world.form_time = round(seconds * 1_000)


@behave.when(
    "another one lapses {seconds:f} s after the new head is ordered to open, "
    "which then gets no order to join"
)
def step_lost_while_opening(context, seconds):
    world = context.world
    _step_until(world, lambda: world.opening)
    _, order, _ = world.opening[0]
    world.run(round(seconds * 1_000))
    others = [m for m in world.members(order.runner) if m != order.runner]
    world.unlisted.add(others[-1])
    world.late_joins = {order.runner}
