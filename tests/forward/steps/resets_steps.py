"""Steps about connections that an upstream resets."""

import behave
import eventlet
from eventlet.green import socket

from citronvalve.forward import transport
from standins import answerparts

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


_TOUCH_BY_NAME = {
    "a read": lambda _: None,
    "a check for data": lambda way: way.is_idle(),
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
