"""Steps about limits over all daemons together."""

import random

import behave

from citronvalve.daemon import runnerlistener
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

_LIMITS = retrybudget.RetryLimits(0.2, 130, 10_000)
_COLD_RATE = 59
_TICK = 5


@behave.given("{count:d} daemons with 0.2 retries per request and 130 in 10 s")
def step_budgets(context, count):
    context.budgets = [retrybudget.RetryBudget(_LIMITS) for _ in range(count)]


@behave.when(
    "each gets {rate:g} requests a second for {seconds:d} s, and retries all "
    "it may"
)
def step_retry(context, rate, seconds):
    rng = random.Random(3)
    context.requests, context.retries = [], []
    daemons = len(context.budgets)
    for now in range(0, seconds * 1_000, _TICK):
        for budget in context.budgets:
            if rng.random() < rate * _TICK / 1_000:
                budget.record_request(now)
                context.requests.append(now)
            while budget.spend(daemons, now):
                context.retries.append(now)


def _count_within(times, start, span):
    return sum(start <= at < start + span for at in times)


@behave.then("in no 10 s there are more retries than the limit")
def step_within_limit(context):
    assert context.retries
    for start in range(0, 20_000, 250):
        requests = _count_within(context.requests, start, 10_000)
        bound = _LIMITS.share * requests + _LIMITS.slack
        retries = _count_within(context.retries, start, 10_000)
        assert retries <= bound, (
            f"{retries} in place of {bound:.0f} at {start}"
        )


@behave.given(
    "{count:d} daemons and a cold upstream of {rate:d} requests a second"
)
def step_cold(context, count, rate):
    context.cold_rates = [
        coldrate.ColdRate(random.Random(n)) for n in range(count)
    ]


@behave.when("each tries to send {rate:d} a second for {seconds:d} s")
def step_send(context, rate, seconds):
    rng = random.Random(4)
    context.sent = []
    daemons = len(context.cold_rates)
    for now in range(0, seconds * 1_000, _TICK):
        for one in context.cold_rates:
            wants = rng.random() < rate * _TICK / 1_000
            if wants and one.allows("u", _COLD_RATE, daemons, now):
                one.record_sent("u", now)
                context.sent.append(now)


@behave.then("in no second the upstream gets more than {most:d}")
def step_max_rate(context, most):
    assert context.sent
    for start in sorted(set(context.sent)):
        sent = _count_within(context.sent, start, 1_000)
        assert sent <= most, f"{sent} at {start}"


def _head(name, zone, list_version=5, **changes):
    key = membership.GroupKey("m~1", 1)
    return runners.Runner(
        name,
        "s",
        "10.0.0.1:1",
        zone,
        membership=membership.Membership(key, 0, phase.Phase.OPEN),
        list_version=list_version,
    )._replace(**changes)


@behave.given("a directory with an open head in each of two data centres")
def step_directory(context):
    context.directory = directories.Directory("z-1")
    context.directory.update_runner(_head("h-1", "z-1"))
    context.directory.update_runner(_head("h-2", "z-2"))


def _closing_head():
    head = _head("h-1", "z-1", 6)
    return head._replace(
        membership=head.membership._replace(phase=phase.Phase.CLOSING)
    )


_CHANGE_BY_STATE = {
    "as it was": lambda d: None,
    "leaving": lambda d: d.update_runner(_head("h-1", "z-1", 6, leaving=True)),
    "in a data centre taken out": lambda d: d.set_datacentres_out(
        frozenset({"z-1"})
    ),
    "gone from the list": lambda d: d.remove("h-1"),
    "closing its group": lambda d: d.update_runner(_closing_head()),
    "updated by an older entry": lambda d: d.update_runner(
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
    context.list = runnerlistener.RunnerListener(
        env,
        context.directory,
        upstreamchoice.LoadTable(),
        lambda row: _head(row.key, "z-1", row.version),
    )
    context.list.replace_all((rows.Row("t", "h-1", {}, 5),))
    failed = context.clock.now()
    context.list.store_failed_at = lambda: failed
    context.timers = []
    context.list.schedule = lambda delay, callback: context.timers.append(
        (context.clock.now() + delay, callback)
    )
    context.is_read = True


def _is_used(context):
    return bool(context.directory.open_heads("s", "m"))


def _advance(context, span):
    for _ in range(0, span, 50):
        context.clock.advance(50)
        now = context.clock.now()
        if context.is_read:
            context.list.confirm(now)
        for at, act in context.timers:
            if at <= now:
                act()


@behave.when("an entry is removed {after:d} ms later")
def step_removed(context, after):
    _advance(context, after)
    context.list.apply_changes((), ("h-1",))


@behave.when(
    "an entry is removed {after:d} ms later, and nothing is read after that"
)
def step_removed_unread(context, after):
    step_removed(context, after)
    context.is_read = False


@behave.then("its runner is used for {kept:d} ms and no longer")
def step_kept(context, kept):
    if kept:
        _advance(context, kept - 100)
        assert _is_used(context)
        _advance(context, 200)
    assert not _is_used(context)


@behave.when("an entry is removed {after:d} ms later, and restored after 1 s")
def step_restored(context, after):
    step_removed(context, after)
    context.used = []
    for _ in range(10):
        _advance(context, 100)
        context.used.append(_is_used(context))
    context.list.apply_changes((rows.Row("t", "h-1", {}, 9),), ())
    _advance(context, 3_000)
    context.used.append(_is_used(context))


@behave.then("its runner has been used all the time")
def step_always_used(context):
    assert all(context.used), context.used
