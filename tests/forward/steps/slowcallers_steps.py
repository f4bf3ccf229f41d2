"""Steps about callers that read slowly."""

import re
import time

import behave
import eventlet
from eventlet.green import socket

from citronvalve.forward import output
from citronvalve.policy import callerbudget
from citronvalve.policy import memoryaccount
from tests.forward import rig as rigs

_UNSENT = memoryaccount.Part.UNSENT

#: Bytes that the kernels hold on each side of a connection.
_BUFFER = 8_192

#: Streams that a replica of the rig serves at once.
_STREAMS_A_HEAD = 10

#: Seconds in which all has come, also on a busy machine.
_TIME = 30.0

_KB = 1_000

_TICK = 0.005

#: Seconds by which a tick is late when the process did not run.
_STANDS = 0.05

#: Seconds for which callers lag at most.
_MOST_LAG = 6.0


class Caller:
    """Asks once and reads at its own speed."""

    def __init__(
        self, rig, path, pause=0.0, is_slow=lambda: False, size=4_096
    ):
        self._rig = rig
        self._path = path
        self._pause = pause
        self._is_slow = is_slow
        self._size = size
        self.got = b""
        self.longest_pause = 0.0
        self.ended = "open"

    def run(self):
        sock = connect(self._rig)
        sock.sendall(request(self._path, "close"))
        last = None
        try:
            while data := sock.recv(self._size):
                now = time.monotonic()
                if last is not None:
                    self.longest_pause = max(self.longest_pause, now - last)
                last = now
                self.got += data
                self._read_late()
            self.ended = "closed"
        except OSError:
            self.ended = "reset"
        finally:
            sock.close()

    def _read_late(self):
        resumes_at = time.monotonic() + self._pause
        while self._is_slow() and time.monotonic() < resumes_at:
            eventlet.sleep(_TICK)

    @property
    def ids(self):
        return [int(n) for n in re.findall(rb"id: (\d+)\n", self.got)]

    @property
    def is_whole(self):
        return self.ended == "closed" and self.got.endswith(b"0\r\n\r\n")


class Ticker:
    """Adds up the times for which the process has not run."""

    def __init__(self):
        self.standing = 0.0
        self._task = eventlet.spawn(self._run)

    def _run(self):
        last = time.monotonic()
        while True:
            eventlet.sleep(_TICK)
            now = time.monotonic()
            over = now - last - _TICK
            self.standing += over if over > _STANDS else 0.0
            last = now

    def stop(self):
        self._task.kill()
        return self.standing


def connect(rig):
    """Return a connection whose kernel holds few bytes unread."""
    host, _, port = rig.address.rpartition(":")
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, _BUFFER)
    sock.settimeout(_TIME)
    sock.connect((host, int(port)))
    return sock


def request(path, connection="keep-alive", model="large"):
    """Return the bytes of a request."""
    return (
        f"POST {path} HTTP/1.1\r\nHost: h.example\r\nX-Key: secret\r\n"
        f"X-Request-Id: req-1\r\nConnection: {connection}\r\n"
        f"X-Model: {model}\r\nContent-Length: 0\r\n\r\n"
    ).encode()


def limit(rig, budget):
    """Bound what the kernel and the daemon hold for callers."""
    sock = rig.acceptor._listener._socket
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, _BUFFER)
    rig.connector.receive_buffer = _BUFFER
    rig.env.unsent = callerbudget.CallerBudget(budget, rig.env.memory)


@behave.given("a daemon with {size:d} KB for what callers have not read")
def step_daemon(context, size):
    context.budget = size * _KB


@behave.given(
    "streams of {count:d} events of {size:d} bytes, one each {pause:d} ms"
)
def step_streams(context, count, size, pause):
    context.events, context.size = count, size
    context.interval = pause / 1_000


