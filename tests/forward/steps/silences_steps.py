"""Steps about upstreams that fall silent and may go on."""

import itertools
import re
import time
from typing import NamedTuple

import behave
import eventlet
from eventlet.green import socket

from citronvalve.model import refusal
from citronvalve.policy import retrybudget
from citronvalve.policy import upstreamchoice
from tests.forward import rig as rigs
from tests.forward.steps import forward_steps
from tests.forward.steps import relaying_steps

_PLAIN_WAYS = frozenset(
    {"whole", "rests_and_is_whole", "rests_in_its_body", "takes_a_second"}
)

_WAYS_BY_KIND = {
    "heads": (
        "rests_at_first",
        "rests_after_three",
        "silent_after_three",
        "turns_away",
        "fails_late",
        "closes_late",
        "cut_in_an_event",
        "skips_in_a_chunk",
    ),
    "plain runners": (
        "rests_and_is_whole",
        "rests_in_its_body",
        "silent",
        "turns_away_late",
        "fails_late",
        "closes_late",
        "pauses_unframed",
    ),
}

#: Rigs that run at once.
_PLAYED_AT_ONCE = 120

_PATH_BY_KIND = {"head": "/stream/a", "plain": "/any/a"}


@behave.given('runners of which the first "{first}" and the next "{others}"')
def step_runners(context, first, others):
    ways = [first, *others.split(", ")]
    context.kind = "plain" if _PLAIN_WAYS.intersection(ways) else "head"
    names = [f"{context.kind}-{n}" for n in range(1, len(ways) + 1)]
    scripts = {
        name: ["stream" if way == "refuses" else way]
        for name, way in zip(names, ways, strict=True)
    }
    context.rig = rigs.Rig(scripts, attempts=3)
    _set_order(context.rig, names)
    for name, way in zip(names, ways, strict=True):
        if way == "refuses":
            context.rig.runners[name].close()


def _set_order(rig, names):
    """Let the upstreams be chosen by name."""
    choice = rig.placement

    def choose(routed, tried):
        found = _choose(routed, tried)
        if not isinstance(found, upstreamchoice.Chosen):
            return found
        listed = rig.directory.runner_by_id
        rest = [n for n in names if n not in tried and n in listed]
        return found._replace(upstream=rest[0])

    _choose = choice.place
    choice.place = choose


@behave.given(
    "a request may run on two runners, and the last one opens {seconds:g} s "
    "later"
)
def step_opens(context, seconds):
    directory = context.rig.directory
    held = directory.catalogue
    route_by_prefix = {
        place: route._replace(max_attempts=2)
        for place, route in held.route_by_prefix.items()
    }
    directory.adopt(held._replace(version=2, route_by_prefix=route_by_prefix))
    *_, last = context.rig.runners
    removed = directory.remove(last)
    eventlet.spawn_after(seconds, directory.update_runner, removed)


@behave.given("they are reached through other daemons")
def step_relayed(context):
    relaying_steps.add_relays(context, relays=2)


@behave.given("they are reached through one other daemon")
def step_relayed_once(context):
    relaying_steps.add_relays(context)


@behave.given("one retry is left in the budget")
def step_one_retry(context):
    context.rig.retry_budgets.limits = retrybudget.RetryLimits(0.0, 2, 10_000)


@behave.given("a runner that has room is full when it is chosen next")
def step_full(context):
    choose = context.rig.placement.place

    def refuse(routed, tried):
        if not tried:
            return choose(routed, tried)
        return refusal.Refusal(
            refusal.RefusalKind.NO_UPSTREAM, "full", "wait", retry_after=250
        )

    context.rig.placement.place = refuse


@behave.when("its kind of request is sent")
def step_send(context):
    began = time.monotonic()
    headers = "X-Model: large\r\nX-Tokens: 100,60\r\n"
    path = _PATH_BY_KIND[context.kind]
    context.got = context.rig.send(path, headers, body=b"question")
    context.took = time.monotonic() - began


@behave.when(
    "the caller of its kind of request disconnects after {seconds:g} s"
)
def step_disconnect(context, seconds):
    host, _, port = context.rig.address.rpartition(":")
    sock = socket.create_connection((host, int(port)))
    path = _PATH_BY_KIND[context.kind]
    sock.sendall(
        f"POST {path} HTTP/1.1\r\nHost: h.example\r\nX-Key: secret\r\n"
        "X-Request-Id: r\r\nX-Model: large\r\nX-Tokens: 100,60\r\n"
        "Content-Length: 0\r\n\r\n".encode()
    )
    eventlet.sleep(seconds)
    assert context.rig.runs() == 2, context.rig.runs()
    sock.close()


@behave.when("{count:d} requests of its kind are sent at once")
def step_send_many(context, count):
    headers = "X-Model: large\r\nX-Tokens: 100,60\r\n"
    path = _PATH_BY_KIND[context.kind]
    sent = [
        eventlet.spawn(context.rig.send, path, headers, body=b"question")
        for _ in range(count)
    ]
    context.answers = [task.wait() for task in sent]


@behave.when("requests are sent to each three {kind} out of all ways")
def step_all_ways(context, kind):
    ways = _WAYS_BY_KIND[kind]
    pool = eventlet.GreenPool(_PLAYED_AT_ONCE)
    context.played = list(
        pool.starmap(
            _play, [(kind, trio) for trio in itertools.permutations(ways, 3)]
        )
    )


