"""Steps about the messages and sockets of peers."""

import random
import socket
import time
import warnings

import behave
import msgspec

from citronvalve.model import clock
from citronvalve.model import invariant
from citronvalve.peers import codec as codecs
from citronvalve.peers import envelope
from citronvalve.peers import gossip
from citronvalve.peers import peer as peers
from citronvalve.peers import peersettings

with warnings.catch_warnings():
    warnings.simplefilter("ignore")
    import eventlet
    import zmq

    from citronvalve.peers import sockets
    from citronvalve.peers import task

_SENDER = envelope.Sender("stranger", "d0", 1, "tcp://127.0.0.1:9")


def _gossip(**changes):
    data = codecs.Codec().encode(_SENDER, gossip.Gossip(0, 0, 0))
    fields = msgspec.msgpack.decode(data)
    for position, value in changes.items():
        fields[int(position[1:])] = value
    return msgspec.msgpack.encode(fields)


_INVALID_BY_NAME = {
    "empty": b"",
    "random bytes": random.Random(1).randbytes(300),
    "larger than the limit": b"\x00" * (codecs.MAX_MESSAGE_BYTES + 1),
    "of another protocol": _gossip(_0=envelope.PROTOCOL + 1),
    "gossip with a bad field": _gossip(_3=["no", "gossip"]),
    "deeply nested": b"\x91" * 50_000,
}


def _address():
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return f"tcp://127.0.0.1:{probe.getsockname()[1]}"


@behave.when("a peer gets a message that is {junk}")
def step_invalid(context, junk):
    context.codec = codecs.Codec()
    assert not context.codec.decode(_INVALID_BY_NAME[junk])


@behave.then('it counts one as "{reason}"')
def step_counts(context, reason):
    assert context.codec.dropped_by_reason == {reason: 1}


@behave.when("{count:d} messages are sent to a peer that does not read")
def step_flood(context, count):
    listener = socket.socket()
    listener.bind(("127.0.0.1", 0))
    listener.listen()
    context.add_cleanup(listener.close)
    settings = peersettings.PeerSettings("d0-0", "d0", _address())
    context.sockets = sockets.Sockets(settings, clock.SystemClock())
    context.add_cleanup(context.sockets.close)
    address = f"tcp://127.0.0.1:{listener.getsockname()[1]}"
    started_at = time.monotonic()
    context.queued = sum(
        context.sockets.send(address, b"x" * 1_000) for _ in range(count)
    )
    context.took = time.monotonic() - started_at
    context.count = count


@behave.then(
    "sending them took less than {seconds:d} s,"
    " and most were dropped and counted"
)
def step_flooded(context, seconds):
    dropped = sum(context.sockets.dropped_by_reason.values())
    assert context.took < seconds, context.took
    assert context.queued + dropped == context.count
    assert context.queued <= context.count // 10, context.queued


def _peer(context, name, seeds, public="", secret="", server=""):
    settings = peersettings.PeerSettings(
        name,
        "d0",
        _address(),
        seeds,
        public_key=public,
        secret_key=secret,
    )
    system_clock = clock.SystemClock()
    peer = peers.Peer(
        settings, system_clock, random.Random(name), invariant.Invariants()
    )
    running = task.PeerTask(peer, system_clock)
    if server:
        running._sockets._sender.curve_serverkey = server.encode()
    running.start()
    context.add_cleanup(running.stop)
    return peer, running


@behave.given("two peers with the fleet's keys and a third {key}")
def step_keys(context, key):
    pair = [part.decode() for part in zmq.curve_keypair()]
    first = _peer(context, "d0-0", (), *pair)
    seeds = (first[0].settings.address,)
    second = _peer(context, "d0-1", seeds, *pair)
    other = [part.decode() for part in zmq.curve_keypair()]
    other.append(pair[0] if key == "with the public key" else "")
    if key == "without any keys":
        other = []
    seeds += (second[0].settings.address,)
    third = _peer(context, "stranger", seeds, *other)
    context.peers = [first, second, third]


@behave.when("they run until the first two have met, and 3 s longer")
def step_run(context):
    pair = [peer for peer, _ in context.peers[:2]]
    deadline = time.monotonic() + 15
    while any(len(peer.members()) < 2 for peer in pair):
        assert time.monotonic() < deadline, "the two did not meet"
        eventlet.sleep(0.05)
    eventlet.sleep(3)


@behave.then("the third has received nothing, and the others don't know it")
def step_nothing(context):
    stranger, running = context.peers[2]
    assert running.received == 0
    assert [m.name for m in stranger.members()] == ["stranger"]
    for peer, _ in context.peers[:2]:
        assert [m.name for m in peer.members()] == ["d0-0", "d0-1"]