def _make_heads(context, callers):
    count = -(-callers // _STREAMS_A_HEAD)
    scripts = {f"head-{n}": ["long_stream"] for n in range(1, count + 1)}
    context.rig = rigs.Rig(scripts, timeout=60_000)
    limit(context.rig, context.budget)
    for one in context.rig.runners.values():
        one.events, one.size = context.events, context.size
        one.interval = context.interval


@behave.when(
    "{slow:d} callers read {speed} until {rest:g} s after their streams' end, "
    "beside {fast:d} that read at once"
)
def step_callers(context, slow, speed, rest, fast):
    _make_heads(context, slow + fast)
    runners = context.rig.runners.values()
    lag_ends_at = time.monotonic() + _MOST_LAG

    def is_slow():
        ended = sum(one.whole for one in runners) == slow + fast
        context.ended_at = context.ended_at or (ended and time.monotonic())
        until = context.ended_at + rest if context.ended_at else lag_ends_at
        return time.monotonic() < until

    context.ended_at = None
    pause = _MOST_LAG if speed == "nothing" else 10 * context.interval
    context.fast = [
        Caller(context.rig, "/stream/a", size=65_536) for _ in range(fast)
    ]
    context.slow = [
        Caller(context.rig, "/stream/a", pause, is_slow, context.size)
        for _ in range(slow)
    ]
    ticker = Ticker()
    with eventlet.Timeout(_TIME):
        tasks = [
            eventlet.spawn(one.run) for one in context.slow + context.fast
        ]
        for task in tasks:
            task.wait()
    context.standing = ticker.stop()
    # The runners see the end of the last piece.
    eventlet.sleep(0.05)


def _all_ids(context):
    return list(range(1, context.events + 1))


@behave.then(
    "those that read at once have all events, with no pause over {seconds:g} s"
)
def step_fast(context, seconds):
    for one in context.fast:
        assert one.is_whole and one.ids == _all_ids(context), (
            one.ended,
            one.ids,
            one.got[:300],
        )
    longest = max(one.longest_pause for one in context.fast)
    assert longest <= seconds + context.standing, (longest, context.standing)


@behave.then("the others have all events in order, once, and a proper end")
def step_slow(context):
    for one in context.slow:
        assert one.is_whole and one.ids == _all_ids(context), (
            one.ended,
            one.ids,
        )


@behave.then(
    "each of the others has all events, or a part in order without an end"
)
def step_part(context):
    for one in context.slow:
        ids = one.ids
        assert ids == _all_ids(context)[: len(ids)], ids
        assert len(ids) == context.events or not one.is_whole, ids
    context.ended = [one for one in context.slow if not one.is_whole]
    assert context.ended


def _lines(context, why):
    return [
        inputs
        for event, inputs in context.rig.log.lines
        if event == "caller ended" and inputs["why"] == why
    ]


@behave.then("a line tells of each that was ended, by the memory")
def step_lines(context):
    assert len(_lines(context, "memory")) == len(context.ended)


@behave.then("no upstream saw a response unread for {seconds:g} s")
def step_unread(context, seconds):
    unread = [one.longest_unread for one in context.rig.runners.values()]
    assert max(unread) < seconds + context.standing, unread


@behave.then(
    "what callers had not read was never over the budget, and is 0 bytes now"
)
def step_budget(context):
    memory = context.rig.env.memory
    assert 0 < memory.peak_of(_UNSENT) <= context.budget
    assert memory.bytes_of(_UNSENT) == 0


@behave.given("a budget of {size:d} bytes for what callers have not read")
def step_budget_of(context, size):
    account = memoryaccount.MemoryAccount()
    context.unsent = callerbudget.CallerBudget(size, account)


@behave.when("these callers take bytes")
def step_take(context):
    context.names = []
    for row in context.table:
        ended = context.unsent.take(
            row["caller"], int(row["size"]), int(row["at"])
        )
        context.names += [one.caller for one in ended]


@behave.then("the callers ended are {names}")
def step_ended(context, names):
    assert context.names == names.split(", "), context.names


@behave.then("{size:d} bytes are used")
def step_used(context, size):
    assert context.unsent.used == size, context.unsent.used


@behave.given("a plain runner with answers of {size:d} KB")
def step_plain(context, size):
    context.rig = rigs.Rig({"plain-1": ["large"]}, timeout=60_000)
    context.size = size * _KB
    context.runner = context.rig.runners["plain-1"]
    context.runner.size = context.size
    limit(context.rig, context.budget)


@behave.when("{count:d} callers ask for them and read nothing, and {what:w}")
def step_ask(context, count, what):
    context.count = count
    context.socks = [connect(context.rig) for _ in range(count)]
    for sock in context.socks:
        sock.sendall(request("/any/a"))
    context.leaves = what == "leave"


def _wait_until(is_so, seconds):
    began = time.monotonic()
    while not is_so() and time.monotonic() < began + seconds:
        eventlet.sleep(0.01)
    assert is_so()
    return time.monotonic() - began


@behave.then("the runner is free within {seconds:g} s")
def step_free(context, seconds):
    rig, runner = context.rig, context.runner
    load = rig.stall_detector._loads.of("plain-1")
    _wait_until(
        lambda: runner.whole == context.count and load.own == 0, seconds
    )
    assert runner.longest_unread < 1.0, runner.longest_unread


@behave.then("the callers are ended {when}, and 0 bytes are kept")
def step_kept(context, when):
    rig = context.rig
    assert rig.env.memory.bytes_of(_UNSENT) > 0
    if context.leaves:
        for sock in context.socks:
            sock.close()
        seconds = 0.5
    else:
        seconds = output.WRITE_TIMEOUT / 1_000 + 2.0
    took = _wait_until(lambda: rig.acceptor.count == 0, seconds)
    if not context.leaves:
        assert took >= output.WRITE_TIMEOUT / 1_000 - 2.0, took
    assert rig.env.memory.bytes_of(_UNSENT) == 0


@behave.then("a line tells of each that was ended {why}")
def step_why(context, why):
    ended = [
        inputs["outcome"]
        for event, inputs in context.rig.log.lines
        if event == "request ended"
    ]
    assert ended == ["left"] * context.count, ended
    count = 0 if context.leaves else context.count
    assert len(_lines(context, "not reading")) == count


@behave.when("two requests come on one connection, whose caller reads late")
def step_two(context):
    sock = connect(context.rig)
    sock.sendall(request("/any/a") + request("/any/a", "close"))
    eventlet.sleep(0.5)
    context.got = _read_all(sock)


@behave.when(
    "a caller asks for a last answer, and reads it {seconds:g} s later"
)
def step_last(context, seconds):
    sock = connect(context.rig)
    sock.sendall(request("/any/a", "close"))
    eventlet.sleep(seconds)
    context.answers = [_read_all(sock)]


def _read_all(sock):
    got = b""
    with eventlet.Timeout(_TIME):
        while data := sock.recv(65_536):
            got += data
    sock.close()
    return got


@behave.then("it gets both answers whole, one after the other")
def step_both(context):
    first, second = re.split(rb"(?=HTTP/1.1 200)", context.got)[1:]
    for got in (first, second):
        head, _, body = got.partition(b"\r\n\r\n")
        assert body == b"x" * context.size, (head, len(body))


@behave.when(
    "{count:d} callers ask for them and read on {seconds:g} s after the "
    "daemon was stopped"
)
def step_stop(context, count, seconds):
    rig = context.rig
    step_ask(context, count, "stay")
    _wait_until(lambda: context.runner.whole == count, 2.0)
    rigs.stop_listening(rig)
    rig.acceptor.close()
    eventlet.spawn(_drain, rig)
    eventlet.sleep(seconds)
    tasks = [eventlet.spawn(_read_all, sock) for sock in context.socks]
    context.answers = [task.wait() for task in tasks]


def _drain(rig):
    while rig.acceptor.count:
        rig.acceptor.close_idle()
        eventlet.sleep(0.02)


@behave.then("each has a whole answer, and no connection is open")
def step_whole(context):
    for got in context.answers:
        assert got.partition(b"\r\n\r\n")[2] == b"x" * context.size, got[:300]
    _wait_until(lambda: context.rig.acceptor.count == 0, 1.5)
