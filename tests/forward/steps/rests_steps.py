"""Steps about the rest that upstreams ask for."""

import re

import behave
import eventlet

from citronvalve.forward import relayframe
from tests.forward.steps import limits_steps

#: Seconds in which daemons of one scenario have told each other.
_TOLD = 0.1


def _names(rig, path):
    kind = "head" if path.startswith("/stream") else "plain"
    return sorted(name for name in rig.runners if name.startswith(kind))


def _rest(rig, names, seconds):
    for name in names:
        rig.rests.record_rest(name, seconds * 1_000)


@behave.when('it asks for a rest of "{value}" and a caller calls /any/thing')
def step_rest(context, value):
    text = "9" * 400 if value == "400 digits" else value
    context.rig.runners["plain-1"].retry_after = text
    context.got = context.rig.send("/any/thing")


@behave.when('it asks for a rest of "" and a caller calls /any/thing')
def step_rest_empty(context):
    step_rest(context, "")


@behave.then('the log has {count:d} lines "{event}", with "{shown}"')
def step_lines(context, count, event, shown):
    lines = [line for name, line in context.rig.log.lines if name == event]
    assert len(lines) == count, context.rig.log.lines
    assert all(shown in str(line) for line in lines), lines


@behave.then('the log has {count:d} lines "{event}", with ""')
def step_lines_empty(context, count, event):
    step_lines(context, count, event, "")


@behave.when(
    "{which} asked for a rest of {seconds:g} s, and ten callers send {path} "
    "one after another"
)
def step_ten(context, which, seconds, path):
    rig = context.rig
    names = _names(rig, path)
    context.resting = names[:1] if which == "the first has" else names
    _rest(rig, context.resting, seconds)
    context.path = path
    context.answers = [limits_steps.ask(rig, path) for _ in range(10)]
    context.reached = _reached(context)


def _reached(context):
    runners = context.rig.runners
    return {name: len(runners[name].requests) for name in context.resting}


@behave.then("no request reaches a resting upstream")
def step_unreached(context):
    assert not any(context.reached.values()), context.reached


@behave.when(
    "both ask for {seconds:g} s of rest, and three callers send {path} one "
    "after another"
)
def step_three(context, seconds, path):
    rig = context.rig
    context.resting = _names(rig, path)
    for name in context.resting:
        rig.runners[name].retry_after = f"{seconds:g}"
    context.answers = [limits_steps.ask(rig, path)[0] for _ in range(3)]


@behave.then("each upstream got one request")
def step_one_each(context):
    reached = _reached(context)
    assert set(reached.values()) == {1}, reached


@behave.then(
    "all three are refused with a Retry-After of {least:g} to {most:g} s"
)
def step_told(context, least, most):
    for got in context.answers:
        assert got.startswith(b"HTTP/1.1 503"), got
        told = re.search(rb"(?i)\r\nretry-after: ([0-9.]+)", got)
        assert least <= float(told[1]) <= most, got


@behave.when(
    "the second has asked for a rest of {seconds:g} s, and a caller sends "
    "{path}"
)
def step_second(context, seconds, path):
    rig = context.rig
    context.second = sorted(rig.runners)[1]
    _rest(rig, [context.second], seconds)
    context.got, _ = limits_steps.ask(rig, path)


@behave.when(
    "both have asked for a rest of {seconds:g} s, and start again, and a "
    "caller sends {path}"
)
def step_restart(context, seconds, path):
    rig = context.rig
    _rest(rig, rig.runners, seconds)
    for name in rig.runners:
        rig.rests.record_restart(name)
    context.got, _ = limits_steps.ask(rig, path)


@behave.when(
    "both ask for a rest of {long:g} s and then of {short:g} s, and a caller "
    "sends {path} after {later:g} s"
)
def step_shorter(context, long, short, path, later):
    rig = context.rig
    context.resting = _names(rig, path)
    for seconds in (long, short):
        _rest(rig, context.resting, seconds)
    eventlet.sleep(later)
    limits_steps.ask(rig, path)
    context.reached = _reached(context)


@behave.then(
    "the other daemon has learned of each rest, and relays nothing there"
)
def step_relay(context):
    eventlet.sleep(_TOLD)
    relay = context.relays[0]
    heads = [
        head
        for runner in context.rig.runners.values()
        for head in runner.requests
    ]
    asked = set(re.findall(r"x-expect-upstream: (\S+)", "".join(heads)))
    refusals = {name: relay.server.find_refusal(name) for name in asked}
    assert asked, context.rig.log.lines
    assert set(refusals.values()) == {relayframe.Reason.RESTING}, refusals


@behave.when(
    "the first asked for a rest of {seconds:g} s, the second fails, and a "
    "caller sends {path}"
)
def step_mixed(context, seconds, path):
    rig = context.rig
    first, second = _names(rig, path)
    _rest(rig, [first], seconds)
    now = rig.env.clock.now()
    rig.loads.of(second).circuit.record_failure(now, fatal=True)
    context.answers = [limits_steps.ask(rig, path)[0]]


@behave.then("it is refused with a Retry-After of {least:g} to {most:g} s")
def step_told_one(context, least, most):
    step_told(context, least, most)


@behave.when(
    "its relay was asked for a rest of {seconds:g} s by both, and three "
    "callers send {path}"
)
def step_relay_rests(context, seconds, path):
    context.resting = _names(context.rig, path)
    _rest(context.relays[0].rig, context.resting, seconds)
    context.answers = [
        limits_steps.ask(context.rig, path)[0] for _ in range(3)
    ]
    context.reached = _reached(context)
