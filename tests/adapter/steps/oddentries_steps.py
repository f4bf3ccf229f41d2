"""Steps about entries of another writer that can't be used."""

import json
import random
import sys
import time

import behave
import eventlet

from citronvalve.daemon import runnerlistener
from citronvalve.forward import directory as directories
from citronvalve.forward import environment as environments
from citronvalve.forward import headernames
from citronvalve.model import clock
from citronvalve.policy import upstreamchoice
from citronvalve.replicas import lease as leases
from citronvalve.replicas import runner as runners
from citronvalve.storage import client
from citronvalve.storage import tail
from standins import rowstore

_ODD = "i-odd"
_LINE_FEED = "i-odd\nX-Forged: 1"
_ENTRY = {
    "Service": "svc",
    "Address": "10.0.0.9:8080",
    "Zone": "zone-a",
    "Slots": 13,
    "State": "ready",
    "born": 1_700_000_000_000,
}
_GROUP = {"Name": "m~7", "epoch": 7, "rank": 0, "State": "open"}


def _nested(depth, begin=b'{"Service":', end=b"}"):
    return begin + b"[" * depth + b"]" * depth + end


_RAW_BY_WHAT = {
    "a value nested 20000 deep": _nested(20_000),
    "a value nested without an end": b"[" * 20_000,
    "a value nested 900 deep": _nested(900),
    "a group nested 20000 deep": _nested(20_000, b'{"group":'),
    "a value that is not UTF-8": b'{"Service":"\xff\xfe"}',
}

_VALUE_BY_WHAT = {
    "a list as value": [1, 2],
    "no field at all": {},
    "the port 99999": _ENTRY | {"Address": "10.0.0.9:99999"},
    "the port 0": _ENTRY | {"Address": "10.0.0.9:0"},
    "the port -1": _ENTRY | {"Address": "10.0.0.9:-1"},
    "a port of 5000 digits": _ENTRY | {"Address": "10.0.0.9:" + "9" * 5_000},
    'the port "²"': _ENTRY | {"Address": "10.0.0.9:²"},
    "a host with a NUL byte": _ENTRY | {"Address": "10.0\0.0.9:80"},
    "a host with an empty label": _ENTRY | {"Address": "a..b:80"},
    "a host of 300 letters": _ENTRY | {"Address": "a" * 300 + ":80"},
    "no host": _ENTRY | {"Address": ":80"},
    "a start of 2 to the 64th": _ENTRY | {"born": 2**64},
    "a start below zero": _ENTRY | {"born": -1},
    "slots of 10 to the 30th": _ENTRY | {"Slots": 10**30},
    "slots below zero": _ENTRY | {"Slots": -1},
    "an epoch of 2 to the 64th": _ENTRY | {"group": _GROUP | {"epoch": 2**64}},
    "a rank below zero": _ENTRY | {"group": _GROUP | {"rank": -1}},
    "a cold time of 10 to the 300th": _ENTRY | {"ColdRemainingMs": 1e300},
    "a domain of 5000 digits": _ENTRY | {"Domain": 10**4_999},
    "an unknown field of 10 to the 30th": _ENTRY | {"Shade": 10**30},
    "a zone of 60000 letters": _ENTRY | {"Zone": "z" * 60_000},
    "an id with a line feed": _ENTRY,
}


class _Log:
    """Keeps the lines."""

    def __init__(self):
        self.lines = []

    def note(self, event, request="", **inputs):
        self.lines.append((event, inputs))

    def change(self, event, **inputs):
        self.lines.append((event, inputs))


class _Daemon:
    """Follows the list of a store."""

    def __init__(self, address, decode=None):
        from adapter import entries
        from adapter import store

        self.log = _Log()
        self.env = environments.Environment(
            "d",
            "zone-a",
            clock.SystemClock(),
            random.Random(1),
            self.log,
            headernames.HeaderNames(),
        )
        self.directory = directories.Directory("zone-a")
        decoder = entries.EntryDecoder(self.env.clock)
        listener = runnerlistener.RunnerListener(
            self.env,
            self.directory,
            upstreamchoice.LoadTable(),
            decode or decoder.decode,
        )
        self._tail = tail.Tail(
            store.Store(client.PlatformClient(address, 700)),
            "servers",
            listener,
            self.log,
            self.env.clock,
            eventlet.sleep,
        )

    def read(self, revision):
        """Read until the list is known up to a revision, 5 s at most."""
        until = time.monotonic() + 5
        while self._tail.revision < revision and time.monotonic() < until:
            eventlet.sleep(0.02)
            self._tail.step()

    def left_out(self):
        """Return what was logged of entries that can't be used."""
        return [
            line for event, line in self.log.lines if event == "entry left out"
        ]


def _put(context, name, value=None, raw=b""):
    context.store.put("servers", name, value or _ENTRY, raw)


def _make(context, decode=None):
    context.store = rowstore.RowStore()
    for name in ("i-1", "i-2", "i-3"):
        _put(context, name)
    context.listed = {"i-1", "i-2", "i-3"}
    context.reader = _Daemon(context.store.address, decode)


