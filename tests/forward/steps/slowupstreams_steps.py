"""Steps about upstreams that read slowly."""

import behave

from citronvalve.policy import callerbudget
from citronvalve.policy import sending
from tests.forward import rig as rigs

_KB = 1_000


def _make(context, scripts, rate):
    context.rig = rig = rigs.Rig(scripts)
    rig.limits = rigs.LIMITS._replace(max_body_bytes=1_000_000)
    rig.env.unsent = callerbudget.CallerBudget(10_000_000, rig.env.memory)
    context.slow = rig.runners["plain-1"]
    context.slow.read_slowly(rate * _KB)


@behave.given(
    "two plain runners with room for 8 KB unread, of which the first reads "
    "{rate:d} KB a second"
)
def step_two(context, rate):
    _make(context, {"plain-1": ["whole"], "plain-2": ["whole"]}, rate)
    # The first one is preferred.
    second = context.rig.directory.runner_by_id["plain-2"]
    context.rig.directory.update_runner(
        second._replace(
            datacentre="zone-1", list_version=second.list_version + 1
        )
    )


@behave.given(
    "a plain runner with room for 8 KB unread that reads {rate:d} KB a second"
)
def step_one(context, rate):
    _make(context, {"plain-1": ["whole"]}, rate)


@behave.given("it runs a request once it has read {what}")
def step_runs(context, what):
    context.slow.runs_at_head = what == "its head"


@behave.given("it answers once it has read the head")
def step_answers(context):
    context.slow.answers_at_head = True


@behave.when("a body of {size:d} KB is sent to {path}")
def step_call(context, path, size):
    body = b"x" * (size * _KB)
    context.got = context.rig.send(path, body=body, seconds=4.0)


@behave.then("the next one is sent to the second runner at once")
def step_next(context):
    second = context.rig.runners["plain-2"]
    before, first = second.runs, context.slow.runs
    got = context.rig.send("/any/next", body=b"x")
    assert got.startswith(b"HTTP/1.1 200"), got
    assert (second.runs, context.slow.runs) == (before + 1, first)


@behave.then("it gets 504, which says that the request may have run")
def step_unknown(context):
    assert context.got.startswith(b"HTTP/1.1 504"), context.got[:300]
    assert b'"ran":"unknown"' in context.got, context.got


@behave.then("it has run at most once")
def step_once(context):
    assert context.rig.runs() <= 1, context.rig.runs()


@behave.when(
    "{handed:d} bytes of a request with a head of {head:d} bytes were sent"
)
def step_handed(context, handed, head):
    context.may_run = sending.may_run(handed, head)


@behave.then("it {may} run")
def step_may(context, may):
    assert context.may_run == (may == "can")


@behave.when(
    "the time to send {size:d} bytes is asked for, with an objective of "
    "{objective:d} ms, {left:d} ms left and {link:d} bytes per ms"
)
def step_ask(context, size, objective, left, link):
    context.time = sending.time_allowed(size, objective, left, link)


@behave.then("it is {time:d} ms")
def step_time(context, time):
    assert context.time == time, context.time
