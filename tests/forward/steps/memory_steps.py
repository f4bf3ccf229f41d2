"""Steps about the account of a daemon's memory."""

import time

import behave
import eventlet
from eventlet.green import socket

from citronvalve.daemon import memorytask
from citronvalve.policy import memorylimits
from tests.forward import rig as rigs
from tests.forward.steps import slowcallers_steps as slow

_KB = 1_000
_MB = 1_000_000

#: Seconds in which a herd is answered, also on a busy machine.
_HERD_TIME = 30.0

#: Runners whose ports take a herd.
_RUNNERS = 20


def _make(context, limit, way, count=1):
    scripts = {f"plain-{n}": [way] for n in range(1, count + 1)}
    context.rig = rig = rigs.Rig(scripts, timeout=60_000)
    rig.limits = rigs.LIMITS._replace(
        idle_timeout=60_000, max_body_bytes=2 * _MB
    )
    memorytask.MemoryTask(rig.env, 0, slow_peers=True)
    rig.env.memory.limit = limit
    context.runner = rig.runners["plain-1"]


@behave.given("a daemon whose memory is limited to {limit:d} KB")
def step_limit(context, limit):
    context.limit = limit * _KB


@behave.given("{count:d} idle connections")
def step_idle(context, count):
    _make(context, context.limit, "whole", _RUNNERS)
    context.socks = [slow.connect(context.rig) for _ in range(count)]
    slow._wait_until(lambda: context.rig.acceptor.count == count, _HERD_TIME)
    context.before = context.rig.env.memory.total


def _request(size, path="/any/a"):
    return slow.request(path).replace(
        b"Content-Length: 0", b"Content-Length: %d" % size
    )


def _answer(sock, size=0):
    """Return an answer with a body of a size, or what came of it."""
    got = b""
    while data := sock.recv(65_536):
        got += data
        head, end, body = got.partition(b"\r\n\r\n")
        if end and len(body) >= (size or 17):
            break
    return got


@behave.when("all of them ask at once with a body of {size:d} bytes")
def step_herd(context, size):
    for sock in context.socks:
        sock.sendall(_request(size) + b"x" * size)
    with eventlet.Timeout(_HERD_TIME):
        pool = eventlet.GreenPool(len(context.socks))
        context.answers = list(pool.imap(_answer, context.socks))


@behave.then("all get a whole answer")
def step_all(context):
    bad = [one for one in context.answers if b"\r\n\r\nanswer of" not in one]
    assert not bad, (len(bad), bad[0][:300])


@behave.then("the account is back to what it was, within {part:d} in 100")
def step_back(context, part):
    memory = context.rig.env.memory
    slow._wait_until(
        lambda: memory.total <= context.before * (1 + part / 100), 1.0
    )
    assert memory.total >= context.before, (memory.total, context.before)
    assert memory.peak > context.before


def _lines(context, event):
    return [one for one in context.rig.log.lines if one[0] == event]


@behave.then("no line tells that the memory was full")
def step_no_line(context):
    assert not _lines(context, "memory full")


@behave.given("a plain runner with answers of {size:d} KB behind it")
def step_large(context, size):
    _make(context, context.limit, "large")
    context.runner.size = context.size = size * _KB


@behave.when("{count:d} callers ask for them and read nothing for now")
def step_ask(context, count):
    context.socks = [slow.connect(context.rig) for _ in range(count)]
    for sock in context.socks:
        sock.sendall(slow.request("/any/a"))
    slow._wait_until(lambda: context.runner.whole == count, _HERD_TIME)
    slow._wait_until(lambda: context.rig.env.memory.is_full, 1.0)


@behave.when("another one asks")
def step_another(context):
    began = time.monotonic()
    context.got = context.rig.send("/once/a")
    context.took = time.monotonic() - began


@behave.then(
    "that one is refused within {seconds:g} s as not run, and may come back "
    "after {after:g} s"
)
def step_refused(context, seconds, after):
    got = context.got
    assert got.startswith(b"HTTP/1.1 503"), got
    assert b'"ran":"no"' in got and b"no-memory" in got, got
    assert b"retry-after: %.3f" % after in got, got
    assert context.took <= seconds, context.took


@behave.then("a request of {size:d} KB is refused before it was read whole")
def step_refused_unread(context, size):
    sock = socket.create_connection(
        context.rig.address.split(":"), timeout=_HERD_TIME
    )
    sock.sendall(_request(size * _KB, "/once/a") + b"x" * (size * _KB // 4))
    got = sock.recv(65_536)
    assert got.startswith(b"HTTP/1.1 503"), got
    assert b'"ran":"no"' in got, got
    sock.close()


@behave.then("the runner has run {count:d} requests")
def step_ran(context, count):
    assert context.rig.runs() == count, context.rig.runs()


@behave.then("those that had asked get whole answers")
def step_whole(context):
    with eventlet.Timeout(_HERD_TIME):
        for sock in context.socks:
            body = _answer(sock, context.size).partition(b"\r\n\r\n")[2]
            assert body == b"x" * context.size, len(body)


@behave.then("another one that asks now gets a whole answer")
def step_again(context):
    slow._wait_until(lambda: not context.rig.env.memory.is_full, 1.0)
    got = context.rig.send("/once/a")
    assert got.startswith(b"HTTP/1.1 200"), got[:300]


@behave.then(
    "one line tells that the memory was full, and one that it is free"
)
def step_lines(context):
    assert len(_lines(context, "memory full")) == 1
    assert len(_lines(context, "memory free")) == 1


@behave.when(
    "the limits for {memory:d} MB are asked for, of which {resting:d} are "
    "taken"
)
def step_divide(context, memory, resting):
    context.limits = memorylimits.divide(memory * _MB, resting * _MB)


@behave.then(
    "they are {total:d} bytes, {unsent:d} for callers, {answers:d} for "
    "answers and {bodies:d} for bodies"
)
def step_limits(context, total, unsent, answers, bodies):
    expected = total, unsent, answers, bodies
    assert context.limits == expected, context.limits