@behave.given("a daemon that follows a list of runners")
def step_follow(context):
    _make(context)
    context.reader.read(context.store.revision)


def _fail(row):
    if row.key == "i-2":
        raise ZeroDivisionError(row.key)
    return runners.Runner(row.key, "svc", "h:1", "z", list_version=row.version)


@behave.given(
    "a daemon that follows a list of runners with a decoder that fails for one"
)
def step_follow_failing(context):
    _make(context, _fail)
    context.listed.discard("i-2")
    context.reader.read(context.store.revision)


@behave.given("a list of runners in which an entry is nested 20000 deep")
def step_odd_list(context):
    _make(context)
    _put(context, _ODD, raw=_nested(20_000))


@behave.when("a daemon starts to follow it")
def step_start(context):
    context.reader.read(context.store.revision)


@behave.when("another writer leaves an entry that has {what}")
def step_odd(context, what):
    key = _LINE_FEED if what == "an id with a line feed" else _ODD
    context.key = key
    value = _VALUE_BY_WHAT.get(what)
    if what == "a value that is not base64":
        context.store.put_encoded("servers", key, "%%%")
    elif value is not None:
        context.store.put("servers", key, value, _encode(value))
    else:
        _put(context, key, raw=_RAW_BY_WHAT[what])
    context.reader.read(context.store.revision)


def _encode(value):
    """Return JSON, also of numbers that other encoders refuse."""
    digits = sys.get_int_max_str_digits()
    sys.set_int_max_str_digits(0)
    try:
        return json.dumps(value).encode()
    finally:
        sys.set_int_max_str_digits(digits)


@behave.when("runners come and leave after that")
def step_change(context):
    _put(context, "i-4")
    context.store.drop("servers", "i-1")
    context.listed = (context.listed | {"i-4"}) - {"i-1"}
    context.reader.read(context.store.revision)
    _put(context, "i-1")
    context.listed |= {"i-1"}
    context.reader.read(context.store.revision)


@behave.then("the runners that are listed are in use, and no other")
def step_used(context):
    used = set(context.reader.directory.runner_by_id)
    assert used == context.listed, (used, context.reader.log.lines[-5:])


@behave.then(
    "the entry is logged once with its key and a reason, and counted once"
)
def step_logged(context):
    lines = context.reader.left_out()
    assert [line["key"] for line in lines] == [context.key], lines
    assert all(line["why"] for line in lines), lines
    text = context.reader.env.metrics.render().decode()
    assert 'entries_left_out_total{table="runners"} 1' in text


@behave.when(
    "an entry is odd in {count:d} versions, can be read, and is odd in "
    "{again:d} versions again"
)
def step_versions(context, count, again):
    context.used = []
    for odd in [True] * count + [False] + [True] * again:
        _put(context, _ODD, _ENTRY | {"Slots": -1} if odd else None)
        context.reader.read(context.store.revision)
        context.used.append(_ODD in context.reader.directory.runner_by_id)
    context.expected = [False] * count + [True] + [False] * again


@behave.then("it is in use while it can be read")
def step_used_while(context):
    assert context.used == context.expected, context.used


@behave.then("it is logged {count:d} times")
def step_times(context, count):
    lines = context.reader.left_out()
    assert len(lines) == count, lines


_DAEMON = {"address": "10.0.0.1:80", "datacentre": "z", "relay": "h:81"}
_DAEMON_BY_WHAT = {
    "the port 99999": _DAEMON | {"address": "10.0.0.1:99999"},
    "a host with a NUL byte": _DAEMON | {"address": "10.0\0.0.1:80"},
    "a relay at the port 99999": _DAEMON | {"relay": "h:99999"},
    "a number as address": _DAEMON | {"address": 7},
    "no field at all": {},
}


@behave.given("rows of 3 daemons, of which one has {what}")
def step_daemons(context, what):
    from adapter import store

    context.store = rowstore.RowStore()
    value_by_name = {
        "d-1": _DAEMON,
        "d-odd": _DAEMON_BY_WHAT[what],
        "d-2": _DAEMON,
    }
    for name, value in value_by_name.items():
        context.store.put(leases.TABLE, f"daemon/{name}", value)
    context.log = _Log()
    context.lease = leases.Lease(
        store.Store(client.PlatformClient(context.store.address, 700)),
        "d-own",
        leases.Peer("10.0.0.9:80", "z"),
        clock.SystemClock(),
        context.log,
    )


@behave.when("another daemon reads them twice")
def step_read_daemons(context):
    for _ in range(2):
        context.lease.step()
        eventlet.sleep(0.05)


@behave.then("it knows the other two, and logs the odd one once")
def step_known_daemons(context):
    assert set(context.lease.peer_by_name) == {"d-own", "d-1", "d-2"}
    lines = [
        line["key"]
        for event, line in context.log.lines
        if event == "entry left out"
    ]
    assert lines == ["daemon/d-odd"], lines
