"""Steps about the forwarding of requests."""

import re
import time

import behave
import eventlet
from eventlet.green import socket

from citronvalve.policy import retrybudget
from tests.forward import rig as rigs


def _script_first(way, names):
    first, second = names
    good = "stream" if first.startswith("head") else "whole"
    return {first: [way], second: [good]}


@behave.given('two heads, of which the first "{way}"')
def step_heads(context, way):
    context.rig = rigs.Rig(_script_first(way, ("head-1", "head-2")))
    demote(context.rig, "head-2")


@behave.given('two heads, of which both "{way}"')
def step_both_heads(context, way):
    context.rig = rigs.Rig({"head-1": [way], "head-2": [way]})


@behave.given('two plain runners, of which the first "{way}"')
def step_plain(context, way):
    context.rig = rigs.Rig(_script_first(way, ("plain-1", "plain-2")))
    demote(context.rig, "plain-2")


@behave.given('two plain runners, of which both "{way}"')
def step_both_plain(context, way):
    context.rig = rigs.Rig({"plain-1": [way], "plain-2": [way]})


@behave.given("two plain runners that refuse connections")
def step_unreachable(context):
    context.rig = rigs.Rig({"plain-1": ["whole"], "plain-2": ["whole"]})
    for one in context.rig.runners.values():
        one.close()


@behave.given("five plain runners, of which four crash on what they run")
def step_crashing(context):
    scripts = {f"plain-{n}": ["crashes"] for n in range(1, 5)}
    context.rig = rigs.Rig({**scripts, "plain-5": ["whole"]})
    demote(context.rig, "plain-5")


@behave.given("a daemon in front of a plain runner")
def step_one(context):
    context.rig = rigs.Rig({"plain-1": ["whole"]})


@behave.given('a daemon in front of a plain runner that "{way}"')
def step_one_that(context, way):
    context.rig = rigs.Rig({"plain-1": [way]})


@behave.given("no retry is left in the budget")
def step_no_retry(context):
    no_retries = retrybudget.RetryLimits(0.0, 0, 10_000)
    context.rig.retry_budgets.limits = no_retries


@behave.given("the second opens {seconds:g} s later")
def step_opens(context, seconds):
    directory = context.rig.directory
    second = directory.remove("head-2")
    eventlet.spawn_after(seconds, directory.update_runner, second)


def demote(rig, name):
    # Moves the runner to another data centre, so that the other one is tried
    # first.
    for runner in rig.directory.runner_by_id.values():
        if runner.id == name:
            rig.directory.update_runner(
                runner._replace(
                    datacentre="zone-1", list_version=runner.list_version + 1
                )
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
def step_call(context, path):
    context.got = context.rig.send(path, body=b"question")


_PASS_OVER_BY_STATE = {
    "failing": lambda load, now: load.circuit.record_failure(now, fatal=True),
    "avoided": lambda load, now: setattr(load, "avoid_until", now + 60_000),
}


@behave.when("both are {state} and a caller calls {path}")
def step_passed_over(context, state, path):
    now = context.rig.env.clock.now()
    for name in context.rig.runners:
        _PASS_OVER_BY_STATE[state](context.rig.loads.of(name), now)
    step_call(context, path)


@behave.then('the refusal\'s reason is "{reason}"')
def step_reason(context, reason):
    reasons = [
        line["why"]
        for event, line in context.rig.log.lines
        if event == "refused"
    ]
    assert reasons == [reason], reasons


@behave.when("a caller disconnects from {path} {when} the first event")
def step_disconnect(context, path, when):
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


@behave.when("a caller sets the daemon's own headers on {path}")
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


@behave.then("it gets 200 with the complete body of a runner")
def step_whole(context):
    assert context.got.startswith(b"HTTP/1.1 200"), context.got
    head, _, body = context.got.partition(b"\r\n\r\n")
    name = re.search(rb"(?i)x-seal: seal-of-(\S+)", head)[1]
    assert body == b"answer of " + name, context.got


@behave.then("it gets {status:d}, and {runs:d} runs were made")
def step_status(context, status, runs):
    assert context.got.startswith(b"HTTP/1.1 %d" % status), context.got
    assert context.rig.runs() == runs, context.rig.runs()


@behave.then("its response has a Retry-After of less than a second")
def step_retry_after(context):
    assert re.search(rb"(?i)\r\nretry-after: 0\.\d+", context.got), context.got


@behave.then(
    "within {seconds:g} s the runner sees its connection closed, and only one "
    "ran"
)
def step_closed(context, seconds):
    runners = context.rig.runners.values()
    deadline = time.monotonic() + seconds
    while time.monotonic() < deadline and not any(
        r.closed_on for r in runners
    ):
        eventlet.sleep(0.01)
    assert sum(r.closed_on for r in runners) == 1
    assert context.rig.runs() == 1
    assert not context.rig.forwarder.in_progress


@behave.then("the runner receives team-1, its own id, and no API key")
def step_seen(context):
    request = context.rig.runners["plain-1"].requests[0].lower()
    assert "x-team: team-1" in request, request
    assert "x-expect-upstream: plain-1" in request, request
    assert "x-mine: kept" in request, request
    for absent in ("other", "plain-9", "secret", "x-hidden", "x-rank: 0"):
        assert absent not in request, request


@behave.when(
    "a caller retries {path} until it is answered or refused without an "
    "attempt"
)
def step_retry(context, path):
    for _ in range(8):
        runs = context.rig.runs()
        context.got = context.rig.send(path, body=b"poison")
        eventlet.sleep(0.05)
        if context.rig.runs() == runs:
            return


@behave.then("at most {count:d} runners were lost to the request")
def step_lost(context, count):
    runners = context.rig.runners
    lost = sum(runners[f"plain-{n}"].runs for n in range(1, 5))
    assert lost <= count, lost


@behave.then("a caller that calls {path} is answered by a runner")
def step_other(context, path):
    context.got = context.rig.send(path, body=b"other")
    # The last of the crashing runners may be chosen first.
    if not context.got.startswith(b"HTTP/1.1 200"):
        context.got = context.rig.send(path, body=b"other")
    step_whole(context)
