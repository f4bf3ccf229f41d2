"""Steps about late orders."""

import behave

from tests.groups import world


@behave.given(
    "a group whose first order is late, on engines that {fence} old orders"
)
def step_late(context, fence):
    cluster = context.world = world.World({"a": 5}, 4, 1, fence == "refuse")
    for engine in cluster.engine_by_address.values():
        engine.load_time = 0
    context.holder = cluster.start("x")
    cluster.start("y")
    cluster.tick()
    context.holder.engines.hold_next = 1
    for _ in range(5):
        if not context.holder.engines.late:
            cluster.tick()
    context.late_order = context.holder.engines.late[0]


@behave.when("the leader is paused and another one forms the serving group")
def step_paused(context):
    cluster = context.world
    context.holder.is_paused = True
    cluster.run(20_000)
    # Restarted VMs need new orders, which raise the fence.
    for vm in [v for s in cluster.records().values() for v in s.vms]:
        cluster.engine(vm).restart()
    cluster.run(20_000)
    for engine in cluster.engine_by_address.values():
        engine.load_time = 5_000
    (context.group,) = cluster.serving()
    assert context.group.fence > context.late_order[1].fence


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
    cluster = context.world
    context.holder.is_paused = False
    cluster.run(bound)
    assert len(cluster.serving()) == 1, cluster.log
    assert cluster.is_complete(cluster.serving()[0])


@behave.when("the leader dies")
def step_dies(context):
    del context.world.process_by_name["x"]


@behave.then(
    "another sends orders no sooner than {wait:d} ms after it acquires "
    "the lease"
)
def step_waits(context, wait):
    cluster = context.world
    other = cluster.process_by_name["y"]
    while not other.leader.is_leading():
        cluster.tick(100)
    taken = cluster.clock.now()
    while not any("order" in name for name in other.points.names):
        cluster.tick(100)
        assert cluster.clock.now() - taken <= 4_000, cluster.log
    waited = cluster.clock.now() - taken
    assert wait <= waited <= wait + 200, waited


@behave.when("the late order arrives after {span:d} ms and clears the engine")
def step_empties(context, span):
    cluster = context.world
    context.incomplete_states = []
    for moment in range(0, 20_000, 200):
        if moment == span:
            context.holder.engines.deliver()
            # The state that a request meets before the next read-back.
            context.incomplete_states += [
                s for s in cluster.serving() if not cluster.is_complete(s)
            ]
        cluster.tick(200)
        context.incomplete_states += [
            s for s in cluster.serving() if not cluster.is_complete(s)
        ]


@behave.then("no incomplete group was ever in routing")
def step_no_half(context):
    assert not context.incomplete_states, context.incomplete_states


@behave.when("a VM of the group is unreachable until a spare replaces it")
def step_dark(context):
    cluster = context.world
    cluster.run(10_000)
    (group,) = cluster.serving()
    context.unreachable_engine = cluster.engine(group.vms[1])
    context.unreachable_engine.is_dark = True
    cluster.run(10_000)
    assert context.unreachable_engine.vm not in cluster.serving()[0].vms
    assert (
        context.unreachable_engine.holding(cluster.clock.now()).group
        == group.group
    )
    context.unreachable_engine.is_dark = False


@behave.then("it is cleared and free within {bound:d} ms")
def step_spare(context, bound):
    cluster = context.world
    cluster.run(bound)
    assert not context.unreachable_engine.holding(cluster.clock.now()).group
    assert (
        cluster.stored_rows().owner_by_vm[context.unreachable_engine.vm].group
        == ""
    )
