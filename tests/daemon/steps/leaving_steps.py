"""Steps about the exchange of upstreams that say that they leave."""

import random

import behave
import eventlet

from citronvalve.daemon import leavingexchange
from citronvalve.forward import directory as directories
from citronvalve.forward import environment as environments
from citronvalve.forward import headernames
from citronvalve.forward import leaving
from citronvalve.model import clock
from citronvalve.replicas import lease as leases
from citronvalve.replicas import runner as runners
from tests import quietlog

_UPSTREAM = "u-0"
_LATENCY = 0.005

#: Seconds in which a broadcast reaches everybody.
_BROADCAST = 0.2


class _Members:
    """The known daemons, as the lease holds them."""

    def __init__(self):
        self.peer_by_name = {}


class _Daemon:
    def __init__(self, fleet, number):
        self.name = f"daemon-{number}"
        self._fleet = fleet
        env = environments.Environment(
            self.name,
            "zone-0",
            clock.SystemClock(),
            random.Random(number),
            quietlog.QuietLog(),
            headernames.HeaderNames(),
        )
        self.directory = directories.Directory("zone-0")
        self.list_upstream(start_id=1)
        self.leaving = leaving.Leaving(env, self.directory)
        self.exchange = leavingexchange.LeavingExchange(
            env, fleet.members, self.leaving, self._broadcast, self._send
        )
        fleet.add(self)
        self.exchange.start()

    def list_upstream(self, start_id):
        self.directory.update_runner(
            runners.Runner(
                _UPSTREAM,
                "plain",
                "127.0.0.1:9",
                "zone-0",
                start_id=start_id,
                list_version=start_id,
            )
        )

    def hear(self):
        if self.leaving.record(_UPSTREAM, 1, "here"):
            self.exchange.send_change(_UPSTREAM)

    @property
    def uses_it(self):
        return self.directory.is_in_service(_UPSTREAM)

    def _broadcast(self, message):
        for address in self._fleet.daemon_by_name:
            if address != self.name:
                self._send(address, message)

    def _send(self, address, message):
        eventlet.spawn_after(
            _LATENCY, self._fleet.deliver, self.name, address, message
        )


class _Fleet:
    def __init__(self, count):
        self.members = _Members()
        self.daemon_by_name = {}
        self.cut_off = set()
        for number in range(count):
            _Daemon(self, number)

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
            self.daemon_by_name[address].exchange.on_leaving(message)


@behave.given("{count:d} daemons that list an upstream")
def step_fleet(context, count):
    context.leaving_fleet = _Fleet(count)


@behave.when("one is told that it leaves")
def step_told(context):
    context.leaving_fleet.daemons[0].hear()


@behave.when("one is told that it leaves, and another one starts")
def step_started(context):
    fleet = context.leaving_fleet
    fleet.daemons[0].hear()
    eventlet.sleep(_BROADCAST)
    _Daemon(fleet, len(fleet.daemons))


@behave.when("one is cut off while another one is told of it")
def step_cut(context):
    fleet = context.leaving_fleet
    fleet.cut_off = {"daemon-4"}
    fleet.daemons[0].hear()
    eventlet.sleep(_BROADCAST)
    fleet.cut_off = set()


@behave.when("it starts again")
def step_restart(context):
    for daemon in context.leaving_fleet.daemons:
        daemon.list_upstream(start_id=2)


@behave.when("within {seconds:g} s all daemons send it nothing new")
@behave.then("within {seconds:g} s all daemons send it nothing new")
def step_nothing(context, seconds):
    end = clock.SystemClock().now() + seconds * clock.SECOND
    daemons = context.leaving_fleet.daemons
    while any(daemon.uses_it for daemon in daemons):
        assert clock.SystemClock().now() < end, [d.uses_it for d in daemons]
        eventlet.sleep(0.01)


@behave.then("{seconds:g} s later all daemons use it")
def step_used(context, seconds):
    eventlet.sleep(seconds)
    assert all(daemon.uses_it for daemon in context.leaving_fleet.daemons)
