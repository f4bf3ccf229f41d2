"""Steps about probes of runners."""

import contextlib
import socket as plain_socket

import behave
import eventlet
from eventlet.green import socket

from citronvalve.model import clock
from citronvalve.replicas import runner as runners
from standins import hangingport

_REPORT = b'{"born": 7, "Staged": []}'
_RESET = b"\1\0\0\0\0\0\0\0"


def _answer(sock, status=b"200 OK", body=_REPORT):
    sock.recv(65_536)
    length = b"%d" % len(body)
    sock.sendall(
        b"HTTP/1.1 "
        + status
        + b"\r\nContent-Length: "
        + length
        + b"\r\n\r\n"
        + body
    )


def _answer_once(sock):
    """Answer, and keep the connection open without ever answering again."""
    _answer(sock)
    eventlet.sleep(60)


def _flood(sock, piece=b" " * 65_536, pause=0.0):
    sock.recv(65_536)
    sock.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: 9999999999\r\n\r\n")
    while True:
        sock.sendall(piece)
        eventlet.sleep(pause)


def _reset(sock):
    sock.setsockopt(plain_socket.SOL_SOCKET, plain_socket.SO_LINGER, _RESET)
    sock.close()


_SERVE_BY_WHAT = {
    "answers": _answer_once,
    "accepts connections and answers nothing": lambda _: eventlet.sleep(60),
    "closes each connection at once": _reset,
    "answers as another runner": lambda s: _answer(s, b"421 No", b""),
    "answers with what is no report": lambda s: _answer(s, body=b"[1]"),
    "answers with a report nested 20000 deep": lambda s: _answer(
        s, body=b'{"group":' + b"[" * 20_000 + b"]" * 20_000 + b"}"
    ),
    "answers with an epoch of 2 to the 64th": lambda s: _answer(
        s,
        body=b'{"group":{"Name":"g","epoch":18446744073709551616,"rank":0,'
        b'"State":"open"}}',
    ),
    "answers with a start below zero": lambda s: _answer(
        s, body=b'{"born":-1}'
    ),
    "sends a body without end": _flood,
    "sends a body of a byte each 0.1 s": lambda s: _flood(s, b" ", 0.1),
}


def _accept(listener, serve):
    while True:
        sock, _ = listener.accept()
        eventlet.spawn(_serve, sock, serve)


def _serve(sock, serve):
    with contextlib.suppress(OSError):
        serve(sock)


def _listen(context, serve):
    listener = eventlet.listen(("127.0.0.1", 0))
    task = eventlet.spawn(_accept, listener, serve)
    context.add_cleanup(task.kill)
    return "127.0.0.1:%d" % listener.getsockname()[1]


def _hang(context):
    port = hangingport.HangingPort()
    context.add_cleanup(port.close)
    return port.address


def _close(context):
    with contextlib.closing(socket.socket()) as probe:
        probe.bind(("127.0.0.1", 0))
        return "127.0.0.1:%d" % probe.getsockname()[1]


_ADDRESS_BY_WHAT = {
    "has a port that no connection reaches": _hang,
    "listens no more": _close,
}


@behave.given("a probed runner that {does}")
def step_runner(context, does):
    from adapter import runnerorders

    context.orders = runnerorders.RunnerOrders(clock.SystemClock())
    _place(context, does)


@behave.when("from then on no connection reaches its port")
def step_gone(context):
    _place(context, "has a port that no connection reaches")


def _place(context, does):
    make = _ADDRESS_BY_WHAT.get(does)
    if make is not None:
        address = make(context)
    else:
        address = _listen(context, _SERVE_BY_WHAT[does])
    context.target = runners.Runner("m0", "svc", address, "zone-0")


@behave.when("it is probed")
def step_probe(context):
    context.result = context.orders.probe(context.target)


@behave.then('the probe gives "{result}"')
def step_result(context, result):
    got = context.result
    seen = "report" if isinstance(got, runners.Runner) else got.value
    assert seen == result, got
