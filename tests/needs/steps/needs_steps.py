"""Steps about runners in need."""

import behave
import eventlet

from standins.soak import links
from standins.soak import needs
from standins.soak import operator as operators

# Registers the steps about soaks.
from tests.processes.steps import processes_steps  # noqa: F401

#: Seconds between two restarts of daemons, and from a daemon's end to its
#: start.
_APART, _START_AFTER = 2.0, 0.3

#: Seconds before a limit in which requests are counted for comparison.
_BEFORE = 4.0


def _heads(soak):
    runners = soak.installation.all_runners
    groups = [(runner, runner.place.group) for runner in runners]
    return [
        runner
        for runner, group in groups
        if group is not None and not group.rank and group.state == "open"
    ]


def _plain(soak):
    runners = soak.installation.all_runners
    return [r for r in runners if r.service == operators.DESK]


_FIND_BY_WHO = {
    "one head": lambda soak: _heads(soak)[:1],
    "all heads": _heads,
    "one plain runner": lambda soak: _plain(soak)[:1],
    "all plain runners": _plain,
}


def _restart(soak, _seconds):
    for daemon in soak.installation.daemons[:3]:
        eventlet.sleep(_APART)
        daemon.kill()
        soak.book.needs.forget(daemon.name)
        eventlet.sleep(_START_AFTER)
        daemon.start()


def _cut(soak, seconds):
    cut_off = soak.installation.daemons[:2]
    soak.installation.links.cut_for(cut_off, links.Cut.REFUSES, seconds)


_DO_BY_MORE = {
    "at all daemons": lambda *_: None,
    "as three daemons start again": _restart,
    "as two daemons have no links": _cut,
}


def _in_need(context, span, who, more, begin, end):
    """Let runners be in need for a span, and disturb daemons meanwhile."""
    context.span = first, last = span
    context.is_calm = more == "at all daemons"

    def act(soak):
        eventlet.sleep(first)
        context.in_need = _FIND_BY_WHO[who](soak)
        for runner in context.in_need:
            begin(runner)
        if not context.is_calm:
            soak.book.trouble(more, True)
        eventlet.spawn(_DO_BY_MORE[more], soak, last - first)
        eventlet.sleep(last - first)
        for runner in context.in_need:
            end(runner)

    context.soak.beside = act


@behave.given(
    "from {first:d} s to {last:d} s answers of {who} name a rate of {rate:g} "
    "a second, {more}"
)
def step_name(context, first, last, who, rate, more):
    context.rate = rate
    _in_need(
        context,
        (first, last),
        who,
        more,
        lambda runner: runner.name_limit(rate),
        lambda runner: runner.end_limit(),
    )


@behave.given(
    "from {first:d} s to {last:d} s answers of {who} ask for {seconds:g} s of "
    "rest, {more}"
)
def step_rest(context, first, last, who, seconds, more):
    _in_need(
        context,
        (first, last),
        who,
        more,
        lambda runner: setattr(runner, "rest", seconds),
        lambda runner: setattr(runner, "rest", 0.0),
    )


@behave.given(
    "from {first:d} s to {last:d} s answers of {who} say that it leaves, "
    "{more}"
)
def step_leave(context, first, last, who, more):
    def stay(runner):
        runner.is_leaving = False
        context.soak.book.needs.stay(runner.name)

    _in_need(
        context,
        (first, last),
        who,
        more,
        lambda runner: setattr(runner, "is_leaving", True),
        stay,
    )


@behave.then("no runner got more requests than its rate allows")
def step_kept(context):
    excesses = list(context.soak.book.needs.excesses())
    assert context.in_need
    assert not excesses, excesses


@behave.then("each of them got at least half of its rate meanwhile")
def step_used(context):
    first, last = context.span
    begin = first + needs.STABLE
    fewest = int(context.rate * (last - begin) / 2)
    counts = _counts(context, begin, last)
    assert min(counts.values()) >= fewest, (fewest, counts)


@behave.then(
    "from {seconds:d} s after that each gets at least half as many as before"
)
def step_back(context, seconds):
    first, last = context.span
    end = context.soak.seconds
    begin = last + seconds
    before = _counts(context, first - _BEFORE, first)
    after = _counts(context, begin, end)
    part = (end - begin) / _BEFORE / 2
    few = {
        name: (count, after[name])
        for name, count in before.items()
        if after[name] < part * count
    }
    assert not few, few


@behave.then("callers were served, or refused by all that they could reach")
def step_served(context):
    first, last = context.span
    firsts = [f for f in context.soak.book.firsts if first <= f.at < last]
    failed = [f for f in firsts if not f.served]
    others = [f for f in failed if "limited" not in f.detail]
    if not context.is_calm:
        # Connections end with their daemons.
        others = [f for f in others if "refused" in f.detail]
    assert len(others) <= 0.02 * len(firsts), (len(firsts), others[:4])


def _counts(context, begin, end):
    count = context.soak.book.needs.count
    return {r.name: count(r.name, begin, end) for r in context.in_need}


@behave.then("no daemon sent a resting runner more than two requests")
def step_rests(context):
    book = context.soak.book
    assert book.needs.rests, "no runner asked for rest"
    broken = book.needs.broken_rests()
    total = len(book.needs.rests)
    assert not broken, (len(broken), total, broken[:4])


@behave.then("no request is late at a runner that leaves")
def step_late(context):
    late = context.soak.book.needs.late
    assert not late, (len(late), late[:4])


@behave.then("each of them got few requests from {seconds:g} s on")
def step_few(context, seconds):
    first, last = context.span
    before = _counts(context, first - _BEFORE, first)
    after = _counts(context, first + seconds, last)
    assert sum(before.values()), before
    assert sum(after.values()) <= 2, after
