"""Steps that check single decisions of a dispatcher."""

import behave

from citronvalve.model import declared
from citronvalve.model import ran
from citronvalve.model import refusal
from citronvalve.policy import crashfence
from citronvalve.policy import decision
from tests import machinery
from tests.policy import harness
from tests.policy import machines


@behave.given("one upstream with a {kind} request in progress")
def step_in_progress(context, kind):
    context.harness = harness.Harness(("a0",))
    context.harness.report("a0")
    context.start = context.harness.submit(repeatable=kind == "repeatable")
    assert isinstance(context.start, decision.Start), context.start


@behave.when('the attempt ends as "{how}"')
def step_ends(context, how):
    context.harness.end(context.start.ticket, how)
    context.harness.now += 100
    context.harness.report("a0")
    context.harness.tick()


@behave.then("the caller is served by another attempt")
def step_again(context):
    again = list(context.harness.starts.values())
    assert [s.attempt for s in again] == [2], context.harness.refused
    assert again[0].work == context.start.work


@behave.then("the caller is told that it may have run")
def step_unknown(context):
    assert not context.harness.starts
    refused = context.harness.refused[context.start.work.request]
    assert refused.ran is ran.Ran.UNKNOWN, refused


@behave.given("{count:d} upstreams")
def step_upstreams(context, count):
    names = tuple(f"a{number}" for number in range(count))
    context.harness = harness.Harness(names)
    for name in names:
        context.harness.report(name)


@behave.when('{count:d} attempts at {failing:d} of them end as "{how}"')
def step_attempts_end(context, count, failing, how):
    system = context.harness
    failing_names = {f"a{number}" for number in range(failing)}
    # Fewer end so once none of these upstreams is in service any more.
    for _ in range(count):
        system.submit()
        for ticket, start in list(system.starts.items()):
            is_failing = start.upstream in failing_names
            system.end(ticket, how if is_failing else "done")
        system.tick(10)


@behave.then("{count:d} of them are in service")
def step_in_service(context, count):
    system = context.harness
    reason_by_name = {
        name: each.block_reason(system.now)
        for name, each in system.dispatcher.fleet.candidate_by_name.items()
    }
    in_service = [why for why in reason_by_name.values() if why is None]
    assert len(in_service) == count, reason_by_name


@behave.given("one upstream that {reason}")
def step_unavailable(context, reason):
    system = context.harness = harness.Harness(("a0",))
    if reason != "has not reported":
        system.report("a0", missing=("vm-2",) * (reason == "lacks a VM"))
    if reason == "has not reported for 6 s":
        system.now += 6_000
    if reason == "is out":
        row = system.table.upstream_by_name["a0"]
        row = row._replace(state=declared.ServiceState.OUT)
        rows = system.table._replace(upstream_by_name={"a0": row})
        system.dispatcher.apply_table(rows, system.now)
    if reason == "is in a data centre out":
        system.set_datacentre_state("a", declared.ServiceState.OUT)
    if reason == "died, as a peer reported":
        system.now += 5_000
        loss = crashfence.Loss("k", "a0", 100)
        system.dispatcher.record_remote_loss(loss, system.now)
    if reason == "restarted, without a loan":
        system.now += 100
        system.report("a0", start_id="2", capacity=1)


@behave.when("a caller sends a request")
def step_send(context):
    context.verdict = context.harness.submit()


@behave.then('it is refused at once as "{kind}" with "{named}" in its detail')
def step_refused(context, kind, named):
    refused = context.verdict
    assert isinstance(refused, refusal.Refusal), refused
    assert refused.kind.value == kind and named in refused.detail, refused
    assert refused.ran is ran.Ran.NO and refused.retry_after > 0, refused


@behave.given("one upstream with all slots taken permanently")
def step_full(context):
    system = context.harness = harness.Harness(("a0",))
    system.report("a0")
    for _ in range(4):
        system.submit(time_left=60_000)
    assert len(system.starts) == 4


@behave.when("a queued request can no longer finish by its deadline")
def step_waits(context):
    context.verdict = context.harness.submit(time_left=2_000)
    assert isinstance(context.verdict, decision.Queued), context.verdict
    context.ticks = 0
    while not context.harness.refused and context.ticks < 100:
        context.harness.tick(50)
        context.ticks += 1


@behave.then("it is refused by its deadline without being run")
def step_refused_by_deadline(context):
    refused = context.harness.refused[context.verdict.request]
    assert refused.kind is refusal.RefusalKind.NO_TIME, refused
    assert refused.ran is ran.Ran.NO and refused.retry_after > 0, refused
    assert context.ticks * 50 <= 2_000, context.ticks


@behave.given("9 upstreams that reject every attempt as full")
def step_full_upstreams(context):
    context.harness = harness.Harness(tuple(f"a{n}" for n in range(9)))
    for n in range(9):
        context.harness.report(f"a{n}", capacity=4)


@behave.when("{count:d} requests are sent within a second")
def step_requests(context, count):
    system = context.harness
    context.retries = 0
    for _ in range(count):
        system.submit()
        system.tick(2)
        while system.starts:
            ticket, start = next(iter(system.starts.items()))
            context.retries += start.attempt > 1
            system.end(ticket, "busy")


@behave.then("at most {most:d} retries are started")
def step_budget(context, most):
    assert 0 < context.retries <= most, context.retries


@behave.when("the dispatcher's state machine runs")
def step_machine(context):
    context.counts = machinery.run("Deciding")


@behave.then("each of its invariants was checked")
def step_checked(context):
    for name in machines.INVARIANTS:
        assert context.counts.get(name), (name, context.counts)
