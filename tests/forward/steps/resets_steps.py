"""Steps about connections that an upstream resets."""

import re

import behave
import eventlet
from eventlet.green import socket

from citronvalve.forward import transport
from citronvalve.policy import callerbudget
from standins import answerparts
from tests.forward import rig as rigs
from tests.forward.steps import relaying_steps

_PART = b"a part"

#: Ms that a read waits.
_READ_TIME = 500

#: Ms after which the kernel gives up a connection, and the s by which it has.
_USER_TIMEOUT, _GIVEN_UP_AFTER = 100, 1.5


@behave.given(
    "a connection on which an upstream has sent a part of its response"
)
def step_connection(context):
    listening = eventlet.listen(("127.0.0.1", 0))
    context.near = socket.create_connection(listening.getsockname())
    context.far, _ = listening.accept()
    listening.close()
    context.transport = transport.prepare(context.near)
    context.add_cleanup(context.transport.close)
    context.far.sendall(_PART)


def _read(context):
    assert context.transport.receive(99, _READ_TIME) == _PART


def _fails(send):
    try:
        send()
    except OSError:
        return
    raise AssertionError("the kernel took what was sent")


_TOUCH_BY_NAME = {
    "a read": lambda _: None,
    "a check for data": lambda way: way.is_idle(),
    "a send": lambda way: _fails(lambda: way.send_some(b"more")),
    "a write": lambda way: _fails(lambda: way.send(b"more")),
}


@behave.when("the upstream resets it, and {touch} meets the reset")
def step_reset(context, touch):
    _read(context)
    context.far.setsockopt(
        socket.SOL_SOCKET, socket.SO_LINGER, answerparts.RESET
    )
    context.far.close()
    eventlet.sleep(0.05)
    _TOUCH_BY_NAME[touch](context.transport)


@behave.when("the upstream reads nothing until the kernel gives it up")
def step_given_up(context):
    _read(context)
    context.near.setsockopt(
        socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, _USER_TIMEOUT
    )
    while context.transport.send_some(bytes(65_536)):
        pass
    eventlet.sleep(_GIVEN_UP_AFTER)


@behave.then("each read after the part reports that")
def step_reported(context):
    for _ in range(2):
        try:
            data = context.transport.receive(99, _READ_TIME)
        except ConnectionResetError:
            continue
        raise AssertionError(f"a proper end or data: {data!r}")


@behave.given('a runner with room for 8 KB unread that "{way}", {links}')
def step_runner(context, way, links):
    context.rig = rig = rigs.Rig({"plain-1": [way]})
    rig.limits = rigs.LIMITS._replace(max_body_bytes=1_000_000)
    rig.env.unsent = callerbudget.CallerBudget(10_000_000, rig.env.memory)
    rig.runners["plain-1"].set_buffer()
    if links != "directly":
        relaying_steps.add_relays(context)


@behave.when("{count:d} bodies of {size:d} KB are sent to {path}")
def step_send(context, count, size, path):
    body = b"x" * (size * 1_000)
    context.statuses = []
    load = context.rig.loads.of("plain-1")
    for _ in range(count):
        # Otherwise the runner would be left out after its first failures.
        load.circuit.record_success()
        got = context.rig.send(path, body=body)
        context.statuses.append(int(re.match(rb"HTTP/1.1 (\d+)", got)[1]))


@behave.then("each of them gets {status:d}")
def step_statuses(context, status):
    assert set(context.statuses) == {status}, context.statuses


@behave.given('a runner that "{way}"')
def step_one_runner(context, way):
    context.rig = rigs.Rig({"plain-1": [way], "head-1": [way]})


@behave.when(
    "its response to {method} {path} is {how} after each byte of the head"
)
def step_cut(context, method, path, how):
    rig = context.rig
    headers = "X-Model: large\r\nX-Tokens: 100,60\r\n"
    name = "head-1" if "stream" in path else "plain-1"
    runner = rig.runners[name]
    runner.resets = how == "reset"
    context.statuses = []
    while runner.cut_at < runner.head_size or not runner.cut_at:
        # Otherwise it would be left out after its first failures.
        rig.loads.of(name).circuit.record_success()
        got = rig.send(path, headers, method)
        context.statuses.append(int(re.match(rb"HTTP/1.1 (\d+)", got)[1]))
        runner.cut_at += 1
    assert len(context.statuses) == runner.runs > 100, context.statuses


@behave.then("no caller gets 200")
def step_none_whole(context):
    assert 200 not in context.statuses, context.statuses
