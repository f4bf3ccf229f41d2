"""Daemons in memory that spread news; messages take some ms."""

import collections
import random

from citronvalve.peers import distributor
from citronvalve.peers import messages
from citronvalve.policy import upstreamchoice

TICK = 10
PAUSE = 150
HOP = 4


class Daemon:
    """One daemon: what it has, and what it has been told."""

    def __init__(self, name, datacentre):
        self.name = name
        self.datacentre = datacentre
        self.book = upstreamchoice.LoadBook()
        self.spreading = distributor.Distributor(name, datacentre, self.book)
        self.counts = {}
        self.heard = collections.Counter()
        self.sent = 0
        self.got = 0


class World:
    """All daemons, with links that can be cut."""

    def __init__(self, count, places):
        self.now = 100_000
        self.chance = random.Random(7)
        names = {f"d-{i}": f"place-{i % places}" for i in range(count)}
        self.daemon_by_name = {
            name: Daemon(name, place) for name, place in names.items()
        }
        self.dead = set()
        self.cut = set()
        self._queue = []
        for daemon in self.daemon_by_name.values():
            daemon.spreading.settle(names)
        # Each has its own moment for its timer.
        self._phase = {
            name: self.chance.randrange(0, PAUSE, TICK) for name in names
        }

    @property
    def alive(self):
        """Return the daemons that run."""
        return [
            daemon
            for name, daemon in self.daemon_by_name.items()
            if name not in self.dead
        ]

    def run(self, span):
        """Let time pass."""
        until = self.now + span
        while self.now < until:
            self.now += TICK
            self._deliver()
            for daemon in self.alive:
                if (self.now - self._phase[daemon.name]) % PAUSE:
                    continue
                out = daemon.spreading.report(daemon.counts, self.now)
                out += daemon.spreading.digests(self.now)
                self._send(daemon, out)

    def tell(self, name, item):
        """Let a daemon tell all others something."""
        daemon = self.daemon_by_name[name]
        self._send(daemon, daemon.spreading.tell(item, self.now))

    def keepers(self):
        """Return the daemons that others take for a keeper."""
        return {
            daemon.spreading.neighbourhood.keeper(self.now)
            for daemon in self.alive
        }

    def believed(self, daemon, upstream):
        """Return how many requests a daemon believes an upstream has."""
        held = daemon.book.of(upstream)
        held.mine = daemon.counts.get(upstream, (0, 0))[0]
        return held.total(self.now)

    def _send(self, daemon, out):
        for name, message in out:
            daemon.sent += 1
            other = self.daemon_by_name[name]
            if daemon.datacentre != other.datacentre and self.cut & {
                daemon.datacentre,
                other.datacentre,
            }:
                continue
            self._queue.append((self.now + HOP, name, message))

    def _deliver(self):
        due = [entry for entry in self._queue if entry[0] <= self.now]
        self._queue = [entry for entry in self._queue if entry[0] > self.now]
        for _, name, message in due:
            if name not in self.dead:
                daemon = self.daemon_by_name[name]
                daemon.got += 1
                self._take(daemon, message)

    def _take(self, daemon, message):
        made = daemon.spreading
        if isinstance(message, messages.DaemonLoads):
            made.loads(message, self.now)
        elif isinstance(message, messages.DatacentreLoads):
            self._send(daemon, made.totals(message, self.now))
        elif isinstance(message, messages.OtherLoads):
            made.digest(message, self.now)
        elif isinstance(message, messages.Relayed):
            out = made.passed(message, self.now)
            if out is not None:
                daemon.heard[message.payload] += 1
                self._send(daemon, out)
        else:
            daemon.heard[message] += 1
