"""Steps about bytes that may be no proper request."""

import random
import re
import time

import behave
from eventlet.green import socket

from standins import scriptedrunner
from tests.forward import framing_model
from tests.forward import rig as rigs

_HEAD = (
    "POST /any/thing HTTP/1.1\r\nHost: h.example\r\nX-Key: secret\r\n"
    "X-Request-Id: r\r\n"
)
_SECOND = _HEAD.replace("thing", "smuggled") + "Content-Length: 0\r\n\r\n"
_BYTES_BY_NAME = {
    "a proper request": _HEAD
    + "Connection: close\r\nContent-Length: 2\r\n\r\nhi",
    "two lengths that differ": _HEAD
    + "Content-Length: 2\r\nContent-Length: 4\r\n\r\nhi"
    + _SECOND,
    "a space before the colon": _HEAD
    + "Content-Length : 2\r\n\r\nhi"
    + _SECOND,
    "a length beside a transfer coding": _HEAD
    + "Content-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"
    + _SECOND,
    "a chunk longer than its size": _HEAD
    + "Transfer-Encoding: chunked\r\n\r\n2\r\nhithere\r\n0\r\n\r\n"
    + _SECOND,
    "a chunk size that is no number": _HEAD
    + "Transfer-Encoding: chunked\r\n\r\nzz\r\nhi\r\n0\r\n\r\n",
    "a negative chunk size": _HEAD
    + "Transfer-Encoding: chunked\r\n\r\n-1\r\nhi\r\n0\r\n\r\n",
    "a header too large": _HEAD + f"X-Long: {'a' * 70_000}\r\n\r\n",
    "a body too large": _HEAD + f"Content-Length: 20000\r\n\r\n{'b' * 20_000}",
    "a line folded in a header": _HEAD
    + "X-Folded: a\r\n\0b\r\nContent-Length: 0\r\n\r\n",
    "bytes that are no HTTP": "\x16\x03\x01 hello\r\n\r\n",
    "CONNECT": "CONNECT h.example:1 HTTP/1.1\r\nHost: h.example\r\n\r\n",
    "a transfer coding of two names": _HEAD
    + "Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n",
    "a request of HTTP/9.9": _HEAD.replace("HTTP/1.1", "HTTP/9.9")
    + "Connection: close\r\nContent-Length: 0\r\n\r\n",
    "no host": "GET /any/a HTTP/1.1\r\nX-Request-Id: r\r\n\r\n",
    "two hosts": "GET /any/a HTTP/1.1\r\nHost: a\r\nHost: b\r\n\r\n",
}


@behave.when('a caller sends "{what}"')
def step_bytes(context, what):
    data = _BYTES_BY_NAME[what].encode("latin-1")
    context.got = scriptedrunner.exchange(context.rig.address, data)


@behave.when("a caller sends two requests at once")
def step_two(context):
    first = _HEAD.replace("X-Request-Id: r", "X-Request-Id: one")
    second = _HEAD.replace("X-Request-Id: r", "X-Request-Id: two")
    data = (
        first
        + "Content-Length: 0\r\n\r\n"
        + second
        + "Connection: close\r\nContent-Length: 0\r\n\r\n"
    )
    context.got = scriptedrunner.exchange(context.rig.address, data.encode())


@behave.when("a caller sends a byte every {seconds:g} s")
def step_slow(context, seconds):
    host, _, port = context.rig.address.rpartition(":")
    sock = socket.create_connection((host, int(port)))
    began = time.monotonic()
    context.took = None
    for byte in _BYTES_BY_NAME["a proper request"].encode():
        try:
            sock.sendall(bytes([byte]))
            sock.settimeout(seconds)
            if sock.recv(1) == b"":
                context.took = time.monotonic() - began
                break
        except TimeoutError:
            continue
        except OSError:
            context.took = time.monotonic() - began
            break
    sock.close()


@behave.then("the first answer is {status:d} and the connection is closed")
def step_refused(context, status):
    assert context.got.startswith(b"HTTP/1.1 %d" % status), context.got[:300]
    assert not context.got.endswith(b"<open>"), context.got[-300:]
    assert not context.got.endswith(b"<reset>"), context.got[-300:]


@behave.then("the runner has seen {count:d} requests")
def step_count(context, count):
    assert len(context.rig.runners["plain-1"].requests) == count


@behave.then("both are answered, in order")
def step_order(context):
    ids = re.findall(rb"(?i)x-request-id: (\w+)", context.got)
    assert ids == [b"one", b"two"], context.got


@behave.then("the connection is closed within {seconds:g} s")
def step_cut(context, seconds):
    assert context.took is not None and context.took < seconds, context.took


@behave.when("{count:d} seeded runs of requests are sent in pieces")
def step_runs(context, count):
    rig = rigs.Rig({})
    context.rig = rig
    context.different = []
    for seed in range(count):
        case = framing_model.make(random.Random(seed))
        found = framing_model.difference(case, rig.env)
        if found:
            context.different.append((seed, found, case))


@behave.then("none differs from the model")
def step_none(context):
    assert not context.different, context.different[:2]
