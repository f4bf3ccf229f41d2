"""Steps about late orders."""

import behave

from tests.groups import world


@behave.given("a group whose first order is late, of engines that {fence} it")
def step_late(context, fence):
    made = context.world = world.World({"a": 5}, 4, 1, fence == "refuse")
    for engine in made.engine_by_address.values():
        engine.load_time = 0
    context.holder = made.start("x")
    made.start("y")
    made.tick()
    context.holder.engines.hold_next = 1
    for _ in range(5):
        if not context.holder.engines.late:
            made.tick()
    context.late = context.holder.engines.late[0]


@behave.when("its holder is paused, and another makes the group serve")
def step_paused(context):
    made = context.world
    context.holder.is_paused = True
    made.run(20_000)
    # The VMs that took no order start anew, and the fence rises.
    for vm in [v for s in made.records().values() for v in s.vms]:
        made.engine(vm).restart()
    made.run(20_000)
    for engine in made.engine_by_address.values():
        engine.load_time = 5_000
    (context.group,) = made.serving()
    assert context.group.fence > context.late[1].fence


@behave.when("the late order arrives")
def step_arrives(context):
    context.holder.engines.deliver()


@behave.then("routing {what} the group within {bound:d} ms")
def step_routing(context, what, bound):
    names = []
    for _ in range(bound // 500):
        context.world.tick(500)
        names.append([each.group for each in context.world.serving()])
    kept = all(context.group.group in each for each in names)
    assert kept == (what == "keeps"), names


@behave.then("the group serves as declared within {bound:d} ms")
def step_declared(context, bound):
    made = context.world
    context.holder.is_paused = False
    made.run(bound)
    assert len(made.serving()) == 1, made.log
    assert made.is_whole(made.serving()[0])


@behave.when("its holder dies")
def step_dies(context):
    del context.world.process_by_name["x"]


@behave.then(
    "another orders no sooner than {wait:d} ms after taking the lease"
)
def step_waits(context, wait):
    made = context.world
    other = made.process_by_name["y"]
    while not other.leader.is_leading():
        made.tick(100)
    taken = made.clock.now()
    while not any("order" in name for name in other.points.names):
        made.tick(100)
        assert made.clock.now() - taken <= 4_000, made.log
    waited = made.clock.now() - taken
    assert wait <= waited <= wait + 200, waited


@behave.when("the late order arrives after {span:d} ms and empties the engine")
def step_empties(context, span):
    made = context.world
    context.half = []
    for moment in range(0, 20_000, 200):
        if moment == span:
            context.holder.engines.deliver()
            # What a request meets right then, before the next read-back.
            context.half += [s for s in made.serving() if not made.is_whole(s)]
        made.tick(200)
        context.half += [s for s in made.serving() if not made.is_whole(s)]


@behave.then("no half group was routed to for a moment")
def step_no_half(context):
    assert not context.half, context.half


@behave.when("a VM of the group is dark until a spare has its place")
def step_dark(context):
    made = context.world
    made.run(10_000)
    (group,) = made.serving()
    context.dark = made.engine(group.vms[1])
    context.dark.is_dark = True
    made.run(10_000)
    assert context.dark.vm not in made.serving()[0].vms
    assert context.dark.holding(made.clock.now()).group == group.group
    context.dark.is_dark = False


@behave.then("it is emptied and spare within {bound:d} ms")
def step_spare(context, bound):
    made = context.world
    made.run(bound)
    assert not context.dark.holding(made.clock.now()).group
    assert made.rows().owner_by_vm[context.dark.vm].group == ""
