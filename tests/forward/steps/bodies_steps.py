"""Steps about the bodies of callers' requests."""

import behave
import eventlet

from citronvalve.forward import bodydecoder
from tests.forward import rig as rigs
from tests.forward.steps import slowcallers_steps as slow

_KB = 1_000

#: Seconds in which the daemon reads what a caller has sent, and in which it
#: has answered.
_READ_TIME = 0.2
_PATIENCE = 10.0

_HEAD = (
    "POST /any/a HTTP/1.1\r\nHost: h.example\r\nX-Key: secret\r\n"
    "X-Request-Id: {number}\r\n{more}Content-Length: {size}\r\n\r\n"
)

_MANY = b"1\r\nx\r\n" * 1_000
_END = b"0\r\n\r\n"

_WIRE_BY_WHAT = {
    "chunks of mixed sizes": b"3\r\nabc\r\n1\r\nd\r\n6\r\nefghij\r\n" + _END,
    "many chunks of one byte": _MANY + _END,
    "many chunks of one size": b"3\r\nxxx\r\n" * 1_000 + _END,
    "one size, and then another one": _MANY
    + b"3E9\r\n%b\r\n" % (b"x" * 1_001)
    + _END,
    "an extension": b'3;a="b"\r\nabc\r\n' + _END,
    "sizes with leading zeros": b"0003\r\nabc\r\n000\r\n\r\n",
    "trailers": b"3\r\nabc\r\n0\r\nA: b\r\nC: d\r\n\r\n",
    "a size line that ends with LF": b"3\nabc\r\n" + _END,
    "content that ends with LF": b"3\r\nabc\n" + _END,
    "a chunk longer than its size": b"3\r\nabcd\r\n" + _END,
    "a size with a sign": b"+3\r\nabc\r\n" + _END,
    "a size with a prefix": b"0x3\r\nabc\r\n" + _END,
    "no size": b"\r\nabc\r\n" + _END,
    "an extension with NUL": b"3;a\0b\r\nabc\r\n" + _END,
    "an extension that is too long": b"3;" + b"a" * 40_000 + b"\r\nabc\r\n",
    "a trailer without a colon": b"3\r\nabc\r\n0\r\nA b\r\n\r\n",
    "a trailer that ends with LF": b"3\r\nabc\r\n0\r\nA: b\n\r\n",
    "too many trailers": b"3\r\nabc\r\n0\r\n" + b"A: b\r\n" * 101 + b"\r\n",
    "a wrong end in many chunks of a size": _MANY
    + b"1\r\nx\n\n"
    + _MANY
    + _END,
}

_PIECES = (1, 2, 3, 7, 600, 4_096, 65_536)


@behave.given(
    "a daemon in front of a plain runner, and bodies of {ms:d} ms at most"
)
def step_timeout(context, ms):
    context.rig = rigs.Rig({"plain-1": ["whole"]})
    context.rig.limits = rigs.LIMITS._replace(body_timeout=ms)


@behave.given(
    "a daemon in front of a plain runner, and {size:d} KB for all bodies"
)
def step_budget(context, size):
    context.rig = rigs.Rig({"plain-1": ["whole"]})
    context.rig.limits = rigs.LIMITS._replace(
        max_body_bytes=_KB * _KB, header_timeout=20_000
    )
    context.rig.env.bodies.most = size * _KB


@behave.when(
    "a caller names a deadline of {ms:d} ms and sends a byte every "
    "{seconds:f} s"
)
def step_drip(context, ms, seconds):
    _drip(context, f"X-Deadline-Ms: {ms}\r\n", seconds)


@behave.when("a caller sends a byte every {seconds:f} s as the body")
def step_drip_unnamed(context, seconds):
    _drip(context, "", seconds)


def _drip(context, more, seconds):
    context.sock = slow.connect(context.rig)
    head = _HEAD.format(number="req-1", more=more, size=1_000)
    context.sock.sendall(head.encode())
    reading = eventlet.spawn(_read_all, context.sock)
    for _ in range(round(_PATIENCE / seconds)):
        if reading.dead:
            break
        try:
            context.sock.sendall(b"x")
        except OSError:
            break
        eventlet.sleep(seconds)
    assert reading.dead, "the connection was not closed"
    context.got = reading.wait()


def _read_all(sock):
    got = b""
    try:
        while data := sock.recv(65_536):
            got += data
    except OSError:
        # Bytes that cross the daemon's close reset the connection.
        pass
    return got


@behave.then(
    "it is refused with {status:d} as not run, and the connection is closed"
)
def step_refused(context, status):
    assert context.got.startswith(b"HTTP/1.1 %d " % status), context.got
    assert b'"ran":"no"' in context.got, context.got


@behave.when("a caller sends {size:d} KB of a body and waits")
def step_wait(context, size):
    context.first = slow.connect(context.rig)
    head = _HEAD.format(number="req-1", more="", size=size * _KB + 1)
    context.first.sendall(head.encode() + bytes(size * _KB))
    eventlet.sleep(_READ_TIME)


@behave.when("another caller sends a body of {size:d} KB")
def step_other(context, size):
    context.got = context.rig.send(
        "/any/a", body=bytes(size * _KB), number="req-2", seconds=_PATIENCE
    )


@behave.then("the other caller gets a whole answer")
def step_whole(context):
    assert context.got.startswith(b"HTTP/1.1 200"), context.got


@behave.then("the first caller is refused with {status:d} as not run")
def step_first(context, status):
    context.got = _read_all(context.first)
    step_refused(context, status)


@behave.when("a chunked body with {what} is decoded in pieces of any size")
def step_decode(context, what):
    wire = _WIRE_BY_WHAT[what]
    context.found = {_decode(wire, piece) for piece in _PIECES}


def _decode(wire, piece):
    decoder = bodydecoder.ChunkedDecoder()
    content = b""
    follows = wire + b"GET"
    try:
        for at in range(0, len(follows), piece):
            decoder.feed(follows[at : at + piece])
            content += _decode_all(decoder)
    except bodydecoder.BodyError:
        return "refused"
    assert decoder.is_complete
    assert decoder.undecoded == b"GET", decoder.undecoded[:20]
    return content


def _decode_all(decoder):
    content = b""
    before = -1
    while decoder.pieces != before and not decoder.is_complete:
        before = decoder.pieces
        content += decoder.decode(100)
    return content


@behave.then("its content is {content}")
def step_content(context, content):
    expected = content.encode()
    if content.startswith("x") and content[1:].isdigit():
        expected = b"x" * int(content[1:])
    if content == "refused":
        expected = content
    assert context.found == {expected}, context.found
