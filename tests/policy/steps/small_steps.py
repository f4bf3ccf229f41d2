"""Steps about single decisions."""

import behave

from citronvalve.model import declared
from citronvalve.model import ran
from citronvalve.model import refusal
from citronvalve.policy import crashfence
from citronvalve.policy import decision
from tests import machinery
from tests.policy import machines
from tests.policy import small


@behave.given("one upstream and {kind} work in progress")
def step_in_progress(context, kind):
    context.small = small.Small(("a0",))
    context.small.report("a0")
    context.start = context.small.submit(repeatable=kind == "repeatable")
    assert isinstance(context.start, decision.Start), context.start


@behave.when('the attempt ends as "{how}"')
def step_ends(context, how):
    context.small.end(context.start.ticket, how)
    context.small.now += 100
    context.small.report("a0")
    context.small.tick()


@behave.then("the caller is served by another attempt")
def step_again(context):
    again = list(context.small.starts.values())
    assert [s.attempt for s in again] == [2], context.small.refused
    assert again[0].work == context.start.work


@behave.then("the caller is told that it may have run")
def step_unknown(context):
    assert not context.small.starts
    told = context.small.refused[context.start.work.request]
    assert told.ran is ran.Ran.UNKNOWN, told


@behave.given("one upstream that {reason}")
def step_barred(context, reason):
    made = context.small = small.Small(("a0",))
    if reason != "has not reported":
        made.report("a0", missing=("vm-2",) * (reason == "lacks a VM"))
    if reason == "has not reported for 6 s":
        made.now += 6_000
    if reason == "is out":
        row = made.table.upstream_by_name["a0"]
        row = row._replace(state=declared.ServiceState.OUT)
        rows = made.table._replace(upstream_by_name={"a0": row})
        made.dispatcher.apply_table(rows, made.now)
    if reason == "is in a data centre out":
        made.state("a", declared.ServiceState.OUT)
    if reason == "died, as a peer told":
        made.now += 5_000
        loss = crashfence.Loss("k", "a0", 100)
        made.dispatcher.record_remote_loss(loss, made.now)
    if reason == "started afresh, without loan":
        made.now += 100
        made.report("a0", start_id="2", bears=1)


@behave.when("a caller sends a request")
def step_send(context):
    context.verdict = context.small.submit()


@behave.then('it is refused at once as "{kind}", naming "{named}"')
def step_refused(context, kind, named):
    told = context.verdict
    assert isinstance(told, refusal.Refusal), told
    assert told.kind.value == kind and named in told.detail, told
    assert told.ran is ran.Ran.NO and told.retry_after > 0, told


@behave.given("one upstream with all slots taken for ever")
def step_full(context):
    made = context.small = small.Small(("a0",))
    made.report("a0")
    for _ in range(4):
        made.submit(within=60_000)
    assert len(made.starts) == 4


@behave.when(
    "a caller's queued work reaches the time at which it can't finish"
)
def step_waits(context):
    context.verdict = context.small.submit(within=2_000)
    assert isinstance(context.verdict, decision.Queued), context.verdict
    context.ticks = 0
    while not context.small.refused and context.ticks < 100:
        context.small.tick(50)
        context.ticks += 1


@behave.then("it is refused at that tick, and not run")
def step_given_up(context):
    told = context.small.refused[context.verdict.request]
    assert told.kind is refusal.RefusalKind.NO_TIME, told
    assert told.ran is ran.Ran.NO and told.retry_after > 0, told
    assert context.ticks * 50 <= 2_000, context.ticks


@behave.given("one upstream whose every attempt is never sent")
def step_unsent(context):
    context.small = small.Small(tuple(f"a{n}" for n in range(9)))
    for n in range(9):
        context.small.report(f"a{n}", bears=4)


@behave.when("{count:d} callers send a request each within a second")
def step_callers(context, count):
    made = context.small
    context.retries = 0
    for _ in range(count):
        made.submit()
        made.tick(2)
        while made.starts:
            ticket, start = next(iter(made.starts.items()))
            context.retries += start.attempt > 1
            made.end(ticket, "busy")


@behave.then("at most {most:d} retries are started")
def step_budget(context, most):
    assert 0 < context.retries <= most, context.retries


@behave.when("the dispatcher's state machine runs")
def step_machine(context):
    context.counts = machinery.run("Deciding")


@behave.then("each of its promises was looked at")
def step_looked(context):
    for name in machines.PROMISES:
        assert context.counts.get(name), (name, context.counts)
