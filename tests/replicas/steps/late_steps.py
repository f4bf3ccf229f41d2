"""Steps about lists that lag, orders that come late, and cuts that heal."""

import behave

from citronvalve.replicas import order as orders
from tests.replicas import world as worlds


@behave.given("the list shows changes {seconds:g} s late")
def step_lag(context, seconds):
    context.world.lag = round(seconds * 1_000) // worlds.STEP


@behave.when("as soon as the new head is told to open, its last member dies")
def step_dies_at_open(context):
    world = context.world
    context.head = _until_told_to_open(world)
    world.crash(world.members(context.head)[-1])
    # The leader's own look comes before the list's word.
    for member in world.members(context.head):
        world.planner.liveness.suspect(member)


@behave.when("the new head is accused of standing still")
def step_accuse_new(context):
    context.world.planner.suspect_group(context.head)


@behave.then("for {seconds:d} s no runner is in two groups")
def step_two(context, seconds):
    context.world.run(seconds * 1_000)
    assert not context.world.problems, context.world.problems


@behave.when("every runner of the same data centre goes silent to the leader")
def step_cut_same(context):
    world = context.world
    head = world.runner_by_id[context.head]
    context.spared = {
        r.id for r in world.runner_by_id.values() if r.domain == head.domain
    }
    context.there = world.cut_off(head.datacentre)


@behave.then(
    "for {seconds:d} s no order but those of the lost member's group is given "
    "there"
)
def step_no_other(context, seconds):
    world = context.world
    began = world.now
    world.run(seconds * 1_000)
    there = {r.id for r in context.there} - context.spared
    given = [a for at, a in world.given if at >= began and a.runner in there]
    assert not given, given


def _until_told_to_open(world):
    began = world.now
    for _ in range(100):
        world.step()
        opened = [
            act
            for at, act in world.given
            if at >= began and act.kind is orders.OrderKind.OPEN
        ]
        if opened:
            return opened[-1].runner
    raise AssertionError("no head was told to open")


@behave.when("the list stands still as soon as the new head is told to open")
def step_list_stands(context):
    world = context.world
    context.head = _until_told_to_open(world)
    # What was listed before the order is shown from now on.
    world.frozen = dict(world.history[-1])


@behave.then("for {seconds:d} s the new group is left alone")
def step_alone(context, seconds):
    world = context.world
    began = world.now
    members = set(world.members(context.head))
    world.run(seconds * 1_000)
    given = [
        act
        for at, act in world.given
        if at >= began
        and act.runner in members
        and act.kind is not orders.OrderKind.OPEN
        and act.kind is not orders.OrderKind.STAGE
    ]
    assert not given, given


@behave.when("only its heads there come into doubt")
def step_heads_doubted(context):
    # A head's entry may lapse before those of its members.
    for runner in context.there:
        if runner.is_open_head:
            context.world.planner.liveness.suspect(runner.id)


@behave.when(
    "all orders to its data centre are held back once the new head is told to "
    "open"
)
def step_held_back(context):
    world = context.world
    began = world.now
    there = {
        r.id
        for r in world.runner_by_id.values()
        if r.datacentre == world.runner_by_id[context.head].datacentre
    }
    dead = set(world.dark)
    for _ in range(100):
        ready = [
            name
            for name in there
            if world.is_ready_head(name) and name not in dead
        ]
        if ready:
            break
        world.step()
    assert ready and world.now - began < 10_000
    context.head, context.dead = ready[0], dead
    world.deaf = there - dead
    world.dark |= there
    world.run(300)
    world.planner.liveness.suspect(context.head)


@behave.when("the cut heals and the orders arrive as they were given")
def step_heal(context):
    world = context.world
    world.dark = set(context.dead)
    world.deaf = set()
    late, world.late = world.late, []
    opens = [a for a in late if a.kind is orders.OrderKind.OPEN]
    assert opens, late
    # The list shows it only some seconds later.
    world.frozen = dict(world.runner_by_id)
    for act in opens:
        world.carry_out(act)
    world.run(4_000)
    world.frozen = None


@behave.when("the first order to open has no answer")
def step_delay_open(context):
    context.world.delay_opens = 1


@behave.when("the group that is formed then loses a member and is closed")
def step_formed_then_closed(context):
    world = context.world
    known = {head.id for head in world.open_heads()}
    epochs = {r.membership.key for r in world.open_heads()}
    for _ in range(100):
        world.step()
        new = [
            head
            for head in world.open_heads()
            if head.membership.key not in epochs
        ]
        if new:
            break
    assert known and new and world.late, (new, world.late)
    head = new[0]
    world.run(1_000)
    victim = [m for m in world.members(head.id) if m != head.id][-1]
    world.crash(victim)
    world.planner.suspect_group(head.id)
    for _ in range(100):
        world.step()
        held = world.runner_by_id[head.id].membership
        if held.phase.value == "ready":
            return
    raise AssertionError("the group was not closed")


@behave.when("the first order to open is carried out")
def step_late_open(context):
    # The list shows the group closed, and not yet opened again.
    context.world.run(300)
    late, context.world.late = context.world.late, []
    for act in late:
        context.world.carry_out(act)


@behave.when('the entries of "{zone}" lapse for {seconds:d} s')
def step_entries_lapse(context, zone, seconds):
    world = context.world
    world.unlisted = {r.id for r in context.there}
    world.run(seconds * 1_000)


@behave.when("the cut heals, and its heads are listed 1 s after the others")
def step_heals(context):
    world = context.world
    heads = {r.id for r in context.there if r.is_open_head}
    world.dark -= {r.id for r in context.there}
    context.began = world.now
    world.unlisted = heads
    world.run(1_000)
    world.unlisted = set()
    there = {r.id for r in context.there}
    given = [
        a for at, a in world.given if at >= context.began and a.runner in there
    ]
    assert not given, given


@behave.when(
    'every runner of "{zone}" pauses, and half of them answer the second look'
)
def step_pauses(context, zone):
    world = context.world
    context.there = world.cut_off(zone)
    for runner in context.there:
        if runner.is_open_head:
            world.planner.suspect_group(runner.id)
    world.run(300)
    world.dark -= {runner.id for runner in context.there[::2]}
    world.run(300)
    world.dark.clear()
