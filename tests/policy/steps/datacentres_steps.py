"""Steps about what a data centre sends to others."""

import collections
import heapq
import itertools
import random
import statistics
import time

import behave

from citronvalve.policy import datacentrechoice
from citronvalve.policy import enginepace
from citronvalve.policy import roomshare
from citronvalve.policy import upstreamchoice
from citronvalve.routes import enginespec

_SLOTS = 10
_REPLICAS = 12
_DAEMONS = 12
_JOB = upstreamchoice.Job(674, 150, 240.0, 900.0)
_REPORT_AGE = 300
_REPORT_TTL = 700
_FIRST = 10_000
_WINDOW = 500
_ANSWER_TIME = 1_000
_ENGINE = enginespec.EngineSpec(
    slots=_SLOTS,
    kv_cache_tokens=1_235_000,
    steps_per_pass=6,
    step_time=6.45,
    step_time_per_request=0.1934,
    step_time_per_1k_context=0.00586,
    prefill_tokens_per_ms=56.1,
    prefill_time_per_million_pairs=0.309,
    max_prefill_tokens=2_048,
    report_lag=200,
    weight_loads_per_second=5.5,
    max_concurrent_loads=8,
    max_staged_models=1,
    cross_domain_factor=2.5,
    group_open_time=300,
    typical_prompt_tokens=1_115,
    typical_response_tokens=152,
    model_by_name={},
)


class _Daemon:
    """A daemon of data centre a, with its counts and what it sent away."""

    def __init__(self, candidates, turn):
        self.loads = upstreamchoice.LoadTable()
        self.candidates = candidates
        self.away = []
        self.choice = datacentrechoice.DatacentreChoice(
            self.loads, random.Random(turn.position), lambda: turn
        )
        self.choice.report_age = lambda: _REPORT_AGE
        self.choice.on_excess = self.away.append
        self.pace = _pace()

    def choose(self, now):
        found = self.choice.choose(_JOB, self.candidates, self.pace, now)
        return found.upstream


def _pace():
    return enginepace.EnginePace(_ENGINE, 0.6)


def _candidates(replicas=_REPLICAS):
    return [
        upstreamchoice.Candidate(
            f"{name}{number:03}",
            _SLOTS,
            0.0 if name == "a" else 1.0,
            name == "a",
            datacentre=name,
        )
        for number, name in itertools.product(range(replicas), "abc")
    ]


def _counts(candidates, use_by_datacentre):
    """Return requests at replicas whose mean is the use."""
    counts = {}
    owed = collections.Counter()
    for candidate in candidates:
        name = candidate.datacentre
        owed[name] += use_by_datacentre[name] * _SLOTS
        counts[candidate.upstream] = int(owed[name] + 1e-9), 0
        owed[name] -= counts[candidate.upstream][0]
    return counts


def _report(daemon, counts, now):
    daemon.loads.remote_loads.record("others", counts, now)


def _prepare(context, replicas, position, daemons, *hundredths):
    candidates = _candidates(replicas)
    uses = (number / 100 for number in hundredths)
    context.counts = _counts(candidates, dict(zip("abc", uses, strict=True)))
    context.daemon = _Daemon(candidates, roomshare.Turn(position, daemons))
    context.now = _FIRST
    _report(context.daemon, context.counts, context.now)


@behave.given("{a:d}, {b:d} and {c:d} in 100 slots of a, b and c are taken")
def step_taken(context, a, b, c):
    _prepare(context, _REPLICAS, 3, _DAEMONS, a, b, c)


@behave.given("nothing else happens")
@behave.given("there is less room elsewhere")
@behave.given("two have room")
@behave.given("b is full")
@behave.given("all are full")
def step_as_given(context):
    pass


def _without(candidates, name):
    return [c for c in candidates if c.datacentre != name]


@behave.given("{name} is evacuated")
def step_evacuated(context, name):
    daemon = context.daemon
    daemon.candidates = _without(daemon.candidates, name)


@behave.given("b is cut off")
def step_cut(context):
    reached = 2
    for candidate in context.daemon.candidates:
        if candidate.datacentre == "b":
            reached -= 1
            load = context.daemon.loads.of(candidate.upstream)
            load.avoid_until = context.now + 10_000 if reached < 0 else 0


@behave.given("the link to b takes {latency:d} ms")
def step_link(context, latency):
    context.daemon.candidates = [
        c._replace(latency=latency) if c.datacentre == "b" else c
        for c in context.daemon.candidates
    ]


@behave.given("the reports have stopped")
def step_stopped(context):
    context.now += _REPORT_TTL + 1


@behave.when("{count:d} requests are chosen for")
def step_choose(context, count):
    for _ in range(count):
        upstream = context.daemon.choose(context.now)
        assert upstream[0] in "abc", upstream


