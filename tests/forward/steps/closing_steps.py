"""Steps about connections that a daemon closes by itself."""

import contextlib
import re

import behave
import eventlet
from eventlet.green import socket
from eventlet import patcher

from citronvalve.model import clock
from citronvalve.policy import stopschedule
from tests.forward import rig as rigs

#: Seconds in which the daemon reads what a caller has sent.
_READ_TIME = 0.1

#: Seconds in which an answer comes.
_ANSWER_TIME = 1.0

_HEAD = (
    b"POST /any/thing HTTP/1.1\r\nHost: h.example\r\nX-Key: secret\r\n"
    b"X-Request-Id: req-1\r\nContent-Length: 5\r\n\r\n"
)
_BODY = b"hello"

#: What is sent before the daemon closes its idle connections, and after.
_PARTS_BY_WHAT = {
    "a request has arrived": (_HEAD + _BODY, b""),
    "the head of a request has arrived": (_HEAD, _BODY),
    "the head of a request has been read": (_HEAD, _BODY),
    "a part of the head has been read": (_HEAD[:20], _HEAD[20:] + _BODY),
    "nothing has arrived": (b"", b""),
}

#: Seconds in which a connection is closed that carries nothing more.
_CLOSE_TIME = 1.5

#: Ms of grace that leave the daemon listening throughout a scenario.
_LONG_GRACE = 20_000

#: The end of a response of these scenarios.
_WHOLE = re.compile(rb"\r\n0\r\n\r\n$|answer of plain-1$")

#: Seconds between the drain's calls that close idle connections.
_DRAIN_INTERVAL = 0.02

#: What the daemon has read, and what follows.
_SPLIT_BY_READ = {
    "a part of the head": (_HEAD[:20], _HEAD[20:] + _BODY),
    "the whole head": (_HEAD, _BODY),
    "a malformed head": (b"no HTTP\r\n\r\n", b""),
}

# The monkey-patched modules would let the daemon go on meanwhile.
_socket = patcher.original("socket")
_threading = patcher.original("threading")
_time = patcher.original("time")


def _connect(rig):
    host, _, port = rig.address.rpartition(":")
    return socket.create_connection((host, int(port)), timeout=3)


def _receive(sock, seconds):
    """Return what comes until the end, and whether the end came in time."""
    got = b""
    with eventlet.Timeout(seconds, False):
        while data := sock.recv(65_536):
            got += data
        return got, True
    return got, False


@behave.given("a daemon with a kept connection")
def step_kept(context):
    _keep_connection(context, rigs.LIMITS)


@behave.given(
    "a daemon with a kept connection, and an idle limit of {seconds:f} s"
)
def step_kept_limit(context, seconds):
    _keep_connection(context, _limits(seconds))


def _limits(seconds):
    return rigs.LIMITS._replace(idle_timeout=round(seconds * clock.SECOND))


def _keep_connection(context, limits):
    context.rig = rigs.Rig({"plain-1": ["whole"]})
    context.rig.limits = limits
    context.sock = _connect(context.rig)
    context.sock.sendall(_HEAD + _BODY)
    assert context.sock.recv(65_536).startswith(b"HTTP/1.1 200")
    eventlet.sleep(_READ_TIME)


@behave.when("{what} as the daemon closes its idle connections")
def step_close(context, what):
    before, after = _PARTS_BY_WHAT[what]
    context.sock.sendall(before)
    if what.endswith("read"):
        eventlet.sleep(_READ_TIME)
    rigs.stop_listening(context.rig)
    context.rig.acceptor.close_idle()
    context.sock.sendall(after)


@behave.when(
    "the limit becomes {limit:f} s, and a request follows {pause:f} s later"
)
def step_limit(context, limit, pause):
    context.rig.limits = _limits(limit)
    eventlet.sleep(pause)
    context.sock.sendall(_HEAD + _BODY)


@behave.when("nothing has arrived within {seconds:f} s")
def step_nothing(context, seconds):
    assert _receive(context.sock, seconds) == (b"", False)


@behave.then("the caller gets a whole answer")
def step_whole(context):
    got, _ = _receive(context.sock, _ANSWER_TIME)
    assert got.startswith(b"HTTP/1.1 200"), got
    assert got.endswith(b"answer of plain-1"), got


@behave.given("a daemon with a kept connection that has read {what}")
def step_read(context, what):
    _read_part(context, what, rigs.LIMITS)


@behave.given(
    "a daemon that has read {what}, and waits {seconds:d} s for the rest"
)
def step_waits(context, what, seconds):
    timeout = seconds * clock.SECOND
    _read_part(context, what, rigs.LIMITS._replace(header_timeout=timeout))


def _read_part(context, what, limits):
    _keep_connection(context, limits)
    part, context.rest = _SPLIT_BY_READ[what]
    context.sock.sendall(part)
    eventlet.sleep(_READ_TIME)


@behave.when("{seconds:f} s pass")
def step_pass(context, seconds):
    eventlet.sleep(seconds)


@behave.then("the daemon has ended the connection")
def step_ended(context):
    assert _receive(context.sock, _ANSWER_TIME)[1]


def _unread(context):
    return [
        inputs["why"]
        for event, inputs in context.rig.log.lines
        if event == "request not read"
    ]


@behave.then("one line says that a request was not read since it was {why}")
def step_unread(context, why):
    assert _unread(context) == [why], context.rig.log.lines


@behave.then("no line says that a request was not read")
def step_none_unread(context):
    assert _unread(context) == [], context.rig.log.lines


