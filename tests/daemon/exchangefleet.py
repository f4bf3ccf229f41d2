"""Daemons that exchange messages over a network that may be cut."""

import random

import eventlet

from citronvalve.forward import environment as environments
from citronvalve.forward import headernames
from citronvalve.model import clock
from citronvalve.replicas import lease as leases
from tests import quietlog

_LATENCY = 0.005

#: Seconds in which a broadcast reaches everybody.
BROADCAST = 0.2


class _Members:
    """The known daemons, as the lease holds them."""

    def __init__(self):
        self.peer_by_name = {}


class Daemon:
    """A daemon; a suite's own one makes its exchange in ``make``."""

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
        self.exchange = self.make(fleet.members)
        fleet.add(self)

    def broadcast(self, message):
        self.told += 1
        for address in self._fleet.daemon_by_name:
            if address != self.name:
                self.send(address, message)

    def send(self, address, message):
        eventlet.spawn_after(
            _LATENCY, self._fleet.deliver, self.name, address, message
        )


class Fleet:
    """The daemons, and those that are cut off.

    ``make`` returns a daemon of the fleet by its number and their count.
    """

    def __init__(self, count, make):
        self.members = _Members()
        self.daemon_by_name = {}
        self.cut_off = set()
        self._make = make
        for number in range(count):
            make(self, number, count)
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

    def start_another(self):
        count = len(self.daemons)
        self._make(self, count, count + 1).exchange.start()

    def miss(self, act):
        """Cut the last daemon off while something happens."""
        self.cut_off = {self.daemons[-1].name}
        act()
        eventlet.sleep(BROADCAST)
        self.cut_off = set()

    def deliver(self, sender, address, message):
        if not self.cut_off & {sender, address}:
            self.daemon_by_name[address].receive(message)


def wait_until(is_so, seconds, show):
    """Wait until something is so; fail with what ``show`` returns."""
    end = clock.SystemClock().now() + seconds * clock.SECOND
    while not is_so():
        assert clock.SystemClock().now() < end, show()
        eventlet.sleep(0.01)
