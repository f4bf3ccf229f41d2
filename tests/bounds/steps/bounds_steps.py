"""Steps about what all daemons together may send."""

import random

import behave

from citronvalve.daemon import runnerlist
from citronvalve.forward import directory as directories
from citronvalve.forward import environment as environments
from citronvalve.forward import headernames
from citronvalve.model import manualclock
from citronvalve.policy import coldrate
from citronvalve.policy import retrybudget
from citronvalve.policy import upstreamchoice
from citronvalve.replicas import membership
from citronvalve.replicas import phase
from citronvalve.replicas import runner as runners
from citronvalve.storage import rows
from tests import quietlog

_TERMS = retrybudget.RetryLimits(0.2, 130, 10_000)
_RATE = 59
_TICK = 5


@behave.given("{count:d} daemons with 0.2 repeats a request and 130 in 10 s")
def step_budgets(context, count):
    context.budgets = [retrybudget.RetryBudget(_TERMS) for _ in range(count)]


@behave.when(
    "each gets {rate:g} requests a second for {seconds:d} s, and repeats all "
    "it may"
)
def step_repeat(context, rate, seconds):
    chance = random.Random(3)
    context.requests, context.repeats = [], []
    daemons = len(context.budgets)
    for now in range(0, seconds * 1_000, _TICK):
        for budget in context.budgets:
            if chance.random() < rate * _TICK / 1_000:
                budget.record_request(now)
                context.requests.append(now)
            while budget.spend(daemons, now):
                context.repeats.append(now)


def _within(moments, start, span):
    return sum(start <= at < start + span for at in moments)


@behave.then("in no 10 s there are more repeats than the bound")
def step_bound(context):
    assert context.repeats
    for start in range(0, 20_000, 250):
        asked = _within(context.requests, start, 10_000)
        bound = _TERMS.share * asked + _TERMS.slack
        seen = _within(context.repeats, start, 10_000)
        assert seen <= bound, f"{seen} in place of {bound:.0f} at {start}"


@behave.given(
    "{count:d} daemons before a cold upstream of {rate:d} requests a second"
)
def step_cold(context, count, rate):
    context.rates = [coldrate.ColdRate(random.Random(n)) for n in range(count)]


@behave.when("each wants to send {rate:d} a second for {seconds:d} s")
def step_send(context, rate, seconds):
    chance = random.Random(4)
    context.sent = []
    daemons = len(context.rates)
    for now in range(0, seconds * 1_000, _TICK):
        for one in context.rates:
            wants = chance.random() < rate * _TICK / 1_000
            if wants and one.allows("u", _RATE, daemons, now):
                one.record_sent("u", now)
                context.sent.append(now)


@behave.then("in no second the upstream gets more than {most:d}")
def step_most(context, most):
    assert context.sent
    for start in sorted(set(context.sent)):
        seen = _within(context.sent, start, 1_000)
        assert seen <= most, f"{seen} at {start}"


def _head(name, zone, seen=5, **changes):
    key = membership.GroupKey("m~1", 1)
    return runners.Runner(
        name,
        "s",
        "10.0.0.1:1",
        zone,
        membership=membership.Membership(key, 0, phase.Phase.OPEN),
        list_version=seen,
    )._replace(**changes)


@behave.given("a directory with an open head in each of two data centres")
def step_directory(context):
    context.directory = directories.Directory("z-1")
    context.directory.update_runner(_head("h-1", "z-1"))
    context.directory.update_runner(_head("h-2", "z-2"))


def _closing():
    held = _head("h-1", "z-1", 6)
    return held._replace(
        membership=held.membership._replace(phase=phase.Phase.CLOSING)
    )


_CHANGE_BY_STATE = {
    "as it was": lambda d: None,
    "leaving": lambda d: d.update_runner(_head("h-1", "z-1", 6, leaving=True)),
    "in a data centre taken out": lambda d: d.set_datacentres_out(
        frozenset({"z-1"})
    ),
    "gone from the list": lambda d: d.remove("h-1"),
    "closing its group": lambda d: d.update_runner(_closing()),
    "told of by an older entry": lambda d: d.update_runner(
        _head("h-1", "z-1", 4, leaving=True)
    ),
}


@behave.when("the first one is {state}")
def step_state(context, state):
    _CHANGE_BY_STATE[state](context.directory)


@behave.then("{count:d} of them take requests")
def step_left(context, count):
    assert len(context.directory.open_heads("s", "m")) == count


@behave.given("a list of runners, and a call to the store that failed")
def step_list(context):
    context.clock = manualclock.ManualClock()
    context.clock.advance(50_000)
    env = environments.Environment(
        "d",
        "z-1",
        context.clock,
        random.Random(1),
        quietlog.QuietLog(),
        headernames.HeaderNames(),
    )
    context.directory = directories.Directory("z-1")
    context.list = runnerlist.RunnerList(
        env,
        context.directory,
        upstreamchoice.LoadTable(),
        lambda row: _head(row.key, "z-1", row.version),
    )
    context.list.replace_all((rows.Row("t", "h-1", {}, 5),))
    failed = context.clock.now()
    context.list.trouble_at = lambda: failed
    context.due = []
    context.list.later = lambda span, act: context.due.append(
        (context.clock.now() + span, act)
    )
    context.is_read = True


def _used(context):
    return bool(context.directory.open_heads("s", "m"))


def _pass(context, span):
    for _ in range(0, span, 50):
        context.clock.advance(50)
        now = context.clock.now()
        if context.is_read:
            context.list.confirm(now)
        for at, act in context.due:
            if at <= now:
                act()


@behave.when("an entry goes {after:d} ms later")
def step_goes(context, after):
    _pass(context, after)
    context.list.apply_changes((), ("h-1",))


@behave.when(
    "an entry goes {after:d} ms later, and nothing is read from then on"
)
def step_goes_unread(context, after):
    step_goes(context, after)
    context.is_read = False


@behave.then("its runner is used for {kept:d} ms and no longer")
def step_kept(context, kept):
    if kept:
        _pass(context, kept - 100)
        assert _used(context)
        _pass(context, 200)
    assert not _used(context)


@behave.when("an entry is away {after:d} ms later, and back after 1 s")
def step_back(context, after):
    step_goes(context, after)
    context.used = []
    for _ in range(10):
        _pass(context, 100)
        context.used.append(_used(context))
    context.list.apply_changes((rows.Row("t", "h-1", {}, 9),), ())
    _pass(context, 3_000)
    context.used.append(_used(context))


@behave.then("its runner has been used all the while")
def step_all(context):
    assert all(context.used), context.used
