"""Steps about the share of replicas that a daemon prefers."""

import collections
import random

import behave

from citronvalve.policy import enginepace
from citronvalve.policy import evenchoice
from citronvalve.policy import roomshare
from citronvalve.policy import upstreamchoice
from tests.replicas import world

_NOW = 10_000
_EXPIRED = 5_000
_AT_A_TIME = 4
_JOB = upstreamchoice.Job(700, 150, 400.0, 900.0)


@behave.given("{replicas:d} replicas shared by {daemons:d} daemons")
def step_shared(context, replicas, daemons):
    context.replicas = [f"r{number:02}" for number in range(replicas)]
    context.shares = [
        roomshare.shares(roomshare.Turn(position, daemons), context.replicas)
        for position in range(daemons)
    ]


@behave.then("the shares cover each replica once")
def step_cover(context):
    sums = collections.Counter()
    for share in context.shares:
        sums.update(share)
    assert sums.keys() == set(context.replicas), sums
    assert all(abs(part - 1) < 1e-6 for part in sums.values()), sums


@behave.then("{cut:d} replicas belong to several daemons")
def step_cut(context, cut):
    owners = collections.Counter(
        upstream for share in context.shares for upstream in share
    )
    assert sum(count > 1 for count in owners.values()) == cut, owners


@behave.given("the loads {a:d}, {b:d}, {c:d} and {d:d} of other daemons")
def step_loads(context, a, b, c, d):
    _prepare(context, {"a": a, "b": b, "c": c, "d": d})


@behave.given(
    "{count:d} replicas of which all but one are far beyond their slots"
)
def step_many(context, count):
    requests = {f"r{number}": 60 for number in range(count)}
    _prepare(context, {**requests, "r7": 0})


def _prepare(context, requests):
    context.now = _NOW
    context.loads = upstreamchoice.LoadTable()
    context.loads.remote_loads.record(
        "others", {key: (count, 0) for key, count in requests.items()}, _NOW
    )
    context.candidates = [
        upstreamchoice.Candidate(upstream, 10, 0.0, True)
        for upstream in requests
    ]
    context.choice = evenchoice.EvenChoice(
        context.loads, random.Random(1), lambda: roomshare.Turn(0, 2)
    )
    context.choice.report_age = lambda: 0


@behave.given("its share is full")
@behave.given("one replica is free")
@behave.given("all replicas are full")
def step_as_given(context):
    pass


@behave.given("replica a is avoided")
def step_avoided(context):
    context.loads.of("a").avoid_until = _NOW + 1


@behave.given("the reports have stopped")
def step_stopped(context):
    context.now = _NOW + _EXPIRED


@behave.when("{count:d} requests are chosen for")
def step_choose(context, count):
    spec = world.spec()._replace(slots=10)
    pace = enginepace.EnginePace(spec, 0.6)
    context.found = []
    running = collections.deque()
    for _ in range(count):
        if len(running) == _AT_A_TIME:
            context.loads.of(running.popleft()).own -= 1
        chosen = context.choice.choose(
            _JOB, context.candidates, pace, context.now
        )
        context.found.append(chosen)
        context.loads.of(chosen.upstream).own += 1
        running.append(chosen.upstream)


@behave.then("they go to {used}")
def step_used(context, used):
    assert {chosen.upstream for chosen in context.found} == set(
        used.split()
    ), context.found


@behave.then("none is refused")
def step_none_refused(context):
    assert {chosen.upstream for chosen in context.found} == {"r7"}
