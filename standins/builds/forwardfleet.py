"""Daemons of two builds at the platform's interface, under faults."""

import collections
import pathlib
import tempfile

import eventlet
from eventlet.green import zmq
import msgspec

from standins.builds import build as builds
from standins.builds import check as checks
from standins.builds import exchanged
from standins.soak import daemon as daemons
from standins.soak import run as runs

_SECONDS = 50.0
_CALLING = 12
_PAIR = 2

#: More than the twelve daemons that send to each other directly.
_MANY = 14

#: Daemons of the fleet in which each is replaced by one of the other build.
_REPLACED = 6

#: Seconds until the first daemon is replaced, and between two of them.
_FIRST, _APART = 8.0, 5.0

#: Sent by hand: a crash, a stall, and a request for a whole table.  A fleet
#: sends them only after a fault, so they are left out of the counts; that
#: they can be read is checked by the log of the receivers.
_RARE = (
    ("crash", "0123456789abcdef", "no-such-runner"),
    ("standstill", "no-such-runner"),
    ("whole-request", "no-such-daemon", "servers"),
)

_KINDS = {
    *("hello", "beat", "changes"),
    *("loads", "totals", "digest", "passed"),
}

_Ways = dict[str, collections.Counter[str]]


def run(other: builds.Build, check: checks.Check, seed: int) -> None:
    """Play a pair, a large fleet, and one in which each daemon is replaced.

    :param other: the other build.
    :param check: takes the verdicts.
    :param seed: draws requests and faults.
    """
    ways: _Ways = collections.defaultdict(collections.Counter)
    print("== One daemon of each build at the platform's interface")
    _play(other, check, seed, _PAIR, ways)
    print("== A large fleet of both builds")
    _play(other, check, seed + 1, _MANY, ways)
    print("== The same with the builds exchanged")
    _play(other, check, seed + 1, _MANY, ways, exchange=True)
    for way, seen in ways.items():
        check.that(
            not _KINDS - set(seen),
            f"{way}: each kind of message was received: {dict(seen)}",
            f"not seen: {sorted(_KINDS - set(seen))}",
        )
    print("== Each daemon is replaced by one of the other build")
    _play(other, check, seed + 2, _REPLACED, None)


def _play(
    other: builds.Build,
    check: checks.Check,
    seed: int,
    count: int,
    ways: _Ways | None,
    exchange: bool = False,
) -> None:
    with tempfile.TemporaryDirectory() as made:
        folder = pathlib.Path(made)
        counts = folder / "counts"
        counts.mkdir()
        soak = runs.Soak(seed, _SECONDS, count, _CALLING, folder)
        others = set()
        for number, daemon in enumerate(soak.installation.daemons):
            # Each zone has daemons of both builds.
            place = number if count == _PAIR else number // 2
            is_other = bool(place % 2) is not exchange
            root = other.root if is_other else builds.ROOT
            daemon.build = builds.Build(root, None if ways is None else counts)
            if is_other:
                others.add(daemon.name)
        if ways is None:
            soak.beside = lambda played: _replace(played, other)
        if count == _PAIR:
            soak.beside = _send_rare
        broken = soak.run()
        for each in broken[:5]:
            print(f"    {each.promise} at {each.at:.2f}: {each.detail[:300]}")
        check.that(not broken, f"{count} daemons held every promise")
        print(f"    ends {dict(soak.book.ends)}")
        unread = [
            line
            for daemon in soak.installation.daemons
            for line in daemon.output().splitlines()
            if "news unreadable" in line
        ]
        check.that(not unread, "every message could be read", unread[:3])
        if ways is None:
            return
        is_other_by_name = {
            daemon.name: daemon.name in others
            for daemon in soak.installation.daemons
        }
        for way, seen in exchanged.count(counts, is_other_by_name).items():
            ways[way].update({k: n for k, n in seen.items() if k in _KINDS})


def _send_rare(soak: runs.Soak) -> None:
    """Send each daemon the messages that a calm fleet never sends."""
    eventlet.sleep(_FIRST)
    context = zmq.Context()
    for daemon in soak.installation.daemons:
        socket = context.socket(zmq.DEALER)
        socket.connect(f"tcp://{daemon.peers}")
        for message in _RARE:
            socket.send(b"\0" + msgspec.msgpack.encode(message))
        eventlet.sleep(1.0)
        socket.close(linger=0)


def _replace(soak: runs.Soak, other: builds.Build) -> None:
    eventlet.sleep(_FIRST)
    for daemon in soak.installation.daemons:
        _change(daemon, other)
        eventlet.sleep(_APART)


def _change(daemon: daemons.Daemon, other: builds.Build) -> None:
    own = daemon.build.root == builds.ROOT
    if not daemon.up:
        return
    daemon.stop()
    daemon.build = builds.Build(other.root if own else builds.ROOT)
    daemon.start()