class _Played(NamedTuple):
    """What a caller got from runners that answer in these ways."""

    ways: tuple[str, ...]
    got: bytes
    requests: list[list[str]]
    loads: list[tuple[int, int]]
    in_progress: int


def _own_requests(runner):
    # The port may have been that of another process, whose callers go on.
    return [one for one in runner.requests if "x-expect-upstream: " in one]


def _play(kind, ways):
    prefix = "head" if kind == "heads" else "plain"
    names = [f"{prefix}-{n}" for n in range(1, len(ways) + 1)]
    rig = rigs.Rig(
        dict(zip(names, [[way] for way in ways], strict=True)), attempts=3
    )
    _set_order(rig, names)
    try:
        headers = "X-Model: large\r\nX-Tokens: 100,60\r\n"
        got = rig.send(_PATH_BY_KIND[prefix], headers, body=b"question")
        eventlet.sleep(0.1)
        loads = [rig.loads.of(name) for name in names]
        return _Played(
            ways,
            got,
            [_own_requests(runner) for runner in rig.runners.values()],
            [(load.own, load.late) for load in loads],
            rig.forwarder.in_progress,
        )
    finally:
        rig.close()


@behave.then(
    "each caller gets events in order, and a proper end only after the last"
)
def step_in_order(context):
    for played in context.played:
        got = played.got
        if b"text/event-stream" in got:
            ids = [int(n) for n in re.findall(rb"id: (\d+)", got)]
            assert ids == list(range(1, len(ids) + 1)), played
            # A runner may pause between the last event and the end.
            is_ended = got.endswith(b"0\r\n\r\n")
            assert len(ids) == 6 or not is_ended, played
        elif got.startswith(b"HTTP/1.1 200"):
            context.got = got
            forward_steps.step_whole(context)
        else:
            assert re.match(rb"HTTP/1.1 50[0234] ", got), played


@behave.then("each runner got at most one request, and nothing stays behind")
def step_nothing_left(context):
    for played in context.played:
        assert all(len(r) <= 1 for r in played.requests), played
        assert set(played.loads) == {(0, 0)}, played
        assert not played.in_progress, played


@behave.then("it is answered {status:d} within {seconds:g} s")
def step_answered(context, status, seconds):
    assert context.got.startswith(b"HTTP/1.1 %d" % status), context.got
    ((_, line),) = [
        line for line in context.rig.log.lines if line[0] == "request ended"
    ]
    assert line["took_ms"] < seconds * 1_000, line


@behave.then("each gets the whole answer of the first runner")
def step_each(context):
    for context.got in context.answers:
        _check_whole(context, 1)


@behave.then('its endings are "{endings}"')
def step_endings(context, endings):
    eventlet.sleep(0.05)
    ((_, line),) = [
        line for line in context.rig.log.lines if line[0] == "request ended"
    ]
    assert line["outcome"] == "whole", line
    assert line["endings"] == tuple(endings.split(", ")), line


def _check_whole(context, number):
    got = context.got
    assert got.startswith(b"HTTP/1.1 200"), got
    name = f"{number}".encode()
    seals = re.findall(rb"(?i)x-seal: seal-of-\w+-(\d)", got)
    assert seals == [name], got
    if b"chunked" in got.lower():
        forward_steps.step_events(context, 6)
    else:
        forward_steps.step_whole(context)


@behave.then("it gets the whole answer of the first runner")
def step_first(context):
    _check_whole(context, 1)
    runners = list(context.rig.runners.values())
    assert runners[0].runs == 1, runners[0].requests


@behave.then("it gets the whole answer of the second runner")
def step_second(context):
    _check_whole(context, 2)


@behave.then("within {seconds:g} s it has a whole answer")
def step_in_time(context, seconds):
    if context.kind == "head":
        forward_steps.step_events(context, 6)
    else:
        forward_steps.step_whole(context)
    assert context.took < seconds, context.took


@behave.then(
    "within {seconds:g} s it has a whole answer, and the first one is closed"
)
def step_moved(context, seconds):
    step_in_time(context, seconds)
    eventlet.sleep(0.05)
    first, *_ = context.rig.runners.values()
    assert first.closed_on == 1


@behave.then("the last runner got no request")
def step_unsent(context):
    *_, last = context.rig.runners.values()
    assert not _own_requests(last), last.requests


@behave.then("each runner got at most one request, and no load is left")
def step_load(context):
    eventlet.sleep(0.05)
    for name, runner in context.rig.runners.items():
        assert len(_own_requests(runner)) <= 1, (name, runner.requests)
        load = context.rig.loads.of(name)
        assert (load.own, load.late) == (0, 0), (name, load.own, load.late)
    assert not context.rig.forwarder.in_progress


@behave.then("within {seconds:g} s both runners see their connections closed")
def step_closed(context, seconds):
    deadline = time.monotonic() + seconds
    runners = context.rig.runners.values()
    while time.monotonic() < deadline and not all(
        r.closed_on for r in runners
    ):
        eventlet.sleep(0.01)
    assert [r.closed_on for r in runners] == [1, 1]


@behave.then("the first runner is not passed over")
def step_available(context):
    name = next(iter(context.rig.runners))
    load = context.rig.loads.of(name)
    now = context.rig.env.clock.now()
    assert load.avoid_until <= now, load.avoid_until - now
    assert load.circuit.state.value == "closed", load.circuit.state
