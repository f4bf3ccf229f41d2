"""Steps about changes that are rolled out group by group."""

import behave

from citronvalve.groups import fixedloadslots
from citronvalve.groups import phase
from tests.groups import world

_LOAD_TIME = 5_000


def _world(replicas, most=1):
    # More VMs than the groups need, so that a change of size fits.
    cluster = world.World({"a": 9, "b": 3}, 2, replicas)
    cluster.declare(most_closed=most)
    for engine in cluster.engine_by_address.values():
        engine.load_time = _LOAD_TIME
    cluster.start("x")
    return cluster


@behave.given(
    "{count:d} serving groups of 2 VMs, of which {most:d} may be closed"
)
def step_serving(context, count, most):
    context.world = _world(count, most)
    context.world.run(20_000)
    assert len(context.world.serving()) == count


@behave.given("{count:d} groups of 2 VMs that start with {slots:d} load slot")
def step_slots(context, count, slots):
    context.world = cluster = _world(count)
    cluster.start("y")
    context.max_loading = 0
    for engine in cluster.engine_by_address.values():
        engine.load_time = 3 * _LOAD_TIME
    for each in cluster.process_by_name.values():
        slot = fixedloadslots.FixedLoadSlots(slots)
        each.leader._deps = each.leader._deps._replace(load_slots=slot)


@behave.when("the leader {fate} after 20 s")
def step_leader(context, fate):
    _run_counting_loads(context, 20)
    if fate == "dies":
        del context.world.process_by_name["x"]


def _change(cluster, what):
    if what == "version":
        cluster.model = cluster.model._replace(version="2")
    values = {
        "model": {"model": "coins"},
        "adapter": {"adapter": "stamps"},
        "role": {"role": "prefill"},
        "size": {"size": 3},
    }
    cluster.declare(**values.get(what, {}))


@behave.when("operators change the {what}")
def step_change(context, what):
    _change(context.world, what)


@behave.when("the declared replicas are set to {count:d}")
def step_replicas(context, count):
    context.world.declare(replicas=count)


@behave.when("two groups lose a VM each")
def step_break(context):
    cluster = context.world
    for engine in cluster.engine_by_address.values():
        used = [s for s in cluster.serving() if engine.vm in s.vms]
        engine.is_up = bool(used)
    for group in cluster.serving()[:2]:
        cluster.engine(group.vms[0]).is_up = False


@behave.then("at no time are more than {most:d} closed")
def step_never_more(context, most):
    cluster = context.world
    least = len(cluster.serving())
    for _ in range(150):
        cluster.tick()
        least = min(least, len(cluster.serving()))
    assert least == 4 - most, (least, cluster.log)


@behave.then("never more than {most:d} group loads at once")
def step_loads(context, most):
    _run_counting_loads(context, 60)
    assert context.max_loading == most, context.max_loading


def _run_counting_loads(context, seconds):
    cluster = context.world
    for _ in range(seconds):
        cluster.tick()
        loading = {
            reported.group
            for engine in cluster.engine_by_address.values()
            if (reported := engine.holding(cluster.clock.now())).state
            == "loading"
        }
        context.max_loading = max(context.max_loading, len(loading))


@behave.then("within {seconds:d} s all {count:d} serve with the change")
def step_all(context, seconds, count):
    cluster = context.world
    start = cluster.clock.now()
    while not _is_changed(cluster, count):
        assert cluster.clock.now() - start < seconds * 1_000, cluster.log
        cluster.tick()


def _is_changed(cluster, count):
    wanted = (cluster.group.model, cluster.model.version)
    done = [
        each
        for each in cluster.serving()
        if each.state is phase.Phase.SERVING
        and len(each.vms) == cluster.group.size
        and cluster.records()[each.group].wanted[:2] == wanted
        and cluster.records()[each.group].wanted.adapter
        == cluster.group.adapter
        and all(
            cluster.engine(vm).role == cluster.group.role for vm in each.vms
        )
    ]
    return len(done) == count
