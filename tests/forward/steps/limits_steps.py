"""Steps about the request rates that upstreams name."""

import behave
import eventlet

from citronvalve.forward import responsehead

_SAID_BY_NEXT = {
    "names no rate": "",
    "names another rate": "X-Limit: 600\r\n",
    "names an empty rate": "X-Limit:\r\n",
    "is a failure": "",
}

#: Seconds after which a turn has come at the rates used here.
_TURN = 0.05


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
