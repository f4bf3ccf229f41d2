"""Steps about teams and callers that compete for a replica pool."""

import collections
import copy
import pathlib

import behave
import msgspec

from tests.work import daemons
from tests.work import planner
from tests.work import site
from tests.work import workfile

_FOLDER = pathlib.Path(__file__).parents[3] / "examples" / "work"

_TROUBLE_BY_NAME = {
    "half of the reports lost": {"lost": 0.5},
    "daemon 0 is cut off": {"cut": True},
    "half of the daemons start again": {"restart": 5_000},
}


#: Played works by their fields and seed: some rows look at the same run.
_PLAYED = {}


def _play(work, seed):
    key = msgspec.json.encode(work), seed
    if key not in _PLAYED:
        played = site.Site(work, seed)
        played.run()
        assert not played.world.violations, played.world.violations
        _PLAYED.clear()
        _PLAYED[key] = played
    return _PLAYED[key]


@behave.given('the work "{name}" at {factor:g} of its rate')
def step_scaled(context, name, factor):
    context.work = workfile.read(_FOLDER / f"{name}.json5")
    for kind in context.work.requests:
        kind.rate *= factor


@behave.given(
    "team 0 sends {factor:d} times as much from second {begin:d} to {end:d}"
)
def step_burst(context, factor, begin, end):
    context.work.team_burst = workfile.TeamBurst(
        factor, begin * 1_000, end * 1_000
    )


@behave.given("its rate is twice that for {length:d} s every {interval:d} s")
def step_crest(context, length, interval):
    context.work.crest = workfile.Crest(2.0, length * 1_000, interval * 1_000)


@behave.given("{what} from second {begin:d} to {end:d}")
def step_trouble(context, what, begin, end):
    context.work.trouble = workfile.Trouble(
        begin * 1_000, end * 1_000, **_TROUBLE_BY_NAME[what]
    )


@behave.when("it is played with seed {seed:d}, and again without fair shares")
def step_without_shares(context, seed):
    context.site = _play(context.work, seed)
    other = copy.deepcopy(context.work)
    other.fair_shares = False
    context.other = _play(other, seed)


@behave.when("it is played with seed {seed:d}, and again without the burst")
def step_without_burst(context, seed):
    context.site = _play(context.work, seed)
    other = copy.deepcopy(context.work)
    other.team_burst = None
    context.other = _play(other, seed)


@behave.when("it is played for {seconds:d} s with seed {seed:d}")
def step_play_for(context, seconds, seed):
    context.work.duration = seconds * 1_000
    context.site = _play(context.work, seed)


@behave.then("both runs went the same way")
def step_same_way(context):
    outcomes = context.site.results.outcomes()
    assert outcomes == context.other.results.outcomes(), outcomes


def others_in_time(played):
    """Return how often the teams but the first are in time in the burst."""
    begin = played.begin
    calls = [
        call
        for call in played.calls
        if call.team and 3_000 <= call.arrived_at - begin < 13_000
    ]
    return sum(call.result == "in_time" for call in calls) / len(calls)


@behave.then("the other teams are in time at least {least:g} times as often")
def step_others(context, least):
    ratio = others_in_time(context.site) / others_in_time(context.other)
    assert ratio >= least, ratio


def planner_part(played):
    """Return the worth in time as a part of what a planner gets."""
    slots = collections.Counter()
    for model, count in played.counts[0].items():
        slots[model] += count * played.work.slots
    best = planner.best_worth(
        played.calls, played.spec, played.work.models, slots
    )
    got = sum(c.kind.worth for c in played.calls if c.result == "in_time")
    return got / best


@behave.then("the worth in time is at least {least:g} of a planner's")
def step_planner(context, least):
    part = planner_part(context.site)
    assert part >= least, part


def returns(played):
    """Return how many came back, were served, were refused beside room."""
    back = [call for call in played.calls if call.returned_at]
    served = [call for call in back if call.result in ("in_time", "late")]
    beside = [call for call in back if call.refusals[1:] and call.refusals[1]]
    return len(back), len(served), len(beside)


@behave.then("at least {least:g} of those that come back are served")
def step_returns(context, least):
    back, served, _ = returns(context.site)
    assert served >= least * back, (served, back)


@behave.then("none is refused twice while the pool has a free slot")
def step_refused_twice(context):
    back, _, beside = returns(context.site)
    assert not beside, (beside, back)


def after_crests(played):
    """Return the part in time of those admitted from 1 s after crests."""
    crest = played.work.crest
    calls = [
        call
        for call in played.calls
        if (call.arrived_at - played.begin) % crest.interval
        >= crest.length + 1_000
        and not call.returned_at
    ]
    return sum(call.result == "in_time" for call in calls) / len(calls)


@behave.then(
    "from 1 s after each crest {least:g} of those admitted are in time"
)
def step_after_crests(context, least):
    part = after_crests(context.site)
    assert part >= least, part


def served_by_kind(played):
    """Return how often each kind is served."""
    return {
        name: 1 - (outcome.refused + outcome.lost) / outcome.asked
        for name, outcome in played.results.outcomes().items()
    }


@behave.then("no kind is served less often than another by over 5 in 100")
def step_kinds(context):
    parts = served_by_kind(context.site).values()
    assert max(parts) - min(parts) <= 0.05, parts


def least_served(played):
    """Return the least part of its share that a team is served.

    All but the flooding team ask for less than an even share of the room, so
    their share is what they ask for.
    """
    asked, served = collections.Counter(), collections.Counter()
    for call in played.calls:
        if 5_000 <= call.arrived_at - played.begin < 11_000 and call.team:
            asked[call.team] += 1
            served[call.team] += call.result in ("in_time", "late")
    return min(served[team] / asked[team] for team in asked)


@behave.then("no team is served less than half of its share")
def step_least(context):
    least = least_served(context.site)
    assert least >= 0.5, least


def admitted(played):
    """Return the most in progress, and the room with a report's age."""
    room = played.counts[0]["m0"] * played.work.slots
    rate = sum(kind.rate for kind in played.work.requests)
    burst = played.work.team_burst
    extra = 1 + (burst.factor - 1) / played.work.teams
    age = 2 * daemons.REPORT_INTERVAL / 1_000
    return played.most_in_progress, room + age * rate * extra


@behave.then("no more than the room and one report's age is admitted")
def step_admitted(context):
    most, bound = admitted(context.site)
    assert most <= bound, (most, bound)