@behave.then("the excess goes to {used}")
def step_used(context, used):
    expected = set() if used == "nowhere" else set(used.split())
    away = collections.Counter(context.daemon.away)
    assert set(away) == expected, away


@behave.given("b was evacuated and comes back empty")
def step_back(context):
    daemon = context.daemon
    everywhere = daemon.candidates
    daemon.candidates = _without(everywhere, "b")
    daemon.choose(context.now)
    daemon.candidates = everywhere
    daemon.away.clear()
    context.counts = {
        upstream: (0, 0) if upstream[0] == "b" else count
        for upstream, count in context.counts.items()
    }


@behave.when("requests are chosen for during {seconds:d} s")
def step_during(context, seconds):
    context.windows = []
    for _ in range(seconds * 1_000 // _WINDOW):
        context.daemon.away.clear()
        for _ in range(0, _WINDOW, 5):
            context.now += 5
            _report(context.daemon, context.counts, context.now)
            context.daemon.choose(context.now)
        context.windows.append(collections.Counter(context.daemon.away))


@behave.then("b gets {bound} than {part:g} of the excess in the {which} 0.5 s")
def step_part(context, bound, part, which):
    window = context.windows[0 if which == "first" else -1]
    found = window["b"] / window.total()
    assert (found > part) == (bound == "more"), context.windows


@behave.given("{count:d} daemons of a that are asked for {use:g} of its room")
def step_daemons(context, count, use):
    candidates = _candidates()
    context.use = use
    context.daemons = [
        _Daemon(candidates, roomshare.Turn(position, count))
        for position in range(count)
    ]


@behave.when("they choose for {seconds:d} s")
def step_play(context, seconds):
    """Let daemons choose by what the others had 300 ms before."""
    interval = _ANSWER_TIME / (context.use * _REPLICAS * _SLOTS)
    others = _counts(context.daemons[0].candidates, dict(a=0, b=0.4, c=1))
    running, snapshots = [], collections.deque(maxlen=_REPORT_AGE // 50 + 1)
    context.sent, context.used = [], []
    turns = itertools.cycle(context.daemons)
    rng = random.Random(1)
    due, now = 0.0, 0
    for now in range(0, seconds * 1_000, 5):
        while running and running[0][0] <= now:
            *_, daemon, upstream = heapq.heappop(running)
            daemon.loads.of(upstream).own -= 1
        if now % 50 == 0:
            _tell(context.daemons, others, snapshots, now)
            context.used.append(sum(run[-1][0] == "a" for run in running))
        while due <= now:
            daemon = next(turns)
            upstream = daemon.choose(now)
            daemon.loads.of(upstream).own += 1
            took = rng.uniform(0.3, 1.7) * _ANSWER_TIME
            end = now + took, len(context.sent)
            heapq.heappush(running, (*end, daemon, upstream))
            context.sent.append((now, upstream))
            due += interval


def _tell(daemons, others, snapshots, now):
    snapshots.append(
        [
            {
                upstream: load.own
                for upstream, load in daemon.loads.load_by_upstream.items()
            }
            for daemon in daemons
        ]
    )
    for daemon in daemons:
        total = collections.Counter({u: c for u, (c, _) in others.items()})
        for other, own in zip(daemons, snapshots[0], strict=True):
            if other is not daemon:
                total.update(own)
        _report(daemon, {u: (c, 0) for u, c in total.items()}, now)


@behave.then(
    "from second {begin:d} on the part that leaves in 0.5 s deviates by "
    "{most:g}"
)
def step_swing(context, begin, most):
    asked, left = collections.Counter(), collections.Counter()
    for at, upstream in context.sent:
        if at >= begin * 1_000:
            asked[at // _WINDOW] += 1
            left[at // _WINDOW] += upstream[0] != "a"
    parts = [left[window] / count for window, count in asked.items()]
    assert statistics.pstdev(parts) <= most, parts


@behave.then("the slots of a stay at least {least:g} used")
def step_slots(context, least):
    used = [count / (_REPLICAS * _SLOTS) for count in context.used[40:]]
    assert min(used) >= least, used


@behave.given(
    "{replicas:d} replicas in each data centre, with {a:d}, {b:d} and {c:d} "
    "in 100 slots taken"
)
def step_large(context, replicas, a, b, c):
    _prepare(context, replicas, 100, 533, a, b, c)


@behave.when("{count:d} requests are chosen for, {rate:d} in a ms")
def step_many(context, count, rate):
    began = time.process_time()
    for number in range(count):
        context.daemon.choose(context.now + number // rate)
    context.choice_us = (time.process_time() - began) / count * 1e6


@behave.then("a choice takes {most:d} us at most")
def step_cost(context, most):
    assert context.daemon.away
    assert context.choice_us <= most, context.choice_us
