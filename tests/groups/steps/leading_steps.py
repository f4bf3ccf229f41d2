"""Steps about leaders that die, are paused, or race."""

import behave

from citronvalve.groups import change
from citronvalve.groups import member
from citronvalve.groups import phase
from citronvalve.groups import record
from citronvalve.groups import rowcache
from citronvalve.groups import wanted
from citronvalve.model import invariant
from citronvalve.storage import rows
from standins import faults
from standins import memorytable
from tests.groups import world


def _record(name, vms):
    return record.GroupRecord(
        name=name,
        declared=name,
        domain="a",
        members=tuple(member.Member(vm, f"{vm}:1") for vm in vms),
        fence=1,
        attempt=name,
        phase=phase.Phase.FORMING,
        reason="newly placed",
        since=0,
        wanted=wanted.Wanted("bags", "1"),
    )


@behave.given("two leaders that read the same rows and the same lease")
def step_two_caches(context):
    context.store = memorytable.MemoryTable()
    invariants = invariant.Invariants()
    context.caches = [
        rowcache.RowCache("a", invariants),
        rowcache.RowCache("a", invariants),
    ]
    context.invariants = invariants


@behave.when("one writes group {first} and then the other {second}")
def step_both_write(context, first, second):
    lease = rows.Condition(rowcache.LEASES_TABLE, "a", rows.NO_ROW)
    context.answers = []
    for cache, text in zip(context.caches, (first, second), strict=True):
        name, _, vms = text.partition(":")
        new_change = change.Change(None, _record(name, vms.split(",")))
        transaction = change.transaction(
            new_change, cache, lease, name, context.invariants
        )
        context.answers.append(context.store.commit(transaction))


@behave.then("the second write conflicts with the row {row}")
def step_conflict(context, row):
    first, second = context.answers
    assert isinstance(first, rows.Committed)
    assert isinstance(second, rows.Conflict), second
    assert second.where == row, second


def _world_with_silent_vm(context):
    cluster = _world(context, "nothing")
    cluster.run(2_000)
    state = cluster.serving()[0]
    cluster.engine(state.vms[1]).is_dark = True
    cluster.tick()
    cluster.clock.advance(1_000)
    return cluster, state


@behave.when(
    "a leader is paused before it writes a replacement no longer needed"
)
def step_old_decision(context):
    # The first run finds the call at which to pause.
    cluster, _ = _world_with_silent_vm(context)
    points = cluster.process_by_name["x"].points
    before = len(points.names)
    cluster.step("x")
    names = points.names[before:]
    assert any("replaced" in line for line in cluster.log), cluster.log
    # The lease may be renewed first; the intent to load is written last.
    at = [n for n, name in enumerate(names) if name == "before commit"][-2]
    cluster, context.group = _world_with_silent_vm(context)

    def pause():
        cluster.engine(context.group.vms[1]).is_dark = False
        cluster.run(16_000)

    cluster.process_by_name["x"].points.arm(at, pause)
    cluster.step("x")
    cluster.run(3_000)
    context.world = cluster


@behave.then("the group serves with the same VMs and the same fence")
def step_undisturbed(context):
    (found,) = context.world.serving()
    assert found.vms == context.group.vms, context.world.log
    assert found.fence == context.group.fence, context.world.log
    names = [each.leader.is_leading() for each in _processes(context)]
    assert names == [False, True], names


def _processes(context):
    by_name = context.world.process_by_name
    return [by_name[name] for name in "xy"]


@behave.given("engines that {fence} old orders")
def step_engines(context, fence):
    context.refuses_old_fence = fence == "refuse"
    context.runs = []


def _world(context, change):
    """Return a world whose next steps carry out a change of its group."""
    cluster = world.World({"a": 5}, 4, 1, context.refuses_old_fence)
    for engine in cluster.engine_by_address.values():
        engine.load_time = 4_000
    cluster.start("x")
    cluster.start("y")
    cluster.tick()
    if change == "new group":
        return cluster
    cluster.run(20_000)
    assert len(cluster.serving()) == 1, cluster.log
    if change == "replacement":
        cluster.engine(cluster.serving()[0].vms[1]).is_up = False
    if change == "new version":
        cluster.model = cluster.model._replace(version="2")
        cluster.declare()
    return cluster


