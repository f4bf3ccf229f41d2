"""Steps about groups that close and reopen."""

import behave

from citronvalve.storage import vmlist
from standins import faults
from tests.groups import world


def _serving(context):
    return context.world.serving()


@behave.given(
    'domains "{domains}" of {vms:d} VMs each, and serving groups of '
    "{size:d} VMs: {count:d}"
)
def step_world(context, domains, vms, size, count):
    by_domain = dict.fromkeys(domains.split(","), vms)
    context.world = world.World(by_domain, size, count)
    context.world.start("x")
    context.world.start("y")
    context.world.run(30_000)
    assert len(_serving(context)) == count, context.world.log
    context.group = _serving(context)[0]


@behave.given("its first VM has {count:d} request in progress")
def step_requests(context, count):
    context.world.engine(context.group.vms[0]).running = count


def _fail_vm(context, vm, how):
    engine = context.world.engine(vm)
    if how == "restarted":
        engine.restart()
    engine.is_up = how != "killed"
    engine.is_dark = how == "unreachable"


@behave.when("one of its VMs is {how}")
def step_fail_vm(context, how):
    context.lost = context.group.vms[1]
    _fail_vm(context, context.lost, how)


@behave.when("one VM of each group is killed")
def step_fail_vm_of_each(context):
    for each in _serving(context):
        _fail_vm(context, each.vms[1], "killed")


@behave.when("one VM of a group is killed")
def step_fail_vm_of_one(context):
    _fail_vm(context, context.group.vms[0], "killed")


@behave.when("the domain of a group becomes unreachable")
def step_domain_unreachable(context):
    context.domain = context.group.vms[0][0]
    for vm, engine in _of_domain(context):
        engine.is_dark = True


@behave.when("the domain is reachable again")
def step_domain_reachable(context):
    for vm, engine in _of_domain(context):
        engine.is_dark = False


def _of_domain(context):
    engines = context.world.engine_by_address.values()
    return [(e.vm, e) for e in engines if e.vm.startswith(context.domain)]


@behave.when("the lost VM returns")
def step_back(context):
    engine = context.world.engine(context.lost)
    if not engine.is_up:
        engine.restart()
    engine.is_dark = False


@behave.when("{seconds:d} s pass")
def step_pass(context, seconds):
    context.world.run(seconds * 1_000)


@behave.when("the spare is killed but still listed")
def step_spare(context):
    used = set(context.group.vms)
    engines = context.world.engine_by_address.values()
    spare = next(e for e in engines if e.vm not in used)
    spare.is_up = False


@behave.when("the list lacks a serving VM")
def step_unlisted(context):
    context.world.vms.remove(context.group.vms[3])


@behave.when("its last VM is marked as leaving")
def step_leaving(context):
    vm = context.group.vms[3]
    context.lost = vm
    record = vmlist.VmRecord(
        vm, world.DC, "a", f"{vm}:1", 8, vmlist.VmState.LEAVING
    )
    context.world.vms.put(record)


@behave.when("the request ends")
def step_request_ends(context):
    context.world.engine(context.group.vms[0]).running = 0


@behave.when("the platform is {how}")
def step_platform(context, how):
    calls = -1 if how == "down" else 0
    context.world.table.faults.order(faults.Fault.DOWN, calls)
    context.world.vms.faults.order(faults.Fault.DOWN, calls)


@behave.when("all leaders and one VM of the group are killed")
def step_all_die(context):
    context.world.process_by_name.clear()
    _fail_vm(context, context.group.vms[0], "killed")


def _run_until(context, bound, is_true):
    start = context.world.clock.now()
    while not is_true():
        now = context.world.clock.now()
        assert now - start < bound, (now - start, context.world.log)
        context.world.tick(500)


@behave.then("routing drops the group within {bound:d} ms")
def step_routing_drops(context, bound):
    name = context.group.group
    _run_until(
        context,
        bound,
        lambda: name not in [each.group for each in _serving(context)],
    )


@behave.then("the group serves again within {bound:d} ms")
def step_serves(context, bound):
    count = context.world.group.replicas
    _run_until(context, bound, lambda: len(_serving(context)) == count)


@behave.then("the group serves again within {bound:d} ms with {whom}")
def step_serves_with(context, bound, whom):
    step_serves(context, bound)
    found = _serving(context)[0]
    is_same = set(found.vms) == set(context.group.vms)
    assert is_same == (whom == "the same VMs"), found


@behave.then("the number of serving groups is {count:d}")
def step_count(context, count):
    assert len(_serving(context)) == count, context.world.log


@behave.then("every other VM is empty")
def step_empty(context):
    used = {vm for each in _serving(context) for vm in each.vms}
    for engine in context.world.engine_by_address.values():
        held = engine.holding(context.world.clock.now())
        assert bool(held.group) == (engine.vm in used), held


@behave.then("no order was sent to the group")
def step_no_order(context):
    for vm in context.group.vms:
        held = context.world.engine(vm).holding(0)
        assert held.fence == context.group.fence, held


@behave.when("{count:d} read-backs of one of its VMs get no answer")
def step_unanswered(context, count):
    cluster = context.world
    context.leader = cluster.process_by_name["x"].leader
    context.leader.poll()
    context.answered_at = cluster.clock.now()
    cluster.engine(context.group.vms[1]).is_dark = True
    for _ in range(count):
        cluster.clock.advance(1_000)
        context.leader.poll()


@behave.when("states are computed {span:d} ms after its last answer")
def step_states(context, span):
    clock = context.world.clock
    clock.advance(context.answered_at + span - clock.now())
    context.leader.lead(clock.now())


@behave.then("these states show {count:d} serving groups")
def step_serve(context, count):
    serving = [s for s in context.leader.states if s.state == "serving"]
    assert len(serving) == count, context.leader.states
