"""Steps about the calls of many daemons to the platform."""

import behave

from citronvalve.peers import rendezvous
from tests.size import leasefleet


def _run(context, seconds):
    context.fleet.calls_by_name.clear()
    context.fleet.run(seconds * 1_000)
    context.calls = context.fleet.calls_by_name.total()


def _ranked(context):
    leader = context.fleet.leaders()[0]
    names = context.fleet.lease_by_name.keys() - {leader}
    return [leader, *rendezvous.rank("lead", names)]


@behave.given("{count:d} daemons that start for the first time")
def step_start(context, count):
    context.count = count
    context.fleet = leasefleet.LeaseFleet(count)


@behave.when("{seconds:d} s pass")
@behave.when("{seconds:d} s pass again")
def step_pass(context, seconds):
    _run(context, seconds)


@behave.when("the leader is killed and {seconds:d} s pass")
def step_kill_leader(context, seconds):
    context.fleet.kill(context.fleet.leaders())
    _run(context, seconds)


@behave.when(
    "the leader and the next {count:d} in rank are killed and {seconds:d} s "
    "pass"
)
def step_kill_more(context, count, seconds):
    context.fleet.kill(_ranked(context)[: count + 1])
    _run(context, seconds)


@behave.when(
    "the store resets all calls, the leader is killed, and {seconds:d} s pass"
)
def step_outage(context, seconds):
    context.fleet.outage.set()
    step_kill_leader(context, seconds)


@behave.when(
    "the store resets all calls, the leader and the next {count:d} in rank "
    "are killed, and {seconds:d} s pass"
)
def step_outage_more(context, count, seconds):
    context.fleet.outage.set()
    step_kill_more(context, count, seconds)


@behave.when("the store is back, and {seconds:d} s pass")
def step_back(context, seconds):
    context.fleet.outage.clear()
    _run(context, seconds)


@behave.when("all but the last in rank are killed and {seconds:d} s pass")
def step_kill_others(context, seconds):
    context.fleet.kill(_ranked(context)[:-1])
    _run(context, seconds)


@behave.when("all are killed, start again, and {seconds:d} s pass")
def step_restart(context, seconds):
    names = list(context.fleet.lease_by_name)
    context.fleet.kill(names)
    for name in names:
        context.fleet.start(name)
    _run(context, seconds)


@behave.then("one daemon leads")
def step_one(context):
    assert len(context.fleet.leaders()) == 1, context.fleet.leaders()


@behave.then("each knows all daemons")
def step_known(context):
    for name, one in context.fleet.lease_by_name.items():
        assert len(one.peer_by_name) == context.count, name


@behave.then("those that don't lead have made at most {most:d} calls each")
def step_each(context, most):
    followers = dict(context.fleet.calls_by_name)
    leaders = context.fleet.leaders()
    calls = sum(n for name, n in followers.items() if name not in leaders)
    mean = calls / (context.count - len(leaders))
    assert mean <= most, mean


@behave.then("they have made at most {most:d} calls in this time")
def step_most(context, most):
    assert context.calls <= most, context.calls


@behave.then("only the leader has made calls in these {seconds:d} s")
def step_leader_only(context, seconds):
    # One renewal a second, and a scan each 10 s.
    assert context.calls <= 1.2 * seconds, context.calls
