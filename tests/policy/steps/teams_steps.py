"""Steps about the shares of a full replica pool."""

import random
import time

import behave

from citronvalve.policy import classbalance
from citronvalve.policy import loaddetails
from citronvalve.policy import poolgate
from citronvalve.policy import pooluse
from citronvalve.policy import poolview
from citronvalve.policy import returnschedule
from citronvalve.policy import teamlimits
from citronvalve.policy import teamshares
from citronvalve.policy import upstreamchoice

_ROOM = poolview.Room(1_000.0, 0.1, 12)


def _numbers(text):
    pairs = (pair.split(":") for pair in text.split())
    return {team: float(number) for team, number in pairs}


@behave.given("a pool of {room:d} slots")
def step_pool(context, room):
    context.room = room


@behave.when("teams use {use} with weights {weights}")
def step_use(context, use, weights):
    context.level = teamshares.level(
        _numbers(use), _numbers(weights), context.room
    )


@behave.then("their level is {level:g}")
def step_level(context, level):
    assert context.level == level, context.level


@behave.given("a pool of 240 slots that 23 teams use with 8 requests each")
def step_flooded(context):
    context.others = {f"t{number}": 8 for number in range(23)}


@behave.when(
    "a team of this one of 12 daemons sends {count:d} requests at once"
)
def step_flood(context, count):
    limits = teamlimits.TeamLimits(random.Random(1))
    use = {**context.others, "flood": 120}
    level = teamshares.level(use, {}, (1 - _ROOM.margin) * 240, ("flood",))
    view = poolview.PoolView(240, 304, 0, level, use, False, 100)
    context.started = 0
    for _ in range(count):
        total = 120 + context.started
        team_use = poolview.TeamUse(context.started, total, level)
        refuses = limits.refuses("flood", team_use, view, _ROOM, 0)
        context.started += not refuses
    context.level = level


@behave.then("at most its part of 240 slots less the margin starts")
def step_flood_held(context):
    left = 240 * (1 - _ROOM.margin) - 23 * 8
    assert context.level == left, context.level
    assert context.started <= left / 12 + 1, context.started


@behave.given("excesses that lasted {lasted:d} ms")
def step_excesses(context, lasted):
    context.schedule = returnschedule.ReturnSchedule()
    context.now = 0
    for _ in range(6):
        context.now += 5_000
        for at in range(0, lasted + 1, 50):
            context.schedule.record_excess(context.now + at)
    context.now += 5_000
    context.schedule.record_excess(context.now)


def _refuse(schedule, count, free_rate, now):
    rng = random.Random(1)
    return [
        schedule.schedule(free_rate, 250, 2_000, rng.random(), now)
        for _ in range(count)
    ]


@behave.when("{count:d} callers are refused at the begin of the next one")
def step_refused(context, count):
    context.waits = _refuse(context.schedule, count, 0.02, context.now)


@behave.when(
    "{count:d} callers are refused while {rate:g} slots become free a ms"
)
def step_refused_at_once(context, count, rate):
    schedule = returnschedule.ReturnSchedule()
    context.waits = _refuse(schedule, count, rate, 1_000)


@behave.then("none comes back before {earliest:d} ms")
def step_earliest(context, earliest):
    assert min(context.waits) >= earliest, context.waits


@behave.then("none waits longer than {latest:d} ms")
def step_latest(context, latest):
    assert max(context.waits) <= latest, context.waits


@behave.then("at most {most:d} of them come back within any {span:d} ms")
def step_spread(context, most, span):
    waits = sorted(context.waits)
    for first in waits:
        inside = [wait for wait in waits if first <= wait < first + span]
        assert len(inside) <= most, waits


@behave.given("kinds of which the {who} is served {lead:g} more often")
def step_kinds(context, who, lead):
    context.balance = classbalance.ClassBalance()
    context.kind = classbalance.Kind(who, 1)
    for name, cost in (("small", 200.0), ("large", 1_200.0)):
        kind = classbalance.Kind(name, 1)
        for number in range(100):
            context.balance.record_asked(kind, cost, 0)
            part = 0.6 + (lead if name == who else 0)
            if number < round(100 * part):
                context.balance.record_served(kind, 0)


@behave.then("it yields to the other")
def step_yields(context):
    assert context.balance.must_yield(context.kind)


@behave.then("it does not yield to the other")
def step_keeps(context):
    assert not context.balance.must_yield(context.kind)


@behave.given("a full pool of 100 replicas whose reports name {count:d} teams")
def step_many(context, count):
    context.loads = upstreamchoice.LoadTable()
    context.use = pooluse.PoolUse()
    context.teams = [f"team-{number}" for number in range(count)]
    context.candidates = [
        upstreamchoice.Candidate(f"r{number}", 10, 0.0, True)
        for number in range(100)
    ]
    by_upstream = {each.upstream: (4, 0) for each in context.candidates}
    details = loaddetails.LoadDetails(
        {"svc/m": dict.fromkeys(context.teams, 1)}
    )
    for number in range(3):
        context.loads.remote_loads.record(
            f"zone-{number}", by_upstream, 0, details
        )
    for team in context.teams:
        context.use.add("svc/m", team)


@behave.when("{count:d} requests are decided upon, 2 in a ms")
def step_decide(context, count):
    views = poolview.PoolViews(context.loads, context.use)
    gate = poolgate.PoolGate(random.Random(1))
    room = poolview.Room(1_000.0, 0.2, 1_600)
    kind = classbalance.Kind("route", 1)
    began = time.process_time()
    for number in range(count):
        now = number // 2 % 600
        team = context.teams[number % len(context.teams)]
        ask = poolgate.Ask("svc/m", team, kind, 900.0, 150.0, False, False)
        limited = gate.limited("svc/m", now)
        view = views.view(
            "svc/m", context.candidates, 1_000, room, limited, now
        )
        use = views.team_use("svc/m", team, view)
        gate.record_asked(ask, now)
        gate.decide(ask, use, view, room, now)
    context.cost = (time.process_time() - began) / count * 1e6
    context.use.record_pressure("svc/m", 0)


@behave.then("a decision takes {most:d} us at most")
def step_cost(context, most):
    assert context.cost <= most, context.cost


@behave.then("a report names at most {most:d} teams")
def step_report(context, most):
    reported = context.use.report(0)["svc/m"]
    assert len(reported) <= most, len(reported)
    assert sum(reported.values()) == len(context.teams)
