"""Steps about callers that disconnect before their request is sent."""

import behave
import eventlet
from eventlet.green import socket

from tests.forward import rig as rigs

#: Seconds in which the daemon reads what a caller has sent.
_READ_TIME = 0.3

_RESET = b"\1\0\0\0\0\0\0\0"


def _request(path):
    return (
        f"POST {path} HTTP/1.1\r\nHost: h.example\r\nX-Key: secret\r\n"
        "X-Request-Id: req-1\r\nContent-Length: 0\r\n\r\n"
    ).encode()


def _connect(rig):
    host, _, port = rig.address.rpartition(":")
    return socket.create_connection((host, int(port)), timeout=3)


def _close(sock, path):
    sock.sendall(_request(path))
    sock.close()


def _reset(sock, path):
    sock.sendall(_request(path))
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET)
    sock.close()


def _close_after_another(sock, path):
    sock.sendall(_request(path) * 2)
    sock.close()


_DISCONNECT_BY_HOW = {
    "closed its connection": _close,
    "reset its connection": _reset,
    "pipelined another request, and closed": _close_after_another,
}


@behave.given("a daemon with an idle connection to its plain runner")
def step_idle_connection(context):
    context.rig = rigs.Rig({"plain-1": ["whole"]})
    context.rig.send("/any/first")
    assert context.rig.runs() == 1
    context.rig.log.lines.clear()


@behave.when("a caller of {path} has {how} before the daemon reads it")
def step_disconnect(context, path, how):
    # No green thread runs between the request and the disconnect.
    sock = _connect(context.rig)
    _DISCONNECT_BY_HOW[how](sock, path)
    eventlet.sleep(_READ_TIME)


@behave.then(
    "the request ends with the outcome left, and the runner has not run it"
)
def step_not_run(context):
    outcomes = [
        inputs["outcome"]
        for event, inputs in context.rig.log.lines
        if event == "request ended"
    ]
    assert outcomes == ["left"], context.rig.log.lines
    assert context.rig.runs() == 1, context.rig.runs()


@behave.when("a caller sends two requests at once and waits")
def step_two(context):
    sock = _connect(context.rig)
    sock.sendall(_request("/any/thing") * 2)
    context.got = b""
    with eventlet.Timeout(_READ_TIME, False):
        while piece := sock.recv(65_536):
            context.got += piece
    sock.close()


@behave.then("it gets two answers")
def step_two_answers(context):
    assert context.got.count(b"HTTP/1.1 200") == 2, context.got
