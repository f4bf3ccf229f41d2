"""Steps about requests that another daemon relays."""

import re

import behave
import eventlet

from citronvalve.forward import relayserver
from citronvalve.policy import links as links_
from citronvalve.policy import relaychoice
from standins import hangingport
from standins import process
from tests.forward import rig as rigs

_ADDRESS_BY_FAILURE = {
    "are refused": lambda: process.free_address(),
    "hang": lambda: hangingport.HangingPort().address,
}


def _scripts(way):
    good = way == "whole"
    return {
        "head-1": ["stream" if good else way],
        "head-2": ["stream" if good else way],
        "plain-1": [way],
        "plain-2": [way],
    }


class _Relay:
    """A daemon with links to the upstreams of another one."""

    def __init__(self, rig, name):
        self.rig = rigs.Rig({}, name=name)
        for runner in rig.directory.runner_by_id.values():
            self.rig.directory.update_runner(runner)
        self.server = relayserver.RelayServer(
            "127.0.0.1:0",
            self.rig.env,
            self.rig.directory,
            self.rig.connector,
        )
        self.server.rest_left = self.rig.rests.rest_left
        self.opened_for = []
        self._open = self.server.open
        self.server.open = self._count_and_open
        self.server.start()
        self.relay = relaychoice.Relay(name, self.server.address, "zone-0")

    def _count_and_open(self, upstream):
        self.opened_for.append(upstream)
        return self._open(upstream)

    def close(self):
        self.server.close()
        self.rig.close()


def _make(context, way, failure="are refused", relays=1, cut=True):
    context.rig = rigs.Rig(_scripts(way))
    add_relays(context, failure, relays, cut)


def add_relays(context, failure="are refused", relays=1, cut=True):
    """Give the daemon of the scenario other ones that may relay.

    :param failure: how its own connections fail.
    :param relays: number of other daemons.
    :param cut: whether its links are lost.
    """
    rig = context.rig
    context.relays = [_Relay(rig, f"daemon-{n}") for n in range(2, 2 + relays)]
    for relay in context.relays:
        context.add_cleanup(relay.close)
    rig.connector.relays = lambda: [r.relay for r in context.relays]
    rig.rests.on_relayed = lambda name, upstream, duration: next(
        one.rig.rests.record_rest(upstream, duration)
        for one in context.relays
        if one.relay.name == name
    )
    context.make_lost_address = _ADDRESS_BY_FAILURE[failure]
    context.true_by_id = dict(rig.directory.runner_by_id)
    if cut:
        _cut(context)
    rig.link_checker.start()


def _cut(context):
    """Lead connections to each address to one that does not answer."""
    true = {runner.address for runner in context.true_by_id.values()}
    lost_by_address = {a: context.make_lost_address() for a in true}
    _lead(context, lambda runner: lost_by_address[runner.address])


def lose_links(rig):
    """Let a daemon know that it has no links at all."""
    links, now = rig.connector.links, rig.env.clock.now()
    for turn, upstream in enumerate(rig.directory.runner_by_id):
        zones = ["zone-0", "zone-1"]
        links.record_lost(upstream, zones[turn % 2], set(zones), now)
    assert links.is_cut


def _lead(context, address_of):
    directory = context.rig.directory
    for runner in list(directory.runner_by_id.values()):
        directory.update_runner(
            runner._replace(
                address=address_of(runner),
                list_version=runner.list_version + 1,
            )
        )


@behave.given(
    "a daemon whose connections to two upstreams {failure}, and one with links"
)
def step_failing(context, failure):
    _make(context, "whole", failure)


@behave.given(
    'a daemon without links to two upstreams that "{way}", and one with links'
)
def step_cut(context, way):
    _make(context, way)


@behave.given(
    'a daemon without links to two upstreams that "{way}", and two with links'
)
def step_two(context, way):
    _make(context, way, relays=2)


@behave.given(
    'a daemon with links to two upstreams that "{way}", and one with links'
)
def step_sound(context, way):
    _make(context, way, cut=False)


def _leave(relay):
    for runner in list(relay.rig.directory.runner_by_id.values()):
        relay.rig.directory.update_runner(
            runner._replace(leaving=True, list_version=9)
        )


def _take_out(relay):
    relay.rig.directory.set_datacentres_out(frozenset({"zone-0"}))


def _unlist(relay):
    for name in list(relay.rig.directory.runner_by_id):
        relay.rig.directory.remove(name)


def _cut_relay(relay):
    for name in ("head-1", "head-2"):
        relay.rig.connector.links.record_lost(
            name, "zone-0", {"zone-0"}, relay.rig.env.clock.now()
        )


def _close_upstreams(relay):
    for runner in list(relay.rig.directory.runner_by_id.values()):
        relay.rig.directory.update_runner(
            runner._replace(address=process.free_address(), list_version=9)
        )


def _stop(relay):
    rigs.stop_listening(relay.rig)


def _start(relay):
    relay.rig.directory.list_known = False


_DO_BY_CAUSE = {
    "the process has just started": _start,
    "the upstreams are leaving": _leave,
    "their data centre is out": _take_out,
    "the upstreams are not listed": _unlist,
    "all links are cut": _cut_relay,
    "the upstreams don't answer": _close_upstreams,
    "the process is stopping": _stop,
}


@behave.given("at the other daemon {cause}")
def step_cause(context, cause):
    for relay in context.relays:
        _DO_BY_CAUSE[cause](relay)


def _send(context, path, number=""):
    headers = "X-Model: large\r\nX-Tokens: 100,60\r\nX-Team: other\r\n"
    context.got = context.rig.send(
        path, headers, body=b"question", number=number
    )


