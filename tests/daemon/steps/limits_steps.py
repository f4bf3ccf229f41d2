"""Steps about the exchange of upstreams' limits."""

import random

import behave
import eventlet

from citronvalve.daemon import limitexchange
from citronvalve.forward import directory as directories
from citronvalve.forward import environment as environments
from citronvalve.forward import headernames
from citronvalve.forward import limiter
from citronvalve.model import clock
from citronvalve.policy import upstreamlimits
from citronvalve.replicas import lease as leases
from tests import quietlog

_LATENCY = 0.005

#: Seconds in which a broadcast reaches everybody.
_BROADCAST = 0.2


class _Members:
    """The known daemons, as the lease holds them."""

    def __init__(self):
        self.peer_by_name = {}


class _Daemon:
    def __init__(self, fleet, number, count):
        self.name = f"daemon-{number}"
        self._fleet = fleet
        self.told = 0
        self.env = environments.Environment(
            self.name,
            "zone-0",
            clock.SystemClock(),
            random.Random(number),
            quietlog.QuietLog(),
            headernames.HeaderNames(),
        )
        self.env.daemon_count = count
        self.limiter = limiter.Limiter(
            self.env, directories.Directory("zone-0")
        )
        self.exchange = limitexchange.LimitExchange(
            self.env, fleet.members, self.limiter, self._broadcast, self._send
        )
        self.limiter.on_change = self.exchange.send_change
        fleet.add(self)

    def _broadcast(self, message):
        self.told += 1
        for address in self._fleet.daemon_by_name:
            if address != self.name:
                self._send(address, message)

    def _send(self, address, message):
        eventlet.spawn_after(
            _LATENCY, self._fleet.deliver, self.name, address, message
        )

    def name_limits(self, count=1, age=0):
        now = self.env.clock.now() - age
        for number in range(count):
            limit = upstreamlimits.Limit(1.0, now, now)
            if self.limiter.record_limit(f"u-{number}", limit, "here"):
                self.limiter.on_change(f"u-{number}")

    def end_limit(self):
        self.limiter.record_restart("u-0")

    @property
    def count(self):
        return len(self.limiter.limits.limit_by_upstream)


class _Fleet:
    def __init__(self, count):
        self.members = _Members()
        self.daemon_by_name = {}
        self.cut_off = set()
        for number in range(count):
            _Daemon(self, number, count)
        for daemon in self.daemons:
            daemon.exchange.start()

    @property
    def daemons(self):
        return list(self.daemon_by_name.values())

    def add(self, daemon):
        self.daemon_by_name[daemon.name] = daemon
        self.members.peer_by_name[daemon.name] = leases.Peer(
            daemon.name, "zone-0"
        )

    def deliver(self, sender, address, message):
        if not self.cut_off & {sender, address}:
            self.daemon_by_name[address].exchange.on_limits(message)


@behave.given("{count:d} daemons of one data centre")
def step_fleet(context, count):
    context.fleet = _Fleet(count)


def _tell_one(fleet):
    fleet.daemons[0].name_limits()


def _tell_all(fleet):
    for daemon in fleet.daemons:
        daemon.name_limits()


def _tell_and_end(fleet):
    _tell_one(fleet)
    eventlet.sleep(_BROADCAST)
    fleet.daemons[1].end_limit()


def _tell_and_start(fleet):
    _tell_one(fleet)
    eventlet.sleep(_BROADCAST)
    count = len(fleet.daemons)
    _Daemon(fleet, count, count + 1).exchange.start()


def _miss(fleet, act):
    fleet.cut_off = {"daemon-4"}
    act()
    eventlet.sleep(_BROADCAST)
    fleet.cut_off = set()


def _cut_and_tell(fleet):
    _miss(fleet, fleet.daemons[0].name_limits)


def _cut_and_end(fleet):
    _tell_one(fleet)
    eventlet.sleep(_BROADCAST)
    _miss(fleet, fleet.daemons[1].end_limit)


def _tell_late(fleet):
    _tell_and_end(fleet)
    eventlet.sleep(_BROADCAST)
    fleet.daemons[2].name_limits(age=round(_BROADCAST * clock.SECOND))


def _tell_many(fleet):
    fleet.daemons[0].name_limits(700)


_DO_BY_WHAT = {
    "one is told of a limit": _tell_one,
    "all are told of a limit at once": _tell_all,
    "one is told of a limit, and another one of its end": _tell_and_end,
    "one is told of a limit, and another daemon starts": _tell_and_start,
    "one is cut off while another one is told of a limit": _cut_and_tell,
    "one is cut off while a limit ends": _cut_and_end,
    "a message about a limit comes after its end": _tell_late,
    "one is told of 700 limits": _tell_many,
}


@behave.when("daemon 0 hears {heard:d} others")
def step_hears(context, heard):
    daemon = context.fleet.daemons[0]
    names = [f"daemon-{n}" for n in range(1, heard + 1)]
    daemon.exchange.is_reachable = names.__contains__
    daemon.exchange.start()


@behave.when("it happens that {what}")
def step_do(context, what):
    _DO_BY_WHAT[what](context.fleet)


@behave.then("within {seconds:g} s all daemons know {limits:d} limits")
def step_know(context, seconds, limits):
    end = clock.SystemClock().now() + seconds * clock.SECOND
    fleet = context.fleet
    while {daemon.count for daemon in fleet.daemons} != {limits}:
        counts = [daemon.count for daemon in fleet.daemons]
        assert clock.SystemClock().now() < end, counts
        eventlet.sleep(0.01)


@behave.then("at most {most:d} of them tell all others")
def step_few(context, most):
    eventlet.sleep(_BROADCAST)
    telling = sum(daemon.told for daemon in context.fleet.daemons)
    assert 0 < telling <= most, telling


@behave.then("it shares limits with {sharing:d} others")
def step_shares(context, sharing):
    members = context.fleet.daemons[0].limiter.members
    assert members.near.daemons == sharing + 1, members
