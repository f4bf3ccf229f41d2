"""Steps about parts of prompts that crash runners."""

import json
import random

import behave
import eventlet

from standins.soak import crashing
from standins.soak import operator as operators

#: Seconds at which the first request with such a part is sent.
_FIRST = 6.0

#: Seconds from the first such request to the first daemon that is killed,
#: between two, and from a daemon's end to its start.
_KILLS_AFTER, _KILLS_APART, _START_AFTER = 9.0, 1.0, 0.3

#: Requests that are compared at least.
_COMPARED = 20

_ONE, _ALL = ("team-0",), ("team-0", "team-1", "team-2", "team-3")

_TEAMS_BY_MORE = {"of all teams": _ALL}
_INTERVAL_BY_MORE = {"one in two seconds": 2.0}


def _plans(which, more):
    teams = _TEAMS_BY_MORE.get(more, _ONE)
    interval = _INTERVAL_BY_MORE.get(more, 0.2)
    if which == "two parts":
        return [
            crashing.Plan("c1", _ONE, False, 2 * interval),
            crashing.Plan("c2", ("team-1",), False, 2 * interval),
        ]
    return [crashing.Plan("c1", teams, which == "the first part", interval)]


@behave.given(
    "from {first:d} s on requests with {which} crash runners, {more}"
)
def step_crashing(context, first, which, more):
    context.crashing = [
        crashing.CrashingCaller(
            context.soak.installation.daemons,
            context.soak.book,
            random.Random(f"{plan.part}/{first}"),
            plan,
        )
        for plan in _plans(which, more)
    ]
    _send_beside(context, first, _KILL_BY_MORE.get(more, lambda _: None))


@behave.given(
    "from {first:d} s on one request crashes runners each {interval:g} s, "
    "{more}"
)
def step_crashing_request(context, first, interval, more):
    made = context.soak.installation
    key_of = operators.TEAMS.__getitem__
    if more == "with another key of its team each time":
        key_of = made.operator.spare_key
    plan = crashing.Plan("w1", _ONE, interval=interval, is_whole=True)
    chance = random.Random(f"w1/{first}")
    context.crashing = [
        crashing.CrashingCaller(
            made.daemons, context.soak.book, chance, plan, key_of
        )
    ]
    _send_beside(context, first, _KILL_BY_MORE.get(more, lambda _: None))


def _send_beside(context, first, kill):
    soak = context.soak
    fleet = soak.installation.daemons

    def send(_):
        eventlet.sleep(first)
        soak.book.trouble("crashing parts", True)
        for caller in context.crashing:
            eventlet.spawn(caller.run, 60)
        kill(fleet)

    soak.beside = send


def _kill_in_turn(fleet):
    eventlet.sleep(_KILLS_AFTER)
    for daemon in fleet:
        daemon.kill()
        eventlet.sleep(_START_AFTER)
        daemon.start()
        eventlet.sleep(_KILLS_APART)


def _kill_all(fleet):
    eventlet.sleep(_KILLS_AFTER)
    for daemon in fleet:
        daemon.kill()
    eventlet.sleep(_START_AFTER)
    for daemon in fleet:
        daemon.start()


_KILL_BY_MORE = {
    "while daemons are killed and start again": lambda fleet: _kill_in_turn(
        fleet[:3]
    ),
    "while all daemons are killed at once": _kill_all,
}


@behave.then(
    "at most {most:d} requests with a crashing part reach runners later than "
    "{seconds:d} s after its fifth crash"
)
@behave.then(
    "the crashing request reaches runners at most {most:d} times later than "
    "{seconds:d} s after its third crash"
)
def step_late(context, most, seconds):
    parts = context.soak.book.parts
    for caller in context.crashing:
        part = caller.plan.part
        assert parts.counted_crash(part, 1) is not None, "no runner crashed"
        since = _since(parts, caller.plan, seconds, caller.sent, most + 1)
        late = [a for a in parts.arrivals if a.part == part and a.at > since]
        crashes = sum(crash.part == part for crash in parts.crashes)
        assert len(late) <= most, (
            f"{part}: {len(late)} later than {since:.2f} s; "
            f"{crashes} crashes in all"
        )


def _since(parts, plan, seconds, times, fewest):
    """Return the time some seconds after the crash from which is counted.

    Where that one was a trial, after which fewer than ``fewest`` of ``times``
    came, it is that of the last earlier crash.
    """
    for number in range(plan.counted, 0, -1):
        since = parts.counted_crash(plan.part, number) + seconds
        count = sum(at > since for at in times)
        if count >= fewest:
            return since
    raise AssertionError(f"only {count} came later than {since:.2f} s")


@behave.then(
    "from {seconds:d} s after it requests with its key or first part are "
    "served at least half as often as before"
)
def step_kin(context, seconds):
    book = context.soak.book
    for caller in context.crashing:
        streams = [f for f in book.firsts if f.asked and f.asked.parts]
        kin = [f for f in streams if _is_kin(f.asked, caller.plan)]
        before = [f for f in kin if f.at < _FIRST]
        times = [f.at for f in kin]
        since = _since(book.parts, caller.plan, seconds, times, _COMPARED)
        after = [f for f in kin if f.at > since]
        assert len(before) >= _COMPARED, f"only {len(before)} before"
        usual = sum(f.served for f in before) / len(before)
        served = sum(f.served for f in after)
        assert served >= usual * len(after) / 2, (
            f"served {served} of {len(after)}, before "
            f"{sum(f.served for f in before)} of {len(before)}; "
            f"{[f.detail for f in after if not f.served][:4]}"
        )


def _is_kin(asked, plan):
    first = plan.part if plan.is_first else "a0"
    return asked.team in plan.teams or asked.parts.startswith(f"{first}:")


@behave.then("no request was refused for crashes")
def step_none_fenced(context):
    refused = [why for _, why in _fenced(context)]
    assert not refused, (len(refused), refused[:3])


@behave.then("no other request was refused for crashes")
def step_no_other_fenced(context):
    own = set().union(*(caller.ids for caller in context.crashing))
    refused = [why for number, why in _fenced(context) if number not in own]
    assert not refused, (len(refused), refused[:3])


def _fenced(context):
    """Return id and reason of the requests that were refused for crashes."""
    return [
        (line["request"], line["why"])
        for daemon in context.soak.installation.daemons
        for line in map(_parse, daemon.output().splitlines())
        if line.get("event") == "refused"
        and "lost while running" in line["why"]
    ]


def _parse(line):
    try:
        return json.loads(line)
    except ValueError:
        return {}
