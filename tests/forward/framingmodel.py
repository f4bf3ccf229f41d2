"""A model of request framing, and random cases for it.

A case is a sequence of requests, sent as one byte string that is split at
random places. The model is the sequence itself: exactly those requests reach
the handler, up to the first malformed one.
"""

import random
from typing import NamedTuple

import eventlet
from eventlet.green import socket

from citronvalve.forward import callerconnection
from citronvalve.routes import callerlimits

LIMITS = callerlimits.CallerLimits(4_000, 20_000, 1_000, 1_000)

_MALFORMED = (
    lambda head: head + "Content-Length: 3\r\nContent-Length: 4\r\n\r\nabc",
    lambda head: head + "Content-Length : 3\r\n\r\nabc",
    lambda head: (
        head
        + "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"
    ),
    lambda head: head + "Transfer-Encoding: chunked\r\n\r\nzz\r\nabc\r\n",
    lambda head: head + "Transfer-Encoding: chunked\r\n\r\n-1\r\nabc\r\n",
    lambda head: head + "Transfer-Encoding: chunked\r\n\r\n2\r\nabcd\r\n",
    lambda head: head + "Transfer-Encoding: gzip\r\n\r\nabc",
    lambda head: head + "Content-Length: -3\r\n\r\nabc",
    lambda head: head + "Content-Length: +3\r\n\r\nabc",
    lambda head: head + "Content-Length: 0x3\r\n\r\nabc",
    lambda head: head + "X-A: b\x00c\r\n\r\n",
    lambda head: head + "No colon here\r\n\r\n",
    lambda head: head.replace("Host: h", "Host: h\r\nHost: i") + "\r\n",
)


class Case(NamedTuple):
    """Bytes in pieces, and the expected targets and bodies."""

    pieces: list[bytes]
    expected: list[tuple[bytes, bytes]]
    is_malformed: bool


def make_case(rng: random.Random) -> Case:
    """Return a random case."""
    data, expected, is_malformed = b"", [], False
    for number in range(rng.randint(1, 4)):
        target = f"/a/{number}?q={rng.randint(0, 9)}"
        head = f"POST {target} HTTP/1.1\r\nHost: h\r\n"
        if rng.random() < 0.25:
            spoil = rng.choice(_MALFORMED)
            data += spoil(head).encode("latin-1")
            # The bytes that follow must not be read as a request.
            data += b"GET /smuggled HTTP/1.1\r\nHost: h\r\n\r\n"
            is_malformed = True
            break
        body = rng.randbytes(rng.choice((0, 1, 7, 300)))
        data += head.encode() + _framed(body, rng)
        expected.append((target.encode(), body))
    return Case(_split(data, rng), expected, is_malformed)


def _framed(body: bytes, rng: random.Random) -> bytes:
    if rng.random() < 0.5:
        return b"Content-Length: %d\r\n\r\n%s" % (len(body), body)
    chunks = b""
    while body:
        size = rng.randint(1, len(body))
        chunks += b"%x\r\n%s\r\n" % (size, body[:size])
        body = body[size:]
    return b"Transfer-Encoding: chunked\r\n\r\n" + chunks + b"0\r\n\r\n"


def _split(data: bytes, rng: random.Random) -> list[bytes]:
    pieces = []
    while data:
        size = rng.choice((1, 3, 20, 200, len(data)))
        pieces.append(data[:size])
        data = data[size:]
    return pieces


def run_case(case: Case, env) -> str:
    """Run a case; return how it differs from the model, or an empty text."""
    server, client = socket.socketpair()
    received = []

    def handle(request, reply):
        received.append((request.target, request.body))
        reply.send_whole(200, [], b"ok")

    connection = callerconnection.CallerConnection(
        server, env, lambda: LIMITS, handle
    )
    serving = eventlet.spawn(connection.run)
    try:
        for piece in case.pieces:
            client.sendall(piece)
            eventlet.sleep(0)
        client.shutdown(socket.SHUT_WR)
    except OSError:
        # A malformed request closes the connection before all is sent.
        if not case.is_malformed:
            return "closed without a malformed request"
    serving.wait()
    client.close()
    if received[: len(case.expected)] != case.expected[: len(received)]:
        return f"unexpected requests: {received}"
    if len(received) > len(case.expected):
        return f"too many requests: {received[len(case.expected) :]}"
    if not case.is_malformed and len(received) < len(case.expected) - 1:
        # The caller's close may be read before the last request is handled;
        # at most that one may be missing.
        return f"too few requests: {len(received)} of {len(case.expected)}"
    return ""
