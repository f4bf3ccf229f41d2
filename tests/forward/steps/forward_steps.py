"""Steps about requests on their way."""

import random
import re
import time

import behave
import eventlet
from eventlet.green import socket

from citronvalve.policy import repeatbudget
from standins import scriptedrunner
from tests.forward import framing_model
from tests.forward import rig as rigs


def _first_and(way, names):
    first, second = names
    good = "stream" if first.startswith("head") else "whole"
    return {first: [way], second: [good]}


@behave.given('two heads, of which the first "{way}"')
def step_heads(context, way):
    context.rig = rigs.Rig(_first_and(way, ("head-1", "head-2")))
    _prefer(context.rig, "head-2")


@behave.given('two heads, of which both "{way}"')
def step_both_heads(context, way):
    context.rig = rigs.Rig({"head-1": [way], "head-2": [way]})


@behave.given('two plain runners, of which the first "{way}"')
def step_plain(context, way):
    context.rig = rigs.Rig(_first_and(way, ("plain-1", "plain-2")))
    _prefer(context.rig, "plain-2")


@behave.given('two plain runners, of which both "{way}"')
def step_both_plain(context, way):
    context.rig = rigs.Rig({"plain-1": [way], "plain-2": [way]})


@behave.given("two plain runners that nobody listens at")
def step_nobody(context):
    context.rig = rigs.Rig({"plain-1": ["whole"], "plain-2": ["whole"]})
    for one in context.rig.runners.values():
        one.close()


@behave.given("five plain runners, of which four crash on what they run")
def step_crashing(context):
    scripts = {f"plain-{n}": ["crashes"] for n in range(1, 5)}
    context.rig = rigs.Rig({**scripts, "plain-5": ["whole"]})
    _prefer(context.rig, "plain-5")


@behave.given("a daemon before a plain runner")
def step_one(context):
    context.rig = rigs.Rig({"plain-1": ["whole"]})


@behave.given('a daemon before a plain runner that "{way}"')
def step_one_that(context, way):
    context.rig = rigs.Rig({"plain-1": [way]})


@behave.given("no repeat is left")
def step_no_repeat(context):
    none = repeatbudget.RepeatTerms(0.0, 0, 10_000)
    context.rig.repeats.terms = none


@behave.given("the second opens {seconds:g} s later")
def step_opens(context, seconds):
    directory = context.rig.directory
    second = directory.remove("head-2")
    eventlet.spawn_after(seconds, directory.put, second)


def _prefer(rig, later):
    # The other one is tried first: this one seems to have more to do.
    for runner in rig.directory.runner_by_id.values():
        if runner.id == later:
            rig.directory.put(
                runner._replace(datacentre="zone-1", seen=runner.seen + 1)
            )


@behave.when("a caller asks for a stream")
def step_stream(context):
    headers = "X-Model: large\r\nX-Tokens: 100,60\r\n"
    context.got = context.rig.send("/stream/a", headers, body=b"prompt")


@behave.when(
    "a caller asks for a stream, and nothing but its first head is open"
)
def step_only(context):
    context.rig.directory.remove("head-2")
    step_stream(context)


@behave.when("a caller calls {path}")
def step_ask(context, path):
    context.got = context.rig.send(path, body=b"question")


@behave.when("a caller leaves {path} {when} the first event")
def step_leave(context, path, when):
    host, _, port = context.rig.address.rpartition(":")
    sock = socket.create_connection((host, int(port)))
    sock.sendall(
        f"POST {path} HTTP/1.1\r\nHost: h.example\r\nX-Key: secret\r\n"
        "X-Request-Id: r\r\nX-Model: large\r\n"
        "Content-Length: 0\r\n\r\n".encode()
    )
    while when == "after" and b"id: 1" not in sock.recv(65_536):
        pass
    while not context.rig.runs():
        eventlet.sleep(0.01)
    sock.close()


@behave.when("a caller sets the system's own headers on {path}")
def step_forge(context, path):
    context.got = context.rig.send(
        path,
        "X-Team: other\r\nx_team: other\r\nX-Expect-Upstream: plain-9\r\n"
        "X-Rank: 0\r\nX-Mine: kept\r\nConnection: X-Hidden\r\nX-Hidden: 1\r\n",
    )


@behave.then("it gets {count:d} events in order and a proper end")
def step_events(context, count):
    ids = [int(n) for n in re.findall(rb"id: (\d+)", context.got)]
    assert ids == list(range(1, count + 1)), context.got
    assert context.got.startswith(b"HTTP/1.1 200"), context.got
    assert context.got.endswith(b"0\r\n\r\n"), context.got


@behave.then("it gets {count:d} events and no proper end")
def step_part(context, count):
    ids = [int(n) for n in re.findall(rb"id: (\d+)", context.got)]
    assert ids == list(range(1, count + 1)), context.got
    assert not context.got.endswith(b"0\r\n\r\n"), context.got


@behave.then("it gets 200 with the whole body of a runner")
def step_whole(context):
    assert context.got.startswith(b"HTTP/1.1 200"), context.got
    head, _, body = context.got.partition(b"\r\n\r\n")
    name = re.search(rb"(?i)x-seal: seal-of-(\S+)", head)[1]
    assert body == b"answer of " + name, context.got


@behave.then("it gets {status:d}, and {runs:d} runs were made")
def step_status(context, status, runs):
    assert context.got.startswith(b"HTTP/1.1 %d" % status), context.got
    assert context.rig.runs() == runs, context.rig.runs()


@behave.then("it is told when to come back")
def step_back(context):
    assert re.search(rb"(?i)\r\nretry-after: 0\.\d+", context.got), context.got


@behave.then(
    "within {seconds:g} s the runner sees its connection closed, and only one "
    "ran"
)
def step_closed(context, seconds):
    made = context.rig.runners.values()
    until = time.monotonic() + seconds
    while time.monotonic() < until and not any(r.closed_on for r in made):
        eventlet.sleep(0.01)
    assert sum(r.closed_on for r in made) == 1
    assert context.rig.runs() == 1
    assert not context.rig.forwarder.in_progress


@behave.then("the runner sees team-1, its own id, and no key")
def step_seen(context):
    asked = context.rig.runners["plain-1"].requests[0].lower()
    assert "x-team: team-1" in asked, asked
    assert "x-expect-upstream: plain-1" in asked, asked
    assert "x-mine: kept" in asked, asked
    for absent in ("other", "plain-9", "secret", "x-hidden", "x-rank: 0"):
        assert absent not in asked, asked


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


@behave.when(
    "a caller keeps sending {path} until it is answered or refused without a "
    "try"
)
def step_again(context, path):
    for _ in range(8):
        tried = context.rig.runs()
        context.got = context.rig.send(path, body=b"poison")
        eventlet.sleep(0.05)
        if context.rig.runs() == tried:
            return


@behave.then("at most {count:d} runners were lost to it")
def step_lost(context, count):
    made = context.rig.runners
    lost = sum(made[f"plain-{n}"].runs for n in range(1, 5))
    assert lost <= count, lost


@behave.then("a caller that calls {path} is answered by a runner")
def step_other(context, path):
    context.got = context.rig.send(path, body=b"other")
    # The last of the crashing ones may be met first.
    if not context.got.startswith(b"HTTP/1.1 200"):
        context.got = context.rig.send(path, body=b"other")
    step_whole(context)


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
