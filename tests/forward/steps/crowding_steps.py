"""Steps about more connections than a daemon has room for."""

import behave
import eventlet
from eventlet.green import socket

from citronvalve.forward import portlistener
from tests.forward import rig as rigs

_REQUEST = (
    b"GET /any/thing HTTP/1.1\r\nHost: h.example\r\nX-Key: secret\r\n"
    b"X-Request-Id: req-1\r\n\r\n"
)

#: Seconds after which a connection counts as idle before its first request.
_NEW = 0.4


def _connect(rig):
    host, _, port = rig.address.rpartition(":")
    return socket.create_connection((host, int(port)), timeout=3)


def _ask(sock):
    """Send a request; return what comes of its answer."""
    got = b""
    try:
        sock.sendall(_REQUEST)
        while b"answer of" not in got and (data := sock.recv(65_536)):
            got += data
    except OSError:
        got += b"<reset>"
    return got


@behave.given(
    "a daemon with room for {most:d} connections, all of them open and idle"
)
def step_idle(context, most):
    context.rig = rigs.Rig({"plain-1": ["whole"]}, most=most)
    context.kept = [_connect(context.rig) for _ in range(most)]
    for sock in context.kept:
        assert b"answer of" in _ask(sock)
    eventlet.sleep(_NEW)


@behave.given("a daemon with room for {most:d} connections, all of them busy")
def step_busy(context, most):
    context.rig = rigs.Rig({"plain-1": ["takes_a_second"]}, most=most)
    socks = [_connect(context.rig) for _ in range(most)]
    context.busy = [eventlet.spawn(_ask, sock) for sock in socks]
    eventlet.sleep(_NEW)


@behave.when(
    "{count:d} callers connect one after the other and send a request each"
)
def step_callers(context, count):
    context.got, context.open = [], []
    for _ in range(count):
        sock = _connect(context.rig)
        context.kept.append(sock)
        context.got.append(_ask(sock))
        context.open.append(context.rig.acceptor.count)
        eventlet.sleep(_NEW / 10)


@behave.then("each gets a whole answer")
def step_whole(context):
    failed = [got for got in context.got if b"answer of" not in got]
    assert not failed, (len(failed), failed[:2])


@behave.then("at most {most:d} connections were open")
def step_open(context, most):
    assert max(context.open) <= most, context.open


@behave.when("a caller connects and sends a request")
def step_caller(context):
    context.runs = context.rig.runs()
    context.got = _ask(_connect(context.rig))


@behave.then("its connection is closed and its request has not run")
def step_closed(context):
    assert b"HTTP/1.1" not in context.got, context.got


@behave.then("the {count:d} callers get whole answers")
def step_answers(context, count):
    got = [task.wait() for task in context.busy]
    assert all(b"answer of" in answer for answer in got), got
    assert context.rig.runs() == count, context.rig.runs()


@behave.given("a port whose first connection refuses its options")
def step_port(context):
    context.rig = rigs.Rig({})
    admitted = []

    def admit(sock):
        admitted.append(sock)
        if len(admitted) == 1:
            raise OSError("invalid argument")
        return lambda: sock.sendall(b"served")

    context.port = portlistener.PortListener(
        "127.0.0.1:0", 8, context.rig.env, admit
    )
    context.port.start()
    context.add_cleanup(context.port.close)


@behave.when("two callers connect")
def step_two(context):
    context.got = []
    for _ in range(2):
        sock = _connect(context.port)
        context.got.append(sock.recv(100))


@behave.then("the first is closed, and the second is served")
def step_second(context):
    assert context.got == [b"", b"served"], context.got


@behave.then("one line tells that a connection was not accepted")
def step_line(context):
    lines = [one for one, _ in context.rig.log.lines if one == "not accepted"]
    assert len(lines) == 1, context.rig.log.lines
