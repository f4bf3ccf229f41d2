"""Steps about malformed and ambiguous requests."""

import random
import re
import time

import behave
from eventlet.green import socket

from standins import scriptedrunner
from tests.forward import framingmodel
from tests.forward import rig as rigs

_HEAD = (
    "POST /any/thing HTTP/1.1\r\nHost: h.example\r\nX-Key: secret\r\n"
    "X-Request-Id: r\r\n"
)
_SECOND = _HEAD.replace("thing", "smuggled") + "Content-Length: 0\r\n\r\n"
_BYTES_BY_NAME = {
    "a valid request": _HEAD
    + "Connection: close\r\nContent-Length: 2\r\n\r\nhi",
    "two lengths that differ": _HEAD
    + "Content-Length: 2\r\nContent-Length: 4\r\n\r\nhi"
    + _SECOND,
    "a space before the colon": _HEAD
    + "Content-Length : 2\r\n\r\nhi"
    + _SECOND,
    "a length and a transfer coding": _HEAD
    + "Content-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"
    + _SECOND,
    "a chunk longer than its size": _HEAD
    + "Transfer-Encoding: chunked\r\n\r\n2\r\nhithere\r\n0\r\n\r\n"
    + _SECOND,
    "a chunk size that is not a number": _HEAD
    + "Transfer-Encoding: chunked\r\n\r\nzz\r\nhi\r\n0\r\n\r\n",
    "a negative chunk size": _HEAD
    + "Transfer-Encoding: chunked\r\n\r\n-1\r\nhi\r\n0\r\n\r\n",
    "a header too large": _HEAD + f"X-Long: {'a' * 70_000}\r\n\r\n",
    "a body too large": _HEAD + f"Content-Length: 20000\r\n\r\n{'b' * 20_000}",
    "a header line that starts with NUL": _HEAD
    + "X-Folded: a\r\n\0b\r\nContent-Length: 0\r\n\r\n",
    "bytes that are not HTTP": "\x16\x03\x01 hello\r\n\r\n",
    "CONNECT": "CONNECT h.example:1 HTTP/1.1\r\nHost: h.example\r\n\r\n",
    "two transfer codings": _HEAD
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
    started_at = time.monotonic()
    context.closed_after = None
    for byte in _BYTES_BY_NAME["a valid request"].encode():
        try:
            sock.sendall(bytes([byte]))
            sock.settimeout(seconds)
            if sock.recv(1) == b"":
                context.closed_after = time.monotonic() - started_at
                break
        except TimeoutError:
            continue
        except OSError:
            context.closed_after = time.monotonic() - started_at
            break
    sock.close()


@behave.then("the first response is {status:d} and the connection is closed")
def step_refused(context, status):
    assert context.got.startswith(b"HTTP/1.1 %d" % status), context.got[:300]
    assert not context.got.endswith(b"<open>"), context.got[-300:]
    assert not context.got.endswith(b"<reset>"), context.got[-300:]


@behave.then("the runner has received {count:d} requests")
def step_count(context, count):
    assert len(context.rig.runners["plain-1"].requests) == count


@behave.then("both are answered, in order")
def step_order(context):
    ids = re.findall(rb"(?i)x-request-id: (\w+)", context.got)
    assert ids == [b"one", b"two"], context.got


@behave.then("the connection is closed within {seconds:g} s")
def step_closed(context, seconds):
    assert (
        context.closed_after is not None and context.closed_after < seconds
    ), context.closed_after


@behave.when("{count:d} seeded sequences of requests are sent in pieces")
def step_runs(context, count):
    rig = rigs.Rig({})
    context.rig = rig
    context.mismatches = []
    for seed in range(count):
        case = framingmodel.make_case(random.Random(seed))
        found = framingmodel.run_case(case, rig.env)
        if found:
            context.mismatches.append((seed, found, case))


@behave.then("none differs from the model")
def step_none(context):
    assert not context.mismatches, context.mismatches[:2]
