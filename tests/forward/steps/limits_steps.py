"""Steps about the request rates that upstreams name."""

import re
import time

import behave
import eventlet

from citronvalve.forward import responsehead
from citronvalve.policy import upstreamlimits

_SAID_BY_NEXT = {
    "names no rate": "",
    "names another rate": "X-Limit: 600\r\n",
    "names an empty rate": "X-Limit:\r\n",
    "is a failure": "",
}

#: Seconds after which a turn has come at the rates used here.
_TURN = 0.05


#: Seconds in which a request that can't be served is refused.
_AT_ONCE = 0.05

_STREAM = "X-Model: large\r\nX-Tokens: 100,60\r\n"


def _limit(rig, names, rate=1.0):
    now = rig.env.clock.now()
    limit = upstreamlimits.Limit(rate, now, now)
    for name in names:
        rig.limiter.record_limit(name, limit, "here")
        rig.runners[name].said = f"X-Limit: {rate:g}\r\n"


def ask(rig, path):
    """Send a request; return what comes and after how many seconds.

    :param rig: the daemon.
    :param path: of the request.
    """
    headers = _STREAM if path.startswith("/stream") else ""
    began = time.monotonic()
    got = rig.send(path, headers, body=b"prompt")
    return got, time.monotonic() - began


def _upstream(context):
    return context.rig.runners["plain-1"]


def _lines(context, event):
    return [line for name, line in context.rig.log.lines if name == event]


@behave.when('it names a rate of "{value}" and a caller calls /any/thing')
def step_named(context, value):
    text = "9" * 400 if value == "400 digits" else value
    _upstream(context).said = f"X-Limit: {text}\r\n"
    context.got = context.rig.send("/any/thing")


@behave.when('it names a rate of "" and a caller calls /any/thing')
def step_named_empty(context):
    step_named(context, "")


@behave.when("its next answer {following}, and a caller calls /any/thing")
def step_next(context, following):
    upstream = _upstream(context)
    upstream.said = _SAID_BY_NEXT.get(following, upstream.said)
    if following == "is a failure":
        upstream._script[:] = ["fails"]
    eventlet.sleep(_TURN)
    context.got = context.rig.send("/any/thing")


@behave.when(
    "an answer without a rate comes to a request sent before the limit was "
    "named"
)
def step_held_up(context):
    rig = context.rig
    sent_at = rig.env.clock.now()
    eventlet.sleep(_TURN)
    names = rig.env.header_names
    limited = responsehead.ResponseHead(200, [(names.limit, b"5")])
    rig.limiter.record_answer("plain-1", limited, sent_at)
    plain = responsehead.ResponseHead(200, [(names.seal, b"seal")])
    rig.limiter.record_answer("plain-1", plain, sent_at)


@behave.when("it starts again")
def step_restart(context):
    context.rig.limiter.record_restart("plain-1")


@behave.then('the log has one line "{event}", with "{shown}"')
def step_line(context, event, shown):
    lines = _lines(context, event)
    assert len(lines) == 1, context.rig.log.lines
    assert shown in str(lines[0]), lines


@behave.then('the log has one line "{event}", with ""')
def step_line_empty(context, event):
    step_line(context, event, "")


@behave.then("{count:d} limits are in force")
def step_in_force(context, count):
    limits = context.rig.limiter.limits.limit_by_upstream
    assert len(limits) == count, limits


@behave.then("{count:d} limits are logged as over")
def step_over(context, count):
    lines = _lines(context, "upstream limit over")
    assert len(lines) == count, context.rig.log.lines


@behave.when(
    "{which} named a rate of {rate:g}, and ten callers send {path} one after "
    "another"
)
def step_ten(context, which, rate, path):
    rig = context.rig
    kind = "head" if path.startswith("/stream") else "plain"
    names = sorted(name for name in rig.runners if name.startswith(kind))
    context.limited = names[:1] if which == "the first has" else names
    _limit(rig, context.limited, rate)
    context.path = path
    context.answers = [ask(rig, path) for _ in range(10)]


@behave.then("at most {most:d} request reaches each limited upstream")
def step_most(context, most):
    counts = {
        name: len(context.rig.runners[name].requests)
        for name in context.limited
    }
    assert max(counts.values()) <= most, counts
    assert any(got.startswith(b"HTTP/1.1 200") for got, _ in context.answers)


@behave.then("at most {most:d} requests reach them together")
def step_most_together(context, most):
    # The rig leads all connections of a daemon without links to one address.
    runners = context.rig.runners
    count = sum(len(runners[name].requests) for name in context.limited)
    assert 0 < count <= most, count


@behave.then("{served:d} callers are served, and the others refused at once")
def step_others(context, served):
    refused = [
        (got, took)
        for got, took in context.answers
        if not got.startswith(b"HTTP/1.1 200")
    ]
    assert len(context.answers) - len(refused) == served, context.answers
    for got, took in refused:
        assert got.startswith(b"HTTP/1.1 503"), got
        assert took < _AT_ONCE, took
    context.refused = [got for got, _ in refused]


@behave.then("whoever was refused is served after the time that it was told")
def step_told(context):
    if not context.refused:
        return
    told = re.search(rb"(?i)\r\nretry-after: ([0-9.]+)", context.refused[0])
    eventlet.sleep(float(told[1]))
    got, _ = ask(context.rig, context.path)
    assert got.startswith(b"HTTP/1.1 200"), got


@behave.when(
    "the second has had its turn at a rate of {rate:g}, and a caller sends "
    "{path}"
)
def step_second(context, rate, path):
    rig = context.rig
    context.second = sorted(rig.runners)[1]
    _limit(rig, [context.second], rate)
    rig.limiter.record_sent(context.second)
    context.got, _ = ask(rig, path)


@behave.then("no request reaches the second")
def step_none(context):
    assert not context.rig.runners[context.second].requests, context.got


@behave.then(
    'the metrics show {count:d} refusals of {team} for "{need}", and '
    "{upstreams:d} {what} upstreams"
)
def step_metrics(context, count, team, need, upstreams, what):
    rig = context.rig
    rig.limiter.set_gauges()
    rig.rests.set_gauges()
    text = rig.env.metrics.render().decode()
    shown = f'need_refusals_total{{need="{need}",team="{team}"}} {count}\n'
    assert shown in text, text
    assert f"{what}_upstreams {upstreams}" in text, text
