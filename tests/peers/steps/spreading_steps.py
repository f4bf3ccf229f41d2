"""Steps about the table, crashes and loads that peers spread."""

import random

import behave

from citronvalve.model import clock
from citronvalve.model import invariant
from citronvalve.model import load
from citronvalve.peers import change
from citronvalve.peers import crashreport
from citronvalve.peers import tablecopy
from citronvalve.peers import tabledelta
from standins import memorylinks
from tests.peers import cluster


def _rows(count, size):
    return tuple(
        change.Change("table", f"row-{number}", number, b"v" * size)
        for number in range(1, count + 1)
    )


@behave.given("a copy of a table of 40 rows at version 40")
def step_copy(context):
    context.copy = tablecopy.TableCopy(invariant.Invariants())
    context.copy.apply(tabledelta.TableDelta(40, 0, _rows(40, 10)))


@behave.when("another copy gets it with one row corrupted")
def step_corrupted(context):
    context.other = tablecopy.TableCopy(invariant.Invariants())
    page = context.copy.page_after(context.other.next_cursor())
    corrupted = page.changes[3]._replace(value=b"spoilt")
    changes = (*page.changes[:3], corrupted, *page.changes[4:])
    assert not context.other.apply_page(page._replace(changes=changes))


@behave.then(
    "the corrupted table is refused, and the full one is applied next"
)
def step_refused(context):
    assert (context.other.version, context.other.pages_refused) == (0, 1)
    page = context.copy.page_after(context.other.next_cursor())
    assert context.other.apply_page(page)
    assert context.other.digest == context.copy.digest


@behave.given("3 members that hold {count:d} rows of {size:d} bytes")
def step_large(context, count, size):
    cluster.start_members(context, 3)
    delta = tabledelta.TableDelta(count, 0, _rows(count, size))
    context.links.node_by_name["d0-0"].core.publish_table(delta)
    context.links.run(10 * clock.SECOND)
    assert {
        cluster.state(context, n).table.version for n in context.names
    } == {count}
    context.count = count


@behave.when("a fourth member starts")
def step_fourth(context):
    context.links.start("d0-3", "d0", ("d0-1",))


@behave.then("within {span:d} ms it holds all rows, and never only some")
def step_all(context, span):
    table = cluster.state(context, "d0-3").table
    counts = set()

    def _is_complete():
        counts.add(len(table.rows()))
        return table.version == context.count

    cluster.wait_until(context, span, _is_complete)
    assert counts == {0, context.count}, counts


@behave.when("d0-2 is stopped and an edit arrives")
def step_edit(context):
    context.links.stop("d0-2")
    delta = tabledelta.TableDelta(7, 0, _rows(7, 10))
    context.links.node_by_name["d0-1"].core.publish_table(delta)


@behave.then("{span:d} ms later d0-0 names d0-2 as silent")
def step_silent(context, span):
    context.links.run(span)
    core = context.links.node_by_name["d0-0"].core
    assert core.confirmation(7).silent == ("d0-2",), core.confirmation(7)


@behave.given("3 data centres of 3 members with {loss:d}% loss")
def step_datacentres(context, loss):
    context.links = memorylinks.Links(random.Random(3), loss=loss / 100)
    context.names = [f"d{d}-{m}" for d in range(3) for m in range(3)]
    for name in context.names:
        context.links.start(name, name[:2], ("d0-0", "d1-0"))
    context.links.run(10 * clock.SECOND)


@behave.when("one member reports a crash")
def step_crash(context):
    state = cluster.state(context, "d1-2")
    report = crashreport.CrashReport("request", "engine-1", "start-1", 0)
    state.crashes.record(report, state.clock.now())


@behave.then("within {span:d} ms every member knows of it")
def step_known(context, span):
    cluster.wait_until(
        context,
        span,
        lambda: all(
            cluster.state(context, name).crashes.reports(
                cluster.state(context, name).clock.now()
            )
            for name in context.names
        ),
    )


@behave.when("one member measures a load")
def step_load(context):
    node = context.links.node_by_name["d1-2"]
    report = load.LoadReport("engine-1", "s", 1, 0, 8, node.clock.now())
    node.core.publish_load(report)
    context.measured_at = context.links.clock.now()


@behave.then(
    "within {span:d} ms every member knows it, with its age to {most:d} ms"
)
def step_age(context, span, most):
    def _reports():
        return [
            cluster.state(context, name).loads.report("engine-1")
            for name in context.names
        ]

    cluster.wait_until(context, span, lambda: all(_reports()))
    true_age = context.links.clock.now() - context.measured_at
    for name in context.names:
        state = cluster.state(context, name)
        age = state.clock.now() - state.loads.report("engine-1").measured_at
        assert abs(age - true_age) <= most, (name, age, true_age)