@behave.when("the daemon stands still for {seconds:f} s as {what} arrives")
def step_pause(context, seconds, what):
    woken, wake = socket.socketpair()
    _threading.Timer(_READ_TIME, wake.fd.send, (b"x",)).start()
    # As after SIGSTOP, the hub goes on with the timers that are due.
    woken.recv(1)
    context.sock.fd.send(context.rest)
    _time.sleep(seconds)


def _start_drain(rig):
    rigs.stop_listening(rig)
    rig.acceptor.close()
    eventlet.spawn(_drain, rig)


def _drain(rig):
    while rig.acceptor.count:
        rig.acceptor.close_idle()
        eventlet.sleep(_DRAIN_INTERVAL)


def _connect_unaccepted(rig):
    host, _, port = rig.address.rpartition(":")
    return socket.socket(_socket.create_connection((host, int(port))))


@behave.given("a daemon in front of a plain runner and a head")
def step_both_kinds(context):
    context.rig = rigs.Rig({"plain-1": ["whole"], "head-1": ["stream"]})


def _request_to(path):
    return (
        f"POST {path} HTTP/1.1\r\nHost: h.example\r\nX-Key: secret\r\n"
        "X-Request-Id: req-1\r\nX-Model: large\r\nX-Tokens: 100,60\r\n"
        "Content-Length: 5\r\n\r\nhello"
    ).encode()


def _is_listening(rig):
    now = rig.env.clock.now()
    rig.env.stop = stopschedule.plan(now, _LONG_GRACE)


def _is_not_listening(rig):
    _start_drain(rig)


_STOP_BY_WHAT = {
    "is to stop": _is_listening,
    "stops listening": _is_not_listening,
}


@behave.when('the daemon {what} in an answer of a "{way}" to {path}')
def step_stop_in_answer(context, what, way, path):
    rig = context.rig
    for runner in rig.runners.values():
        runner.set_script([way, "stream" if "stream" in path else "whole"])
    context.sock = _connect(rig)
    context.sock.sendall(_request_to(path))
    with eventlet.Timeout(_ANSWER_TIME):
        while not rig.runs():
            eventlet.sleep(_DRAIN_INTERVAL)
    eventlet.sleep(_READ_TIME)
    _STOP_BY_WHAT[what](rig)
    context.first = _read_one(context.sock)
    with contextlib.suppress(OSError):
        context.sock.sendall(_request_to(path))
    context.got, context.is_closed = _receive(context.sock, _CLOSE_TIME)


def _read_one(sock):
    """Read a response with a length or in chunks."""
    got = b""
    while not _WHOLE.search(got):
        data = sock.recv(65_536)
        assert data, got
        got += data
    return got


@behave.then("its caller's next request on the connection has not run")
def step_not_run(context):
    assert context.got == b"", context.got
    assert context.rig.runs() == 1, context.rig.runs()


@behave.then("its caller's next request on the connection is answered")
def step_run(context):
    assert _WHOLE.search(context.got), context.got
    assert b"connection: close" in context.got.lower(), context.got
    assert context.rig.runs() == 2, context.rig.runs()


@behave.then("the first answer was whole, and the connection is closed")
def step_first_whole(context):
    assert context.first.startswith(b"HTTP/1.1 200"), context.first
    assert context.is_closed


@behave.when(
    "the daemon stops listening, and the rest comes {pause:f} s later"
)
def step_rest(context, pause):
    _start_drain(context.rig)
    eventlet.sleep(pause)
    context.sock.sendall(context.rest)


@behave.then("the answer is {status:d}, after which the connection is closed")
def step_status(context, status):
    got, is_closed = _receive(context.sock, _CLOSE_TIME)
    assert got.startswith(b"HTTP/1.1 %d" % status), got
    assert is_closed
    # The kept connection had one.
    assert context.rig.runs() == 1 + (status == 200)


@behave.when("a caller has connected as the daemon stops listening")
def step_connected(context):
    context.sock = _connect_unaccepted(context.rig)
    _start_drain(context.rig)


@behave.when(
    "a caller has connected and sent a request as the daemon stops listening"
)
def step_connected_and_sent(context):
    context.sock = _connect_unaccepted(context.rig)
    context.sock.fd.send(_HEAD + _BODY)
    _start_drain(context.rig)


@behave.when(
    "a caller has {what}, and sends its request {pause:f} s later as the "
    "daemon stops listening"
)
def step_sends_later(context, what, pause):
    context.sock = _connect_unaccepted(context.rig)
    if what == "been accepted":
        eventlet.sleep(_READ_TIME)
    _start_drain(context.rig)
    eventlet.sleep(pause)
    with contextlib.suppress(OSError):
        context.sock.sendall(_HEAD + _BODY)


@behave.then("the caller gets no answer, and its request has not run")
def step_not_taken(context):
    try:
        assert _receive(context.sock, _ANSWER_TIME) == (b"", True)
    except ConnectionError:
        pass
    # The kept connection had one.
    assert context.rig.runs() == 1


@behave.then("no connection is open within {seconds:f} s")
def step_none_open(context, seconds):
    with eventlet.Timeout(seconds):
        while context.rig.acceptor.count:
            eventlet.sleep(_DRAIN_INTERVAL)


@behave.then(
    "the caller gets a whole answer, after which the connection is closed"
)
def step_answered(context):
    got, is_closed = _receive(context.sock, _ANSWER_TIME)
    assert got.startswith(b"HTTP/1.1 200"), got
    assert got.endswith(b"answer of plain-1"), got
    assert is_closed


@behave.then("the caller's connection ends within {seconds:f} s")
def step_closed(context, seconds):
    assert _receive(context.sock, seconds) == (b"", True)