#: Long enough to take over the lease, drain, and load twice.
_SETTLE_TIME = 45_000


def _count_calls(context, change):
    """Return the number of calls that the leader makes for a change."""
    cluster = _world(context, change)
    points = cluster.process_by_name["x"].points
    before = points.calls
    cluster.run(6_000)
    return points.calls - before


def _inject_at_each_call(context, change, inject):
    count = _count_calls(context, change)
    assert count > 20, count
    for point in range(count):
        cluster = _world(context, change)
        inject(cluster, cluster.process_by_name["x"].points, point)
        cluster.run(_SETTLE_TIME)
        context.runs.append((point, cluster))


@behave.when("a leader dies at each call during a {change}")
def step_kill(context, change):
    _inject_at_each_call(
        context, change, lambda cluster, points, n: points.kill(n)
    )


@behave.when("a leader is paused at each call during a {change}")
def step_pause(context, change):
    def inject(cluster, points, point):
        def pause():
            cluster.run(8_000)
            # The other leader takes over in the meantime, and the group
            # changes while this one is paused.
            for vm in [v for s in cluster.serving() for v in s.vms[:1]]:
                cluster.engine(vm).restart()
            cluster.run(12_000)

        points.arm(point, pause)

    _inject_at_each_call(context, change, inject)


@behave.when("the answer of each write is lost in turn")
def step_lose(context):
    for write in range(16):
        cluster = _world(context, "new group")
        first = cluster.table.writes
        while cluster.table.writes < first + write:
            cluster.tick(200)
        cluster.table.faults.order(faults.Fault.LOSE_ANSWER, 1)
        cluster.run(_SETTLE_TIME)
        context.runs.append((write, cluster))


@behave.then("each time the groups serve, and no VM was assigned twice")
def step_serve(context):
    for point, cluster in context.runs:
        # World.check has compared the owners after every tick.
        detail = (point, cluster.log, cluster.records())
        assert len(cluster.serving()) == 1, detail
        assert cluster.invariants.count_by_name["one group a VM"] > 100
        name = "no half group is routed to for longer than detection takes"
        checked = cluster.invariants.count_by_name.get(name, 0)
        context.check_count = getattr(context, "check_count", 0) + checked


@behave.when("a leader's write of an intent outlasts its lease")
def step_pause_in_write(context):
    cluster = context.world = _world(context, "new group")
    points = cluster.process_by_name["x"].points
    cluster.process_by_name.pop("y")
    writes = cluster.table.writes
    points.arm(0, lambda: None)

    def on_say(line):
        if "forming" in line and cluster.table.writes > writes:
            cluster.clock.advance(world.TIMINGS.lease_duration + 1)

    process = cluster.process_by_name["x"]
    process.leader._deps = process.leader._deps._replace(log=on_say)
    cluster.clock.advance(1_000)
    before = len(points.names)
    process.leader.step(cluster.clock.now())
    context.call_names = points.names[before:]


@behave.then("it sent no order after its lease had expired")
def step_no_order(context):
    assert "after commit" in context.call_names, context.call_names
    orders = [name for name in context.call_names if "order" in name]
    assert not orders, orders


def _leading_names(context):
    return [
        name
        for name, each in context.world.process_by_name.items()
        if each.leader.is_leading()
    ]


@behave.when("the holder of the lease {how}")
def step_holder(context, how):
    context.world = _world(context, "nothing")
    (name,) = _leading_names(context)
    gone = context.world.process_by_name.pop(name)
    if how == "stops gracefully":
        gone.leader.stop()
    context.started_at = context.world.clock.now()


@behave.then("another holds the lease within {bound:d} ms")
def step_holds(context, bound):
    while not _leading_names(context):
        context.world.tick(500)
        context.elapsed = context.world.clock.now() - context.started_at
        assert context.elapsed <= bound, context.elapsed


@behave.then("it did not hold it before {bound:d} ms")
def step_not_before(context, bound):
    # The lease counts from its last renewal, up to one interval earlier.
    assert context.elapsed >= bound - world.TIMINGS.renew_interval, (
        context.elapsed
    )
