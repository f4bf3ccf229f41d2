"""Steps about leaders that die, sleep and race."""

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
def step_two_books(context):
    context.store = memorytable.MemoryTable()
    held = invariant.Invariants()
    context.books = [
        rowcache.RowCache("a", held),
        rowcache.RowCache("a", held),
    ]
    context.held = held


@behave.when("one writes group {first} and then the other {second}")
def step_both_write(context, first, second):
    lease = rows.Condition(rowcache.LEASES_TABLE, "a", rows.NO_ROW)
    context.answers = []
    for known, text in zip(context.books, (first, second), strict=True):
        name, _, vms = text.partition(":")
        wish = change.Change(None, _record(name, vms.split(",")))
        made = change.transaction(wish, known, lease, name, context.held)
        context.answers.append(context.store.commit(made))


@behave.then("the second is told of the row {row}")
def step_conflict(context, row):
    first, second = context.answers
    assert isinstance(first, rows.Committed)
    assert isinstance(second, rows.Conflict), second
    assert second.where == row, second


def _silent(context):
    made = _world(context, "nothing")
    made.run(2_000)
    group = made.serving()[0]
    made.engine(group.vms[1]).is_dark = True
    made.tick()
    made.clock.advance(1_000)
    return made, group


@behave.when(
    "a leader sleeps before it writes a replacement that nobody needs"
)
def step_old_decision(context):
    # A first time, to find the call.
    made, _ = _silent(context)
    points = made.process_by_name["x"].points
    before = len(points.names)
    made.step("x")
    names = points.names[before:]
    assert any("replaced" in line for line in made.log), made.log
    # The lease may be renewed first; the intent to load comes last.
    at = [n for n, name in enumerate(names) if name == "before commit"][-2]
    made, context.group = _silent(context)

    def sleep():
        made.engine(context.group.vms[1]).is_dark = False
        made.run(16_000)

    made.process_by_name["x"].points.arm(at, sleep)
    made.step("x")
    made.run(3_000)
    context.world = made


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
    context.refuses = fence == "refuse"
    context.made = []


def _world(context, change):
    """Make a world whose next steps carry out a change of its group."""
    made = world.World({"a": 5}, 4, 1, context.refuses)
    for engine in made.engine_by_address.values():
        engine.load_time = 4_000
    made.start("x")
    made.start("y")
    made.tick()
    if change == "new group":
        return made
    made.run(20_000)
    assert len(made.serving()) == 1, made.log
    if change == "replacement":
        made.engine(made.serving()[0].vms[1]).is_up = False
    if change == "new version":
        made.model = made.model._replace(version="2")
        made.declare()
    return made


#: Long enough to take the lease over, drain, and load twice.
_SETTLES = 45_000


def _points(context, change):
    """Return how many calls the leader makes until the change is done."""
    made = _world(context, change)
    points = made.process_by_name["x"].points
    before = points.calls
    made.run(6_000)
    return points.calls - before


def _each_point(context, change, strike):
    count = _points(context, change)
    assert count > 20, count
    for point in range(count):
        made = _world(context, change)
        strike(made, made.process_by_name["x"].points, point)
        made.run(_SETTLES)
        context.made.append((point, made))


@behave.when("a leader dies at each call while a {change} is made")
def step_die(context, change):
    _each_point(context, change, lambda made, points, n: points.kill(n))


@behave.when("a leader sleeps at each call while a {change} is made")
def step_sleep(context, change):
    def strike(made, points, point):
        def sleep():
            made.run(8_000)
            # The other takes over in the middle of this, and the group
            # changes under the sleeper.
            for vm in [v for s in made.serving() for v in s.vms[:1]]:
                made.engine(vm).restart()
            made.run(12_000)

        points.arm(point, sleep)

    _each_point(context, change, strike)


@behave.when("the answer of each write is lost in turn")
def step_lose(context):
    for write in range(16):
        made = _world(context, "new group")
        first = made.table.writes
        while made.table.writes < first + write:
            made.tick(200)
        made.table.faults.order(faults.Fault.LOSE_ANSWER, 1)
        made.run(_SETTLES)
        context.made.append((write, made))


@behave.then("each time the groups serve, and no VM was given away twice")
def step_serve(context):
    for point, made in context.made:
        # World.check looked at the owners after every tick.
        where = (point, made.log, made.records())
        assert len(made.serving()) == 1, where
        assert made.held.count_by_name["one group a VM"] > 100
        name = "no half group is routed to for longer than detection takes"
        looked = made.held.count_by_name.get(name, 0)
        context.looked = getattr(context, "looked", 0) + looked


@behave.when("a leader sleeps in the write of an intent and wakes alone")
def step_wake(context):
    made = context.world = _world(context, "new group")
    points = made.process_by_name["x"].points
    made.process_by_name.pop("y")
    writes = made.table.writes
    points.arm(0, lambda: None)

    def on_say(line):
        if "forming" in line and made.table.writes > writes:
            made.clock.advance(world.SPANS.lease_duration + 1)

    process = made.process_by_name["x"]
    process.leader._deps = process.leader._deps._replace(log=on_say)
    made.clock.advance(1_000)
    before = len(points.names)
    process.leader.step(made.clock.now())
    context.names = points.names[before:]


@behave.then("it gave no order after its lease had lapsed")
def step_no_order(context):
    assert "after commit" in context.names, context.names
    orders = [name for name in context.names if "order" in name]
    assert not orders, orders


def _holder(context):
    return [
        name
        for name, each in context.world.process_by_name.items()
        if each.leader.is_leading()
    ]


@behave.when("the holder of the lease {how}")
def step_holder(context, how):
    context.world = _world(context, "nothing")
    (name,) = _holder(context)
    gone = context.world.process_by_name.pop(name)
    if how == "stops in order":
        gone.leader.stop()
    context.since = context.world.clock.now()


@behave.then("another holds the lease within {bound:d} ms")
def step_holds(context, bound):
    while not _holder(context):
        context.world.tick(500)
        context.waited = context.world.clock.now() - context.since
        assert context.waited <= bound, context.waited


@behave.then("it did not before {bound:d} ms")
def step_not_before(context, bound):
    # The lease counts from its last renewal, up to one renewal before.
    assert context.waited >= bound - world.SPANS.renew_interval, context.waited
