"""Steps about changes that roll over the groups."""

import behave

from citronvalve.groups import fixedloadslots
from citronvalve.groups import phase
from tests.groups import world

_LOAD = 5_000


def _world(replicas, most=1):
    # Two VMs more than the groups need, so that a change of size fits.
    made = world.World({"a": 9, "b": 3}, 2, replicas)
    made.declare(most_closed=most)
    for engine in made.engine_by_address.values():
        engine.load_time = _LOAD
    made.start("x")
    return made


@behave.given(
    "{count:d} serving groups of 2 VMs, of which {most:d} may be closed"
)
def step_serving(context, count, most):
    context.world = _world(count, most)
    context.world.run(20_000)
    assert len(context.world.serving()) == count


@behave.given("{count:d} groups of 2 VMs that start with {slots:d} load slot")
def step_slots(context, count, slots):
    context.world = made = _world(count)
    made.start("y")
    context.seen = 0
    for engine in made.engine_by_address.values():
        engine.load_time = 3 * _LOAD
    for each in made.process_by_name.values():
        slot = fixedloadslots.FixedLoadSlots(slots)
        each.leader._deps = each.leader._deps._replace(load_slots=slot)


@behave.when("the leader {fate} after 20 s")
def step_fate(context, fate):
    _look_at_loads(context, 20)
    if fate == "dies":
        del context.world.process_by_name["x"]


def _change(made, what):
    if what == "version":
        made.model = made.model._replace(version="2")
    values = {
        "model": {"model": "coins"},
        "adapter": {"adapter": "stamps"},
        "role": {"role": "prefill"},
        "size": {"size": 3},
    }
    made.declare(**values.get(what, {}))


@behave.when("operators change the {what}")
def step_change(context, what):
    _change(context.world, what)


@behave.when("operators want {count:d} group")
def step_want(context, count):
    context.world.declare(replicas=count)


@behave.when("two groups lose a VM each")
def step_break(context):
    made = context.world
    for engine in made.engine_by_address.values():
        used = [s for s in made.serving() if engine.vm in s.vms]
        engine.is_up = bool(used)
    for group in made.serving()[:2]:
        made.engine(group.vms[0]).is_up = False


@behave.then("at no time are more than {most:d} closed")
def step_never_more(context, most):
    made = context.world
    least = len(made.serving())
    for _ in range(150):
        made.tick()
        least = min(least, len(made.serving()))
    assert least == 4 - most, (least, made.log)


@behave.then("never more than {most:d} group loads at once")
def step_loads(context, most):
    _look_at_loads(context, 60)
    assert context.seen == most, context.seen


def _look_at_loads(context, seconds):
    made = context.world
    for _ in range(seconds):
        made.tick()
        loading = {
            held.group
            for engine in made.engine_by_address.values()
            if (held := engine.holding(made.clock.now())).state == "loading"
        }
        context.seen = max(context.seen, len(loading))


@behave.then("within {seconds:d} s all {count:d} serve with the change")
def step_all(context, seconds, count):
    made = context.world
    start = made.clock.now()
    while not _is_changed(made, count):
        assert made.clock.now() - start < seconds * 1_000, made.log
        made.tick()


def _is_changed(made, count):
    wanted = (made.group.model, made.model.version)
    done = [
        each
        for each in made.serving()
        if each.state is phase.Phase.SERVING
        and len(each.vms) == made.group.size
        and made.records()[each.group].wanted[:2] == wanted
        and made.records()[each.group].wanted.adapter == made.group.adapter
        and all(made.engine(vm).role == made.group.role for vm in each.vms)
    ]
    return len(done) == count