@behave.when("a caller sends {path}")
def step_send(context, path):
    _send(context, path)


@behave.when("it gets {count:d} calls of {path}")
def step_calls(context, path, count):
    for turn in range(count):
        _send(context, path, f"req-{turn + 1}")
        assert context.got.startswith(b"HTTP/1.1 200"), context.got


@behave.when(
    "{name} alone answers a call of {path}, and starts again as {new_name}"
)
def step_starts_again(context, name, path, new_name):
    directories = [
        context.rig.directory,
        *(relay.rig.directory for relay in context.relays),
    ]
    lose_links(context.rig)
    for directory in directories:
        for other in set(directory.runner_by_id) - {name}:
            directory.remove(other)
    context.got = context.rig.send(path, number="req-0")
    assert context.got.startswith(b"HTTP/1.1 200"), context.got
    for directory in directories:
        listed = directory.remove(name)
        directory.update_runner(listed._replace(id=new_name))


@behave.when("the relay is lost while a caller calls {path}")
def step_lost(context, path):
    eventlet.spawn_after(0.4, context.relays[0].server.close)
    _send(context, path)


@behave.when("the relay is lost while a caller asks for a stream")
def step_stream_lost(context):
    def lose():
        for relay in context.relays:
            if relay.server.count:
                relay.server.close()

    eventlet.spawn_after(0.4, lose)
    _send(context, "/stream/a")


@behave.when("the links are lost while a caller calls {path}")
def step_links_lost(context, path):
    rig = context.rig
    context.stalls = []
    context.losses = []
    rig.stall_detector.on_stall = context.stalls.append
    rig.crash_detector.on_crash = lambda *loss: context.losses.append(loss)
    eventlet.spawn_after(0.1, setattr, rig.connector, "refuses", True)
    _send(context, path)


@behave.when("the upstreams fail and a caller calls {path}")
def step_fail(context, path):
    _cut(context)
    _send(context, path)


@behave.when("one upstream is down and a caller calls {path}")
def step_down(context, path):
    # Demoted, the other one is tried second.
    directory = context.rig.directory
    other = directory.runner_by_id["plain-2"]
    directory.update_runner(
        other._replace(
            datacentre="zone-1", list_version=other.list_version + 1
        )
    )
    context.rig.runners["plain-1"].close()
    context.got = context.rig.send(path, body=b"question")


@behave.then("the other daemon was asked")
def step_asked(context):
    reasons = [
        line["why"]
        for event, line in context.rig.log.lines
        if event == "not relayed"
    ]
    assert reasons == ["upstream down"], reasons


@behave.then("the link is {known}")
def step_verdict(context, known):
    logged = [event for event, _ in context.rig.log.lines]
    assert ("link lost" in logged) is (known == "lost"), logged


@behave.when("the links are back for {seconds:g} s")
def step_back(context, seconds):
    true_by_id = context.true_by_id
    _lead(context, lambda runner: true_by_id[runner.id].address)
    eventlet.sleep(seconds)


@behave.then("it gets 200 and all of a runner's response")
def step_whole(context):
    got = context.got
    assert got.startswith(b"HTTP/1.1 200"), got
    ids = re.findall(rb"id: (\d+)", got)
    whole = re.search(rb"answer of (head|plain)-\d$", got)
    assert whole or ids == [b"%d" % n for n in range(1, 7)], got


@behave.then("one run was made, with team-1, the runner's id and no API key")
def step_one_run(context):
    seen = {
        name: runner.requests
        for name, runner in context.rig.runners.items()
        if runner.requests
    }
    assert context.rig.runs() == 1, seen
    ((name, (request,)),) = seen.items()
    request = request.lower()
    assert "x-team: team-1" in request, request
    assert f"x-expect-upstream: {name}" in request, request
    assert "secret" not in request and "other" not in request, request


@behave.then("the logs of both daemons name the request")
def step_logged(context):
    eventlet.sleep(0.1)
    own = [line for _, line in context.rig.log.lines if "relay" in line]
    assert any(
        line.get("request") == "req-1" and line["relay"] == "daemon-2"
        for line in own
    ), context.rig.log.lines
    other = context.relays[0].rig.log.lines
    # The field that names the daemon that logs a line is not overridden.
    assert not any("daemon" in line for _, line in other), other
    assert any(
        event == "relayed"
        and line["request"] == "req-1"
        and line["requested_by"] == "daemon-1"
        for event, line in other
    ), other


@behave.then(
    "the other daemon has opened at most {count:d} connections for them"
)
def step_opened(context, count):
    # A look whether links work opens one to an upstream of another service.
    opened = [
        upstream
        for upstream in context.relays[0].opened_for
        if upstream.startswith("plain")
    ]
    assert 0 < len(opened) <= count, context.relays[0].opened_for


@behave.then("no upstream is reported as stalled or lost")
def step_no_blame(context):
    assert not context.stalls, context.stalls
    assert not context.losses, context.losses


@behave.then("links are known to be lost")
def step_known(context):
    logged = [event for event, _ in context.rig.log.lines]
    assert "link lost" in logged, context.rig.log.lines


@behave.then("all links are known to be lost")
def step_all_lost(context):
    logged = [event for event, _ in context.rig.log.lines]
    assert "links cut" in logged, context.rig.log.lines


@behave.then("the links are sound")
def step_links(context):
    state = context.rig.connector.links.state
    assert state is links_.State.SOUND, context.rig.log.lines


@behave.then("the next request is not relayed")
def step_direct(context):
    context.rig.log.lines.clear()
    _send(context, "/any/thing")
    tries = [
        line for event, line in context.rig.log.lines if event == "try ended"
    ]
    assert [line["relay"] for line in tries] == [""], tries
